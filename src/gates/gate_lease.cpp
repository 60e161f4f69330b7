#include <algorithm>

#include "gate_detail.hpp"

namespace cyclamenpost {

using namespace detail;

namespace {

/// Number of sent leases that are remembered; acknowledgements of older ones have expired anyway.
constexpr auto remembered_leases = std::size_t{6};

auto role_in(const list_change& change, std::string_view self) -> gate_role
{
    if (change.primary == self) {
        return gate_role::primary;
    }
    return change.backup == self ? gate_role::backup : gate_role::none;
}

/// Waits of a gate that becomes primary. Two gates could both hold acknowledged leases if their
/// lists name four different instances, so the gate also waits until so many possible former
/// holders have confirmed the new list that every former pair is broken up, or until a holder
/// without confirmation has stopped by itself.
auto begin_takeover(gate& state, gate_role earlier, time_point now) -> void
{
    const auto wait = takeover_wait(state.limits);
    const auto start = earlier == gate_role::backup ? state.last_acknowledged : now;
    const auto begin = std::max(now, start + wait);
    const auto others = state.former.size();
    const auto pair_broken = earlier == gate_role::backup || others == 0;
    state.words_needed = pair_broken ? 0 : std::max<std::size_t>(1, others - 1);
    state.former_end = now + state.limits.list_age + wait;
    state.half_from = pair_broken ? begin : state.former_end;
    state.full_from = state.half_from;
    state.cold_from = state.half_from;
    state.takeover_report_after = state.half_from + state.limits.report_lag;
}

/// A former holder confirmed the current list and gives no more permits.
auto on_word(gate& state, std::string_view from, time_point now) -> void
{
    const auto heard = std::ranges::find(state.former, from, &former_holder::id);
    if (heard == state.former.end()) {
        return;
    }
    const auto was_quiet = now < heard->quiet_until;
    state.former.erase(heard);
    const auto ready = now + takeover_wait(state.limits);
    if (state.words_needed > 0 && --state.words_needed == 0) {
        state.half_from = std::min(state.half_from, ready);
        state.full_from = std::min(state.full_from, ready);
        state.cold_from = std::min(state.cold_from, ready);
        state.takeover_report_after = state.half_from + state.limits.report_lag;
    }
    if (!was_quiet && state.words_needed == 0) {
        state.full_from = std::max(state.full_from, now + settle_time(state.limits));
    }
}

/// A former backup that does not know the new list still promises to give no permits.
auto extend_quiet(gate& state, std::string_view from, time_point sent, time_point now) -> void
{
    const auto former = std::ranges::find(state.former, from, &former_holder::id);
    if (former == state.former.end()) {
        return;
    }
    if (now >= former->quiet_until) {
        state.full_from = std::max(state.full_from, now + settle_time(state.limits));
    }
    former->quiet_until = std::max(former->quiet_until, sent + takeover_wait(state.limits));
}

/// Adds the former holders of a gate that stays primary. They keep quiet as long as the lease that
/// the former backup acknowledged.
auto add_former(gate& state, const list_change& change, time_point now) -> void
{
    for (auto holder : change.former) {
        if (std::ranges::find(state.former, holder.id, &former_holder::id) != state.former.end()) {
            continue;
        }
        holder.quiet_until = state.lease_until + start_window(state.limits);
        state.former.push_back(holder);
        state.former_end = now + state.limits.list_age + takeover_wait(state.limits);
    }
}

/// Whether the backup may have used its half since the lease that last counted.
auto backup_may_have_started(const gate& state, time_point now) -> bool
{
    return now >= state.lease_until + start_window(state.limits);
}

auto extend_lease(gate& state, time_point sent, time_point now) -> void
{
    const auto until = sent + state.limits.lease_life;
    if (until <= now) {
        return;
    }
    if (backup_may_have_started(state, now)) {
        const auto ready = now + settle_time(state.limits);
        state.full_from = std::max(state.full_from, ready);
        state.cold_from = std::max(state.cold_from, ready);
        state.cold_report_after = std::max(state.cold_report_after, ready);
    }
    state.lease_until = std::max(state.lease_until, until);
    state.lease_void = false;
}

} // namespace

auto start_lease(gate& state, time_point now) -> std::optional<lease_message>
{
    on_tick(state, now);
    const auto alone = state.backup.empty() && state.former.empty();
    if (state.role != gate_role::primary || alone) {
        return std::nullopt;
    }
    if (!state.leases.empty() && now - state.leases.back().sent < state.limits.lease_period) {
        return std::nullopt;
    }
    if (state.leases.size() == remembered_leases) {
        state.leases.erase(state.leases.begin());
    }
    const auto term = state.next_term++;
    const auto all_heard =
        std::ranges::none_of(state.former, [](const auto& holder) { return holder.listed; });
    state.leases.push_back({term, now});
    return lease_message{term, state.list_version, state.target_incarnation.value_or(0),
                         state.state, all_heard && takeover_complete(state, now)};
}

auto on_lease_request(gate& state, std::string_view from, const lease_message& lease,
                      time_point now) -> lease_answer
{
    on_tick(state, now);
    auto answer = lease_answer{false, lease.term, state.list_version};
    if (state.role != gate_role::backup || state.primary != from) {
        return answer;
    }
    answer.acknowledged = true;
    state.last_acknowledged = now;
    if (lease.takeover_done && lease.list_version >= state.list_version) {
        state.half_from = std::min(state.half_from, now);
    }
    if (lease.state == target_state::warm && state.target_incarnation == lease.target_incarnation) {
        state.state = target_state::warm;
    }
    return answer;
}

auto on_lease_ack(gate& state, std::string_view from, const lease_answer& answer, time_point now)
    -> void
{
    on_tick(state, now);
    if (state.role != gate_role::primary) {
        return;
    }
    const auto sent = std::ranges::find(state.leases, answer.term, &sent_lease::term);
    if (sent == state.leases.end()) {
        return;
    }
    if (answer.list_version >= state.list_version) {
        on_word(state, from, now);
    }
    if (answer.acknowledged && from == state.backup) {
        extend_lease(state, sent->sent, now);
    }
    if (answer.acknowledged && from != state.backup) {
        extend_quiet(state, from, sent->sent, now);
    }
}

auto on_list_change(gate& state, const list_change& change, time_point now) -> void
{
    if (change.version <= state.list_version) {
        return;
    }
    on_tick(state, now);
    const auto earlier = state.role;
    const auto same_primary = state.primary == change.primary;
    state.role = role_in(change, state.self);
    state.primary = change.primary;
    state.backup = change.backup;
    state.list_version = change.version;
    state.list_confirmed = now;
    if (earlier == state.role && same_primary) {
        if (state.role == gate_role::primary) {
            add_former(state, change, now);
        }
        return;
    }
    state.former = change.former;
    state.leases.clear();
    state.lease_void = true;
    state.lease_until = now;
    if (state.role == gate_role::primary) {
        begin_takeover(state, earlier, now);
    }
    if (state.role == gate_role::backup) {
        state.half_from = time_point::max();
        state.last_acknowledged = earlier == gate_role::backup ? state.last_acknowledged : now;
    }
}

auto on_list_confirmed(gate& state, time_point now) -> void
{
    state.list_confirmed = now;
}

auto hand_over(gate& state, time_point now) -> gate_state
{
    on_tick(state, now);
    state.role = gate_role::none;
    auto handed = gate_state{};
    handed.target_incarnation = state.target_incarnation.value_or(0);
    handed.state = state.state;
    handed.allowance = state.allowance;
    handed.outstanding_cost = gate_load(state);
    handed.outstanding_requests =
        static_cast<double>(state.permits.size()) + state.foreign_requests;
    return handed;
}

auto on_handover(gate& state, std::string_view from, const gate_state& handed, time_point now)
    -> void
{
    on_tick(state, now);
    if (state.role == gate_role::backup && from == state.primary) {
        state.last_acknowledged = now - takeover_wait(state.limits);
        return;
    }
    const auto expected = std::ranges::find(state.former, from, &former_holder::id);
    if (state.role != gate_role::primary || expected == state.former.end()) {
        return;
    }
    on_word(state, from, now);
    state.words_needed = 0;
    state.half_from = now;
    state.full_from = now;
    state.cold_from = now;
    state.takeover_report_after = time_point{};
    state.cold_report_after = time_point{};
    state.foreign_cost = handed.outstanding_cost;
    state.foreign_requests = handed.outstanding_requests;
    state.foreign_until = now + settle_time(state.limits);
    if (handed.target_incarnation != 0 &&
        state.target_incarnation.value_or(handed.target_incarnation) == handed.target_incarnation) {
        state.target_incarnation = handed.target_incarnation;
        state.state = handed.state;
        state.allowance = handed.allowance;
        state.last_report = now;
    }
}

} // namespace cyclamenpost
