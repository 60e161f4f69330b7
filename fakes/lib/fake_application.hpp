#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/core/history.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost::fakes {

/// Settings of a fake application.
struct application_options {
    std::string id = "application";
    std::string zone = "a";
    std::string address = "127.0.0.1";
    int port = 0;
    /// Time between the start of a run and its answer.
    duration delay{};
    /// Every n-th run closes its connection instead of answering; 0 for none.
    std::size_t close_every = 0;
    /// Empty records no history.
    std::string history_file;
    /// A request whose body contains this text is recorded and ends the process; empty disables.
    std::string crash_on;
    /// Ends the process with a status. The default calls `_Exit`.
    std::function<void(int)> exit_process;
};

/// One request that the application executed.
struct application_run {
    std::string request;
    std::string attempt;
    std::string key;
    std::string method;
    std::string path;
    std::string body;
};

namespace detail {
struct application_state;
}

/// An application target that records each run and answers any path with JSON. `GET /v1/events`
/// streams load reports, `GET /control/runs` lists the runs, and `POST
/// /control/{leave,stay,crash}` and `/control/{delay_ms,close_every}` with a number as body change
/// its behaviour.
class fake_application {
public:
    fake_application();
    fake_application(const fake_application&) = delete;
    auto operator=(const fake_application&) -> fake_application& = delete;
    ~fake_application();

    /// Listens and serves on the loop; port 0 picks a free one. Fails with `listen_failed` or
    /// `history_unreadable`.
    auto start(event_loop& loop, application_options options) -> result<void>;

    /// Closes the listener and all connections.
    auto stop() -> void;

    auto port() const -> int;

    /// Runs since the start, oldest first.
    auto runs() const -> const std::vector<application_run>&;

private:
    std::shared_ptr<detail::application_state> state_;
};

} // namespace cyclamenpost::fakes
