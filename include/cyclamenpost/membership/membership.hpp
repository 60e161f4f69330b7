#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// State of a member. The numbers are part of the protocol and their order decides between two
/// updates that are otherwise equal: the greater one wins.
enum class member_state : std::uint8_t { alive = 0, leaving = 1, suspect = 2, dead = 3 };

inline constexpr std::array member_state_names{
    enum_name<member_state>{member_state::alive, "alive"},
    enum_name<member_state>{member_state::leaving, "leaving"},
    enum_name<member_state>{member_state::suspect, "suspect"},
    enum_name<member_state>{member_state::dead, "dead"},
};

/// One process start of an instance. A greater start sequence supersedes a smaller one.
struct member_identity {
    std::string id;
    incarnation_id incarnation = 0;
    /// Wall-clock time of the process start in milliseconds; orders the incarnations of one id.
    std::uint64_t start_ms = 0;
};

/// What is known of a member. A member that is known only from the published list has start
/// sequence 0, which anything heard from the instance itself supersedes.
struct member_record {
    member_identity identity;
    /// SWIM's incarnation number: raised only by the member itself to refute a suspicion.
    std::uint32_t refutation = 0;
    member_state state = member_state::alive;
    std::string zone;
    std::string region;
    std::string http_address;
    std::string bus_address;
};

/// Whether `left` supersedes `right`, two records of the same id. A strict total order, so members
/// that have seen the same updates agree in whatever order the updates arrived.
auto supersedes(const member_record& left, const member_record& right) -> bool;

/// Load of one model: the engines that serve it and the cost outstanding on them.
struct model_load {
    std::uint32_t model = 0;
    std::uint32_t engines = 0;
    std::uint64_t cost = 0;
};

/// Sums of model loads with the time of their oldest part. Sorted by model key.
struct load_sums {
    std::vector<model_load> models;
    time_point measured_at{};
};

/// The models of the operator text, which both ends of a message know. Loads of a catalogue's
/// models travel by position instead of by key.
struct model_catalogue {
    /// Sorted keys.
    std::vector<std::uint32_t> models;
    std::uint32_t digest = 0;
};

/// Makes a catalogue from model names.
auto make_catalogue(const std::vector<std::string>& names) -> model_catalogue;

/// Timing and limits of failure detection and dissemination.
struct membership_settings {
    duration probe_period = std::chrono::seconds{1};
    duration probe_timeout = std::chrono::milliseconds{300};
    duration suspicion_timeout = std::chrono::seconds{4};
    /// A gap between two ticks above this counts as a pause of the own process.
    duration pause_threshold = std::chrono::milliseconds{800};
    /// A collector waits this long for the loads of its members before it acknowledges a probe.
    duration collection_timeout = std::chrono::milliseconds{100};
    /// Time from a representative's collection to its exchange with other representatives.
    duration exchange_delay = std::chrono::milliseconds{300};
    unsigned indirect_probes = 3;
    unsigned zones_per_period = 2;
    /// Most bytes of updates in one message.
    std::size_t max_update_bytes = 600;
    /// Updates are sent at most this many times log2 of the members.
    unsigned transmit_multiplier = 3;
    /// Greatest value of the local health multiplier minus one (Lifeguard).
    unsigned max_health_score = 8;
    unsigned flap_transitions = 3;
    duration flap_window = std::chrono::minutes{1};
    duration flap_hold_time = std::chrono::seconds{10};
    /// Dead members that the published list does not name are forgotten after this time.
    duration dead_retention = std::chrono::minutes{10};
    /// Loads older than this are left out of sums.
    duration max_load_age = std::chrono::seconds{5};
    /// Zone sums that a representative passes on in one message besides its own.
    unsigned relayed_zones = 4;
    /// An instance starts at most one repair of table differences within this time.
    duration min_sync_interval = std::chrono::seconds{3};
    /// Most bytes of records in one repair message.
    std::size_t max_sync_bytes = 4000;
    /// Listed members that are dead are probed again about this often, so that partitions merge.
    duration dead_probe_period = std::chrono::seconds{5};
};

/// Kinds of messages that membership exchanges.
enum class gossip_kind : std::uint8_t { probe, probe_ack, indirect_probe, sync };

inline constexpr std::array gossip_kind_names{
    enum_name<gossip_kind>{gossip_kind::probe, "probe"},
    enum_name<gossip_kind>{gossip_kind::probe_ack, "probe_ack"},
    enum_name<gossip_kind>{gossip_kind::indirect_probe, "indirect_probe"},
    enum_name<gossip_kind>{gossip_kind::sync, "member_sync"},
};

/// Sums of one zone, as representatives exchange them.
struct zone_load {
    std::uint32_t zone = 0;
    load_sums sums;
};

/// Hash over the member records of one zone.
struct zone_hash {
    std::uint32_t zone = 0;
    std::uint32_t hash = 0;
};

/// A membership message without its envelope.
struct gossip_message {
    gossip_kind kind = gossip_kind::probe;
    std::uint64_t seq = 0;
    /// Instance to probe, in an indirect probe.
    std::string target;
    std::vector<member_record> updates;
    std::uint64_t config_version = 0;
    std::uint64_t config_digest = 0;
    std::uint64_t list_version = 0;
    std::optional<load_sums> load;
    std::vector<zone_load> zone_loads;
    /// Load of the fleet, from a collector to a member whose load it asks for.
    std::optional<load_sums> fleet_load;
    std::uint32_t table_digest = 0;
    std::vector<zone_hash> zone_digests;
    bool reply_wanted = false;
};

