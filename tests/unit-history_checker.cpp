#include <doctest/doctest.h>

#include <algorithm>

#include "history_checker.hpp"

using namespace cyclamenpost;

namespace {

using event_list = std::vector<history_event>;

constexpr auto second = std::int64_t{1000000};

auto at(double seconds, const std::string& kind) -> history_event
{
    auto event = history_event{};
    event.at_us = static_cast<std::int64_t>(seconds * static_cast<double>(second));
    event.event = kind;
    return event;
}

auto call(double seconds, const std::string& kind, const std::string& content,
          const std::string& outcome = "", int attempt = 1) -> history_event
{
    auto event = at(seconds, kind);
    event.request = "call-" + content;
    event.attempt = attempt;
    event.content = content;
    event.outcome = outcome;
    event.instance = "i1";
    return event;
}

auto run(double seconds, const std::string& kind, const std::string& content,
         const std::string& target, int cost = 1, const std::string& outcome = "") -> history_event
{
    auto event = at(seconds, kind);
    event.request = "r-" + content;
    event.content = content;
    event.target = target;
    event.zone = "a";
    event.cost = cost;
    event.outcome = outcome;
    return event;
}

auto target(double seconds, const std::string& kind, const std::string& id) -> history_event
{
    auto event = at(seconds, kind);
    event.target = id;
    return event;
}

auto zone(double seconds, const std::string& kind) -> history_event
{
    auto event = at(seconds, kind);
    event.zone = "a";
    return event;
}

auto instance(double seconds, const std::string& kind, std::uint64_t version = 0,
              const std::string& caller = "") -> history_event
{
    auto event = at(seconds, kind);
    event.instance = caller == "c-other" ? "i2" : "i1";
    event.incarnation = event.instance;
    event.config_version = version;
    event.detail = caller.empty() ? "" : "c";
    return event;
}

/// A history in which every check has something to judge and none is violated.
auto valid_history() -> event_list
{
    auto cold_run = run(1.1, "run_start", "a", "e1");
    cold_run.detail = "cold";
    auto booking = run(4.1, "run_start", "b", "app", 0);
    booking.key = "i1.1.1.x";
    auto stop = at(5, "stop_requested");
    stop.instance = "i1";
    return {target(0, "target_cold", "e1"),
            target(0, "target_cold", "e2"),
            target(0, "target_cold", "e3"),
            instance(0.5, "config_applied", 1),
            instance(0.6, "lookup", 1, "c"),
            call(1, "call_start", "a"),
            cold_run,
            run(2, "run_end", "a", "e1", 1, "complete"),
            call(2.1, "call_end", "a", "answered"),
            call(3, "call_start", "b"),
            call(3.1, "call_end", "b", "not_run"),
            call(4, "call_start", "b", "", 2),
            booking,
            stop,
            run(5.1, "run_end", "b", "app", 0, "complete"),
            call(5.2, "call_end", "b", "answered", 2),
            target(6, "target_leaving", "e1"),
            zone(6, "zone_out"),
            run(7, "run_start", "c", "e1"),
            target(10, "target_staying", "e1"),
            zone(10, "zone_in")};
}

/// Asserts that the events added to the valid history violate exactly the named check.
auto check_rejected(const std::string& name, const event_list& added) -> void
{
    auto events = valid_history();
    events.insert(events.end(), added.begin(), added.end());
    for (const auto& outcome : fakes::check_events(events, {})) {
        CAPTURE(outcome.name);
        CAPTURE(outcome.first_violation);
        CHECK((outcome.violations > 0) == (outcome.name == name));
        CHECK((outcome.extract.empty()) == (outcome.name != name));
        CHECK(fakes::check_passed(outcome, {}) == (outcome.name != name));
    }
}

} // namespace

TEST_CASE("a valid history passes every check, and every check judged something")
{
    for (const auto& outcome : fakes::check_events(valid_history(), {})) {
        CAPTURE(outcome.name);
        CAPTURE(outcome.first_violation);
        CHECK(outcome.violations == 0);
        CHECK(fakes::check_passed(outcome, {}));
    }
}

TEST_CASE("an empty history proves nothing unless the check may be empty")
{
    for (const auto& outcome : fakes::check_events({}, {})) {
        CHECK(!fakes::check_passed(outcome, {}));
        CHECK(fakes::check_passed(outcome, {outcome.name}));
    }
}

TEST_CASE("a wrong answer is rejected")
{
    check_rejected("whole_answer",
                   {call(30, "call_start", "w"), call(31, "call_end", "w", "wrong")});
}

TEST_CASE("an answer without a complete run at a target is rejected")
{
    check_rejected("whole_answer",
                   {call(30, "call_start", "w"), call(31, "call_end", "w", "answered")});
}

TEST_CASE("a refusal as not run of a request that ran is rejected")
{
    check_rejected("not_run", {call(30, "call_start", "n"), run(30.5, "run_start", "n", "app", 0),
                               call(31, "call_end", "n", "not_run")});
}

