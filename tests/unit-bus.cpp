#include <doctest/doctest.h>
#include <zmq.h>

#include "cyclamenpost/membership/bus.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

auto make_keys() -> bus_keys
{
    auto keys = bus_keys{};
    REQUIRE(try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(keys, make_bus_keys());
            return {};
        },
        [](const error& failure) { MESSAGE(describe(failure)); }));
    return keys;
}

auto offer(std::uint64_t version) -> wire::envelope
{
    auto message = wire::envelope{};
    message.mutable_config_offer()->set_version(version);
    return message;
}

/// A bus that records what arrives.
struct member {
    bus endpoint;
    std::vector<wire::envelope> arrived;

    member(event_loop& loop, const std::string& name, const bus_keys& keys,
           const std::string& zone = "a", int queue = 256)
    {
        auto settings = bus_settings{};
        settings.instance = name;
        settings.zone = zone;
        settings.keys = keys;
        settings.incarnation = 7;
        settings.start_ms = 8;
        settings.queue_capacity = queue;
        REQUIRE(try_or([&] { return endpoint.start(loop, settings); },
                       [](const error& failure) { MESSAGE(describe(failure)); }));
        endpoint.on_message([this](const wire::envelope& message) { arrived.push_back(message); });
    }

    auto address(const std::string& name, const std::string& zone = "a") const -> peer_address
    {
        return {name, "127.0.0.1:" + std::to_string(endpoint.port()), zone};
    }
};

/// A plain ZeroMQ sender with the fleet's keys, for bytes that a bus would not send.
struct raw_sender {
    void* context = zmq_ctx_new();
    void* socket = zmq_socket(context, ZMQ_PUSH);

    raw_sender(const bus_keys& keys, const peer_address& to)
    {
        const auto set = [&](int option, const std::string& value) {
            zmq_setsockopt(socket, option, value.c_str(), value.size());
        };
        set(ZMQ_CURVE_SERVERKEY, keys.server_public);
        set(ZMQ_CURVE_PUBLICKEY, keys.client_public);
        set(ZMQ_CURVE_SECRETKEY, keys.client_secret);
        const auto linger = 0;
        zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof linger);
        zmq_connect(socket, ("tcp://" + to.address).c_str());
    }
    raw_sender(const raw_sender&) = delete;
    auto operator=(const raw_sender&) -> raw_sender& = delete;
    ~raw_sender()
    {
        zmq_close(socket);
        zmq_ctx_term(context);
    }

    auto send(const std::string& bytes, int flags = 0) -> void
    {
        zmq_send(socket, bytes.data(), bytes.size(), flags | ZMQ_DONTWAIT);
    }
};

/// Encoded message of a protocol version.
auto encoded_message(std::uint32_t version) -> std::string
{
    auto message = offer(1);
    message.set_protocol_version(version);
    message.set_from_instance("raw");
    return message.SerializeAsString();
}

} // namespace

TEST_CASE("messages arrive in order with the sender's identity, and are counted by zone")
{
    event_loop loop;
    const auto keys = make_keys();
    auto sender = member{loop, "i1", keys, "a"};
    auto receiver = member{loop, "i2", keys, "b"};
    receiver.endpoint.on_zone_lookup([](const std::string&) { return "a"; });
    for (auto version = 1U; version <= 20; ++version) {
        CHECK(sender.endpoint.send(receiver.address("i2", "b"), offer(version)));
    }
    REQUIRE(loop.run_until([&] { return receiver.arrived.size() == 20; }, 20s));
    for (auto version = 1U; version <= 20; ++version) {
        CHECK(receiver.arrived[version - 1].config_offer().version() == version);
    }
    CHECK(receiver.arrived[0].from_instance() == "i1");
    CHECK(receiver.arrived[0].from_incarnation() == 7);
    CHECK(receiver.arrived[0].from_start_ms() == 8);
    const auto sent = sender.endpoint.counters().sent_across_zones.at("config_offer");
    const auto received = receiver.endpoint.counters().received_across_zones.at("config_offer");
    CHECK(sent.messages == 20);
    CHECK(received.bytes == sent.bytes);
}

TEST_CASE("no messages are accepted from a client with a wrong server key or client key")
{
    event_loop loop;
    const auto keys = make_keys();
    const auto other = make_keys();
    auto receiver = member{loop, "i2", keys};
    auto wrong_client = keys;
    wrong_client.client_public = other.client_public;
    wrong_client.client_secret = other.client_secret;
    auto wrong_server = keys;
    wrong_server.server_public = other.server_public;
    auto first = member{loop, "wrong-client", wrong_client};
    auto second = member{loop, "wrong-server", wrong_server};
    first.endpoint.send(receiver.address("i2"), offer(1));
    second.endpoint.send(receiver.address("i2"), offer(2));
    // Both messages are dropped after the connect timeout.
    const auto both_lost = [&] {
        return first.endpoint.counters().lost == 1 && second.endpoint.counters().lost == 1;
    };
    CHECK(loop.run_until(both_lost, 20s));
    auto valid = member{loop, "i1", keys};
    valid.endpoint.send(receiver.address("i2"), offer(3));
    CHECK(loop.run_until([&] { return !receiver.arrived.empty(); }, 20s));
    CHECK(receiver.arrived.size() == 1);
    CHECK(receiver.arrived[0].from_instance() == "i1");
}

