#include "membership_detail.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace detail {

namespace {

constexpr std::size_t representatives_per_zone = 2;
// In zones with more members, the collectors collect the loads for the representatives, which also
// carry the traffic between zones.
constexpr std::size_t max_members_without_collectors = 8;
constexpr std::size_t collectors_per_zone = 4;
// One zone load is relayed for each this many other zones.
constexpr std::size_t zones_per_relayed_load = 4;

auto is_fresh(const membership_state& state, const load_sums& sums, time_point now) -> bool
{
    return !sums.models.empty() && sums.measured_at + state.settings.max_load_age >= now;
}

} // namespace

auto is_representative(const membership_state& state) -> bool
{
    const auto chosen = representatives(state, state.self.zone);
    return std::find(chosen.begin(), chosen.end(), state.self.identity.id) != chosen.end();
}

auto ranked_members(const membership_state& state, std::string_view zone)
    -> std::vector<std::string>
{
    const auto seed = hash64(zone);
    auto ranked = std::vector<std::pair<std::uint64_t, std::string_view>>{};
    const auto consider = [&](const member_record& record) {
        if (record.zone == zone && record.state == member_state::alive) {
            ranked.emplace_back(hash64(record.identity.id, seed), record.identity.id);
        }
    };
    consider(state.self);
    for (const auto& [id, entry] : state.members) {
        consider(entry.record);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>{});
    auto ids = std::vector<std::string>{};
    for (const auto& [rank, id] : ranked) {
        ids.emplace_back(id);
    }
    return ids;
}

auto collector_of(const std::vector<std::string>& ranked, std::string_view id) -> std::string
{
    const auto found = std::find(ranked.begin(), ranked.end(), id);
    const auto rank = static_cast<std::size_t>(found - ranked.begin());
    if (found == ranked.end() || rank < representatives_per_zone) {
        return {};
    }
    const auto direct = ranked.size() <= max_members_without_collectors ||
                        rank < representatives_per_zone + collectors_per_zone;
    if (direct) {
        return ranked[rank % representatives_per_zone];
    }
    return ranked[representatives_per_zone + rank % collectors_per_zone];
}

auto add_sums(load_sums& into, const load_sums& more) -> void
{
    if (more.models.empty()) {
        return;
    }
    into.measured_at =
        into.models.empty() ? more.measured_at : std::min(into.measured_at, more.measured_at);
    auto merged = std::vector<model_load>{};
    merged.reserve(std::max(into.models.size(), more.models.size()));
    auto left = into.models.begin();
    for (const auto& right : more.models) {
        while (left != into.models.end() && left->model < right.model) {
            merged.push_back(*left++);
        }
        merged.push_back(right);
        if (left != into.models.end() && left->model == right.model) {
            merged.back().engines += left->engines;
            merged.back().cost += left->cost;
            ++left;
        }
    }
    merged.insert(merged.end(), left, into.models.end());
    into.models = std::move(merged);
}

auto collected_load(const membership_state& state, time_point now) -> load_sums
{
    const auto ranked = ranked_members(state, state.self.zone);
    auto sums = state.own_load;
    // This instance's own load counts as current, because the process keeps reporting it.
    sums.measured_at = now;
    for (const auto& id : ranked) {
        const auto found = state.members.find(id);
        if (found != state.members.end() && is_fresh(state, found->second.load, now) &&
            collector_of(ranked, id) == state.self.identity.id) {
            add_sums(sums, found->second.load);
        }
    }
    return sums;
}

auto own_zone_load(const membership_state& state, time_point now) -> load_sums
{
    auto sums = collected_load(state, now);
    for (const auto& id : representatives(state, state.self.zone)) {
        const auto found = state.members.find(id);
        if (found != state.members.end() && is_fresh(state, found->second.load, now)) {
            add_sums(sums, found->second.load);
        }
    }
    return sums;
}

auto known_fleet_load(const membership_state& state, time_point now) -> load_sums
{
    if (!is_representative(state)) {
        return state.fleet_load;
    }
    auto sums = own_zone_load(state, now);
    for (const auto& [zone, zone_sums] : state.zone_loads) {
        if (is_fresh(state, zone_sums, now)) {
            add_sums(sums, zone_sums);
        }
    }
    return sums;
}

