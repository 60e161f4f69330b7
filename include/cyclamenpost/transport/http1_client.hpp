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

/// How an exchange failed.
enum class exchange_failure { refused, unreachable, reset, cut_short, garbled };

inline constexpr std::array exchange_failure_names{
    enum_name<exchange_failure>{exchange_failure::refused, "refused"},
    enum_name<exchange_failure>{exchange_failure::unreachable, "unreachable"},
    enum_name<exchange_failure>{exchange_failure::reset, "reset"},
    enum_name<exchange_failure>{exchange_failure::cut_short, "cut_short"},
    enum_name<exchange_failure>{exchange_failure::garbled, "garbled"},
};

/// Events of one exchange. The owner may drop the exchange in any of them.
struct exchange_handlers {
    /// Whether a response belongs to this request; others on the connection are skipped.
    std::function<bool(const response_head& head)> matches_request;
    std::function<void(response_head& head)> on_head;
    std::function<void(std::string_view bytes)> on_body;
    /// The response has arrived whole.
    std::function<void()> on_complete;
    std::function<void(exchange_failure how)> on_failed;
};

/// A request to be sent.
struct outgoing_request {
    std::string address;
    request_head head;
    std::string body;
    /// A connection that has been idle is not used: its peer may already have closed it.
    bool fresh_connection = false;
};

namespace detail {
struct client_connection;
struct client_pool;
} // namespace detail

/// One request and its response. Dropping it closes its connection unless the response is complete,
/// which tells the peer to stop its work.
class client_exchange {
public:
    client_exchange() noexcept;
    client_exchange(client_exchange&&) noexcept;
    auto operator=(client_exchange&&) noexcept -> client_exchange&;
    client_exchange(const client_exchange&) = delete;
    auto operator=(const client_exchange&) -> client_exchange& = delete;
    ~client_exchange();

    explicit operator bool() const;

    /// Whether any byte of the request may have reached the peer.
    auto sent() const -> bool;

    /// Whether the connection stands.
    auto connected() const -> bool;

    /// Whether the exchange runs on a connection that was used before.
    auto reused() const -> bool;

    /// Stops or continues reading the response.
    auto set_reading(bool wanted) -> void;

    /// Ends the exchange without a call back.
    auto cancel() -> void;

private:
    friend class http1_client;
    std::shared_ptr<detail::client_connection> connection_;
    std::uint64_t number_ = 0;
};

/// Counts of a client's connections.
struct client_counters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t unsolicited_responses = 0;
};

/// HTTP/1.1 client with kept connections. A connection is kept only when nothing is owed on it.
class http1_client {
public:
    /// `idle_limit` bounds how long an idle connection is kept, besides what the peer says.
    http1_client(event_loop& loop, duration idle_limit);
    http1_client(const http1_client&) = delete;
    auto operator=(const http1_client&) -> http1_client& = delete;
    ~http1_client();

    /// Sends a request. Fails with `connect_failed` when no connection can be begun; nothing has
    /// been sent then.
    auto send(const outgoing_request& request, exchange_handlers handlers)
        -> result<client_exchange>;

    auto counters() const -> const client_counters&;

private:
    std::shared_ptr<detail::client_pool> pool_;
    timer sweep_;
};

} // namespace cyclamenpost
