#include <doctest/doctest.h>

#include <deque>
#include <vector>

#include "cyclamenpost/limits/retries.hpp"
#include "property.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

auto at(duration since) -> time_point
{
    return time_point{1000s} + since;
}

auto crash_of(std::string target, incarnation_id incarnation, std::uint64_t fingerprint = 1)
    -> crash_report
{
    return {fingerprint, std::move(target), incarnation};
}

} // namespace

TEST_CASE("an instance without traffic may retry one request a second on average")
{
    auto budget = retry_budget{};
    for (auto i = 0; i < 10; ++i) {
        CHECK(spend_retry(budget, at(0s)));
    }
    CHECK(!spend_retry(budget, at(0s)));
    CHECK(!spend_retry(budget, at(10s)));
    CHECK(spend_retry(budget, at(11s)));
}

TEST_CASE("first attempts older than ten seconds do not allow retries")
{
    auto budget = retry_budget{};
    for (auto i = 0; i < 1000; ++i) {
        count_first_attempt(budget, at(0s));
    }
    CHECK(retries_left(budget, at(9s)) == 110);
    CHECK(retries_left(budget, at(10s)) == 10);
}

TEST_CASE("retries in any ten seconds stay within a tenth of the first attempts plus ten")
{
    check_property(
        [] {
            auto budget = retry_budget{};
            auto firsts = std::deque<time_point>{};
            auto retries = std::deque<time_point>{};
            auto now = at(0s);
            const auto forget = [&](std::deque<time_point>& times) {
                while (!times.empty() && times.front() <= now - 10s) {
                    times.pop_front();
                }
            };
            for (auto i = 0; i < 400; ++i) {
                now += std::chrono::milliseconds{*rc::gen::inRange(0, 200)};
                forget(firsts);
                forget(retries);
                if (*rc::gen::inRange(0, 3) > 0) {
                    count_first_attempt(budget, now);
                    firsts.push_back(now);
                }
                else if (spend_retry(budget, now)) {
                    retries.push_back(now);
                    RC_ASSERT(static_cast<double>(retries.size()) <=
                              0.1 * static_cast<double>(firsts.size()) + 10.0);
                }
            }
        },
        200);
}

TEST_CASE("the fleet's retries stay within its budget when instances know different members")
{
    check_property(
        [] {
            const auto rule = fleet_retry_rule{0.2, 58};
            const auto count = static_cast<std::size_t>(*rc::gen::inRange(3, 90));
            auto budgets = std::vector<retry_budget>(count);
            for (auto& budget : budgets) {
                // an instance may not know three in ten of the others
                const auto unknown = *rc::gen::inRange<std::size_t>(0, count * 3 / 10 + 1);
                budget.settings = divide_retry_budget(rule, count - unknown);
            }
            // a few instances get most of the requests and most failures
            const auto busy = *rc::gen::inRange<std::size_t>(1, count + 1);
            auto firsts = std::deque<time_point>{};
            auto retries = std::deque<time_point>{};
            auto now = at(0s);
            for (auto i = 0; i < 2000; ++i) {
                now += std::chrono::milliseconds{*rc::gen::inRange(0, 20)};
                while (!firsts.empty() && firsts.front() <= now - 10s) {
                    firsts.pop_front();
                }
                while (!retries.empty() && retries.front() <= now - 10s) {
                    retries.pop_front();
                }
                auto& budget = budgets[*rc::gen::inRange<std::size_t>(0, busy)];
                if (*rc::gen::inRange(0, 2) == 0) {
                    count_first_attempt(budget, now);
                    firsts.push_back(now);
                }
                else if (spend_retry(budget, now)) {
                    retries.push_back(now);
                    RC_ASSERT(static_cast<double>(retries.size()) <=
                              rule.ratio * static_cast<double>(firsts.size()) + rule.slack);
                }
            }
        },
        30);
}

TEST_CASE("only repeatable calls without an answer are hedged, after p95 and before the deadline")
{
    auto attempt = hedge_input{};
    attempt.repeatable = true;
    attempt.sent_at = at(0s);
    attempt.p95 = 300ms;
    attempt.observations = 1000;
    CHECK(hedge_time(attempt) == at(300ms));
    auto other = attempt;
    other.repeatable = false;
    CHECK(!hedge_time(other));
    other = attempt;
    other.answer_started = true;
    CHECK(!hedge_time(other));
    other = attempt;
    other.hedged_already = true;
    CHECK(!hedge_time(other));
    other = attempt;
    other.observations = 5;
    CHECK(!hedge_time(other));
    other = attempt;
    other.deadline = at(300ms);
    CHECK(!hedge_time(other));
    other.p95 = 0ms;
    CHECK(hedge_time(other) == at(10ms));
}

