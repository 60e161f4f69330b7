#include "cyclamenpost/transport/http1_server.hpp"

#include <algorithm>
#include <utility>

#include "cyclamenpost/core/log.hpp"
#include "http1_server_detail.hpp"

namespace cyclamenpost {

namespace {

// resolution of the header and idle timeouts
constexpr duration sweep_period = std::chrono::milliseconds{250};
// time for the caller to read the last response and close its end; closing at once would reset the
// connection if bytes of the caller are unread, and the response could be lost
constexpr duration linger_time = std::chrono::seconds{1};
// bodies up to this size are taken whatever a few others hold
constexpr std::size_t small_body_bytes = std::size_t{16} << 10U;
// connections are closed until this part of the limit is free, so that the search is rare
constexpr std::size_t freed_divisor = 8;
// a search that freed too little is repeated after this time
constexpr duration search_period = std::chrono::milliseconds{50};
constexpr duration severe_search_period = std::chrono::milliseconds{5};
constexpr std::uint32_t limit_lines_per_second = 5;

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

auto http1_server_state::accept(tcp_connection accepted, std::string peer) -> void
{
    auto connection = std::make_shared<server_connection>();
    connection->server = weak_from_this();
    connection->tcp = std::move(accepted);
    connection->peer = std::move(peer);
    connection->open();
    free_descriptors();
    if (loop->free_descriptors() < limits.spare_descriptors / 2) {
        note_limit(caller_limit::descriptors, *connection, 0);
        return;
    }
    connections.insert(std::move(connection));
}

auto http1_server_state::note_limit(caller_limit limit, const server_connection& connection,
                                    std::size_t bytes) -> void
{
    ++limited[static_cast<std::size_t>(limit)];
    if (!sample_line(sampler, monotonic_now())) {
        return;
    }
    log_event(log_level::info, "caller_limited",
              {{"caller", connection.peer},
               {"limit", std::string{name_in(caller_limit_names, limit)}},
               {"bytes", std::to_string(bytes)},
               {"body_bytes", std::to_string(limits.max_body_bytes)},
               {"held_bytes", std::to_string(held_bytes)},
               {"max_held_bytes", std::to_string(limits.max_held_bytes)},
               {"connections", std::to_string(connections.size())},
               {"suppressed", std::to_string(sampler.suppressed)}});
}

auto http1_server_state::is_full() const -> bool
{
    return held_bytes > limits.max_held_bytes;
}

auto http1_server_state::free_memory(const server_connection* in_use) -> void
{
    const auto now = monotonic_now();
    if (freeing || now < next_search) {
        return;
    }
    freeing = true;
    const auto limit = limits.max_held_bytes;
    const auto degree =
        held_bytes > limit + limit / freed_divisor ? shortage::severe : shortage::moderate;
    auto candidates = std::vector<std::shared_ptr<server_connection>>{};
    auto holdings = std::vector<connection_holding>{};
    for (const auto& connection : connections) {
        if (connection.get() != in_use && !connection->in_parse) {
            candidates.push_back(connection);
            holdings.push_back(connection->holding(now));
        }
    }
    const auto wanted = held_bytes - (limit - limit / freed_divisor);
    for (const auto index : choose_for_bytes(holdings, wanted, degree, now)) {
        candidates[index]->give_way(caller_limit::memory);
    }
    candidates.clear();
    freeing = false;
    if (is_full()) {
        next_search = now + (degree == shortage::severe ? severe_search_period : search_period);
    }
}

auto http1_server_state::free_descriptors() -> void
{
    const auto open = loop->free_descriptors();
    const auto now = monotonic_now();
    if (freeing || open >= limits.spare_descriptors || now < next_descriptor_search) {
        return;
    }
    freeing = true;
    auto candidates = std::vector<std::shared_ptr<server_connection>>{};
    auto holdings = std::vector<connection_holding>{};
    for (const auto& connection : connections) {
        if (!connection->in_parse) {
            candidates.push_back(connection);
            holdings.push_back(connection->holding(now));
        }
    }
    const auto wanted = limits.spare_descriptors + limits.spare_descriptors / 2 - open;
    const auto chosen = choose_for_descriptors(holdings, wanted, now);
    for (const auto index : chosen) {
        // a connection with a request that was not read yet is not idle
        if (holdings[index].state != holder_state::idle || candidates[index]->closing ||
            !candidates[index]->tcp.has_input()) {
            candidates[index]->give_way(caller_limit::descriptors);
        }
    }
    freeing = false;
    if (chosen.size() < wanted) {
        next_descriptor_search = now + search_period;
    }
}

auto http1_server_state::sweep() -> void
{
    free_descriptors();
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
            note_limit(connection->head_complete ? caller_limit::body_time
                                                 : caller_limit::header_time,
                       *connection, connection->counted_bytes);
            connection->reject(request_timeout);
        }
        else if (connection->is_stalled(limits, now)) {
            note_limit(caller_limit::write_time, *connection, connection->counted_bytes);
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
    const auto text = write_response_head(response, body_framing::length, content.size());
    connection_->tcp.send(text, head.method != "HEAD" ? content : std::string_view{});
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
    if (!answered_ && !bytes.empty() && head.method != "HEAD") {
        connection_->tcp.send(write_chunk(bytes));
        connection_->count_bytes();
    }
}

auto server_exchange::finish() -> void
{
    if (std::exchange(answered_, true)) {
        return;
    }
    if (head.method != "HEAD") {
        connection_->tcp.send("0\r\n\r\n");
    }
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

auto server_exchange::memory_is_short() const -> bool
{
    const auto owner = connection_->server.lock();
    return owner && owner->is_full();
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
    state_->bodies.guaranteed_per_holder = small_body_bytes;
    state_->sampler.max_lines_per_second = limit_lines_per_second;
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
                                             if (owner) {
                                                 owner->accept(std::move(accepted),
                                                               std::move(peer));
                                             }
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
    return limited(caller_limit::buffered_bodies);
}

auto http1_server::held_bytes() const -> std::size_t
{
    return state_->held_bytes;
}

auto http1_server::max_held_bytes() const -> std::size_t
{
    return state_->limits.max_held_bytes;
}

auto http1_server::limited(caller_limit limit) const -> std::uint64_t
{
    return state_->limited.at(static_cast<std::size_t>(limit));
}

} // namespace cyclamenpost
