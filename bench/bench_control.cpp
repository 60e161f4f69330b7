#include <algorithm>
#include <array>
#include <ctime>
#include <deque>
#include <iostream>
#include <malloc.h>

#include <nlohmann/json.hpp>

#include "../tests/virtual_fleet.hpp"
#include "cyclamenpost/membership/bus.hpp"
#include "cyclamenpost/membership/wire.hpp"

using namespace cyclamenpost;

namespace {

constexpr unsigned model_count = 23;
constexpr unsigned targets_per_instance = 6;
constexpr std::uint64_t seed = 1;

// IPv4 header 20, TCP header 20 and TCP timestamp option 12.
constexpr std::size_t segment_header_bytes = 52;
constexpr std::size_t segment_payload_bytes = 1448;
// CURVE MESSAGE command (ZMTP 3.1): name 8, nonce 8, flags 1, authentication tag 16.
constexpr std::size_t curve_overhead_bytes = 33;
// A ZMTP frame up to this size has a header of 2 bytes, a longer one of 9.
constexpr std::size_t max_short_frame_bytes = 255;

struct scenario {
    unsigned instances;
    unsigned zones;
    unsigned regions;
};

constexpr std::array scenarios{
    scenario{3, 1, 1},  scenario{9, 3, 1},    scenario{27, 3, 1},
    scenario{81, 6, 2}, scenario{390, 20, 8},
};

/// Bytes on the network by instance, and by message kind within and across zones.
struct traffic_totals {
    std::map<std::string, double> by_instance;
    std::map<std::string, double> by_kind;
    double messages = 0;
};

/// Ages in seconds of the fleet-wide mean load as known to the instances.
struct age_statistics {
    double sum = 0;
    double count = 0;
    double worst = 0;
    /// Reads at which an instance knew no mean.
    double missing = 0;
};

/// A message received by an instance, decoded and encoded, for the CPU measurements.
struct message_sample {
    std::string to;
    incoming_message message;
    std::string bytes;
};

auto print_measurement(const std::string& measure, const std::string& name, double value,
                       const std::string& unit) -> void
{
    auto row = nlohmann::ordered_json{};
    row["measure"] = measure;
    row["scenario"] = name;
    row["policy"] = "cyclamenpost";
    row["seed"] = seed;
    row["value"] = value;
    row["unit"] = unit;
    std::cout << row.dump() << '\n';
}

auto catalogue() -> const model_catalogue&
{
    static const auto models = [] {
        auto names = std::vector<std::string>{};
        for (unsigned model = 0; model < model_count; ++model) {
            names.push_back("model-" + std::to_string(model));
        }
        return make_catalogue(names);
    }();
    return models;
}

auto encode(const outgoing_message& message, const member_identity& from, time_point now)
    -> std::string
{
    auto envelope = to_wire(message.message, now, catalogue());
    envelope.set_protocol_version(bus_protocol_version);
    set_sender(envelope, from);
    return envelope.SerializeAsString();
}

/// Bytes of one message on the network, without the TCP acknowledgement.
auto bytes_on_network(std::size_t encoded) -> std::size_t
{
    const auto frame = encoded + curve_overhead_bytes;
    const auto framed = frame + (frame > max_short_frame_bytes ? 9 : 2);
    const auto segments = (framed + segment_payload_bytes - 1) / segment_payload_bytes;
    return framed + segments * segment_header_bytes;
}

auto set_random_loads(virtual_fleet& fleet) -> void
{
    for (auto& [id, node] : fleet.nodes) {
        auto loads = std::map<std::uint32_t, model_load>{};
        for (unsigned target = 0; target < targets_per_instance; ++target) {
            const auto model = hash64(id, target) % model_count;
            const auto key = name_key("model-" + std::to_string(model));
            auto& load = loads[key];
            load.model = key;
            ++load.engines;
            load.cost += 20 + fleet.random() % 200;
        }
        auto list = std::vector<model_load>{};
        for (const auto& [key, load] : loads) {
            list.push_back(load);
        }
        set_own_load(node.state, std::move(list), fleet.now);
    }
}

auto add_load_ages(const virtual_fleet& fleet, age_statistics& ages) -> void
{
    for (const auto& [id, node] : fleet.nodes) {
        const auto known = fleet_load_of(node.state, "model-1", fleet.now);
        if (!known) {
            ++ages.missing;
            continue;
        }
        const auto age = std::chrono::duration<double>(known->age).count();
        ages.sum += age;
        ++ages.count;
        ages.worst = std::max(ages.worst, age);
    }
}

auto count_message(traffic_totals& totals, const virtual_node& from,
                   const outgoing_message& message, std::size_t encoded) -> void
{
    // Each end handles the message and, in the other direction, its TCP acknowledgement.
    const auto bytes = static_cast<double>(bytes_on_network(encoded) + segment_header_bytes);
    const auto kind = std::string{name_in(gossip_kind_names, message.message.kind)};
    const auto within = message.zone == from.state.self.zone;
    totals.by_instance[from.state.self.identity.id] += bytes;
    totals.by_instance[message.to] += bytes;
    totals.by_kind[kind + (within ? " within zones" : " across zones")] += 2 * bytes;
    ++totals.messages;
}

auto report_traffic(const scenario& shape, const traffic_totals& totals, double seconds) -> void
{
    const auto name = std::to_string(shape.instances) + " instances, ";
    const auto scale = 1 / (seconds * shape.instances);
    auto total = 0.0;
    auto worst = 0.0;
    for (const auto& [id, bytes] : totals.by_instance) {
        total += bytes;
        worst = std::max(worst, bytes / seconds);
    }
    print_measurement("control_bytes_per_second", name + "mean instance", total * scale, "B/s");
    print_measurement("control_bytes_per_second", name + "worst instance", worst, "B/s");
    for (const auto& [kind, bytes] : totals.by_kind) {
        print_measurement("control_bytes_per_second", name + kind, bytes * scale, "B/s");
    }
    print_measurement("control_messages_per_second", name + "mean instance, sent",
                      totals.messages * scale, "1/s");
}

/// Raises the load of all instances at once and measures the time until the mean known to an
/// instance has covered nine tenths of the step.
auto report_step(const std::string& name, virtual_fleet& fleet) -> void
{
    constexpr auto low = 100;
    constexpr auto high = 300;
    constexpr auto reached = low + 0.9 * (high - low);
    constexpr auto max_tenths = 200;
    const auto model = std::string{"model-1"};
    const auto set_all = [&](std::uint64_t cost) {
        for (auto& [id, node] : fleet.nodes) {
            set_own_load(node.state, {{name_key(model), 1, cost}}, fleet.now);
        }
    };
    set_all(low);
    fleet.run_for(std::chrono::seconds{15});
    set_all(high);
    auto times = std::map<std::string, double>{};
    for (auto tenth = 0; tenth < max_tenths && times.size() < fleet.nodes.size(); ++tenth) {
        fleet.run_for(std::chrono::milliseconds{100});
        for (const auto& [id, node] : fleet.nodes) {
            const auto known = fleet_load_of(node.state, model, fleet.now);
            if (known && known->mean_cost >= reached) {
                times.emplace(id, (tenth + 1) / 10.0);
            }
        }
    }
    auto sorted = std::vector<double>{};
    for (const auto& [id, time] : times) {
        sorted.push_back(time);
    }
    sorted.resize(fleet.nodes.size(), max_tenths / 10.0);
    std::sort(sorted.begin(), sorted.end());
    print_measurement("load_step_seen_after", name + "median instance", sorted[sorted.size() / 2],
                      "s");
    print_measurement("load_step_seen_after", name + "p95 instance",
                      sorted[sorted.size() * 95 / 100], "s");
    print_measurement("load_step_seen_after", name + "last instance", sorted.back(), "s");
}

auto cpu_microseconds() -> double
{
    auto used = timespec{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) / 1e3;
}

/// Mean CPU time in microseconds per call of `action` over all samples.
template <typename Action>
auto cpu_per_call(std::deque<message_sample>& samples, Action&& action) -> double
{
    constexpr auto rounds = 5;
    const auto before = cpu_microseconds();
    for (auto round = 0; round < rounds; ++round) {
        for (auto& each : samples) {
            action(each);
        }
    }
    return (cpu_microseconds() - before) / (rounds * static_cast<double>(samples.size()));
}

auto report_cpu(const std::string& name, virtual_fleet& fleet, std::deque<message_sample>& samples)
    -> void
{
    const auto now = fleet.now;
    auto total_size = std::size_t{0};
    const auto encoding = cpu_per_call(samples, [&](const message_sample& each) {
        auto outgoing = outgoing_message{};
        outgoing.message = each.message.message;
        total_size += encode(outgoing, each.message.from, now).size();
    });
    const auto decoding = cpu_per_call(samples, [&](const message_sample& each) {
        auto envelope = wire::envelope{};
        envelope.ParseFromString(each.bytes);
        total_size += from_wire(envelope, now, catalogue())->message.updates.size();
    });
    const auto handling = cpu_per_call(samples, [&](const message_sample& each) {
        auto& state = fleet.node(each.to).state;
        total_size += on_gossip(state, each.message, now, fleet.random).messages.size();
    });
    print_measurement("cpu_per_message", name + "encode", encoding, "us");
    print_measurement("cpu_per_message", name + "decode", decoding, "us");
    print_measurement("cpu_per_message", name + "handle", handling, "us");
}

auto report_memory(const scenario& shape) -> void
{
    const auto fleet = virtual_fleet{1, 1, 1, seed};
    const auto source = virtual_fleet{shape.instances, shape.zones, shape.regions, seed};
    const auto before = mallinfo2().uordblks;
    auto state = start_membership({}, fleet.listed[0], fleet.now);
    apply_instance_list(state, 1, source.listed, fleet.now);
    const auto used = mallinfo2().uordblks - before;
    print_measurement("memory_per_member", std::to_string(shape.instances) + " instances",
                      static_cast<double>(used) / shape.instances, "B");
}

auto run(const scenario& shape) -> void
{
    constexpr auto warm_up_seconds = 90;
    constexpr auto measured_seconds = 60;
    constexpr std::size_t max_samples = 4000;
    auto fleet = virtual_fleet{shape.instances, shape.zones, shape.regions, seed};
    auto totals = traffic_totals{};
    auto ages = age_statistics{};
    auto samples = std::deque<message_sample>{};
    for (auto second = 0; second < warm_up_seconds + measured_seconds; ++second) {
        set_random_loads(fleet);
        if (second == warm_up_seconds) {
            fleet.on_send = [&](const virtual_node& from, const outgoing_message& message,
                                time_point now) {
                const auto& identity = from.state.self.identity;
                auto bytes = encode(message, identity, now);
                count_message(totals, from, message, bytes.size());
                if (samples.size() < max_samples) {
                    samples.push_back({message.to, {identity, message.message}, std::move(bytes)});
                }
            };
        }
        fleet.run_for(std::chrono::seconds{1});
        if (second >= warm_up_seconds) {
            add_load_ages(fleet, ages);
        }
    }
    const auto name = std::to_string(shape.instances) + " instances, ";
    report_traffic(shape, totals, measured_seconds);
    print_measurement("load_age", name + "mean", ages.sum / ages.count, "s");
    print_measurement("load_age", name + "worst", ages.worst, "s");
    print_measurement("load_age", name + "readings without a mean", ages.missing, "1");
    fleet.on_send = nullptr;
    report_step(name, fleet);
    report_cpu(name, fleet, samples);
    report_memory(shape);
}

} // namespace

/// Measures the control traffic, CPU time and memory of membership in virtual time. An optional
/// argument selects the scenario with that number of instances.
auto main(int argc, char** argv) -> int
{
    const auto only = argc > 1 ? std::string{argv[1]} : std::string{};
    for (const auto& shape : scenarios) {
        if (only.empty() || only == std::to_string(shape.instances)) {
            run(shape);
        }
    }
    return 0;
}
