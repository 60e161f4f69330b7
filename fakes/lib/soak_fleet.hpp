#pragma once

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <sys/types.h>

#include "cyclamenpost/transport/http1_client.hpp"
#include "fake_store.hpp"
#include "fake_target.hpp"
#include "fault_proxy.hpp"
#include "target_processes.hpp"

namespace cyclamenpost::fakes {

/// Which faults a soak injects.
enum class soak_faults {
    all,
    /// Targets that lose answers or refuse, and instances that are paused.
    lost_answers,
    /// Targets in processes of their own, which are paused and end one by one or together, while
    /// instances are paused, stopped and killed.
    processes,
};

inline constexpr std::array soak_faults_names{
    enum_name<soak_faults>{soak_faults::all, "all"},
    enum_name<soak_faults>{soak_faults::lost_answers, "lost_answers"},
    enum_name<soak_faults>{soak_faults::processes, "processes"},
};

/// Options of a soak test.
struct soak_options {
    /// Path of the entry daemon.
    std::string program;
    std::uint64_t seed = 1;
    /// Time during which faults are injected.
    std::chrono::seconds fault_time{20};
    int instances = 4;
    /// Targets of each service.
    int targets = 3;
    /// Targets of the service `app`, if the targets are processes.
    int applications = 3;
    int callers = 12;
    soak_faults faults = soak_faults::all;
    /// Targets that are processes refuse some requests despite free slots and send duplicates of
    /// these refusals.
    bool refusals = false;
    /// Latency objective of all routes.
    std::chrono::milliseconds objective{400};
    /// Time limit of callers, with `refusals`; zero: drawn for each request.
    std::chrono::milliseconds caller_limit{0};
};

/// An entry instance in its own process. It reaches the store through a fault proxy. `front`,
/// `ready`, `directory` and `peer` are its listen addresses.
struct soak_instance {
    std::string name;
    std::string zone;
    std::string front;
    std::string ready;
    std::string directory;
    std::string peer;
    std::string settings_file;
    std::unique_ptr<fault_proxy> store_proxy;
    pid_t pid = -1;
    bool paused = false;
    /// Whether the process was killed or terminated by the soak.
    bool stopping = false;
};

/// A target behind a fault proxy. After a crash it starts again under another id.
struct soak_target {
    std::string service;
    std::string zone;
    std::unique_ptr<fake_target> fake;
    std::unique_ptr<fault_proxy> proxy;
};

/// The processes and fakes of a soak test, and the faults that can be injected into them. Kills
/// only processes that it started.
class soak_fleet {
public:
    soak_fleet(event_loop& loop, soak_options options);
    soak_fleet(const soak_fleet&) = delete;
    auto operator=(const soak_fleet&) -> soak_fleet& = delete;
    ~soak_fleet();

    /// Starts store, targets and instances. Fails with `listen_failed`.
    auto start() -> result<void>;

    /// Injects one random fault and returns a description of it.
    auto inject_fault(std::mt19937_64& random) -> std::string;

    /// Ends all lasting faults, except that paused processes resume on their own timer.
    auto clear_faults() -> void;

    /// Restarts processes that have ended. To be called periodically.
    auto restart_ended_processes() -> void;

    /// Number of runs of a request at all targets, including those that have crashed since.
    auto run_count(const std::string& id) const -> int;

    /// How often each request ran at targets in processes of their own.
    auto run_counts_of_processes() const -> std::map<std::string, int>;

    /// How often targets in processes of their own refused despite free slots.
    auto refusals_of_processes() const -> refusal_counts;

    /// The API key that the present configuration accepts besides "always".
    auto api_key() const -> std::string;

    auto instances() const -> const std::vector<soak_instance>&;

    /// Number of processes that ended without being killed or terminated by the soak.
    auto unexpected_exits() const -> int;

private:
    auto spawn(soak_instance& instance) -> void;
    auto write_settings(const soak_instance& instance) const -> void;
    auto add_target(const std::string& service, const std::string& zone) -> result<void>;
    auto publish_target(const soak_target& target, const std::string& state) -> void;
    auto publish_configuration() -> void;
    auto crash_target(soak_target& target) -> void;
    auto inject_process_fault(std::mt19937_64& random) -> std::string;
    auto inject_target_fault(std::mt19937_64& random) -> std::string;
    auto inject_link_fault(std::mt19937_64& random) -> std::string;
    auto inject_store_fault(std::mt19937_64& random) -> std::string;
    auto lose_answers(std::mt19937_64& random) -> std::string;
    auto harm_processes(std::mt19937_64& random) -> std::string;
    auto pause(soak_instance& instance, duration span) -> std::string;

    event_loop& loop_;
    soak_options options_;
    std::string directory_;
    fake_store store_;
    std::vector<soak_instance> instances_;
    std::vector<soak_target> targets_;
    std::unique_ptr<target_processes> processes_;
    std::map<std::string, int> earlier_run_counts_;
    int version_ = 0;
    /// The configuration in force has short time limits.
    bool short_timeouts_ = false;
    int api_key_number_ = 1;
    int next_target_ = 1;
    int unexpected_exits_ = 0;
    std::list<timer> resume_timers_;
};

} // namespace cyclamenpost::fakes
