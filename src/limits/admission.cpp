#include "cyclamenpost/limits/admission.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "cyclamenpost/routing/attempts.hpp"

namespace cyclamenpost {

namespace {

// a faster request moves the low quantile by this part of the difference, a slower one by the
// smaller part, so that it settles where one request in 17 is faster
constexpr double faster_weight = 0.25;
constexpr double slower_weight = 1.0 / 64;
// time constant of the rate of refusals; long enough for an instance that refuses one request in
// several seconds, short enough to follow a burst of 6 s
constexpr double refusal_memory_seconds = 2;
// the network, the caller's timer and the target's queue make shorter delays useless
constexpr duration min_delay = std::chrono::milliseconds{20};
// callers honour a delay up to a third of their remaining time; the rest is for the way back
constexpr double honoured_share = 0.3;
constexpr std::size_t max_rejecting_targets = 1024;
constexpr duration rejection_memory = std::chrono::seconds{1};

auto in_seconds(duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

auto from_seconds(double seconds) -> duration
{
    constexpr auto longest = 3600.0;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::clamp(seconds, 0.0, longest)});
}

auto move_low_quantile(double& estimate, double sample) -> void
{
    if (estimate == 0) {
        estimate = sample;
        return;
    }
    estimate += (sample < estimate ? faster_weight : slower_weight) * (sample - estimate);
}

using urgency_levels = std::map<int, detail::urgency_level>;

auto count_in(const urgency_levels& levels) -> std::size_t
{
    auto count = std::size_t{0};
    for (const auto& [priority, level] : levels) {
        count += queued_count(level.queue);
    }
    return count;
}

auto level_of(admission_queue& queue, const waiting_request& request) -> detail::urgency_level&
{
    const auto [level, added] = queue.services[request.service].try_emplace(request.priority);
    if (added) {
        auto limits = queue_settings{};
        // a request's wait ends at its own latest start
        limits.interactive_wait = std::chrono::hours{1};
        limits.summary_wait = std::chrono::hours{1};
        limits.max_queued = queue.settings.max_waiting;
        limits.max_queued_per_organisation = queue.settings.max_waiting;
        limits.quantum = 1;
        limits.by_deadline = true;
        level->second.queue = make_fair_queue(limits);
    }
    return level->second;
}

using request_position = std::unordered_map<std::uint64_t, waiting_request>::iterator;

auto forget(admission_queue& queue, request_position position) -> void
{
    const auto& request = position->second;
    queue.latest.erase({request.latest_start, request.id});
    queue.bytes -= request.bytes;
    queue.requests.erase(position);
}

/// Removes a request for a newcomer: of the service with the most waiting requests the least urgent
/// one that is not more urgent than the newcomer, if the service is the newcomer's own.
auto make_room(admission_queue& queue, const waiting_request& newcomer)
    -> std::optional<std::uint64_t>
{
    const auto most = std::max_element(queue.services.begin(), queue.services.end(),
                                       [](const auto& left, const auto& right) {
                                           return count_in(left.second) < count_in(right.second);
                                       });
    if (most == queue.services.end()) {
        return std::nullopt;
    }
    auto& levels = most->second;
    const auto least_urgent = std::find_if(levels.rbegin(), levels.rend(), [](const auto& level) {
        return queued_count(level.second.queue) > 0;
    });
    const auto own = most->first == newcomer.service;
    if (least_urgent == levels.rend() || (own && least_urgent->first < newcomer.priority)) {
        return std::nullopt;
    }
    const auto competes = own && least_urgent->first == newcomer.priority;
    const auto displaced = displace_work(
        least_urgent->second.queue, competes ? std::optional{newcomer.organisation} : std::nullopt);
    if (!displaced) {
        return std::nullopt;
    }
    forget(queue, queue.requests.find(displaced->id));
    return displaced->id;
}

/// The part of the window between its bounds that a random number selects.
auto pick(duration earliest, duration latest, double random) -> duration
{
    return earliest + from_seconds(in_seconds(latest - earliest) * random);
}

} // namespace

