#pragma once

#include <functional>
#include <string>

#include "cyclamenpost/core/metrics.hpp"
#include "cyclamenpost/gates/gate_service.hpp"
#include "cyclamenpost/relay/relay.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost {

/// Parts of the instance that the administration API shows.
struct admin_context {
    cluster_node& cluster;
    config_service& config;
    gate_service& gates;
    relay& requests;
    metric_registry& metrics;
    /// Bearer token; without one every request is refused.
    std::string token;
    std::function<void()> begin_shutdown;
    std::function<bool()> leaving;
};

/// Answers one request of the administration API. It changes no shared state.
auto handle_admin(admin_context& context, const http_request& request, http_exchange& exchange)
    -> void;

/// Whether an Authorization header carries the token. The time does not depend on where the two
/// differ.
auto bearer_matches(std::string_view authorization, std::string_view token) -> bool;

} // namespace cyclamenpost
