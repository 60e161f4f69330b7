#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cyclamenpost.pb.h"
#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// Version of the protocol between instances. Messages of another version are dropped.
inline constexpr std::uint32_t bus_protocol_version = 1;

/// Largest encoded message that the bus sends or accepts, in bytes.
inline constexpr std::size_t max_bus_message_bytes = 65536;

/// CURVE keys of the fleet in Z85 text (40 characters each). All instances share the server pair
/// and the client pair; an instance accepts only clients that hold the client pair.
struct bus_keys {
    std::string server_public;
    std::string server_secret;
    std::string client_public;
    std::string client_secret;
};

/// Generates new keys, for tests and for the operator's key command. Fails with `bus_failed`.
auto make_bus_keys() -> result<bus_keys>;

/// Identity, keys and limits of one bus.
struct bus_settings {
    std::string instance;
    std::string zone;
    /// `host:port` with a numeric host; port 0 picks a free one.
    std::string listen_address = "127.0.0.1:0";
    bus_keys keys;
    incarnation_id incarnation = 0;
    std::uint64_t start_ms = 0;
    /// Allows a bus without keys on an address other than loopback, for a network that only the
    /// fleet can reach.
    bool trusted_network = false;
    /// Largest message that this bus sends or accepts, in bytes.
    std::size_t max_message_bytes = max_bus_message_bytes;
    /// High-water mark of each queue, in messages.
    int queue_capacity = 256;
    /// Messages queued per peer until its connection is established.
    std::size_t connecting_queue_capacity = 32;
    /// A message is dropped when its connection is not established within this time.
    duration connect_timeout = std::chrono::seconds{2};
    /// Connections on which nothing was sent for this long are closed.
    duration idle_timeout = std::chrono::seconds{120};
};

/// Where a peer listens. The zone only classifies the traffic for the counters.
struct peer_address {
    std::string instance;
    std::string address;
    std::string zone;
};

/// Messages and encoded bytes of one kind.
struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Traffic by message kind (the field name of the envelope's body).
using traffic_by_kind = std::map<std::string, traffic, std::less<>>;

/// What a bus has sent, received and dropped since it was created.
struct bus_counters {
    traffic_by_kind sent_within_zone;
    traffic_by_kind sent_across_zones;
    traffic_by_kind received_within_zone;
    traffic_by_kind received_across_zones;
    /// Dropped because a queue was full or no connection could be made in time.
    std::uint64_t lost = 0;
    /// Not sent or not accepted because of their size.
    std::uint64_t oversized = 0;
    /// Not parseable, multipart or without a sender.
    std::uint64_t malformed = 0;
    /// Of another protocol version.
    std::uint64_t wrong_version = 0;
    /// Dropped or delayed by fault injection.
    std::uint64_t fault_injected = 0;
    std::size_t open_connections = 0;
};

/// Fault injection, for tests only: what happens to messages that are sent to one peer.
struct link_fault {
    bool drop = false;
    duration delay{};
};

/// Message kind of an envelope: the field name of its body, "none" without a body.
auto message_kind(const wire::envelope& message) -> std::string_view;

/// Sends and receives envelopes between instances over ZeroMQ with CURVE. Each message either
/// arrives whole or is lost; nothing is retransmitted. Not thread-safe: used on the loop's thread.
class bus {
public:
    bus();
    bus(const bus&) = delete;
    auto operator=(const bus&) -> bus& = delete;
    ~bus();

    /// Binds the listening socket and registers it with the loop. Fails with `bus_failed` on an
    /// invalid key, an address that cannot be bound or a descriptor that the loop cannot watch.
    auto start(event_loop& loop, bus_settings settings) -> result<void>;

    /// Queues a message for the peer, with the sender's identity and the protocol version filled
    /// in. Returns false when the message is lost at once: it is too large, the queue is full or no
    /// socket can be opened.
    auto send(const peer_address& peer, const wire::envelope& message) -> bool;

    /// Sets the handler of valid messages.
    auto on_message(std::function<void(const wire::envelope&)> handler) -> void;

    /// Sets the function that looks up the zone of an instance, for the counters of received
    /// traffic.
    auto on_zone_lookup(std::function<std::string(const std::string& instance)> lookup) -> void;

    /// Counters since the bus was created.
    auto counters() const -> bus_counters;

    /// Port of the listening socket.
    auto port() const -> int;

    /// Fault injection, for tests only: sets what happens to messages for a peer's instance id.
    /// The environment variable CYCLAMENPOST_FAULT_LINKS sets it at start, as a comma-separated
    /// list of `<instance>=drop` and `<instance>=<delay in ms>`.
    auto inject_link_fault(const std::string& instance, link_fault fault) -> void;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cyclamenpost
