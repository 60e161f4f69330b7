#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cyclamenpost/configuration/published_text.hpp"
#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// Settings of the platform client.
struct platform_options {
    /// "IP:port" of the platform's service.
    std::string address;
    /// How long the platform holds a watch without a change.
    std::chrono::milliseconds watch_timeout{30000};
    /// Added to `watch_timeout`; a call that takes longer is abandoned and repeated.
    std::chrono::milliseconds call_timeout{5000};
    /// Seed of the retry jitter.
    std::uint64_t seed = 0;
};

/// What the client reports. All callbacks are called on the loop's thread.
struct platform_callbacks {
    /// An operator text that the platform holds. It may be older than the one in force.
    std::function<void(published_text text)> on_config;
    /// The published list as JSON, not parsed yet.
    std::function<void(std::string json)> on_instances;
    /// A call that failed. The client retries by itself.
    std::function<void(const error& failure)> on_failure;
    /// Versions in force, above which the client watches.
    std::function<std::uint64_t()> config_version;
    std::function<std::uint64_t()> list_version;
};

/// Calls that the client made since its start.
struct platform_counters {
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    /// Answers with a version that was not above the one asked for.
    std::uint64_t stale_answers = 0;
};

namespace detail {
struct platform_state;
} // namespace detail

/// Reads the operator text and the instance list once each, with full-jitter retries, and watches
/// both for as long as the instance is one of its zone's watchers.
class platform_client {
public:
    platform_client(event_loop& loop, platform_options options, platform_callbacks callbacks);
    platform_client(const platform_client&) = delete;
    auto operator=(const platform_client&) -> platform_client& = delete;
    ~platform_client();

    /// Reads both values; watches them afterwards when `watch(true)` was called.
    auto start() -> void;

    /// Ends all calls and retries.
    auto stop() -> void;

    /// Starts or ends watching. A read that has not succeeded yet continues in any case.
    auto watch(bool enabled) -> void;

    /// Whether the last call to the platform succeeded.
    auto reachable() const -> bool;

    auto counters() const -> platform_counters;

private:
    std::shared_ptr<detail::platform_state> state_;
};

} // namespace cyclamenpost
