#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include "fleet_config_detail.hpp"

namespace cyclamenpost::detail {

namespace {

struct check_context {
    const toml::table& root;
    const fleet_config& config;
    problem_list& problems;
};

// names of one kind: in the order of the text for hints, and hashed for look-ups
struct name_set {
    std::vector<std::string> ordered;
    std::unordered_set<std::string> lookup;
};

auto add_name(name_set& names, const std::string& name) -> bool
{
    if (!names.lookup.insert(name).second) {
        return false;
    }
    names.ordered.push_back(name);
    return true;
}

template <typename Entry>
auto names_of(const std::vector<Entry>& entries) -> name_set
{
    auto names = name_set{};
    for (const auto& entry : entries) {
        if (!entry.name.empty()) {
            add_name(names, entry.name);
        }
    }
    return names;
}

auto report_duplicate(check_context& context, const toml::source_region& where,
                      const std::string& what, const std::string& name) -> void
{
    add_problem(context.problems, error_id::text_duplicate_name, where,
                what + " \"" + name + "\" occurs twice", "remove or rename one of them");
}

auto report_unknown(check_context& context, const toml::source_region& where,
                    const std::string& what, const std::string& name, const name_set& known) -> void
{
    if (is_full(context.problems)) {
        return;
    }
    add_problem(context.problems, error_id::text_unknown_name, where,
                "unknown " + what + " \"" + name + "\"", hint_for(name, known.ordered));
}

// checks that all entries of a section have different values of a field
template <typename Entry>
auto check_unique(check_context& context, std::string_view section, std::string_view key,
                  const std::vector<Entry>& entries, std::string Entry::*field) -> void
{
    auto seen = std::unordered_set<std::string>{};
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto& value = entries[i].*field;
        if (!value.empty() && !seen.insert(value).second) {
            report_duplicate(context, position_of(context.root, section, i, key),
                             std::string(section) + " " + std::string(key), value);
        }
    }
}

struct list_location {
    std::string_view section;
    std::size_t section_index;
    std::string_view key;
};

// checks that every name of a list is known and occurs once
auto check_list(check_context& context, list_location location,
                const std::vector<std::string>& names, const std::string& what,
                const name_set& known) -> void
{
    auto seen = std::unordered_set<std::string>{};
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i].empty()) {
            continue;
        }
        const auto where =
            position_of(context.root, location.section, location.section_index, location.key, i);
        if (!known.lookup.contains(names[i])) {
            report_unknown(context, where, what, names[i], known);
        }
        else if (!seen.insert(names[i]).second) {
            report_duplicate(context, where, what, names[i]);
        }
    }
}

auto known_zones(const fleet_config& config) -> name_set
{
    auto zones = name_set{};
    for (const auto& zone : config.fleet.zones) {
        add_name(zones, zone);
    }
    if (!config.fleet.zones.empty()) {
        return zones;
    }
    for (const auto& target : config.targets) {
        add_name(zones, target.zone);
    }
    return zones;
}

auto check_zones(check_context& context) -> void
{
    const auto& fleet = context.config.fleet;
    const auto zones = known_zones(context.config);
    if (zones.ordered.empty() && !fleet.zones_out.empty()) {
        // a misspelt name cannot be detected, and the zone that was meant would stay in service
        add_problem(context.problems, error_id::text_unknown_name,
                    position_of(context.root, "fleet", 0, "zones_out"),
                    "zones_out names zones, but the text has no targets and no list of zones",
                    "add zones = [...] with all zones to [fleet]");
        return;
    }
    check_list(context, {"fleet", 0, "zones"}, fleet.zones, "zone", zones);
    check_list(context, {"fleet", 0, "zones_out"}, fleet.zones_out, "zone", zones);
}

auto check_models_unique(check_context& context) -> void
{
    auto seen = std::unordered_set<std::string>{};
    const auto& services = context.config.services;
    for (std::size_t i = 0; i < services.size(); ++i) {
        for (std::size_t j = 0; j < services[i].models.size(); ++j) {
            const auto& model = services[i].models[j];
            if (!model.empty() && !seen.insert(model).second) {
                report_duplicate(context, position_of(context.root, "service", i, "models", j),
                                 "model", model);
            }
        }
    }
}

auto check_services(check_context& context) -> void
{
    const auto& services = context.config.services;
    const auto known = names_of(services);
    check_unique(context, "service", "name", services, &service_config::name);
    check_models_unique(context);
    for (std::size_t i = 0; i < services.size(); ++i) {
        check_list(context, {"service", i, "depends_on"}, services[i].depends_on, "service", known);
    }
}

auto check_target(check_context& context, std::size_t index, const name_set& services,
                  const name_set& zones) -> void
{
    const auto& target = context.config.targets[index];
    const auto location = [&](std::string_view key) {
        return position_of(context.root, "target", index, key);
    };
    if (!target.zone.empty() && !zones.lookup.contains(target.zone)) {
        report_unknown(context, location("zone"), "zone", target.zone, zones);
    }
    if (target.service.empty()) {
        return;
    }
    if (!services.lookup.contains(target.service)) {
        report_unknown(context, location("service"), "service", target.service, services);
        return;
    }
    if (!target.models.empty()) {
        auto models = name_set{};
        for (const auto& model : service_by_name(context.config, target.service)->models) {
            add_name(models, model);
        }
        check_list(context, {"target", index, "models"}, target.models, "model", models);
    }
}

