#include "cyclamenpost/membership/bus.hpp"

#include <array>
#include <cerrno>
#include <cstdlib>
#include <deque>
#include <sstream>
#include <unordered_map>

#include <unistd.h>
#include <zmq.h>

#include "cyclamenpost/membership/wire.hpp"

namespace cyclamenpost {

namespace {

// The ZeroMQ descriptor is edge-triggered, so a wakeup can be missed.
constexpr auto poll_period = std::chrono::milliseconds{100};
constexpr auto connecting_poll_period = std::chrono::milliseconds{5};
constexpr auto heartbeat_ms = 1000;
constexpr auto idle_check_period = std::chrono::seconds{5};
constexpr std::size_t key_bytes = 32;
constexpr std::size_t key_text_size = 40;
// Limit for one turn of the loop, so that HTTP traffic is served in between.
constexpr int messages_per_turn = 256;

struct context_deleter {
    auto operator()(void* context) const -> void
    {
        zmq_ctx_term(context);
    }
};

struct socket_deleter {
    auto operator()(void* socket) const -> void
    {
        zmq_close(socket);
    }
};

using context_ptr = std::unique_ptr<void, context_deleter>;
using socket_ptr = std::unique_ptr<void, socket_deleter>;

/// Owner of one ZeroMQ message.
struct frame {
    zmq_msg_t message{};

    frame()
    {
        zmq_msg_init(&message);
    }
    frame(const frame&) = delete;
    auto operator=(const frame&) -> frame& = delete;
    ~frame()
    {
        zmq_msg_close(&message);
    }
};

/// A message queued until its peer's connection is established.
struct waiting_message {
    std::string bytes;
    std::string kind;
    time_point deadline{};
};

struct connection {
    socket_ptr socket;
    std::string address;
    std::string zone;
    std::deque<waiting_message> waiting;
    time_point last_used{};
};

auto set_int(void* socket, int option, int value) -> bool
{
    return zmq_setsockopt(socket, option, &value, sizeof value) == 0;
}

auto set_text(void* socket, int option, const std::string& value) -> bool
{
    return zmq_setsockopt(socket, option, value.c_str(), value.size()) == 0;
}

auto last_error(const std::string& peer, const std::string& what) -> leaf::error_id
{
    return fail(error_id::bus_failed, step::listen, peer, what + ": " + zmq_strerror(zmq_errno()));
}

auto count(traffic_by_kind& table, std::string_view kind, std::size_t bytes) -> void
{
    auto found = table.find(kind);
    if (found == table.end()) {
        found = table.emplace(std::string{kind}, traffic{}).first;
    }
    ++found->second.messages;
    found->second.bytes += bytes;
}

auto parse_link_faults(const std::string& text) -> std::map<std::string, link_fault>
{
    auto faults = std::map<std::string, link_fault>{};
    auto items = std::istringstream{text};
    for (auto item = std::string{}; std::getline(items, item, ',');) {
        const auto split = item.find('=');
        if (split == std::string::npos) {
            continue;
        }
        const auto value = item.substr(split + 1);
        auto& fault = faults[item.substr(0, split)];
        fault.drop = value == "drop";
        fault.delay = std::chrono::milliseconds{std::strtol(value.c_str(), nullptr, 10)};
    }
    return faults;
}

} // namespace

struct bus::state : std::enable_shared_from_this<bus::state> {
    event_loop* loop = nullptr;
    bus_settings settings;
    context_ptr context;
    socket_ptr listener;
    socket_ptr authenticator;
    std::unordered_map<std::string, connection> connections;
    std::map<std::string, link_fault> faults;
    std::function<void(const wire::envelope&)> handler;
    std::function<std::string(const std::string&)> zone_lookup;
    bus_counters counters;
    timer poll_timer;
    timer connecting_timer;
    timer idle_timer;
    std::deque<timer> delayed;
    int port = 0;