/// A message to be sent to the bus address of a member.
struct outgoing_message {
    std::string to;
    std::string address;
    std::string zone;
    gossip_message message;
};

/// A message that arrived, with the identity from its envelope.
struct incoming_message {
    member_identity from;
    gossip_message message;
};

/// A change of a member's state as this instance sees it.
struct member_change {
    member_record member;
    std::optional<member_state> previous_state;
    bool new_incarnation = false;
};

/// A peer's configuration version, when it differs from the own one.
struct peer_config_version {
    std::string from;
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::uint64_t list_version = 0;
};

/// What one event leads to.
struct membership_step {
    std::vector<outgoing_message> messages;
    std::vector<member_change> changes;
    std::vector<peer_config_version> peer_config_versions;
};

namespace detail {

/// A member with the local bookkeeping for it.
struct member_entry {
    member_record record;
    bool listed = false;
    time_point changed_at{};
    time_point suspicion_deadline{};
    /// This instance raised the current suspicion itself and tells the member until it ends.
    bool suspected_by_self = false;
    /// Times of recent transitions, newest last, for flap damping.
    std::deque<time_point> transitions;
    time_point announced_at{};
    bool announcement_held = false;
    load_sums load;
};

/// A probe that waits for its acknowledgement. `relay_to` is set when another member asked for it.
struct pending_probe {
    std::string target;
    time_point deadline{};
    bool indirect_sent = false;
    std::string relay_to;
    std::uint64_t relay_seq = 0;
};

/// An update that is still to be piggybacked.
struct queued_update {
    std::string id;
    unsigned transmissions = 0;
};

} // namespace detail

/// All that one instance knows of its fleet. Changed only by the functions below.
struct membership_state {
    membership_settings settings;
    member_record self;
    std::map<std::string, detail::member_entry> members;
    std::uint64_t list_version = 0;
    std::uint64_t config_version = 0;
    std::uint64_t config_digest = 0;
    load_sums own_load;
    std::map<std::uint32_t, load_sums> zone_loads;
    load_sums fleet_load;
    /// Local health multiplier minus one: 0 when healthy.
    unsigned health_score = 0;
    std::uint64_t next_seq = 1;
    std::map<std::uint64_t, detail::pending_probe> probes;
    std::vector<std::string> probe_order;
    std::vector<std::string> zone_order;
    std::vector<detail::queued_update> updates;
    time_point last_tick{};
    time_point next_probe{};
    time_point next_dead_probe{};
    time_point next_collection{};
    time_point next_exchange{};
    /// The collector's probe whose acknowledgement waits for the loads of `awaited`.
    std::optional<incoming_message> deferred_probe;
    time_point deferred_until{};
    std::vector<std::string> awaited_reports;
    time_point next_sync{};
    std::map<std::uint32_t, std::uint32_t> zone_hashes;
};

/// Starts membership for one process start. `self` carries identity, zone, region and addresses.
auto start_membership(membership_settings settings, member_record self, time_point now)
    -> membership_state;

/// Applies a published list: its members are added as alive, their addresses taken over, and those
/// it no longer names are forgotten once they are dead. Lower versions are ignored.
auto apply_instance_list(membership_state& state, std::uint64_t version,
                         const std::vector<member_record>& listed, time_point now)
    -> membership_step;

/// Advances time: sends probes, raises suspicions and declares members dead. Called about every
/// 100 ms; a longer gap postpones all deadlines, because acknowledgements may wait unread.
auto on_tick(membership_state& state, time_point now, std::mt19937_64& random) -> membership_step;

/// Handles one message of another instance.
auto on_gossip(membership_state& state, const incoming_message& incoming, time_point now,
               std::mt19937_64& random) -> membership_step;

/// Announces that this instance is leaving and tells the zone's members at once.
auto announce_leaving(membership_state& state, time_point now, std::mt19937_64& random)
    -> membership_step;

/// Sets the address on which callers reach this instance, and spreads it like a refutation.
auto set_http_address(membership_state& state, std::string http, time_point now) -> void;

/// Sets the load of this instance's own targets, summed by model.
auto set_own_load(membership_state& state, std::vector<model_load> models, time_point now) -> void;

/// Sets the configuration version in force, which every probe carries.
auto set_config_version(membership_state& state, std::uint64_t version, std::uint64_t digest)
    -> void;

/// Load of one model over the whole fleet.
struct fleet_model_load {
    std::uint32_t engines = 0;
    double mean_cost = 0;
    /// Age of the oldest part of the sums.
    duration age{};
};

/// Mean load per engine of a model. Nothing when no report names the model.
auto fleet_load_of(const membership_state& state, std::string_view model, time_point now)
    -> std::optional<fleet_model_load>;

/// Ids of a zone's representatives: the first two live members in rendezvous order over the zone.
auto representatives(const membership_state& state, std::string_view zone)
    -> std::vector<std::string>;

/// Record of a member, this instance included. Nothing for an unknown id.
auto find_member(const membership_state& state, std::string_view id)
    -> std::optional<member_record>;

/// Members that are alive, this instance included unless it is leaving.
auto live_members(const membership_state& state) -> std::vector<member_record>;

} // namespace cyclamenpost
