#pragma once

#include <functional>
#include <random>

#include "cyclamenpost/core/metrics.hpp"
#include "cyclamenpost/entry/fleet_view.hpp"
#include "cyclamenpost/entry/peers.hpp"
#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// Decides which requests are not sent because their content crashes targets, and exchanges the
/// evidence with the other instances. A crash is sent to all of them at once; what is known is also
/// sent to a few at random twice a second, which reaches those that missed it or started later.
class crash_monitor {
public:
    /// `on_blocked` is called when content has been blocked that was not before.
    crash_monitor(event_loop& loop, peers& others, fleet_view& view, metric_registry& metrics,
                  std::function<void()> on_blocked);

    auto start() -> void;
    auto stop() -> void;

    /// This instance has seen a target end; `fleet_view` has it.
    auto report(const target_crash& seen) -> void;

    /// Adds what a peer knows.
    auto merge(const shared_evidence& known) -> void;

private:
    auto send_own() -> void;
    auto share() -> void;
    auto update() -> void;

    event_loop& loop_;
    peers& peers_;
    fleet_view& view_;
    metric_registry& metrics_;
    std::function<void()> on_blocked_;
    std::mt19937_64 random_;
    /// Own crashes that have not been sent yet; crashes of one moment go into one message.
    crash_evidence unsent_;
    timer send_timer_;
    timer share_timer_;
    timer update_timer_;
};

} // namespace cyclamenpost
