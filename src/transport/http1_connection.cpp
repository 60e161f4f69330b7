#include <algorithm>
#include <utility>

#include "cyclamenpost/core/log.hpp"
#include "http1_server_detail.hpp"

namespace cyclamenpost::detail {

namespace {

// what an idle connection takes in this process and in libwebsockets, measured with 2,000 of them
constexpr std::size_t connection_bytes = 2048;
// a head mostly comes in one read; what follows it in the same read has to be kept
constexpr std::size_t head_read_bytes = 16384;
constexpr std::size_t body_read_bytes = 65536;
// bytes taken from a caller that sends while its request is being answered
constexpr std::size_t pipelined_read_bytes = 4096;
// a caller whose last response has been sent may send this much before it is read no longer
constexpr std::size_t max_discarded_bytes = std::size_t{256} << 10U;
// room that a body may leave unused once it is complete
constexpr std::size_t max_spare_bytes = 16384;
constexpr auto retry_after_full = "1";
constexpr auto content_too_large = 413;
constexpr auto service_unavailable = 503;

/// Frees the memory of a string; assignment would keep it.
auto free_string(std::string& text) -> void
{
    std::string{}.swap(text);
}

/// Appends without growing beyond `most` where the bytes fit.
auto append_bounded(std::string& text, std::string_view bytes, std::size_t most) -> void
{
    const auto needed = text.size() + bytes.size();
    if (needed > text.capacity()) {
        text.reserve(std::max(needed, std::min(text.capacity() * 2, most)));
    }
    text += bytes;
}

} // namespace

server_connection::~server_connection()
{
    release_body();
    if (const auto owner = server.lock()) {
        owner->held_bytes -= counted_bytes;
    }
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
        on_sent();
    };
    events.on_closed = [this](close_reason) {
        const auto self = shared_from_this();
        on_closed();
    };
    tcp.set_handlers(std::move(events));
    tcp.set_read_size(head_read_bytes);
    count_bytes();
}

auto server_connection::on_sent() -> void
{
    if (answering != nullptr) {
        count_bytes();
        if (answering->on_sent) {
            answering->on_sent();
        }
        return;
    }
    if (closing) {
        close_after_response();
    }
    else {
        tcp.set_reading(true);
        parse_kept();
    }
    count_bytes();
}

auto server_connection::on_bytes(std::string_view bytes) -> void
{
    if (closing) {
        discarded_bytes += bytes.size();
        if (discarded_bytes > max_discarded_bytes) {
            tcp.set_reading(false);
        }
        return;
    }
    if (unparsed.empty() && may_parse()) {
        bytes.remove_prefix(parse_received(bytes));
        if (!bytes.empty() && !closing) {
            keep_unparsed(bytes);
        }
    }
    else {
        keep_unparsed(bytes);
        parse_kept();
    }
    count_bytes();
    const auto owner = server.lock();
    if (owner && owner->is_full() && !closing && answering == nullptr && parser->in_message()) {
        give_way(caller_limit::memory);
    }
}

auto server_connection::keep_unparsed(std::string_view bytes) -> void
{
    unparsed.reserve(unparsed.size() + bytes.size());
    unparsed += bytes;
    // limits the bytes buffered for a caller that pipelines requests
    if (unparsed.size() > pipelined_read_bytes) {
        tcp.set_reading(false);
    }
}

auto server_connection::parse_kept() -> void
{
    if (unparsed.empty() || !may_parse()) {
        return;
    }
    const auto used = parse_received(unparsed);
    if (closing || used == unparsed.size()) {
        free_string(unparsed);
        return;
    }
    auto rest = unparsed.substr(used);
    unparsed.swap(rest);
}

auto server_connection::parse_received(std::string_view bytes) -> std::size_t
{
    auto used = std::size_t{0};
    while (used < bytes.size() && may_parse()) {
        if (!parser->in_message()) {
            first_byte_at = monotonic_now();
            head_complete = false;
            body.clear();
        }
        in_parse = true;
        used += parser->parse(bytes.substr(used));
        in_parse = false;
        if (closing) {
            return used;
        }
        if (parser->failure() != parse_failure::none) {
            if (parser->failure() == parse_failure::header_too_large) {
                reject_for_limit(caller_limit::header_bytes, parser->held_bytes());
            }
            else {
                constexpr auto bad_request = 400;
                reject(bad_request);
            }
            return used;
        }
        if (received) {
            const auto owner = server.lock();
            auto request = std::exchange(received, nullptr);
            answering = request.get();
            tcp.set_read_size(pipelined_read_bytes);
            if (owner) {
                owner->on_request(std::move(request));
            }
        }
    }
    return used;
}

