#include "cyclamenpost/configuration/instance_list.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_set>

#include <nlohmann/json.hpp>

#include "cyclamenpost/core/address.hpp"

namespace cyclamenpost {

namespace {

using nlohmann::json;

constexpr auto max_field_bytes = std::size_t{128};

auto invalid(std::string message) -> leaf::error_id
{
    return fail(error_id::platform_answer_invalid, step::read_platform, "instance list",
                std::move(message));
}

auto read_string(const json& object, const char* key) -> result<std::string>
{
    const auto field = object.find(key);
    if (field == object.end() || !field->is_string()) {
        return invalid("an entry has no string \"" + std::string(key) + "\"");
    }
    auto text = field->get<std::string>();
    if (text.empty() || text.size() > max_field_bytes) {
        return invalid("\"" + std::string(key) + "\" of an entry is empty or too long");
    }
    return text;
}

auto read_address(const json& object, const char* key) -> result<std::string>
{
    BOOST_LEAF_AUTO(text, read_string(object, key));
    if (!is_ip_and_port(text)) {
        return invalid("\"" + text + "\" is not an IP address and port");
    }
    return text;
}

template <typename Enum, std::size_t Size>
auto read_enum(const json& object, const char* key, const std::array<enum_name<Enum>, Size>& names)
    -> result<Enum>
{
    BOOST_LEAF_AUTO(text, read_string(object, key));
    const auto value = value_in(names, text);
    if (!value) {
        return invalid("\"" + text + "\" is not a valid " + std::string(key));
    }
    return *value;
}

auto read_state(const json& object) -> result<listed_state>
{
    return object.contains("state") ? read_enum(object, "state", listed_state_names)
                                    : result<listed_state>{listed_state::live};
}

auto read_entry(const json& object, listed_instance& instance) -> result<void>
{
    BOOST_LEAF_ASSIGN(instance.id, read_string(object, "id"));
    BOOST_LEAF_ASSIGN(instance.zone, read_string(object, "zone"));
    BOOST_LEAF_ASSIGN(instance.region, read_string(object, "region"));
    BOOST_LEAF_ASSIGN(instance.http, read_address(object, "http"));
    BOOST_LEAF_ASSIGN(instance.bus, read_address(object, "bus"));
    BOOST_LEAF_ASSIGN(instance.state, read_state(object));
    return {};
}

auto read_entry(const json& object, listed_target& target) -> result<void>
{
    BOOST_LEAF_ASSIGN(target.id, read_string(object, "id"));
    BOOST_LEAF_ASSIGN(target.zone, read_string(object, "zone"));
    BOOST_LEAF_ASSIGN(target.region, read_string(object, "region"));
    BOOST_LEAF_ASSIGN(target.address, read_address(object, "address"));
    BOOST_LEAF_ASSIGN(target.service, read_string(object, "service"));
    BOOST_LEAF_ASSIGN(target.kind, read_enum(object, "kind", service_kind_names));
    BOOST_LEAF_ASSIGN(target.state, read_state(object));
    return {};
}

template <typename Entry>
auto read_entries(const json& document, const char* key, std::vector<Entry>& entries)
    -> result<void>
{
    const auto list = document.find(key);
    if (list == document.end() || !list->is_array()) {
        return invalid("there is no array \"" + std::string(key) + "\"");
    }
    auto seen = std::unordered_set<std::string>{};
    for (const auto& object : *list) {
        auto& entry = entries.emplace_back();
        if (!object.is_object()) {
            return invalid("an entry of \"" + std::string(key) + "\" is not an object");
        }
        BOOST_LEAF_CHECK(read_entry(object, entry));
        if (!seen.insert(entry.id).second) {
            return invalid("\"" + entry.id + "\" occurs twice in \"" + std::string(key) + "\"");
        }
    }
    return {};
}

auto version_of(const std::string& text, std::uint64_t version) -> text_version
{
    return {version, text_digest(text)};
}

auto refuse(instance_list_state& state, text_version id, std::string reason) -> offer_result
{
    const auto known = std::any_of(state.refused.begin(), state.refused.end(),
                                   [&](const auto& each) { return each.id == id; });
    if (known) {
        return offer_result::refused;
    }
    state.refused.push_back({id, std::move(reason)});
    if (state.refused.size() > max_refused_versions) {
        state.refused.pop_front();
    }
    return offer_result::refused;
}

auto from_listed(const listed_target& listed) -> fleet_target
{
    auto target = fleet_target{};
    target.target.name = listed.id;
    target.target.service = listed.service;
    target.target.zone = listed.zone;
    target.target.address = listed.address;
    target.region = listed.region;
    target.kind = listed.kind;
    target.state = listed.state;
    return target;
}

} // namespace

auto parse_instance_list(std::string_view text) -> result<instance_list>
{
    if (text.size() > published_text_max_bytes) {
        return invalid("the list exceeds the size limit");
    }
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return invalid("the list is not a JSON object");
    }
    const auto version = document.find("version");
    if (version == document.end() || !version->is_number_unsigned() || *version == 0U) {
        return invalid("the list has no version above 0");
    }
    auto list = instance_list{};
    list.version = version->get<std::uint64_t>();
    BOOST_LEAF_CHECK(read_entries(document, "instances", list.instances));
    BOOST_LEAF_CHECK(read_entries(document, "targets", list.targets));
    return list;
}

