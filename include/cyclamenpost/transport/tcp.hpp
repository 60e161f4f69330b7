#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

namespace detail {
struct tcp_state;
struct tcp_listener_state;
} // namespace detail

/// Why a connection ended. Only `finished` means that the peer closed it cleanly; a body without a
/// declared length is complete only then. `unreachable` also stands for a timeout.
enum class close_reason { finished, reset, refused, unreachable };

inline constexpr std::array close_reason_names{
    enum_name<close_reason>{close_reason::finished, "finished"},
    enum_name<close_reason>{close_reason::reset, "reset"},
    enum_name<close_reason>{close_reason::refused, "refused"},
    enum_name<close_reason>{close_reason::unreachable, "unreachable"},
};

/// Callbacks of a connection. The owner may destroy the connection from within any of them.
struct tcp_handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view bytes)> on_bytes;
    /// All bytes passed to `send` have been handed to the kernel.
    std::function<void()> on_sent;
    std::function<void(close_reason reason)> on_closed;
};

/// One TCP connection on the loop. libwebsockets only polls its descriptor. The raw sockets of
/// libwebsockets hide whether the peer closed or reset the connection and how many bytes were
/// actually sent, and both decide whether a request may be retried.
class tcp_connection {
public:
    tcp_connection() noexcept;
    tcp_connection(tcp_connection&& other) noexcept;
    auto operator=(tcp_connection&& other) noexcept -> tcp_connection&;
    tcp_connection(const tcp_connection&) = delete;
    auto operator=(const tcp_connection&) -> tcp_connection& = delete;

    /// Closes the connection cleanly. If received bytes are unread, the kernel resets it instead.
    ~tcp_connection();

    /// Whether the connection is open or being opened.
    explicit operator bool() const;

    /// Replaces the callbacks.
    auto set_handlers(tcp_handlers handlers) -> void;

    /// Sends bytes, and those of `more` behind them, and buffers what the kernel does not accept
    /// yet.
    auto send(std::string_view bytes, std::string_view more = {}) -> void;

    /// Buffered bytes not yet handed to the kernel.
    auto unsent_bytes() const -> std::size_t;

    /// Memory of the buffer for bytes not yet handed to the kernel.
    auto held_bytes() const -> std::size_t;

    /// Bytes handed to the kernel since the connection was opened.
    auto sent_bytes() const -> std::uint64_t;

    /// Whether the connection has been established.
    auto connected() const -> bool;

    /// Whether received bytes, the peer's close or an error are waiting to be handled.
    auto has_input() const -> bool;

    /// Pauses or resumes reading, so that a slow consumer applies back-pressure to the peer.
    auto set_reading(bool enabled) -> void;

    /// Limits the bytes that one call of `on_bytes` delivers.
    auto set_read_size(std::size_t bytes) -> void;

    /// Closes the sending direction; the peer sees the end after the bytes sent so far. Call it
    /// when `unsent_bytes` is 0.
    auto finish_sending() -> void;

    /// Closes the connection. No handler is called afterwards.
    auto close() -> void;

    /// Resets the connection, so that the peer sees an error instead of a clean end. Discards
    /// unsent bytes.
    auto reset() -> void;

private:
    friend auto connect_tcp(event_loop&, const std::string&) -> result<tcp_connection>;
    friend struct detail::tcp_listener_state;
    explicit tcp_connection(std::shared_ptr<detail::tcp_state> state);
    std::shared_ptr<detail::tcp_state> state_;
};

/// Starts connecting to "ip:port". Fails with `connect_failed` when the address is malformed or no
/// descriptor is left.
auto connect_tcp(event_loop& loop, const std::string& address) -> result<tcp_connection>;

/// Accepts connections until it is destroyed.
class tcp_listener {
public:
    tcp_listener() noexcept;
    tcp_listener(tcp_listener&&) noexcept;
    auto operator=(tcp_listener&&) noexcept -> tcp_listener&;
    tcp_listener(const tcp_listener&) = delete;
    auto operator=(const tcp_listener&) -> tcp_listener& = delete;
    ~tcp_listener();

    /// Listens on "ip:port"; port 0 picks a free one. Fails with `listen_failed`.
    static auto open(event_loop& loop, const std::string& address,
                     std::function<void(tcp_connection, std::string peer)> on_accept)
        -> result<tcp_listener>;

    /// Accepts the connections that are established but not accepted yet.
    auto accept_pending() -> void;

    /// Stops listening. Connections that are not accepted yet are reset.
    auto close() -> void;

    /// The port it listens on.
    auto port() const -> int;

private:
    std::shared_ptr<detail::tcp_listener_state> state_;
};

} // namespace cyclamenpost
