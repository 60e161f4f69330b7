#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Role of an instance in the gate of one target. Each target has one primary and at most one
/// backup.
enum class gate_role { none, primary, backup };

inline constexpr std::array gate_role_names{
    enum_name<gate_role>{gate_role::none, "none"},
    enum_name<gate_role>{gate_role::primary, "primary"},
    enum_name<gate_role>{gate_role::backup, "backup"},
};

/// Why a gate refused a permit.
enum class refusal_reason {
    none,
    not_gate,
    takeover_wait,
    gate_in_doubt,
    target_unknown,
    target_leaving,
    zone_out,
    cold_limit,
    load_bound,
    list_unconfirmed,
};

inline constexpr std::array refusal_reason_names{
    enum_name<refusal_reason>{refusal_reason::none, "none"},
    enum_name<refusal_reason>{refusal_reason::not_gate, "not_gate"},
    enum_name<refusal_reason>{refusal_reason::takeover_wait, "takeover_wait"},
    enum_name<refusal_reason>{refusal_reason::gate_in_doubt, "gate_in_doubt"},
    enum_name<refusal_reason>{refusal_reason::target_unknown, "target_unknown"},
    enum_name<refusal_reason>{refusal_reason::target_leaving, "target_leaving"},
    enum_name<refusal_reason>{refusal_reason::zone_out, "zone_out"},
    enum_name<refusal_reason>{refusal_reason::cold_limit, "cold_limit"},
    enum_name<refusal_reason>{refusal_reason::load_bound, "load_bound"},
    enum_name<refusal_reason>{refusal_reason::list_unconfirmed, "list_unconfirmed"},
};

/// Time limits and load limits of a gate. Loads are in cost units.
struct gate_limits {
    /// The load bound is this multiple of the mean load.
    double load_multiple = 1.25;
    /// Most concurrent requests at a cold target.
    double cold_limit = 1;
    /// A request above this cost is large. All large requests together may use only half of the
    /// bound, unless there is just one.
    double large_request_cost = 16;
    /// Part of the bound that a target which is still warm may use when its zone returns to
    /// service.
    double zone_return_share = 0.25;
    /// A holder must start the request within this time after asking for the permit.
    duration permit_lifetime = std::chrono::milliseconds{500};
    /// Time between two leases that the primary sends.
    duration lease_interval = std::chrono::milliseconds{500};
    /// Validity of a lease, counted from when the primary sent it.
    duration lease_lifetime = std::chrono::seconds{2};
    /// Allowance for clocks that run at different rates.
    duration clock_drift_margin = std::chrono::milliseconds{200};
    /// A longer gap between two ticks means that the process was paused.
    duration pause_threshold = std::chrono::milliseconds{500};
    /// If the fleet mean is older, the lower one of it and the own mean applies.
    duration max_mean_age = std::chrono::seconds{5};
    /// Longest time between the measurement of a load report and its arrival.
    duration max_report_lag = std::chrono::seconds{1};
    /// A target that sends no load report for longer than this is considered stopped.
    duration heartbeat_timeout = std::chrono::milliseconds{1500};
    /// Shortest time between two increases of the allowance.
    duration warm_up_interval = std::chrono::seconds{2};
    /// Longest hold-down, during which a target that restarts repeatedly gets no higher allowance.
    duration max_hold_down = std::chrono::seconds{60};
    /// Cold targets get no requests if the instance list was last confirmed longer ago than this.
    duration max_list_age = std::chrono::seconds{60};
};

/// A permit that the gate has granted. The holder is the instance that sends the request.
struct permit {
    double cost = 1;
    std::string holder;
    incarnation_id holder_incarnation = 0;
    time_point granted_at;
    bool holder_dead = false;
};

/// An instance that may have been primary or backup under an earlier instance list.
struct former_holder {
    std::string id;
    /// Whether the new list still contains the instance. One that was removed is assumed dead for
    /// the full bound, but not for cold targets.
    bool listed = true;
    /// It grants no permits before this time, because it acknowledged a lease of this gate as its
    /// backup.
    time_point no_grants_until;
};

/// A lease that was sent and may still be acknowledged.
struct sent_lease {
    std::uint64_t term = 0;
    time_point sent_at;
};

/// A permit that ended recently. Delayed load reports of the target may still include it.
struct ended_permit {
    double cost = 0;
    time_point ended_at;
};

/// State of one target's gate at one instance. Modify it only through the functions below.
struct gate {
    std::string target;
    /// Id of this instance.
    std::string self;
    gate_limits limits;

