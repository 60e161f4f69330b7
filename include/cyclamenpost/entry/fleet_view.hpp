#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cyclamenpost/entry/entry_settings.hpp"
#include "cyclamenpost/entry/start_steps.hpp"
#include "cyclamenpost/limits/crash_evidence.hpp"
#include "cyclamenpost/limits/retries.hpp"
#include "cyclamenpost/routing/route_table.hpp"
#include "cyclamenpost/routing/shutdown_plan.hpp"
#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// State of the fleet as one instance knows it, for the request path. Owned by the entry instance,
/// which updates it from the store and from peers. The forwarder reads it and records in it
/// requests, target health, retries and crash suspects.
struct fleet_view {
    /// Id of this instance.
    std::string own_id;
    /// Optional parts that are switched on.
    traffic_options options;
    /// Null before the first configuration.
    std::shared_ptr<const route_table> routes;
    target_table targets;
    /// The targets are known, and nothing known may be older than what the instance knew before a
    /// restart (`knows_enough`). Until then requests are refused.
    bool up_to_date = false;
    /// The instance has just started and its first call to the store is still in progress, which
    /// mostly takes less than a second. Requests are held meanwhile instead of being refused.
    bool first_listing_expected = false;
    /// Ids of all known instances, this one included; empty until the membership has settled.
    std::vector<std::string> members;
    /// Retry budgets by service.
    std::map<std::string, retry_budget, std::less<>> retry_budgets;
    /// This instance's part of the fleet's retry budget.
    retry_settings retries;
    /// What is known of requests that crash targets.
    crash_evidence crashes;
    /// Times of the graceful shutdown that has begun, if any.
    std::optional<shutdown_plan> stopping;
    /// Times of the instance's start.
    start_steps start;
};

} // namespace cyclamenpost
