#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Part of an instance in the gate of one target.
enum class gate_role { none, primary, backup };

inline constexpr std::array gate_role_names{
    enum_name<gate_role>{gate_role::none, "none"},
    enum_name<gate_role>{gate_role::primary, "primary"},
    enum_name<gate_role>{gate_role::backup, "backup"},
};

/// Why a gate gave no permit.
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

/// Times and bounds of a gate.
struct gate_limits {
    double multiple = 1.25;
    /// Requests a cold target may carry at once.
    double cold_limit = 1;
    /// Requests above this cost together use only half of the bound.
    double large_cost = 16;
    /// Share of the bound that a target still warm receives when its zone returns.
    double return_share = 0.25;
    /// Time a holder has to start the request.
    duration permit_life = std::chrono::milliseconds{500};
    duration lease_period = std::chrono::milliseconds{500};
    duration lease_life = std::chrono::seconds{2};
    /// Allowance for clocks of different rates.
    duration clock_margin = std::chrono::milliseconds{200};
    /// A longer gap between two ticks counts as a pause of the process.
    duration pause = std::chrono::milliseconds{500};
    /// Oldest fleet mean that is used alone.
    duration mean_age = std::chrono::seconds{5};
    /// Highest age of the state in a load report when it arrives.
    duration report_lag = std::chrono::seconds{1};
    /// Longest gap between two load reports of a target that is up.
    duration heartbeat_timeout = std::chrono::milliseconds{1500};
    /// Least time between two increases of the allowance.
    duration warm_up_period = std::chrono::seconds{2};
    /// Longest hold-down of a target that starts repeatedly.
    duration hold_down_limit = std::chrono::seconds{60};
    /// Without confirmation of the instance list for this long, cold targets get no work.
    duration list_age = std::chrono::seconds{60};
};

/// A permit that the gate has granted.
struct permit {
    double cost = 1;
    std::string holder;
    incarnation_id holder_incarnation = 0;
    time_point granted;
    bool holder_dead = false;
};

/// An instance that may have held the gate under an earlier list.
struct former_holder {
    std::string id;
    /// Whether the new list still names it. One that it no longer names is presumed dead as far as
    /// the full bound is concerned, but not for cold targets.
    bool listed = true;
    /// Until then it gives no permits, because it acknowledged a lease of this gate as its backup.
    time_point quiet_until;
};

/// A lease message on its way to the backup.
struct sent_lease {
    std::uint64_t term = 0;
    time_point sent;
};

/// A permit that ended recently; the target's lagged reports may still count it.
struct ended_permit {
    double cost = 0;
    time_point ended;
};

/// State of one target's gate at one instance. Change it only through the functions below.
struct gate {
    std::string target;
    std::string self;
    gate_limits limits;

    gate_role role = gate_role::none;
    std::string primary;
    std::string backup;
    std::uint64_t list_version = 0;
    time_point list_confirmed;

    /// Earliest times for half of the bound, the full bound, and a cold target.
    time_point half_from;
    time_point full_from;
    time_point cold_from;
    /// Possible former holders that have not confirmed the current list, and how many of them must
    /// confirm it before a cold target gets work.
    std::vector<former_holder> former;
    std::size_t words_needed = 0;
    /// When a former holder that never confirmed the list has stopped by itself.
    time_point former_end;

    /// End of the lease that the backup acknowledged, on the primary's clock.
    time_point lease_until;
    /// The process paused since the last acknowledgement, so the lease does not count.
    bool lease_void = true;
    std::uint64_t next_term = 1;
    std::vector<sent_lease> leases;
    /// Time of the last lease that this backup acknowledged.
    time_point last_acknowledged;
    time_point last_tick;

    target_state state = target_state::cold;
    std::optional<incarnation_id> target_incarnation;
    target_state reported_state = target_state::cold;
    /// Whether this gate has seen the target start or lose its stream.
    bool start_seen = false;
    bool zone_out = false;
    bool leaving = false;
    /// Requests that a cold or warming target may carry.
    double allowance = 1;
    double completed_in_step = 0;
    time_point last_increase;
    time_point hold_down_until;
    duration hold_down{};
    std::optional<time_point> last_start;

