#pragma once

#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Optional parts of the request path. Each is off unless the command line or the environment
/// switches it on.
struct traffic_options {
    /// Requests in flight, failures and pace of targets are exchanged between instances.
    bool fleet_load = false;
    /// Targets are chosen so that instances with the same old load reports do not all take the
    /// same one.
    bool even_load = false;
    /// Requests that wait for a target are ordered, and those that cannot be served are rejected at
    /// once.
    bool admission = false;
    /// A repeatable request leaves a target that is silent for longer than its service usually is.
    bool early_retry = false;
};

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
    traffic_options options;
};

} // namespace cyclamenpost