    auto encrypted() const -> bool;
    auto validate_client_key() const -> result<void>;
    auto enable_encryption() -> result<void>;
    auto bind_listener() -> result<void>;
    auto watch_listener() -> result<void>;
    auto authenticate() -> void;
    auto receive() -> void;
    auto handle_message(const void* data, std::size_t size, bool whole) -> void;
    auto connection_to(const peer_address& peer) -> connection*;
    auto open_socket(const peer_address& peer) -> socket_ptr;
    auto transmit(const peer_address& peer, std::string bytes, std::string_view kind) -> bool;
    auto transmit_with_fault(const peer_address& peer, std::string bytes, std::string_view kind,
                             link_fault fault) -> bool;
    auto try_send(connection& link, const std::string& bytes, std::string_view kind) -> bool;
    auto queue_until_connected(connection& link, std::string bytes, std::string_view kind) -> bool;
    auto send_waiting() -> void;
    auto close_idle() -> void;
};

/// Encryption is off only without keys, on loopback or on a network that the settings trust.
auto bus::state::encrypted() const -> bool
{
    if (settings.keys.server_secret.empty() && settings.trusted_network) {
        return false;
    }
    return !settings.keys.server_secret.empty() || !settings.listen_address.starts_with("127.");
}

auto bus::state::validate_client_key() const -> result<void>
{
    if (!encrypted()) {
        return {};
    }
    auto decoded = std::array<std::uint8_t, key_bytes>{};
    const auto& key = settings.keys.client_public;
    if (key.size() != key_text_size || zmq_z85_decode(decoded.data(), key.c_str()) == nullptr) {
        return fail(error_id::bus_failed, step::listen, "client key",
                    "not a Z85 key of 40 characters");
    }
    return {};
}

auto bus::state::enable_encryption() -> result<void>
{
    if (!encrypted()) {
        return {};
    }
    auto* socket = listener.get();
    const auto ok = set_int(socket, ZMQ_CURVE_SERVER, 1) &&
                    set_text(socket, ZMQ_CURVE_SECRETKEY, settings.keys.server_secret) &&
                    set_text(socket, ZMQ_ZAP_DOMAIN, "fleet");
    if (!ok) {
        return last_error("server key", "cannot set the CURVE secret key");
    }
    return {};
}

auto bus::state::bind_listener() -> result<void>
{
    auto* socket = listener.get();
    set_int(socket, ZMQ_RCVHWM, settings.queue_capacity);
    set_int(socket, ZMQ_LINGER, 0);
    const auto limit = static_cast<std::int64_t>(settings.max_message_bytes);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &limit, sizeof limit);
    if (zmq_bind(socket, ("tcp://" + settings.listen_address).c_str()) != 0) {
        return last_error(settings.listen_address, "cannot listen");
    }
    auto endpoint = std::array<char, 256>{};
    auto size = endpoint.size();
    zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, endpoint.data(), &size);
    const auto text = std::string{endpoint.data()};
    port = std::atoi(text.substr(text.rfind(':') + 1).c_str());
    return {};
}

auto bus::state::watch_listener() -> result<void>
{
    for (auto* socket : {listener.get(), authenticator.get()}) {
        auto descriptor = -1;
        auto size = sizeof descriptor;
        if (zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size) != 0) {
            return last_error(settings.listen_address, "cannot read the socket's descriptor");
        }
        // The loop owns and closes a duplicate, because the bus may be destroyed before the loop.
        const auto copy = dup(descriptor);
        const auto on_ready = [weak = weak_from_this(), copy] {
            const auto alive = weak.lock();
            if (!alive) {
                auto drained = std::uint64_t{0};
                [[maybe_unused]] const auto size_read = read(copy, &drained, sizeof drained);
                return;
            }
            alive->receive();
        };
        BOOST_LEAF_CHECK(loop->watch_descriptor(copy, on_ready));
    }
    return {};
}

