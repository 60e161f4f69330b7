#pragma once

#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Addresses, location and limits of an entry instance. Addresses are "ip:port".
struct entry_settings {
    std::string name;
    std::string zone;
    std::string region;
    /// Listen address for callers' requests.
    std::string front_address;
    /// Listen address for the platform's readiness probes; empty for none.
    std::string readiness_address;
    /// Listen address for directory queries, by which callers find instances; empty for none.
    std::string directory_address;
    /// Listen address for messages of other instances; also this instance's id in the fleet.
    std::string peer_address;
    /// Peer addresses of instances through which this one joins the fleet.
    std::vector<std::string> seeds;
    std::string store_address;
    /// Interval at which targets renew their entries in the store.
    duration target_heartbeat = std::chrono::milliseconds{1200};
    /// Time for which a target that leaves still serves.
    duration target_drain_time = std::chrono::seconds{2};
    /// Listen address of the metrics endpoint; empty for none.
    std::string metrics_address;
    unsigned max_connections = 1024;
    /// Memory that the process may use, in bytes.
    std::size_t memory_bytes = std::size_t{256} << 20U;

    /// Time after a start until the member list counts as complete; joining takes one or two
    /// probes. Until then cold targets get no requests and the retry slack is 0.
    duration membership_settle_time = std::chrono::milliseconds{2500};
    /// Time from a stop request until the platform kills the process.
    duration shutdown_grace = std::chrono::seconds{8};
    /// Longest time for which callers may cache a directory answer.
    duration max_directory_ttl = std::chrono::seconds{5};
    /// Retries and other extra attempts per request, for the whole fleet.
    double retry_budget_ratio = 0.2;
    /// Extra attempts allowed in each window of 10 s on top of the ratio, for the whole fleet.
    double retry_slack = 0;
    /// Requests that the fleet may send to a cold target: its rate times `cold_over`, plus
    /// `cold_slack`.
    double cold_over = 1;
    double cold_slack = 0;
};

} // namespace cyclamenpost
