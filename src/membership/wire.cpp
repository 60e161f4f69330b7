#include "cyclamenpost/membership/wire.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

auto age_ms(time_point measured_at, time_point now) -> std::uint32_t
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - measured_at);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0));
}

auto write_record(const member_record& record, wire::member_update& update) -> void
{
    update.set_id(record.identity.id);
    update.set_incarnation(record.identity.incarnation);
    update.set_start_ms(record.identity.start_ms);
    update.set_refutation(record.refutation);
    update.set_state(static_cast<std::uint32_t>(record.state));
    // Receivers of a suspicion know zone, region and addresses already; leaving them out halves the
    // size of the update.
    if (record.state == member_state::suspect || record.state == member_state::dead) {
        return;
    }
    update.set_zone(record.zone);
    update.set_region(record.region);
    update.set_http(record.http_address);
    update.set_bus(record.bus_address);
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

/// Position of a model in the catalogue, or the catalogue's size when it does not hold the model.
auto position_of(const model_catalogue& catalogue, std::uint32_t model) -> std::size_t
{
    const auto& models = catalogue.models;
    const auto found = std::lower_bound(models.begin(), models.end(), model);
    const auto known = found != models.end() && *found == model;
    return known ? static_cast<std::size_t>(found - models.begin()) : models.size();
}

/// Whether all loads belong to the catalogue.
auto covers(const model_catalogue& catalogue, const load_sums& sums) -> bool
{
    return std::all_of(sums.models.begin(), sums.models.end(), [&](const auto& load) {
        return position_of(catalogue, load.model) < catalogue.models.size();
    });
}

auto write_sums(const load_sums& sums, time_point now, const model_catalogue& catalogue,
                wire::load_summary& summary) -> void
{
    const auto by_position = !sums.models.empty() && covers(catalogue, sums);
    const auto complete = sums.models.size() == catalogue.models.size();
    if (by_position) {
        summary.set_catalogue(catalogue.digest);
    }
    for (const auto& load : sums.models) {
        if (!by_position) {
            summary.add_models(load.model);
        }
        else if (!complete) {
            summary.add_positions(static_cast<std::uint32_t>(position_of(catalogue, load.model)));
        }
        summary.add_engines(load.engines);
        summary.add_cost(static_cast<std::uint32_t>(load.cost));
    }
    summary.set_age_ms(age_ms(sums.measured_at, now));
}

/// Model keys of a summary. Nothing when a position is out of range.
auto read_models(const wire::load_summary& summary, const model_catalogue& catalogue)
    -> std::optional<std::vector<std::uint32_t>>
{
    if (summary.catalogue() == 0) {
        return std::vector<std::uint32_t>{summary.models().begin(), summary.models().end()};
    }
    if (summary.positions().empty()) {
        return catalogue.models;
    }
    auto models = std::vector<std::uint32_t>{};
    for (const auto position : summary.positions()) {
        if (position >= catalogue.models.size()) {
            return std::nullopt;
        }
        models.push_back(catalogue.models[position]);
    }
    return models;
}

auto read_sums(const wire::load_summary& summary, time_point now, const model_catalogue& catalogue)
    -> std::optional<load_sums>
{
    auto sums = load_sums{};
    sums.measured_at = now - std::chrono::milliseconds{summary.age_ms()};
    const auto models = read_models(summary, catalogue);
    const auto count = models ? models->size() : 0;
    if (!models || static_cast<std::size_t>(summary.engines_size()) != count ||
        static_cast<std::size_t>(summary.cost_size()) != count) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < count; ++index) {
        // Merging sums relies on strictly ascending keys.
        if (index > 0 && (*models)[index] <= (*models)[index - 1]) {
            return std::nullopt;
        }
        const auto at = static_cast<int>(index);
        sums.models.push_back({(*models)[index], summary.engines(at), summary.cost(at)});
    }
    return sums;
}

/// Whether the summary can be read with this catalogue.
auto is_readable(const wire::load_summary& summary, const model_catalogue& catalogue) -> bool
{
    return summary.catalogue() == 0 || summary.catalogue() == catalogue.digest;
}

