#include "cyclamenpost/transport/http1_server.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/limits/byte_budget.hpp"

namespace cyclamenpost {

namespace {

// resolution of the header and idle timeouts
constexpr duration sweep_period = std::chrono::milliseconds{250};
// time for the caller to read the last response and close its end; closing at once would reset the
// connection if bytes of the caller are unread, and the response could be lost
constexpr duration linger_time = std::chrono::seconds{1};
// bodies up to this size are taken whatever the others hold
constexpr std::size_t small_body_bytes = std::size_t{16} << 10U;
constexpr auto retry_after_full = "1";

} // namespace

auto request_time_limit(const server_limits& limits, bool head_complete, std::size_t body_bytes)
    -> duration
{
    if (!head_complete) {
        return limits.header_timeout;
    }
    const auto rate = std::max<std::size_t>(limits.min_body_bytes_per_second, 1);
    return limits.body_timeout +
           std::chrono::duration_cast<duration>(std::chrono::seconds{1}) * body_bytes / rate;
}

namespace detail {

struct http1_server_state {
    event_loop* loop = nullptr;
    server_limits limits;
    std::function<void(std::shared_ptr<server_exchange>)> on_request;
    std::set<std::shared_ptr<server_connection>> connections;
    tcp_listener listener;
    bool draining = false;
    byte_budget bodies{0, 0, small_body_bytes};
    std::uint64_t refused_bodies = 0;

    auto sweep() -> void;
};

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
    /// Bytes sent when the connection was last seen to make progress.
    std::uint64_t sent_bytes = 0;
    time_point sent_since{};

    server_connection() = default;
    server_connection(const server_connection&) = delete;
    auto operator=(const server_connection&) -> server_connection& = delete;
    ~server_connection();

