#include "cyclamenpost/configuration/config_service.hpp"

#include <algorithm>
#include <set>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

namespace {

using namespace std::chrono_literals;

// period of the checks for watchers, catch-up and confirmation
constexpr duration review_period = 500ms;
// after this time without a part, the next offer replaces the transfer
constexpr duration transfer_timeout = 1s;

auto index_of(published_kind kind) -> std::size_t
{
    return static_cast<std::size_t>(kind);
}

auto to_record(const listed_instance& listed) -> member_record
{
    auto record = member_record{};
    record.identity.id = listed.id;
    record.zone = listed.zone;
    record.region = listed.region;
    record.http_address = listed.http;
    record.bus_address = listed.bus;
    record.state = listed.state == listed_state::live ? member_state::alive : member_state::leaving;
    return record;
}

auto live_ids_of_zone(const membership_state& members, const std::string& zone)
    -> std::vector<std::string>
{
    auto live_ids = std::vector<std::string>{};
    for (const auto& member : live_members(members)) {
        if (member.zone == zone) {
            live_ids.push_back(member.identity.id);
        }
    }
    return live_ids;
}

auto log_offer(std::string_view kind, text_version id, offer_result outcome) -> void
{
    const auto level = outcome == offer_result::refused ? log_level::error : log_level::info;
    log_event(level, "config",
              {{"kind", std::string(kind)},
               {"version", std::to_string(id.version)},
               {"digest", to_hex(id.digest)},
               {"result", std::string(name_in(offer_result_names, outcome))}});
}

} // namespace

/// A transfer of a published value from a peer.
struct config_service::peer_transfer {
    std::string from;
    text_transfer transfer;
    time_point requested_at{};
};

config_service::config_service(event_loop& loop, cluster_node& cluster, config_options options)
    : loop_(loop), cluster_(cluster), options_(std::move(options))
{}

auto config_service::start(config_handlers handlers) -> void
{
    handlers_ = std::move(handlers);
    catch_up_.started = monotonic_now();
    auto callbacks = platform_callbacks{};
    callbacks.on_config = [this](published_text text) { handle_text(std::move(text)); };
    callbacks.on_instances = [this](std::string json) { handle_list(std::move(json)); };
    callbacks.on_failure = [](const error& failure) { log_error("platform", failure); };
    callbacks.config_version = [this] { return text_.texts.current.id.version; };
    callbacks.list_version = [this] { return list_.texts.current.id.version; };
    auto options = platform_options{};
    options.address = options_.platform;
    options.seed = options_.seed;
    platform_ = std::make_unique<platform_client>(loop_, options, std::move(callbacks));
    platform_->start();
    periodic_ = loop_.call_every(review_period, [this] {
        update_watching();
        if (!ready()) {
            ask_peers();
        }
        if (list_.list && list_is_confirmed()) {
            handlers_.on_list_confirmed();
        }
    });
}

auto config_service::stop() -> void
{
    periodic_.reset();
    if (platform_) {
        platform_->stop();
    }
}

auto config_service::ready() const -> bool
{
    return remaining_catch_up_need(catch_up_, text_.texts.current.id, list_.texts.current.id,
                                   monotonic_now()) == catch_up_need::nothing;
}

auto config_service::text() const -> const config_state&
{
    return text_;
}

auto config_service::list() const -> const instance_list_state&
{
    return list_;
}

auto config_service::platform_calls() const -> platform_counters
{
    return platform_ ? platform_->counters() : platform_counters{};
}

auto config_service::platform_reachable() const -> bool
{
    return platform_ && platform_->reachable();
}

auto config_service::handle_text(published_text offered) -> void
{
    const auto id = offered.id;
    const auto outcome = apply_text(text_, std::move(offered));
    if (outcome == offer_result::applied || outcome == offer_result::refused) {
        log_offer("operator_text", id, outcome);
    }
    if (outcome == offer_result::applied) {
        propagate_change(published_kind::operator_text);
    }
}

auto config_service::handle_list(std::string json) -> void
{
    const auto outcome = apply_list(list_, std::move(json));
    if (outcome == offer_result::applied || outcome == offer_result::refused) {
        log_offer("instance_list", list_.texts.current.id, outcome);
    }
    if (outcome == offer_result::applied) {
        propagate_change(published_kind::instance_list);
    }
}

