#pragma once

#include <array>
#include <cmath>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "cyclamenpost/limits/retries.hpp"
#include "cyclamenpost/routing/silence.hpp"

namespace cyclamenpost::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr auto objective = milliseconds{400};
inline constexpr auto longest = milliseconds{1000};

/// Time from the start of a replay.
inline auto at(duration since_start) -> time_point
{
    return time_point{} + std::chrono::hours{1} + since_start;
}

struct replay_result {
    double requests = 0;
    double late = 0;
    double left = 0;
    double moved = 0;
    /// Requests that were moved, early or not, in the seconds from 23 to 30.
    double moved_later = 0;
};

/// Time after which a target answers a request that arrives there at `now`; nothing for one that
/// hangs. `usual` is what a sound one takes.
using answer_rule =
    std::function<std::optional<duration>(int target, duration usual, duration now)>;

/// 60 instances send 10 repeatable requests per second each to 90 targets for 60 s. The result has
/// the requests of the seconds from 20 to 30.
inline auto replay(bool early, const answer_rule& answer) -> replay_result
{
    constexpr auto instances = std::size_t{60};
    constexpr auto targets = std::size_t{90};
    struct known_target {
        time_point rests_until, answered_at;
        int failures = 0;
    };
    struct instance {
        answer_time_table times;
        retry_budget budget;
        std::array<known_target, targets> known{};
        std::uint32_t unanswered = 0;
    };
    struct request {
        time_point arrived, begun;
        std::optional<time_point> answered;
        std::size_t instance = 0, target = targets;
        bool left_early = false, moved = false;
        duration left_after{};
    };
    auto random = std::mt19937{7};
    auto usual = std::lognormal_distribution{std::log(60.0), 0.6};
    auto all = std::vector<instance>(instances);
    auto requests = std::vector<request>(std::size_t{600} * instances);
    auto events = std::set<std::pair<time_point, std::size_t>>{};
    for (auto& one : all) {
        one.budget.settings = divide_retry_budget({0.2, 50}, instances);
    }
    for (auto index = std::size_t{0}; index < requests.size(); ++index) {
        requests[index].instance = random() % instances;
        requests[index].arrived = at(duration{seconds{60}} * index / requests.size());
        events.emplace(requests[index].arrived, index);
    }
    auto result = replay_result{};
    const auto note = [](const request& job, double& count) {
        count += job.arrived >= at(seconds{20}) && job.arrived < at(seconds{30}) ? 1 : 0;
    };
    while (!events.empty()) {
        const auto [now, index] = *events.begin();
        events.erase(events.begin());
        auto& job = requests[index];
        auto& own = all[job.instance];
        const auto answered = job.answered && *job.answered <= now;
        auto send = job.target == targets;
        if (send) {
            count_first_attempt(own.budget, now);
        }
        else if (auto& used = own.known.at(job.target);
                 answered || now - job.arrived > seconds{4}) {
            own.unanswered -= job.left_early ? 1 : 0;
            note(job, result.requests);
            if (now - job.arrived > objective) {
                note(job, result.late);
            }
            const auto twice = job.left_early && now - job.begun > job.left_after;
            for (auto count = answered ? 1 + static_cast<int>(twice) : 0; count > 0; --count) {
                record_answer_time(own.times, "s", {}, now - job.begun, now);
            }
            used = answered ? known_target{used.rests_until, now, 0} : used;
            continue;
        }
        else {
            const auto limit = early_limit(
                {usual_answer_limit(own.times, "s", {}, now), objective, job.begun - job.arrived,
                 longest, used.answered_at > job.begun, false, job.left_early || !early,
                 retries_allowed(own.budget, now), retries_left(own.budget, now), own.unanswered});
            send = now - job.begun >= limit && !job.moved && spend_retry(own.budget, now);
            if (send) {
                job.moved = true;
                job.left_early = limit < longest;
                job.left_after = now - job.begun;
                own.unanswered += job.left_early ? 1 : 0;
                used.rests_until = now + milliseconds{500} * (1 << std::min(used.failures++, 3));
                note(job, result.moved);
                if (job.left_early) {
                    note(job, result.left);
                }
                result.moved_later += now > at(seconds{23}) && now < at(seconds{30}) ? 1 : 0;
            }
        }
        if (send) {
            const auto before = job.target;
            do {
                job.target = random() % targets;
            } while (job.target == before || own.known.at(job.target).rests_until > now);
            job.begun = now;
            const auto sound = duration{static_cast<std::int64_t>(usual(random) * 1000)};
            const auto taken = answer(static_cast<int>(job.target), sound, now - at({}));
            job.answered = taken ? std::optional{now + *taken} : std::nullopt;
        }
        const auto next_look = now + milliseconds{20};
        events.emplace(job.answered ? std::min(*job.answered, next_look) : next_look, index);
    }
    return result;
}

} // namespace cyclamenpost::test
