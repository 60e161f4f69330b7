#pragma once

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

/// Bounds of a server's connections.
struct server_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4U << 20U;
    /// From the first byte of a request to its last header byte.
    duration header_timeout = std::chrono::seconds{3};
    /// Without a request.
    duration idle_timeout = std::chrono::seconds{15};
};

/// A request that has been read whole, and the way to answer it. It lives as long as its owner
/// keeps it; when it is dropped unanswered, the connection closes.
class server_exchange {
public:
    explicit server_exchange(std::shared_ptr<detail::server_connection> connection);
    server_exchange(const server_exchange&) = delete;
    auto operator=(const server_exchange&) -> server_exchange& = delete;
    ~server_exchange();

    request_head head;
    std::string body;
    std::string peer;
    /// Time of the request's first byte.
    time_point first_byte_at{};
    /// Time of the request's last byte.
    time_point last_byte_at{};
    /// The caller has gone before the answer was complete.
    std::function<void()> on_cancelled;
    /// Bytes of the answer that waited have been sent.
    std::function<void()> on_sent;

    /// Answers at once.
    auto respond(response_head response, std::string_view content) -> void;

    /// Begins an answer whose length is not known.
    auto begin_stream(response_head response) -> void;

    /// Adds bytes to the body that `begin_stream` began.
    auto write(std::string_view bytes) -> void;

    /// Ends the body in order.
    auto finish() -> void;

    /// Ends the connection so that the answer does not look complete.
    auto abort() -> void;

    /// Bytes of the answer that wait for the caller.
    auto unsent_bytes() const -> std::size_t;

    auto answered() const -> bool;
    auto answer_started() const -> bool;

private:
    friend struct detail::server_connection;
    std::shared_ptr<detail::server_connection> connection_;
    bool answer_started_ = false;
    bool answered_ = false;
};

/// HTTP/1.1 server that hands over whole requests, one at a time on a connection.
class http1_server {
public:
    http1_server(event_loop& loop, server_limits limits,
                 std::function<void(std::shared_ptr<server_exchange>)> on_request);
    http1_server(const http1_server&) = delete;
    auto operator=(const http1_server&) -> http1_server& = delete;
    ~http1_server();

    /// Listens on "ip:port". Fails with `listen_failed`.
    auto listen(const std::string& address) -> result<void>;

    /// Port that is listened on.
    auto port() const -> int;

    /// Replaces the limits for requests that begin from now on.
    auto set_limits(server_limits limits) -> void;

    /// Asks callers to close: every answer from now on is the last on its connection.
    auto begin_drain() -> void;

    /// Stops accepting connections and closes those on which nothing is being read or answered.
    auto stop_listening() -> void;

    /// Connections on which a request is being read or answered.
    auto busy_connections() const -> std::size_t;

    /// Open connections.
    auto open_connections() const -> std::size_t;

private:
    std::shared_ptr<detail::http1_server_state> state_;
    timer sweep_;
};

} // namespace cyclamenpost
