#pragma once

#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Where an entry instance runs and what bounds it keeps. Addresses are "ip:port".
struct entry_settings {
    std::string name;
    std::string zone;
    std::string region;
    /// Callers' requests.
    std::string front_address;
    /// Readiness questions of the platform.
    std::string readiness_address;
    /// Callers' questions which addresses to use.
    std::string directory_address;
    /// Messages of the other instances; also names this instance among them.
    std::string peer_address;
    std::vector<std::string> seeds;
    std::string store_address;
    std::string metrics_address;
    unsigned max_connections = 1024;

    /// Members are known about this long after a start; before, cold targets get nothing and
    /// nothing is retried on the fleet's account. Joining takes one or two probes.
    duration membership_settle_time = std::chrono::milliseconds{2500};
    /// Longest time from a request to stop until the process is killed.
    duration shutdown_grace = std::chrono::seconds{8};
    /// Longest time for which a directory answer may be kept.
    duration max_directory_ttl = std::chrono::seconds{5};
    /// Retries and extra arrivals per request that the whole fleet may cause.
    double retry_budget_ratio = 0.2;
    /// Further ones in each window of ten seconds, for the whole fleet.
    double retry_slack = 0;
    /// Allowance of cold targets: rate times `cold_over`, plus `cold_slack`.
    double cold_over = 1;
    double cold_slack = 0;
};

} // namespace cyclamenpost