auto to_json(const instance_list& list) -> std::string
{
    auto document =
        json{{"version", list.version}, {"instances", json::array()}, {"targets", json::array()}};
    for (const auto& each : list.instances) {
        document["instances"].push_back({{"id", each.id},
                                         {"zone", each.zone},
                                         {"region", each.region},
                                         {"http", each.http},
                                         {"bus", each.bus},
                                         {"state", name_in(listed_state_names, each.state)}});
    }
    for (const auto& each : list.targets) {
        document["targets"].push_back({{"id", each.id},
                                       {"zone", each.zone},
                                       {"region", each.region},
                                       {"address", each.address},
                                       {"service", each.service},
                                       {"kind", name_in(service_kind_names, each.kind)},
                                       {"state", name_in(listed_state_names, each.state)}});
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto consider_list_offer(const instance_list_state& state, text_version offered) -> offer_result
{
    const auto& current = state.texts.current.id;
    if (offered == current) {
        return offer_result::in_force;
    }
    if (offered < current) {
        return offer_result::lower;
    }
    const auto refused = std::any_of(state.refused.begin(), state.refused.end(),
                                     [&](const auto& each) { return each.id == offered; });
    return refused ? offer_result::refused : offer_result::wanted;
}

auto apply_list(instance_list_state& state, std::string text) -> offer_result
{
    auto list = instance_list{};
    auto reason = std::string{};
    const auto parse = [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(list, parse_instance_list(text));
        return {};
    };
    if (!try_or(parse, [&](const error& failure) { reason = failure.message; })) {
        // the version of a list that cannot be parsed is unknown
        return refuse(state, version_of(text, 0), std::move(reason));
    }
    const auto id = version_of(text, list.version);
    const auto considered = consider_list_offer(state, id);
    if (considered != offer_result::wanted) {
        return considered;
    }
    state.list = std::make_shared<const instance_list>(std::move(list));
    replace_current(state.texts, {id, std::move(text)});
    return offer_result::applied;
}

auto instance_by_id(const instance_list& list, std::string_view id) -> const listed_instance*
{
    const auto found = std::find_if(list.instances.begin(), list.instances.end(),
                                    [&](const auto& instance) { return instance.id == id; });
    return found == list.instances.end() ? nullptr : &*found;
}

auto instances_of_zone(const instance_list& list, std::string_view zone, bool only_live)
    -> std::vector<std::string>
{
    auto ids = std::vector<std::string>{};
    for (const auto& instance : list.instances) {
        if (instance.zone == zone && (!only_live || instance.state == listed_state::live)) {
            ids.push_back(instance.id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

auto zones_of(const instance_list& list) -> std::vector<std::string>
{
    auto zones = std::set<std::string>{};
    for (const auto& instance : list.instances) {
        zones.insert(instance.zone);
    }
    for (const auto& target : list.targets) {
        zones.insert(target.zone);
    }
    return {zones.begin(), zones.end()};
}

auto region_of_zone(const instance_list& list, std::string_view zone) -> std::string
{
    for (const auto& instance : list.instances) {
        if (instance.zone == zone) {
            return instance.region;
        }
    }
    for (const auto& target : list.targets) {
        if (target.zone == zone) {
            return target.region;
        }
    }
    return {};
}

auto targets_in_force(const fleet_config& config, const instance_list& list)
    -> std::vector<fleet_target>
{
    auto kinds = std::map<std::string, service_kind>{};
    for (const auto& service : config.services) {
        kinds.emplace(service.name, service.kind);
    }
    // an address under two names would get two gates and thus twice its load bound
    auto configured_names = std::map<std::string, std::string>{};
    for (const auto& configured : config.targets) {
        configured_names.emplace(configured.address, configured.name);
    }
    auto targets = std::map<std::string, fleet_target>{};
    for (const auto& listed : list.targets) {
        const auto kind = kinds.find(listed.service);
        if (kind != kinds.end()) {
            const auto configured = configured_names.find(listed.address);
            const auto& name =
                configured == configured_names.end() ? listed.id : configured->second;
            auto& target = targets[name] = from_listed(listed);
            // the kind in the operator text takes precedence over the listed one
            target.kind = kind->second;
        }
    }
    for (const auto& configured : config.targets) {
        auto& target = targets[configured.name];
        target.target = configured;
        target.kind = kinds.at(configured.service);
        target.region = region_of_zone(list, configured.zone);
    }
    auto ordered = std::vector<fleet_target>{};
    for (auto& [name, target] : targets) {
        ordered.push_back(std::move(target));
    }
    return ordered;
}

} // namespace cyclamenpost
