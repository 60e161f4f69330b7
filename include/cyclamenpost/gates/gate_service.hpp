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

/// A permit that this instance holds, its own gate's or another instance's.
struct held_permit {
    std::uint64_t request_id = 0;
    std::string target;
    /// Instance whose gate granted the permit; empty for this instance.
    std::string gate;
    incarnation_id target_incarnation = 0;
    time_point requested{};
};

/// Answer to a request for a permit.
struct permit_answer {
    bool granted = false;
    std::string reason;
    duration retry_after{};
    held_permit permit;
};

/// What the gate service tells the other parts of the instance.
struct gate_handlers {
    /// The process of a target whose gate is held here has ended.
    std::function<void(const std::string& target, incarnation_id incarnation,
                       const std::vector<std::uint64_t>& fingerprints)>
        on_target_lost;
    std::function<void(const cache_report&)> on_cache;
    /// Capacity may have become free.
    std::function<void()> on_capacity;
};

/// A target's state as this instance sees it, for status and placement.
struct target_status {
    std::string name;
    std::string service;
    std::string zone;
    std::string gate;
    bool local = false;
    target_state state = target_state::cold;
    double load = 0;
    double bound = 0;
};

/// Owns the gates that this instance holds, watches their targets, exchanges leases with the other
/// gate of each target, and asks other instances for permits.
class gate_service {
public:
    gate_service(event_loop& loop, cluster_node& cluster, const config_service& config);

    /// Starts the periodic work.
    auto start(gate_handlers handlers) -> void;

    /// Stops watching targets.
    auto stop() -> void;

    /// Applies a new operator text or instance list.
    auto apply() -> void;

    /// Confirms that the instance list in force is current.
    auto confirm_list() -> void;

    /// Asks the gate of a target for a permit. `done` is called once, at once for a local gate. The
    /// fingerprint names the request's content should the target die.
    auto acquire(const std::string& target, std::uint64_t request_id, double cost,
                 std::uint64_t fingerprint, std::function<void(permit_answer)> done) -> void;

    /// Whether a permit may still be used; called immediately before the bytes are sent.
    auto valid(const held_permit& permit) const -> bool;

    /// Ends a permit.
    auto release(const held_permit& permit, permit_outcome end) -> void;

    /// Handles messages about permits and leases. Returns false for another kind.
    auto on_message(const wire::envelope& message) -> bool;

    /// A member's incarnation ended or left.
    auto on_member(const member_change& change) -> void;

    /// Hands all gates to their backups before shutdown.
    auto hand_over_all() -> void;

    /// Primary gate of a target, or an empty string.
    auto gate_instance_of(const std::string& target) const -> std::string;

    /// Engines of a model with what is known of their load.
    auto engine_views(const std::string& service, const std::string& model) const
        -> std::vector<engine_view>;

    /// Mean load of a model's engines, including a new request of the given cost.
    auto model_mean_load(const std::string& model, const std::vector<engine_view>& views,
                         double cost) const -> double;

    /// All targets in force, sorted by name.
    auto status() const -> std::vector<target_status>;

    /// Targets of a service that may receive work, in the order of names.
    auto serving_targets(const std::string& service) const -> std::vector<fleet_target>;

    /// Whether a service and all that it depends on have a target that may receive work.
    auto service_usable(const std::string& service) const -> bool;

    /// A target in force, or a null pointer.
    auto find_target(const std::string& name) const -> const fleet_target*;

private:
    struct pending_request {
        std::string target;
        std::string gate;
        time_point requested{};
        std::function<void(permit_answer)> done;
        timer timeout;
    };
    /// A request that runs at a target, or failed there a moment ago.
    struct target_run {
        std::uint64_t fingerprint = 0;
        std::optional<time_point> failed_at;
    };
    struct refused_target {
        time_point until{};
    };
    auto tick() -> void;
    auto exchange_leases(time_point now) -> void;
    auto report_loads() -> void;
    auto models_of(const fleet_target& target) const -> std::vector<std::string>;
    auto own_load(const std::string& model) const -> model_load;
    auto count_serving() -> void;
    auto current_mean(const std::string& model) const -> std::optional<fleet_model_load>;
    auto update_mean(gate& gate, time_point now) -> void;
    auto apply_roles(time_point now) -> void;
    auto watch_targets() -> void;
    auto on_report(const target_report& report) -> void;
    auto on_lost(const std::string& target) -> void;
    auto on_permit_request(const wire::envelope& message) -> void;
    auto on_permit_reply(const wire::envelope& message) -> void;
    auto on_lease(const wire::envelope& message) -> void;
    auto on_lease_ack_message(const wire::envelope& message) -> void;
    auto on_handover_message(const wire::envelope& message) -> void;
    auto limits_of(const fleet_target& target) const -> gate_limits;
    auto decide(const std::string& target, const permit_request& request, std::uint64_t fingerprint,
                time_point now) -> permit_decision;
    auto release_local(gate& gate, std::uint64_t request_id, permit_outcome end) -> void;
    auto finish_pending(std::uint64_t request_id, permit_answer answer) -> void;
    auto former_holders(const std::string& target) const -> std::vector<former_holder>;

    event_loop& loop_;
    cluster_node& cluster_;
    const config_service& config_;
    gate_handlers handlers_;
    target_monitor monitor_;
    std::map<std::string, fleet_target> targets_;
    std::map<std::string, std::uint32_t> serving_engines_;
    std::vector<std::string> unusable_;
    std::map<std::string, gate_assignment> assignments_;
    std::map<std::string, gate> gates_;
    std::unordered_map<std::uint64_t, pending_request> pending_;
    // remote targets that refused a permit a moment ago
    std::unordered_map<std::string, refused_target> refused_;
    std::map<std::string, std::unordered_map<std::uint64_t, target_run>> running_;
    // own part of the load sums in gossip, by model
    std::map<std::string, std::uint64_t> reported_;
    std::uint64_t list_version_ = 0;
    time_point last_load_report_{};
    timer ticks_;
};

} // namespace cyclamenpost
