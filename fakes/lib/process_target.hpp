#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "cyclamenpost/transport/http1.hpp"
#include "cyclamenpost/transport/tcp.hpp"

namespace cyclamenpost::fakes {

/// Options of a target that runs in a process of its own.
struct process_target_options {
    std::string id;
    /// "ip:port" on which it listens.
    std::string address;
    /// File to which the id of each request is appended as the target begins to run it.
    std::string runs_file;
    std::uint64_t seed = 1;
    std::size_t slots = 6;
    /// Requests that wait for a slot; further ones are refused.
    std::size_t max_waiting = 24;
    /// Mean time of a run.
    duration work{std::chrono::milliseconds{60}};
    /// Connections beyond this number are reset as they are accepted.
    std::size_t max_connections = 1200;
    /// Connections at rest for this long are forgotten: the next bytes on them are reset.
    duration idle_limit{std::chrono::seconds{1}};
    /// Runs in a thousand whose answer is lost or broken, and answers that are sent twice.
    unsigned faults_per_mille = 40;
};

/// A target with slots and a queue, which loses and repeats some of its answers. Requests that wait
/// when their caller's time limit passes are refused. Work goes on after its connection has ended;
/// about half of the requests that wait are run even then.
class process_target {
public:
    process_target(event_loop& loop, process_target_options options);
    process_target(const process_target&) = delete;
    auto operator=(const process_target&) -> process_target& = delete;
    ~process_target();

    /// Starts listening. Fails with `listen_failed`.
    auto start() -> result<void>;

private:
    struct connection {
        tcp_connection tcp;
        std::unique_ptr<http1_parser> parser;
        std::string body;
        bool busy = false;
        bool closed = false;
        time_point idle_since{};
    };

    struct request {
        std::shared_ptr<connection> from;
        request_head head;
        std::string body;
        std::string id;
        time_point deadline{};
    };

    auto accept(tcp_connection accepted) -> void;
    auto on_bytes(const std::shared_ptr<connection>& from, std::string_view bytes) -> void;
    auto receive(const std::shared_ptr<connection>& from) -> void;
    auto start_waiting() -> void;
    auto run(request next) -> void;
    auto end_run() -> void;
    auto refuse(const request& refused) -> void;
    /// Sends an answer, and now and then a second copy of it later.
    auto answer(const request& to, const std::string& text) -> void;
    auto lose_answer(const request& lost) -> void;
    auto break_connection(connection& broken) -> void;
    auto call_later(duration delay, std::function<void()> action) -> void;
    auto draw_delay(int least_ms, int most_ms) -> duration;
    auto draw_fault() -> bool;

    event_loop& loop_;
    process_target_options options_;
    std::mt19937_64 random_;
    int runs_file_ = -1;
    tcp_listener listener_;
    std::list<std::shared_ptr<connection>> connections_;
    std::deque<request> waiting_;
    std::size_t running_ = 0;
    std::map<std::uint64_t, timer> timers_;
    std::uint64_t next_timer_ = 0;
};

} // namespace cyclamenpost::fakes
