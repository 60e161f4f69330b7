#include "cyclamenpost/gates/gate.hpp"

#include <algorithm>
#include <cmath>

#include "gate_detail.hpp"

namespace cyclamenpost {

using namespace detail;

namespace {

/// Suggested delays after a refusal.
constexpr auto retry_when_full = duration{std::chrono::milliseconds{100}};
constexpr auto retry_when_in_doubt = duration{std::chrono::milliseconds{500}};

/// A restart this soon after the last one, plus the last hold-down, counts as flapping and doubles
/// the hold-down.
constexpr auto flap_window = duration{std::chrono::seconds{60}};

/// First hold-down of a target that starts again within the flap window.
constexpr auto initial_hold_down = duration{std::chrono::seconds{2}};

auto is_warming_up(const gate& state) -> bool
{
    return state.effective_state == target_state::cold ||
           state.effective_state == target_state::warming;
}

auto holds_lease(const gate& state, time_point now) -> bool
{
    return state.backup.empty() || (!state.lease_invalid && now < state.lease_until);
}

/// Whether a load report includes all requests that former holders could start.
auto former_load_reported(const gate& state) -> bool
{
    const auto primary_silent_from = state.last_lease_ack + takeover_wait(state.limits);
    const auto needed = state.role == gate_role::primary
                            ? state.takeover_report_after
                            : primary_silent_from + state.limits.max_report_lag;
    return state.last_report && *state.last_report >= needed;
}

auto may_use_full_bound(const gate& state, time_point now) -> bool
{
    return state.role == gate_role::primary && holds_lease(state, now) &&
           takeover_complete(state, now) && former_load_reported(state);
}

auto may_use_half_bound(const gate& state, time_point now) -> bool
{
    return state.role != gate_role::none && now >= state.half_bound_from &&
           former_load_reported(state);
}

/// Whether requests permitted by another gate may still run; load reports do not distinguish them
/// from those of this gate.
auto may_share_target(const gate& state, time_point now) -> bool
{
    return !may_use_full_bound(state, now) ||
           now < state.full_bound_from + takeover_wait(state.limits);
}

/// After a pause the lease may have expired, and the target may have restarted while its last
/// reports were buffered, so both need a new confirmation.
auto detect_pause(gate& state, time_point now) -> void
{
    if (now - state.last_tick > state.limits.pause_threshold) {
        state.lease_invalid = true;
        state.sent_leases.clear();
        state.last_report.reset();
        state.ignore_reports_before = now + state.limits.pause_threshold;
    }
    state.last_tick = now;
}

auto large_cost_of(const gate& state, double cost) -> double
{
    return cost > state.limits.large_request_cost ? cost : 0;
}

auto clear_permits(gate& state) -> void
{
    state.permits.clear();
    state.outstanding_cost = 0;
    state.outstanding_large_cost = 0;
}

auto erase_permit(gate& state, std::uint64_t request_id) -> void
{
    const auto held = state.permits.find(request_id);
    state.outstanding_cost -= held->second.cost;
    state.outstanding_large_cost -= large_cost_of(state, held->second.cost);
    state.permits.erase(held);
}

auto reset_allowance(gate& state, time_point now) -> void
{
    state.effective_state = target_state::cold;
    state.allowance = state.limits.cold_limit;
    state.completed_in_step = 0;
    state.last_increase = now;
}

auto record_restart(gate& state, time_point now) -> void
{
    const auto flapping =
        state.last_start && now - *state.last_start < flap_window + state.hold_down;
    state.hold_down =
        flapping ? std::clamp(state.hold_down * 2, initial_hold_down, state.limits.max_hold_down)
                 : duration{};
    state.hold_down_until = now + state.hold_down;
    state.last_start = now;
}

/// Handles a possible restart of the target. Permits granted shortly before may still start
/// requests, so the next permit needs a report that would include them.
auto make_cold(gate& state, time_point now) -> void
{
    reset_allowance(state, now);
    record_restart(state, now);
    clear_permits(state);
    state.ended_permits.clear();
    state.restart_seen = true;
    state.foreign_cost = 0;
    state.foreign_requests = 0;
    state.foreign_starts_until = now + settle_time(state.limits);
    const auto report_needed_from = state.last_grant + settle_time(state.limits);
    state.cold_report_after = std::max(state.cold_report_after, report_needed_from);
}

auto raise_allowance(gate& state, time_point now) -> void
{
    const auto step_completed = state.completed_in_step >= state.allowance;
    const auto interval_elapsed = now - state.last_increase >= state.limits.warm_up_interval;
    if (!step_completed || !interval_elapsed || now < state.hold_down_until) {
        return;
    }
    state.allowance *= 2;
    state.completed_in_step = 0;
    state.last_increase = now;
    const auto reached = state.allowance >= gate_bound(state, 1, now);
    state.effective_state = reached ? target_state::warm : target_state::warming;
}

auto usable_mean(const gate& state, time_point now) -> double
{
    const auto fresh = state.mean_at && now - *state.mean_at <= state.limits.max_mean_age;
    return fresh ? state.fleet_mean : std::min(state.fleet_mean, state.own_mean);
}

auto refuse(refusal_reason reason, duration retry_after) -> permit_decision
{
    return {false, reason, 0, retry_after};
}

/// Checks what does not depend on the load: the role of this gate, the waits of a takeover and the
/// target's availability.
auto check_authority(const gate& state, time_point now) -> refusal_reason
{
    if (state.role == gate_role::none) {
        return refusal_reason::not_gate;
    }
    if (state.zone_out) {
        return refusal_reason::zone_out;
    }
    if (state.leaving || state.effective_state == target_state::leaving) {
        return refusal_reason::target_leaving;
    }
    if (!state.target_incarnation || !state.last_report) {
        return refusal_reason::target_unknown;
    }
    if (may_use_half_bound(state, now) || may_use_full_bound(state, now)) {
        return refusal_reason::none;
    }
    return state.role == gate_role::primary ? refusal_reason::takeover_wait
                                            : refusal_reason::gate_in_doubt;
}

/// A cold target gets requests only from a primary whose backup acknowledges its leases.
auto check_cold(const gate& state, time_point now) -> refusal_reason
{
    if (state.role != gate_role::primary || !holds_lease(state, now)) {
        return refusal_reason::gate_in_doubt;
    }
    if (now - state.list_confirmed > state.limits.max_list_age) {
        return refusal_reason::list_unconfirmed;
    }
    const auto reported = state.last_report && *state.last_report >= state.cold_report_after;
    if (now < state.cold_grants_from || !reported) {
        return refusal_reason::takeover_wait;
    }
    const auto requests = static_cast<double>(state.permits.size()) + state.foreign_requests;
    return requests + 1 <= state.allowance ? refusal_reason::none : refusal_reason::cold_limit;
}

auto check_load(const gate& state, double cost, time_point now) -> refusal_reason
{
    const auto full = may_use_full_bound(state, now);
    const auto bound = gate_bound(state, full ? cost : 0, now);
    if (gate_load(state) + cost > bound) {
        return refusal_reason::load_bound;
    }
    const auto half = std::floor(bound / 2);
    const auto large = large_cost_of(state, cost);
    if (large > 0 && state.outstanding_large_cost > 0 &&
        state.outstanding_large_cost + large > half) {
        return refusal_reason::load_bound;
    }
    const auto fits = full || state.outstanding_cost + cost <= half;
    return fits ? refusal_reason::none : refusal_reason::gate_in_doubt;
}

auto retry_after(refusal_reason reason) -> duration
{
    const auto full = reason == refusal_reason::load_bound || reason == refusal_reason::cold_limit;
    return full ? retry_when_full : retry_when_in_doubt;
}

auto check_permit(const gate& state, double cost, time_point now) -> refusal_reason
{
    if (const auto reason = check_authority(state, now); reason != refusal_reason::none) {
        return reason;
    }
    if (is_warming_up(state)) {
        if (const auto reason = check_cold(state, now); reason != refusal_reason::none) {
            return reason;
        }
    }
    return check_load(state, cost, now);
}

/// Estimates the foreign load from a report. The report certainly includes the settled permits, so
/// the rest of it is an upper limit. It includes at most all outstanding and recently ended
/// permits, so the excess over them is a lower limit.
auto update_foreign_load(gate& state, const load_report& report, time_point now) -> void
{
    auto settled_cost = 0.0;
    auto settled_requests = 0.0;
    for (const auto& [id, held] : state.permits) {
        if (now - held.granted_at >= settle_time(state.limits)) {
            settled_cost += held.cost;
            settled_requests += 1;
        }
    }
    std::erase_if(state.ended_permits, [&](const auto& entry) {
        return now - entry.ended_at > state.limits.max_report_lag;
    });
    auto possible_cost = state.outstanding_cost;
    for (const auto& entry : state.ended_permits) {
        possible_cost += entry.cost;
    }
    const auto possible_requests =
        static_cast<double>(state.permits.size() + state.ended_permits.size());
    const auto requests = report.running + report.waiting;
    const auto estimate = [&](double current, double reported, double settled, double possible) {
        const auto upper = std::max(0.0, reported - settled);
        const auto lower = std::max(0.0, reported - possible);
        if (now < state.foreign_starts_until) {
            return std::max(current, lower);
        }
        return may_share_target(state, now) ? upper : std::max(lower, std::min(current, upper));
    };
    state.foreign_cost = estimate(state.foreign_cost, report.cost, settled_cost, possible_cost);
    state.foreign_requests =
        estimate(state.foreign_requests, requests, settled_requests, possible_requests);
}

/// Reclaims permits whose release message was lost. The report includes each settled permit whose
/// request still runs, so settled permits beyond the number of reported requests have ended.
/// Permits of dead holders are reclaimed first, then the cheapest, so that the load is never
/// underestimated. The cost of a reclaimed permit counts as foreign load until a report shows less,
/// because the permit may have masked requests of another gate.
auto reclaim_permits(gate& state, const load_report& report, time_point now) -> void
{
    auto settled = std::vector<std::uint64_t>{};
    for (const auto& [id, held] : state.permits) {
        if (now - held.granted_at >= settle_time(state.limits) + state.limits.max_report_lag) {
            settled.push_back(id);
        }
    }
    const auto running = static_cast<std::size_t>(std::max(0.0, report.running + report.waiting));
    if (settled.size() <= running) {
        return;
    }
    std::ranges::sort(settled, [&](std::uint64_t left, std::uint64_t right) {
        const auto& first = state.permits.at(left);
        const auto& second = state.permits.at(right);
        if (first.holder_dead != second.holder_dead) {
            return first.holder_dead;
        }
        return first.cost != second.cost ? first.cost < second.cost : left < right;
    });
    settled.resize(settled.size() - running);
    for (const auto id : settled) {
        state.foreign_cost += state.permits.at(id).cost;
        state.foreign_requests += 1;
        erase_permit(state, id);
    }
}

auto update_incarnation(gate& state, const load_report& report, time_point now) -> void
{
    if (state.target_incarnation == report.incarnation) {
        return;
    }
    if (state.target_incarnation) {
        make_cold(state, now);
    }
    state.target_incarnation = report.incarnation;
    if (!state.restart_seen && report.state == target_state::warm) {
        state.effective_state = target_state::warm;
    }
}

} // namespace

auto make_gate(std::string target, std::string self, const gate_limits& limits, time_point now)
    -> gate
{
    auto state = gate{};
    state.target = std::move(target);
    state.self = std::move(self);
    state.limits = limits;
    state.allowance = limits.cold_limit;
    state.last_tick = now;
    state.list_confirmed = now;
    state.last_increase = now;
    state.last_lease_ack = now;
    state.foreign_starts_until = now;
    return state;
}

auto request_permit(gate& state, const permit_request& request, time_point now) -> permit_decision
{
    on_tick(state, now);
    if (state.permits.contains(request.request_id)) {
        return {true, refusal_reason::none, state.target_incarnation.value_or(0), {}};
    }
    const auto reason = check_permit(state, request.cost, now);
    if (reason != refusal_reason::none) {
        return refuse(reason, retry_after(reason));
    }
    auto granted = permit{};
    granted.cost = request.cost;
    granted.holder = request.holder;
    granted.holder_incarnation = request.holder_incarnation;
    granted.granted_at = now;
    state.permits.emplace(request.request_id, std::move(granted));
    state.outstanding_cost += request.cost;
    state.outstanding_large_cost += large_cost_of(state, request.cost);
    state.last_grant = now;
    return {true, refusal_reason::none, *state.target_incarnation, {}};
}

auto within_permit_lifetime(time_point requested, time_point now, const gate_limits& limits) -> bool
{
    return now - requested <= limits.permit_lifetime;
}

auto permit_valid(const gate& state, std::uint64_t request_id, incarnation_id target_incarnation,
                  time_point requested, time_point now) -> bool
{
    return within_permit_lifetime(requested, now, state.limits) &&
           state.target_incarnation == target_incarnation && state.permits.contains(request_id);
}

auto release_permit(gate& state, std::uint64_t request_id, permit_outcome outcome, time_point now)
    -> void
{
    const auto held = state.permits.find(request_id);
    if (held == state.permits.end()) {
        return;
    }
    state.ended_permits.push_back({held->second.cost, now});
    if (may_share_target(state, now) &&
        now - held->second.granted_at >= settle_time(state.limits)) {
        // the release is late, and the permit may have masked a request of another gate in the last
        // report
        state.foreign_cost += held->second.cost;
        state.foreign_requests += 1;
    }
    erase_permit(state, request_id);
    // an engine that reports itself cold cannot handle more than its cold limit
    const auto still_cold = state.reported_state == target_state::cold;
    if (!is_warming_up(state) || outcome == permit_outcome::unused || still_cold) {
        return;
    }
    if (outcome == permit_outcome::failed) {
        state.completed_in_step = 0;
        return;
    }
    state.completed_in_step += 1;
    raise_allowance(state, now);
}

auto on_load_report(gate& state, const load_report& report, time_point now) -> void
{
    on_tick(state, now);
    update_incarnation(state, report, now);
    if (report.state == target_state::leaving) {
        state.leaving = true;
    }
    const auto turned_cold =
        report.state == target_state::cold && state.reported_state == target_state::warm;
    if (turned_cold && state.effective_state == target_state::warm) {
        reset_allowance(state, now);
    }
    state.reported_state = report.state;
    if (now < state.ignore_reports_before) {
        return;
    }
    state.last_report = now;
    reclaim_permits(state, report, now);
    update_foreign_load(state, report, now);
}

auto on_stream_closed(gate& state, time_point now) -> void
{
    if (!state.target_incarnation) {
        return;
    }
    make_cold(state, now);
    state.target_incarnation.reset();
    state.last_report.reset();
}

auto set_mean_load(gate& state, double fleet_mean, double own_mean, time_point mean_at) -> void
{
    state.fleet_mean = fleet_mean;
    state.own_mean = own_mean;
    state.mean_at = mean_at;
}

auto on_holder_dead(gate& state, std::string_view holder, incarnation_id incarnation,
                    time_point now) -> void
{
    on_tick(state, now);
    for (auto& [id, held] : state.permits) {
        if (held.holder == holder && held.holder_incarnation == incarnation) {
            held.holder_dead = true;
        }
    }
}

auto on_zone_out(gate& state, bool out, time_point now) -> void
{
    const auto returned = state.zone_out && !out;
    state.zone_out = out;
    if (!returned) {
        return;
    }
    const auto was_warm = state.effective_state == target_state::warm;
    reset_allowance(state, now);
    if (was_warm) {
        const auto share = std::floor(state.limits.zone_return_share * gate_bound(state, 1, now));
        state.allowance = std::max(state.allowance, share);
        state.effective_state = target_state::warming;
    }
}

auto on_target_leaving(gate& state, bool leaving) -> void
{
    state.leaving = leaving;
}

auto on_tick(gate& state, time_point now) -> void
{
    detect_pause(state, now);
    if (!state.former_holders.empty() && now >= state.former_holders_expiry) {
        state.former_holders.clear();
        state.confirmations_needed = 0;
    }
    if (state.last_report && now - *state.last_report > state.limits.heartbeat_timeout) {
        on_stream_closed(state, now);
    }
}

auto gate_load(const gate& state) -> double
{
    return state.outstanding_cost + state.foreign_cost;
}

auto gate_bound(const gate& state, double cost, time_point now) -> double
{
    const auto mean = usable_mean(state, now);
    return std::max(std::ceil(state.limits.load_multiple * mean), mean + cost);
}

} // namespace cyclamenpost
