#pragma once

#include <map>
#include <set>
#include <string_view>

#include "cyclamenpost/core/metrics.hpp"
#include "cyclamenpost/entry/peers.hpp"
#include "cyclamenpost/routing/fleet_load.hpp"
#include "cyclamenpost/routing/limit_sharing.hpp"
#include "cyclamenpost/routing/load_sharing.hpp"

namespace cyclamenpost {

/// Sends the load that targets report and the limits that they announce to other instances. Each
/// instance reads only a few answers a second, while the load bound needs the load of the whole
/// service, and a limit applies to all instances. With `--fleet-load`, also
/// sends what this instance or its zone knows of targets by itself, and failures at once.
class load_reporter {
public:
    load_reporter(event_loop& loop, peers& others, target_table& targets, metric_registry& metrics);

    /// Starts sending reports.
    auto start() -> void;

    /// Stops sending reports.
    auto stop() -> void;

    /// Stores figures that another instance has sent.
    auto receive(const fleet_list& figures, const fleet_sender& sender) -> void;

    /// Counts a malformed message.
    auto count_unreadable() -> void;

private:
    auto send_reports() -> void;
    /// Sends limits that are due in messages of their own: they must not wait for the loads of a
    /// large fleet, which may take seconds.
    auto send_limits() -> void;
    /// Takes the limits for the next message to receivers of news up to the given origin.
    auto next_limits(report_origin farthest, time_point now) -> std::vector<shared_limit>;
    /// Determines when limits are due again.
    auto end_limits(time_point now) -> void;
    /// Sends the figures of targets that have failed since the last message.
    auto send_news() -> void;
    auto list_of(fleet_scope scope, const std::vector<std::string>* only) -> fleet_list;
    /// Adds the complete figures to a message, if there are any.
    auto add_figures(load_message& message, fleet_scope scope) -> void;
    auto count_list(std::string_view outcome, std::size_t lists) -> void;

    event_loop& loop_;
    peers& peers_;
    target_table& targets_;
    metric_registry& metrics_;
    time_point reported_until_{};
    /// When the loads are due again; figures may be sent before.
    time_point loads_due_{};
    /// Scopes of which the last complete list had entries.
    std::set<fleet_scope> listed_;
    std::uint32_t sequence_ = 0;
    /// Bytes sent to each receiver in the own zone since the loads were last sent.
    std::size_t sent_bytes_ = 0;
    /// Limits sent, by the farthest origin that the receivers get news from.
    std::map<report_origin, limit_round> limit_rounds_;
    time_point limits_due_{};
    /// Limits in the largest of the current messages, and in all since the loads were last sent.
    std::size_t limits_taken_ = 0;
    std::size_t limits_sent_ = 0;
    notice_budget notices_;
    timer timer_;
    timer limit_timer_;
    timer news_timer_;
};

} // namespace cyclamenpost