    auto open() -> void;
    auto on_bytes(std::string_view bytes) -> void;
    auto parse_received() -> void;
    auto on_head() -> void;
    auto on_body(std::string_view bytes) -> void;
    auto on_complete() -> void;
    auto on_closed() -> void;
    auto reject(int status, header_fields fields = {}) -> void;
    auto refuse_body() -> void;
    auto release_body() -> void;
    auto next_request() -> void;
    auto begin_close() -> void;
    /// Whether the connection stays open after the response that is about to be sent.
    auto stays_open() const -> bool;
    /// Closes the own end after the last response, and the connection when the caller has done so.
    auto close_after_response() -> void;
    auto close() -> void;
    auto is_overdue(const server_limits& limits, time_point now) const -> bool;
    auto is_stalled(const server_limits& limits, time_point now) -> bool;

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

server_connection::~server_connection()
{
    release_body();
}

auto server_connection::open() -> void
{
    const auto owner = server.lock();
    auto parser_handlers = http1_handlers{};
    parser_handlers.on_head = [this] { on_head(); };
    parser_handlers.on_body = [this](std::string_view bytes) { on_body(bytes); };
    parser_handlers.on_complete = [this] { on_complete(); };
    parser = std::make_unique<http1_parser>(http1_parser::kind::request, std::move(parser_handlers),
                                            owner->limits.max_header_bytes);
    idle_since = monotonic_now();
    auto events = tcp_handlers{};
    events.on_bytes = [this](std::string_view bytes) {
        const auto self = shared_from_this();
        on_bytes(bytes);
    };
    events.on_sent = [this] {
        const auto self = shared_from_this();
        if (answering != nullptr && answering->on_sent) {
            answering->on_sent();
        }
        else if (closing && answering == nullptr) {
            close_after_response();
        }
    };
    events.on_closed = [this](close_reason) {
        const auto self = shared_from_this();
        on_closed();
    };
    tcp.set_handlers(std::move(events));
}

auto server_connection::on_bytes(std::string_view bytes) -> void
{
    if (closing) {
        return;
    }
    unparsed += bytes;
    const auto owner = server.lock();
    // limits the bytes buffered for a caller that pipelines requests
    if (answering != nullptr && owner && unparsed.size() > owner->limits.max_header_bytes) {
        tcp.set_reading(false);
    }
    parse_received();
}

auto server_connection::parse_received() -> void
{
    while (!unparsed.empty() && answering == nullptr && !closing && !in_parse) {
        if (!parser->in_message()) {
            first_byte_at = monotonic_now();
            head_complete = false;
            body.clear();
        }
        in_parse = true;
        const auto used = parser->parse(unparsed);
        in_parse = false;
        if (closing) {
            return;
        }
        if (parser->failure() != parse_failure::none) {
            constexpr auto header_too_large = 431;
            constexpr auto bad_request = 400;
            reject(parser->failure() == parse_failure::header_too_large ? header_too_large
                                                                        : bad_request);
            return;
        }
        unparsed.erase(0, used);
        if (received) {
            const auto owner = server.lock();
            auto request = std::exchange(received, nullptr);
            answering = request.get();
            if (owner) {
                owner->on_request(std::move(request));
            }
        }
    }
}

auto server_connection::on_head() -> void
{
    head_complete = true;
    const auto expectation = find_field(parser->request().fields, "Expect");
    if (expectation && equals_ignore_case(*expectation, "100-continue")) {
        tcp.send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

auto server_connection::on_body(std::string_view bytes) -> void
{
    const auto owner = server.lock();
    if (owner && body.size() + bytes.size() > owner->limits.max_body_bytes) {
        constexpr auto content_too_large = 413;
        reject(content_too_large);
        return;
    }
    if (owner && !hold_bytes(owner->bodies, held_body_bytes, body.size() + bytes.size())) {
        refuse_body();
        return;
    }
    body += bytes;
}

/// Refuses a request for whose body there is no room. It has not been passed to the owner.
auto server_connection::refuse_body() -> void
{
    constexpr auto service_unavailable = 503;
    if (const auto owner = server.lock()) {
        ++owner->refused_bodies;
        log_event(log_level::info, "body_refused",
                  {{"caller", peer},
                   {"target", parser->request().target},
                   {"body_bytes", std::to_string(body.size())},
                   {"held_bytes", std::to_string(owner->bodies.used)}});
    }
    reject(service_unavailable, {{"Retry-After", retry_after_full}});
}

auto server_connection::release_body() -> void
{
    if (const auto owner = server.lock()) {
        hold_bytes(owner->bodies, held_body_bytes, 0);
    }
}

auto server_connection::on_complete() -> void
{
    if (closing) {
        return;
    }
    received = std::make_shared<server_exchange>(shared_from_this());
    received->head = std::move(parser->request());
    received->body = std::exchange(body, {});
    received->peer = peer;
    received->earlier_requests = requests++;
    received->first_byte_at = first_byte_at;
    received->last_byte_at = monotonic_now();
    keep_alive = received->head.keep_alive;
}

auto server_connection::on_closed() -> void
{
    closing = true;
    auto* exchange = std::exchange(answering, nullptr);
    if (const auto owner = server.lock()) {
        owner->connections.erase(shared_from_this());
    }
    if (exchange != nullptr) {
        exchange->answered_ = true;
        const auto on_cancelled = std::exchange(exchange->on_cancelled, nullptr);
        if (on_cancelled) {
            on_cancelled();
        }
    }
}

/// Responds to a request that was not received completely and closes the connection, because the
/// rest of its bytes cannot be parsed.
auto server_connection::reject(int status, header_fields fields) -> void
{
    auto head = response_head{};
    head.status = status;
    head.fields = std::move(fields);
    head.keep_alive = false;
    tcp.send(write_response_head(head, body_framing::length, 0));
    begin_close();
}

auto server_connection::stays_open() const -> bool
{
    const auto owner = server.lock();
    return keep_alive && owner && (!owner->draining || has_received_more());
}

auto server_connection::next_request() -> void
{
    answering = nullptr;
    release_body();
    idle_since = monotonic_now();
    if (!keep_alive) {
        begin_close();
        return;
    }
    tcp.set_reading(true);
    if (!unparsed.empty()) {
        if (const auto owner = server.lock()) {
            owner->loop->post([weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->parse_received();
                }
            });
        }
    }
}

/// Takes no further request and closes the own end once the last response has been sent.
auto server_connection::begin_close() -> void
{
    closing = true;
    body.clear();
    body.shrink_to_fit();
    release_body();
    if (tcp.unsent_bytes() == 0) {
        close_after_response();
    }
}

auto server_connection::close_after_response() -> void
{
    if (std::exchange(lingering, true)) {
        return;
    }
    linger_since = monotonic_now();
    unparsed.clear();
    tcp.finish_sending();
    tcp.set_reading(true);
}

/// Whether the caller takes too long to send a request.
auto server_connection::is_overdue(const server_limits& limits, time_point now) const -> bool
{
    if (answering != nullptr || closing || !parser->in_message()) {
        return false;
    }
    return now - first_byte_at > request_time_limit(limits, head_complete, body.size());
}

/// Whether the caller has read nothing of the bytes for it for too long.
auto server_connection::is_stalled(const server_limits& limits, time_point now) -> bool
{
    if (tcp.unsent_bytes() == 0 || tcp.sent_bytes() != sent_bytes) {
        sent_bytes = tcp.sent_bytes();
        sent_since = now;
        return false;
    }
    return now - sent_since > limits.write_timeout;
}

auto server_connection::close() -> void
{
    closing = true;
    answering = nullptr;
    tcp.close();
    if (const auto owner = server.lock()) {
        owner->connections.erase(shared_from_this());
    }
}

auto http1_server_state::sweep() -> void
{
    const auto now = monotonic_now();
    // a connection may leave the set while it is handled
    const auto open = connections;
    for (const auto& connection : open) {
        const auto idle = connection->answering == nullptr && !connection->closing &&
                          !connection->parser->in_message() &&
                          now - connection->idle_since > limits.idle_timeout;
        const auto lingered = connection->lingering && now - connection->linger_since > linger_time;
        if (connection->is_overdue(limits, now)) {
            constexpr auto request_timeout = 408;
            connection->reject(request_timeout);
        }
        else if (connection->is_stalled(limits, now)) {
            connection->tcp.reset();
            connection->on_closed();
        }
        else if (lingered || (idle && !connection->tcp.has_input())) {
            connection->close();
        }
    }
}

} // namespace detail

server_exchange::server_exchange(std::shared_ptr<detail::server_connection> connection)
    : connection_(std::move(connection))
{}

server_exchange::~server_exchange()
{
    if (!answered_ && connection_->answering == this) {
        connection_->close();
    }
}

auto server_exchange::respond(response_head response, std::string_view content) -> void
{
    if (answered_) {
        return;
    }
    answered_ = true;
    connection_->keep_alive = connection_->stays_open() && response.keep_alive;
    response.keep_alive = connection_->keep_alive;
    auto text = write_response_head(response, body_framing::length, content.size());
    if (head.method != "HEAD") {
        text += content;
    }
    connection_->tcp.send(text);
    connection_->next_request();
}

auto server_exchange::begin_stream(response_head response) -> void
{
    if (answered_ || std::exchange(answer_started_, true)) {
        return;
    }
    connection_->keep_alive = connection_->stays_open();
    response.keep_alive = connection_->keep_alive;
    connection_->tcp.send(write_response_head(response, body_framing::chunked, 0));
}

auto server_exchange::write(std::string_view bytes) -> void
{
    if (!answered_ && !bytes.empty()) {
        connection_->tcp.send(write_chunk(bytes));
    }
}

auto server_exchange::finish() -> void
{
    if (std::exchange(answered_, true)) {
        return;
    }
    connection_->tcp.send("0\r\n\r\n");
    connection_->next_request();
}

auto server_exchange::abort() -> void
{
    if (!std::exchange(answered_, true)) {
        connection_->close();
    }
}

auto server_exchange::reset() -> void
{
    if (!std::exchange(answered_, true)) {
        connection_->tcp.reset();
        connection_->close();
    }
}

auto server_exchange::unsent_bytes() const -> std::size_t
{
    return connection_->tcp.unsent_bytes();
}

auto server_exchange::answered() const -> bool
{
    return answered_;
}

auto server_exchange::answer_started() const -> bool
{
    return answer_started_;
}

http1_server::http1_server(event_loop& loop, server_limits limits,
                           std::function<void(std::shared_ptr<server_exchange>)> on_request)
    : state_(std::make_shared<detail::http1_server_state>())
{
    state_->loop = &loop;
    state_->limits = limits;
    state_->bodies.limit = limits.max_buffered_body_bytes;
    state_->on_request = std::move(on_request);
    sweep_ = loop.call_every(sweep_period, [state = state_.get()] { state->sweep(); });
}

http1_server::~http1_server()
{
    state_->listener.close();
    const auto open = std::exchange(state_->connections, {});
    for (const auto& connection : open) {
        connection->close();
    }
}

auto http1_server::listen(const std::string& address) -> result<void>
{
    // when the start of another server failed, this one may still listen on the address
    state_->listener.close();
    BOOST_LEAF_ASSIGN(state_->listener,
                      tcp_listener::open(*state_->loop, address,
                                         [weak = std::weak_ptr{state_}](tcp_connection accepted,
                                                                        std::string peer) {
                                             const auto owner = weak.lock();
                                             if (!owner) {
                                                 return;
                                             }
                                             auto connection =
                                                 std::make_shared<detail::server_connection>();
                                             connection->server = owner;
                                             connection->tcp = std::move(accepted);
                                             connection->peer = std::move(peer);
                                             connection->open();
                                             owner->connections.insert(std::move(connection));
                                         }));
    return {};
}

auto http1_server::port() const -> int
{
    return state_->listener.port();
}

auto http1_server::set_limits(server_limits limits) -> void
{
    state_->limits = limits;
    state_->bodies.limit = limits.max_buffered_body_bytes;
    for (const auto& connection : state_->connections) {
        connection->parser->set_max_header_bytes(limits.max_header_bytes);
    }
}

auto http1_server::begin_drain() -> void
{
    state_->draining = true;
}

auto http1_server::stop_listening() -> void
{
    state_->listener.accept_pending();
    state_->listener.close();
    const auto open = state_->connections;
    for (const auto& connection : open) {
        if (!connection->is_busy() && !connection->lingering) {
            connection->close();
        }
    }
}

auto http1_server::busy_connections() const -> std::size_t
{
    auto count = std::size_t{0};
    for (const auto& connection : state_->connections) {
        count += connection->is_busy() ? 1 : 0;
    }
    return count;
}

auto http1_server::open_connections() const -> std::size_t
{
    return state_->connections.size();
}

auto http1_server::buffered_body_bytes() const -> std::size_t
{
    return state_->bodies.used;
}

auto http1_server::refused_bodies() const -> std::uint64_t
{
    return state_->refused_bodies;
}

} // namespace cyclamenpost
