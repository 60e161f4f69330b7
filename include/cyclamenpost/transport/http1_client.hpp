#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "cyclamenpost/transport/event_loop.hpp"
#include "cyclamenpost/transport/http1.hpp"
#include "cyclamenpost/transport/tcp.hpp"

namespace cyclamenpost {

/// Why an exchange failed: `cut_short` when the peer closed the connection before the response was
/// complete, `garbled` when the response is not valid HTTP, `head_too_large` and `too_many_skipped`
/// when the peer sent more than the limit for a response head or for responses that do not belong
/// to the request, `out_of_memory` when all connections of the client hold too much, the others as
/// in `close_reason`.
enum class exchange_failure {
    refused,
    unreachable,
    reset,
    cut_short,
    garbled,
    head_too_large,
    too_many_skipped,
    out_of_memory
};

inline constexpr std::array exchange_failure_names{
    enum_name<exchange_failure>{exchange_failure::refused, "refused"},
    enum_name<exchange_failure>{exchange_failure::unreachable, "unreachable"},
    enum_name<exchange_failure>{exchange_failure::reset, "reset"},
    enum_name<exchange_failure>{exchange_failure::cut_short, "cut_short"},
    enum_name<exchange_failure>{exchange_failure::garbled, "garbled"},
    enum_name<exchange_failure>{exchange_failure::head_too_large, "head_too_large"},
    enum_name<exchange_failure>{exchange_failure::too_many_skipped, "too_many_skipped"},
    enum_name<exchange_failure>{exchange_failure::out_of_memory, "out_of_memory"},
};

/// Callbacks of one exchange. The owner may destroy the exchange from within any of them.
struct exchange_handlers {
    /// Reads the id of the request that a response answers; empty if it carries none. Without this
    /// handler each response is the request's own. A response with another id than
    /// `outgoing_request::id` is skipped. One without an id is taken for the request's own only on
    /// a connection without an earlier request: on a reused one it may be a late copy of an earlier
    /// response, so it is skipped too.
    std::function<std::string(const response_head& head)> id_of;
    std::function<void(response_head& head)> on_head;
    std::function<void(std::string_view bytes)> on_body;
    /// The response has been received completely.
    std::function<void()> on_complete;
    std::function<void(exchange_failure reason)> on_failed;
};

/// A request to send to the peer at `address`, "ip:port".
struct outgoing_request {
    std::string address;
    /// Which peer is expected at the address. A kept connection is used only for the peer for which
    /// it was opened: another one may have taken over the address, and answers to the first one's
    /// requests may still come.
    std::string peer;
    /// Id that the peer repeats in its response. A connection carries an id once: a late copy of
    /// the first response could not be told from the second one. May be empty if `id_of` is not
    /// set.
    std::string id;
    request_head head;
    std::string body;
    /// Opens a new connection instead of reusing an idle one, which the peer may already have
    /// closed.
    bool fresh_connection = false;
};

/// What is known of one exchange's use of its connection, for log lines.
struct exchange_record {
    /// Number of the connection, unique among those of the client; 0 without a connection.
    std::uint64_t connection = 0;
    /// Idle connections that were not used because they had carried the id of the request.
    std::uint64_t passed_over = 0;
    /// Requests that the connection carried before.
    std::uint64_t earlier_exchanges = 0;
    /// Whether the connection has ever been established; it may be closed since.
    bool established = false;
    /// Bytes of the request that were handed to the kernel.
    std::uint64_t sent_bytes = 0;
};

namespace detail {
struct client_connection;
struct client_pool;
} // namespace detail

/// One request and its response. Destroying it before the response is complete closes the
/// connection, so that the peer can stop its work.
class client_exchange {
public:
    client_exchange() noexcept;
    client_exchange(client_exchange&&) noexcept;
    auto operator=(client_exchange&&) noexcept -> client_exchange&;
    client_exchange(const client_exchange&) = delete;
    auto operator=(const client_exchange&) -> client_exchange& = delete;
    ~client_exchange();

    /// Whether the exchange is in progress.
    explicit operator bool() const;

    /// Whether any byte of the request may have reached the peer. Holds also after the exchange has
    /// ended or was cancelled.
    auto sent() const -> bool;

    /// Whether the connection is established.
    auto connected() const -> bool;

    /// Whether the exchange runs on a connection that was used before.
    auto reused() const -> bool;

    /// The use of the connection so far, or up to the end of the exchange if it has ended.
    auto record() const -> exchange_record;

    /// Pauses or resumes reading the response.
    auto set_reading(bool enabled) -> void;

    /// Ends the exchange without calling a handler.
    auto cancel() -> void;

private:
    friend class http1_client;
    std::shared_ptr<detail::client_connection> connection_;
    std::shared_ptr<exchange_record> record_;
    std::uint64_t exchange_number_ = 0;
};

/// Requests after which a connection is closed; bounds the ids that it remembers.
inline constexpr std::size_t max_connection_requests = 256;

/// Connection counters of a client.
struct client_counters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    /// Connections closed because bytes arrived while no request was in flight.
    std::uint64_t unsolicited_responses = 0;
};

/// HTTP/1.1 client with persistent connections. A connection is reused only if its last request was
/// sent and its last response was received completely, and only for a request whose id it has not
/// carried before. A HEAD request has a connection of its own. After `max_connection_requests` it
/// is closed.
class http1_client {
public:
    /// Closes idle connections after `idle_limit`, or earlier if the Keep-Alive header of the peer
    /// announces a shorter timeout.
    http1_client(event_loop& loop, duration idle_limit);
    http1_client(const http1_client&) = delete;
    auto operator=(const http1_client&) -> http1_client& = delete;
    ~http1_client();

    /// Sends a request. Fails with `connect_failed` when no connection attempt can be started; no
    /// byte has been sent then.
    auto send(const outgoing_request& request, exchange_handlers handlers)
        -> result<client_exchange>;

    auto counters() const -> const client_counters&;

    /// Limits the memory that all connections hold together: unsent bytes, heads, and a fixed
    /// amount for each. A request that does not fit fails with `connect_failed` before a byte is
    /// sent, unless no other one is being sent.
    auto set_max_held_bytes(std::size_t limit) -> void;

    /// Memory that the connections hold.
    auto held_bytes() const -> std::size_t;

private:
    std::shared_ptr<detail::client_pool> pool_;
    timer sweep_;
};

} // namespace cyclamenpost
