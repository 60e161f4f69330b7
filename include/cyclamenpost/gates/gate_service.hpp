#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/configuration/config_service.hpp"
#include "cyclamenpost/gates/gate.hpp"
#include "cyclamenpost/gates/target_monitor.hpp"
#include "cyclamenpost/membership/cluster_node.hpp"
#include "cyclamenpost/placement/placement.hpp"

namespace cyclamenpost {

/// A permit that this instance holds, granted by its own gate or by that of another instance.
struct held_permit {
    std::uint64_t request_id = 0;
    std::string target;
    /// Instance whose gate granted the permit; empty for this instance.
    std::string gate_instance;
    incarnation_id target_incarnation = 0;
    time_point requested_at{};
};

/// Answer to a request for a permit. `reason` is a refusal reason or `gate_unreachable`.
struct permit_answer {
    bool granted = false;
    std::string reason;
    duration retry_after{};
    held_permit permit;
};

/// Callbacks of the gate service to other parts of the instance.
struct gate_handlers {
    /// The process of a target whose gate is at this instance has ended. The fingerprints are those
    /// of the requests that were running there.
    std::function<void(const std::string& target, incarnation_id incarnation,
                       const std::vector<std::uint64_t>& fingerprints)>
        on_target_lost;
    std::function<void(const cache_report&)> on_cache_report;
    /// Capacity may have become free.
    std::function<void()> on_capacity_available;
};

/// A target's state as known to this instance. State, load and bound (in cost units) are set only
/// if this instance is the primary.
struct target_status {
    std::string name;
    std::string service;
    std::string zone;
    /// Instance to ask for permits.
    std::string gate;
    /// Whether this instance is the primary of the target's gate.
    bool local = false;
    target_state state = target_state::cold;
    double load = 0;
    double bound = 0;
};

/// Owns the gates of which this instance is primary or backup, monitors their targets, exchanges
/// leases with the other gate of each target, and requests permits from other instances.
class gate_service {
public:
    gate_service(event_loop& loop, cluster_node& cluster, const config_service& config);

    /// Starts the periodic tasks.
    auto start(gate_handlers handlers) -> void;

    /// Stops the periodic tasks and the monitoring of targets.
    auto stop() -> void;

    /// Applies a new operator configuration or instance list.
    auto apply() -> void;

    /// Records that the active instance list is current.
    auto confirm_list() -> void;

    /// Requests a permit from the gate of a target. `done` is called once: before this function
    /// returns if a gate at this instance decides, otherwise later. The fingerprint identifies the
    /// request's content if the target crashes while it runs.
    auto acquire(const std::string& target, std::uint64_t request_id, double cost,
                 std::uint64_t fingerprint, std::function<void(permit_answer)> done) -> void;

    /// Whether a permit may still be used. Call it immediately before the request is sent.
    auto valid(const held_permit& permit) const -> bool;

    /// Ends a permit.
    auto release(const held_permit& permit, permit_outcome outcome) -> void;

    /// Handles messages about permits, leases and handovers. Returns false for any other kind.
    auto on_message(const wire::envelope& message) -> bool;

    /// Handles a membership change; permits of an ended incarnation are marked as those of a dead
    /// holder.
    auto on_member(const member_change& change) -> void;

    /// Hands over all primary gates to their backups before shutdown.
    auto hand_over_all() -> void;

    /// Instance to ask for permits of a target: its primary, or the backup if the primary is dead
    /// or leaving. Empty for an unknown target.
    auto gate_instance_of(const std::string& target) const -> std::string;

    /// Engines that serve a model, with their load as far as this instance knows it.
    auto engine_views(const std::string& service, const std::string& model) const
        -> std::vector<engine_view>;

    /// Mean load of a model's engines in cost units, including a new request of the given cost.
    auto model_mean_load(const std::string& model, const std::vector<engine_view>& views,
                         double cost) const -> double;

    /// All active targets, sorted by name.
    auto status() const -> std::vector<target_status>;

    /// Targets of a service that may receive requests, sorted by name.
    auto serving_targets(const std::string& service) const -> std::vector<fleet_target>;

    /// Whether a service and all its dependencies have a target that may receive requests.
    auto service_usable(const std::string& service) const -> bool;

    /// An active target, or a null pointer.
    auto find_target(const std::string& name) const -> const fleet_target*;

private:
    /// A permit request that another instance has not answered yet.
    struct pending_request {
        std::string target;
        std::string gate_instance;
        time_point requested_at{};
        std::function<void(permit_answer)> done;
        timer timeout;
    };
    /// A request that runs at a target, or failed there recently.
    struct running_request {
        std::uint64_t fingerprint = 0;
        std::optional<time_point> failed_at;
    };
    struct refused_target {
        time_point until{};
    };
    auto tick() -> void;
    auto exchange_leases(time_point now) -> void;
    auto publish_loads() -> void;
    auto models_of(const fleet_target& target) const -> std::vector<std::string>;
    auto own_load(const std::string& model) const -> model_load;
    auto count_serving_engines() -> void;
    auto current_mean(const std::string& model) const -> std::optional<fleet_model_load>;
    auto update_mean(gate& gate, time_point now) -> void;
    auto apply_roles(time_point now) -> void;
    auto update_monitored_targets() -> void;
    auto on_report(const target_report& report) -> void;
    auto on_target_closed(const std::string& target) -> void;
    auto on_permit_request(const wire::envelope& message) -> void;
    auto on_permit_reply(const wire::envelope& message) -> void;
    auto on_lease(const wire::envelope& message) -> void;
    auto on_lease_ack_message(const wire::envelope& message) -> void;
    auto on_handover_message(const wire::envelope& message) -> void;
    auto limits_of(const fleet_target& target) const -> gate_limits;
    auto decide(const std::string& target, const permit_request& request, std::uint64_t fingerprint,
                time_point now) -> permit_decision;
    auto release_local(gate& gate, std::uint64_t request_id, permit_outcome outcome) -> void;
    auto finish_pending(std::uint64_t request_id, permit_answer answer) -> void;
    auto former_holders(const std::string& target) const -> std::vector<former_holder>;

    event_loop& loop_;
    cluster_node& cluster_;
    const config_service& config_;
    gate_handlers handlers_;
    target_monitor monitor_;
    std::map<std::string, fleet_target> targets_;
    std::map<std::string, std::uint32_t> serving_engines_;
    std::vector<std::string> unusable_services_;
    std::map<std::string, gate_assignment> assignments_;
    std::map<std::string, gate> gates_;
    std::unordered_map<std::uint64_t, pending_request> pending_requests_;
    // targets whose gate at another instance recently refused a permit
    std::unordered_map<std::string, refused_target> recent_refusals_;
    std::map<std::string, std::unordered_map<std::uint64_t, running_request>> running_requests_;
    // cost by model that this instance last contributed to the load sums in gossip
    std::map<std::string, std::uint64_t> published_loads_;
    std::uint64_t list_version_ = 0;
    time_point last_load_publish_{};
    timer tick_timer_;
};

} // namespace cyclamenpost
