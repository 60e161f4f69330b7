#pragma once

#include <algorithm>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <sstream>

#include "cyclamenpost/routing/even_choice.hpp"
#include "cyclamenpost/routing/target_choice.hpp"

namespace cyclamenpost::spread_model {

using namespace std::chrono_literals;

// Plays a fleet in virtual time: targets with slots and a queue, arrivals in batches at different
// instances, and load information of the same age at all of them, or none.

enum class policy { today, random, two_fresh, full, even };

struct load_pattern {
    std::size_t instances = 67;
    /// Zone and slots of each target.
    std::vector<std::string> zones;
    std::vector<std::uint32_t> slots;
    std::uint32_t queue = 96;
    /// Zone that is evacuated; instances of it go on.
    std::string out;
    /// Age of load reports; none if targets report nothing.
    std::optional<duration> age;
    duration work = 1200ms;
    duration objective = 400ms;
    double busy = 0.42;
    std::size_t batch = 3;
    /// Part of the requests that have one prompt in common.
    double hot = 0;
    /// Part of the time for which a target works slower, in periods of 600 ms, and how much slower.
    double slow_time = 0;
    double slower = 1;
    duration length = 9s;
};

inline constexpr duration tick = 20ms;
inline constexpr duration slow_period = 600ms;
inline constexpr duration filling = 2s;

struct run_figures {
    /// Highest ratio of the busiest target to the mean in any second.
    double busiest = 0;
    double rejected = 0;
    double late = 0;
    double waited_beside_idle = 0;
    double mean_wait_ms = 0;
    double p99_wait_ms = 0;
};

struct model_target {
    target* known = nullptr;
    std::vector<time_point> slot_free;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> ends;
    /// Requests at the target at each tick.
    std::vector<std::uint32_t> history;
    std::uint32_t started_since = 0;
    double pace = 1;
    double second_sum = 0;

    auto at_target(time_point now) -> std::uint32_t
    {
        while (!ends.empty() && ends.top() <= now) {
            ends.pop();
        }
        return static_cast<std::uint32_t>(ends.size());
    }
    auto share(time_point now) -> double
    {
        return at_target(now) / static_cast<double>(slot_free.size());
    }
};

struct own_request {
    std::size_t target = 0;
    time_point sent;
    time_point end;
};

struct fleet_model {
    load_pattern load;
    policy by;
    /// Arrivals, work and pauses are the same for all policies.
    std::mt19937_64 random;
    std::mt19937_64 arrivals;
    std::mt19937_64 pauses;
    std::vector<double> draws;
    target_table table;
    std::vector<model_target> targets;
    std::vector<std::vector<own_request>> own;
    std::vector<double> times;
    int arrived = 0, rejected = 0, late = 0, beside_idle = 0;
    double busiest = 0;

    fleet_model(load_pattern played, policy chosen, std::uint64_t seed)
        : load(std::move(played)),
          by(chosen),
          random(seed),
          arrivals(seed + 1000),
          pauses(seed + 2000),
          draws(load.instances),
          targets(load.slots.size()),
          own(load.instances)
    {
        for (std::size_t index = 0; index < targets.size(); ++index) {
            auto entry = published_target{};
            entry.id = "t" + std::to_string(index);
            entry.service = "s";
            entry.zone = load.zones[index % load.zones.size()];
            entry.capacity = load.slots[index];
            upsert_target(table, entry, {});
            targets[index].slot_free.resize(load.slots[index]);
        }
        for (std::size_t index = 0; index < targets.size(); ++index) {
            targets[index].known = &table.targets.at("t" + std::to_string(index));
        }
        if (!load.out.empty()) {
            table.evacuated_zones.insert(load.out);
        }
        table.request_seconds["s"] = std::chrono::duration<double>(load.work).count();
    }

    static auto unit(std::mt19937_64& source) -> double
    {
        return std::uniform_real_distribution<double>{}(source);
    }

    /// Gives the table what the instance knows: old reports, and its own requests.
    auto show(std::size_t instance, time_point now) -> void
    {
        std::erase_if(own[instance], [&](const auto& sent) { return sent.end <= now; });
        for (auto& one : targets) {
            one.known->in_flight = 0;
            one.known->load.reset();
            const auto ticks = static_cast<std::size_t>(load.age.value_or(tick) / tick);
            if (load.age && one.history.size() >= ticks) {
                one.known->load = reported_load{one.history[one.history.size() - ticks],
                                                now - *load.age, 0, report_origin::zone_peer, now};
            }
        }
        for (const auto& sent : own[instance]) {
            auto& known = *targets[sent.target].known;
            ++known.in_flight;
            if (known.load && sent.sent > known.load->reported_at) {
                ++known.load->started_since;
            }
        }
    }

    auto choose(std::size_t instance, time_point now) -> std::size_t
    {
        const auto less_busy = [&](std::size_t left, std::size_t right) {
            return targets[right].share(now) < targets[left].share(now) ? right : left;
        };
        const auto any = random() % targets.size();
        if (by == policy::random || by == policy::two_fresh) {
            return by == policy::random ? any : less_busy(any, random() % targets.size());
        }
        if (by == policy::full) {
            auto best = any;
            for (std::size_t index = 0; index < targets.size(); ++index) {
                best = less_busy(best, index);
            }
            return best;
        }
        show(instance, now);
        table.settings.zone = std::string(1, static_cast<char>('a' + instance % 3));
        auto query = choice_query{};
        query.service = "s";
        query.prefix_hash = unit(random) < load.hot ? 7 : 0;
        query.prefix_tokens = query.prefix_hash == 0 ? 0 : 2000;
        query.even_load = by == policy::even;
        query.objective = load.objective;
        auto& draw = draws[instance];
        draw = draw > 0 ? next_draw(draw) : unit(random);
        query.random = draw;
        const auto* chosen = choose_target(table, query, {}, now).chosen;
        return static_cast<std::size_t>(std::stoul(chosen->published.id.substr(1)));
    }

