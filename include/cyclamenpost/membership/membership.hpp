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

/// Identity of one process start of an instance. Of two starts of the same id, the one with the
/// later `start_ms`, then the greater incarnation, supersedes the other.
struct member_identity {
    std::string id;
    incarnation_id incarnation = 0;
    /// Wall-clock time of the process start in milliseconds.
    std::uint64_t start_ms = 0;
};

/// What is known of a member. A member that is known only from the published list has `start_ms` 0,
/// so that any record of the instance itself supersedes it.
struct member_record {
    member_identity identity;
    /// SWIM's incarnation number: raised only by the member itself, to refute a suspicion or to
    /// announce a new HTTP address.
    std::uint32_t refutation = 0;
    member_state state = member_state::alive;
    std::string zone;
    std::string region;
    /// `host:port` at which callers reach the instance; empty while it accepts none.
    std::string http_address;
    /// `host:port` of its bus.
    std::string bus_address;
};

/// Whether `left` supersedes `right`, two records of the same id. A strict total order, so members
/// that have seen the same updates agree in whatever order the updates arrived.
auto supersedes(const member_record& left, const member_record& right) -> bool;

/// Load of one model: the engines that serve it and the cost outstanding on them.
struct model_load {
    /// Key of the model's name (`name_key`).
    std::uint32_t model = 0;
    std::uint32_t engines = 0;
    std::uint64_t cost = 0;
};

/// Loads summed by model.
struct load_sums {
    /// Sorted by model key.
    std::vector<model_load> models;
    /// Time of the oldest load in the sums.
    time_point measured_at{};
};

/// The models of the operator text. Sender and receiver of a message have the same text, so loads
/// of these models are sent by position instead of by key.
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
    /// Time to an acknowledgement, multiplied by the local health multiplier.
    duration probe_timeout = std::chrono::milliseconds{300};
    /// A suspect that has not refuted within this time is dead. Poor local health extends it.
    duration suspicion_timeout = std::chrono::seconds{4};
    /// A longer gap between two ticks means that this process was paused.
    duration pause_threshold = std::chrono::milliseconds{800};
    /// A collector waits at most this long for the loads of its members before it acknowledges a
    /// probe.
    duration collection_timeout = std::chrono::milliseconds{100};
    /// Time from a representative's request for its members' loads to its exchange with other
    /// representatives.
    duration exchange_delay = std::chrono::milliseconds{300};
    /// Members that are asked to probe a target that did not acknowledge.
    unsigned indirect_probes = 3;
    /// Other zones that a representative probes in one period.
    unsigned zones_per_period = 2;
    /// Bytes of piggybacked updates in one message.
    std::size_t max_update_bytes = 600;
    /// An update is sent at most this many times the binary logarithm of the recipients (the
    /// greater of the zone's members and the number of zones).
    unsigned transmit_multiplier = 3;
    /// Upper bound of the local health score (Lifeguard).
    unsigned max_health_score = 8;
    /// Without new evidence of local trouble, the health score falls by one in this time.
    duration health_recovery_period = std::chrono::seconds{1};
    /// A member that is heard from within this time after it did not acknowledge a probe shows that
    /// the fault lies with this instance or its links.
    duration false_silence_window = std::chrono::seconds{3};
    /// Further members that are probed at once for each probe that is not acknowledged in time.
    /// When more than one in this many members is lost, the probes spread over the whole fleet;
    /// below that they die out. As many dead members are probed for each that runs again.
    unsigned extra_probes_per_silence = 4;
    /// A member that was heard from within this time needs no extra probe.
    duration recent_contact = std::chrono::milliseconds{500};
    /// Extra probes are no longer sent this long after the last probe that was not acknowledged.
    duration extra_probe_window = std::chrono::seconds{2};
    /// With at least this many suspicions and deaths queued, or a single refutation, they are sent
    /// in every tick instead of waiting for the next probes.
    std::size_t urgent_updates = 4;
    /// Members of the own zone, and for a representative also other zones, that receive them in one
    /// tick.
    unsigned urgent_fanout = 3;
    /// Bytes of updates in such a message.
    std::size_t max_urgent_bytes = 4000;
    /// A suspicion that was only reported by others may be wrong. Its member counts as reachable
    /// for this long, which a refutation needs to spread.
    duration refutation_time = std::chrono::seconds{1};
    /// A member with more state changes or restarts than this within `flap_window` is flapping; its
    /// changes are announced at most once in `flap_hold_time`.
    unsigned flap_transitions = 3;
    duration flap_window = std::chrono::minutes{1};
    duration flap_hold_time = std::chrono::seconds{10};
    /// Dead members that are not in the published list are removed after this time.
    duration dead_retention = std::chrono::minutes{10};
    /// Loads older than this are left out of sums.
    duration max_load_age = std::chrono::seconds{5};
    /// Loads of other zones that a representative relays in one message besides its own zone's.
    unsigned relayed_zones = 4;
    /// An instance starts at most one synchronisation of member tables within this time.
    duration min_sync_interval = std::chrono::seconds{3};
    /// Bytes of records in one synchronisation message.
    std::size_t max_sync_bytes = 4000;
    /// One dead member of the published list is probed about this often, so that the sides of a
    /// partition find each other again after it ends.
    duration dead_probe_period = std::chrono::seconds{5};
};

