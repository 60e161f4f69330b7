#include <algorithm>
#include <unordered_map>

#include "cyclamenpost/configuration/fleet_config.hpp"

namespace cyclamenpost {

namespace {

using sentences = std::vector<std::string>;

auto format_value(const std::string& text) -> std::string
{
    return text;
}

auto format_value(bool flag) -> std::string
{
    return flag ? "true" : "false";
}

auto format_value(std::uint32_t number) -> std::string
{
    return std::to_string(number);
}

auto format_value(double number) -> std::string
{
    auto text = std::to_string(number);
    text.erase(std::max(text.find_last_not_of('0'), text.find('.') + 1) + 1);
    return text;
}

auto format_value(std::chrono::milliseconds time) -> std::string
{
    return std::to_string(time.count()) + " ms";
}

auto format_value(service_kind kind) -> std::string
{
    return std::string(name_in(service_kind_names, kind));
}

auto format_value(const std::vector<std::string>& names) -> std::string
{
    if (names.empty()) {
        return "nothing";
    }
    auto text = std::string{};
    for (const auto& name : names) {
        text += (&name == names.data() ? "" : ", ") + name;
    }
    return text;
}

// the subject of the sentences and the list to which they are added
struct change_list {
    std::string subject;
    sentences& lines;
};

template <typename Value>
auto compare(change_list changes, const char* what, const Value& before, const Value& after) -> void
{
    if (before != after) {
        changes.lines.push_back(changes.subject + ": " + what + " changes from " +
                                format_value(before) + " to " + format_value(after) + ".");
    }
}

auto compare_zones(sentences& lines, const fleet_section& before, const fleet_section& after)
    -> void
{
    const auto missing_in = [](const auto& names, const auto& zone) {
        return std::find(names.begin(), names.end(), zone) == names.end();
    };
    for (const auto& zone : after.zones_out) {
        if (missing_in(before.zones_out, zone)) {
            lines.push_back("Zone " + zone + " is taken out of service: it receives no new work.");
        }
    }
    for (const auto& zone : before.zones_out) {
        if (missing_in(after.zones_out, zone)) {
            lines.push_back("Zone " + zone +
                            " returns to service: its targets go through a cold start.");
        }
    }
}

auto compare_fleet(sentences& lines, const fleet_section& before, const fleet_section& after)
    -> void
{
    const auto changes = change_list{"Fleet", lines};
    compare(changes, "the name", before.name, after.name);
    compare(changes, "the load multiple", before.load_multiple, after.load_multiple);
    compare(changes, "the list of zones", before.zones, after.zones);
    compare(changes, "the weight store's rate per second", before.weight_store_rate,
            after.weight_store_rate);
    compare_zones(lines, before, after);
}

auto compare_entry(sentences& lines, const service_config& before, const service_config& after)
    -> void
{
    const auto changes = change_list{"Service " + after.name, lines};
    compare(changes, "the kind", before.kind, after.kind);
    compare(changes, "the list of models", before.models, after.models);
    compare(changes, "the list of services it depends on", before.depends_on, after.depends_on);
    compare(changes, "the cold limit", before.cold_limit, after.cold_limit);
    compare(changes, "repeatable", before.repeatable, after.repeatable);
    compare(changes, "the list of repeatable methods", before.repeatable_methods,
            after.repeatable_methods);
    compare(changes, "the connect timeout", before.connect_timeout, after.connect_timeout);
    compare(changes, "the first-byte timeout", before.first_byte_timeout, after.first_byte_timeout);
    compare(changes, "the request timeout", before.request_timeout, after.request_timeout);
}

auto compare_entry(sentences& lines, const target_config& before, const target_config& after)
    -> void
{
    const auto changes = change_list{"Target " + after.name, lines};
    compare(changes, "the service", before.service, after.service);
    compare(changes, "the zone", before.zone, after.zone);
    compare(changes, "the address", before.address, after.address);
    compare(changes, "the list of models", before.models, after.models);
    compare(changes, "checks_fencing", before.checks_fencing, after.checks_fencing);
}

auto compare_entry(sentences& lines, const organisation_config& before,
                   const organisation_config& after) -> void
{
    const auto changes = change_list{"Organisation " + after.name, lines};
    compare(changes, "the weight", before.weight, after.weight);
    compare(changes, "the concurrency limit", before.max_concurrent, after.max_concurrent);
}

template <typename Entry>
auto by_name(const std::vector<Entry>& entries) -> std::unordered_map<std::string, const Entry*>
{
    auto index = std::unordered_map<std::string, const Entry*>{};
    for (const auto& entry : entries) {
        index.emplace(entry.name, &entry);
    }
    return index;
}

template <typename Entry>
auto compare_lists(sentences& lines, const std::string& what, const std::vector<Entry>& before,
                   const std::vector<Entry>& after) -> void
{
    const auto old_entries = by_name(before);
    const auto new_entries = by_name(after);
    for (const auto& entry : before) {
        if (!new_entries.contains(entry.name)) {
            lines.push_back(what + " " + entry.name + " is removed.");
        }
    }
    for (const auto& entry : after) {
        const auto found = old_entries.find(entry.name);
        if (found == old_entries.end()) {
            lines.push_back(what + " " + entry.name + " is added.");
            continue;
        }
        compare_entry(lines, *found->second, entry);
    }
}

} // namespace

auto diff(const fleet_config& before, const fleet_config& after) -> std::vector<std::string>
{
    auto lines = sentences{};
    compare_fleet(lines, before.fleet, after.fleet);
    compare_lists(lines, "Service", before.services, after.services);
    compare_lists(lines, "Target", before.targets, after.targets);
    compare_lists(lines, "Organisation", before.organisations, after.organisations);
    return lines;
}

} // namespace cyclamenpost
