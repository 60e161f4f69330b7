#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/core/history.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost::fakes {

/// Settings of a fake model engine.
struct engine_options {
    std::string id = "engine";
    std::string zone = "a";
    std::string address = "127.0.0.1";
    int port = 0;
    /// 0 picks a random incarnation.
    incarnation_id incarnation = 0;
    std::vector<std::string> models{"quote-7b"};
    /// Requests decoded at the same time; further ones wait, ordered by priority.
    std::size_t slots = 16;
    /// Requests in progress that a cold engine can handle; one more ends the process with
    /// `overload_exit_status`.
    std::size_t max_cold_requests = 1;
    /// Time from the start until the engine is warm.
    duration cold_start_time = std::chrono::milliseconds{1500};
    /// Decoding speed of each running request.
    double tokens_per_second = 100;
    /// Prefill speed of prompt tokens that are not cached.
    double prefill_tokens_per_second = 20000;
    /// Prompt prefixes that the cache holds.
    std::size_t cache_entries = 1000;
    /// Age of a load report when it is sent.
    duration load_report_delay = std::chrono::milliseconds{200};
    /// Age of a cache event when it is sent.
    duration cache_event_delay = std::chrono::milliseconds{1000};
    /// Every n-th cache event is not sent, which leaves a gap in the sequence numbers; 0 sends all.
    std::uint64_t drop_cache_event_every = 7;
    /// Whether orders with a fence number below the highest seen are refused.
    bool checks_fencing = true;
    /// Empty records no history.
    std::string history_file;
    /// A request whose body contains this text ends the process; empty disables.
    std::string crash_on;
    /// Ends the process with a status. The default calls `_Exit`.
    std::function<void(int)> exit_process;
};

/// Exit status of an engine that received more requests than it can handle while cold.
inline constexpr int overload_exit_status = 3;

/// Exit status of an engine that a request crashed.
inline constexpr int crash_exit_status = 4;

namespace detail {
struct engine_state;
}

/// A model engine with continuous batching, a bounded prefix cache, cold starts and fenced orders.
/// Besides the engine interface (design section 5) it serves `POST
/// /control/{leave,stay,cold,crash}` and `POST /control/crash_on` with the text as body for tests.
class fake_engine {
public:
    fake_engine();
    fake_engine(const fake_engine&) = delete;
    auto operator=(const fake_engine&) -> fake_engine& = delete;
    ~fake_engine();

    /// Listens and serves on the loop; port 0 picks a free one. Fails with `listen_failed` or
    /// `history_unreadable`.
    auto start(event_loop& loop, engine_options options) -> result<void>;

    /// Closes the listener and all connections.
    auto stop() -> void;

    auto port() const -> int;
    auto incarnation() const -> incarnation_id;

    /// Requests in progress, running and waiting.
    auto in_progress() const -> std::size_t;

    /// Requests accepted since `start`.
    auto started() const -> std::size_t;

private:
    std::shared_ptr<detail::engine_state> state_;
};

} // namespace cyclamenpost::fakes