auto server_connection::on_head() -> void
{
    const auto owner = server.lock();
    head_complete = true;
    if (closing || !owner) {
        return;
    }
    const auto declared = parser->declared_body_bytes().value_or(0);
    if (declared > owner->limits.max_body_bytes) {
        reject_for_limit(caller_limit::declared_body_bytes, declared);
        return;
    }
    tcp.set_read_size(body_read_bytes);
    const auto expectation = find_field(parser->request().fields, "Expect");
    if (expectation && equals_ignore_case(*expectation, "100-continue")) {
        tcp.send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

auto server_connection::on_body(std::string_view bytes) -> void
{
    if (closing) {
        return;
    }
    const auto owner = server.lock();
    if (owner && body.size() + bytes.size() > owner->limits.max_body_bytes) {
        reject_for_limit(caller_limit::body_bytes, body.size() + bytes.size());
        return;
    }
    if (owner && !hold_bytes(owner->bodies, held_body_bytes, body.size() + bytes.size())) {
        refuse_body(body.size() + bytes.size());
        return;
    }
    append_bounded(body, bytes, owner ? owner->limits.max_body_bytes : 0);
}

/// Refuses a request for whose body there is no room. It has not been passed to the owner.
auto server_connection::refuse_body(std::size_t bytes) -> void
{
    if (const auto owner = server.lock()) {
        owner->note_limit(caller_limit::buffered_bodies, *this, bytes);
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
    if (body.capacity() > body.size() + max_spare_bytes) {
        body.shrink_to_fit();
    }
    answering_bytes = parser->held_bytes() + body.capacity();
    received = std::make_shared<server_exchange>(shared_from_this());
    received->head = std::move(parser->request());
    received->body = std::exchange(body, {});
    parser->drop_head();
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

auto server_connection::reject_for_limit(caller_limit limit, std::size_t bytes) -> void
{
    if (const auto owner = server.lock()) {
        owner->note_limit(limit, *this, bytes);
    }
    constexpr auto header_too_large = 431;
    reject(limit == caller_limit::header_bytes ? header_too_large : content_too_large);
}

auto server_connection::stays_open() const -> bool
{
    const auto owner = server.lock();
    return keep_alive && owner && (!owner->draining || has_received_more());
}

auto server_connection::next_request() -> void
{
    answering = nullptr;
    answering_bytes = 0;
    release_body();
    idle_since = monotonic_now();
    if (!keep_alive) {
        begin_close();
        return;
    }
    tcp.set_read_size(head_read_bytes);
    count_bytes();
    // reading and parsing go on when the response has left
    if (tcp.unsent_bytes() > 0) {
        return;
    }
    tcp.set_reading(true);
    if (!unparsed.empty()) {
        if (const auto owner = server.lock()) {
            owner->loop->post([weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->parse_kept();
                    self->count_bytes();
                }
            });
        }
    }
}

/// Takes no further request and closes the own end once the last response has been sent.
auto server_connection::begin_close() -> void
{
    closing = true;
    free_string(body);
    // the parser still reads what it was given
    if (!in_parse) {
        free_string(unparsed);
    }
    parser->drop_head();
    release_body();
    count_bytes();
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

auto server_connection::note_progress(time_point now) -> void
{
    if (tcp.unsent_bytes() == 0 || tcp.sent_bytes() != sent_bytes) {
        sent_bytes = tcp.sent_bytes();
        sent_since = now;
    }
}

/// Whether the caller has read nothing of the bytes for it for too long.
auto server_connection::is_stalled(const server_limits& limits, time_point now) -> bool
{
    note_progress(now);
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

auto server_connection::give_way(caller_limit reason) -> void
{
    const auto owner = server.lock();
    if (owner && !lingering) {
        owner->note_limit(reason, *this, counted_bytes);
    }
    if (answering != nullptr || tcp.unsent_bytes() > 0) {
        tcp.reset();
        on_closed();
        return;
    }
    if (!closing && parser->in_message()) {
        reject(service_unavailable, {{"Retry-After", retry_after_full}});
        if (reason == caller_limit::memory) {
            return;
        }
    }
    close();
}

auto server_connection::holding(time_point now) -> connection_holding
{
    note_progress(now);
    const auto unread = tcp.unsent_bytes() > 0;
    if (answering != nullptr) {
        return {counted_bytes, sent_since, unread ? holder_state::unread : holder_state::serving};
    }
    if (unread) {
        return {counted_bytes, sent_since, holder_state::incomplete};
    }
    if (closing) {
        return {counted_bytes, linger_since, holder_state::idle};
    }
    return parser->in_message()
               ? connection_holding{counted_bytes, first_byte_at, holder_state::incomplete}
               : connection_holding{counted_bytes, idle_since, holder_state::idle};
}

auto server_connection::count_bytes() -> void
{
    const auto owner = server.lock();
    if (!owner) {
        return;
    }
    const auto held = connection_bytes + unparsed.capacity() + body.capacity() + answering_bytes +
                      parser->held_bytes() + tcp.held_bytes();
    owner->held_bytes += held - counted_bytes;
    const auto grown = held > counted_bytes;
    counted_bytes = held;
    if (grown && owner->held_bytes > owner->limits.max_held_bytes) {
        owner->free_memory(this);
    }
}

} // namespace cyclamenpost::detail
