#include <doctest/doctest.h>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"

using namespace cyclamenpost;

TEST_CASE("types: from_hex reverses to_hex and rejects invalid text")
{
    CHECK(from_hex(to_hex(0xfeedULL)) == 0xfeedULL);
    CHECK(!from_hex("12x"));
    CHECK(!from_hex(""));
    CHECK(!from_hex("11112222333344445"));
}

TEST_CASE("error: the description contains id, step, peer and message")
{
    const auto text = describe(error{error_id::connect_failed, step::connect, "10.0.0.1:80", "no"});
    CHECK(text == "[cyclamenpost.402] connect 10.0.0.1:80: no");
}

TEST_CASE("error: try_or passes the error of a failed call to the handler")
{
    auto seen = error{};
    const auto ok = try_or(
        []() -> result<void> { return fail(error_id::usage, step::administer, "cli", "bad flag"); },
        [&](const error& failure) { seen = failure; });
    CHECK(!ok);
    CHECK(seen.id == error_id::usage);
    CHECK(seen.peer == "cli");
}
