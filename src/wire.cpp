#include "cyclamenpost/wire.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

auto age_ms(time_point measured, time_point now) -> std::uint32_t
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - measured);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0));
}

auto write_record(const member_record& record, wire::member_update& update) -> void
{
    update.set_id(record.identity.id);
    update.set_incarnation(record.identity.incarnation);
    update.set_start_ms(record.identity.start_ms);
    update.set_refutation(record.refutation);
    update.set_state(static_cast<std::uint32_t>(record.state));
    // receivers of a suspicion know the addresses; leaving them out halves the update
    if (record.state == member_state::suspect || record.state == member_state::dead) {
        return;
    }
    update.set_zone(record.zone);
    update.set_region(record.region);
    update.set_http(record.http);
    update.set_bus(record.bus);
}

auto read_record(const wire::member_update& update) -> std::optional<member_record>
{
    if (update.id().empty() || update.state() > static_cast<std::uint32_t>(member_state::dead)) {
        return std::nullopt;
    }
    return member_record{{update.id(), update.incarnation(), update.start_ms()},
                         update.refutation(),
                         static_cast<member_state>(update.state()),
                         update.zone(),
                         update.region(),
                         update.http(),
                         update.bus()};
}

auto write_sums(const load_sums& sums, time_point now, wire::load_summary& summary) -> void
{
    for (const auto& load : sums.models) {
        summary.add_models(load.model);
        summary.add_engines(load.engines);
        summary.add_cost(static_cast<std::uint32_t>(load.cost));
    }
    summary.set_age_ms(age_ms(sums.measured, now));
}

auto read_sums(const wire::load_summary& summary, time_point now) -> std::optional<load_sums>
{
    if (summary.engines_size() != summary.models_size() ||
        summary.cost_size() != summary.models_size()) {
        return std::nullopt;
    }
    auto sums = load_sums{};
    sums.measured = now - std::chrono::milliseconds{summary.age_ms()};
    for (auto index = 0; index < summary.models_size(); ++index) {
        // sums are merged in the order of the keys
        if (index > 0 && summary.models(index) <= summary.models(index - 1)) {
            return std::nullopt;
        }
        sums.models.push_back({summary.models(index), summary.engines(index), summary.cost(index)});
    }
    return sums;
}

auto write_gossip(const gossip_message& message, time_point now, wire::gossip& gossip) -> void
{
    gossip.set_seq(message.seq);
    for (const auto& record : message.updates) {
        write_record(record, *gossip.add_updates());
    }
    gossip.set_config_version(message.config_version);
    gossip.set_config_digest(message.config_digest);
    gossip.set_list_version(message.list_version);
    if (message.load) {
        write_sums(*message.load, now, *gossip.mutable_load());
    }
    for (const auto& zone : message.zone_loads) {
        auto* summary = gossip.add_zone_loads();
        summary->set_zone(zone.zone);
        write_sums(zone.sums, now, *summary);
    }
    if (message.fleet_load) {
        write_sums(*message.fleet_load, now, *gossip.mutable_fleet_load());
    }
    gossip.set_table_digest(message.table_digest);
    for (const auto& zone : message.zone_digests) {
        auto* digest = gossip.add_zone_digests();
        digest->set_zone(zone.zone);
        digest->set_digest(zone.hash);
    }
    gossip.set_load_wanted(message.load_wanted);
}

template <typename Updates>
auto read_records(const Updates& updates, gossip_message& message) -> bool
{
    for (const auto& update : updates) {
        auto record = read_record(update);
        if (!record) {
            return false;
        }
        message.updates.push_back(std::move(*record));
    }
    return true;
}

