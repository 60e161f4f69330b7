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

/// What may be repeated of a route's requests.
enum class route_kind { idempotent, non_idempotent, stream };

inline constexpr std::array route_kind_names{
    enum_name<route_kind>{route_kind::idempotent, "idempotent"},
    enum_name<route_kind>{route_kind::non_idempotent, "non_idempotent"},
    enum_name<route_kind>{route_kind::stream, "stream"},
};

/// Part of a route's requests that goes to one service.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Rule for the requests of one host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    route_kind kind = route_kind::idempotent;
    /// Longest time until the final answer.
    duration timeout = std::chrono::seconds{10};
    /// Time within which an answer, or a stream's first event, is on time.
    duration latency_objective = std::chrono::seconds{1};
    /// Most targets to which one request is sent.
    std::uint32_t max_attempts = 1;
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Callers need no key.
    bool allow_anonymous = false;
    /// Requests name the parts of a prompt, which targets keep in memory.
    bool prompt_affinity = false;
    /// An interrupted stream may go on at another target.
    bool resumable = false;
};

/// A group of interchangeable targets.
struct service_settings {
    std::string name;
    std::uint32_t max_connections = 0;
    /// How long a target stays cold after its start.
    duration cold_time{};
    /// Requests a second that a cold target bears; 0 when targets are never cold.
    double cold_per_second = 0;
    /// Requests that one target runs at once; 0 when only the targets themselves say it.
    std::uint32_t capacity = 0;
};

/// Bounds of what a caller may send.
struct request_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4U << 20U;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
};

/// A customer and the keys of its callers.
struct organisation {
    std::string name;
    std::vector<std::string> keys;
    /// Takes precedence over the route's priority.
    std::optional<int> priority;
};

/// One configuration, indexed for the request path. Built by `index_routes`.
struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_settings> services;
    std::vector<organisation> organisations;
    request_limits limits;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
    std::unordered_map<std::string, std::size_t> organisation_by_key;
    std::unordered_map<std::string, std::size_t> service_by_name;
};

/// Fills the indexes after the lists have been set.
auto index_routes(route_table& table) -> void;

/// Route with the longest prefix that begins the path. The host is compared without its port and
/// without regard to case.
auto match_route(const route_table& table, std::string_view host, std::string_view path)
    -> const route*;

/// Organisation that holds the key; null for an unknown one.
auto find_organisation(const route_table& table, std::string_view key) -> const organisation*;

/// Rule of a service; null for an unknown one.
auto find_service(const route_table& table, std::string_view name) -> const service_settings*;

/// Service of one request, drawn by weight. `draw` is any number that differs between requests.
auto choose_service(const route& rule, std::uint64_t draw) -> const std::string&;

/// Whether requests of the route may run more than once.
auto repeatable(const route& rule) -> bool;

} // namespace cyclamenpost
