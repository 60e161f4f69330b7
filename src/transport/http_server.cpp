#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <sys/epoll.h>
#include <unistd.h>

#include "http_detail.hpp"

namespace cyclamenpost {

namespace detail {

struct exchange_state {
    lws* wsi = nullptr;
    int hangup_epoll = -1;
    std::string output;
    std::size_t written = 0;
    bool streaming = false;
    bool complete = false;
    bool aborted = false;
    std::function<void()> on_closed;
    std::function<void()> on_drained;
};

struct http_server_state {
    std::string address;
    http_limits limits;
    request_handler handler;
    /// Requests whose response has not been handed to the kernel completely.
    std::size_t unanswered = 0;
    lws_vhost* vhost = nullptr;
    int port = 0;
    std::array<lws_protocols, 2> protocols{};
    // reports connections whose peer has closed while their response is in progress
    int hangup_epoll = -1;
};

} // namespace detail

namespace {

/// State of a connection between callbacks of libwebsockets.
struct session {
    http_request request;
    std::size_t content_length = 0;
    std::shared_ptr<detail::exchange_state> exchange;
};

/// User data of a connection. libwebsockets allocates it filled with zeros and constructs nothing.
struct session_slot {
    session* current;
};

struct method_token {
    lws_token_indexes token;
    std::string_view name;
};

constexpr std::array methods{
    method_token{WSI_TOKEN_GET_URI, "GET"},         method_token{WSI_TOKEN_POST_URI, "POST"},
    method_token{WSI_TOKEN_PUT_URI, "PUT"},         method_token{WSI_TOKEN_DELETE_URI, "DELETE"},
    method_token{WSI_TOKEN_PATCH_URI, "PATCH"},     method_token{WSI_TOKEN_HEAD_URI, "HEAD"},
    method_token{WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
};

auto read_method_and_path(lws* wsi, http_request& request) -> void
{
    for (const auto& method : methods) {
        if (lws_hdr_total_length(wsi, method.token) > 0) {
            request.method = method.name;
            request.path = detail::known_header(wsi, method.token);
            return;
        }
    }
}

auto read_query(lws* wsi) -> std::string
{
    constexpr auto max_argument_bytes = 4096;
    auto query = std::string{};
    auto argument = std::array<char, max_argument_bytes>{};
    for (auto index = 0;; ++index) {
        const auto size = lws_hdr_copy_fragment(wsi, argument.data(), max_argument_bytes,
                                                WSI_TOKEN_HTTP_URI_ARGS, index);
        if (size < 0) {
            return query;
        }
        query += query.empty() ? "" : "&";
        query.append(argument.data(), static_cast<std::size_t>(size));
    }
}

auto status_text(int status) -> std::string_view
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 411:
        return "Length Required";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

auto append_head(std::string& output, int status, const header_list& headers) -> void
{
    output += "HTTP/1.1 " + std::to_string(status) + " ";
    output += status_text(status);
    output += "\r\n";
    for (const auto& field : headers) {
        output += field.name + ": " + field.value + "\r\n";
    }
}

auto request_write(const detail::exchange_state& state) -> void
{
    if (state.wsi != nullptr) {
        lws_callback_on_writable(state.wsi);
    }
}

/// Hands buffered bytes to the connection. Returns -1 to close it.
auto flush(lws* wsi, detail::exchange_state& state) -> int
{
    constexpr auto max_write_bytes = std::size_t{16384};
    auto buffer = std::array<unsigned char, LWS_PRE + max_write_bytes>{};
    while (state.written < state.output.size() && lws_send_pipe_choked(wsi) == 0) {
        const auto size = std::min(max_write_bytes, state.output.size() - state.written);
        std::copy_n(state.output.data() + state.written, size, buffer.data() + LWS_PRE);
        if (lws_write(wsi, buffer.data() + LWS_PRE, size, LWS_WRITE_HTTP) < 0) {
            return -1;
        }
        state.written += size;
    }
    if (state.written < state.output.size()) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    state.output.clear();
    state.written = 0;
    return 0;
}

/// Starts watching for a close by the peer. libwebsockets 4.1 does not read from a connection whose
/// response is in progress, so it misses a close until the next write.
auto watch_hangup(lws* wsi, detail::http_server_state& server, detail::exchange_state& state)
    -> void
{
    auto event = epoll_event{};
    event.events = EPOLLRDHUP;
    event.data.ptr = wsi;
    state.hangup_epoll = server.hangup_epoll;
    epoll_ctl(server.hangup_epoll, EPOLL_CTL_ADD, lws_get_socket_fd(wsi), &event);
}

auto unwatch_hangup(lws* wsi, detail::exchange_state& state) -> void
{
    if (state.hangup_epoll >= 0) {
        epoll_ctl(state.hangup_epoll, EPOLL_CTL_DEL, lws_get_socket_fd(wsi), nullptr);
        state.hangup_epoll = -1;
    }
}

/// Closes the connections whose peers have closed.
auto on_hangups(int hangup_epoll) -> void
{
    constexpr auto batch = 64;
    auto events = std::array<epoll_event, batch>{};
    const auto count = epoll_wait(hangup_epoll, events.data(), batch, 0);
    for (auto i = 0; i < count; ++i) {
        auto* wsi = static_cast<lws*>(events[static_cast<std::size_t>(i)].data.ptr);
        epoll_ctl(hangup_epoll, EPOLL_CTL_DEL, lws_get_socket_fd(wsi), nullptr);
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

auto on_writable(lws* wsi, detail::http_server_state& server, session_slot& slot) -> int
{
    if (slot.current == nullptr || !slot.current->exchange) {
        return 0;
    }
    const auto state = slot.current->exchange;
    if (state->aborted) {
        return -1;
    }
    if (flush(wsi, *state) < 0) {
        return -1;
    }
    if (!state->output.empty()) {
        return 0;
    }
    if (state->complete) {
        unwatch_hangup(wsi, *state);
        state->wsi = nullptr;
        state->on_closed = nullptr;
        state->on_drained = nullptr;
        delete std::exchange(slot.current, nullptr);
        --server.unanswered;
        return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
    }
    if (state->on_drained) {
        const auto action = state->on_drained;
        action();
    }
    return 0;
}

auto dispatch(lws* wsi, detail::http_server_state& server, session& current) -> void
{
    current.exchange = std::make_shared<detail::exchange_state>();
    current.exchange->wsi = wsi;
    ++server.unanswered;
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    watch_hangup(wsi, server, *current.exchange);
    const auto exchange = std::make_shared<http_exchange>(current.exchange);
    server.handler(std::move(current.request), exchange);
}

auto refuse(lws* wsi, detail::http_server_state& server, session& current, int status,
            std::string_view reason) -> int
{
    current.exchange = std::make_shared<detail::exchange_state>();
    current.exchange->wsi = wsi;
    ++server.unanswered;
    const auto body = R"({"type":"about:blank","status":)" + std::to_string(status) +
                      R"(,"title":")" + std::string(status_text(status)) + R"(","detail":")" +
                      std::string(reason) + R"(","outcome":"not_run"})";
    http_exchange{current.exchange}.respond(
        status, {{"content-type", "application/problem+json"}, {"connection", "close"}}, body);
    return 0;
}

auto on_request(lws* wsi, detail::http_server_state& server, session_slot& slot) -> int
{
    delete slot.current;
    slot.current = new session{};
    auto& current = *slot.current;
    read_method_and_path(wsi, current.request);
    current.request.query = read_query(wsi);
    current.request.headers = detail::collect_headers(wsi);
    auto peer = std::array<char, 64>{};
    lws_get_peer_simple(wsi, peer.data(), peer.size());
    current.request.peer = peer.data();

    if (current.request.method.empty()) {
        return refuse(wsi, server, current, 405, "the method is not supported");
    }
    if (!header_value(current.request.headers, "transfer-encoding").empty()) {
        return refuse(wsi, server, current, 411,
                      "send a content-length instead of a transfer-encoding");
    }
    const auto length = header_value(current.request.headers, "content-length");
    if (length.empty()) {
        dispatch(wsi, server, current);
        return 0;
    }
    const auto* end = length.data() + length.size();
    const auto parsed = std::from_chars(length.data(), end, current.content_length);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return refuse(wsi, server, current, 400, "the content-length is not a number");
    }
    if (current.content_length > server.limits.max_body_bytes) {
        return refuse(wsi, server, current, 413, "the body is larger than this instance accepts");
    }
    if (current.content_length == 0) {
        dispatch(wsi, server, current);
        return 0;
    }
    lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT,
                    static_cast<int>(server.limits.request_timeout_seconds));
    return 0;
}