TEST_CASE("malformed messages, other versions and multipart messages are counted and dropped")
{
    event_loop loop;
    const auto keys = make_keys();
    auto receiver = member{loop, "i2", keys};
    auto raw = raw_sender{keys, receiver.address("i2")};
    raw.send("\xff\xff\xff not protobuf");
    raw.send(encoded_message(bus_protocol_version + 1));
    raw.send(encoded_message(bus_protocol_version), ZMQ_SNDMORE);
    raw.send("second part");
    raw.send(encoded_message(bus_protocol_version));
    REQUIRE(loop.run_until([&] { return !receiver.arrived.empty(); }, 20s));
    CHECK(receiver.arrived.size() == 1);
    CHECK(receiver.endpoint.counters().malformed == 3);
    CHECK(receiver.endpoint.counters().wrong_version == 1);
}

TEST_CASE("unknown fields of a newer version are ignored")
{
    event_loop loop;
    const auto keys = make_keys();
    auto receiver = member{loop, "i2", keys};
    auto raw = raw_sender{keys, receiver.address("i2")};
    // field 99, length-delimited, two bytes
    raw.send(encoded_message(bus_protocol_version) + "\x9a\x06\x02xy");
    REQUIRE(loop.run_until([&] { return !receiver.arrived.empty(); }, 20s));
    CHECK(receiver.arrived[0].config_offer().version() == 1);
    CHECK(receiver.endpoint.counters().malformed == 0);
}

TEST_CASE("an oversized message is refused by the sender and never reaches the receiver")
{
    event_loop loop;
    const auto keys = make_keys();
    auto receiver = member{loop, "i2", keys};
    auto sender = member{loop, "i1", keys};
    auto large = wire::envelope{};
    large.mutable_config_part()->set_bytes(std::string(max_bus_message_bytes, 'x'));
    CHECK(!sender.endpoint.send(receiver.address("i2"), large));
    CHECK(sender.endpoint.counters().oversized == 1);
    auto raw = raw_sender{keys, receiver.address("i2")};
    raw.send(std::string(max_bus_message_bytes + 1000, 'x'));
    sender.endpoint.send(receiver.address("i2"), offer(1));
    REQUIRE(loop.run_until([&] { return !receiver.arrived.empty(); }, 20s));
    CHECK(receiver.arrived.size() == 1);
    large.mutable_config_part()->set_bytes(std::string(max_bus_message_bytes - 1000, 'x'));
    CHECK(sender.endpoint.send(receiver.address("i2"), large));
    CHECK(loop.run_until([&] { return receiver.arrived.size() == 2; }, 20s));
}

TEST_CASE("a full queue loses messages at once instead of blocking or growing")
{
    event_loop loop;
    const auto keys = make_keys();
    auto sender = member{loop, "i1", keys, "a", 4};
    // Nothing listens on this port once the bus is destroyed.
    auto gone = peer_address{};
    {
        auto closed = member{loop, "i2", keys};
        gone = closed.address("i2");
    }
    auto refused = 0;
    for (auto message = 0; message < 100; ++message) {
        refused += sender.endpoint.send(gone, offer(1)) ? 0 : 1;
    }
    CHECK(refused == 100 - static_cast<int>(bus_settings{}.connecting_queue_capacity));
    CHECK(sender.endpoint.counters().lost == static_cast<std::uint64_t>(refused));
    CHECK(loop.run_until([&] { return sender.endpoint.counters().lost == 100; }, 20s));
}

TEST_CASE("fault injection drops and delays messages to one peer only")
{
    event_loop loop;
    const auto keys = make_keys();
    auto first = member{loop, "i2", keys};
    auto second = member{loop, "i3", keys};
    auto sender = member{loop, "i1", keys};
    sender.endpoint.inject_link_fault("i2", {.drop = true});
    CHECK(sender.endpoint.send(first.address("i2"), offer(1)));
    CHECK(sender.endpoint.send(second.address("i3"), offer(2)));
    REQUIRE(loop.run_until([&] { return !second.arrived.empty(); }, 20s));
    sender.endpoint.inject_link_fault("i2", {.delay = 10ms});
    CHECK(sender.endpoint.send(first.address("i2"), offer(3)));
    REQUIRE(loop.run_until([&] { return !first.arrived.empty(); }, 20s));
    CHECK(first.arrived[0].config_offer().version() == 3);
    CHECK(sender.endpoint.counters().fault_injected == 2);
}

TEST_CASE("start fails on a malformed key")
{
    event_loop loop;
    auto settings = bus_settings{};
    settings.keys = make_keys();
    settings.keys.client_public = "short";
    bus endpoint;
    auto seen = error{};
    CHECK(!try_or([&] { return endpoint.start(loop, settings); },
                  [&](const error& failure) { seen = failure; }));
    CHECK(seen.id == error_id::bus_failed);
}

TEST_CASE("a bus whose address is in use fails to start and starts once the address is free")
{
    // Guards against a second start that blocks for ever, because the context of the first one
    // still has open sockets.
    auto loop = event_loop{};
    const auto keys = make_keys();
    auto holder = std::make_unique<member>(loop, "first", keys);
    auto settings = bus_settings{};
    settings.instance = "second";
    settings.keys = keys;
    settings.listen_address = holder->address("first").address;
    auto late = bus{};
    auto failures = 0;
    const auto start = [&] {
        return try_or([&] { return late.start(loop, settings); },
                      [&](const error& failure) {
                          ++failures;
                          CHECK(failure.id == error_id::bus_failed);
                      });
    };
    CHECK(!start());
    CHECK(!start());
    holder.reset();
    CHECK(loop.run_until([&] { return start(); }, 10s));
    CHECK(failures >= 2);
}
