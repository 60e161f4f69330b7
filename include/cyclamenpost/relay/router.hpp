#pragma once

#include <functional>
#include <memory>

#include "cyclamenpost/configuration/settings.hpp"
#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// One entry instance: the root of the supervisor tree.
class router {
public:
    /// `on_exit` is called with the exit status when a shutdown has finished or a child has failed
    /// too often.
    router(event_loop& loop, settings chosen, std::function<void(int)> on_exit);
    router(const router&) = delete;
    auto operator=(const router&) -> router& = delete;
    ~router();

    /// Starts the children in order: bus and membership, configuration, gates, requests, listener,
    /// administration.
    auto start() -> void;

    /// Announces that the instance leaves, refuses new requests, waits for those in progress and
    /// stops the children in reverse order.
    auto begin_shutdown() -> void;

    /// Port of the callers' listener, and of the administration API.
    auto port() const -> int;
    auto admin_port() const -> int;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cyclamenpost
