#pragma once

#include <functional>
#include <memory>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"

struct lws_context;
struct lws_vhost;

namespace cyclamenpost {

namespace detail {
struct loop_state;
struct timer_state;
} // namespace detail

/// A scheduled call. Destroying or resetting it cancels the call.
class timer {
public:
    timer() noexcept;
    timer(timer&& other) noexcept;
    auto operator=(timer&& other) noexcept -> timer&;
    timer(const timer&) = delete;
    auto operator=(const timer&) -> timer& = delete;
    ~timer();

    /// Cancels the call if it is still pending.
    auto reset() -> void;

    /// Whether the call is still scheduled.
    auto pending() const -> bool;

private:
    friend class event_loop;
    explicit timer(std::shared_ptr<detail::timer_state> state);
    std::shared_ptr<detail::timer_state> state_;
};

/// The one libwebsockets loop of a process. All code of a process runs on the thread that calls
/// `run`.
class event_loop {
public:
    /// Creates the loop. `max_connections` bounds the open descriptors of the process.
    explicit event_loop(unsigned max_connections = 4096);
    event_loop(const event_loop&) = delete;
    auto operator=(const event_loop&) -> event_loop& = delete;
    ~event_loop();

    /// Serves events until `stop` is called.
    auto run() -> void;

    /// Serves events until `done` returns true or `limit` has passed. Returns whether `done` held.
    auto run_until(const std::function<bool()>& done, duration limit) -> bool;

    /// Makes `run` return after the current event.
    auto stop() -> void;

    /// A time before which nothing has come that is handled now: the loop looked for events later.
    /// After a pause of the process it lies before the pause.
    auto events_since() const -> time_point;

    /// Calls `action` once after `delay`, unless the returned timer is destroyed first.
    [[nodiscard]] auto call_after(duration delay, std::function<void()> action) -> timer;

    /// Calls `action` every `period` until the returned timer is destroyed.
    [[nodiscard]] auto call_every(duration period, std::function<void()> action) -> timer;

    /// Calls `action` on the next iteration of the loop.
    auto post(std::function<void()> action) -> void;

    /// Calls `on_ready` whenever `descriptor` becomes readable. The descriptor stays owned by the
    /// caller and must outlive the loop. Fails with `bus_failed` when the loop cannot adopt it.
    auto watch_descriptor(int descriptor, std::function<void()> on_ready) -> result<void>;

    /// Calls `on_signal` on the loop when SIGTERM, SIGINT or SIGHUP arrives. Blocks these signals
    /// for ordinary delivery, so it must be called before other threads are started. Fails with
    /// `bus_failed` when the loop cannot adopt the signal descriptor.
    auto watch_signals(std::function<void(int)> on_signal) -> result<void>;

    /// Number of descriptors that may still be opened.
    auto free_descriptors() const -> std::size_t;

    /// Most descriptors that may be open at once.
    auto max_descriptors() const -> std::size_t;

    /// Counts descriptors that a transport has opened or, with a negative figure, closed.
    auto count_descriptor(int change) -> void;

    /// The underlying libwebsockets context, for the HTTP modules.
    auto context() const -> lws_context*;

    /// Virtual host on which client connections and adopted descriptors live.
    auto client_vhost() const -> lws_vhost*;

private:
    /// Serves the events of one iteration. Returns whether the loop may go on.
    auto serve_once() -> bool;

    std::unique_ptr<detail::loop_state> state_;
};

} // namespace cyclamenpost