auto record_times(service_pressure& seen, duration first_byte, duration occupied) -> void
{
    if (first_byte > duration::zero() && occupied >= first_byte) {
        move_low_quantile(seen.first_byte_seconds, in_seconds(first_byte));
        move_low_quantile(seen.occupied_seconds, in_seconds(occupied));
    }
}

auto record_rejection(service_pressure& seen, const std::string& target, time_point now) -> void
{
    std::erase_if(seen.rejected_at,
                  [&](const auto& entry) { return now - entry.second > rejection_memory; });
    if (seen.rejected_at.size() < max_rejecting_targets) {
        seen.rejected_at[target] = now;
    }
}

auto record_refusal(service_pressure& seen, time_point now) -> void
{
    seen.refusals_per_second = refusal_rate(seen, now) + 1 / refusal_memory_seconds;
    seen.refusals_counted_at = now;
}

auto refusal_rate(const service_pressure& seen, time_point now) -> double
{
    const auto age = in_seconds(now - seen.refusals_counted_at);
    return seen.refusals_per_second * std::exp(-std::max(age, 0.0) / refusal_memory_seconds);
}

auto rejecting_targets(const service_pressure& seen, time_point now) -> std::size_t
{
    const auto recent = std::max(from_seconds(seen.occupied_seconds), min_delay);
    return static_cast<std::size_t>(
        std::count_if(seen.rejected_at.begin(), seen.rejected_at.end(),
                      [&](const auto& entry) { return now - entry.second <= recent; }));
}

auto first_byte_time(const service_pressure& seen) -> duration
{
    return from_seconds(seen.first_byte_seconds);
}

auto capacity_of(const service_pressure& seen, double slots, std::size_t targets, double waiting,
                 std::size_t instances, time_point now) -> capacity_facts
{
    auto facts = capacity_facts{};
    facts.slots = slots;
    facts.targets = targets;
    facts.rejecting = std::min(rejecting_targets(seen, now), targets);
    facts.waiting = waiting;
    facts.returning_per_second =
        refusal_rate(seen, now) * static_cast<double>(std::max<std::size_t>(instances, 1));
    facts.occupied = from_seconds(seen.occupied_seconds);
    return facts;
}

auto time_until_room(const capacity_facts& facts) -> std::optional<duration>
{
    if (facts.slots <= 0 || facts.targets == 0 || facts.occupied <= duration::zero()) {
        return std::nullopt;
    }
    const auto drain_per_second = facts.slots / in_seconds(facts.occupied);
    // a target that rejects has at least as many requests waiting as it runs, and the callers that
    // were refused within the last second come back to it; the other targets have room
    const auto full_share =
        static_cast<double>(facts.rejecting) / static_cast<double>(facts.targets);
    const auto returning = std::max(facts.returning_per_second, 0.0);
    // without rejections the refusals have another cause, which all callers share
    const auto returning_share = facts.rejecting > 0 ? full_share : 1.0;
    const auto at_targets = facts.slots * full_share + returning * returning_share;
    const auto backlog = std::max(at_targets, facts.waiting) + 1;
    return std::max(from_seconds(backlog / drain_per_second), min_delay);
}

auto return_delay(const capacity_facts& facts, const remaining_time& left, double random)
    -> duration
{
    const auto room = time_until_room(facts);
    if (!room) {
        return retry_after_delay(left.caller, random);
    }
    const auto limit = std::max(from_seconds(in_seconds(left.caller) * honoured_share), min_delay);
    const auto width = std::max({*room, facts.occupied, min_delay});
    auto earliest = *room;
    auto latest = *room + width;
    if (left.objective >= earliest) {
        latest = std::min(latest, std::max(left.objective, earliest + min_delay));
    }
    if (latest > limit) {
        // the window moves back rather than shrinks, so that callers still return spread
        earliest = std::max(std::min(earliest, limit - std::min(width, limit / 2)), min_delay);
        latest = limit;
    }
    return pick(std::min(earliest, latest), latest, random);
}

