#include <doctest/doctest.h>

#include "cyclamenpost/limits/connection_memory.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

constexpr auto now = time_point{} + 100s;
using indexes = std::vector<std::size_t>;

} // namespace

// Guards against many unfinished requests that take the memory of ordinary callers.
TEST_CASE("connection_memory: what has held most for longest gives way first")
{
    const auto holdings = std::vector<connection_holding>{
        {1000, now - 1s, holder_state::incomplete},
        {1000, now - 9s, holder_state::incomplete},
        {90'000, now - 1s, holder_state::incomplete},
        {500'000, now - 20s, holder_state::serving},
    };
    CHECK(choose_for_bytes(holdings, 1, shortage::moderate, now) == indexes{2});
    CHECK(choose_for_bytes(holdings, 90'001, shortage::moderate, now) == indexes{2, 1});
    CHECK(choose_for_bytes(holdings, 1'000'000, shortage::severe, now) == indexes{2, 1, 0});
}

// Guards against streams that are cut although their callers read.
TEST_CASE("connection_memory: a caller that reads slowly is spared until the shortage is severe")
{
    const auto holdings = std::vector<connection_holding>{
        {50'000, now - 500ms, holder_state::unread},
        {50'000, now - 5s, holder_state::unread},
    };
    CHECK(choose_for_bytes(holdings, 100'000, shortage::moderate, now) == indexes{1});
    CHECK(choose_for_bytes(holdings, 100'000, shortage::severe, now) == indexes{1, 0});
}

// Guards against idle connections that take the descriptors of ordinary callers.
TEST_CASE("connection_memory: idle connections give way first, the longest idle one before others")
{
    const auto holdings = std::vector<connection_holding>{
        {90'000, now - 20s, holder_state::incomplete}, {2000, now - 1s, holder_state::idle},
        {2000, now - 5s, holder_state::idle},          {2000, now - 60s, holder_state::serving},
        {90'000, now - 60s, holder_state::unread},
    };
    CHECK(choose_for_descriptors(holdings, 1, now) == indexes{2});
    CHECK(choose_for_descriptors(holdings, 9, now) == indexes{2, 1, 0});
}

// Guards against a budget of which the shares alone exceed the machine's memory, and against one
// that admits no request of the largest size.
TEST_CASE("connection_memory: the shares leave room for the program and fit the largest body")
{
    constexpr auto megabyte = std::size_t{1} << 20U;
    for (const auto memory : {std::size_t{0}, 32 * megabyte, 112 * megabyte, 260 * megabyte}) {
        const auto shares = memory_shares_for(memory, 4 * megabyte);
        const auto sum = shares.callers + shares.targets + shares.store + shares.peers;
        CHECK(sum <= std::max(memory, 32 * megabyte) / 4 * 3);
        CHECK(shares.callers > 4 * megabyte);
    }
    CHECK(memory_shares_for(0, 40 * megabyte).callers > 40 * megabyte);
}
