#include <algorithm>
#include <limits>
#include <utility>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/routing/target_estimate.hpp"
#include "forward_job.hpp"

namespace cyclamenpost::detail {

namespace {

// a request waits for an eligible target for this fraction of its latency objective; one that waits
// longer would miss the objective, so it is refused with a Retry-After
constexpr int wait_divisor = 8;
constexpr duration target_poll_period = std::chrono::milliseconds{20};
// one look serves all waiting requests, so it can come more often than each one's own did
constexpr duration serve_period = std::chrono::milliseconds{5};
// memory of a waiting request besides its body: its head, connection and job
constexpr std::size_t waiting_overhead_bytes = 4096;
// below this pace a target's report is taken for an error rather than for speed
constexpr double min_pace = 0.1;

/// When the first of the targets that rest or are limited may get a request. One without a known
/// time may get one soon: the size of the fleet is known once the membership has settled.
auto first_usable(const target_choice& choice, time_point now) -> time_point
{
    auto first = choice.first_rest_end.value_or(time_point::max());
    if (choice.limited > 0) {
        first = std::min(first, choice.first_allowed.value_or(now));
    }
    return first;
}

/// Whether no target may get a request before `latest`, as far as rests and limits tell.
auto unusable_until(const target_choice& choice, time_point now, time_point latest) -> bool
{
    const auto has_time = choice.reason == no_target_reason::all_resting ||
                          choice.reason == no_target_reason::all_limited;
    // a cold target has quota again within a second
    return has_time && choice.cold_without_quota == 0 && first_usable(choice, now) > latest;
}

auto waiting_bytes(const forward_job& job) -> std::size_t
{
    return job.exchange->body.size() + waiting_overhead_bytes;
}

auto show_waiting(shared_state& state) -> void
{
    state.metrics
        .gauge_of("cyclamenpost_admission_waiting",
                  "Requests that wait for a usable target or pause after rejections.")
        .set(static_cast<double>(state.waiting.requests.size() + state.pausing));
}

auto schedule_serving(shared_state& state) -> void
{
    if (state.waiting.requests.empty()) {
        state.waiting_timer.reset();
        return;
    }
    const auto until_late = state.waiting.latest.begin()->first - monotonic_now();
    state.waiting_timer = state.loop.call_after(
        std::clamp(until_late, duration::zero(), serve_period), [&state] { serve_waiting(state); });
}

auto reject_queued(shared_state& state, std::uint64_t id, admission_rule rule) -> void
{
    const auto found = state.waiting_jobs.find(id);
    if (found != state.waiting_jobs.end()) {
        found->second->reject_waiting(rule);
    }
}

} // namespace

auto forward_job::wait_for_target(const target_choice& choice) -> void
{
    if (state.view.options.admission) {
        wait_in_order(choice);
        return;
    }
    const auto now = monotonic_now();
    const auto wait_end = arrived + matched_route->latency_objective / wait_divisor;
    if (now > wait_end || unusable_until(choice, now, wait_end) ||
        choice.reason == no_target_reason::all_tried) {
        refuse_without_target(choice);
        return;
    }
    wait_timer = call_later(target_poll_period, &forward_job::try_next);
}

auto forward_job::refuse_without_target(const target_choice& choice) -> void
{
    const auto now = monotonic_now();
    auto retry_after = std::optional<duration>{};
    // the next turn of this instance says little of a limited target, since callers may return to
    // any instance; the capacity that the limits leave decides
    if (choice.limited == 0 && choice.first_rest_end && *choice.first_rest_end > now) {
        retry_after = retry_after_rest(*choice.first_rest_end - now, time_left(), draw());
    }
    handle(event_of(request_event_kind::no_target), name_in(no_target_reason_names, choice.reason),
           target_outcome::cancelled, retry_after);
}

auto forward_job::latest_start() const -> time_point
{
    const auto objective = matched_route->latency_objective;
    const auto found = state.pressures.find(service->name);
    const auto usual =
        found == state.pressures.end() ? duration::zero() : first_byte_time(found->second);
    const auto least = objective / wait_divisor;
    const auto wait = usual > duration::zero() ? std::max(objective - usual, least) : least;
    return std::min(arrived + wait, deadline);
}

auto forward_job::remaining() const -> remaining_time
{
    auto left = remaining_time{};
    left.caller = time_left();
    left.objective = latest_start() - monotonic_now();
    return left;
}

auto forward_job::limited_slots(const target& known, time_point now) const -> double
{
    const auto limit = current_limit(known.limit, now);
    const auto occupied = usual_request_time(state.view.targets, service->name);
    if (!limit || occupied <= duration::zero()) {
        return std::numeric_limits<double>::infinity();
    }
    return *limit * std::chrono::duration<double>(occupied).count();
}

auto forward_job::capacity() const -> capacity_facts
{
    const auto now = monotonic_now();
    const auto& table = state.view.targets;
    auto slots = 0.0;
    auto waiting = 0.0;
    auto usable = std::size_t{0};
    const auto ids = table.by_service.find(service->name);
    if (ids != table.by_service.end()) {
        for (const auto* listed : ids->second) {
            const auto& known = *listed;
            const auto warming = service->cold_per_second > 0 && is_cold(table, known, now);
            if (!is_eligible(table, known, now) || warming || known.unreachable ||
                now < known.backoff_until) {
                continue;
            }
            const auto estimate = estimate_target(table, known, now);
            const auto own =
                static_cast<double>(std::max({known.published.capacity, service->capacity, 1U}));
            ++usable;
            slots += std::min(own / std::max(estimate.pace, min_pace), limited_slots(known, now));
            waiting += std::max(estimate.requests - own, 0.0);
        }
    }
    const auto found = state.pressures.find(service->name);
    return capacity_of(found == state.pressures.end() ? service_pressure{} : found->second, slots,
                       usable, waiting, state.view.members.size(), now);
}

auto forward_job::record_pressure(target_outcome health) -> void
{
    if (!state.view.options.admission || service == nullptr) {
        return;
    }
    const auto now = monotonic_now();
    auto& seen = state.pressures[service->name];
    if (health == target_outcome::succeeded && first_byte_at >= attempt_begun) {
        record_times(seen, first_byte_at - attempt_begun, now - attempt_begun);
    }
}

auto forward_job::note_rejection() -> void
{
    if (state.view.options.admission && service != nullptr) {
        record_rejection(state.pressures[service->name], target_id, monotonic_now());
        rejected_by.insert(target_id);
    }
}

auto forward_job::refusal_delay(std::string_view cause) -> duration
{
    if (!state.view.options.admission || service == nullptr) {
        return retry_after_delay(time_left(), draw());
    }
    const auto facts = capacity();
    const auto left = remaining();
    const auto delay = return_delay(facts, left, draw());
    record_refusal(state.pressures[service->name], monotonic_now());
    log_event(log_level::info, "refused_until",
              {{"request", request.id},
               {"cause", std::string{cause}},
               {"delay_ms", milliseconds_text(delay)},
               {"room_ms", milliseconds_text(time_until_room(facts).value_or(duration::zero()))},
               {"caller_ms", milliseconds_text(left.caller)},
               {"objective_ms", milliseconds_text(left.objective)},
               {"slots", std::to_string(facts.slots)},
               {"waiting", std::to_string(facts.waiting)},
               {"rejecting", std::to_string(facts.rejecting)},
               {"returning_per_second", std::to_string(facts.returning_per_second)}});
    state.metrics
        .histogram_of("cyclamenpost_retry_after_seconds",
                      "Delay after which refused callers are asked to return.",
                      {{"service", service->name}})
        .observe(std::chrono::duration<double>(delay).count());
    return delay;
}

auto forward_job::refuse_for_target(attempt_end end, std::string_view cause) -> bool
{
    const auto says_when = answer.rest > duration::zero();
    if (!state.view.options.admission || end != attempt_end::not_executed || says_when ||
        answer_head.status != service_unavailable) {
        return false;
    }
    send_local_reply(service_unavailable, refusal_delay(cause), cause);
    return true;
}

auto forward_job::room_expected() const -> bool
{
    const auto& limits = state.waiting.settings;
    return state.view.options.admission && !rejected_by.empty() &&
           answer.rest <= remaining().objective && state.pausing < limits.max_waiting &&
           state.pausing_bytes + waiting_bytes(*this) <= limits.max_bytes &&
           pause_before_retry(capacity(), remaining(), 0).has_value();
}

auto forward_job::pause_for_room() -> void
{
    const auto facts = capacity();
    const auto pause = pause_before_retry(facts, remaining(), draw()).value_or(target_poll_period);
    pausing = true;
    ++state.pausing;
    state.pausing_bytes += waiting_bytes(*this);
    waiting_since = monotonic_now();
    log_event(log_level::debug, "admission_pause",
              {{"request", request.id},
               {"service", service->name},
               {"pause_ms", milliseconds_text(pause)},
               {"rejecting", std::to_string(facts.rejecting)},
               {"pauses", std::to_string(progress.pauses)}});
    show_waiting(state);
    wait_timer = call_later(pause, &forward_job::on_pause_end);
}

auto forward_job::on_pause_end() -> void
{
    leave_waiting("paused");
    for (const auto& id : std::exchange(rejected_by, {})) {
        tried.erase(id);
    }
    try_next();
}

auto forward_job::wait_in_order(const target_choice& choice) -> void
{
    const auto now = monotonic_now();
    if (unusable_until(choice, now, latest_start()) ||
        choice.reason == no_target_reason::all_tried) {
        refuse_without_target(choice);
        return;
    }
    enter_waiting(name_in(no_target_reason_names, choice.reason));
}

auto forward_job::wait_behind_others() -> bool
{
    // a request that is already late does not lose its turn to those that are in time
    if (!state.view.options.admission || service == nullptr || taken_from_queue ||
        waiting_count(state.waiting, service->name) == 0 || latest_start() <= monotonic_now()) {
        return false;
    }
    enter_waiting("others_wait");
    serve_waiting(state);
    return true;
}

auto forward_job::enter_waiting(std::string_view reason) -> void
{
    const auto now = monotonic_now();
    auto entry = waiting_request{};
    entry.id = state.next_waiting_id++;
    entry.service = service->name;
    entry.organisation = organisation_name;
    entry.priority = priority;
    entry.latest_start = latest_start();
    entry.bytes = waiting_bytes(*this);
    const auto ahead = waiting_count(state.waiting, service->name);
    const auto id = entry.id;
    const auto decision = enter_queue(state.waiting, std::move(entry), now);
    for (const auto displaced : decision.displaced) {
        reject_queued(state, displaced, admission_rule::displaced);
    }
    if (decision.rejected) {
        reject_waiting(*decision.rejected);
        return;
    }
    waiting_id = id;
    waiting_since = now;
    state.waiting_jobs.emplace(id, this);
    log_event(log_level::debug, "admission_waits",
              {{"request", request.id},
               {"service", service->name},
               {"organisation", organisation_name},
               {"priority", std::to_string(priority)},
               {"reason", std::string{reason}},
               {"ahead", std::to_string(ahead)},
               {"left_ms", milliseconds_text(latest_start() - now)}});
    show_waiting(state);
    schedule_serving(state);
}

auto forward_job::leave_waiting(std::string_view end) -> void
{
    if (waiting_id == 0 && !pausing) {
        return;
    }
    if (std::exchange(pausing, false)) {
        --state.pausing;
        state.pausing_bytes -= waiting_bytes(*this);
        wait_timer.reset();
    }
    if (waiting_id != 0) {
        leave_queue(state.waiting, waiting_id);
        state.waiting_jobs.erase(std::exchange(waiting_id, 0));
    }
    const auto waited = monotonic_now() - waiting_since;
    log_event(log_level::debug, "admission_wait_ended",
              {{"request", request.id},
               {"service", service->name},
               {"end", std::string{end}},
               {"waited_ms", milliseconds_text(waited)},
               {"behind", std::to_string(waiting_count(state.waiting, service->name))}});
    state.metrics
        .histogram_of("cyclamenpost_admission_wait_seconds",
                      "Time for which requests waited for a usable target, by how the wait ended.",
                      {{"end", std::string{end}}})
        .observe(std::chrono::duration<double>(waited).count());
    show_waiting(state);
}

auto forward_job::send_from_queue() -> void
{
    leave_waiting("sent");
    taken_from_queue = true;
    try_next();
    taken_from_queue = false;
}

auto forward_job::reject_waiting(admission_rule rule) -> void
{
    const auto name = name_in(admission_rule_names, rule);
    leave_waiting(name);
    state.metrics
        .counter_of("cyclamenpost_admission_rejections_total",
                    "Requests rejected while or instead of waiting for a usable target, by rule.",
                    {{"rule", std::string{name}}})
        .add();
    handle(event_of(request_event_kind::no_target), name, target_outcome::cancelled);
}

auto serve_waiting(shared_state& state) -> void
{
    const auto now = monotonic_now();
    for (const auto id : take_expired(state.waiting, now)) {
        reject_queued(state, id, admission_rule::objective_missed);
    }
    auto services = std::vector<std::string>{};
    for (const auto& [service, levels] : state.waiting.services) {
        services.push_back(service);
    }
    const auto can_send = [&state](std::uint64_t id) {
        const auto job = state.waiting_jobs.find(id);
        return job != state.waiting_jobs.end() && job->second->has_untried_target();
    };
    for (const auto& service : services) {
        // what returns to the queue meanwhile is left for the next time
        for (auto turns = waiting_count(state.waiting, service); turns > 0; --turns) {
            const auto next = take_next(state.waiting, service, can_send, now);
            if (!next) {
                break;
            }
            const auto job = state.waiting_jobs.at(*next)->shared_from_this();
            job->send_from_queue();
        }
    }
    schedule_serving(state);
}

} // namespace cyclamenpost::detail
