#include <algorithm>

#include "gate_detail.hpp"

namespace cyclamenpost {

using namespace detail;

namespace {

/// Sent leases that are kept; an acknowledgement of an older one would arrive after its expiry.
constexpr auto max_sent_leases = std::size_t{6};

auto role_in(const list_change& change, std::string_view self) -> gate_role
{
    if (change.primary == self) {
        return gate_role::primary;
    }
    return change.backup == self ? gate_role::backup : gate_role::none;
}

/// Sets the waits of a gate that becomes primary. Two primaries could both have acknowledged leases
/// if their lists name four different instances. The gate therefore also waits until enough
/// possible former holders have confirmed the new list that no two unconfirmed ones are left to
/// form a pair of primary and backup, or until the authority of an unconfirmed holder has expired.
auto begin_takeover(gate& state, gate_role earlier_role, time_point now) -> void
{
    const auto wait = takeover_wait(state.limits);
    const auto start = earlier_role == gate_role::backup ? state.last_lease_ack : now;
    const auto begin = std::max(now, start + wait);
    const auto others = state.former_holders.size();
    const auto pair_broken = earlier_role == gate_role::backup || others == 0;
    state.confirmations_needed = pair_broken ? 0 : std::max<std::size_t>(1, others - 1);
    state.former_holders_expiry = now + state.limits.max_list_age + wait;
    state.half_bound_from = pair_broken ? begin : state.former_holders_expiry;
    state.full_bound_from = state.half_bound_from;
    state.cold_grants_from = state.half_bound_from;
    state.takeover_report_after = state.half_bound_from + state.limits.max_report_lag;
}

/// Handles the confirmation of the current list by a former holder, which then grants no permits.
auto on_list_confirmation(gate& state, std::string_view from, time_point now) -> void
{
    const auto holder = std::ranges::find(state.former_holders, from, &former_holder::id);
    if (holder == state.former_holders.end()) {
        return;
    }
    const auto was_barred = now < holder->no_grants_until;
    state.former_holders.erase(holder);
    const auto ready = now + takeover_wait(state.limits);
    if (state.confirmations_needed > 0 && --state.confirmations_needed == 0) {
        state.half_bound_from = std::min(state.half_bound_from, ready);
        state.full_bound_from = std::min(state.full_bound_from, ready);
        state.cold_grants_from = std::min(state.cold_grants_from, ready);
        state.takeover_report_after = state.half_bound_from + state.limits.max_report_lag;
    }
    if (!was_barred && state.confirmations_needed == 0) {
        state.full_bound_from = std::max(state.full_bound_from, now + settle_time(state.limits));
    }
}

/// Handles the acknowledgement of a former backup without the new list: it grants no permits either
/// while the lease is valid.
auto extend_no_grants(gate& state, std::string_view from, time_point sent, time_point now) -> void
{
    const auto former = std::ranges::find(state.former_holders, from, &former_holder::id);
    if (former == state.former_holders.end()) {
        return;
    }
    if (now >= former->no_grants_until) {
        state.full_bound_from = std::max(state.full_bound_from, now + settle_time(state.limits));
    }
    former->no_grants_until = std::max(former->no_grants_until, sent + takeover_wait(state.limits));
}

/// Adds the former holders of a gate that stays primary. They grant no permits until the lease that
/// the former backup acknowledged has expired.
auto add_former_holders(gate& state, const list_change& change, time_point now) -> void
{
    for (auto holder : change.former_holders) {
        if (std::ranges::find(state.former_holders, holder.id, &former_holder::id) !=
            state.former_holders.end()) {
            continue;
        }
        holder.no_grants_until = state.lease_until + start_window(state.limits);
        state.former_holders.push_back(holder);
        state.former_holders_expiry = now + state.limits.max_list_age + takeover_wait(state.limits);
    }
}

/// Whether the backup may have granted permits since the last valid lease expired.
auto backup_may_have_granted(const gate& state, time_point now) -> bool
{
    return now >= state.lease_until + start_window(state.limits);
}

auto extend_lease(gate& state, time_point sent, time_point now) -> void
{
    const auto until = sent + state.limits.lease_lifetime;
    if (until <= now) {
        return;
    }
    if (backup_may_have_granted(state, now)) {
        const auto ready = now + settle_time(state.limits);
        state.full_bound_from = std::max(state.full_bound_from, ready);
        state.cold_grants_from = std::max(state.cold_grants_from, ready);
        state.cold_report_after = std::max(state.cold_report_after, ready);
    }
    state.lease_until = std::max(state.lease_until, until);
    state.lease_invalid = false;
}

} // namespace

auto start_lease(gate& state, time_point now) -> std::optional<lease_message>
{
    on_tick(state, now);
    const auto alone = state.backup.empty() && state.former_holders.empty();
    if (state.role != gate_role::primary || alone) {
        return std::nullopt;
    }
    if (!state.sent_leases.empty() &&
        now - state.sent_leases.back().sent_at < state.limits.lease_interval) {
        return std::nullopt;
    }
    if (state.sent_leases.size() == max_sent_leases) {
        state.sent_leases.erase(state.sent_leases.begin());
    }
    const auto term = state.next_term++;
    const auto all_confirmed = std::ranges::none_of(
        state.former_holders, [](const auto& holder) { return holder.listed; });
    state.sent_leases.push_back({term, now});
    return lease_message{term, state.list_version, state.target_incarnation.value_or(0),
                         state.effective_state, all_confirmed && takeover_complete(state, now)};
}

auto on_lease_request(gate& state, std::string_view from, const lease_message& lease,
                      time_point now) -> lease_ack
{
    on_tick(state, now);
    auto ack = lease_ack{false, lease.term, state.list_version};
    if (state.role != gate_role::backup || state.primary != from) {
        return ack;
    }
    ack.acknowledged = true;
    state.last_lease_ack = now;
    if (lease.takeover_done && lease.list_version >= state.list_version) {
        state.half_bound_from = std::min(state.half_bound_from, now);
    }
    if (lease.state == target_state::warm && state.target_incarnation == lease.target_incarnation) {
        state.effective_state = target_state::warm;
    }
    return ack;
}

auto on_lease_ack(gate& state, std::string_view from, const lease_ack& ack, time_point now) -> void
{
    on_tick(state, now);
    if (state.role != gate_role::primary) {
        return;
    }
    const auto sent = std::ranges::find(state.sent_leases, ack.term, &sent_lease::term);
    if (sent == state.sent_leases.end()) {
        return;
    }
    if (ack.list_version >= state.list_version) {
        on_list_confirmation(state, from, now);
    }
    if (ack.acknowledged && from == state.backup) {
        extend_lease(state, sent->sent_at, now);
    }
    if (ack.acknowledged && from != state.backup) {
        extend_no_grants(state, from, sent->sent_at, now);
    }
}

auto on_list_change(gate& state, const list_change& change, time_point now) -> void
{
    if (change.version <= state.list_version) {
        return;
    }
    on_tick(state, now);
    const auto earlier_role = state.role;
    const auto same_primary = state.primary == change.primary;
    state.role = role_in(change, state.self);
    state.primary = change.primary;
    state.backup = change.backup;
    state.list_version = change.version;
    state.list_confirmed = now;
    if (earlier_role == state.role && same_primary) {
        if (state.role == gate_role::primary) {
            add_former_holders(state, change, now);
        }
        return;
    }
    state.former_holders = change.former_holders;
    state.sent_leases.clear();
    state.lease_invalid = true;
    state.lease_until = now;
    if (state.role == gate_role::primary) {
        begin_takeover(state, earlier_role, now);
    }
    if (state.role == gate_role::backup) {
        state.half_bound_from = time_point::max();
        state.last_lease_ack = earlier_role == gate_role::backup ? state.last_lease_ack : now;
    }
}

auto on_list_confirmed(gate& state, time_point now) -> void
{
    state.list_confirmed = now;
}

auto hand_over(gate& state, time_point now) -> handover_state
{
    on_tick(state, now);
    state.role = gate_role::none;
    auto handover = handover_state{};
    handover.target_incarnation = state.target_incarnation.value_or(0);
    handover.state = state.effective_state;
    handover.allowance = state.allowance;
    handover.outstanding_cost = gate_load(state);
    handover.outstanding_requests =
        static_cast<double>(state.permits.size()) + state.foreign_requests;
    return handover;
}

auto on_handover(gate& state, std::string_view from, const handover_state& handover, time_point now)
    -> void
{
    on_tick(state, now);
    if (state.role == gate_role::backup && from == state.primary) {
        state.last_lease_ack = now - takeover_wait(state.limits);
        return;
    }
    const auto former = std::ranges::find(state.former_holders, from, &former_holder::id);
    if (state.role != gate_role::primary || former == state.former_holders.end()) {
        return;
    }
    on_list_confirmation(state, from, now);
    state.confirmations_needed = 0;
    state.half_bound_from = now;
    state.full_bound_from = now;
    state.cold_grants_from = now;
    state.takeover_report_after = time_point{};
    state.cold_report_after = time_point{};
    state.foreign_cost = handover.outstanding_cost;
    state.foreign_requests = handover.outstanding_requests;
    state.foreign_starts_until = now + settle_time(state.limits);
    if (handover.target_incarnation != 0 &&
        state.target_incarnation.value_or(handover.target_incarnation) ==
            handover.target_incarnation) {
        state.target_incarnation = handover.target_incarnation;
        state.effective_state = handover.state;
        state.allowance = handover.allowance;
        state.last_report = now;
    }
}

} // namespace cyclamenpost