auto check_targets(check_context& context) -> void
{
    const auto& targets = context.config.targets;
    const auto services = names_of(context.config.services);
    const auto zones = known_zones(context.config);
    check_unique(context, "target", "name", targets, &target_config::name);
    // a process listed as two targets would receive twice its load limit
    check_unique(context, "target", "address", targets, &target_config::address);
    for (std::size_t i = 0; i < targets.size() && !is_full(context.problems); ++i) {
        check_target(context, i, services, zones);
    }
}

// dependencies of each service, as indexes of services; a resolved service is in no cycle that is
// yet to be reported
struct dependency_graph {
    std::vector<std::vector<std::size_t>> dependencies;
    std::vector<bool> resolved;
};

auto make_graph(const fleet_config& config) -> dependency_graph
{
    auto index = std::unordered_map<std::string, std::size_t>{};
    for (std::size_t i = 0; i < config.services.size(); ++i) {
        index.emplace(config.services[i].name, i);
    }
    auto graph = dependency_graph{};
    graph.resolved.resize(config.services.size());
    for (const auto& service : config.services) {
        auto& dependencies = graph.dependencies.emplace_back();
        for (const auto& name : service.depends_on) {
            const auto found = index.find(name);
            if (found != index.end()) {
                dependencies.push_back(found->second);
            }
        }
    }
    return graph;
}

// marks services as resolved whose dependencies all are, until there are no more (Kahn's algorithm)
auto resolve(dependency_graph& graph) -> void
{
    auto unresolved_dependencies = std::vector<std::size_t>(graph.dependencies.size());
    auto dependents = std::vector<std::vector<std::size_t>>(graph.dependencies.size());
    auto ready = std::vector<std::size_t>{};
    for (std::size_t i = 0; i < graph.dependencies.size(); ++i) {
        for (const auto dependency : graph.dependencies[i]) {
            if (!graph.resolved[dependency]) {
                ++unresolved_dependencies[i];
                dependents[dependency].push_back(i);
            }
        }
        if (unresolved_dependencies[i] == 0 && !graph.resolved[i]) {
            ready.push_back(i);
        }
    }
    while (!ready.empty()) {
        const auto service = ready.back();
        ready.pop_back();
        graph.resolved[service] = true;
        for (const auto dependent : dependents[service]) {
            if (--unresolved_dependencies[dependent] == 0 && !graph.resolved[dependent]) {
                ready.push_back(dependent);
            }
        }
    }
}

// each unresolved service depends on an unresolved one, so a walk along these must reach a service
// for the second time
auto find_cycle(const dependency_graph& graph, std::size_t start) -> std::vector<std::size_t>
{
    auto position = std::unordered_map<std::size_t, std::size_t>{};
    auto path = std::vector<std::size_t>{};
    auto current = start;
    while (position.emplace(current, path.size()).second) {
        path.push_back(current);
        const auto& dependencies = graph.dependencies[current];
        current = *std::find_if(dependencies.begin(), dependencies.end(),
                                [&](auto dependency) { return !graph.resolved[dependency]; });
    }
    path.erase(path.begin(), path.begin() + static_cast<std::ptrdiff_t>(position[current]));
    return path;
}

auto report_cycle(check_context& context, const std::vector<std::size_t>& cycle) -> void
{
    const auto& services = context.config.services;
    auto names = std::string{};
    for (const auto service : cycle) {
        names += services[service].name + " -> ";
    }
    names += services[cycle.front()].name;
    add_problem(context.problems, error_id::text_dependency_cycle,
                position_of(context.root, "service", cycle.front(), "depends_on"),
                "the dependencies of services form a cycle: " + names,
                "remove one of these dependencies");
}

auto check_cycles(check_context& context) -> void
{
    auto graph = make_graph(context.config);
    resolve(graph);
    while (!is_full(context.problems)) {
        const auto unresolved = std::find(graph.resolved.begin(), graph.resolved.end(), false);
        if (unresolved == graph.resolved.end()) {
            return;
        }
        const auto start = static_cast<std::size_t>(unresolved - graph.resolved.begin());
        const auto cycle = find_cycle(graph, start);
        report_cycle(context, cycle);
        for (const auto service : cycle) {
            graph.resolved[service] = true;
        }
        resolve(graph);
    }
}

} // namespace

auto check_references(const toml::table& root, const fleet_config& config, problem_list& problems)
    -> void
{
    auto context = check_context{root, config, problems};
    check_zones(context);
    check_services(context);
    check_targets(context);
    check_unique(context, "organisation", "name", config.organisations, &organisation_config::name);
    check_cycles(context);
}

} // namespace cyclamenpost::detail
