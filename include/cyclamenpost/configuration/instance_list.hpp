#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/configuration/config_state.hpp"

namespace cyclamenpost {

/// Whether a listed instance or target stays in service or is about to leave.
enum class listed_state { live, leaving };

inline constexpr std::array listed_state_names{
    enum_name<listed_state>{listed_state::live, "live"},
    enum_name<listed_state>{listed_state::leaving, "leaving"},
};

/// A router instance in the published list.
struct listed_instance {
    std::string id;
    std::string zone;
    std::string region;
    /// "IP:port" of the listener for callers.
    std::string http;
    /// "IP:port" of the message bus.
    std::string bus;
    listed_state state = listed_state::live;

    auto operator==(const listed_instance&) const -> bool = default;
};

/// A target in the published list.
struct listed_target {
    std::string id;
    std::string zone;
    std::string region;
    /// "IP:port" of the target's HTTP listener.
    std::string address;
    std::string service;
    service_kind kind = service_kind::application;
    listed_state state = listed_state::live;

    auto operator==(const listed_target&) const -> bool = default;
};

/// The platform's list of instances and targets.
struct instance_list {
    std::uint64_t version = 0;
    std::vector<listed_instance> instances;
    std::vector<listed_target> targets;
};

/// Parses the platform's JSON. Unknown fields are ignored; an absent state means live. Fails with
/// `platform_answer_invalid` when a field is missing or invalid, an id occurs twice or the list is
/// over the size limit.
auto parse_instance_list(std::string_view json) -> result<instance_list>;

/// Formats a list as JSON in the platform's format.
auto to_json(const instance_list& list) -> std::string;

/// The published list in force at one instance.
struct instance_list_state {
    text_history texts;
    /// Null until the first list was applied.
    std::shared_ptr<const instance_list> list;
    /// Newest last.
    std::deque<refused_version> refused;
};

/// Decides whether an offered list version should be fetched (`wanted`).
auto consider_list_offer(const instance_list_state& state, text_version offered) -> offer_result;

/// Puts a list in force if its version is higher than the current one, or equal with a larger
/// digest. A list that cannot be parsed is remembered as refused.
auto apply_list(instance_list_state& state, std::string json) -> offer_result;

/// The listed instance with the given id, or a null pointer.
auto instance_by_id(const instance_list& list, std::string_view id) -> const listed_instance*;

/// Ids of a zone's listed instances, sorted. With `only_live`, leaving ones are left out.
auto instances_of_zone(const instance_list& list, std::string_view zone, bool only_live = true)
    -> std::vector<std::string>;

/// Zones of the listed instances and targets, sorted.
auto zones_of(const instance_list& list) -> std::vector<std::string>;

/// Region of a zone, or an empty string when the list does not name the zone.
auto region_of_zone(const instance_list& list, std::string_view zone) -> std::string;

/// A target of the fleet, from the operator text or the published list.
struct fleet_target {
    target_config target;
    std::string region;
    service_kind kind = service_kind::application;
    listed_state state = listed_state::live;

    auto operator==(const fleet_target&) const -> bool = default;
};

/// All targets, sorted by name. An entry of the operator text takes precedence over a listed target
/// with the same name or address, except that the list's state applies. Listed targets of services
/// that the text does not have are left out.
auto targets_in_force(const fleet_config& config, const instance_list& list)
    -> std::vector<fleet_target>;

} // namespace cyclamenpost
