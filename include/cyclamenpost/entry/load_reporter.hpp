#pragma once

#include "cyclamenpost/entry/peers.hpp"
#include "cyclamenpost/routing/load_sharing.hpp"

namespace cyclamenpost {

/// Sends the load that targets report to other instances. Each instance reads only a few answers a
/// second, while the load bound needs the load of the whole service.
class load_reporter {
public:
    load_reporter(event_loop& loop, peers& others, const target_table& targets);

    /// Starts sending reports.
    auto start() -> void;

    /// Stops sending reports.
    auto stop() -> void;

private:
    auto send_reports() -> void;

    event_loop& loop_;
    peers& peers_;
    const target_table& targets_;
    time_point reported_until_{};
    timer timer_;
};

} // namespace cyclamenpost