/// Answers the authentication requests of the listener (ZeroMQ RFC 27): only a client that holds
/// the fleet's client key is accepted.
auto bus::state::authenticate() -> void
{
    constexpr std::size_t request_frames = 7;
    constexpr std::size_t key_frame = 6;
    auto events = ZMQ_POLLIN;
    auto size = sizeof events;
    while (zmq_getsockopt(authenticator.get(), ZMQ_EVENTS, &events, &size) == 0 &&
           (events & ZMQ_POLLIN) != 0) {
        auto parts = std::vector<std::string>{};
        auto more = 1;
        while (more != 0) {
            auto part = frame{};
            if (zmq_msg_recv(&part.message, authenticator.get(), ZMQ_DONTWAIT) < 0) {
                return;
            }
            parts.emplace_back(static_cast<const char*>(zmq_msg_data(&part.message)),
                               zmq_msg_size(&part.message));
            more = zmq_msg_more(&part.message);
        }
        auto expected = std::array<std::uint8_t, key_bytes>{};
        zmq_z85_decode(expected.data(), settings.keys.client_public.c_str());
        const auto known = std::string{expected.begin(), expected.end()};
        const auto accepted = parts.size() == request_frames && parts[key_frame] == known;
        const auto request_id = parts.size() > 1 ? parts[1] : std::string{};
        const auto reply = std::array<std::string, 6>{
            "1.0", request_id, accepted ? "200" : "400", accepted ? "OK" : "unknown key", "", ""};
        for (std::size_t index = 0; index < reply.size(); ++index) {
            const auto flags = index + 1 < reply.size() ? ZMQ_SNDMORE : 0;
            zmq_send(authenticator.get(), reply[index].data(), reply[index].size(),
                     flags | ZMQ_DONTWAIT);
        }
    }
}

auto bus::state::receive() -> void
{
    const auto self = shared_from_this();
    authenticate();
    auto events = 0;
    auto size = sizeof events;
    for (auto turn = 0; turn < messages_per_turn; ++turn) {
        if (zmq_getsockopt(listener.get(), ZMQ_EVENTS, &events, &size) != 0 ||
            (events & ZMQ_POLLIN) == 0) {
            return;
        }
        auto part = frame{};
        if (zmq_msg_recv(&part.message, listener.get(), ZMQ_DONTWAIT) < 0) {
            return;
        }
        handle_message(zmq_msg_data(&part.message), zmq_msg_size(&part.message),
                       zmq_msg_more(&part.message) == 0);
    }
    // The descriptor does not signal again for messages that are already queued.
    loop->post([weak = weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->receive();
        }
    });
}

auto bus::state::handle_message(const void* data, std::size_t size, bool whole) -> void
{
    if (size > settings.max_message_bytes) {
        ++counters.oversized;
        return;
    }
    auto message = wire::envelope{};
    const auto parsed = whole && message.ParseFromArray(data, static_cast<int>(size));
    if (!parsed) {
        ++counters.malformed;
        return;
    }
    if (message.protocol_version() != bus_protocol_version) {
        ++counters.wrong_version;
        return;
    }
    if (message.from_instance().empty()) {
        ++counters.malformed;
        return;
    }
    const auto within = !zone_lookup || zone_lookup(message.from_instance()) == settings.zone;
    count(within ? counters.received_within_zone : counters.received_across_zones,
          message_kind(message), size);
    if (handler) {
        handler(message);
    }
}