TEST_CASE("a request that runs after it was refused as not run is rejected")
{
    check_rejected("not_run", {call(30, "call_start", "n"), call(31, "call_end", "n", "not_run"),
                               run(32, "run_start", "n", "app", 0)});
}

TEST_CASE("a run that may belong to an earlier attempt is not counted against a later refusal")
{
    auto events = valid_history();
    events.push_back(call(30, "call_start", "n"));
    events.push_back(call(31, "call_end", "n", "cut"));
    events.push_back(call(32, "call_start", "n", "", 2));
    events.push_back(run(32.5, "run_start", "n", "app", 0));
    events.push_back(call(33, "call_end", "n", "not_run", 2));
    const auto outcomes = fakes::check_events(events, {});
    CHECK(std::ranges::all_of(outcomes, [](const auto& each) { return each.violations == 0; }));
}

TEST_CASE("two runs of one key are rejected")
{
    auto again = run(30, "run_start", "b", "app", 0);
    again.key = "i1.1.1.x";
    check_rejected("once_per_key", {again});
}

TEST_CASE("a load above the multiple of the mean is rejected")
{
    check_rejected("load_bound",
                   {run(30, "run_start", "l1", "e2"), run(30.1, "run_start", "l2", "e2"),
                    run(30.2, "run_start", "l3", "e2"), run(30.3, "run_start", "l4", "e2")});
}

TEST_CASE(
    "a load within the multiple of a recent mean is accepted, of an older mean it is rejected")
{
    auto events = event_list{target(0, "target_cold", "e1"), target(0, "target_cold", "e2")};
    for (auto i = 0; i < 4; ++i) {
        const auto content = std::to_string(i);
        events.push_back(run(1, "run_start", "p" + content, "e1"));
        events.push_back(run(1, "run_start", "q" + content, "e2"));
        events.push_back(run(2, "run_end", "q" + content, "e2", 1, "complete"));
    }
    const auto violations = [&](double seconds) {
        auto all = events;
        all.push_back(run(seconds, "run_start", "late", "e1"));
        return fakes::check_events(all, {}).at(3).violations;
    };
    CHECK(violations(3) == 0);
    CHECK(violations(9) == 1);
}

TEST_CASE("an engine that exits because of overload while it is cold is rejected")
{
    check_rejected("cold_start", {target(30, "target_overload", "e2")});
}

TEST_CASE("a run that starts on a target that has been leaving for over 3 s is rejected")
{
    auto events = valid_history();
    std::erase_if(events, [](const auto& event) { return event.event == "zone_out"; });
    events.push_back(run(9.1, "run_start", "x", "e1"));
    const auto outcomes = fakes::check_events(events, {});
    CHECK(outcomes.at(5).name == "leaving_target");
    CHECK(outcomes.at(5).violations == 1);
}

TEST_CASE("a run that starts in a zone that has been out for over 3 s is rejected, after its "
          "return it is not")
{
    check_rejected("zone_out", {run(9.1, "run_start", "x", "e2")});
    auto events = valid_history();
    events.push_back(zone(9.05, "zone_in"));
    events.push_back(run(9.1, "run_start", "x", "e2"));
    CHECK(fakes::check_events(events, {}).at(6).violations == 0);
}

TEST_CASE("a call cut off by a graceful shutdown is rejected, unless its target was lost")
{
    const auto cut = event_list{call(4.5, "call_start", "g"), run(4.6, "run_start", "g", "e2"),
                                call(5.5, "call_end", "g", "cut")};
    check_rejected("graceful_shutdown", cut);
    auto events = valid_history();
    events.insert(events.end(), cut.begin(), cut.end());
    events.push_back(target(5.4, "target_killed", "e2"));
    CHECK(fakes::check_events(events, {}).at(7).violations == 0);
}

TEST_CASE("a version that decreases at one instance is rejected")
{
    check_rejected("config_versions",
                   {instance(30, "config_applied", 3), instance(31, "config_applied", 2)});
}

TEST_CASE("a caller that sees an older version after 10 s is rejected, within 10 s it is not")
{
    check_rejected("config_versions",
                   {instance(30, "lookup", 3, "c"), instance(40.1, "lookup", 2, "c-other")});
    auto events = valid_history();
    events.push_back(instance(30, "lookup", 3, "c"));
    events.push_back(instance(39.9, "lookup", 2, "c-other"));
    CHECK(fakes::check_events(events, {}).at(8).violations == 0);
}

TEST_CASE("an event is unchanged by formatting and parsing")
{
    auto event = run(1.5, "run_start", "c\"\n", "e1", 7);
    event.config_version = 9;
    const auto parsed = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(copy, parse_event(format_event(event)));
            CHECK(format_event(copy) == format_event(event));
            CHECK(copy.content == event.content);
            return {};
        },
        [](const error&) {});
    CHECK(parsed);
}
