#include "cyclamenpost/transport/tcp.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace cyclamenpost {

namespace {

constexpr std::size_t read_buffer_bytes = 65536;
// an empty buffer of up to this size is kept for the next bytes
constexpr std::size_t kept_buffer_bytes = 1024;

} // namespace

namespace detail {

struct tcp_state : std::enable_shared_from_this<tcp_state> {
    event_loop* loop = nullptr;
    lws* wsi = nullptr;
    int descriptor = -1;
    tcp_handlers handlers;
    std::string pending;
    std::size_t pending_offset = 0;
    std::uint64_t sent_bytes = 0;
    /// Largest number of bytes of one read.
    std::size_t read_size = read_buffer_bytes;
    bool connecting = false;
    bool in_event = false;
    bool closing = false;
    bool writable_requested = false;
    /// Why a write has failed. It has taken the pending error of the socket, so the next read sees
    /// an end of input, which is then no clean close.
    std::optional<close_reason> write_failure;
    /// Keeps the state alive while libwebsockets may call back.
    std::shared_ptr<tcp_state> self;

    auto flush() -> bool;
    /// Hands bytes to the kernel without buffering them. Returns how many it took, or nothing if
    /// the connection has failed.
    auto send_now(std::string_view bytes, std::string_view more) -> std::optional<std::size_t>;
    /// Buffers bytes behind those that wait already.
    auto keep(std::string_view bytes) -> void;
    /// Frees the memory of bytes that were sent.
    auto release_sent() -> void;
    auto request_writable() -> void;
    auto close() -> void;
    auto fail(close_reason reason) -> void;
    /// Reads once. Returns whether bytes were received; reports the end of the connection.
    auto read_some() -> bool;
    auto on_writable() -> void;
    /// Delivers what has arrived and reports the end of a connection to which nothing more arrives.
    auto end_with(close_reason reason) -> void;
    /// libwebsockets closes the descriptor after this call. If the owner has not asked for it,
    /// delivers what has arrived and reports the end.
    auto on_descriptor_closing() -> void;
};

struct tcp_listener_state : std::enable_shared_from_this<tcp_listener_state> {
    event_loop* loop = nullptr;
    lws* wsi = nullptr;
    int descriptor = -1;
    int port = 0;
    std::function<void(tcp_connection, std::string)> on_accept;
    std::shared_ptr<tcp_listener_state> self;

    /// Accepts connections up to a limit. Returns whether the limit was reached.
    auto accept_some() -> bool;
};

} // namespace detail

namespace {

// a peer that acknowledges nothing for this long counts as dead; shorter than the time a caller
// waits for a stream
constexpr unsigned user_timeout_ms = 4000;
// an idle connection is probed after this many seconds, so that a dead peer is detected
constexpr int keepalive_seconds = 5;
constexpr int keepalive_probes = 2;
constexpr int listen_backlog = 1024;
// libwebsockets has descriptors of its own, and writes a line when it has no room for another one
constexpr std::size_t own_descriptors = 4;
// bounds the time for which accepting delays the established connections
constexpr int max_accepts_per_iteration = 64;

auto parse_address(const std::string& address) -> std::optional<sockaddr_in>
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto result = sockaddr_in{};
    result.sin_family = AF_INET;
    auto port = std::uint16_t{0};
    const auto* last = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, last, port);
    if (parsed.ec != std::errc{} || parsed.ptr != last ||
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    result.sin_port = htons(port);
    return result;
}

auto set_option(int descriptor, int level, int option, int value) -> void
{
    // an unsupported option only delays the detection of a dead peer
    setsockopt(descriptor, level, option, &value, sizeof value);
}

auto set_socket_options(int descriptor) -> void
{
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(user_timeout_ms));
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

/// Hands a descriptor to the loop, which closes it from then on. One that the loop cannot take is
/// closed at once.
auto adopt(event_loop& loop, int descriptor, const char* protocol) -> lws*
{
    if (loop.free_descriptors() < own_descriptors) {
        ::close(descriptor);
        return nullptr;
    }
    auto file = lws_sock_file_fd_type{};
    file.filefd = descriptor;
    auto* wsi = lws_adopt_descriptor_vhost(loop.client_vhost(), LWS_ADOPT_RAW_FILE_DESC, file,
                                           protocol, nullptr);
    if (wsi == nullptr) {
        ::close(descriptor);
        return nullptr;
    }
    loop.count_descriptor(1);
    return wsi;
}

