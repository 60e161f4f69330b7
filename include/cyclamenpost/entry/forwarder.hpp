#pragma once

#include <functional>
#include <list>
#include <memory>
#include <random>

#include "cyclamenpost/core/metrics.hpp"
#include "cyclamenpost/entry/fleet_view.hpp"
#include "cyclamenpost/entry/platform_codec.hpp"
#include "cyclamenpost/routing/target_choice.hpp"
#include "cyclamenpost/transport/http1_client.hpp"
#include "cyclamenpost/transport/http1_server.hpp"

namespace cyclamenpost {

namespace detail {
struct forward_job;
}

/// Times of the request path.
struct forwarder_settings {
    /// A connection that does not stand after this time is given up. A lost opening packet is sent
    /// again only after a second, and crossing zones takes milliseconds.
    duration connect_limit = std::chrono::milliseconds{300};
    /// An idle connection to a target is kept this long.
    duration idle_limit = std::chrono::seconds{8};
    /// Bytes that may wait for a slow caller before the target is no longer read.
    std::size_t max_unsent_bytes = 65536;
    /// Prompts whose last target is remembered; twelve bytes each.
    std::size_t prompt_entries = 8192;
    /// Largest whole answer, in bytes.
    std::size_t max_answer_bytes = std::size_t{16} << 20U;
};

/// The request path: finds route, organisation and target of each request, sends it and passes the
/// answer on. Owns its connections to the targets.
class forwarder {
public:
    forwarder(event_loop& loop, const platform_codec& codec, fleet_view& view,
              forwarder_settings settings, metric_registry& metrics);
    forwarder(const forwarder&) = delete;
    auto operator=(const forwarder&) -> forwarder& = delete;
    ~forwarder();

    /// Serves one request.
    auto handle(std::shared_ptr<server_exchange> exchange) -> void;

    /// Requests that have no final answer.
    auto running() const -> std::size_t;

    /// Sets who learns that a target died under a request.
    auto on_crash_report(std::function<void(const crash_report&)> spread) -> void;

private:
    friend struct detail::forward_job;
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace cyclamenpost
