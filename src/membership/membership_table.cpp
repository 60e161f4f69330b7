#include "membership_detail.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace cyclamenpost {

namespace detail {

namespace {

/// Hash of the fields on which two member tables must agree. Members known only from the published
/// list are left out, since lists differ between instances for seconds.
auto record_hash(const member_record& record) -> std::uint32_t
{
    if (record.identity.start_ms == 0) {
        return 0;
    }
    const auto version =
        (std::uint64_t{record.refutation} << 2U) | static_cast<std::uint64_t>(record.state);
    return static_cast<std::uint32_t>(
        hash64(record.identity.id, record.identity.incarnation ^ version));
}

/// Upper estimate of a record's encoded size in bytes. Only alive and leaving members are sent with
/// their zone, region and addresses.
auto encoded_size(const member_record& record) -> std::size_t
{
    constexpr std::size_t fixed_fields = 26;
    constexpr std::size_t string_tags = 8;
    auto size = fixed_fields + record.identity.id.size();
    if (record.state == member_state::alive || record.state == member_state::leaving) {
        size += string_tags + record.zone.size() + record.region.size() +
                record.http_address.size() + record.bus_address.size();
    }
    return size;
}

/// Handles a record about this instance: raises the refutation number against a wrong one and
/// announces the own record to senders that lack it.
auto refute(membership_state& state, const member_record& record, time_point now) -> void
{
    const auto same_start = record.identity.start_ms == state.self.identity.start_ms &&
                            record.identity.incarnation == state.self.identity.incarnation;
    const auto wrong = same_start && supersedes(record, state.self);
    if (wrong) {
        toggle_hash(state, state.self);
        state.self.refutation = record.refutation + 1;
        toggle_hash(state, state.self);
        raise_health_score(state, now);
    }
    // An alive record of this start is merely outdated. Any other record shows that the sender
    // lacks the current one.
    if (!wrong && same_start && record.state <= state.self.state) {
        return;
    }
    const auto queued = std::any_of(state.updates.begin(), state.updates.end(), [&](const auto& u) {
        return u.id == state.self.identity.id && u.transmissions == 0;
    });
    if (!queued) {
        announce(state, state.self.identity.id, now, wrong);
    }
}

auto keep_addresses(member_record& record, const member_record& known) -> void
{
    if (!record.zone.empty()) {
        return;
    }
    record.zone = known.zone;
    record.region = known.region;
    record.http_address = known.http_address;
    record.bus_address = known.bus_address;
}

auto count_transition(const membership_state& state, member_entry& entry, time_point now) -> void
{
    entry.transitions.push_back(now);
    while (!entry.transitions.empty() &&
           entry.transitions.front() + state.settings.flap_window < now) {
        entry.transitions.pop_front();
    }
}

/// Counts an alive record without refutations that a peer sends again as transmissions of the
/// queued copy, since most peers know it by then (feedback of Demers et al. 1987). Suspicions and
/// refutations keep all their transmissions: at 5% message loss, refutations otherwise did not
/// reach other zones, and running members were declared dead.
auto count_repetition(membership_state& state, const member_record& record) -> void
{
    if (record.state != member_state::alive || record.refutation != 0) {
        return;
    }
    const auto& id = record.identity.id;
    constexpr unsigned transmissions_per_repetition = 4;
    const auto queued = std::find_if(state.updates.begin(), state.updates.end(),
                                     [&](const auto& update) { return update.id == id; });
    if (queued != state.updates.end()) {
        queued->transmissions += transmissions_per_repetition;
    }
}

auto insert_record(membership_state& state, member_record record, time_point now,
                   membership_step& step) -> void
{
    const auto running =
        record.state == member_state::alive || record.state == member_state::leaving;
    if (!running || record.zone.empty()) {
        return;
    }
    const auto id = record.identity.id;
    auto& entry = state.members[id];
    entry.record = std::move(record);
    entry.changed_at = now;
    toggle_hash(state, entry.record);
    step.changes.push_back({entry.record, std::nullopt, true});
    announce(state, id, now);
}

} // namespace

auto toggle_hash(membership_state& state, const member_record& record) -> void
{
    state.zone_hashes[name_key(record.zone)] ^= record_hash(record);
}

auto merge_record(membership_state& state, member_record record, time_point now,
                  membership_step& step) -> void
{
    const auto id = record.identity.id;
    if (id == state.self.identity.id) {
        refute(state, record, now);
        return;
    }
    const auto found = state.members.find(id);
    if (found == state.members.end()) {
        insert_record(state, std::move(record), now, step);
        return;
    }
    auto& entry = found->second;
    if (!supersedes(record, entry.record)) {
        if (!supersedes(entry.record, record)) {
            count_repetition(state, entry.record);
        }
        return;
    }
    keep_addresses(record, entry.record);
    const auto before = entry.record.state;
    const auto restarted = entry.record.identity.start_ms != record.identity.start_ms ||
                           entry.record.identity.incarnation != record.identity.incarnation;
    // The first message of a member that was known only from the list does not count for flap
    // damping.
    const auto first_contact = entry.record.identity.start_ms == 0;
    toggle_hash(state, entry.record);
    entry.record = std::move(record);
    toggle_hash(state, entry.record);
    if (restarted) {
        entry.load = {};
        // The former start was lost, so its silence says nothing of this instance.
        entry.silent_since.reset();
    }
    if (before != entry.record.state || restarted) {
        entry.changed_at = now;
        if (!first_contact) {
            count_transition(state, entry, now);
        }
        step.changes.push_back({entry.record, before, restarted});
    }
    if (before == member_state::dead && entry.record.state == member_state::alive && !restarted) {
        // A partition may have ended. Dead members that no list names are not probed otherwise.
        state.pending_dead_probes += state.settings.extra_probes_per_silence;
        state.returned_zone = entry.record.zone;
    }
    if (entry.record.state == member_state::suspect) {
        entry.suspicion_deadline =
            now + state.settings.suspicion_timeout * (4 + state.health_score) / 4;
    }
    const auto accused = [](member_state known) { return known >= member_state::suspect; };
    const auto refuted = accused(before) && !restarted;
    announce(state, id, now, accused(entry.record.state) || refuted);
}

auto announce(membership_state& state, const std::string& id, time_point now, bool urgent) -> void
{
    if (const auto found = state.members.find(id); found != state.members.end()) {
        auto& entry = found->second;
        const auto flapping = entry.transitions.size() > state.settings.flap_transitions;
        if (flapping && now < entry.announced_at + state.settings.flap_hold_time) {
            entry.announcement_held = true;
            std::erase_if(state.updates, [&](const auto& update) { return update.id == id; });
            return;
        }
        entry.announced_at = now;
        entry.announcement_held = false;
    }
    std::erase_if(state.updates, [&](const auto& update) { return update.id == id; });
    state.updates.push_back({id, 0, urgent});
}

auto announce_held_members(membership_state& state, time_point now) -> void
{
    for (const auto& [id, entry] : state.members) {
        if (entry.announcement_held && now >= entry.announced_at + state.settings.flap_hold_time) {
            announce(state, id, now);
        }
    }
}

auto next_updates(membership_state& state, std::size_t bytes) -> std::vector<member_record>
{
    auto selected = std::vector<member_record>{};
    if (state.updates.empty()) {
        return selected;
    }
    std::stable_sort(state.updates.begin(), state.updates.end(),
                     [](const auto& left, const auto& right) {
                         return left.transmissions < right.transmissions;
                     });
    const auto recipients = std::max(zone_peers(state).size() + 1, state.zone_hashes.size());
    const auto max_transmissions =
        state.settings.transmit_multiplier * static_cast<unsigned>(std::bit_width(recipients));
    for (auto& update : state.updates) {
        const auto* record = record_of(state, update.id);
        if (record == nullptr) {
            update.transmissions = max_transmissions;
            continue;
        }
        const auto size = encoded_size(*record);
        if (size > bytes) {
            break;
        }
        bytes -= size;
        ++update.transmissions;
        selected.push_back(*record);
    }
    std::erase_if(state.updates,
                  [&](const auto& update) { return update.transmissions >= max_transmissions; });
    return selected;
}

auto differing_records(const membership_state& state, const std::vector<zone_hash>& theirs,
                       std::mt19937_64& random) -> std::vector<member_record>
{
    auto differs = [&](const member_record& record) {
        const auto key = name_key(record.zone);
        const auto same = [&](const auto& zone) { return zone.zone == key; };
        const auto their = std::find_if(theirs.begin(), theirs.end(), same);
        const auto ours = state.zone_hashes.find(key);
        const auto our_hash = ours == state.zone_hashes.end() ? 0U : ours->second;
        return our_hash != (their == theirs.end() ? 0U : their->hash);
    };
    auto records = std::vector<member_record>{};
    if (differs(state.self)) {
        records.push_back(state.self);
    }
    for (const auto& [id, entry] : state.members) {
        if (entry.record.identity.start_ms != 0 && !entry.announcement_held &&
            differs(entry.record)) {
            records.push_back(entry.record);
        }
    }
    std::shuffle(records.begin(), records.end(), random);
    auto bytes = state.settings.max_sync_bytes;
    auto kept = std::size_t{0};
    while (kept < records.size() && encoded_size(records[kept]) <= bytes) {
        bytes -= encoded_size(records[kept]);
        ++kept;
    }
    records.resize(kept);
    return records;
}

auto table_hash(const membership_state& state) -> std::uint32_t
{
    auto hash = std::uint32_t{0};
    for (const auto& [zone, zone_part] : state.zone_hashes) {
        hash ^= zone_part;
    }
    return hash;
}

auto zone_hash_list(const membership_state& state) -> std::vector<zone_hash>
{
    auto list = std::vector<zone_hash>{};
    for (const auto& [zone, hash] : state.zone_hashes) {
        list.push_back({zone, hash});
    }
    return list;
}

auto forget(membership_state& state, const std::string& id) -> void
{
    const auto found = state.members.find(id);
    if (found != state.members.end()) {
        toggle_hash(state, found->second.record);
        state.members.erase(found);
    }
}

auto record_of(const membership_state& state, const std::string& id) -> const member_record*
{
    if (id == state.self.identity.id) {
        return &state.self;
    }
    const auto found = state.members.find(id);
    return found == state.members.end() ? nullptr : &found->second.record;
}

auto zone_peers(const membership_state& state) -> std::vector<std::string>
{
    auto peers = std::vector<std::string>{};
    for (const auto& [id, entry] : state.members) {
        if (entry.record.zone == state.self.zone && entry.record.state != member_state::dead) {
            peers.push_back(id);
        }
    }
    return peers;
}

auto other_zones(const membership_state& state) -> std::vector<std::string>
{
    auto zones = std::vector<std::string>{};
    for (const auto& [id, entry] : state.members) {
        if (entry.record.zone != state.self.zone && entry.record.state != member_state::dead) {
            zones.push_back(entry.record.zone);
        }
    }
    std::sort(zones.begin(), zones.end());
    zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
    return zones;
}

} // namespace detail

