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

/// Timeouts and limits of the request path.
struct forwarder_settings {
    /// Time limit for establishing a connection. A lost SYN is retransmitted only after a second,
    /// and the round trip between zones takes milliseconds.
    duration connect_timeout = std::chrono::milliseconds{300};
    /// Time after which an idle connection to a target is closed.
    duration idle_timeout = std::chrono::seconds{8};
    /// Bytes buffered for a slow caller before reading from the target pauses (back-pressure).
    std::size_t max_unsent_bytes = 65536;
    /// Prompts whose last target is remembered; 12 bytes each.
    std::size_t max_prompt_entries = 8192;
    /// Largest answer that is buffered whole, in bytes.
    std::size_t max_answer_bytes = std::size_t{16} << 20U;
    /// Largest event of a stream, in bytes.
    std::size_t max_event_bytes = std::size_t{256} << 10U;
    /// Requests that are held until a starting instance knows enough to handle them.
    std::size_t max_held_requests = 256;
    /// Bytes of answers that all requests may buffer together.
    std::size_t max_buffered_bytes = std::size_t{64} << 20U;
    /// Memory that the connections to targets may hold.
    std::size_t max_target_bytes = std::size_t{64} << 20U;
};

/// Buffer limits for a process that may use `memory_bytes`.
auto forwarder_settings_for(std::size_t memory_bytes) -> forwarder_settings;

/// Bytes of request bodies that a process that may use `memory_bytes` holds together. One body of
/// the largest size fits even if the figure for the memory is small or missing.
auto max_request_body_bytes(std::size_t memory_bytes, std::size_t largest_body) -> std::size_t;

/// The request path: finds route, organisation and target of each request, forwards the request and
/// returns the answer. Owns the connections to the targets.
class forwarder {
public:
    forwarder(event_loop& loop, const platform_codec& codec, fleet_view& view,
              forwarder_settings settings, metric_registry& metrics);
    forwarder(const forwarder&) = delete;
    auto operator=(const forwarder&) -> forwarder& = delete;
    ~forwarder();

    /// Handles one request of a caller.
    auto handle(std::shared_ptr<server_exchange> exchange) -> void;

    /// Handles the requests that were held while the instance was starting, after `fleet_view` has
    /// become current or can no longer be expected to become so soon.
    auto release_held() -> void;

    /// Answers the held requests whose time limit has passed, with `traffic_options::admission`.
    auto reject_overdue_held() -> void;
    /// Memory that answers and the connections to targets hold.
    auto held_bytes() const -> std::size_t;

    /// Limits the requests in progress to the time that a shutdown leaves them.
    auto limit_to_shutdown() -> void;

    /// Number of requests without a final answer.
    auto running() const -> std::size_t;

    /// Ends all requests, held ones too: those that certainly have not run are refused, the others
    /// get an error.
    auto end_all() -> void;

    /// Sets the function that is called when a target has ended before it began an answer.
    auto on_crash(std::function<void(const target_crash&)> report) -> void;

    /// Ends the requests whose content has turned out to crash targets, except those that are being
    /// answered.
    auto stop_blocked() -> void;

private:
    friend struct detail::forward_job;
    struct state;
    /// Answers a request that is not handed to any target.
    auto reject(server_exchange& exchange, int status, duration retry_after,
                const request_metadata& request, std::string_view cause) -> void;
    std::unique_ptr<state> state_;
};

} // namespace cyclamenpost