auto pause_before_retry(const capacity_facts& facts, const remaining_time& left, double random)
    -> std::optional<duration>
{
    const auto room = time_until_room(facts);
    if (!room || *room > left.objective || *room > left.caller) {
        return std::nullopt;
    }
    const auto latest = std::min(*room + std::max(*room / 2, min_delay / 2), left.objective);
    return pick(*room, latest, random);
}

auto enter_queue(admission_queue& queue, waiting_request request, time_point now) -> enter_decision
{
    auto decision = enter_decision{};
    if (request.latest_start <= now) {
        decision.rejected = admission_rule::objective_missed;
        return decision;
    }
    const auto full = [&] {
        return queue.requests.size() >= queue.settings.max_waiting ||
               queue.bytes + request.bytes > queue.settings.max_bytes;
    };
    if (request.bytes > queue.settings.max_bytes || queue.requests.contains(request.id)) {
        decision.rejected = admission_rule::queue_full;
        return decision;
    }
    while (full()) {
        const auto displaced = make_room(queue, request);
        if (!displaced) {
            decision.rejected = admission_rule::queue_full;
            return decision;
        }
        decision.displaced.push_back(*displaced);
    }
    auto work = queued_work{};
    work.id = request.id;
    work.organisation = request.organisation;
    work.kind = request.late ? work_class::summary : work_class::interactive;
    work.deadline = request.latest_start;
    if (!enqueue_work(level_of(queue, request).queue, std::move(work), now).queued) {
        decision.rejected = admission_rule::queue_full;
        return decision;
    }
    queue.latest.emplace(request.latest_start, request.id);
    queue.bytes += request.bytes;
    queue.requests.emplace(request.id, std::move(request));
    return decision;
}

auto leave_queue(admission_queue& queue, std::uint64_t id) -> void
{
    const auto found = queue.requests.find(id);
    if (found == queue.requests.end()) {
        return;
    }
    auto& levels = queue.services.at(found->second.service);
    cancel_work(levels.at(found->second.priority).queue, id);
    forget(queue, found);
}

auto take_next(admission_queue& queue, std::string_view service, const send_check& can_send,
               time_point now) -> std::optional<std::uint64_t>
{
    const auto found = queue.services.find(service);
    if (found == queue.services.end()) {
        return std::nullopt;
    }
    auto order = std::vector<detail::urgency_level*>{};
    for (auto& [priority, level] : found->second) {
        if (queued_count(level.queue) > 0) {
            order.push_back(&level);
        }
        else {
            level.passed_over = 0;
        }
    }
    std::stable_partition(order.begin(), order.end(), [&](const auto* level) {
        return level->passed_over >= queue.settings.max_passed_over;
    });
    const auto fits = [&](const queued_work& work) { return can_send(work.id); };
    for (auto* level : order) {
        const auto work = start_next_work(level->queue, fits, now);
        if (!work) {
            continue;
        }
        // what runs is counted at the targets
        finish_work(level->queue, work->organisation);
        for (auto* other : order) {
            ++other->passed_over;
        }
        level->passed_over = 0;
        const auto taken = work->id;
        forget(queue, queue.requests.find(taken));
        return taken;
    }
    return std::nullopt;
}

auto take_expired(admission_queue& queue, time_point now) -> std::vector<std::uint64_t>
{
    auto expired = std::vector<std::uint64_t>{};
    while (!queue.latest.empty() && queue.latest.begin()->first <= now) {
        expired.push_back(queue.latest.begin()->second);
        leave_queue(queue, expired.back());
    }
    return expired;
}

auto waiting_count(const admission_queue& queue, std::string_view service) -> std::size_t
{
    const auto found = queue.services.find(service);
    return found == queue.services.end() ? 0 : count_in(found->second);
}

} // namespace cyclamenpost
