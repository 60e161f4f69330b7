#pragma once

#include <array>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
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
    /// Largest deviation of a run's time from the mean, in percent of it.
    int work_spread_percent = 50;
    /// File to which refusals despite free slots and duplicates of them are appended, one line for
    /// each: its kind and the id of the request. Without a name there are no such refusals.
    std::string refusals_file;
    /// Ids in a thousand that are refused once despite free slots.
    unsigned refusals_per_mille = 0;
};

/// What a target records in its refusals file.
enum class refusal_event {
    /// A request was refused although a slot was free.
    refused,
    /// A duplicate of such a refusal was written.
    duplicate,
    /// A duplicate was written while a request with its id was running on that connection.
    duplicate_during_run,
    /// A duplicate was written while a request with its id was running on another connection.
    duplicate_during_other_run,
};

inline constexpr std::array refusal_event_names{
    enum_name<refusal_event>{refusal_event::refused, "refused"},
    enum_name<refusal_event>{refusal_event::duplicate, "duplicate"},
    enum_name<refusal_event>{refusal_event::duplicate_during_run, "duplicate_during_run"},
    enum_name<refusal_event>{refusal_event::duplicate_during_other_run,
                             "duplicate_during_other_run"},
};

/// A target with slots and a queue, which loses and repeats some of its answers. Requests that wait
/// when their caller's time limit passes are refused. Work goes on after its connection has ended;
/// about half of the requests that wait are run even then. With `refusals_file`, some requests are
/// refused although a slot is free, and the connection gets a duplicate of the refusal later.
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
        /// Ids of the requests that run; a caller that took a duplicate for an answer may send the
        /// next one while the first still runs.
        std::set<std::string> running;
    };

    /// A duplicate of a refusal that was not written yet.
    struct pending_duplicate {
        /// The connection of the refusal.
        std::shared_ptr<connection> to;
        /// Whether it is written when the request runs.
        bool awaits_run = false;
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
    auto end_run(const request& ended) -> void;
    auto refuse(const request& refused) -> void;
    /// Whether a request is one of those that are refused once despite free slots.
    auto refuses_despite_room(const std::string& id) -> bool;
    auto refuse_despite_room(const request& refused) -> void;
    /// Writes the duplicate of a refusal unless that was done before.
    auto write_duplicate(const std::string& id) -> void;
    /// The event that a duplicate written on a connection now is recorded as.
    auto duplicate_event(const connection& to, const std::string& id) const -> refusal_event;
    auto record(refusal_event event, const std::string& id) -> void;
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
    /// Draws for refusals, so that other draws are the same with and without them.
    std::mt19937_64 refusal_random_;
    std::set<std::string> refused_despite_room_;
    /// By id; a request is refused despite free slots only once.
    std::map<std::string, pending_duplicate> duplicates_;
    int runs_file_ = -1;
    int refusals_file_ = -1;
    tcp_listener listener_;
    std::list<std::shared_ptr<connection>> connections_;
    std::deque<request> waiting_;
    std::size_t running_ = 0;
    std::map<std::uint64_t, timer> timers_;
    std::uint64_t next_timer_ = 0;
};

} // namespace cyclamenpost::fakes
