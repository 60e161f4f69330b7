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
    /// Time after which the platform ends a watch without a change.
    std::chrono::milliseconds watch_timeout{30000};
    /// Longest duration of a read; a watch may take `watch_timeout` more. A call that takes longer
    /// is cancelled and retried.
    std::chrono::milliseconds call_timeout{5000};
    /// Seed of the retry jitter.
    std::uint64_t seed = 0;
};

/// Callbacks of the client. All are called on the loop's thread.
struct platform_callbacks {
    /// The client received an operator text. It may be older than the one in force.
    std::function<void(published_text text)> on_config;
    /// The client received the published list, as JSON.
    std::function<void(std::string json)> on_instances;
    /// A call failed. The client retries by itself.
    std::function<void(const error& failure)> on_failure;
    /// Versions in force; a watch waits for a higher one.
    std::function<std::uint64_t()> config_version;
    std::function<std::uint64_t()> list_version;
};

/// Numbers of calls since the start of the client.
struct platform_counters {
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    /// Answers to a watch whose version was not above the one that the watch named.
    std::uint64_t stale_answers = 0;
};

namespace detail {
struct platform_state;
} // namespace detail

/// Reads the operator text and the instance list once each, with full-jitter retries, and watches
/// both by long polling while watching is enabled.
class platform_client {
public:
    platform_client(event_loop& loop, platform_options options, platform_callbacks callbacks);
    platform_client(const platform_client&) = delete;
    auto operator=(const platform_client&) -> platform_client& = delete;
    ~platform_client();

    /// Starts to read both values; watches each after its first read if `watch(true)` was called.
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
