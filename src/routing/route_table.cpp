#include "cyclamenpost/routing/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace cyclamenpost {

namespace {

auto normalise_host(std::string_view host) -> std::string
{
    auto normalised = std::string{host.substr(0, host.find(':'))};
    std::transform(normalised.begin(), normalised.end(), normalised.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return normalised;
}

} // namespace

auto index_routes(route_table& table) -> void
{
    table.routes_by_host.clear();
    table.organisation_by_key.clear();
    table.service_by_name.clear();
    for (std::size_t index = 0; index < table.routes.size(); ++index) {
        table.routes_by_host[normalise_host(table.routes[index].host)].push_back(index);
    }
    for (auto& [host, indexes] : table.routes_by_host) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            return table.routes[left].prefix.size() > table.routes[right].prefix.size();
        });
    }
    for (std::size_t index = 0; index < table.organisations.size(); ++index) {
        for (const auto& key : table.organisations[index].keys) {
            table.organisation_by_key[key] = index;
        }
    }
    for (std::size_t index = 0; index < table.services.size(); ++index) {
        table.service_by_name[table.services[index].name] = index;
    }
}

auto match_route(const route_table& table, std::string_view host, std::string_view path)
    -> const route*
{
    const auto found = table.routes_by_host.find(normalise_host(host));
    if (found == table.routes_by_host.end()) {
        return nullptr;
    }
    for (const auto index : found->second) {
        if (path.starts_with(table.routes[index].prefix)) {
            return &table.routes[index];
        }
    }
    return nullptr;
}

auto find_organisation(const route_table& table, std::string_view key) -> const organisation*
{
    const auto found = table.organisation_by_key.find(std::string{key});
    return found == table.organisation_by_key.end() ? nullptr : &table.organisations[found->second];
}

auto find_service(const route_table& table, std::string_view name) -> const service_settings*
{
    const auto found = table.service_by_name.find(std::string{name});
    return found == table.service_by_name.end() ? nullptr : &table.services[found->second];
}

auto choose_service(const route& rule, std::uint64_t request_hash) -> const std::string&
{
    auto total = std::uint64_t{0};
    for (const auto& share : rule.services) {
        total += share.weight;
    }
    if (total == 0) {
        return rule.services.front().service;
    }
    auto remaining = request_hash % total;
    for (const auto& share : rule.services) {
        if (remaining < share.weight) {
            return share.service;
        }
        remaining -= share.weight;
    }
    return rule.services.back().service;
}

auto repeatable(const route& rule) -> bool
{
    return rule.kind == route_kind::idempotent ||
           (rule.kind == route_kind::stream && rule.resumable);
}

} // namespace cyclamenpost
