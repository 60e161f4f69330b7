#include <algorithm>
#include <cmath>
#include <deque>

#include "history_checks.hpp"

namespace cyclamenpost::fakes::detail {

namespace {

// events of the target in an extract, up to the start that violates the bound
constexpr auto max_recent_events = std::size_t{10};

/// Load of one engine, reconstructed from its own events.
struct engine_load {
    std::map<std::string, std::int64_t> cost_by_run;
    std::int64_t total_cost = 0;
    std::deque<history_event> recent;
};

/// Mean load of the engines at one time.
struct mean_sample {
    std::int64_t at_us = 0;
    double mean = 0;
};

/// Loads of all engines over time.
class fleet_load {
public:
    auto observe(const history_event& event) -> void
    {
        const auto& kind = event.event;
        if (kind == "target_cold") {
            // an engine is empty after a cold start, also when runs of its previous process have
            // no end event
            engines_[event.target] = {};
        }
        else if (kind == "target_killed" || kind == "target_crash" || kind == "target_overload") {
            engines_.erase(event.target);
        }
        else if (engines_.contains(event.target) && event.event.starts_with("run_")) {
            observe_run(engines_[event.target], event);
        }
    }

    auto mean() const -> double
    {
        auto total_cost = std::int64_t{0};
        for (const auto& [id, engine] : engines_) {
            total_cost += engine.total_cost;
        }
        return engines_.empty()
                   ? 0
                   : static_cast<double>(total_cost) / static_cast<double>(engines_.size());
    }

    auto engine(const std::string& target) const -> const engine_load*
    {
        const auto found = engines_.find(target);
        return found != engines_.end() ? &found->second : nullptr;
    }

private:
    static auto observe_run(engine_load& engine, const history_event& event) -> void
    {
        const auto name = event.request + "/" + std::to_string(event.attempt) + "/" + event.content;
        if (event.event == "run_start") {
            engine.cost_by_run[name] += event.cost;
            engine.total_cost += event.cost;
        }
        else if (event.event == "run_end" && engine.cost_by_run.erase(name) > 0) {
            engine.total_cost -= event.cost;
        }
        engine.recent.push_back(event);
        if (engine.recent.size() > max_recent_events) {
            engine.recent.pop_front();
        }
    }

    std::map<std::string, engine_load> engines_;
};

/// Highest mean load within a sliding window of time.
class mean_window {
public:
    auto add(std::int64_t at_us, double mean, duration age) -> void
    {
        while (!samples_.empty() && samples_.back().mean <= mean) {
            samples_.pop_back();
        }
        samples_.push_back({at_us, mean});
        while (samples_.front().at_us < at_us - age.count()) {
            samples_.pop_front();
        }
    }

    auto highest() const -> double
    {
        return samples_.empty() ? 0 : samples_.front().mean;
    }

private:
    std::deque<mean_sample> samples_;
};

/// A rule that no run starts at a target or in a zone between two events, apart from a delay after
/// the first one.
struct stop_rule {
    std::string name;
    /// Kinds of the events at which the period begins and ends.
    std::string begin;
    std::string end;
    /// Field that names the target or zone.
    std::string history_event::*subject;
};

auto check_stop(const history_view& view, duration delay, const stop_rule& rule) -> check_outcome
{
    auto outcome = check_outcome{rule.name, 0, 0, {}, {}};
    auto stopped = std::map<std::string, history_event>{};
    auto judged = std::map<std::string, bool>{};
    for (const auto& event : view.events) {
        const auto& subject = event.*rule.subject;
        for (const auto& [name, begin] : stopped) {
            // a period counts as judged once the history has an event after its delay
            if (event.at_us > begin.at_us + delay.count() && !judged[name]) {
                judged[name] = true;
                ++outcome.judged;
            }
        }
        if (event.event == rule.begin) {
            stopped[subject] = event;
            judged[subject] = false;
        }
        else if (event.event == rule.end) {
            stopped.erase(subject);
        }
        const auto found = stopped.find(subject);
        if (event.event == "run_start" && found != stopped.end() &&
            event.at_us > found->second.at_us + delay.count()) {
            add_violation(outcome, "new work started after the delay", {found->second, event});
        }
    }
    return outcome;
}

} // namespace

auto check_load_bound(const history_view& view, const check_bounds& bounds) -> check_outcome
{
    auto outcome = check_outcome{"load_bound", 0, 0, {}, {}};
    auto fleet = fleet_load{};
    auto means = mean_window{};
    for (const auto& event : view.events) {
        fleet.observe(event);
        means.add(event.at_us, fleet.mean(), bounds.mean_age);
        const auto* engine = fleet.engine(event.target);
        if (event.event != "run_start" || event.cost == 0 || engine == nullptr) {
            continue;
        }
        ++outcome.judged;
        // as in the theorem on consistent hashing with bounded loads, which has unit loads, an
        // engine at or below the mean may accept one more request
        const auto bound = std::max(static_cast<double>(event.cost) + means.highest(),
                                    std::ceil(bounds.load_multiple * means.highest()));
        if (static_cast<double>(engine->total_cost) > bound) {
            add_violation(outcome,
                          "load " + std::to_string(engine->total_cost) + " of " + event.target +
                              " is above the bound " + std::to_string(bound),
                          {engine->recent.begin(), engine->recent.end()});
        }
    }
    return outcome;
}

auto check_cold_start(const history_view& view) -> check_outcome
{
    auto outcome = check_outcome{"cold_start", 0, 0, {}, {}};
    auto recent = std::map<std::string, event_list>{};
    for (const auto& event : view.events) {
        if (event.target.empty()) {
            continue;
        }
        auto& target_events = recent[event.target];
        if (event.event == "target_cold") {
            target_events.clear();
        }
        target_events.push_back(event);
        if (event.event == "run_start" && event.detail == "cold") {
            ++outcome.judged;
        }
        else if (event.event == "target_overload") {
            add_violation(outcome, event.target + " fell over during its cold start",
                          target_events);
        }
    }
    return outcome;
}

auto check_leaving_target(const history_view& view, const check_bounds& bounds) -> check_outcome
{
    return check_stop(
        view, bounds.stop_delay,
        {"leaving_target", "target_leaving", "target_staying", &history_event::target});
}

auto check_zone_out(const history_view& view, const check_bounds& bounds) -> check_outcome
{
    return check_stop(view, bounds.stop_delay,
                      {"zone_out", "zone_out", "zone_in", &history_event::zone});
}

} // namespace cyclamenpost::fakes::detail