    gate_role role = gate_role::none;
    std::string primary;
    std::string backup;
    /// Version of the instance list, and when it was last confirmed to be current.
    std::uint64_t list_version = 0;
    time_point list_confirmed;

    /// Earliest times at which this gate may use half of the bound, use the full bound, and grant
    /// permits for a cold target.
    time_point half_bound_from;
    time_point full_bound_from;
    time_point cold_grants_from;
    /// Possible former holders that have not confirmed the current list.
    std::vector<former_holder> former_holders;
    /// Number of former holders that must still confirm the current list to end the takeover early.
    std::size_t confirmations_needed = 0;
    /// From this time, former holders that never confirmed the current list count as stopped: the
    /// list they use has exceeded its maximum age, and the takeover wait has passed since.
    time_point former_holders_expiry;

    /// Expiry of the last lease that the backup acknowledged, on the primary's clock.
    time_point lease_until;
    /// Set after a pause of the process or a change of role, until the next acknowledgement.
    bool lease_invalid = true;
    /// Number of the next lease.
    std::uint64_t next_term = 1;
    std::vector<sent_lease> sent_leases;
    /// When this backup last acknowledged a lease.
    time_point last_lease_ack;
    time_point last_tick;

    /// State that decides about permits; a target that reports `warm` may still be warming up here.
    target_state effective_state = target_state::cold;
    std::optional<incarnation_id> target_incarnation;
    target_state reported_state = target_state::cold;
    /// Whether the target restarted or lost its event stream while this gate watched it. From
    /// then on a report of `warm` does not end the warm-up.
    bool restart_seen = false;
    bool zone_out = false;
    bool leaving = false;
    /// Most concurrent requests at a cold or warming target; doubled at each step of the warm-up.
    double allowance = 1;
    /// Requests completed since the last increase of the allowance.
    double completed_in_step = 0;
    time_point last_increase;
    time_point hold_down_until;
    duration hold_down{};
    /// Last restart of the target that this gate saw.
    std::optional<time_point> last_start;

    std::unordered_map<std::uint64_t, permit> permits;
    std::vector<ended_permit> ended_permits;
    /// Cost of all permits, and the part of it that belongs to large requests.
    double outstanding_cost = 0;
    double outstanding_large_cost = 0;
    /// Estimated load at the target from requests without a permit of this gate, in cost units and
    /// as a number of requests.
    double foreign_cost = 0;
    double foreign_requests = 0;
    /// Foreign requests may still start until this time, so the estimate is not lowered.
    time_point foreign_starts_until;
    std::optional<time_point> last_report;
    /// Reports that arrive before this time may have been buffered during a pause, so their load is
    /// not used.
    time_point ignore_reports_before;
    /// After a takeover, permits need a load report that arrived at this time or later and so
    /// includes all requests of former holders.
    time_point takeover_report_after;
    /// Permits for a cold target need a load report that arrived at this time or later.
    time_point cold_report_after;
    time_point last_grant;

    /// Mean load per engine of the fleet, and of the engines whose primary gate is this instance.
    double fleet_mean = 0;
    double own_mean = 0;
    std::optional<time_point> mean_at;
};

/// A request for a permit.
struct permit_request {
    std::uint64_t request_id = 0;
    double cost = 1;
    std::string_view holder;
    incarnation_id holder_incarnation = 0;
};

/// A permit or a refusal. The lifetime of a permit starts when its holder asked for it.
struct permit_decision {
    bool granted = false;
    refusal_reason reason = refusal_reason::none;
    incarnation_id target_incarnation = 0;
    /// Suggested delay before the next attempt after a refusal.
    duration retry_after{};
};

/// How a request with a permit ended.
enum class permit_outcome { completed, failed, unused };

inline constexpr std::array permit_outcome_names{
    enum_name<permit_outcome>{permit_outcome::completed, "completed"},
    enum_name<permit_outcome>{permit_outcome::failed, "failed"},
    enum_name<permit_outcome>{permit_outcome::unused, "unused"},
};

/// Load and state that a target reports. `running` and `waiting` count requests, `cost` is in cost
/// units.
struct load_report {
    incarnation_id incarnation = 0;
    target_state state = target_state::warm;
    double running = 0;
    double waiting = 0;
    double cost = 0;
};

/// A new version of the instance list, reduced to what concerns one gate.
struct list_change {
    std::uint64_t version = 0;
    std::string primary;
    std::string backup;
    /// Other instances that may have been primary or backup under an earlier list: the former
    /// primary and backup, or, after a start of this process, all other instances of the target's
    /// zone.
    std::vector<former_holder> former_holders;
};