/// Kinds of membership messages.
enum class gossip_kind : std::uint8_t { probe, probe_ack, indirect_probe, sync };

inline constexpr std::array gossip_kind_names{
    enum_name<gossip_kind>{gossip_kind::probe, "probe"},
    enum_name<gossip_kind>{gossip_kind::probe_ack, "probe_ack"},
    enum_name<gossip_kind>{gossip_kind::indirect_probe, "indirect_probe"},
    enum_name<gossip_kind>{gossip_kind::sync, "member_sync"},
};

/// Load of one zone, as representatives exchange it.
struct zone_load {
    /// Key of the zone's name (`name_key`).
    std::uint32_t zone = 0;
    load_sums sums;
};

/// Hash over the member records of one zone.
struct zone_hash {
    /// Key of the zone's name (`name_key`).
    std::uint32_t zone = 0;
    std::uint32_t hash = 0;
};

/// A membership message without its envelope.
struct gossip_message {
    gossip_kind kind = gossip_kind::probe;
    /// Matches an acknowledgement to its probe.
    std::uint64_t seq = 0;
    /// Instance to probe, in an indirect probe.
    std::string target;
    std::vector<member_record> updates;
    std::uint64_t config_version = 0;
    std::uint64_t config_digest = 0;
    std::uint64_t list_version = 0;
    /// Load that the sender has collected, its own included.
    std::optional<load_sums> load;
    std::vector<zone_load> zone_loads;
    /// Load of the fleet, from a collector to a member; requests that member's load.
    std::optional<load_sums> fleet_load;
    std::uint32_t table_digest = 0;
    std::vector<zone_hash> zone_digests;
    /// In a synchronisation: the receiver sends its own differing records back.
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
    /// Nothing for a member that was unknown.
    std::optional<member_state> previous_state;
    bool new_incarnation = false;
};

/// Versions that a peer's probe or acknowledgement carried, reported when its configuration differs
/// from this instance's or its instance list is newer.
struct peer_config_version {
    std::string from;
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::uint64_t list_version = 0;
};

/// Result of handling one event: messages to send and changes to report.
struct membership_step {
    std::vector<outgoing_message> messages;
    std::vector<member_change> changes;
    std::vector<peer_config_version> peer_config_versions;
};

namespace detail {

/// A member with the local bookkeeping for it.
struct member_entry {
    member_record record;
    /// Named by the published list.
    bool listed = false;
    /// Time of the last change of state or incarnation.
    time_point changed_at{};
    /// A suspect is declared dead at this time.
    time_point suspicion_deadline{};
    /// This instance raised the current suspicion itself, and probes the member in every period
    /// until the suspicion ends.
    bool suspected_by_self = false;
    /// Time of the last message from the member.
    time_point last_heard{};
    /// Since when the member has not acknowledged a probe.
    std::optional<time_point> silent_since;
    /// Times of recent transitions, newest last, for flap damping.
    std::deque<time_point> transitions;
    time_point announced_at{};
    /// The announcement of the latest change is postponed by flap damping.
    bool announcement_held = false;
    /// Load that the member last sent.
    load_sums load;
};

/// A probe that waits for its acknowledgement.
struct pending_probe {
    std::string target;
    /// Start of the target that was probed; the silence of a former start says nothing of a later
    /// one.
    incarnation_id incarnation = 0;
    time_point deadline{};
    bool indirect_sent = false;
    /// Member that requested an indirect probe and receives the acknowledgement; empty for an own
    /// probe.
    std::string relay_to;
    /// Sequence number of that member's probe.
    std::uint64_t relay_seq = 0;
};

/// An update that is still to be piggybacked.
struct queued_update {
    /// Member whose current record is sent.
    std::string id;
    /// Times sent so far.
    unsigned transmissions = 0;
    /// A suspicion, a death or a refutation, which other members have to learn soon.
    bool urgent = false;
};

} // namespace detail