auto read_loads(const wire::gossip& gossip, time_point now, gossip_message& message) -> bool
{
    if (gossip.has_load()) {
        message.load = read_sums(gossip.load(), now);
    }
    if (gossip.has_fleet_load()) {
        message.fleet_load = read_sums(gossip.fleet_load(), now);
    }
    for (const auto& summary : gossip.zone_loads()) {
        auto sums = read_sums(summary, now);
        if (!sums) {
            return false;
        }
        message.zone_loads.push_back({summary.zone(), std::move(*sums)});
    }
    return message.load.has_value() == gossip.has_load() &&
           message.fleet_load.has_value() == gossip.has_fleet_load();
}

auto read_gossip(const wire::gossip& gossip, time_point now, gossip_message& message) -> bool
{
    message.seq = gossip.seq();
    message.config_version = gossip.config_version();
    message.config_digest = gossip.config_digest();
    message.list_version = gossip.list_version();
    message.table_digest = gossip.table_digest();
    message.load_wanted = gossip.load_wanted();
    for (const auto& digest : gossip.zone_digests()) {
        message.zone_digests.push_back({digest.zone(), digest.digest()});
    }
    return read_records(gossip.updates(), message) && read_loads(gossip, now, message);
}

auto read_sync(const wire::member_sync& sync, gossip_message& message) -> bool
{
    message.kind = gossip_kind::sync;
    message.reply_wanted = sync.reply_wanted();
    for (const auto& digest : sync.zone_digests()) {
        message.zone_digests.push_back({digest.zone(), digest.digest()});
    }
    return read_records(sync.updates(), message);
}

auto read_body(const wire::envelope& envelope, time_point now, gossip_message& message) -> bool
{
    switch (envelope.body_case()) {
    case wire::envelope::kProbe:
        message.kind = gossip_kind::probe;
        return read_gossip(envelope.probe().gossip(), now, message);
    case wire::envelope::kProbeAck:
        message.kind = gossip_kind::probe_ack;
        return read_gossip(envelope.probe_ack().gossip(), now, message);
    case wire::envelope::kIndirectProbe:
        message.kind = gossip_kind::indirect_probe;
        message.seq = envelope.indirect_probe().seq();
        message.target = envelope.indirect_probe().target();
        return true;
    case wire::envelope::kMemberSync:
        return read_sync(envelope.member_sync(), message);
    default:
        return false;
    }
}

auto write_sync(const gossip_message& message, wire::member_sync& sync) -> void
{
    for (const auto& record : message.updates) {
        write_record(record, *sync.add_updates());
    }
    for (const auto& zone : message.zone_digests) {
        auto* digest = sync.add_zone_digests();
        digest->set_zone(zone.zone);
        digest->set_digest(zone.hash);
    }
    sync.set_reply_wanted(message.reply_wanted);
}

} // namespace

auto to_wire(const gossip_message& message, time_point now) -> wire::envelope
{
    auto envelope = wire::envelope{};
    switch (message.kind) {
    case gossip_kind::probe:
        write_gossip(message, now, *envelope.mutable_probe()->mutable_gossip());
        break;
    case gossip_kind::probe_ack:
        write_gossip(message, now, *envelope.mutable_probe_ack()->mutable_gossip());
        break;
    case gossip_kind::indirect_probe:
        envelope.mutable_indirect_probe()->set_seq(message.seq);
        envelope.mutable_indirect_probe()->set_target(message.target);
        break;
    case gossip_kind::sync:
        write_sync(message, *envelope.mutable_member_sync());
        break;
    }
    return envelope;
}

auto set_sender(wire::envelope& envelope, const member_identity& sender) -> void
{
    envelope.set_from_instance(sender.id);
    envelope.set_from_incarnation(sender.incarnation);
    envelope.set_from_start_ms(sender.start_ms);
}

auto from_wire(const wire::envelope& envelope, time_point now) -> std::optional<incoming_message>
{
    auto incoming = incoming_message{};
    incoming.from = {envelope.from_instance(), envelope.from_incarnation(),
                     envelope.from_start_ms()};
    if (incoming.from.id.empty() || !read_body(envelope, now, incoming.message)) {
        return std::nullopt;
    }
    return incoming;
}

} // namespace cyclamenpost