auto supersedes(const member_record& left, const member_record& right) -> bool
{
    const auto rank = [](const member_record& record) {
        return std::tuple{record.identity.start_ms, record.identity.incarnation, record.refutation,
                          record.state};
    };
    return rank(left) > rank(right);
}

auto find_member(const membership_state& state, std::string_view id) -> std::optional<member_record>
{
    const auto* record = detail::record_of(state, std::string{id});
    return record == nullptr ? std::nullopt : std::optional{*record};
}

auto live_members(const membership_state& state) -> std::vector<member_record>
{
    auto live = std::vector<member_record>{};
    if (state.self.state == member_state::alive) {
        live.push_back(state.self);
    }
    for (const auto& [id, entry] : state.members) {
        // A suspect counts as live until it is declared dead.
        if (entry.record.state == member_state::alive ||
            entry.record.state == member_state::suspect) {
            live.push_back(entry.record);
        }
    }
    return live;
}

auto reachable_members(const membership_state& state, time_point now) -> std::vector<member_record>
{
    auto reachable = live_members(state);
    if (state.health_score > 0) {
        // Many suspicions may then be due to this instance alone, and its callers would be sent
        // nowhere else.
        return reachable;
    }
    std::erase_if(reachable, [&](const member_record& record) {
        if (record.state != member_state::suspect) {
            return false;
        }
        const auto& entry = state.members.at(record.identity.id);
        return entry.suspected_by_self || now >= entry.changed_at + state.settings.refutation_time;
    });
    return reachable;
}

} // namespace cyclamenpost