auto bus::state::open_socket(const peer_address& peer) -> socket_ptr
{
    auto socket = socket_ptr{zmq_socket(context.get(), ZMQ_PUSH)};
    if (!socket) {
        return socket;
    }
    const auto& keys = settings.keys;
    set_int(socket.get(), ZMQ_LINGER, 0);
    set_int(socket.get(), ZMQ_IMMEDIATE, 1);
    set_int(socket.get(), ZMQ_SNDHWM, settings.queue_capacity);
    set_int(socket.get(), ZMQ_RECONNECT_IVL_MAX, 2000);
    // Heartbeats detect a connection that failed without a reset; ZeroMQ then reconnects.
    set_int(socket.get(), ZMQ_HEARTBEAT_IVL, heartbeat_ms);
    set_int(socket.get(), ZMQ_HEARTBEAT_TIMEOUT, 2 * heartbeat_ms);
    const auto secured =
        !encrypted() || (set_text(socket.get(), ZMQ_CURVE_SERVERKEY, keys.server_public) &&
                         set_text(socket.get(), ZMQ_CURVE_PUBLICKEY, keys.client_public) &&
                         set_text(socket.get(), ZMQ_CURVE_SECRETKEY, keys.client_secret));
    const auto ok = secured && zmq_connect(socket.get(), ("tcp://" + peer.address).c_str()) == 0;
    if (!ok) {
        socket.reset();
    }
    return socket;
}

auto bus::state::connection_to(const peer_address& peer) -> connection*
{
    auto& link = connections[peer.instance];
    if (!link.socket || link.address != peer.address) {
        counters.lost += link.waiting.size();
        link = connection{};
        link.socket = open_socket(peer);
        link.address = peer.address;
        if (!link.socket) {
            connections.erase(peer.instance);
            return nullptr;
        }
    }
    link.zone = peer.zone;
    link.last_used = monotonic_now();
    return &link;
}

auto bus::state::try_send(connection& link, const std::string& bytes, std::string_view kind) -> bool
{
    if (zmq_send(link.socket.get(), bytes.data(), bytes.size(), ZMQ_DONTWAIT) < 0) {
        return false;
    }
    const auto within = link.zone.empty() || link.zone == settings.zone;
    count(within ? counters.sent_within_zone : counters.sent_across_zones, kind, bytes.size());
    return true;
}

auto bus::state::queue_until_connected(connection& link, std::string bytes, std::string_view kind)
    -> bool
{
    if (link.waiting.size() >= settings.connecting_queue_capacity) {
        ++counters.lost;
        return false;
    }
    link.waiting.push_back(
        {std::move(bytes), std::string{kind}, monotonic_now() + settings.connect_timeout});
    if (!connecting_timer.pending()) {
        connecting_timer = loop->call_every(connecting_poll_period, [this] { send_waiting(); });
    }
    return true;
}

auto bus::state::transmit(const peer_address& peer, std::string bytes, std::string_view kind)
    -> bool
{
    auto* link = connection_to(peer);
    if (link == nullptr) {
        ++counters.lost;
        return false;
    }
    // Messages that wait for the connection go first, so that the order is kept.
    if (link->waiting.empty() && try_send(*link, bytes, kind)) {
        return true;
    }
    return queue_until_connected(*link, std::move(bytes), kind);
}

/// Fault injection, for tests only.
auto bus::state::transmit_with_fault(const peer_address& peer, std::string bytes,
                                     std::string_view kind, link_fault fault) -> bool
{
    ++counters.fault_injected;
    if (fault.drop) {
        return true;
    }
    std::erase_if(delayed, [](const timer& pending) { return !pending.pending(); });
    delayed.push_back(
        loop->call_after(fault.delay, [this, peer, bytes = std::move(bytes),
                                       kind = std::string{kind}] { transmit(peer, bytes, kind); }));
    return true;
}

auto bus::state::send_waiting() -> void
{
    const auto now = monotonic_now();
    auto pending = false;
    for (auto& [id, link] : connections) {
        while (!link.waiting.empty()) {
            auto& next = link.waiting.front();
            if (now >= next.deadline) {
                ++counters.lost;
            }
            else if (!try_send(link, next.bytes, next.kind)) {
                pending = true;
                break;
            }
            link.waiting.pop_front();
        }
    }
    if (!pending) {
        connecting_timer.reset();
    }
}