auto reason_of(int code) -> close_reason
{
    switch (code) {
    case ECONNREFUSED:
        return close_reason::refused;
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case ENETUNREACH:
        return close_reason::unreachable;
    default:
        return close_reason::reset;
    }
}

auto would_block(int code) -> bool
{
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

} // namespace

namespace detail {

/// Callback of libwebsockets for adopted TCP descriptors.
auto on_tcp_event(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t) -> int
{
    auto* raw = static_cast<tcp_state*>(lws_get_opaque_user_data(wsi));
    if (raw == nullptr) {
        return 0;
    }
    const auto state = raw->shared_from_this();
    if (reason == LWS_CALLBACK_RAW_CLOSE_FILE) {
        state->on_descriptor_closing();
        return 0;
    }
    state->in_event = true;
    if (reason == LWS_CALLBACK_RAW_RX_FILE && !state->closing) {
        state->read_some();
    }
    if (reason == LWS_CALLBACK_RAW_WRITEABLE_FILE && !state->closing) {
        state->on_writable();
    }
    state->in_event = false;
    return state->closing ? -1 : 0;
}

/// Callback of libwebsockets for listening descriptors.
auto on_tcp_accept(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t) -> int
{
    auto* raw = static_cast<tcp_listener_state*>(lws_get_opaque_user_data(wsi));
    if (raw == nullptr) {
        return 0;
    }
    const auto state = raw->shared_from_this();
    if (reason == LWS_CALLBACK_RAW_CLOSE_FILE) {
        state->wsi = nullptr;
        state->loop->count_descriptor(-1);
        state->self.reset();
    }
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        state->accept_some();
    }
    return 0;
}

auto tcp_state::request_writable() -> void
{
    if (closing || wsi == nullptr) {
        return;
    }
    if (!in_event) {
        lws_callback_on_writable(wsi);
        return;
    }
    // libwebsockets clears the request after the callback, so it is repeated on the next iteration
    if (!std::exchange(writable_requested, true)) {
        loop->post([weak = weak_from_this()] {
            const auto state = weak.lock();
            if (state && !state->closing) {
                state->writable_requested = false;
                lws_callback_on_writable(state->wsi);
            }
        });
    }
}

auto tcp_state::flush() -> bool
{
    while (pending_offset < pending.size()) {
        const auto count = ::send(descriptor, pending.data() + pending_offset,
                                  pending.size() - pending_offset, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            if (!would_block(errno)) {
                write_failure = reason_of(errno);
                return false;
            }
            request_writable();
            return true;
        }
        pending_offset += static_cast<std::size_t>(count);
        sent_bytes += static_cast<std::uint64_t>(count);
    }
    release_sent();
    return true;
}

auto tcp_state::send_now(std::string_view bytes, std::string_view more)
    -> std::optional<std::size_t>
{
    auto parts = std::array<iovec, 2>{{{const_cast<char*>(bytes.data()), bytes.size()},
                                       {const_cast<char*>(more.data()), more.size()}}};
    auto message = msghdr{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const auto count = ::sendmsg(descriptor, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && would_block(errno)) {
        return std::size_t{0};
    }
    if (count < 0) {
        write_failure = reason_of(errno);
        return std::nullopt;
    }
    sent_bytes += static_cast<std::uint64_t>(count);
    return static_cast<std::size_t>(count);
}

auto tcp_state::keep(std::string_view bytes) -> void
{
    const auto unsent = pending.size() - pending_offset;
    if (pending_offset > unsent) {
        pending.erase(0, pending_offset);
        pending_offset = 0;
    }
    pending.append(bytes);
}

auto tcp_state::release_sent() -> void
{
    pending.clear();
    pending_offset = 0;
    if (pending.capacity() > kept_buffer_bytes) {
        std::string{}.swap(pending);
    }
}

auto tcp_state::close() -> void
{
    if (std::exchange(closing, true)) {
        return;
    }
    handlers = {};
    if (!in_event && wsi != nullptr) {
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    }
}

auto tcp_state::fail(close_reason reason) -> void
{
    if (closing) {
        return;
    }
    const auto on_closed = std::move(handlers.on_closed);
    close();
    if (on_closed) {
        on_closed(reason);
    }
}

auto tcp_state::end_with(close_reason reason) -> void
{
    while (!closing && read_some()) {
    }
    fail(reason);
}

auto tcp_state::on_descriptor_closing() -> void
{
    wsi = nullptr;
    loop->count_descriptor(-1);
    self.reset();
    if (closing) {
        return;
    }
    // libwebsockets closes by itself when poll() reports a hang-up without input; the peer can send
    // nothing more, so the reads come to an end
    in_event = true;
    end_with(close_reason::reset);
    in_event = false;
}

auto tcp_state::read_some() -> bool
{
    static auto buffer = std::array<char, read_buffer_bytes>{};
    const auto count = recv(descriptor, buffer.data(), read_size, MSG_DONTWAIT);
    if (count > 0) {
        // the handler may replace itself while it runs
        const auto on_bytes = handlers.on_bytes;
        if (on_bytes) {
            on_bytes({buffer.data(), static_cast<std::size_t>(count)});
        }
        return true;
    }
    if (count == 0) {
        fail(write_failure.value_or(close_reason::finished));
    }
    else if (!would_block(errno)) {
        fail(reason_of(errno));
    }
    return false;
}

auto tcp_state::on_writable() -> void
{
    if (connecting) {
        auto code = 0;
        auto size = socklen_t{sizeof code};
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &code, &size);
        if (code != 0) {
            fail(reason_of(code));
            return;
        }
        connecting = false;
        const auto on_connected = handlers.on_connected;
        if (on_connected) {
            on_connected();
        }
    }
    if (closing || pending.empty()) {
        return;
    }
    if (!flush()) {
        end_with(*write_failure);
        return;
    }
    const auto on_sent = handlers.on_sent;
    if (pending.empty() && on_sent) {
        on_sent();
    }
}

