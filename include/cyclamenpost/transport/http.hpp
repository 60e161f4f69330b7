#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// One HTTP header field. Names are lower case.
struct header {
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// Value of the named header, or an empty view.
auto header_value(const header_list& headers, std::string_view name) -> std::string_view;

/// A request as the server received it, with its whole body. `path` is decoded; `peer` is the IP
/// address of the sender.
struct http_request {
    std::string method;
    std::string path;
    std::string query;
    header_list headers;
    std::string body;
    std::string peer;
};

/// Value of a query parameter with percent escapes decoded, or an empty string.
auto query_value(std::string_view query, std::string_view name) -> std::string;

/// Escapes a string for use in a path or query.
auto percent_encode(std::string_view text) -> std::string;

/// Limits of one listener.
struct http_limits {
    /// Maximum request body in bytes; a larger one is rejected with status 413.
    std::size_t max_body_bytes = 4U << 20U;
    /// Time limit for receiving the headers and body of a request, in seconds.
    unsigned request_timeout_seconds = 20;
    /// Time that an idle persistent connection stays open, in seconds.
    unsigned idle_timeout_seconds = 30;
};

namespace detail {
struct exchange_state;
struct http_server_state;
struct call_state;
} // namespace detail

/// The response to one request. It may be completed at any later time on the thread of the loop.
/// Calls after the caller has disconnected have no effect.
class http_exchange {
public:
    explicit http_exchange(std::shared_ptr<detail::exchange_state> state);

    /// Sends a complete response.
    auto respond(int status, const header_list& headers, std::string_view body) -> void;

    /// Sends status and headers of a response whose body follows in chunks.
    auto begin_stream(int status, const header_list& headers) -> void;

    /// Appends bytes to a streamed response.
    auto write(std::string_view bytes) -> void;

    /// Ends a streamed response.
    auto finish() -> void;

    /// Closes the connection without completing the response.
    auto abort() -> void;

    /// Calls `action` once if the connection closes before the response has been sent completely.
    auto on_closed(std::function<void()> action) -> void;

    /// Calls `action` each time all buffered bytes have been handed to the connection.
    auto on_drained(std::function<void()> action) -> void;

    /// Bytes written but not yet handed to the connection.
    auto buffered_bytes() const -> std::size_t;

    /// Whether the caller is still connected and the response is not complete.
    auto is_open() const -> bool;

private:
    std::shared_ptr<detail::exchange_state> state_;
};

/// Called for each complete request.
using request_handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

/// An HTTP/1.1 listener on the loop.
class http_server {
public:
    http_server();
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    ~http_server();

    /// Listens on `address` and `port` (0 picks a free port). Fails with `listen_failed`.
    auto start(event_loop& loop, const std::string& address, int port, http_limits limits,
               request_handler handler) -> result<void>;

    /// The port in use.
    auto port() const -> int;

    /// Requests passed to the handler or rejected whose response has not been handed to the kernel
    /// completely.
    auto unanswered_requests() const -> std::size_t;

    /// Stops accepting connections and closes those that are open.
    auto stop() -> void;

private:
    std::unique_ptr<detail::http_server_state> state_;
};

/// A request for the HTTP client.
struct client_request {
    /// "IP:port" of the peer.
    std::string address;
    std::string method = "GET";
    /// Path with query, already escaped.
    std::string path = "/";
    header_list headers;
    std::string body;
    /// Time limit for connecting, in milliseconds.
    int connect_timeout_ms = 2000;
};

/// How a client call ended: `truncated` when the connection broke after the request was sent,
/// `not_connected` when the peer could not be reached, `not_sent` when `before_send` returned false
/// or the headers did not fit.
enum class call_end { complete, truncated, not_connected, not_sent, cancelled };

inline constexpr std::array call_end_names{
    enum_name<call_end>{call_end::complete, "complete"},
    enum_name<call_end>{call_end::truncated, "truncated"},
    enum_name<call_end>{call_end::not_connected, "not_connected"},
    enum_name<call_end>{call_end::not_sent, "not_sent"},
    enum_name<call_end>{call_end::cancelled, "cancelled"},
};

/// Callbacks of one client call. Each may be empty. `on_end` is called exactly once, never from
/// within `start_call`.
struct call_handlers {
    /// Called after connecting and before the first byte is sent. Returning false ends the call
    /// as `not_sent`.
    std::function<bool()> before_send;
    std::function<void(int status, const header_list& headers)> on_headers;
    std::function<void(std::string_view bytes)> on_data;
    std::function<void(call_end end)> on_end;
};

/// A client call in progress. Destroying the handle does not end the call.
class http_call {
public:
    explicit http_call(std::shared_ptr<detail::call_state> state);

    /// Closes the connection. `on_end` is then called with `cancelled`.
    auto cancel() -> void;

    /// Pauses or resumes reading, so that a slow receiver does not make received bytes
    /// accumulate in memory.
    auto set_reading(bool enabled) -> void;

    /// Whether any byte of the request may have reached the peer.
    auto sent() const -> bool;

private:
    std::shared_ptr<detail::call_state> state_;
};

/// Starts a request to another process. Every call uses its own connection.
auto start_call(event_loop& loop, client_request request, call_handlers handlers)
    -> std::shared_ptr<http_call>;

/// A response collected in memory.
struct client_response {
    call_end end = call_end::not_connected;
    int status = 0;
    header_list headers;
    std::string body;
};

/// Starts a request and calls `done` with the whole response. A body of more than `body_limit`
/// bytes is cut off and ends the call as `truncated`.
auto fetch(event_loop& loop, client_request request, std::size_t body_limit,
           std::function<void(client_response)> done) -> std::shared_ptr<http_call>;

} // namespace cyclamenpost
