#include "cyclamenpost/membership/cluster_node.hpp"

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

namespace {

constexpr duration tick_period = std::chrono::milliseconds{100};

auto log_change(const member_change& change) -> void
{
    const auto before = change.previous_state
                            ? std::string(name_in(member_state_names, *change.previous_state))
                            : std::string("unknown");
    log_event(log_level::info, "member",
              {{"member", change.member.identity.id},
               {"incarnation", to_hex(change.member.identity.incarnation)},
               {"zone", change.member.zone},
               {"before", before},
               {"state", std::string(name_in(member_state_names, change.member.state))}});
}

} // namespace

cluster_node::cluster_node(event_loop& loop, member_record self, bus_settings settings,
                           membership_settings timing)
    : loop_(loop),
      bus_settings_(std::move(settings)),
      state_(start_membership(timing, std::move(self), monotonic_now())),
      random_(state_.self.identity.incarnation)
{}

auto cluster_node::start(cluster_handlers handlers) -> result<void>
{
    handlers_ = std::move(handlers);
    BOOST_LEAF_CHECK(bus_.start(loop_, bus_settings_));
    bus_.on_message([this](const wire::envelope& message) { receive(message); });
    bus_.on_zone_lookup([this](const std::string& instance) {
        const auto member = find_member(state_, instance);
        return member ? member->zone : std::string{};
    });
    ticks_ = loop_.call_every(tick_period, [this] { tick(); });
    return {};
}

auto cluster_node::stop() -> void
{
    ticks_.reset();
}

auto cluster_node::send(const std::string& instance, const wire::envelope& message) -> bool
{
    const auto member = find_member(state_, instance);
    if (!member || member->bus_address.empty()) {
        return false;
    }
    return bus_.send({instance, member->bus_address, member->zone}, message);
}

auto cluster_node::send_to_address(const std::string& address, const wire::envelope& message)
    -> bool
{
    return bus_.send({address, address, {}}, message);
}

auto cluster_node::apply_instance_list(std::uint64_t version,
                                       const std::vector<member_record>& listed) -> void
{
    perform(cyclamenpost::apply_instance_list(state_, version, listed, monotonic_now()));
}

auto cluster_node::leave() -> void
{
    perform(announce_leaving(state_, monotonic_now(), random_));
}

auto cluster_node::set_http_address(std::string address) -> void
{
    cyclamenpost::set_http_address(state_, std::move(address), monotonic_now());
}

auto cluster_node::set_load(std::vector<model_load> loads) -> void
{
    set_own_load(state_, std::move(loads), monotonic_now());
}

auto cluster_node::set_config_version(std::uint64_t version, std::uint64_t digest) -> void
{
    cyclamenpost::set_config_version(state_, version, digest);
}

auto cluster_node::set_model_catalogue(const std::vector<std::string>& models) -> void
{
    catalogue_ = make_catalogue(models);
}

auto cluster_node::membership() const -> const membership_state&
{
    return state_;
}

auto cluster_node::self() const -> const member_record&
{
    return state_.self;
}

auto cluster_node::traffic() const -> bus_counters
{
    return bus_.counters();
}

auto cluster_node::perform(const membership_step& step) -> void
{
    const auto now = monotonic_now();
    for (const auto& outgoing : step.messages) {
        bus_.send({outgoing.to, outgoing.address, outgoing.zone},
                  to_wire(outgoing.message, now, catalogue_));
    }
    for (const auto& change : step.changes) {
        log_change(change);
        handlers_.on_member_change(change);
    }
    for (const auto& peer : step.peer_config_versions) {
        handlers_.on_peer_config_version(peer);
    }
}

auto cluster_node::tick() -> void
{
    perform(on_tick(state_, monotonic_now(), random_));
}

auto cluster_node::receive(const wire::envelope& message) -> void
{
    const auto now = monotonic_now();
    if (handlers_.on_heard) {
        handlers_.on_heard(message.from_instance());
    }
    if (const auto incoming = from_wire(message, now, catalogue_)) {
        perform(on_gossip(state_, *incoming, now, random_));
        return;
    }
    handlers_.on_message(message);
}

} // namespace cyclamenpost