auto config_service::propagate_change(published_kind kind) -> void
{
    if (kind == published_kind::operator_text) {
        const auto id = in_force(text_);
        cluster_.set_config_version(id.version, id.digest);
        auto models = std::vector<std::string>{};
        for (const auto& service : text_.config->services) {
            models.insert(models.end(), service.models.begin(), service.models.end());
        }
        cluster_.set_model_catalogue(models);
    }
    else {
        auto records = std::vector<member_record>{};
        for (const auto& listed : list_.list->instances) {
            records.push_back(to_record(listed));
        }
        cluster_.apply_instance_list(list_.list->version, records);
    }
    handlers_.on_applied();
    push_offer(kind);
}

auto config_service::offer_of(published_kind kind) const -> wire::envelope
{
    auto message = wire::envelope{};
    auto* offer = message.mutable_config_offer();
    const auto& id = history_of(kind).current.id;
    offer->set_version(id.version);
    offer->set_digest(id.digest);
    offer->set_kind(static_cast<std::uint32_t>(kind));
    return message;
}

/// Sends an offer to the zone's members, and from a watcher also to the representatives of all
/// zones, so that a change does not wait for the next probe.
auto config_service::push_offer(published_kind kind) -> void
{
    const auto& members = cluster_.membership();
    const auto& self = cluster_.self();
    const auto message = offer_of(kind);
    auto receivers = std::set<std::string>{};
    auto zones = std::set<std::string>{};
    for (const auto& member : live_members(members)) {
        zones.insert(member.zone);
        if (member.zone == self.zone) {
            receivers.insert(member.identity.id);
        }
    }
    if (is_watcher(self.identity.id, live_ids_of_zone(members, self.zone))) {
        for (const auto& zone : zones) {
            for (const auto& id : representatives(members, zone)) {
                receivers.insert(id);
            }
        }
    }
    receivers.erase(self.identity.id);
    for (const auto& id : receivers) {
        cluster_.send(id, message);
    }
}

auto config_service::on_message(const wire::envelope& message) -> bool
{
    switch (message.body_case()) {
    case wire::envelope::kConfigOffer:
        on_offer(message);
        return true;
    case wire::envelope::kConfigFetch:
        on_fetch(message);
        return true;
    case wire::envelope::kConfigPart:
        on_part(message);
        return true;
    default:
        return false;
    }
}

auto config_service::on_peer_config_version(const peer_config_version& peer) -> void
{
    const auto text_id = text_version{peer.version, peer.digest};
    if (consider_offer(text_, text_id) == offer_result::wanted) {
        begin_fetch(published_kind::operator_text, peer.from, text_id);
    }
    if (peer.list_version > list_.texts.current.id.version) {
        // a probe carries no digest of the list, so the peer is asked for an offer
        auto message = wire::envelope{};
        message.mutable_config_fetch()->set_version(0);
        message.mutable_config_fetch()->set_kind(
            static_cast<std::uint32_t>(published_kind::instance_list));
        cluster_.send(peer.from, message);
    }
}

auto config_service::on_offer(const wire::envelope& message) -> void
{
    const auto& offer = message.config_offer();
    const auto id = text_version{offer.version(), offer.digest()};
    if (offer.kind() > 1) {
        return;
    }
    const auto kind = static_cast<published_kind>(offer.kind());
    if (kind == published_kind::operator_text) {
        record_peer_answer(catch_up_, id, {});
    }
    else {
        record_peer_answer(catch_up_, {}, id);
    }
    const auto wanted = kind == published_kind::operator_text ? consider_offer(text_, id)
                                                              : consider_list_offer(list_, id);
    if (wanted == offer_result::wanted) {
        begin_fetch(kind, message.from_instance(), id);
    }
}

auto config_service::on_fetch(const wire::envelope& message) -> void
{
    const auto& fetch = message.config_fetch();
    if (fetch.kind() > 1) {
        return;
    }
    const auto kind = static_cast<published_kind>(fetch.kind());
    if (history_of(kind).current.id.version == 0) {
        return;
    }
    if (fetch.version() == 0) {
        cluster_.send(message.from_instance(), offer_of(kind));
        return;
    }
    const auto part =
        part_for(history_of(kind), {fetch.version(), fetch.base_version(), fetch.offset()});
    auto reply = wire::envelope{};
    auto* body = reply.mutable_config_part();
    body->set_version(part.version);
    body->set_base_version(part.base_version);
    body->set_prefix(part.prefix);
    body->set_suffix(part.suffix);
    body->set_total(part.total);
    body->set_offset(part.offset);
    body->set_bytes(part.bytes);
    body->set_kind(fetch.kind());
    cluster_.send(message.from_instance(), reply);
}

