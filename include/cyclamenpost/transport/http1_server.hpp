#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cyclamenpost/transport/event_loop.hpp"
#include "cyclamenpost/transport/http1.hpp"
#include "cyclamenpost/transport/tcp.hpp"

namespace cyclamenpost {

namespace detail {
struct server_connection;
struct http1_server_state;
} // namespace detail

/// Limits of the connections of a server.
struct server_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4U << 20U;
    /// Time limit from the first byte of a request to the end of its headers.
    duration header_timeout = std::chrono::seconds{3};
    /// Time after which a connection without a request is closed.
    duration idle_timeout = std::chrono::seconds{15};
    /// Time limit from the first byte of a request to the end of its body, plus the time that the
    /// body's bytes take at `min_body_bytes_per_second`.
    duration body_timeout = std::chrono::seconds{20};
    std::size_t min_body_bytes_per_second = 500;
    /// Time after which a connection is closed whose peer reads none of the bytes sent to it.
    duration write_timeout = std::chrono::seconds{15};
    /// Bytes of request bodies that all connections hold together. A request whose body would
    /// exceed them is refused with 503; a quarter more is kept for small bodies.
    std::size_t max_buffered_body_bytes = std::size_t{64} << 20U;
    /// Memory that all connections hold together: received and unsent bytes, heads, bodies, and a
    /// fixed amount for each. Above it connections give way as in `choose_for_bytes`.
    std::size_t max_held_bytes = std::size_t{128} << 20U;
    /// Descriptors that are kept free by closing connections as in `choose_for_descriptors`. New
    /// connections are closed if half of them cannot be kept free.
    std::size_t spare_descriptors = 0;
};

/// Limit for which a caller was refused or its connection closed. `memory` and `descriptors` are
/// limits of all connections together, `buffered_bodies` is the one of all bodies.
enum class caller_limit {
    header_bytes,
    header_time,
    declared_body_bytes,
    body_bytes,
    body_time,
    buffered_bodies,
    write_time,
    memory,
    descriptors
};

inline constexpr std::array caller_limit_names{
    enum_name<caller_limit>{caller_limit::header_bytes, "header_bytes"},
    enum_name<caller_limit>{caller_limit::header_time, "header_time"},
    enum_name<caller_limit>{caller_limit::declared_body_bytes, "declared_body_bytes"},
    enum_name<caller_limit>{caller_limit::body_bytes, "body_bytes"},
    enum_name<caller_limit>{caller_limit::body_time, "body_time"},
    enum_name<caller_limit>{caller_limit::buffered_bodies, "buffered_bodies"},
    enum_name<caller_limit>{caller_limit::write_time, "write_time"},
    enum_name<caller_limit>{caller_limit::memory, "memory"},
    enum_name<caller_limit>{caller_limit::descriptors, "descriptors"},
};

/// Time from the first byte of a request within which its head has to be complete, or, once it is,
/// the request of which `body_bytes` of the body have been received.
auto request_time_limit(const server_limits& limits, bool head_complete, std::size_t body_bytes)
    -> duration;

/// A completely received request and the means to respond to it. Destroying it before the response
/// is complete closes the connection.
class server_exchange {
public:
    explicit server_exchange(std::shared_ptr<detail::server_connection> connection);
    server_exchange(const server_exchange&) = delete;
    auto operator=(const server_exchange&) -> server_exchange& = delete;
    ~server_exchange();

    request_head head;
    std::string body;
    /// Address of the caller, "ip:port".
    std::string peer;
    /// Requests that the caller sent on the connection before.
    std::uint64_t earlier_requests = 0;
    /// Time at which the first byte of the request was received.
    time_point first_byte_at{};
    /// Time at which the last byte of the request was received.
    time_point last_byte_at{};
    /// Called when the connection closes before the response is complete.
    std::function<void()> on_cancelled;
    /// Called when all buffered bytes of the response have been handed to the kernel.
    std::function<void()> on_sent;

    /// Sends a complete response.
    auto respond(response_head response, std::string_view content) -> void;

    /// Begins a response whose body follows in chunks.
    auto begin_stream(response_head response) -> void;

    /// Appends bytes to the body that `begin_stream` began.
    auto write(std::string_view bytes) -> void;

    /// Ends the body that `begin_stream` began.
    auto finish() -> void;

    /// Closes the connection so that the caller sees an incomplete response.
    auto abort() -> void;

    /// Resets the connection instead of responding, as a process that crashes does.
    auto reset() -> void;

    /// Buffered bytes of the response not yet handed to the kernel.
    auto unsent_bytes() const -> std::size_t;

    /// Whether the connections of the server hold more memory than their limit. The owner should
    /// write no more before the caller has read what is buffered.
    auto memory_is_short() const -> bool;

    /// Whether the response is complete, was aborted or was cancelled by the caller.
    auto answered() const -> bool;

    /// Whether `begin_stream` has been called.
    auto answer_started() const -> bool;

private:
    friend struct detail::server_connection;
    std::shared_ptr<detail::server_connection> connection_;
    bool answer_started_ = false;
    bool answered_ = false;
};

/// HTTP/1.1 server that passes complete requests to its owner, one at a time for each connection.
class http1_server {
public:
    http1_server(event_loop& loop, server_limits limits,
                 std::function<void(std::shared_ptr<server_exchange>)> on_request);
    http1_server(const http1_server&) = delete;
    auto operator=(const http1_server&) -> http1_server& = delete;
    ~http1_server();

    /// Listens on "ip:port". Fails with `listen_failed`.
    auto listen(const std::string& address) -> result<void>;

    /// The port it listens on.
    auto port() const -> int;

    /// Replaces the limits, for open connections too.
    auto set_limits(server_limits limits) -> void;

    /// Closes each connection after its next response, which carries "Connection: close", unless
    /// the caller has sent more: then after the response to what it has sent.
    auto begin_drain() -> void;

    /// Accepts the connections that callers have established, stops accepting others, and closes
    /// those on which nothing was received that has to be answered. May be called repeatedly.
    auto stop_listening() -> void;

    /// Number of connections on which a request was received, is being read or is being answered.
    auto busy_connections() const -> std::size_t;

    /// Number of open connections.
    auto open_connections() const -> std::size_t;

    /// Bytes of request bodies that are held.
    auto buffered_body_bytes() const -> std::size_t;

    /// Number of requests that were refused because of the bytes of other requests' bodies.
    auto refused_bodies() const -> std::uint64_t;

    /// Memory that the connections hold.
    auto held_bytes() const -> std::size_t;

    /// Limit of the memory that the connections hold.
    auto max_held_bytes() const -> std::size_t;

    /// Number of times that callers reached the limit.
    auto limited(caller_limit limit) const -> std::uint64_t;

private:
    std::shared_ptr<detail::http1_server_state> state_;
    timer sweep_;
};

} // namespace cyclamenpost