/// Membership state of one instance. Changed only by the functions below.
struct membership_state {
    membership_settings settings;
    member_record self;
    std::map<std::string, detail::member_entry> members;
    std::uint64_t list_version = 0;
    std::uint64_t config_version = 0;
    std::uint64_t config_digest = 0;
    /// Load of this instance's own targets.
    load_sums own_load;
    /// Loads of other zones by zone key.
    std::map<std::uint32_t, load_sums> zone_loads;
    /// Load of the fleet as received from the collector.
    load_sums fleet_load;
    /// Local health score (Lifeguard's multiplier minus one): 0 when healthy. Raised only by
    /// evidence that this instance or its links are at fault: a pause, a refuted suspicion, a
    /// member that is heard from after it seemed silent. Silence alone does not raise it, since the
    /// others may all be lost.
    unsigned health_score = 0;
    time_point next_health_recovery{};
    /// Extra probes to send because others were not acknowledged.
    unsigned pending_extra_probes = 0;
    /// When a probe was last not acknowledged in time, and the zone of its target.
    time_point last_silence{};
    std::string silent_zone;
    /// Probes of dead members to send because one of them runs again, and its zone.
    unsigned pending_dead_probes = 0;
    std::string returned_zone;
    std::uint64_t next_seq = 1;
    /// Pending probes by sequence number.
    std::map<std::uint64_t, detail::pending_probe> probes;
    /// Members and zones still to be probed in this round, in random order.
    std::vector<std::string> probe_order;
    std::vector<std::string> zone_order;
    std::vector<detail::queued_update> updates;
    time_point last_tick{};
    time_point next_probe{};
    time_point next_dead_probe{};
    time_point next_collection{};
    time_point next_exchange{};
    /// The collector's probe whose acknowledgement waits for the loads of `awaited_reports`.
    std::optional<incoming_message> deferred_probe;
    time_point deferred_until{};
    std::vector<std::string> awaited_reports;
    time_point next_sync{};
    /// Hashes over the member records of each zone, by zone key.
    std::map<std::uint32_t, std::uint32_t> zone_hashes;
};

/// Makes the initial state. `self` holds identity, zone, region and addresses.
auto start_membership(membership_settings settings, member_record self, time_point now)
    -> membership_state;

/// Applies a published list: adds its members as alive and sets their addresses. Members that it no
/// longer names are removed at once if known only from a list, otherwise once they have been dead
/// for `dead_retention`. Lower versions are ignored.
auto apply_instance_list(membership_state& state, std::uint64_t version,
                         const std::vector<member_record>& listed, time_point now)
    -> membership_step;

/// Advances time: sends probes, raises suspicions and declares members dead. Called about every
/// 100 ms; a gap above `pause_threshold` postpones all deadlines, because acknowledgements may have
/// arrived unread.
auto on_tick(membership_state& state, time_point now, std::mt19937_64& random) -> membership_step;

/// Handles one message of another instance.
auto on_gossip(membership_state& state, const incoming_message& incoming, time_point now,
               std::mt19937_64& random) -> membership_step;

/// Announces that this instance is leaving. The members of its zone get a message at once.
auto announce_leaving(membership_state& state, time_point now, std::mt19937_64& random)
    -> membership_step;

/// Sets the address on which callers reach this instance. The change raises the refutation number,
/// so that other members accept the new record.
auto set_http_address(membership_state& state, std::string address, time_point now) -> void;

/// Sets the load of this instance's own targets, summed by model.
auto set_own_load(membership_state& state, std::vector<model_load> models, time_point now) -> void;

/// Sets the configuration version in force, which probes and acknowledgements carry.
auto set_config_version(membership_state& state, std::uint64_t version, std::uint64_t digest)
    -> void;

/// Load of one model over the whole fleet.
struct fleet_model_load {
    std::uint32_t engines = 0;
    /// Outstanding cost per engine.
    double mean_cost = 0;
    /// Age of the oldest load in the sums.
    duration age{};
};

/// Load of a model over the fleet. Nothing when no engine is known to serve it.
auto fleet_load_of(const membership_state& state, std::string_view model, time_point now)
    -> std::optional<fleet_model_load>;

/// Ids of a zone's representatives: the first two live members in rendezvous order over the zone.
auto representatives(const membership_state& state, std::string_view zone)
    -> std::vector<std::string>;

/// Record of a member, this instance included. Nothing for an unknown id.
auto find_member(const membership_state& state, std::string_view id)
    -> std::optional<member_record>;

/// Members that are alive or only suspected, this instance included unless it is leaving.
auto live_members(const membership_state& state) -> std::vector<member_record>;

/// Live members without those that are probably lost. New callers are sent only to these, while
/// everything that must outlast a false suspicion follows `live_members`.
auto reachable_members(const membership_state& state, time_point now) -> std::vector<member_record>;

} // namespace cyclamenpost
