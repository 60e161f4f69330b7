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

// IPv4 20, TCP 20 and its timestamps 12
constexpr std::size_t segment_header = 52;
constexpr std::size_t segment_payload = 1448;
// CURVE MESSAGE (ZMTP 3.1): name 8, nonce 8, flags 1, authentication tag 16
constexpr std::size_t curve_overhead = 33;
constexpr std::size_t short_frame = 255;

struct scenario {
    unsigned instances;
    unsigned zones;
    unsigned regions;
};

constexpr std::array scenarios{
    scenario{3, 1, 1},  scenario{9, 3, 1},    scenario{27, 3, 1},
    scenario{81, 6, 2}, scenario{390, 20, 8},
};

/// Bytes on the network by instance, kind and distance.
struct tally {
    std::map<std::string, double> by_instance;
    std::map<std::string, double> by_kind;
    double messages = 0;
};

struct age_statistics {
    double sum = 0;
    double count = 0;
    double worst = 0;
    double missing = 0;
};

/// A message as it reached one instance, for the CPU measurements.
struct sample {
    std::string to;
    incoming_message message;
    std::string bytes;
};

auto emit(const std::string& measure, const std::string& name, double value,
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
    static const auto made = [] {
        auto names = std::vector<std::string>{};
        for (unsigned model = 0; model < model_count; ++model) {
            names.push_back("model-" + std::to_string(model));
        }
        return make_catalogue(names);
    }();
    return made;
}

auto encode(const outgoing_message& message, const member_identity& from, time_point now)
    -> std::string
{
    auto envelope = to_wire(message.message, now, catalogue());
    envelope.set_protocol_version(bus_protocol_version);
    set_sender(envelope, from);
    return envelope.SerializeAsString();
}

/// Bytes of one message on the network, without the acknowledgement of the other direction.
auto bytes_on_network(std::size_t encoded) -> std::size_t
{
    const auto frame = encoded + curve_overhead;
    const auto framed = frame + (frame > short_frame ? 9 : 2);
    const auto segments = (framed + segment_payload - 1) / segment_payload;
    return framed + segments * segment_header;
}

auto report_loads(virtual_fleet& fleet) -> void
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

auto count_ages(const virtual_fleet& fleet, age_statistics& ages) -> void
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

auto count_message(tally& seen, const virtual_node& from, const outgoing_message& message,
                   std::size_t encoded) -> void
{
    // each end sees the message in one direction and its acknowledgement in the other
    const auto bytes = static_cast<double>(bytes_on_network(encoded) + segment_header);
    const auto kind = std::string{name_in(gossip_kind_names, message.message.kind)};
    const auto within = message.zone == from.state.self.zone;
    seen.by_instance[from.state.self.identity.id] += bytes;
    seen.by_instance[message.to] += bytes;
    seen.by_kind[kind + (within ? " within zones" : " across zones")] += 2 * bytes;
    ++seen.messages;
}

auto report_traffic(const scenario& shape, const tally& seen, double seconds) -> void
{
    const auto name = std::to_string(shape.instances) + " instances, ";
    const auto scale = 1 / (seconds * shape.instances);
    auto total = 0.0;
    auto worst = 0.0;
    for (const auto& [id, bytes] : seen.by_instance) {
        total += bytes;
        worst = std::max(worst, bytes / seconds);
    }
    emit("control_bytes_per_second", name + "mean instance", total * scale, "B/s");
    emit("control_bytes_per_second", name + "worst instance", worst, "B/s");
    for (const auto& [kind, bytes] : seen.by_kind) {
        emit("control_bytes_per_second", name + kind, bytes * scale, "B/s");
    }
    emit("control_messages_per_second", name + "mean instance, sent", seen.messages * scale, "1/s");
}

