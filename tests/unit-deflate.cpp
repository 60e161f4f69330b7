#include <doctest/doctest.h>

#include "cyclamenpost/transport/deflate.hpp"

using namespace cyclamenpost;

TEST_CASE("deflate: what is compressed is restored, and a route table becomes much smaller")
{
    auto text = std::string{};
    for (auto index = 0; index < 1000; ++index) {
        text += R"({"name":"r-)" + std::to_string(index * 7919) +
                R"(","route_type":"streaming","timeout_ms":12000,"max_attempts":2},)";
    }
    const auto small = deflate_bytes(text);
    REQUIRE(small.has_value());
    CHECK(small->size() * 5 < text.size());
    CHECK(inflate_bytes(*small, text.size()) == text);
}

TEST_CASE("deflate: bytes of another size or format give nothing")
{
    const auto small = deflate_bytes("hello");
    REQUIRE(small.has_value());
    CHECK_FALSE(inflate_bytes(*small, 4).has_value());
    CHECK_FALSE(inflate_bytes(*small, 6).has_value());
    CHECK_FALSE(inflate_bytes("nonsense", 5).has_value());
}
