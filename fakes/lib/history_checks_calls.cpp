#include <algorithm>
#include <optional>

#include "history_checks.hpp"

namespace cyclamenpost::fakes::detail {

namespace {

auto is_target_failure(const history_event& event) -> bool
{
    return event.event == "target_killed" || event.event == "target_crash" ||
           event.event == "target_overload";
}

auto has_complete_run(const event_list& events, std::int64_t until) -> bool
{
    return std::ranges::any_of(events, [&](const history_event& event) {
        return event.event == "run_end" && event.outcome == "complete" && event.at_us <= until;
    });
}

/// Checks the attempts of one content in order. An attempt that did not end with a refusal may
/// still run later, so a run that follows it cannot be attributed to a single attempt.
auto check_refusals(const event_list& events, check_outcome& outcome) -> void
{
    auto has_unresolved_attempt = false;
    auto runs = std::size_t{0};
    auto refused = false;
    for (const auto& event : events) {
        if (event.event == "call_start") {
            has_unresolved_attempt = has_unresolved_attempt || (runs > 0 && !refused);
            refused = false;
            runs = 0;
        }
        else if (event.event == "run_start") {
            ++runs;
            if (refused && !has_unresolved_attempt) {
                add_violation(outcome, "ran after it was refused as not run", events);
            }
        }
        else if (event.event == "call_end") {
            refused = event.outcome == "not_run" || event.outcome == "not_connected";
            has_unresolved_attempt = has_unresolved_attempt || !refused;
            if (!refused || has_unresolved_attempt) {
                continue;
            }
            ++outcome.judged;
            if (runs > 0) {
                add_violation(outcome, "refused as not run, but it ran", events);
            }
        }
    }
}

/// Whether the target of one of the runs failed between `from` and `until`, or closed the
/// connection of the run.
auto target_failed(const history_view& view, const event_list& runs, std::int64_t from,
                   std::int64_t until) -> bool
{
    for (const auto& run : runs) {
        if (run.event == "run_end" && (run.outcome == "target_lost" || run.outcome == "closed")) {
            return true;
        }
        const auto lost = [&](const history_event& event) {
            return is_target_failure(event) && event.target == run.target && event.at_us >= from &&
                   event.at_us <= until;
        };
        if (run.event == "run_start" && std::ranges::any_of(view.events, lost)) {
            return true;
        }
    }
    return false;
}

/// The end of the attempt that `start` began; none if it was not recorded.
auto end_of_attempt(const event_list& events, const history_event& start)
    -> std::optional<history_event>
{
    const auto found = std::ranges::find_if(events, [&](const history_event& event) {
        return event.event == "call_end" && event.request == start.request &&
               event.attempt == start.attempt;
    });
    return found != events.end() ? std::optional{*found} : std::nullopt;
}

auto check_call_at_shutdown(const history_view& view, const history_event& stop,
                            const history_event& start, check_outcome& outcome) -> void
{
    const auto& events = view.by_content.at(start.content);
    const auto end = end_of_attempt(events, start);
    if (!end || end->at_us < stop.at_us) {
        return;
    }
    ++outcome.judged;
    const auto interrupted = end->outcome == "cut" || end->outcome == "unknown";
    if (!interrupted || target_failed(view, events, start.at_us, end->at_us)) {
        return;
    }
    auto extract = events;
    extract.push_back(stop);
    std::ranges::stable_sort(extract, {}, &history_event::at_us);
    add_violation(outcome, "a call was cut off by the shutdown of " + stop.instance, extract);
}

/// A configuration version in a lookup answer.
struct observed_version {
    std::int64_t at_us = 0;
    std::uint64_t version = 0;
    history_event event;
};

/// Instances that could not reach the platform or a peer. Until the grace time after they have
/// rejoined, an old version at them is allowed.
class isolation {
public:
    auto observe(const history_event& event, duration grace) -> void
    {
        if (event.event == "isolated") {
            excused_until_us_[event.instance] = std::numeric_limits<std::int64_t>::max();
        }
        else if (event.event == "rejoined") {
            excused_until_us_[event.instance] = event.at_us + grace.count();
        }
    }

