#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/limits/retries.hpp"
#include "cyclamenpost/routing/route_table.hpp"
#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// What one instance believes of the fleet, as the request path uses it. Owned by the entry
/// instance; the store reader and the peers change it, the forwarder reads it.
struct fleet_view {
    std::string own_id;
    /// Null before the first configuration.
    std::shared_ptr<const route_table> routes;
    target_table targets;
    /// A list of targets has been read.
    bool targets_known = false;
    /// Ids of all known instances, this one included.
    std::vector<std::string> members;
    std::map<std::string, retry_budget, std::less<>> retry_budgets;
    retry_settings retries;
    suspect_table suspects;
    /// The instance is ending and its directory entries have run out; what arrives now could not be
    /// finished in time.
    bool closing = false;
    bool draining = false;
};

} // namespace cyclamenpost