auto on_body(lws* wsi, detail::http_server_state& server, session_slot& slot,
             std::string_view bytes) -> int
{
    if (slot.current == nullptr || slot.current->exchange) {
        return 0;
    }
    auto& current = *slot.current;
    current.request.body += bytes;
    if (current.request.body.size() >= current.content_length) {
        current.request.body.resize(current.content_length);
        dispatch(wsi, server, current);
    }
    return 0;
}

auto on_close(lws* wsi, detail::http_server_state* server, session_slot& slot) -> void
{
    const auto* current = std::exchange(slot.current, nullptr);
    if (current == nullptr) {
        return;
    }
    const auto state = current->exchange;
    delete current;
    if (!state) {
        return;
    }
    if (server != nullptr) {
        --server->unanswered;
    }
    if (state->hangup_epoll >= 0) {
        epoll_ctl(state->hangup_epoll, EPOLL_CTL_DEL, lws_get_socket_fd(wsi), nullptr);
    }
    state->wsi = nullptr;
    state->on_drained = nullptr;
    const auto action = std::exchange(state->on_closed, nullptr);
    if (action) {
        action();
    }
}

auto on_server_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                     std::size_t length) -> int
{
    auto* vhost = lws_get_vhost(wsi);
    auto* server =
        vhost != nullptr ? static_cast<detail::http_server_state*>(lws_vhost_user(vhost)) : nullptr;
    auto* slot = static_cast<session_slot*>(user);
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return on_request(wsi, *server, *slot);
    case LWS_CALLBACK_HTTP_BODY:
        return on_body(wsi, *server, *slot, {static_cast<const char*>(in), length});
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return on_writable(wsi, *server, *slot);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (slot != nullptr) {
            on_close(wsi, server, *slot);
        }
        return 0;
    default:
        return 0;
    }
}

} // namespace

