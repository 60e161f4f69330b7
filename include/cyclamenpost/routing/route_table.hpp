#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Whether and how a route's requests may be retried.
enum class route_kind { idempotent, non_idempotent, stream };

inline constexpr std::array route_kind_names{
    enum_name<route_kind>{route_kind::idempotent, "idempotent"},
    enum_name<route_kind>{route_kind::non_idempotent, "non_idempotent"},
    enum_name<route_kind>{route_kind::stream, "stream"},
};

/// A service of a route with its share of the route's requests.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Routing rule for the requests of one host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    route_kind kind = route_kind::idempotent;
    /// Longest time until the answer is complete.
    duration timeout = std::chrono::seconds{10};
    /// Latency objective of an answer, or of a stream's first event.
    duration latency_objective = std::chrono::seconds{1};
    /// Longest pause between two events of a stream that is on time; 0 when not stated.
    duration event_gap_objective{};
    /// Most targets at which one request may run.
    std::uint32_t max_attempts = 1;
    /// 0 is the highest priority.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Callers need no API key.
    bool allow_anonymous = false;
    /// Requests name the parts of their prompt; they are routed to targets that have them cached.
    bool prompt_affinity = false;
    /// An interrupted stream may be resumed at another target.
    bool resumable = false;
};

/// Settings of a service, a group of interchangeable targets.
struct service_settings {
    std::string name;
    std::uint32_t max_connections = 0;
    /// Warm-up time of a target after its start.
    duration cold_time{};
    /// Requests per second that a cold target can handle; 0 when targets need no warm-up.
    double cold_per_second = 0;
    /// Requests that one target runs concurrently; 0 when only the targets report it.
    std::uint32_t capacity = 0;
};

/// Limits on callers' requests.
struct request_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4U << 20U;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
};

/// A customer and the API keys of its callers.
struct organisation {
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<int> priority;
};

/// One version of the configuration, with indexes for the request path (`index_routes`).
struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_settings> services;
    /// Callers need the key of an organisation, except on routes that allow anonymous ones. It does
    /// not follow from `organisations`: with an empty list no key is valid.
    bool requires_keys = false;
    std::vector<organisation> organisations;
    request_limits limits;
    /// Positions in `routes` by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
    /// Positions in `organisations` by API key.
    std::unordered_map<std::string, std::size_t> organisation_by_key;
    /// Positions in `services` by name.
    std::unordered_map<std::string, std::size_t> service_by_name;
};

/// Rebuilds the indexes from `routes`, `organisations` and `services`.
auto index_routes(route_table& table) -> void;

/// Finds the route of the host with the longest prefix that matches the path; null without one. The
/// host's port and letter case are ignored.
auto match_route(const route_table& table, std::string_view host, std::string_view path)
    -> const route*;

/// Finds the organisation of an API key; null for an unknown key.
auto find_organisation(const route_table& table, std::string_view key) -> const organisation*;

/// Finds the settings of a service; null for an unknown service.
auto find_service(const route_table& table, std::string_view name) -> const service_settings*;

/// Selects the service of one request by weight. `request_hash` is any number that
/// varies between requests.
auto choose_service(const route& rule, std::uint64_t request_hash) -> const std::string&;

/// Whether a request of the route may safely run more than once.
auto repeatable(const route& rule) -> bool;

} // namespace cyclamenpost
