#pragma once

#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <sys/types.h>

#include "cyclamenpost/transport/event_loop.hpp"
#include "fake_store.hpp"
#include "fault_proxy.hpp"

namespace cyclamenpost::fakes {

/// A loopback address that is free, "ip:port". The search starts at a port that depends on the
/// process id, so that parallel soaks rarely probe the same ports.
auto free_address(event_loop& loop) -> result<std::string>;

/// Starts a program whose standard output goes to the end of a file. Returns its process id, or -1.
auto spawn_program(std::vector<std::string> arguments, const std::string& output) -> pid_t;

/// Number of genuine refusals of targets, and of their duplicates.
struct refusal_counts {
    /// Requests that a target refused although a slot was free.
    int refused = 0;
    /// Duplicates of such refusals, written at any time.
    int duplicates = 0;
    /// Duplicates written while a request with their id was running on that connection.
    int during_run = 0;
    /// Duplicates written while a request with their id was running on another connection.
    int during_other_run = 0;
};

/// The targets of a soak test, each in a process of its own, with the faults that befall processes:
/// they are paused, and they end one by one or many at once and come back at their address, mostly
/// under another id. Every second one is reached through a proxy, whose link delays or loses bytes
/// for a time. Ends only processes that it started.
class target_processes {
public:
    /// `directory` holds the files with the requests that ran. With `refusals`, targets refuse some
    /// requests despite free slots and send duplicates of these refusals.
    target_processes(event_loop& loop, fake_store& store, std::string directory, std::uint64_t seed,
                     bool refusals);
    target_processes(const target_processes&) = delete;
    auto operator=(const target_processes&) -> target_processes& = delete;
    ~target_processes();

    /// Starts a target of a service and publishes it.
    auto add(const std::string& service, const std::string& zone) -> result<void>;

    /// Injects one random fault and returns a description of it.
    auto inject_fault(std::mt19937_64& random) -> std::string;

    /// Starts the targets that have ended and whose time to come back has come. To be called
    /// periodically.
    auto restart_ended() -> void;

    /// Replaces all targets by ones that lose and repeat no answer.
    auto clear_faults() -> void;

    /// How often each request ran.
    auto run_counts() const -> std::map<std::string, int>;

    /// How often targets refused despite free slots, and how often they sent that twice.
    auto refusals() const -> refusal_counts;

private:
    struct process {
        std::string id;
        std::string service;
        std::string zone;
        std::string address;
        /// Null if callers connect to the process itself.
        std::unique_ptr<fault_proxy> proxy;
        pid_t pid = -1;
        bool paused = false;
        time_point back_at{};
    };

    auto spawn(process& target) -> void;
    auto refusals_path(const process& target) const -> std::string;
    auto publish(const process& target) -> void;
    auto end(process& target, duration absence) -> void;
    auto end_most(const std::string& service, std::mt19937_64& random) -> std::string;
    auto pause(process& target, duration span) -> void;
    /// Harms the link of a target that has a proxy, and returns a description of the fault.
    auto harm_link(process& target, std::mt19937_64& random) -> std::string;

    event_loop& loop_;
    fake_store& store_;
    std::string directory_;
    std::uint64_t next_seed_;
    bool refusals_;
    int next_id_ = 1;
    std::list<process> processes_;
    bool faults_cleared_ = false;
    std::list<timer> resume_timers_;
};

} // namespace cyclamenpost::fakes