auto zone_loads_for(const membership_state& state, std::string_view zone, time_point now)
    -> std::vector<zone_load>
{
    auto loads = std::vector<zone_load>{};
    for (const auto& [key, sums] : state.zone_loads) {
        if (key != name_key(zone) && is_fresh(state, sums, now)) {
            loads.push_back({key, sums});
        }
    }
    std::sort(loads.begin(), loads.end(), [](const auto& left, const auto& right) {
        return left.sums.measured_at > right.sums.measured_at;
    });
    // The other representative of the own zone computes the zone's load from the two collected
    // loads.
    const auto own_zone = zone == state.self.zone;
    // With few zones, each zone's load arrives from its own representatives often enough.
    const auto relayed =
        own_zone ? state.settings.relayed_zones
                 : std::min<std::size_t>(state.settings.relayed_zones,
                                         state.zone_loads.size() / zones_per_relayed_load);
    loads.resize(std::min<std::size_t>(loads.size(), relayed));
    if (!own_zone) {
        loads.insert(loads.begin(), {name_key(state.self.zone), own_zone_load(state, now)});
    }
    return loads;
}

auto store_loads(membership_state& state, const incoming_message& incoming) -> void
{
    const auto sender = state.members.find(incoming.from.id);
    if (incoming.message.load && sender != state.members.end()) {
        sender->second.load = *incoming.message.load;
    }
    if (incoming.message.fleet_load &&
        incoming.message.fleet_load->measured_at >= state.fleet_load.measured_at) {
        state.fleet_load = *incoming.message.fleet_load;
    }
    for (const auto& [zone, sums] : incoming.message.zone_loads) {
        auto& known = state.zone_loads[zone];
        if (zone != name_key(state.self.zone) && sums.measured_at > known.measured_at) {
            known = sums;
        }
    }
}

auto both_represent_own_zone(const membership_state& state, const std::string& id) -> bool
{
    const auto chosen = representatives(state, state.self.zone);
    const auto has = [&](const std::string& member) {
        return std::find(chosen.begin(), chosen.end(), member) != chosen.end();
    };
    return has(state.self.identity.id) && has(id);
}

auto add_loads(const membership_state& state, gossip_message& message, const member_record& to,
               time_point now) -> void
{
    if (to.zone != state.self.zone) {
        if (is_representative(state)) {
            message.zone_loads = zone_loads_for(state, to.zone, now);
        }
        return;
    }
    if (both_represent_own_zone(state, to.identity.id)) {
        message.load = collected_load(state, now);
        message.zone_loads = zone_loads_for(state, to.zone, now);
        return;
    }
    const auto ranked = ranked_members(state, state.self.zone);
    if (collector_of(ranked, to.identity.id) == state.self.identity.id) {
        message.fleet_load = known_fleet_load(state, now);
    }
}

auto members_reporting_to_self(const membership_state& state) -> std::vector<std::string>
{
    auto ranked = ranked_members(state, state.self.zone);
    const auto all = ranked;
    std::erase_if(ranked, [&](const std::string& id) {
        return collector_of(all, id) != state.self.identity.id;
    });
    return ranked;
}

} // namespace detail

auto representatives(const membership_state& state, std::string_view zone)
    -> std::vector<std::string>
{
    auto ranked = detail::ranked_members(state, zone);
    ranked.resize(std::min(ranked.size(), detail::representatives_per_zone));
    return ranked;
}

auto make_catalogue(const std::vector<std::string>& names) -> model_catalogue
{
    auto catalogue = model_catalogue{};
    for (const auto& name : names) {
        catalogue.models.push_back(name_key(name));
    }
    auto& models = catalogue.models;
    std::sort(models.begin(), models.end());
    models.erase(std::unique(models.begin(), models.end()), models.end());
    auto bytes = std::string{};
    for (const auto model : models) {
        bytes += to_hex(model);
    }
    catalogue.digest = name_key(bytes);
    return catalogue;
}

auto set_own_load(membership_state& state, std::vector<model_load> models, time_point now) -> void
{
    std::sort(models.begin(), models.end(),
              [](const auto& left, const auto& right) { return left.model < right.model; });
    state.own_load = {std::move(models), now};
}

auto fleet_load_of(const membership_state& state, std::string_view model, time_point now)
    -> std::optional<fleet_model_load>
{
    const auto sums = detail::known_fleet_load(state, now);
    const auto key = name_key(model);
    const auto found = std::find_if(sums.models.begin(), sums.models.end(),
                                    [&](const auto& load) { return load.model == key; });
    if (found == sums.models.end() || found->engines == 0) {
        return std::nullopt;
    }
    return fleet_model_load{found->engines, static_cast<double>(found->cost) / found->engines,
                            now - sums.measured_at};
}

} // namespace cyclamenpost
