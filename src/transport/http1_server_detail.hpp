#pragma once

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "cyclamenpost/core/log_buffer.hpp"
#include "cyclamenpost/limits/byte_budget.hpp"
#include "cyclamenpost/limits/connection_memory.hpp"
#include "cyclamenpost/transport/http1_server.hpp"

namespace cyclamenpost::detail {

/// State that all connections of a server share.
struct http1_server_state : std::enable_shared_from_this<http1_server_state> {
    event_loop* loop = nullptr;
    server_limits limits;
    std::function<void(std::shared_ptr<server_exchange>)> on_request;
    std::set<std::shared_ptr<server_connection>> connections;
    tcp_listener listener;
    bool draining = false;
    byte_budget bodies{0, 0, 0};
    /// Memory that the connections hold.
    std::size_t held_bytes = 0;
    std::array<std::uint64_t, caller_limit_names.size()> limited{};
    line_sampler sampler;
    /// Whether connections are being closed to free memory.
    bool freeing = false;
    /// A search that freed too little is not repeated before this time.
    time_point next_search{};
    time_point next_descriptor_search{};

    auto sweep() -> void;
    auto accept(tcp_connection accepted, std::string peer) -> void;
    /// Counts a connection that reached a limit and writes a log line, unless there are many.
    auto note_limit(caller_limit limit, const server_connection& connection, std::size_t bytes)
        -> void;
    /// Closes connections until the memory of all is within the limit, except the one in use.
    auto free_memory(const server_connection* in_use) -> void;
    /// Closes connections without a complete request while descriptors are short.
    auto free_descriptors() -> void;
    auto is_full() const -> bool;
};

/// One connection of a caller.
struct server_connection : std::enable_shared_from_this<server_connection> {
    std::weak_ptr<http1_server_state> server;
    tcp_connection tcp;
    std::unique_ptr<http1_parser> parser;
    std::string peer;
    /// Requests that were received completely.
    std::uint64_t requests = 0;
    /// Received bytes that have not been parsed yet.
    std::string unparsed;
    std::string body;
    /// Bytes of the body of the request that is being received or answered.
    std::size_t held_body_bytes = 0;
    /// Memory of the request that is being answered.
    std::size_t answering_bytes = 0;
    /// Memory of the connection as counted in the server.
    std::size_t counted_bytes = 0;
    /// Complete request that has not been passed to the owner yet.
    std::shared_ptr<server_exchange> received;
    /// The request being answered; owned by the receiver of `on_request`.
    server_exchange* answering = nullptr;
    bool head_complete = false;
    bool keep_alive = true;
    bool in_parse = false;
    bool closing = false;
    time_point first_byte_at{};
    time_point idle_since{};
    /// The last response was sent and the own end is closed; the caller's bytes are discarded.
    bool lingering = false;
    time_point linger_since{};
    std::size_t discarded_bytes = 0;
    /// Bytes sent when the connection was last seen to make progress.
    std::uint64_t sent_bytes = 0;
    time_point sent_since{};

    server_connection() = default;
    server_connection(const server_connection&) = delete;
    auto operator=(const server_connection&) -> server_connection& = delete;
    ~server_connection();

    auto open() -> void;
    auto on_bytes(std::string_view bytes) -> void;
    auto on_sent() -> void;
    /// Parses requests from `unparsed` until one has to be answered first.
    auto parse_kept() -> void;
    /// Parses as `parse_kept` does. Returns how many bytes were used.
    auto parse_received(std::string_view bytes) -> std::size_t;
    auto keep_unparsed(std::string_view bytes) -> void;
    auto on_head() -> void;
    auto on_body(std::string_view bytes) -> void;
    auto on_complete() -> void;
    auto on_closed() -> void;
    auto reject(int status, header_fields fields = {}) -> void;
    auto reject_for_limit(caller_limit limit, std::size_t bytes) -> void;
    auto refuse_body(std::size_t bytes) -> void;
    auto release_body() -> void;
    auto next_request() -> void;
    auto begin_close() -> void;
    /// Whether the connection stays open after the response that is about to be sent.
    auto stays_open() const -> bool;
    /// Closes the own end after the last response, and the connection when the caller has done so.
    auto close_after_response() -> void;
    auto close() -> void;
    /// Ends the connection in favour of others. A request that was not received completely is
    /// refused; it has not been passed to the owner.
    auto give_way(caller_limit reason) -> void;
    auto is_overdue(const server_limits& limits, time_point now) const -> bool;
    auto is_stalled(const server_limits& limits, time_point now) -> bool;
    /// Notes whether the caller has taken bytes since the last call.
    auto note_progress(time_point now) -> void;
    auto holding(time_point now) -> connection_holding;
    /// Counts the memory that the connection holds now.
    auto count_bytes() -> void;

    /// Whether the next request may be parsed: earlier responses have left, so that a caller that
    /// reads nothing cannot collect them here.
    auto may_parse() const -> bool
    {
        return answering == nullptr && !closing && !in_parse && tcp.unsent_bytes() == 0;
    }

    /// Whether bytes of a further request were received.
    auto has_received_more() const -> bool
    {
        return !closing && (!unparsed.empty() || tcp.has_input());
    }

    /// Whether a request was received, is being read or is being answered.
    auto is_busy() const -> bool
    {
        return answering != nullptr || tcp.unsent_bytes() > 0 ||
               (!closing && parser->in_message()) || has_received_more();
    }
};

} // namespace cyclamenpost::detail
