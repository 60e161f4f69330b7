#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// One target's load, as exchanged between instances.
struct shared_load {
    /// Key of the target's id (`name_key`).
    std::uint32_t target = 0;
    /// Requests that were running or queued there.
    std::uint32_t requests = 0;
    /// Time since the target's report.
    duration age{};
    /// Time that processing takes at the target, as a multiple of the usual time.
    double pace = 1;
};

/// Instances to which this instance sends load reports.
struct load_recipients {
    /// Collector of the own zone; receives the loads from answers to this instance. Empty at the
    /// collector itself.
    std::string collector;
    /// Other instances of the zone; receive all loads that the collector knows. Empty unless this
    /// instance is the collector.
    std::vector<std::string> zone_peers;
    /// Collectors of the other zones; receive the loads reported in this zone. Empty unless this
    /// instance is the collector.
    std::vector<std::string> other_collectors;
};

/// Determines the recipients of this instance's load reports. One instance of each zone, its first
/// store reader, collects the reports of its zone, exchanges them with the collectors of the other
/// zones and distributes all of them in its zone. An ordinary instance thus sends one message per
/// period, whatever the size of the fleet. `members` holds the live instances by zone.
auto load_recipients_of(const std::map<std::string, std::vector<std::string>>& members,
                        const std::string& own_id, const std::string& own_zone) -> load_recipients;

/// Load reports that were received after a time, from the given origin or a nearer one, and are not
/// older than `max_load_age`.
auto loads_received_after(const target_table& table, time_point after, report_origin farthest,
                          time_point now) -> std::vector<shared_load>;

/// Stores those load reports of another instance that are newer than the ones known here.
auto merge_shared_loads(target_table& table, const std::vector<shared_load>& loads,
                        report_origin origin, time_point now) -> void;

} // namespace cyclamenpost