    auto excuses(const history_event& event) const -> bool
    {
        const auto found = excused_until_us_.find(event.instance);
        return found != excused_until_us_.end() && event.at_us <= found->second;
    }

private:
    std::map<std::string, std::int64_t> excused_until_us_;
};

/// Versions that one caller has seen, checked across all instances.
class caller_versions {
public:
    auto check(const history_event& event, duration delay, check_outcome& outcome) -> void
    {
        const auto settled_at_us = event.at_us - delay.count();
        for (; next_ < observed_.size() && observed_[next_].at_us <= settled_at_us; ++next_) {
            if (observed_[next_].version > settled_.version) {
                settled_ = observed_[next_];
            }
        }
        if (event.config_version < settled_.version) {
            add_violation(outcome, "a caller met an older version after the delay",
                          {settled_.event, event});
        }
        observed_.push_back({event.at_us, event.config_version, event});
    }

private:
    std::vector<observed_version> observed_;
    std::size_t next_ = 0;
    /// Highest version that was seen longer ago than the delay.
    observed_version settled_;
};

} // namespace

auto check_whole_answer(const history_view& view) -> check_outcome
{
    auto outcome = check_outcome{"whole_answer", 0, 0, {}, {}};
    for (const auto& event : view.events) {
        if (event.event != "call_end" ||
            (event.outcome != "answered" && event.outcome != "wrong")) {
            continue;
        }
        ++outcome.judged;
        const auto found = view.by_content.find(event.content);
        const auto events = found != view.by_content.end() ? found->second : event_list{event};
        if (event.outcome == "wrong") {
            add_violation(outcome, "the answer was wrong: " + event.detail, events);
        }
        else if (!has_complete_run(events, event.at_us)) {
            add_violation(outcome, "answered without a complete run", events);
        }
    }
    return outcome;
}

auto check_not_run(const history_view& view) -> check_outcome
{
    auto outcome = check_outcome{"not_run", 0, 0, {}, {}};
    for (const auto& [content, events] : view.by_content) {
        check_refusals(events, outcome);
    }
    return outcome;
}

auto check_once_per_key(const history_view& view) -> check_outcome
{
    auto outcome = check_outcome{"once_per_key", 0, 0, {}, {}};
    auto starts = std::map<std::string, event_list>{};
    for (const auto& event : view.events) {
        if (event.event == "run_start" && !event.key.empty()) {
            starts[event.key].push_back(event);
        }
    }
    for (const auto& [key, runs] : starts) {
        ++outcome.judged;
        if (runs.size() > 1) {
            add_violation(outcome, "key " + key + " ran " + std::to_string(runs.size()) + " times",
                          runs);
        }
    }
    return outcome;
}

auto check_graceful_shutdown(const history_view& view) -> check_outcome
{
    auto outcome = check_outcome{"graceful_shutdown", 0, 0, {}, {}};
    for (const auto& stop : view.events) {
        if (stop.event != "stop_requested") {
            continue;
        }
        for (const auto& start : view.events) {
            if (start.at_us >= stop.at_us) {
                break;
            }
            if (start.event == "call_start" && start.instance == stop.instance) {
                check_call_at_shutdown(view, stop, start, outcome);
            }
        }
    }
    return outcome;
}

auto check_config_versions(const history_view& view, const check_bounds& bounds) -> check_outcome
{
    auto outcome = check_outcome{"config_versions", 0, 0, {}, {}};
    auto last_at_process = std::map<std::string, history_event>{};
    auto versions_by_caller = std::map<std::string, caller_versions>{};
    auto isolated = isolation{};
    for (const auto& event : view.events) {
        isolated.observe(event, bounds.config_delay);
        if (event.config_version == 0) {
            continue;
        }
        const auto lookup = event.event == "lookup";
        ++outcome.judged;
        // lookups of each caller and the instance's own events are ordered separately
        const auto observer = lookup ? event.detail : std::string{};
        auto& last = last_at_process[event.instance + "/" + event.incarnation + "/" + observer];
        if (event.config_version < last.config_version) {
            add_violation(outcome, "the version of one process decreased", {last, event});
        }
        last = event;
        if (lookup && !isolated.excuses(event)) {
            versions_by_caller[event.detail].check(event, bounds.config_delay, outcome);
        }
    }
    return outcome;
}

} // namespace cyclamenpost::fakes::detail
