#include <doctest/doctest.h>

#include <set>

#include "cyclamenpost/relay/problem.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto last_refusal = static_cast<int>(refusal::record_table_full);

} // namespace

TEST_CASE("every refusal has a unique name that is parsed to the same refusal")
{
    auto names = std::set<std::string_view>{};
    for (auto i = 0; i <= last_refusal; ++i) {
        const auto reason = static_cast<refusal>(i);
        const auto& properties = properties_of(reason);
        CAPTURE(properties.name);
        CHECK(properties.reason == reason);
        CHECK(refusal_from_name(properties.name) == reason);
        CHECK(names.insert(properties.name).second);
        CHECK(properties.status >= 400);
        CHECK(properties.status < 600);
    }
    CHECK(!refusal_from_name("no such reason"));
}

TEST_CASE("a refusal after which the request may have run never has the outcome not_run")
{
    for (const auto reason :
         {refusal::crash_suspect, refusal::target_lost, refusal::answer_truncated,
          refusal::key_expired, refusal::owner_ended, refusal::owner_unknown,
          refusal::outcome_unknown, refusal::order_known, refusal::order_in_progress,
          refusal::order_not_remembered, refusal::retry_budget_spent, refusal::body_differs}) {
        CAPTURE(properties_of(reason).name);
        CHECK(make_problem(reason, "").request_outcome == outcome::unknown);
    }
    CHECK(make_problem(refusal::deadline_passed, "").request_outcome == outcome::not_run);
    CHECK(make_problem_after_send(refusal::deadline_passed, "").request_outcome ==
          outcome::unknown);
}

TEST_CASE("problem details survive a round trip through JSON")
{
    auto sent = make_problem(refusal::wrong_owner, "line \"one\"\n", 1500,
                             {{"127.0.0.1:8101", "a", "i1"}, {"127.0.0.1:8102", "b", "i2"}});
    sent.earlier = earlier_answer{201, "{\"run\":7}"};
    const auto parsed = parse_problem(to_json(sent));
    REQUIRE(parsed);
    CHECK(parsed->reason == sent.reason);
    CHECK(parsed->request_outcome == outcome::not_run);
    CHECK(parsed->status == 421);
    CHECK(parsed->detail == sent.detail);
    CHECK(parsed->retry_after_ms == 1500);
    REQUIRE(parsed->alternatives.size() == 2);
    CHECK(parsed->alternatives[1].address == "127.0.0.1:8102");
    CHECK(parsed->alternatives[1].zone == "b");
    CHECK(parsed->earlier->body == "{\"run\":7}");
}

TEST_CASE("invalid UTF-8 in the detail does not prevent the refusal")
{
    const auto parsed = parse_problem(to_json(make_problem(refusal::no_target, "a\xff\xfe z")));
    REQUIRE(parsed);
    CHECK(parsed->reason == refusal::no_target);
}

TEST_CASE("malformed problem details are rejected instead of parsed with a default outcome")
{
    for (const auto* text : {"", "[]", "{", "{\"reason\":\"no_target\"}",
                             "{\"reason\":\"no_target\",\"outcome\":\"ran\"}",
                             "{\"reason\":7,\"outcome\":\"not_run\"}"}) {
        CAPTURE(text);
        CHECK(!parse_problem(text));
    }
}

TEST_CASE("Retry-After is never shorter than the time to wait")
{
    CHECK(retry_after_seconds(0) == 0);
    CHECK(retry_after_seconds(1) == 1);
    CHECK(retry_after_seconds(1000) == 1);
    CHECK(retry_after_seconds(1001) == 2);
    CHECK(retry_after_seconds(-5) == 0);
}
