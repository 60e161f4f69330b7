#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// One target's load as instances tell each other.
struct shared_load {
    /// Key of the target's id (name_key).
    std::uint32_t target = 0;
    /// Requests that ran or waited there.
    std::uint32_t requests = 0;
    /// Time since the target reported them.
    duration age{};
};

/// Instances to which one instance sends load reports.
struct load_recipients {
    /// Gets what this instance read in answers. Empty at the collector itself.
    std::string collector;
    /// Get all that the collector knows. Empty at the others.
    std::vector<std::string> zone_peers;
    /// Collectors of the other zones get what is known in this zone. Empty at the others.
    std::vector<std::string> other_collectors;
};

/// Decides who exchanges load reports with this instance. One instance of each zone, its first
/// store reader, collects those of its zone, swaps them with the collectors of the other zones and
/// tells its zone, so that an instance sends one message a period however large the fleet is.
/// `members` holds the live instances by zone.
auto load_recipients_of(const std::map<std::string, std::vector<std::string>>& members,
                        const std::string& own_id, const std::string& own_zone) -> load_recipients;

/// Reports learnt after a time from the given origin or a nearer one, unless they are too old to
/// count.
auto loads_received_after(const target_table& table, time_point after, report_origin farthest,
                          time_point now) -> std::vector<shared_load>;

/// Takes over the reports of another instance that are newer than the own ones.
auto merge_shared_loads(target_table& table, const std::vector<shared_load>& loads,
                        report_origin origin, time_point now) -> void;

} // namespace cyclamenpost
