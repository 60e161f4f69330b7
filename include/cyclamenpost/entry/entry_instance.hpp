#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cyclamenpost/core/log_buffer.hpp"
#include "cyclamenpost/core/metrics.hpp"
#include "cyclamenpost/core/supervisor.hpp"
#include "cyclamenpost/entry/crash_monitor.hpp"
#include "cyclamenpost/entry/entry_settings.hpp"
#include "cyclamenpost/entry/fleet_view.hpp"
#include "cyclamenpost/entry/forwarder.hpp"
#include "cyclamenpost/entry/load_reporter.hpp"
#include "cyclamenpost/entry/peers.hpp"
#include "cyclamenpost/entry/platform_codec.hpp"
#include "cyclamenpost/entry/store_reader.hpp"
#include "cyclamenpost/transport/http1_server.hpp"

namespace cyclamenpost {

/// One entry instance on a platform. Its supervised children start in the order peers, load
/// reports, store, request path, directory and readiness, and stop in reverse order. Each child
/// owns its connections; the instance owns the view of the fleet.
class entry_instance {
public:
    /// `on_end` is called with the exit status when the instance has stopped.
    entry_instance(event_loop& loop, platform_codec codec, entry_settings settings,
                   std::function<void(int status)> on_end);
    entry_instance(const entry_instance&) = delete;
    auto operator=(const entry_instance&) -> entry_instance& = delete;

    /// Starts the supervised children.
    auto start() -> void;

    /// Applies changed settings. Changed addresses take effect at the next start.
    auto reload(entry_settings settings) -> void;

    /// Starts a graceful shutdown: leaves the directory, answers the requests in flight, then
    /// stops.
    auto begin_shutdown() -> void;

    /// Whether a configuration and the targets are known and no shutdown has begun.
    auto ready() const -> bool;

    /// Whether this instance reads the store itself and its last call was answered.
    auto reads_store() const -> bool;

    /// State of the fleet as this instance knows it.
    auto view() const -> const fleet_view&;

private:
    static constexpr std::uint32_t max_limit_lines_per_second = 10;

    auto supervision_tree() -> supervised_node;
    auto start_store() -> result<void>;
    auto start_front() -> result<void>;
    auto start_directory() -> result<void>;
    auto apply_settings() -> void;
    auto on_changed(const changed_keys& keys, bool lapsing) -> void;
    auto apply_item(const published_item& item, bool lapsing) -> void;
    /// The former item whose word counts beside the restored one of the key; null without one.
    auto former_of(const std::string& key) const -> const published_item*;
    /// Lets the word of former items end that were not written again in time.
    auto expire_former() -> void;
    auto apply_configuration(const published_item& item) -> void;
    auto apply_target(const std::string& id, const published_item& item, bool lapsing) -> void;
    /// Applies limits that a peer has sent.
    auto apply_limits(const std::vector<shared_limit>& limits, report_origin origin) -> void;
    auto apply_zone_evacuation(const std::string& zone, bool evacuated) -> void;
    auto announce_if_ready() -> void;
    /// Takes requests once enough is known since the start.
    auto check_knowledge() -> void;
    auto answer_metrics(const std::shared_ptr<server_exchange>& exchange) -> void;
    /// Memory counted for all connections.
    auto counted_memory() const -> std::size_t;
    auto answer_readiness_or_directory(const std::shared_ptr<server_exchange>& exchange) -> void;
    auto refresh_members() -> void;
    auto maintain() -> void;
    auto finish_shutdown() -> void;
    /// Whether entries that vanish now may have lapsed while the store was unavailable.
    auto may_have_lapsed() const -> bool;
    auto longest_cold_time() const -> duration;

    event_loop& loop_;
    platform_codec codec_;
    entry_settings settings_;
    std::function<void(int)> on_end_;
    metric_registry metrics_;
    fleet_view view_;
    published_state state_;
    supervisor supervisor_;
    peers peers_;
    load_reporter loads_;
    crash_monitor crashes_;
    store_reader store_;
    forwarder forwarder_;
    http1_server front_;
    http1_server ready_;
    http1_server directory_;
    http1_server metrics_server_;
    timer maintenance_;
    /// Looks after held requests while the instance is starting.
    timer hold_timer_;
    timer shutdown_timer_;
    time_point started_{};
    /// When another instance was first heard of.
    std::optional<time_point> first_contact_;
    store_position announced_revision_;
    bool announced_ready_ = false;
    bool logged_start_ = false;
    /// Limits of many targets may begin or end at the same time, and flap.
    line_sampler limit_lines_{max_limit_lines_per_second};
};

} // namespace cyclamenpost