/// Raises the load of all instances at once and measures until the mean at an instance has covered
/// nine tenths of the step.
auto report_step(const std::string& name, virtual_fleet& fleet) -> void
{
    constexpr auto low = 100;
    constexpr auto high = 300;
    constexpr auto reached = low + 0.9 * (high - low);
    constexpr auto longest = 200;
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
    for (auto tenth = 0; tenth < longest && times.size() < fleet.nodes.size(); ++tenth) {
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
    sorted.resize(fleet.nodes.size(), longest / 10.0);
    std::sort(sorted.begin(), sorted.end());
    emit("load_step_seen_after", name + "median instance", sorted[sorted.size() / 2], "s");
    emit("load_step_seen_after", name + "p95 instance", sorted[sorted.size() * 95 / 100], "s");
    emit("load_step_seen_after", name + "last instance", sorted.back(), "s");
}

auto cpu_microseconds() -> double
{
    auto used = timespec{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) / 1e3;
}

/// CPU time per call of `action` over all samples.
template <typename Action>
auto cpu_per_call(std::deque<sample>& samples, Action&& action) -> double
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

auto report_cpu(const std::string& name, virtual_fleet& fleet, std::deque<sample>& samples) -> void
{
    const auto now = fleet.now;
    auto total_size = std::size_t{0};
    const auto encoding = cpu_per_call(samples, [&](const sample& each) {
        auto outgoing = outgoing_message{};
        outgoing.message = each.message.message;
        total_size += encode(outgoing, each.message.from, now).size();
    });
    const auto decoding = cpu_per_call(samples, [&](const sample& each) {
        auto envelope = wire::envelope{};
        envelope.ParseFromString(each.bytes);
        total_size += from_wire(envelope, now, catalogue())->message.updates.size();
    });
    const auto handling = cpu_per_call(samples, [&](const sample& each) {
        auto& state = fleet.node(each.to).state;
        total_size += on_gossip(state, each.message, now, fleet.random).messages.size();
    });
    emit("cpu_per_message", name + "encode", encoding, "us");
    emit("cpu_per_message", name + "decode", decoding, "us");
    emit("cpu_per_message", name + "handle", handling, "us");
}

auto report_memory(const scenario& shape) -> void
{
    const auto fleet = virtual_fleet{1, 1, 1, seed};
    const auto source = virtual_fleet{shape.instances, shape.zones, shape.regions, seed};
    const auto before = mallinfo2().uordblks;
    auto state = start_membership({}, fleet.listed[0], fleet.now);
    apply_instance_list(state, 1, source.listed, fleet.now);
    const auto used = mallinfo2().uordblks - before;
    emit("memory_per_member", std::to_string(shape.instances) + " instances",
         static_cast<double>(used) / shape.instances, "B");
}

auto run(const scenario& shape) -> void
{
    constexpr auto warm_up = 90;
    constexpr auto measured = 60;
    constexpr std::size_t most_samples = 4000;
    auto fleet = virtual_fleet{shape.instances, shape.zones, shape.regions, seed};
    auto seen = tally{};
    auto ages = age_statistics{};
    auto samples = std::deque<sample>{};
    for (auto second = 0; second < warm_up + measured; ++second) {
        report_loads(fleet);
        if (second == warm_up) {
            fleet.on_send = [&](const virtual_node& from, const outgoing_message& message,
                                time_point now) {
                const auto& identity = from.state.self.identity;
                auto bytes = encode(message, identity, now);
                count_message(seen, from, message, bytes.size());
                if (samples.size() < most_samples) {
                    samples.push_back({message.to, {identity, message.message}, std::move(bytes)});
                }
            };
        }
        fleet.run_for(std::chrono::seconds{1});
        if (second >= warm_up) {
            count_ages(fleet, ages);
        }
    }
    const auto name = std::to_string(shape.instances) + " instances, ";
    report_traffic(shape, seen, measured);
    emit("load_age", name + "mean", ages.sum / ages.count, "s");
    emit("load_age", name + "worst", ages.worst, "s");
    emit("load_age", name + "readings without a mean", ages.missing, "1");
    fleet.on_send = nullptr;
    report_step(name, fleet);
    report_cpu(name, fleet, samples);
    report_memory(shape);
}

} // namespace

/// Measures the control traffic, CPU time and memory of membership in virtual time.
/// An argument limits the run to the scenario with that many instances.
auto main(int count, char** arguments) -> int
{
    const auto only = count > 1 ? std::string{arguments[1]} : std::string{};
    for (const auto& shape : scenarios) {
        if (only.empty() || only == std::to_string(shape.instances)) {
            run(shape);
        }
    }
    return 0;
}