TEST_CASE("a call that may not be repeated is retried only while none of it was sent")
{
    auto budget = retry_budget{};
    auto attempt = retry_input{};
    CHECK(decide_retry(budget, attempt, at(0s)) == retry_decision::retry);
    attempt.sent = true;
    CHECK(decide_retry(budget, attempt, at(0s)) == retry_decision::not_repeatable);
    attempt.repeatable = true;
    CHECK(decide_retry(budget, attempt, at(0s)) == retry_decision::retry);
    attempt.deadline = at(1s);
    attempt.expected = 1s;
    CHECK(decide_retry(budget, attempt, at(0s)) == retry_decision::deadline_passed);
    attempt.attempts = max_attempts;
    CHECK(decide_retry(budget, attempt, at(0s)) == retry_decision::attempts_used);
    attempt.answer_started = true;
    CHECK(decide_retry(budget, attempt, at(0s)) == retry_decision::answer_started);
    // only the two decisions to retry count against the budget
    CHECK(retries_left(budget, at(0s)) == 8);
}

TEST_CASE("a forwarded deadline is the remaining time, and extreme values do not overflow")
{
    const auto deadline = deadline_from_header("1500", at(0s));
    REQUIRE(deadline);
    CHECK(deadline_header(*deadline, at(400us)) == "1499");
    CHECK(deadline_header(*deadline, at(2s)) == "0");
    CHECK(deadline_allows(deadline, at(0s), 1499ms));
    CHECK(!deadline_allows(deadline, at(0s), 1500ms));
    CHECK(deadline_allows(std::nullopt, at(0s), 1h));
    CHECK(deadline_from_header("-3", at(0s)) == at(0s));
    CHECK(deadline_from_header("9223372036854775807", at(0s)) == at(24h));
    CHECK(!deadline_from_header("", at(0s)));
    CHECK(!deadline_from_header("12x", at(0s)));
}

TEST_CASE("the delay before a retry is random within a bounded interval")
{
    CHECK(retry_delay(1, 0.0) == 0ms);
    CHECK(retry_delay(1, 0.5) == 25ms);
    CHECK(retry_delay(100, 1.0) == 400ms);
}

TEST_CASE("content is blocked by crashes of two incarnations, not by two reports of one crash")
{
    auto table = suspect_table{};
    CHECK(suspicion_of(table, 1, at(0s)) == suspicion::none);
    CHECK(add_crash_report(table, crash_of("e1", 5), at(0s)));
    CHECK(!add_crash_report(table, crash_of("e1", 5), at(1s)));
    CHECK(suspicion_of(table, 1, at(1s)) == suspicion::suspect);
    CHECK(add_crash_report(table, crash_of("e1", 6), at(2s)));
    CHECK(suspicion_of(table, 1, at(2s)) == suspicion::blocked);
    CHECK(suspicion_of(table, 2, at(2s)) == suspicion::none);
}

TEST_CASE("a completed suspect is cleared and late copies of its crash reports do not count again")
{
    auto table = suspect_table{};
    add_crash_report(table, crash_of("e1", 5), at(0s));
    CHECK(clear_crash_reports(table, 1, at(1s)));
    CHECK(!clear_crash_reports(table, 1, at(1s)));
    CHECK(!add_crash_report(table, crash_of("e1", 5), at(2s)));
    CHECK(suspicion_of(table, 1, at(2s)) == suspicion::none);
    CHECK(add_crash_report(table, crash_of("e2", 9), at(3s)));
    CHECK(suspicion_of(table, 1, at(3s)) == suspicion::suspect);
}

TEST_CASE("each crash expires after ten minutes")
{
    auto table = suspect_table{};
    add_crash_report(table, crash_of("e1", 5), at(0s));
    add_crash_report(table, crash_of("e2", 5), at(5min));
    CHECK(suspicion_of(table, 1, at(9min)) == suspicion::blocked);
    CHECK(suspicion_of(table, 1, at(10min)) == suspicion::suspect);
    CHECK(suspicion_of(table, 1, at(15min)) == suspicion::none);
    expire_crash_reports(table, at(15min));
    CHECK(table.suspects.empty());
    CHECK(table.expiry.empty());
}

TEST_CASE("the table of suspects is bounded and evicts the oldest")
{
    auto table = suspect_table{};
    table.settings.max_suspects = 100;
    for (auto i = std::uint64_t{0}; i < 1000; ++i) {
        add_crash_report(table, crash_of("e1", 5, i), at(std::chrono::milliseconds{i}));
    }
    CHECK(table.suspects.size() == 100);
    CHECK(table.expiry.size() == 100);
    CHECK(suspicion_of(table, 999, at(1s)) == suspicion::suspect);
    CHECK(suspicion_of(table, 0, at(1s)) == suspicion::none);
}

TEST_CASE("a suspect runs only without other suspects; other requests run anywhere")
{
    CHECK(isolation_allows(suspicion::none, 3));
    CHECK(isolation_allows(suspicion::suspect, 0));
    CHECK(!isolation_allows(suspicion::suspect, 1));
    CHECK(!isolation_allows(suspicion::blocked, 0));
}
