#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

#include <sys/socket.h>

#include "cyclamenpost/transport/http1.hpp"
#include "http_detail.hpp"

namespace cyclamenpost {

namespace detail {

struct call_state {
    event_loop* loop = nullptr;
    client_request request;
    std::string host;
    int port = 0;
    call_handlers handlers;
    lws* wsi = nullptr;
    std::size_t body_sent = 0;
    bool sent = false;
    /// The request was withheld by `before_send` or its headers did not fit.
    bool not_sent = false;
    bool cancelled = false;
    bool complete = false;
    bool ended = false;
    bool reading = true;
    bool receiving = false;
    bool chunked = false;
    bool at_eof_before_read = false;
    std::size_t bytes_before_read = 0;
    std::size_t expected_bytes = 0;
    std::size_t received_bytes = 0;
    bool has_length = false;
    /// The body ends with the connection.
    bool until_close = false;
    /// The connection was reset, or a write to it failed. libwebsockets then sees an end of input.
    bool broken = false;
    timer connect_timer;
    /// Keeps the state alive while libwebsockets refers to it.
    std::shared_ptr<call_state> self;
};

} // namespace detail

namespace {

auto end_of(const detail::call_state& state) -> call_end
{
    if (state.cancelled) {
        return call_end::cancelled;
    }
    if (state.complete) {
        return call_end::complete;
    }
    if (state.not_sent) {
        return call_end::not_sent;
    }
    return state.sent ? call_end::truncated : call_end::not_connected;
}

/// Reports the end of a call once, on the next iteration of the loop.
auto end_call(const std::shared_ptr<detail::call_state>& state) -> void
{
    if (std::exchange(state->ended, true)) {
        return;
    }
    state->connect_timer.reset();
    state->loop->post([state] {
        auto handlers = std::exchange(state->handlers, {});
        if (handlers.on_end) {
            handlers.on_end(end_of(*state));
        }
    });
}

auto append_header(lws* wsi, const std::string& name, const std::string& value, unsigned char** at,
                   unsigned char* end) -> bool
{
    const auto key = name + ":";
    return lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char*>(key.c_str()),
                                       reinterpret_cast<const unsigned char*>(value.c_str()),
                                       static_cast<int>(value.size()), at, end) == 0;
}

auto on_handshake(lws* wsi, detail::call_state& state, unsigned char** at, std::size_t size) -> int
{
    state.connect_timer.reset();
    if (state.cancelled) {
        return -1;
    }
    if (state.handlers.before_send && !state.handlers.before_send()) {
        state.not_sent = true;
        return -1;
    }
    auto* end = *at + size;
    for (const auto& field : state.request.headers) {
        if (!append_header(wsi, field.name, field.value, at, end)) {
            state.not_sent = true;
            return -1;
        }
    }
    if (!state.request.body.empty() || state.request.method == "POST") {
        if (!append_header(wsi, "content-length", std::to_string(state.request.body.size()), at,
                           end)) {
            state.not_sent = true;
            return -1;
        }
    }
    if (!state.request.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    state.sent = true;
    return 0;
}

auto send_body(lws* wsi, detail::call_state& state) -> int
{
    constexpr auto max_write_bytes = std::size_t{16384};
    auto& body = state.request.body;
    if (state.body_sent >= body.size()) {
        return 0;
    }
    auto buffer = std::array<unsigned char, LWS_PRE + max_write_bytes>{};
    const auto size = std::min(max_write_bytes, body.size() - state.body_sent);
    std::copy_n(body.data() + state.body_sent, size, buffer.data() + LWS_PRE);
    state.body_sent += size;
    const auto last = state.body_sent == body.size();
    if (last) {
        lws_client_http_body_pending(wsi, 0);
    }
    const auto kind = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (lws_write(wsi, buffer.data() + LWS_PRE, size, kind) < 0) {
        state.broken = true;
        return -1;
    }
    if (!last) {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

auto receive(lws* wsi, detail::call_state& state) -> int
{
    constexpr auto max_read_bytes = 16384;
    auto buffer = std::array<char, LWS_PRE + max_read_bytes>{};
    auto* at = buffer.data() + LWS_PRE;
    auto size = max_read_bytes;
    auto byte = char{};
    const auto available = recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const auto nothing_yet = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    state.broken = state.broken || (available < 0 && !nothing_yet);
    state.at_eof_before_read = available == 0;
    state.bytes_before_read = state.received_bytes;
    state.receiving = true;
    const auto failed = lws_http_client_read(wsi, &at, &size) < 0;
    state.receiving = false;
    return failed ? -1 : 0;
}

/// Records how the end of the body is delimited.
auto record_framing(detail::call_state& state, int status, const header_list& headers) -> void
{
    state.chunked = !header_value(headers, "transfer-encoding").empty();
    const auto length = header_value(headers, "content-length");
    const auto bodiless = state.request.method == "HEAD" || status == 204 || status == 304;
    state.has_length = !bodiless && !length.empty();
    state.until_close = !bodiless && !state.chunked && length.empty();
    std::from_chars(length.data(), length.data() + length.size(), state.expected_bytes);
}

/// Whether the body is complete according to its framing. libwebsockets also reports completion
/// when the peer closes early; the last chunk can only arrive with a read that returns bytes.
auto body_complete(const detail::call_state& state) -> bool
{
    if (state.chunked) {
        return state.receiving &&
               (!state.at_eof_before_read || state.received_bytes > state.bytes_before_read);
    }
    if (state.until_close) {
        return state.at_eof_before_read && !state.broken;
    }
    return !state.has_length || state.received_bytes == state.expected_bytes;
}

auto on_response_headers(lws* wsi, detail::call_state& state) -> int
{
    // libwebsockets takes any number for a status
    const auto code = parse_status_code(detail::known_header(wsi, WSI_TOKEN_HTTP));
    if (!code) {
        return -1;
    }
    const auto status = *code;
    const auto headers = detail::collect_headers(wsi);
    record_framing(state, status, headers);
    if (state.handlers.on_headers) {
        const auto handler = state.handlers.on_headers;
        handler(status, headers);
    }
    return state.cancelled ? -1 : 0;
}

auto on_response_data(detail::call_state& state, std::string_view bytes) -> int
{
    state.received_bytes += bytes.size();
    if (state.handlers.on_data) {
        const auto handler = state.handlers.on_data;
        handler(bytes);
    }
    return state.cancelled ? -1 : 0;
}

/// Splits "IP:port". The port stays 0 when the address is malformed.
auto split_address(detail::call_state& state) -> void
{
    const auto& address = state.request.address;
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return;
    }
    state.host = address.substr(0, colon);
    state.port = std::atoi(address.c_str() + colon + 1);
}

auto connect(event_loop& loop, const std::shared_ptr<detail::call_state>& state) -> void
{
    auto info = lws_client_connect_info{};
    info.context = loop.context();
    info.vhost = loop.client_vhost();
    info.address = state->host.c_str();
    info.port = state->port;
    info.path = state->request.path.c_str();
    info.host = state->request.address.c_str();
    info.origin = nullptr;
    info.method = state->request.method.c_str();
    info.protocol = "http-client";
    info.local_protocol_name = "http-client";
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.opaque_user_data = state.get();
    info.pwsi = &state->wsi;
    state->self = state;
    if (lws_client_connect_via_info(&info) == nullptr) {
        state->wsi = nullptr;
        state->self = nullptr;
        end_call(state);
    }
}

} // namespace

namespace detail {

auto on_client_event(lws* wsi, lws_callback_reasons reason, void*, void* in, std::size_t length)
    -> int
{
    auto* raw = static_cast<call_state*>(lws_get_opaque_user_data(wsi));
    if (raw == nullptr) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return on_handshake(wsi, *raw, static_cast<unsigned char**>(in), length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return raw->cancelled ? -1 : send_body(wsi, *raw);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return on_response_headers(wsi, *raw);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return raw->cancelled ? -1 : receive(wsi, *raw);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return on_response_data(*raw, {static_cast<const char*>(in), length});
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        raw->complete = body_complete(*raw);
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP: {
        const auto state = std::exchange(raw->self, nullptr);
        lws_set_opaque_user_data(wsi, nullptr);
        if (state) {
            state->wsi = nullptr;
            end_call(state);
        }
        return 0;
    }
    default:
        return 0;
    }
}

} // namespace detail

http_call::http_call(std::shared_ptr<detail::call_state> state) : state_(std::move(state)) {}

auto http_call::cancel() -> void
{
    if (state_->ended) {
        return;
    }
    state_->cancelled = true;
    if (state_->wsi != nullptr) {
        lws_set_timeout(state_->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

auto http_call::set_reading(bool enabled) -> void
{
    if (state_->wsi != nullptr && std::exchange(state_->reading, enabled) != enabled) {
        lws_rx_flow_control(state_->wsi, enabled ? 1 : 0);
    }
}

auto http_call::sent() const -> bool
{
    return state_->sent;
}

auto start_call(event_loop& loop, client_request request, call_handlers handlers)
    -> std::shared_ptr<http_call>
{
    auto state = std::make_shared<detail::call_state>();
    state->loop = &loop;
    state->request = std::move(request);
    state->handlers = std::move(handlers);
    split_address(*state);
    if (state->port <= 0) {
        end_call(state);
        return std::make_shared<http_call>(state);
    }
    const auto limit = std::chrono::milliseconds(state->request.connect_timeout_ms);
    state->connect_timer = loop.call_after(limit, [weak = std::weak_ptr(state)] {
        const auto pending = weak.lock();
        if (pending && pending->wsi != nullptr && !pending->sent) {
            lws_set_timeout(pending->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        }
    });
    connect(loop, state);
    return std::make_shared<http_call>(state);
}

auto fetch(event_loop& loop, client_request request, std::size_t body_limit,
           std::function<void(client_response)> done) -> std::shared_ptr<http_call>
{
    auto response = std::make_shared<client_response>();
    auto overflow = std::make_shared<bool>(false);
    auto call = std::make_shared<std::weak_ptr<http_call>>();
    auto handlers = call_handlers{};
    handlers.on_headers = [response](int status, const header_list& headers) {
        response->status = status;
        response->headers = headers;
    };
    handlers.on_data = [response, overflow, call, body_limit](std::string_view bytes) {
        if (response->body.size() + bytes.size() <= body_limit) {
            response->body += bytes;
            return;
        }
        *overflow = true;
        if (const auto running = call->lock()) {
            running->cancel();
        }
    };
    handlers.on_end = [response, overflow, done = std::move(done)](call_end end) {
        response->end = *overflow ? call_end::truncated : end;
        done(std::move(*response));
    };
    auto running = start_call(loop, std::move(request), std::move(handlers));
    *call = running;
    return running;
}

} // namespace cyclamenpost
