#include "cyclamenpost/membership/membership.hpp"

#include <algorithm>

#include "membership_detail.hpp"

namespace cyclamenpost {

namespace {

using detail::pending_probe;

auto current_probe_timeout(const membership_state& state) -> duration
{
    return state.settings.probe_timeout * (1 + state.health_score);
}

/// Makes a message with the fields that every probe and acknowledgement carries.
auto basic_gossip(membership_state& state, gossip_kind kind, const member_record& to)
    -> gossip_message
{
    auto message = gossip_message{};
    message.kind = kind;
    // A suspect or dead member is sent only its own record, so that it can refute it. The queued
    // updates would count as sent although it is probably lost.
    if (to.state == member_state::suspect || to.state == member_state::dead) {
        message.updates = {to};
    }
    else {
        message.updates = detail::next_updates(state, state.settings.max_update_bytes);
    }
    message.config_version = state.config_version;
    message.config_digest = state.config_digest;
    message.list_version = state.list_version;
    message.table_digest = detail::table_hash(state);
    return message;
}

auto send(membership_step& step, const member_record& to, gossip_message message) -> void
{
    step.messages.push_back({to.identity.id, to.bus_address, to.zone, std::move(message)});
}

auto send_probe(membership_state& state, const std::string& id, time_point now,
                membership_step& step, pending_probe pending = {}) -> void
{
    const auto* to = detail::record_of(state, id);
    if (to == nullptr || id == state.self.identity.id) {
        return;
    }
    auto message = basic_gossip(state, gossip_kind::probe, *to);
    detail::add_loads(state, message, *to, now);
    message.seq = state.next_seq++;
    pending.target = id;
    pending.incarnation = to->identity.incarnation;
    pending.deadline = now + current_probe_timeout(state);
    state.probes.emplace(message.seq, std::move(pending));
    send(step, *to, std::move(message));
}

/// Members that are asked to probe a target indirectly: peers in the same zone, or for a target in
/// another zone the representatives of both zones.
auto indirect_probers(const membership_state& state, const member_record& target,
                      std::mt19937_64& random) -> std::vector<std::string>
{
    auto probers = std::vector<std::string>{};
    if (target.zone == state.self.zone) {
        probers = detail::zone_peers(state);
    }
    else {
        probers = representatives(state, target.zone);
        const auto own = representatives(state, state.self.zone);
        probers.insert(probers.end(), own.begin(), own.end());
    }
    std::erase_if(probers, [&](const std::string& id) {
        return id == target.identity.id || id == state.self.identity.id;
    });
    std::shuffle(probers.begin(), probers.end(), random);
    probers.resize(std::min<std::size_t>(probers.size(), state.settings.indirect_probes));
    return probers;
}

auto probe_indirectly(membership_state& state, std::uint64_t seq, const pending_probe& probe,
                      std::mt19937_64& random, membership_step& step) -> void
{
    const auto* target = detail::record_of(state, probe.target);
    if (target == nullptr) {
        return;
    }
    for (const auto& prober : indirect_probers(state, *target, random)) {
        auto message = gossip_message{};
        message.kind = gossip_kind::indirect_probe;
        message.seq = seq;
        message.target = probe.target;
        send(step, *detail::record_of(state, prober), std::move(message));
    }
}

auto suspect(membership_state& state, const std::string& id, time_point now, membership_step& step)
    -> void
{
    const auto found = state.members.find(id);
    if (found == state.members.end() || found->second.record.state == member_state::dead) {
        return;
    }
    if (found->second.record.state == member_state::suspect) {
        found->second.suspected_by_self = true;
        return;
    }
    auto record = found->second.record;
    record.state = member_state::suspect;
    detail::merge_record(state, std::move(record), now, step);
    found->second.suspected_by_self = true;
    send_probe(state, id, now, step);
}

/// Probes the members that this instance suspects; the probe carries the suspicion. Without this,
/// at 5% message loss a suspicion overtook its refutation between zones, and running members were
/// declared dead.
auto probe_suspects(membership_state& state, time_point now, membership_step& step) -> void
{
    auto suspects = std::vector<std::string>{};
    for (auto& [id, entry] : state.members) {
        entry.suspected_by_self =
            entry.suspected_by_self && entry.record.state == member_state::suspect;
        if (entry.suspected_by_self) {
            suspects.push_back(id);
        }
    }
    for (const auto& id : suspects) {
        send_probe(state, id, now, step);
    }
}

auto check_probes(membership_state& state, time_point now, std::mt19937_64& random,
                  membership_step& step) -> void
{
    auto failed = std::vector<std::string>{};
    for (auto next = state.probes.begin(); next != state.probes.end();) {
        auto& [seq, probe] = *next;
        if (now < probe.deadline) {
            ++next;
            continue;
        }
        const auto* target = detail::record_of(state, probe.target);
        if (target == nullptr || target->identity.incarnation != probe.incarnation) {
            next = state.probes.erase(next);
            continue;
        }
        if (!probe.indirect_sent && probe.relay_to.empty()) {
            probe.indirect_sent = true;
            probe.deadline = now + 2 * current_probe_timeout(state);
            probe_indirectly(state, seq, probe, random, step);
            detail::note_silence(state, probe.target, now);
            ++next;
            continue;
        }
        if (probe.relay_to.empty()) {
            failed.push_back(probe.target);
        }
        next = state.probes.erase(next);
    }
    for (const auto& id : failed) {
        suspect(state, id, now, step);
    }
}

/// Probes more members after silence, and more dead members after the return of one.
/// Otherwise the time until each lost member has been probed once would grow with the number of
/// members per instance that is left.
auto send_extra_probes(membership_state& state, time_point now, std::mt19937_64& random,
                       membership_step& step) -> void
{
    for (const auto& id : detail::take_extra_probe_targets(state, now, random)) {
        send_probe(state, id, now, step);
    }
    for (const auto& id : detail::take_dead_probe_targets(state, random)) {
        send_probe(state, id, now, step);
    }
}

/// Sends queued updates at once when there are many. At the pace of the probes, the news that a
/// zone is lost would take longer than its detection.
auto send_urgent_updates(membership_state& state, std::mt19937_64& random, membership_step& step)
    -> void
{
    if (!detail::has_urgent_updates(state)) {
        return;
    }
    for (const auto& id : detail::urgent_recipients(state, random)) {
        auto message = gossip_message{};
        message.kind = gossip_kind::sync;
        message.updates = detail::next_updates(state, state.settings.max_urgent_bytes);
        if (!message.updates.empty()) {
            send(step, *detail::record_of(state, id), std::move(message));
        }
    }
}

auto check_suspicions(membership_state& state, time_point now, membership_step& step) -> void
{
    auto dead = std::vector<member_record>{};
    auto forgotten = std::vector<std::string>{};
    for (const auto& [id, entry] : state.members) {
        if (entry.record.state == member_state::suspect && now >= entry.suspicion_deadline) {
            dead.push_back(entry.record);
            dead.back().state = member_state::dead;
        }
        if (entry.record.state == member_state::dead && !entry.listed &&
            now >= entry.changed_at + state.settings.dead_retention) {
            forgotten.push_back(id);
        }
    }
    for (auto& record : dead) {
        detail::merge_record(state, std::move(record), now, step);
    }
    for (const auto& id : forgotten) {
        detail::forget(state, id);
    }
}

/// Takes the next entry of a random permutation, which is drawn anew when it is used up. Every
/// entry comes once per round, which bounds the time until a failure is detected.
auto next_in_order(std::vector<std::string>& order, std::vector<std::string> all,
                   std::mt19937_64& random) -> std::string
{
    if (order.empty()) {
        std::shuffle(all.begin(), all.end(), random);
        order = std::move(all);
    }
    if (order.empty()) {
        return {};
    }
    auto next = order.back();
    order.pop_back();
    return next;
}

/// Members of this instance's zone to probe in this period: for a representative that collects
/// loads the members that report to it, otherwise the next in random order. Such a representative
/// leaves the random probes to the other members, which are many.
auto own_zone_probe_targets(membership_state& state, std::mt19937_64& random)
    -> std::vector<std::string>
{
    if (detail::is_representative(state)) {
        auto reporting = detail::members_reporting_to_self(state);
        if (!reporting.empty()) {
            return reporting;
        }
    }
    return {next_in_order(state.probe_order, detail::zone_peers(state), random)};
}

auto probe_zones(membership_state& state, time_point now, std::mt19937_64& random,
                 membership_step& step) -> void
{
    const auto zones = detail::other_zones(state);
    // With few zones, each of the two representatives probes half of them, so that together they
    // reach every zone once per period.
    const auto count =
        std::min<std::size_t>(state.settings.zones_per_period, (zones.size() + 1) / 2);
    for (std::size_t index = 0; index < count; ++index) {
        const auto zone = next_in_order(state.zone_order, zones, random);
        const auto chosen = representatives(state, zone);
        if (!chosen.empty()) {
            send_probe(state, chosen[random() % chosen.size()], now, step);
        }
    }
}

/// Probes one dead member of the published list. Otherwise no member would contact the other side
/// after a partition ends.
auto probe_dead(membership_state& state, time_point now, std::mt19937_64& random,
                membership_step& step) -> void
{
    auto dead = std::vector<std::string>{};
    const auto represents = detail::is_representative(state);
    for (const auto& [id, entry] : state.members) {
        if (entry.listed && entry.record.state == member_state::dead &&
            (represents || entry.record.zone == state.self.zone)) {
            dead.push_back(id);
        }
    }
    if (!dead.empty()) {
        send_probe(state, dead[random() % dead.size()], now, step);
    }
}

auto start_probe_period(membership_state& state, time_point now, std::mt19937_64& random,
                        membership_step& step) -> void
{
    detail::announce_held_members(state, now);
    probe_suspects(state, now, step);
    for (const auto& id : own_zone_probe_targets(state, random)) {
        send_probe(state, id, now, step);
    }
    state.next_exchange = now + state.settings.exchange_delay;
    if (now >= state.next_dead_probe) {
        state.next_dead_probe = now + state.settings.dead_probe_period;
        probe_dead(state, now, random, step);
    }
}

/// Exchanges loads with other representatives, after the loads of the own members have arrived.
auto exchange_loads(membership_state& state, time_point now, std::mt19937_64& random,
                    membership_step& step) -> void
{
    state.next_exchange = time_point::max();
    if (!detail::is_representative(state)) {
        return;
    }
    // One of the two representatives probes; the acknowledgement carries the other's load.
    const auto chosen = representatives(state, state.self.zone);
    if (chosen.size() > 1 && chosen.front() == state.self.identity.id) {
        send_probe(state, chosen.back(), now, step);
    }
    probe_zones(state, now, random, step);
}

/// Postpones all deadlines by the time the process was paused, because acknowledgements that
/// arrived in the meantime have not been read yet.
auto postpone_deadlines(membership_state& state, duration pause, time_point now) -> void
{
    for (auto& [seq, probe] : state.probes) {
        probe.deadline += pause;
    }
    for (auto& [id, entry] : state.members) {
        entry.suspicion_deadline += pause;
    }
    detail::raise_health_score(state, now);
}

/// Merges the sender's identity as an alive record. Returns false for a message of a former
/// incarnation or with this instance's own id.
auto merge_sender(membership_state& state, const member_identity& from, time_point now,
                  membership_step& step) -> bool
{
    const auto found = state.members.find(from.id);
    if (found == state.members.end()) {
        return from.id != state.self.identity.id;
    }
    const auto& known = found->second.record;
    auto record = known;
    record.identity = from;
    record.refutation = 0;
    record.state = member_state::alive;
    const auto same =
        known.identity.start_ms == from.start_ms && known.identity.incarnation == from.incarnation;
    if (same) {
        return true;
    }
    if (!supersedes(record, known)) {
        return false;
    }
    detail::merge_record(state, std::move(record), now, step);
    return true;
}

auto compare_config_version(const membership_state& state, const incoming_message& incoming,
                            membership_step& step) -> void
{
    const auto& message = incoming.message;
    const auto differs = message.config_version != state.config_version ||
                         message.config_digest != state.config_digest ||
                         message.list_version > state.list_version;
    if (differs) {
        step.peer_config_versions.push_back({incoming.from.id, message.config_version,
                                             message.config_digest, message.list_version});
    }
}

auto answer_probe(membership_state& state, const incoming_message& incoming, time_point now,
                  membership_step& step) -> void
{
    const auto* from = detail::record_of(state, incoming.from.id);
    if (from == nullptr) {
        return;
    }
    auto ack = basic_gossip(state, gossip_kind::probe_ack, *from);
    ack.seq = incoming.message.seq;
    const auto fellow_representative = detail::both_represent_own_zone(state, incoming.from.id);
    const auto other_zone_representative =
        !incoming.message.zone_loads.empty() && detail::is_representative(state);
    if (fellow_representative || incoming.message.fleet_load) {
        ack.load = detail::collected_load(state, now);
    }
    if (fellow_representative || other_zone_representative) {
        ack.zone_loads = detail::zone_loads_for(state, from->zone, now);
    }
    if (incoming.message.table_digest != ack.table_digest && now >= state.next_sync) {
        ack.zone_digests = detail::zone_hash_list(state);
    }
    send(step, *from, std::move(ack));
}

/// Acknowledges the collector's probe that was deferred until the members' loads arrive.
auto answer_deferred_probe(membership_state& state, time_point now, membership_step& step) -> void
{
    if (state.deferred_probe) {
        answer_probe(state, *state.deferred_probe, now, step);
        state.deferred_probe.reset();
        state.awaited_reports.clear();
    }
}

/// Acknowledges a probe. A collector that is asked for its load first probes the members that
/// report to it, so that loads travel up and down the tree without waiting a probe period at each
/// level.
auto handle_probe(membership_state& state, const incoming_message& incoming, time_point now,
                  membership_step& step) -> void
{
    const auto reporting = detail::members_reporting_to_self(state);
    const auto asked = incoming.message.fleet_load && now >= state.next_collection;
    if (!asked || reporting.empty()) {
        answer_probe(state, incoming, now, step);
        return;
    }
    answer_deferred_probe(state, now, step);
    state.next_collection = now + state.settings.probe_period / 2;
    state.deferred_probe = incoming;
    state.deferred_until = now + state.settings.collection_timeout;
    state.awaited_reports = reporting;
    for (const auto& id : reporting) {
        send_probe(state, id, now, step);
    }
}

auto handle_ack(membership_state& state, const incoming_message& incoming, time_point now,
                membership_step& step) -> void
{
    const auto found = state.probes.find(incoming.message.seq);
    if (found == state.probes.end()) {
        return;
    }
    const auto probe = found->second;
    state.probes.erase(found);
    detail::note_sign_of_life(state, probe.target, now);
    if (!probe.indirect_sent && state.health_score > 0) {
        --state.health_score;
    }
    const auto* requester = detail::record_of(state, probe.relay_to);
    if (requester != nullptr) {
        auto ack = gossip_message{};
        ack.kind = gossip_kind::probe_ack;
        ack.seq = probe.relay_seq;
        // The target may have been started again since the requester last heard of it.
        if (const auto* target = detail::record_of(state, probe.target); target != nullptr) {
            ack.updates = {*target};
        }
        ack.config_version = state.config_version;
        ack.config_digest = state.config_digest;
        ack.list_version = state.list_version;
        send(step, *requester, std::move(ack));
    }
}

auto send_sync(membership_state& state, const incoming_message& incoming, bool reply_wanted,
               std::mt19937_64& random, membership_step& step) -> void
{
    const auto* from = detail::record_of(state, incoming.from.id);
    if (from == nullptr) {
        return;
    }
    auto sync = gossip_message{};
    sync.kind = gossip_kind::sync;
    sync.reply_wanted = reply_wanted;
    sync.updates = detail::differing_records(state, incoming.message.zone_digests, random);
    if (reply_wanted) {
        sync.zone_digests = detail::zone_hash_list(state);
    }
    send(step, *from, std::move(sync));
}

auto handle_by_kind(membership_state& state, const incoming_message& incoming, time_point now,
                    std::mt19937_64& random, membership_step& step) -> void
{
    const auto& message = incoming.message;
    switch (message.kind) {
    case gossip_kind::probe:
        handle_probe(state, incoming, now, step);
        return;
    case gossip_kind::probe_ack:
        handle_ack(state, incoming, now, step);
        std::erase(state.awaited_reports, incoming.from.id);
        if (state.awaited_reports.empty()) {
            answer_deferred_probe(state, now, step);
        }
        if (!message.zone_digests.empty() && now >= state.next_sync) {
            state.next_sync = now + state.settings.min_sync_interval;
            send_sync(state, incoming, true, random, step);
        }
        return;
    case gossip_kind::indirect_probe: {
        auto pending = pending_probe{};
        pending.relay_to = incoming.from.id;
        pending.relay_seq = message.seq;
        send_probe(state, message.target, now, step, std::move(pending));
        return;
    }
    case gossip_kind::sync:
        if (message.reply_wanted) {
            send_sync(state, incoming, false, random, step);
        }
        return;
    }
}

} // namespace

auto start_membership(membership_settings settings, member_record self, time_point now)
    -> membership_state
{
    auto state = membership_state{};
    state.settings = settings;
    state.self = std::move(self);
    state.last_tick = now;
    // Spreads the probes of instances that start at the same time over one period.
    const auto spread = hash64(state.self.identity.id, state.self.identity.incarnation) %
                        static_cast<std::uint64_t>(settings.probe_period.count());
    state.next_probe = now + duration{static_cast<std::int64_t>(spread)};
    detail::toggle_hash(state, state.self);
    detail::announce(state, state.self.identity.id, now);
    return state;
}

auto apply_instance_list(membership_state& state, std::uint64_t version,
                         const std::vector<member_record>& listed, time_point now)
    -> membership_step
{
    auto step = membership_step{};
    if (version < state.list_version) {
        return step;
    }
    state.list_version = version;
    for (auto& [id, entry] : state.members) {
        entry.listed = false;
    }
    for (const auto& record : listed) {
        if (record.identity.id == state.self.identity.id) {
            continue;
        }
        auto [entry, added] = state.members.try_emplace(record.identity.id);
        entry->second.listed = true;
        if (added) {
            entry->second.record = record;
            entry->second.record.identity = {record.identity.id, 0, 0};
            entry->second.record.state = member_state::alive;
            entry->second.changed_at = now;
            step.changes.push_back({entry->second.record, std::nullopt, false});
        }
        else if (record.zone == entry->second.record.zone) {
            entry->second.record.http_address = record.http_address;
            entry->second.record.bus_address = record.bus_address;
        }
    }
    std::erase_if(state.members, [](const auto& member) {
        return !member.second.listed && member.second.record.identity.start_ms == 0;
    });
    return step;
}

auto on_tick(membership_state& state, time_point now, std::mt19937_64& random) -> membership_step
{
    auto step = membership_step{};
    const auto gap = now - state.last_tick;
    state.last_tick = now;
    if (gap > state.settings.pause_threshold) {
        postpone_deadlines(state, gap, now);
    }
    detail::recover_health_score(state, now);
    check_probes(state, now, random, step);
    check_suspicions(state, now, step);
    send_extra_probes(state, now, random, step);
    if (now >= state.deferred_until) {
        answer_deferred_probe(state, now, step);
    }
    if (now >= state.next_exchange) {
        exchange_loads(state, now, random, step);
    }
    if (now >= state.next_probe) {
        state.next_probe = std::max(state.next_probe + state.settings.probe_period,
                                    now + state.settings.probe_period / 2);
        start_probe_period(state, now, random, step);
    }
    send_urgent_updates(state, random, step);
    return step;
}

auto on_gossip(membership_state& state, const incoming_message& incoming, time_point now,
               std::mt19937_64& random) -> membership_step
{
    auto step = membership_step{};
    if (!merge_sender(state, incoming.from, now, step)) {
        return step;
    }
    if (const auto sender = state.members.find(incoming.from.id); sender != state.members.end()) {
        sender->second.last_heard = now;
        detail::note_sign_of_life(state, incoming.from.id, now);
    }
    for (const auto& record : incoming.message.updates) {
        detail::merge_record(state, record, now, step);
    }
    detail::store_loads(state, incoming);
    const auto carries_config = incoming.message.kind == gossip_kind::probe ||
                                incoming.message.kind == gossip_kind::probe_ack;
    if (carries_config) {
        compare_config_version(state, incoming, step);
    }
    handle_by_kind(state, incoming, now, random, step);
    return step;
}

auto announce_leaving(membership_state& state, time_point now, std::mt19937_64& random)
    -> membership_step
{
    auto step = membership_step{};
    if (state.self.state == member_state::leaving) {
        return step;
    }
    const auto represents = detail::is_representative(state);
    detail::toggle_hash(state, state.self);
    state.self.state = member_state::leaving;
    detail::toggle_hash(state, state.self);
    detail::announce(state, state.self.identity.id, now);
    for (const auto& id : detail::zone_peers(state)) {
        send_probe(state, id, now, step);
    }
    if (represents) {
        probe_zones(state, now, random, step);
    }
    // Queues the record anew for later messages; the probes above counted as its transmissions.
    detail::announce(state, state.self.identity.id, now);
    return step;
}

auto set_http_address(membership_state& state, std::string address, time_point now) -> void
{
    if (state.self.http_address == address) {
        return;
    }
    detail::toggle_hash(state, state.self);
    state.self.http_address = std::move(address);
    ++state.self.refutation;
    detail::toggle_hash(state, state.self);
    detail::announce(state, state.self.identity.id, now);
}

auto set_config_version(membership_state& state, std::uint64_t version, std::uint64_t digest)
    -> void
{
    state.config_version = version;
    state.config_digest = digest;
}

} // namespace cyclamenpost