auto tcp_listener_state::accept_some() -> bool
{
    for (auto count = 0; count < max_accepts_per_iteration && wsi != nullptr; ++count) {
        auto peer = sockaddr_in{};
        auto size = socklen_t{sizeof peer};
        const auto accepted = accept4(descriptor, reinterpret_cast<sockaddr*>(&peer), &size,
                                      SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return false;
        }
        set_socket_options(accepted);
        auto state = std::make_shared<tcp_state>();
        state->loop = loop;
        state->descriptor = accepted;
        state->wsi = adopt(*loop, accepted, "tcp");
        if (state->wsi == nullptr) {
            continue;
        }
        state->self = state;
        lws_set_opaque_user_data(state->wsi, state.get());
        auto text = std::array<char, INET_ADDRSTRLEN>{};
        inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
        on_accept(tcp_connection{std::move(state)},
                  std::string{text.data()} + ":" + std::to_string(ntohs(peer.sin_port)));
    }
    return wsi != nullptr;
}

} // namespace detail

tcp_connection::tcp_connection() noexcept = default;
tcp_connection::tcp_connection(tcp_connection&& other) noexcept = default;

tcp_connection::tcp_connection(std::shared_ptr<detail::tcp_state> state) : state_(std::move(state))
{}

auto tcp_connection::operator=(tcp_connection&& other) noexcept -> tcp_connection&
{
    if (this != &other) {
        close();
        state_ = std::move(other.state_);
    }
    return *this;
}

tcp_connection::~tcp_connection()
{
    close();
}

tcp_connection::operator bool() const
{
    return state_ && !state_->closing;
}

auto tcp_connection::set_handlers(tcp_handlers handlers) -> void
{
    if (state_) {
        state_->handlers = std::move(handlers);
    }
}

auto tcp_connection::send(std::string_view bytes, std::string_view more) -> void
{
    if (!*this || (bytes.empty() && more.empty())) {
        return;
    }
    auto& state = *state_;
    if (state.connecting || !state.pending.empty()) {
        state.keep(bytes);
        state.keep(more);
        return;
    }
    const auto taken = state.send_now(bytes, more);
    if (!taken) {
        // the bytes stay unsent, so that nothing is taken for delivered
        state.keep(bytes);
        state.keep(more);
        state.loop->post([held = state_] { held->end_with(*held->write_failure); });
        return;
    }
    const auto of_first = std::min(*taken, bytes.size());
    state.keep(bytes.substr(of_first));
    state.keep(more.substr(*taken - of_first));
    if (!state.pending.empty()) {
        state.request_writable();
    }
}

auto tcp_connection::unsent_bytes() const -> std::size_t
{
    return state_ ? state_->pending.size() - state_->pending_offset : 0;
}

auto tcp_connection::held_bytes() const -> std::size_t
{
    return state_ ? state_->pending.capacity() : 0;
}

auto tcp_connection::sent_bytes() const -> std::uint64_t
{
    return state_ ? state_->sent_bytes : 0;
}

auto tcp_connection::connected() const -> bool
{
    return *this && !state_->connecting;
}

