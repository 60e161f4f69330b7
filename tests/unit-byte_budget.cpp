#include <doctest/doctest.h>

#include "cyclamenpost/limits/byte_budget.hpp"

using namespace cyclamenpost;

TEST_CASE("byte_budget: a holder of many bytes is stopped at the limit of all")
{
    auto budget = byte_budget{1000, 0, 10};
    auto large = std::size_t{0};
    auto other = std::size_t{0};
    CHECK(hold_bytes(budget, large, 900));
    CHECK_FALSE(hold_bytes(budget, other, 200));
    CHECK(other == 0);
    CHECK(hold_bytes(budget, other, 100));
    CHECK_FALSE(hold_bytes(budget, large, 901));
    CHECK(budget.used == 1000);
}

TEST_CASE("byte_budget: holders of few bytes are served while the limit is reached")
{
    auto budget = byte_budget{1000, 0, 10};
    auto large = std::size_t{0};
    auto small = std::size_t{0};
    REQUIRE(hold_bytes(budget, large, 1000));
    CHECK(hold_bytes(budget, small, 10));
    CHECK_FALSE(hold_bytes(budget, small, 11));
    CHECK(hold_bytes(budget, large, 0));
    CHECK(hold_bytes(budget, small, 11));
    CHECK(budget.used == 11);
}
