#include "cyclamenpost/gates/gate.hpp"

#include <algorithm>
#include <cmath>

#include "gate_detail.hpp"

namespace cyclamenpost {

using namespace detail;

namespace {

/// Proposed waits after a refusal.
constexpr auto retry_when_full = duration{std::chrono::milliseconds{100}};
constexpr auto retry_when_in_doubt = duration{std::chrono::milliseconds{500}};

/// A restart this soon after the last one counts as flapping and doubles the hold-down.
constexpr auto flap_window = duration{std::chrono::seconds{60}};

/// First hold-down of a target that starts again within the flap window.
constexpr auto first_hold_down = duration{std::chrono::seconds{2}};

auto is_cold(const gate& state) -> bool
{
    return state.state == target_state::cold || state.state == target_state::warming;
}

auto holds_lease(const gate& state, time_point now) -> bool
{
    return state.backup.empty() || (!state.lease_void && now < state.lease_until);
}

/// Whether a load report shows all requests that former holders could start.
auto former_load_shown(const gate& state) -> bool
{
    const auto silent_from = state.last_acknowledged + takeover_wait(state.limits);
    const auto needed = state.role == gate_role::primary ? state.takeover_report_after
                                                         : silent_from + state.limits.report_lag;
    return state.last_report && *state.last_report >= needed;
}

auto holds_full(const gate& state, time_point now) -> bool
{
    return state.role == gate_role::primary && holds_lease(state, now) &&
           takeover_complete(state, now) && former_load_shown(state);
}

auto holds_half(const gate& state, time_point now) -> bool
{
    return state.role != gate_role::none && now >= state.half_from && former_load_shown(state);
}

/// Whether requests of another holder may still run that reports cannot tell from this gate's own.
auto may_share_target(const gate& state, time_point now) -> bool
{
    return !holds_full(state, now) || now < state.full_from + takeover_wait(state.limits);
}

/// After a pause the lease may have ended, and the target may have started anew while its last
/// reports were buffered, so both must be confirmed again.
auto note_pause(gate& state, time_point now) -> void
{
    if (now - state.last_tick > state.limits.pause) {
        state.lease_void = true;
        state.leases.clear();
        state.last_report.reset();
        state.report_after = now + state.limits.pause;
    }
    state.last_tick = now;
}

auto large_part(const gate& state, double cost) -> double
{
    return cost > state.limits.large_cost ? cost : 0;
}

auto drop_permits(gate& state) -> void
{
    state.permits.clear();
    state.outstanding_cost = 0;
    state.large_cost = 0;
}

auto erase_permit(gate& state, std::uint64_t request_id) -> void
{
    const auto held = state.permits.find(request_id);
    state.outstanding_cost -= held->second.cost;
    state.large_cost -= large_part(state, held->second.cost);
    state.permits.erase(held);
}

auto reset_allowance(gate& state, time_point now) -> void
{
    state.state = target_state::cold;
    state.allowance = state.limits.cold_limit;
    state.completed_in_step = 0;
    state.last_increase = now;
}

auto note_start(gate& state, time_point now) -> void
{
    const auto again = state.last_start && now - *state.last_start < flap_window + state.hold_down;
    state.hold_down =
        again ? std::clamp(state.hold_down * 2, first_hold_down, state.limits.hold_down_limit)
              : duration{};
    state.hold_down_until = now + state.hold_down;
    state.last_start = now;
}

/// The target may have started anew. Permits given shortly before may still start a request, so the
/// next permit waits for a report that would show it.
auto make_cold(gate& state, time_point now) -> void
{
    reset_allowance(state, now);
    note_start(state, now);
    drop_permits(state);
    state.ended.clear();
    state.start_seen = true;
    state.foreign_cost = 0;
    state.foreign_requests = 0;
    state.foreign_until = now + settle_time(state.limits);
    const auto shown = state.last_grant + settle_time(state.limits);
    state.cold_report_after = std::max(state.cold_report_after, shown);
}

auto raise_allowance(gate& state, time_point now) -> void
{
    const auto full_set = state.completed_in_step >= state.allowance;
    const auto rested = now - state.last_increase >= state.limits.warm_up_period;
    if (!full_set || !rested || now < state.hold_down_until) {
        return;
    }
    state.allowance *= 2;
    state.completed_in_step = 0;
    state.last_increase = now;
    const auto reached = state.allowance >= gate_bound(state, 1, now);
    state.state = reached ? target_state::warm : target_state::warming;
}

auto usable_mean(const gate& state, time_point now) -> double
{
    const auto fresh = state.mean_at && now - *state.mean_at <= state.limits.mean_age;
    return fresh ? state.fleet_mean : std::min(state.fleet_mean, state.own_mean);
}

auto refuse(refusal_reason reason, duration retry_after) -> permit_decision
{
    return {false, reason, 0, retry_after};
}

/// Reasons that do not depend on the target's load.
auto check_right(const gate& state, time_point now) -> refusal_reason
{
    if (state.role == gate_role::none) {
        return refusal_reason::not_gate;
    }
    if (state.zone_out) {
        return refusal_reason::zone_out;
    }
    if (state.leaving || state.state == target_state::leaving) {
        return refusal_reason::target_leaving;
    }
    if (!state.target_incarnation || !state.last_report) {
        return refusal_reason::target_unknown;
    }
    if (holds_half(state, now) || holds_full(state, now)) {
        return refusal_reason::none;
    }
    return state.role == gate_role::primary ? refusal_reason::takeover_wait
                                            : refusal_reason::gate_in_doubt;
}

/// A cold target gets work only from a primary whose backup acknowledges its lease.
auto check_cold(const gate& state, time_point now) -> refusal_reason
{
    if (state.role != gate_role::primary || !holds_lease(state, now)) {
        return refusal_reason::gate_in_doubt;
    }
    if (now - state.list_confirmed > state.limits.list_age) {
        return refusal_reason::list_unconfirmed;
    }
    const auto shown = state.last_report && *state.last_report >= state.cold_report_after;
    if (now < state.cold_from || !shown) {
        return refusal_reason::takeover_wait;
    }
    const auto requests = static_cast<double>(state.permits.size()) + state.foreign_requests;
    return requests + 1 <= state.allowance ? refusal_reason::none : refusal_reason::cold_limit;
}

auto check_load(const gate& state, double cost, time_point now) -> refusal_reason
{
    const auto full = holds_full(state, now);
    const auto bound = gate_bound(state, full ? cost : 0, now);
    if (gate_load(state) + cost > bound) {
        return refusal_reason::load_bound;
    }
    const auto half = std::floor(bound / 2);
    const auto large = large_part(state, cost);
    if (large > 0 && state.large_cost > 0 && state.large_cost + large > half) {
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
    if (const auto reason = check_right(state, now); reason != refusal_reason::none) {
        return reason;
    }
    if (is_cold(state)) {
        if (const auto reason = check_cold(state, now); reason != refusal_reason::none) {
            return reason;
        }
    }
    return check_load(state, cost, now);
}

/// Sets the load of other holders from a report. `settled` permits are certain to be in it, so the
/// rest is an upper limit; all permits and those just ended at most are in it, so what exceeds them
/// is a lower limit.
auto update_foreign(gate& state, const load_report& report, time_point now) -> void
{
    auto settled_cost = 0.0;
    auto settled_requests = 0.0;
    for (const auto& [id, held] : state.permits) {
        if (now - held.granted >= settle_time(state.limits)) {
            settled_cost += held.cost;
            settled_requests += 1;
        }
    }
    std::erase_if(state.ended,
                  [&](const auto& entry) { return now - entry.ended > state.limits.report_lag; });
    auto possible_cost = state.outstanding_cost;
    for (const auto& entry : state.ended) {
        possible_cost += entry.cost;
    }
    const auto possible_requests = static_cast<double>(state.permits.size() + state.ended.size());
    const auto requests = report.running + report.waiting;
    const auto limit = [&](double current, double reported, double settled, double possible) {
        const auto upper = std::max(0.0, reported - settled);
        const auto lower = std::max(0.0, reported - possible);
        if (now < state.foreign_until) {
            return std::max(current, lower);
        }
        return may_share_target(state, now) ? upper : std::max(lower, std::min(current, upper));
    };
    state.foreign_cost = limit(state.foreign_cost, report.cost, settled_cost, possible_cost);
    state.foreign_requests =
        limit(state.foreign_requests, requests, settled_requests, possible_requests);
}

/// Reclaims permits whose release was lost. A settled permit that still runs is in the report, so
/// there are at most as many of them as reported requests. Permits of dead holders go first, then
/// the cheapest, so that the load is never counted too low. What is reclaimed counts as foreign
/// load until the report shows otherwise, because it may have hidden requests of another holder.
auto reclaim_permits(gate& state, const load_report& report, time_point now) -> void
{
    auto settled = std::vector<std::uint64_t>{};
    for (const auto& [id, held] : state.permits) {
        if (now - held.granted >= settle_time(state.limits) + state.limits.report_lag) {
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

auto adopt_incarnation(gate& state, const load_report& report, time_point now) -> void
{
    if (state.target_incarnation == report.incarnation) {
        return;
    }
    if (state.target_incarnation) {
        make_cold(state, now);
    }
    state.target_incarnation = report.incarnation;
    if (!state.start_seen && report.state == target_state::warm) {
        state.state = target_state::warm;
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
    state.last_acknowledged = now;
    state.foreign_until = now;
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
    granted.granted = now;
    state.permits.emplace(request.request_id, std::move(granted));
    state.outstanding_cost += request.cost;
    state.large_cost += large_part(state, request.cost);
    state.last_grant = now;
    return {true, refusal_reason::none, *state.target_incarnation, {}};
}

auto permit_in_time(time_point requested, time_point now, const gate_limits& limits) -> bool
{
    return now - requested <= limits.permit_life;
}

auto permit_valid(const gate& state, std::uint64_t request_id, incarnation_id target_incarnation,
                  time_point requested, time_point now) -> bool
{
    return permit_in_time(requested, now, state.limits) &&
           state.target_incarnation == target_incarnation && state.permits.contains(request_id);
}

auto release_permit(gate& state, std::uint64_t request_id, permit_outcome end, time_point now)
    -> void
{
    const auto held = state.permits.find(request_id);
    if (held == state.permits.end()) {
        return;
    }
    state.ended.push_back({held->second.cost, now});
    if (may_share_target(state, now) && now - held->second.granted >= settle_time(state.limits)) {
        // a late release: the permit may have hidden a request of another holder in the last report
        state.foreign_cost += held->second.cost;
        state.foreign_requests += 1;
    }
    erase_permit(state, request_id);
    // an engine that still calls itself cold can bear no more than its cold limit
    const auto still_cold = state.reported_state == target_state::cold;
    if (!is_cold(state) || end == permit_outcome::unused || still_cold) {
        return;
    }
    if (end == permit_outcome::failed) {
        state.completed_in_step = 0;
        return;
    }
    state.completed_in_step += 1;
    raise_allowance(state, now);
}

auto on_load_report(gate& state, const load_report& report, time_point now) -> void
{
    on_tick(state, now);
    adopt_incarnation(state, report, now);
    if (report.state == target_state::leaving) {
        state.leaving = true;
    }
    const auto turned_cold =
        report.state == target_state::cold && state.reported_state == target_state::warm;
    if (turned_cold && state.state == target_state::warm) {
        reset_allowance(state, now);
    }
    state.reported_state = report.state;
    if (now < state.report_after) {
        return;
    }
    state.last_report = now;
    reclaim_permits(state, report, now);
    update_foreign(state, report, now);
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

auto on_mean(gate& state, double fleet_mean, double own_mean, time_point mean_at) -> void
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
    const auto returns = state.zone_out && !out;
    state.zone_out = out;
    if (!returns) {
        return;
    }
    const auto was_warm = state.state == target_state::warm;
    reset_allowance(state, now);
    if (was_warm) {
        const auto share = std::floor(state.limits.return_share * gate_bound(state, 1, now));
        state.allowance = std::max(state.allowance, share);
        state.state = target_state::warming;
    }
}

auto on_target_leaving(gate& state, bool leaving) -> void
{
    state.leaving = leaving;
}

auto on_tick(gate& state, time_point now) -> void
{
    note_pause(state, now);
    if (!state.former.empty() && now >= state.former_end) {
        state.former.clear();
        state.words_needed = 0;
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
    return std::max(std::ceil(state.limits.multiple * mean), mean + cost);
}

} // namespace cyclamenpost
