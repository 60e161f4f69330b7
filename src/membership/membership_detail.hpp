#pragma once

#include "cyclamenpost/membership/membership.hpp"

namespace cyclamenpost::detail {

/// Raises the local health score after evidence that this instance or its links are at fault.
auto raise_health_score(membership_state& state, time_point now) -> void;

/// Lowers the local health score by one when `health_recovery_period` has passed without evidence.
auto recover_health_score(membership_state& state, time_point now) -> void;

/// Notes that a probe of the member was not acknowledged in time.
auto note_silence(membership_state& state, const std::string& target, time_point now) -> void;

/// Notes that the member runs, after a message from it or an acknowledgement of an indirect probe.
/// After a silence this is evidence against this instance.
auto note_sign_of_life(membership_state& state, const std::string& id, time_point now) -> void;

/// Takes the members to probe because others did not answer: those of the zone that is silent
/// first, without those heard from lately. None while this instance may itself be slow.
auto take_extra_probe_targets(membership_state& state, time_point now, std::mt19937_64& random)
    -> std::vector<std::string>;

/// Takes the dead members to probe because others of them run again, those of the same zone first.
auto take_dead_probe_targets(membership_state& state, std::mt19937_64& random)
    -> std::vector<std::string>;

/// Whether updates are queued that are to be sent in every tick (`urgent_updates`).
auto has_urgent_updates(const membership_state& state) -> bool;

/// Recipients of urgent updates in one tick.
auto urgent_recipients(const membership_state& state, std::mt19937_64& random)
    -> std::vector<std::string>;

/// Merges one record into the table, refutes one that wrongly concerns this instance, and queues
/// what is new for piggybacking.
auto merge_record(membership_state& state, member_record record, time_point now,
                  membership_step& step) -> void;

/// Queues the record of a member for piggybacking, unless its changes are damped.
auto announce(membership_state& state, const std::string& id, time_point now, bool urgent = false)
    -> void;

/// Queues the announcements held by flap damping whose hold time has passed.
auto announce_held_members(membership_state& state, time_point now) -> void;

/// Selects the queued records for one message, those sent least often first, within a limit in
/// bytes, and counts them as sent.
auto next_updates(membership_state& state, std::size_t bytes) -> std::vector<member_record>;

/// Records of the zones whose hashes differ from the given ones, in random order, within
/// `max_sync_bytes`.
auto differing_records(const membership_state& state, const std::vector<zone_hash>& theirs,
                       std::mt19937_64& random) -> std::vector<member_record>;

/// Adds a record to the hash of its zone, or removes it when the hash includes it (exclusive or).
auto toggle_hash(membership_state& state, const member_record& record) -> void;

/// Hash over the whole table.
auto table_hash(const membership_state& state) -> std::uint32_t;

/// Hashes of all zones.
auto zone_hash_list(const membership_state& state) -> std::vector<zone_hash>;

/// Removes a member from the table.
auto forget(membership_state& state, const std::string& id) -> void;

/// Record of a member or of this instance; null for an unknown id.
auto record_of(const membership_state& state, const std::string& id) -> const member_record*;

/// Ids of other members in this instance's zone that are not dead.
auto zone_peers(const membership_state& state) -> std::vector<std::string>;

/// Names of other zones with at least one member that is not dead.
auto other_zones(const membership_state& state) -> std::vector<std::string>;

/// Whether this instance is a representative of its zone.
auto is_representative(const membership_state& state) -> bool;

/// Alive members of a zone, this instance included, by descending rendezvous hash for the zone. The
/// first two are its representatives.
auto ranked_members(const membership_state& state, std::string_view zone)
    -> std::vector<std::string>;

/// The member that collects the load of the given one, among the ranked members of the zone. Empty
/// for the representatives and for ids that are not ranked.
auto collector_of(const std::vector<std::string>& ranked, std::string_view id) -> std::string;

/// Adds `more` to `into`; the time of the result is the older one.
auto add_sums(load_sums& into, const load_sums& more) -> void;

/// Load of this instance and of the members whose load it collects.
auto collected_load(const membership_state& state, time_point now) -> load_sums;

/// Load of this instance's zone as a representative knows it.
auto own_zone_load(const membership_state& state, time_point now) -> load_sums;

/// Load of the fleet: computed by a representative, received by other instances.
auto known_fleet_load(const membership_state& state, time_point now) -> load_sums;

/// Zone loads for a message to a representative of the given zone.
auto zone_loads_for(const membership_state& state, std::string_view zone, time_point now)
    -> std::vector<zone_load>;

/// Whether this instance and the given one are both representatives of this instance's zone.
auto both_represent_own_zone(const membership_state& state, const std::string& id) -> bool;

/// Members whose load this instance collects.
auto members_reporting_to_self(const membership_state& state) -> std::vector<std::string>;

/// Adds the loads that a probe to the given member carries.
auto add_loads(const membership_state& state, gossip_message& message, const member_record& to,
               time_point now) -> void;

/// Stores the loads of a message that are newer than the known ones.
auto store_loads(membership_state& state, const incoming_message& incoming) -> void;

} // namespace cyclamenpost::detail