http_exchange::http_exchange(std::shared_ptr<detail::exchange_state> state)
    : state_(std::move(state))
{}

auto http_exchange::respond(int status, const header_list& headers, std::string_view body) -> void
{
    if (!is_open() || state_->streaming) {
        return;
    }
    append_head(state_->output, status, headers);
    if (status != 304 && status != 204) {
        state_->output += "content-length: " + std::to_string(body.size()) + "\r\n";
    }
    state_->output += "\r\n";
    state_->output += body;
    state_->complete = true;
    request_write(*state_);
}

auto http_exchange::begin_stream(int status, const header_list& headers) -> void
{
    if (!is_open() || state_->streaming) {
        return;
    }
    append_head(state_->output, status, headers);
    state_->output += "transfer-encoding: chunked\r\n\r\n";
    state_->streaming = true;
    request_write(*state_);
}

auto http_exchange::write(std::string_view bytes) -> void
{
    if (!is_open() || !state_->streaming || bytes.empty()) {
        return;
    }
    auto size = std::array<char, 20>{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    state_->output.append(size.data(), end);
    state_->output += "\r\n";
    state_->output += bytes;
    state_->output += "\r\n";
    request_write(*state_);
}

auto http_exchange::finish() -> void
{
    if (!is_open() || !state_->streaming) {
        return;
    }
    state_->output += "0\r\n\r\n";
    state_->complete = true;
    request_write(*state_);
}

auto http_exchange::abort() -> void
{
    if (state_->wsi == nullptr) {
        return;
    }
    state_->aborted = true;
    state_->on_closed = nullptr;
    request_write(*state_);
}

auto http_exchange::on_closed(std::function<void()> action) -> void
{
    state_->on_closed = std::move(action);
}

auto http_exchange::on_drained(std::function<void()> action) -> void
{
    state_->on_drained = std::move(action);
}

auto http_exchange::buffered_bytes() const -> std::size_t
{
    return state_->output.size() - state_->written;
}

auto http_exchange::is_open() const -> bool
{
    return state_->wsi != nullptr && !state_->complete && !state_->aborted;
}

http_server::http_server() = default;

http_server::~http_server()
{
    stop();
}

auto http_server::start(event_loop& loop, const std::string& address, int port, http_limits limits,
                        request_handler handler) -> result<void>
{
    state_ = std::make_unique<detail::http_server_state>();
    state_->address = address;
    state_->limits = limits;
    state_->handler = std::move(handler);
    state_->protocols[0] = {"http", on_server_event, sizeof(session_slot), 0, 0, nullptr, 0};
    state_->protocols[1] = {nullptr, nullptr, 0, 0, 0, nullptr, 0};

    state_->hangup_epoll = epoll_create1(EPOLL_CLOEXEC);
    BOOST_LEAF_CHECK(loop.watch_descriptor(
        state_->hangup_epoll, [descriptor = state_->hangup_epoll] { on_hangups(descriptor); }));
    auto info = lws_context_creation_info{};
    info.port = port;
    info.iface = state_->address.c_str();
    info.protocols = state_->protocols.data();
    info.vhost_name = "server";
    info.user = state_.get();
    info.timeout_secs = limits.request_timeout_seconds;
    info.keepalive_timeout = static_cast<int>(limits.idle_timeout_seconds);
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    state_->vhost = lws_create_vhost(loop.context(), &info);
    if (state_->vhost == nullptr) {
        state_ = nullptr;
        return fail(error_id::listen_failed, step::listen, address + ":" + std::to_string(port),
                    "the address cannot be bound; is another process using the port?");
    }
    state_->port = lws_get_vhost_listen_port(state_->vhost);
    return {};
}

auto http_server::port() const -> int
{
    return state_ ? state_->port : 0;
}

auto http_server::unanswered_requests() const -> std::size_t
{
    return state_ ? state_->unanswered : 0;
}

auto http_server::stop() -> void
{
    if (state_ && state_->vhost != nullptr) {
        lws_vhost_destroy(std::exchange(state_->vhost, nullptr));
    }
    // the vhost is destroyed in a later iteration of the loop and refers to this memory until then
    static_cast<void>(state_.release());
}

} // namespace cyclamenpost