auto bus::state::close_idle() -> void
{
    const auto limit = monotonic_now() - settings.idle_timeout;
    std::erase_if(connections, [&](const auto& item) {
        return item.second.waiting.empty() && item.second.last_used < limit;
    });
}

auto make_bus_keys() -> result<bus_keys>
{
    constexpr std::size_t key_size = 41;
    auto public_key = std::array<char, key_size>{};
    auto secret_key = std::array<char, key_size>{};
    auto keys = bus_keys{};
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
        return last_error("keys", "cannot generate a key pair");
    }
    keys.server_public = public_key.data();
    keys.server_secret = secret_key.data();
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
        return last_error("keys", "cannot generate a key pair");
    }
    keys.client_public = public_key.data();
    keys.client_secret = secret_key.data();
    return keys;
}

auto message_kind(const wire::envelope& message) -> std::string_view
{
    const auto* field = wire::envelope::descriptor()->FindFieldByNumber(message.body_case());
    return field == nullptr ? std::string_view{"none"} : std::string_view{field->name()};
}

bus::bus() : state_(std::make_shared<state>()) {}

bus::~bus() = default;

auto bus::start(event_loop& loop, bus_settings settings) -> result<void>
{
    auto& own = *state_;
    own.loop = &loop;
    own.settings = std::move(settings);
    if (const auto* faults = std::getenv("CYCLAMENPOST_FAULT_LINKS")) {
        own.faults = parse_link_faults(faults);
    }
    // zmq_ctx_term blocks while the context has sockets, so those of an earlier start are closed
    // first.
    own.connections.clear();
    own.listener.reset();
    own.authenticator.reset();
    own.context.reset(zmq_ctx_new());
    own.authenticator.reset(zmq_socket(own.context.get(), ZMQ_REP));
    own.listener.reset(zmq_socket(own.context.get(), ZMQ_PULL));
    if (zmq_bind(own.authenticator.get(), "inproc://zeromq.zap.01") != 0) {
        return last_error("inproc://zeromq.zap.01", "cannot bind the authentication socket");
    }
    BOOST_LEAF_CHECK(own.validate_client_key());
    BOOST_LEAF_CHECK(own.enable_encryption());
    BOOST_LEAF_CHECK(own.bind_listener());
    BOOST_LEAF_CHECK(own.watch_listener());
    own.poll_timer = loop.call_every(poll_period, [&own] { own.receive(); });
    own.idle_timer = loop.call_every(idle_check_period, [&own] { own.close_idle(); });
    return {};
}

auto bus::send(const peer_address& peer, const wire::envelope& message) -> bool
{
    auto complete = message;
    complete.set_protocol_version(bus_protocol_version);
    set_sender(complete, {state_->settings.instance, state_->settings.incarnation,
                          state_->settings.start_ms});
    auto bytes = complete.SerializeAsString();
    if (bytes.size() > state_->settings.max_message_bytes) {
        ++state_->counters.oversized;
        return false;
    }
    const auto fault = state_->faults.find(peer.instance);
    if (fault == state_->faults.end()) {
        return state_->transmit(peer, std::move(bytes), message_kind(message));
    }
    return state_->transmit_with_fault(peer, std::move(bytes), message_kind(message),
                                       fault->second);
}

auto bus::on_message(std::function<void(const wire::envelope&)> handler) -> void
{
    state_->handler = std::move(handler);
}

auto bus::on_zone_lookup(std::function<std::string(const std::string&)> lookup) -> void
{
    state_->zone_lookup = std::move(lookup);
}

auto bus::counters() const -> bus_counters
{
    auto counters = state_->counters;
    counters.open_connections = state_->connections.size();
    return counters;
}

auto bus::port() const -> int
{
    return state_->port;
}

auto bus::inject_link_fault(const std::string& instance, link_fault fault) -> void
{
    if (!fault.drop && fault.delay.count() == 0) {
        state_->faults.erase(instance);
        return;
    }
    state_->faults[instance] = fault;
}

} // namespace cyclamenpost
