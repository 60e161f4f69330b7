#include "cyclamenpost/gates/gate_service.hpp"

#include <algorithm>

namespace cyclamenpost {

auto gate_service::models_of(const fleet_target& target) const -> std::vector<std::string>
{
    const auto* service = service_by_name(*config_.text().config, target.target.service);
    const auto whole_service = target.target.models.empty() && service != nullptr;
    return whole_service ? service->models : target.target.models;
}

/// Load of a model on the engines whose primary gate is this instance.
auto gate_service::own_load(const std::string& model) const -> model_load
{
    auto sum = model_load{};
    sum.model = name_key(model);
    for (const auto& [name, gate] : gates_) {
        const auto models = models_of(targets_.at(name));
        const auto serves = std::find(models.begin(), models.end(), model) != models.end();
        if (gate.role == gate_role::primary && serves) {
            sum.engines += 1;
            sum.cost += static_cast<std::uint64_t>(gate_load(gate));
        }
    }
    return sum;
}

auto gate_service::publish_loads() -> void
{
    published_loads_.clear();
    auto loads = std::vector<model_load>{};
    for (const auto& service : config_.text().config->services) {
        for (const auto& model : service.models) {
            const auto load = own_load(model);
            if (load.engines > 0) {
                loads.push_back(load);
                published_loads_[model] = load.cost;
            }
        }
    }
    cluster_.set_load(std::move(loads));
}

/// Derives from configuration and instance list, once for all requests: the number of engines that
/// may receive requests of each model, and the services that are unusable.
auto gate_service::count_serving_engines() -> void
{
    const auto& config = *config_.text().config;
    serving_engines_.clear();
    auto served = std::set<std::string>{};
    for (const auto& [name, target] : targets_) {
        if (target.state != listed_state::live ||
            zone_is_out_of_service(config, target.target.zone)) {
            continue;
        }
        served.insert(target.target.service);
        for (const auto& model : models_of(target)) {
            serving_engines_[model] += 1;
        }
    }
    auto without_target = std::vector<std::string>{};
    for (const auto& service : config.services) {
        if (!served.contains(service.name)) {
            without_target.push_back(service.name);
        }
    }
    unusable_services_ = unusable_services(config, without_target);
}

auto gate_service::service_usable(const std::string& service) const -> bool
{
    return std::find(unusable_services_.begin(), unusable_services_.end(), service) ==
           unusable_services_.end();
}

/// Mean load of a model's engines, from the gossiped sums with this instance's current part. The
/// sum is divided by all engines that may receive requests, because an engine whose gate has just
/// left or died is missing from the sums and from their engine count, which would raise the mean.
auto gate_service::current_mean(const std::string& model) const -> std::optional<fleet_model_load>
{
    auto fleet = fleet_load_of(cluster_.membership(), model, monotonic_now());
    if (!fleet || fleet->engines == 0) {
        return std::nullopt;
    }
    auto total = fleet->mean_cost * fleet->engines;
    const auto published = published_loads_.find(model);
    if (published != published_loads_.end()) {
        total += static_cast<double>(own_load(model).cost) - static_cast<double>(published->second);
    }
    const auto serving = serving_engines_.find(model);
    if (serving != serving_engines_.end()) {
        fleet->engines = std::max(fleet->engines, serving->second);
    }
    fleet->mean_cost = std::max(0.0, total / fleet->engines);
    return fleet;
}

auto gate_service::update_mean(gate& gate, time_point now) -> void
{
    const auto models = models_of(targets_.at(gate.target));
    if (models.empty()) {
        return;
    }
    const auto own = own_load(models.front());
    const auto own_mean = own.engines > 0 ? static_cast<double>(own.cost) / own.engines : 0.0;
    if (const auto fleet = current_mean(models.front())) {
        set_mean_load(gate, fleet->mean_cost, own_mean, now - fleet->age);
    }
}

} // namespace cyclamenpost