auto config_service::begin_fetch(published_kind kind, const std::string& from, text_version wanted)
    -> void
{
    auto& current = transfers_.at(index_of(kind));
    const auto now = monotonic_now();
    const auto busy = current && now - current->requested_at < transfer_timeout;
    if (busy && current->transfer.wanted >= wanted) {
        return;
    }
    current = std::make_shared<peer_transfer>();
    current->from = from;
    current->transfer = begin_transfer(history_of(kind), wanted);
    send_fetch(kind);
}

auto config_service::send_fetch(published_kind kind) -> void
{
    const auto& current = transfers_.at(index_of(kind));
    const auto fetch = next_fetch(current->transfer);
    auto message = wire::envelope{};
    auto* body = message.mutable_config_fetch();
    body->set_version(fetch.version);
    body->set_base_version(fetch.base_version);
    body->set_offset(fetch.offset);
    body->set_kind(static_cast<std::uint32_t>(kind));
    current->requested_at = monotonic_now();
    cluster_.send(current->from, message);
}

auto config_service::on_part(const wire::envelope& message) -> void
{
    const auto& body = message.config_part();
    if (body.kind() > 1 || !transfers_.at(body.kind())) {
        return;
    }
    const auto kind = static_cast<published_kind>(body.kind());
    const auto current = transfers_.at(body.kind());
    if (current->from != message.from_instance()) {
        return;
    }
    const auto part = text_part{body.version(), body.base_version(), body.prefix(), body.suffix(),
                                body.total(),   body.offset(),       body.bytes()};
    const auto received = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(progress, accept_part(current->transfer, part));
            if (progress == part_result::more) {
                send_fetch(kind);
            }
            if (progress == part_result::complete) {
                transfers_.at(index_of(kind)) = nullptr;
                BOOST_LEAF_AUTO(whole, finish_transfer(current->transfer));
                if (kind == published_kind::operator_text) {
                    handle_text(std::move(whole));
                }
                else {
                    handle_list(std::move(whole.text));
                }
            }
            return {};
        },
        [&](const error& failure) { log_error("config_transfer", failure); });
    if (!received) {
        // a delta fails when the sender's base differs; the whole text then succeeds
        const auto wanted = current->transfer.wanted;
        const auto had_base = current->transfer.base.id.version != 0;
        transfers_.at(index_of(kind)) = nullptr;
        if (had_base) {
            transfers_.at(index_of(kind)) = std::make_shared<peer_transfer>(
                peer_transfer{current->from, begin_whole_transfer(wanted), {}});
            send_fetch(kind);
        }
    }
}

auto config_service::history_of(published_kind kind) const -> const text_history&
{
    return kind == published_kind::operator_text ? text_.texts : list_.texts;
}

auto config_service::ask_peers() -> void
{
    for (const auto kind : {published_kind::operator_text, published_kind::instance_list}) {
        auto message = wire::envelope{};
        message.mutable_config_fetch()->set_version(0);
        message.mutable_config_fetch()->set_kind(static_cast<std::uint32_t>(kind));
        auto live_ids = std::vector<std::string>{};
        for (const auto& member : live_members(cluster_.membership())) {
            live_ids.push_back(member.identity.id);
        }
        const auto peers = peers_to_ask(options_.instance, live_ids);
        catch_up_.peers_asked = std::max(catch_up_.peers_asked, peers.size());
        for (const auto& peer : peers) {
            cluster_.send(peer, message);
        }
        for (const auto& address : options_.seed_peers) {
            cluster_.send_to_address(address, message);
        }
    }
}

/// Whether the list in force counts as current: this instance watches the reachable platform, or
/// more than half of the zone's listed instances are alive to it, whose watchers would have
/// forwarded a newer list. The second rule keeps cold targets in service during a long outage of
/// the platform; it does not hold for an instance that is partitioned from its zone.
auto config_service::list_is_confirmed() const -> bool
{
    const auto& self = cluster_.self();
    const auto alive = live_ids_of_zone(cluster_.membership(), self.zone);
    if (platform_->reachable() && is_watcher(self.identity.id, alive)) {
        return true;
    }
    const auto listed = instances_of_zone(*list_.list, self.zone);
    const auto answering = std::count_if(listed.begin(), listed.end(), [&](const std::string& id) {
        return std::find(alive.begin(), alive.end(), id) != alive.end();
    });
    return static_cast<std::size_t>(answering) * 2 > listed.size();
}

auto config_service::update_watching() -> void
{
    const auto& self = cluster_.self();
    const auto live_ids = live_ids_of_zone(cluster_.membership(), self.zone);
    platform_->watch(live_ids.empty() || is_watcher(self.identity.id, live_ids));
}

} // namespace cyclamenpost