/// A lease that the primary sends to the backup and to former holders. The target's incarnation and
/// state inform the backup that the target has warmed up; they are 0 and `cold` if not sent.
struct lease_message {
    std::uint64_t term = 0;
    std::uint64_t list_version = 0;
    incarnation_id target_incarnation = 0;
    target_state state = target_state::cold;
    /// The primary's takeover is complete, so the backup may use half of the bound when leases
    /// stop.
    bool takeover_done = false;
};

/// The reply to a lease. With `acknowledged` the backup promises to grant no permits while the
/// lease is valid. A current `list_version` shows that the sender acknowledges no leases of a
/// former primary.
struct lease_ack {
    bool acknowledged = false;
    std::uint64_t term = 0;
    std::uint64_t list_version = 0;
};

/// State that a primary sends to its successor.
struct handover_state {
    incarnation_id target_incarnation = 0;
    target_state state = target_state::cold;
    double allowance = 0;
    double outstanding_cost = 0;
    double outstanding_requests = 0;
};

/// Creates the gate of `target` at instance `self`, without a role.
auto make_gate(std::string target, std::string self, const gate_limits& limits, time_point now)
    -> gate;

/// Grants or refuses a permit. A repeated request id receives the same permit again, as long as it
/// has not ended.
auto request_permit(gate& state, const permit_request& request, time_point now) -> permit_decision;

/// Whether a permit asked for at `requested` is still within its lifetime, on the holder's clock.
/// The holder checks this immediately before it sends the request.
auto within_permit_lifetime(time_point requested, time_point now, const gate_limits& limits)
    -> bool;

/// Like `within_permit_lifetime` for a permit of a gate at this instance. Also checks that the
/// permit has not ended and that the target has not restarted.
auto permit_valid(const gate& state, std::uint64_t request_id, incarnation_id target_incarnation,
                  time_point requested, time_point now) -> bool;

/// Ends a permit. Unknown request ids are ignored, so a repeated release has no effect.
auto release_permit(gate& state, std::uint64_t request_id, permit_outcome outcome, time_point now)
    -> void;

/// Handles a load report. A new incarnation makes the target cold and invalidates its permits.
auto on_load_report(gate& state, const load_report& report, time_point now) -> void;

/// Handles the end of the target's event stream: the target is cold and all permits are invalid.
auto on_stream_closed(gate& state, time_point now) -> void;

/// Sets the mean load per engine of the fleet and of the engines whose primary gate is this
/// instance, in cost units, and when the fleet mean was measured.
auto set_mean_load(gate& state, double fleet_mean, double own_mean, time_point mean_at) -> void;

/// Returns a lease if one is due. The caller sends it to the backup and all former holders.
auto start_lease(gate& state, time_point now) -> std::optional<lease_message>;

/// Handles a lease from instance `from` and returns the reply.
auto on_lease_request(gate& state, std::string_view from, const lease_message& lease,
                      time_point now) -> lease_ack;

/// Handles the reply of instance `from` to a lease.
auto on_lease_ack(gate& state, std::string_view from, const lease_ack& ack, time_point now) -> void;

/// Applies a new version of the instance list. A lower or equal version has no effect.
auto on_list_change(gate& state, const list_change& change, time_point now) -> void;

/// Records that the platform, or a peer in contact with it, confirmed that the list is current.
auto on_list_confirmed(gate& state, time_point now) -> void;

/// Stops granting permits at this gate and returns the state for the new primary.
auto hand_over(gate& state, time_point now) -> handover_state;

/// Takes over from the former primary `from` without waiting for its lease to expire. For a
/// backup, only the wait for the primary's lease ends.
auto on_handover(gate& state, std::string_view from, const handover_state& handover, time_point now)
    -> void;

/// Marks the permits of a dead holder. They stay counted until load reports show that their
/// requests have ended.
auto on_holder_dead(gate& state, std::string_view holder, incarnation_id incarnation,
                    time_point now) -> void;

/// Records whether the target's zone is out of service. When it returns, the target starts with a
/// small allowance.
auto on_zone_out(gate& state, bool out, time_point now) -> void;

/// Records whether the target is leaving, according to the instance list or to the target itself.
auto on_target_leaving(gate& state, bool leaving) -> void;

/// Detects pauses of the process, missing heartbeats and expired former holders. Call it regularly,
/// at intervals well below the pause threshold.
auto on_tick(gate& state, time_point now) -> void;

/// Load at the target in cost units: outstanding permits and foreign load.
auto gate_load(const gate& state) -> double;

/// Load, in cost units, that the target may reach by a request of this cost.
auto gate_bound(const gate& state, double cost, time_point now) -> double;

} // namespace cyclamenpost
