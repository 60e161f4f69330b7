#include <doctest/doctest.h>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"

using namespace cyclamenpost;

TEST_CASE("hexadecimal numbers survive a round trip and reject trailing characters")
{
    CHECK(from_hex(to_hex(0xfeedULL)) == 0xfeedULL);
    CHECK(!from_hex("12x"));
    CHECK(!from_hex(""));
    CHECK(!from_hex("11112222333344445"));
}

TEST_CASE("an error names its id, step and peer")
{
    const auto text = describe(error{error_id::connect_failed, step::connect, "10.0.0.1:80", "no"});
    CHECK(text == "[cyclamenpost.402] connect 10.0.0.1:80: no");
}

TEST_CASE("try_or passes the error of a failed attempt to its handler")
{
    auto seen = error{};
    const auto ok = try_or(
        []() -> result<void> { return fail(error_id::usage, step::administer, "cli", "bad flag"); },
        [&](const error& failure) { seen = failure; });
    CHECK(!ok);
    CHECK(seen.id == error_id::usage);
    CHECK(seen.peer == "cli");
}
