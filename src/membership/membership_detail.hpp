#pragma once

#include "cyclamenpost/membership/membership.hpp"

namespace cyclamenpost::detail {

/// Merges one record into the table, refutes one that wrongly concerns this instance, and queues
/// what is new for piggybacking.
auto merge_record(membership_state& state, member_record record, time_point now,
                  membership_step& step) -> void;

/// Queues the record of a member for piggybacking, unless its changes are damped.
auto announce(membership_state& state, const std::string& id, time_point now) -> void;

/// Queues the damped announcements whose hold time has passed.
auto announce_held_members(membership_state& state, time_point now) -> void;

/// Takes queued records for one message, those sent least often first, within the byte limit.
auto next_updates(membership_state& state, std::size_t bytes) -> std::vector<member_record>;

/// Records of the zones whose hashes differ from the given ones, from a random start.
auto differing_records(const membership_state& state, const std::vector<zone_hash>& theirs,
                       std::mt19937_64& random) -> std::vector<member_record>;

/// Adds a record to the hash of its zone, or removes it when it is part of it.
auto toggle_hash(membership_state& state, const member_record& record) -> void;

/// Hash over the whole table.
auto table_hash(const membership_state& state) -> std::uint32_t;

/// Hashes of all zones.
auto zone_hash_list(const membership_state& state) -> std::vector<zone_hash>;

/// Removes a member from the table.
auto forget(membership_state& state, const std::string& id) -> void;

/// Record of a member or of this instance; null for an unknown id.
auto record_of(const membership_state& state, const std::string& id) -> const member_record*;

/// Ids of other members in the own zone that are not dead.
auto zone_peers(const membership_state& state) -> std::vector<std::string>;

/// Names of other zones with at least one live member.
auto other_zones(const membership_state& state) -> std::vector<std::string>;

/// Whether this instance represents its zone.
auto is_representative(const membership_state& state) -> bool;

/// Live members of a zone, this instance included, in rendezvous order over the zone. The first two
/// represent the zone.
auto ranked_members(const membership_state& state, std::string_view zone)
    -> std::vector<std::string>;

/// The member that collects the load of another, given the zone's ranked members. Empty for the
/// representatives and for ids that are not ranked.
auto collector_of(const std::vector<std::string>& ranked, std::string_view id) -> std::string;

/// Adds sums; the time of the result is the older one.
auto add_sums(load_sums& into, const load_sums& more) -> void;

/// Load of this instance and of the members that report to it.
auto collected_load(const membership_state& state, time_point now) -> load_sums;

/// Load of the own zone as a representative knows it.
auto own_zone_load(const membership_state& state, time_point now) -> load_sums;

/// Load of the fleet: computed by a representative, received by other instances.
auto known_fleet_load(const membership_state& state, time_point now) -> load_sums;

/// Zone sums for a message to a representative of another zone.
auto zone_loads_for(const membership_state& state, std::string_view zone, time_point now)
    -> std::vector<zone_load>;

/// Whether this instance and the given one represent the own zone.
auto both_represent_own_zone(const membership_state& state, const std::string& id) -> bool;

/// Members whose load this instance collects.
auto members_reporting_to_self(const membership_state& state) -> std::vector<std::string>;

/// Adds the loads that a probe to the given member carries.
auto add_loads(const membership_state& state, gossip_message& message, const member_record& to,
               time_point now) -> void;

/// Takes over the load parts of a message.
auto store_loads(membership_state& state, const incoming_message& incoming) -> void;

} // namespace cyclamenpost::detail
