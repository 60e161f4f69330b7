#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include "cyclamenpost/configuration/fleet_config.hpp"

namespace cyclamenpost {

namespace {

template <typename Entry>
auto find_named(const std::vector<Entry>& entries, std::string_view name) -> const Entry*
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const auto& entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

auto contains(const std::vector<std::string>& names, std::string_view name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

auto service_by_name(const fleet_config& config, std::string_view name) -> const service_config*
{
    return find_named(config.services, name);
}

auto service_of_model(const fleet_config& config, std::string_view model) -> const service_config*
{
    for (const auto& service : config.services) {
        if (contains(service.models, model)) {
            return &service;
        }
    }
    return nullptr;
}

auto organisation_or_default(const fleet_config& config, std::string_view name)
    -> organisation_config
{
    const auto* listed = find_named(config.organisations, name);
    if (listed != nullptr) {
        return *listed;
    }
    auto default_entry = organisation_config{};
    default_entry.name = std::string(name);
    return default_entry;
}

auto targets_of(const fleet_config& config, std::string_view service)
    -> std::vector<const target_config*>
{
    auto targets = std::vector<const target_config*>{};
    for (const auto& target : config.targets) {
        if (target.service == service) {
            targets.push_back(&target);
        }
    }
    return targets;
}

auto may_repeat(const service_config& service, std::string_view method) -> bool
{
    return service.repeatable || contains(service.repeatable_methods, method);
}

auto zone_is_out_of_service(const fleet_config& config, std::string_view zone) -> bool
{
    return contains(config.fleet.zones_out, zone);
}

auto unusable_services(const fleet_config& config, const std::vector<std::string>& without_target)
    -> std::vector<std::string>
{
    auto dependents = std::unordered_map<std::string, std::vector<std::string>>{};
    for (const auto& service : config.services) {
        for (const auto& dependency : service.depends_on) {
            dependents[dependency].push_back(service.name);
        }
    }
    auto unusable = std::unordered_set<std::string>(without_target.begin(), without_target.end());
    auto pending = without_target;
    while (!pending.empty()) {
        const auto service = std::move(pending.back());
        pending.pop_back();
        for (const auto& dependent : dependents[service]) {
            if (unusable.insert(dependent).second) {
                pending.push_back(dependent);
            }
        }
    }
    auto ordered = std::vector<std::string>{};
    for (const auto& service : config.services) {
        if (unusable.contains(service.name)) {
            ordered.push_back(service.name);
        }
    }
    return ordered;
}

} // namespace cyclamenpost