    auto arrive(time_point now) -> void
    {
        const auto instance = arrivals() % load.instances;
        const auto work_share = 2 * unit(arrivals);
        const auto chosen = choose(instance, now);
        auto& at = targets[chosen];
        const auto counted = now > time_point{} + filling;
        arrived += counted ? 1 : 0;
        if (at.at_target(now) >= at.slot_free.size() + load.queue) {
            rejected += counted ? 1 : 0;
            return;
        }
        const auto free = std::ranges::min_element(at.slot_free);
        const auto begin = std::max(now, *free);
        const auto work = std::chrono::duration_cast<duration>(load.work * at.pace * work_share);
        if (counted) {
            const auto idle = std::ranges::any_of(targets, [&](auto& other) {
                return other.at_target(now) < other.slot_free.size();
            });
            beside_idle += begin > now && idle ? 1 : 0;
            times.push_back(std::chrono::duration<double, std::milli>(begin - now).count());
            late += begin + std::min<duration>(work, load.objective / 2) > now + load.objective;
        }
        *free = begin + work;
        at.ends.push(*free);
        own[instance].push_back({chosen, now, *free});
    }

    auto run() -> run_figures
    {
        const auto slots = std::accumulate(load.slots.begin(), load.slots.end(), 0.0);
        const auto per_tick = load.busy * slots * static_cast<double>(tick.count()) /
                              static_cast<double>(load.work.count()) /
                              static_cast<double>(load.batch);
        auto second_ticks = 0;
        for (auto now = time_point{}; now < time_point{} + load.length; now += tick) {
            auto highest = 0.0;
            auto sum = 0.0;
            ++second_ticks;
            for (auto& one : targets) {
                one.history.push_back(one.at_target(now));
                one.second_sum += one.share(now);
                highest = std::max(highest, one.second_sum);
                sum += one.second_sum;
                if ((now - time_point{}) % slow_period < tick) {
                    one.pace = unit(pauses) < load.slow_time ? load.slower : 1;
                }
            }
            if (second_ticks == 1s / tick) {
                if (now > time_point{} + filling) {
                    busiest =
                        std::max(busiest, highest * static_cast<double>(targets.size()) / sum);
                }
                for (auto& one : targets) {
                    one.second_sum = 0;
                }
                second_ticks = 0;
            }
            for (auto left = std::poisson_distribution<int>{per_tick}(arrivals); left > 0; --left) {
                const auto at = now + std::chrono::duration_cast<duration>(tick * unit(arrivals));
                for (std::size_t index = 0; index < load.batch; ++index) {
                    arrive(at);
                }
            }
        }
        std::ranges::sort(times);
        const auto all = static_cast<double>(arrived);
        return {busiest,
                rejected / all,
                late / all,
                beside_idle / all,
                std::accumulate(times.begin(), times.end(), 0.0) /
                    static_cast<double>(times.size()),
                times[times.size() * 99 / 100]};
    }
};

/// Means of the figures of several runs.
inline auto play(const load_pattern& load, policy by) -> run_figures
{
    constexpr auto seeds = 4U;
    auto mean = run_figures{};
    for (auto seed = 1U; seed <= seeds; ++seed) {
        const auto one = fleet_model{load, by, seed}.run();
        mean.busiest += one.busiest / seeds;
        mean.rejected += one.rejected / seeds;
        mean.late += one.late / seeds;
        mean.waited_beside_idle += one.waited_beside_idle / seeds;
        mean.mean_wait_ms += one.mean_wait_ms / seeds;
        mean.p99_wait_ms += one.p99_wait_ms / seeds;
    }
    return mean;
}

struct all_figures {
    std::map<policy, run_figures> by;
    /// One line for each policy.
    std::string text;
};

inline auto play_all(const load_pattern& load) -> all_figures
{
    auto all = all_figures{};
    for (const auto& [by, name] : {std::pair{policy::today, "today"},
                                   {policy::random, "random"},
                                   {policy::two_fresh, "two_fresh"},
                                   {policy::full, "full"},
                                   {policy::even, "even"}}) {
        const auto one = all.by[by] = play(load, by);
        auto line = std::ostringstream{};
        line << name << ": busiest " << one.busiest << ", rejected " << one.rejected << ", late "
             << one.late << ", waited beside idle " << one.waited_beside_idle << ", wait mean "
             << one.mean_wait_ms << " ms, 99th " << one.p99_wait_ms << " ms\n";
        all.text += line.str();
    }
    return all;
}

inline auto fleet_of(std::size_t instances, std::size_t targets, duration age) -> load_pattern
{
    auto load = load_pattern{};
    load.instances = instances;
    load.zones = {"a", "b", "c"};
    load.slots.assign(targets, 16);
    load.queue = 48;
    load.age = age;
    load.length = 5s;
    return load;
}

} // namespace cyclamenpost::spread_model
