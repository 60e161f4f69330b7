#pragma once

#include <functional>
#include <memory>

#include "cyclamenpost/configuration/settings.hpp"
#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// One entry instance: owns its components and is the root of the supervisor tree.
class router {
public:
    /// `on_exit` is called with the exit status of the process: 0 when a shutdown is complete, 1
    /// when a child has failed too often.
    router(event_loop& loop, settings startup_settings, std::function<void(int)> on_exit);
    router(const router&) = delete;
    auto operator=(const router&) -> router& = delete;
    ~router();

    /// Starts the children in order: bus and membership, gates, requests, configuration, listener,
    /// administration.
    auto start() -> void;

    /// Announces that the instance is leaving, refuses new requests, waits for those in progress
    /// and stops the children in reverse order.
    auto begin_shutdown() -> void;

    /// Port of the listener for callers.
    auto port() const -> int;

    /// Port of the administration API.
    auto admin_port() const -> int;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cyclamenpost
