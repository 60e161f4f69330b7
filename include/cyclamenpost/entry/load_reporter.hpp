#pragma once

#include "cyclamenpost/entry/peers.hpp"
#include "cyclamenpost/routing/load_sharing.hpp"

namespace cyclamenpost {

/// Tells other instances what targets report of their load, since each instance reads only a few
/// answers a second and the load bound needs the whole service's load.
class load_reporter {
public:
    load_reporter(event_loop& loop, peers& others, const target_table& targets);

    /// Begins to send.
    auto start() -> void;

    /// Stops sending.
    auto stop() -> void;

private:
    auto share() -> void;

    event_loop& loop_;
    peers& peers_;
    const target_table& targets_;
    time_point shared_until_{};
    timer timer_;
};

} // namespace cyclamenpost