auto tcp_connection::has_input() const -> bool
{
    if (!connected()) {
        return false;
    }
    auto byte = char{};
    const auto count = recv(state_->descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || !would_block(errno);
}

auto tcp_connection::set_reading(bool enabled) -> void
{
    if (*this && state_->wsi != nullptr) {
        lws_rx_flow_control(state_->wsi, enabled ? 1 : 0);
    }
}

auto tcp_connection::set_read_size(std::size_t bytes) -> void
{
    if (state_) {
        state_->read_size = std::clamp<std::size_t>(bytes, 1, read_buffer_bytes);
    }
}

auto tcp_connection::finish_sending() -> void
{
    if (*this) {
        shutdown(state_->descriptor, SHUT_WR);
    }
}

auto tcp_connection::close() -> void
{
    if (state_) {
        state_->close();
        state_.reset();
    }
}

auto tcp_connection::reset() -> void
{
    if (*this) {
        const auto reset_on_close = linger{1, 0};
        setsockopt(state_->descriptor, SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof reset_on_close);
    }
    close();
}

auto connect_tcp(event_loop& loop, const std::string& address) -> result<tcp_connection>
{
    const auto peer = parse_address(address);
    if (!peer) {
        return fail(error_id::connect_failed, step::connect, address,
                    "the address is not of the form ip:port");
    }
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return fail(error_id::connect_failed, step::connect, address, std::strerror(errno));
    }
    set_socket_options(descriptor);
    const auto started =
        connect(descriptor, reinterpret_cast<const sockaddr*>(&*peer), sizeof *peer);
    if (started != 0 && errno != EINPROGRESS) {
        const auto message = std::string{std::strerror(errno)};
        ::close(descriptor);
        return fail(error_id::connect_failed, step::connect, address, message);
    }
    auto state = std::make_shared<detail::tcp_state>();
    state->loop = &loop;
    state->descriptor = descriptor;
    state->connecting = true;
    state->wsi = adopt(loop, descriptor, "tcp");
    if (state->wsi == nullptr) {
        return fail(error_id::connect_failed, step::connect, address,
                    "the event loop cannot adopt another descriptor");
    }
    state->self = state;
    lws_set_opaque_user_data(state->wsi, state.get());
    state->request_writable();
    return tcp_connection{std::move(state)};
}

tcp_listener::tcp_listener() noexcept = default;
tcp_listener::tcp_listener(tcp_listener&&) noexcept = default;

auto tcp_listener::operator=(tcp_listener&& other) noexcept -> tcp_listener&
{
    if (this != &other) {
        close();
        state_ = std::move(other.state_);
    }
    return *this;
}

tcp_listener::~tcp_listener()
{
    close();
}

auto tcp_listener::accept_pending() -> void
{
    while (state_ && state_->wsi != nullptr && state_->accept_some()) {
    }
}

auto tcp_listener::close() -> void
{
    if (state_ && state_->wsi != nullptr) {
        lws_set_timeout(state_->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    }
}

auto tcp_listener::open(event_loop& loop, const std::string& address,
                        std::function<void(tcp_connection, std::string)> on_accept)
    -> result<tcp_listener>
{
    const auto local = parse_address(address);
    if (!local) {
        return fail(error_id::listen_failed, step::listen, address,
                    "the address is not of the form ip:port");
    }
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    auto bound = sockaddr_in{};
    auto size = socklen_t{sizeof bound};
    if (descriptor < 0 ||
        bind(descriptor, reinterpret_cast<const sockaddr*>(&*local), sizeof *local) != 0 ||
        listen(descriptor, listen_backlog) != 0 ||
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
        const auto message = std::string{std::strerror(errno)};
        if (descriptor >= 0) {
            ::close(descriptor);
        }
        return fail(error_id::listen_failed, step::listen, address, message);
    }
    auto listener = tcp_listener{};
    listener.state_ = std::make_shared<detail::tcp_listener_state>();
    auto& state = *listener.state_;
    state.loop = &loop;
    state.descriptor = descriptor;
    state.port = ntohs(bound.sin_port);
    state.on_accept = std::move(on_accept);
    state.wsi = adopt(loop, descriptor, "tcp-accept");
    if (state.wsi == nullptr) {
        return fail(error_id::listen_failed, step::listen, address,
                    "the event loop cannot adopt another descriptor");
    }
    state.self = listener.state_;
    lws_set_opaque_user_data(state.wsi, &state);
    return listener;
}

auto tcp_listener::port() const -> int
{
    return state_ ? state_->port : 0;
}

} // namespace cyclamenpost
