#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// What an instance has heard of the others since its start.
struct member_knowledge {
    duration since_start{};
    /// Time since it first heard of another instance; none if it never has.
    std::optional<duration> since_contact;
    /// Its settings name others through which it is to join the fleet.
    bool expects_others = false;
    /// Time after a start until the list of members counts as complete.
    duration settle_time{};
};

/// Whether the list of members is complete enough to divide by their number what the whole fleet
/// shares. An instance that expects others and has heard of none does not know the size of the
/// fleet: it is no fleet of one.
auto knows_fleet_size(const member_knowledge& known) -> bool;

/// Whether the seeds name an instance other than this one.
auto names_others(const std::vector<std::string>& seeds, const std::string& own_address) -> bool;

} // namespace cyclamenpost