    std::unordered_map<std::uint64_t, permit> permits;
    std::vector<ended_permit> ended;
    double outstanding_cost = 0;
    /// Part of the outstanding cost that large requests make up.
    double large_cost = 0;
    /// Load at the target that this gate gave no permit for, in cost units and in requests.
    double foreign_cost = 0;
    double foreign_requests = 0;
    /// Until this time foreign requests may still start, so their count does not fall.
    time_point foreign_until;
    std::optional<time_point> last_report;
    /// Reports that arrive before this time may have been buffered during a pause.
    time_point report_after;
    /// After a takeover there are permits only after a load report that arrived later than this and
    /// so shows all requests of former holders.
    time_point takeover_report_after;
    /// A cold target gets work only after a load report that arrived later than this.
    time_point cold_report_after;
    time_point last_grant;

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

/// A permit or a refusal. A permit counts from the time at which its holder sent the request.
struct permit_decision {
    bool granted = false;
    refusal_reason reason = refusal_reason::none;
    incarnation_id target_incarnation = 0;
    /// Proposed time until the next attempt after a refusal.
    duration retry_after{};
};

/// How a request with a permit ended.
enum class permit_outcome { completed, failed, unused };

inline constexpr std::array permit_outcome_names{
    enum_name<permit_outcome>{permit_outcome::completed, "completed"},
    enum_name<permit_outcome>{permit_outcome::failed, "failed"},
    enum_name<permit_outcome>{permit_outcome::unused, "unused"},
};

/// What a target reports about itself.
struct load_report {
    incarnation_id incarnation = 0;
    target_state state = target_state::warm;
    double running = 0;
    double waiting = 0;
    double cost = 0;
};

/// A change of the published list, as it concerns one gate.
struct list_change {
    std::uint64_t version = 0;
    std::string primary;
    std::string backup;
    /// Instances that may have held the gate under an earlier list, without this one: the former
    /// primary and backup, or, after a start, all other instances of the target's zone.
    std::vector<former_holder> former;
};

/// A lease that the primary sends to the backup and to former holders. The target's state lets the
/// backup know a target that has warmed up; 0 and `cold` when not sent.
struct lease_message {
    std::uint64_t term = 0;
    std::uint64_t list_version = 0;
    incarnation_id target_incarnation = 0;
    target_state state = target_state::cold;
    /// The primary's takeover is complete, so the backup may use its half when leases stop.
    bool takeover_done = false;
};

/// The answer to a lease. `acknowledged` is the backup's promise to give no permits for the lease's
/// life; `list_version` tells the primary that the sender acknowledges no former primary.
struct lease_answer {
    bool acknowledged = false;
    std::uint64_t term = 0;
    std::uint64_t list_version = 0;
};

/// State that a primary hands to its successor.
struct gate_state {
    incarnation_id target_incarnation = 0;
    target_state state = target_state::cold;
    double allowance = 0;
    double outstanding_cost = 0;
    double outstanding_requests = 0;
};

/// Creates the gate of `target` at instance `self`, without a role.
auto make_gate(std::string target, std::string self, const gate_limits& limits, time_point now)
    -> gate;

/// Grants a permit or refuses it. A repeated request id gets the earlier permit again.
auto request_permit(gate& state, const permit_request& request, time_point now) -> permit_decision;

/// Whether a permit may still be used by the holder that asked for it at `requested`, on the
/// holder's clock. For a check just before the bytes are sent.
auto permit_in_time(time_point requested, time_point now, const gate_limits& limits) -> bool;

/// Like `permit_in_time` for a permit of this instance's own gate; also checks that it is not void.
auto permit_valid(const gate& state, std::uint64_t request_id, incarnation_id target_incarnation,
                  time_point requested, time_point now) -> bool;

/// Ends a permit. Unknown ids are ignored, so a repeated release has no effect.
auto release_permit(gate& state, std::uint64_t request_id, permit_outcome end, time_point now)
    -> void;

/// Takes in a load report; a new incarnation makes the target cold and voids its permits.
auto on_load_report(gate& state, const load_report& report, time_point now) -> void;

/// The target's event stream closed: the target is cold and all permits are void.
auto on_stream_closed(gate& state, time_point now) -> void;

/// Takes in the mean load per engine of the fleet, and of the engines whose gates are held here.
auto on_mean(gate& state, double fleet_mean, double own_mean, time_point mean_at) -> void;

/// Starts a lease when one is due; the caller sends it to the backup and all former holders.
auto start_lease(gate& state, time_point now) -> std::optional<lease_message>;

/// Answers a lease from instance `from`.
auto on_lease_request(gate& state, std::string_view from, const lease_message& lease,
                      time_point now) -> lease_answer;

/// Takes in the answer to a lease.
auto on_lease_ack(gate& state, std::string_view from, const lease_answer& answer, time_point now)
    -> void;

/// Applies a new list version. A lower or equal version has no effect.
auto on_list_change(gate& state, const list_change& change, time_point now) -> void;

/// The platform, or a peer in contact with it, confirmed that the list is current.
auto on_list_confirmed(gate& state, time_point now) -> void;

/// Ends this gate's right to give permits and returns the state for the new primary.
auto hand_over(gate& state, time_point now) -> gate_state;

/// Takes over from the former primary `from` without a wait. A backup may use its half at once.
auto on_handover(gate& state, std::string_view from, const gate_state& handed, time_point now)
    -> void;

/// Voids nothing, but lets the next load reports reclaim the permits of a dead holder.
auto on_holder_dead(gate& state, std::string_view holder, incarnation_id incarnation,
                    time_point now) -> void;

/// Takes the target's zone out or returns it. A returned target starts with a small allowance.
auto on_zone_out(gate& state, bool out, time_point now) -> void;

/// The list or the target says that the target leaves.
auto on_target_leaving(gate& state, bool leaving) -> void;

/// Checks for pauses, missing heartbeats and ended leases. Call it at every loop iteration.
auto on_tick(gate& state, time_point now) -> void;

/// Load counted at the target, in cost units.
auto gate_load(const gate& state) -> double;

/// Highest load for a request of this cost at this time, in cost units.
auto gate_bound(const gate& state, double cost, time_point now) -> double;

} // namespace cyclamenpost
