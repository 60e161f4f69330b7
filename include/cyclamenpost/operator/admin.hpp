#pragma once

#include <functional>
#include <string>

#include "cyclamenpost/core/metrics.hpp"
#include "cyclamenpost/gates/gate_service.hpp"
#include "cyclamenpost/relay/relay.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost {

/// Components of the instance that the administration API uses.
struct admin_context {
    cluster_node& cluster;
    config_service& config;
    gate_service& gates;
    relay& requests;
    metric_registry& metrics;
    /// Bearer token that requests must carry; if empty, every request is refused.
    std::string token;
    /// Starts a graceful shutdown of the instance.
    std::function<void()> begin_shutdown;
    /// Whether a graceful shutdown is in progress.
    std::function<bool()> leaving;
};

/// Answers one request of the administration API. Apart from starting a shutdown, it only reads
/// state and updates gauges.
auto handle_admin(admin_context& context, const http_request& request, http_exchange& exchange)
    -> void;

/// Whether the value of an Authorization header is "Bearer " followed by the token. The comparison
/// takes the same time wherever the two differ, so that its duration does not reveal the token.
auto bearer_matches(std::string_view authorization, std::string_view token) -> bool;

} // namespace cyclamenpost