auto write_gossip(const gossip_message& message, time_point now, const model_catalogue& catalogue,
                  wire::gossip& gossip) -> void
{
    gossip.set_seq(message.seq);
    for (const auto& record : message.updates) {
        write_record(record, *gossip.add_updates());
    }
    gossip.set_config_version(message.config_version);
    gossip.set_config_digest(message.config_digest);
    gossip.set_list_version(message.list_version);
    if (message.load) {
        write_sums(*message.load, now, catalogue, *gossip.mutable_load());
    }
    for (const auto& zone : message.zone_loads) {
        auto* summary = gossip.add_zone_loads();
        summary->set_zone(zone.zone);
        write_sums(zone.sums, now, catalogue, *summary);
    }
    if (message.fleet_load) {
        write_sums(*message.fleet_load, now, catalogue, *gossip.mutable_fleet_load());
    }
    gossip.set_table_digest(message.table_digest);
    for (const auto& zone : message.zone_digests) {
        auto* digest = gossip.add_zone_digests();
        digest->set_zone(zone.zone);
        digest->set_digest(zone.hash);
    }
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

/// Reads one optional summary. Returns false when it is malformed.
auto read_load(bool present, const wire::load_summary& summary, time_point now,
               const model_catalogue& catalogue, std::optional<load_sums>& into) -> bool
{
    if (!present || !is_readable(summary, catalogue)) {
        return true;
    }
    into = read_sums(summary, now, catalogue);
    return into.has_value();
}

auto read_loads(const wire::gossip& gossip, time_point now, const model_catalogue& catalogue,
                gossip_message& message) -> bool
{
    for (const auto& summary : gossip.zone_loads()) {
        auto sums = std::optional<load_sums>{};
        if (!read_load(true, summary, now, catalogue, sums)) {
            return false;
        }
        if (sums) {
            message.zone_loads.push_back({summary.zone(), std::move(*sums)});
        }
    }
    return read_load(gossip.has_load(), gossip.load(), now, catalogue, message.load) &&
           read_load(gossip.has_fleet_load(), gossip.fleet_load(), now, catalogue,
                     message.fleet_load);
}

auto read_gossip(const wire::gossip& gossip, time_point now, const model_catalogue& catalogue,
                 gossip_message& message) -> bool
{
    message.seq = gossip.seq();
    message.config_version = gossip.config_version();
    message.config_digest = gossip.config_digest();
    message.list_version = gossip.list_version();
    message.table_digest = gossip.table_digest();
    for (const auto& digest : gossip.zone_digests()) {
        message.zone_digests.push_back({digest.zone(), digest.digest()});
    }
    return read_records(gossip.updates(), message) && read_loads(gossip, now, catalogue, message);
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

auto read_body(const wire::envelope& envelope, time_point now, const model_catalogue& catalogue,
               gossip_message& message) -> bool
{
    switch (envelope.body_case()) {
    case wire::envelope::kProbe:
        message.kind = gossip_kind::probe;
        return read_gossip(envelope.probe().gossip(), now, catalogue, message);
    case wire::envelope::kProbeAck:
        message.kind = gossip_kind::probe_ack;
        return read_gossip(envelope.probe_ack().gossip(), now, catalogue, message);
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

auto to_wire(const gossip_message& message, time_point now, const model_catalogue& catalogue)
    -> wire::envelope
{
    auto envelope = wire::envelope{};
    switch (message.kind) {
    case gossip_kind::probe:
        write_gossip(message, now, catalogue, *envelope.mutable_probe()->mutable_gossip());
        break;
    case gossip_kind::probe_ack:
        write_gossip(message, now, catalogue, *envelope.mutable_probe_ack()->mutable_gossip());
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

auto from_wire(const wire::envelope& envelope, time_point now, const model_catalogue& catalogue)
    -> std::optional<incoming_message>
{
    auto incoming = incoming_message{};
    incoming.from = {envelope.from_instance(), envelope.from_incarnation(),
                     envelope.from_start_ms()};
    if (incoming.from.id.empty() || !read_body(envelope, now, catalogue, incoming.message)) {
        return std::nullopt;
    }
    return incoming;
}

} // namespace cyclamenpost
