#include <doctest/doctest.h>

#include "cyclamenpost/transport/deflate.hpp"

using namespace cyclamenpost;

TEST_CASE("deflate: compressed bytes are restored, and a route table shrinks to less than a fifth")
{
    auto text = std::string{};
    for (auto index = 0; index < 1000; ++index) {
        text += R"({"name":"r-)" + std::to_string(index * 7919) +
                R"(","route_type":"streaming","timeout_ms":12000,"max_attempts":2},)";
    }
    const auto deflated = deflate_bytes(text);
    REQUIRE(deflated.has_value());
    CHECK(deflated->size() * 5 < text.size());
    CHECK(inflate_bytes(*deflated, text.size()) == text);
}

TEST_CASE("deflate: malformed data and a wrong size are rejected")
{
    const auto deflated = deflate_bytes("hello");
    REQUIRE(deflated.has_value());
    CHECK_FALSE(inflate_bytes(*deflated, 4).has_value());
    CHECK_FALSE(inflate_bytes(*deflated, 6).has_value());
    CHECK_FALSE(inflate_bytes("nonsense", 5).has_value());
}
