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
    /// Requests decoded at the same time; the others wait by priority.
    std::size_t slots = 16;
    /// Requests in progress above which the engine falls over while it is cold.
    std::size_t cold_limit = 1;
    duration cold_start_time = std::chrono::milliseconds{1500};
    /// Decoding speed of each running request.
    double tokens_per_second = 100;
    /// Speed at which prompt tokens outside the cache are read.
    double prefill_per_second = 20000;
    std::size_t cache_entries = 1000;
    duration load_report_delay = std::chrono::milliseconds{200};
    duration cache_event_delay = std::chrono::milliseconds{1000};
    /// Every n-th cache event is lost; 0 loses none.
    std::uint64_t drop_cache_event_every = 7;
    bool checks_fencing = true;
    std::string history_file;
    /// A request whose body contains this text ends the process; empty for none.
    std::string crash_on;
    /// Ends the process with a status. The default calls `_Exit`.
    std::function<void(int)> exit_process;
};

/// Exit status of an engine that took more load than it can handle while cold.
inline constexpr int overload_status = 3;

/// Exit status of an engine that a request crashed.
inline constexpr int crash_status = 4;

namespace detail {
struct engine_state;
}

/// A model engine with continuous batching, a bounded prefix cache, cold starts and orders. Besides
/// the interface of design section 5 it serves `POST /control/{leave,stay,cold,crash}` and
/// `POST /control/crash_on` (body: the text) for tests.
class fake_engine {
public:
    fake_engine();
    fake_engine(const fake_engine&) = delete;
    auto operator=(const fake_engine&) -> fake_engine& = delete;
    ~fake_engine();

    /// Listens and serves on the loop. Fails with `listen_failed` or `history_unreadable`.
    auto start(event_loop& loop, engine_options options) -> result<void>;

    /// Closes the listener and all connections.
    auto stop() -> void;

    auto port() const -> int;
    auto incarnation() const -> incarnation_id;

    /// Requests in progress, running and waiting.
    auto in_progress() const -> std::size_t;

    /// Requests started since the engine began.
    auto started() const -> std::size_t;

private:
    std::shared_ptr<detail::engine_state> state_;
};

} // namespace cyclamenpost::fakes
