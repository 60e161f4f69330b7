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

namespace cyclamenpost::fakes {

/// Sizes of a soak.
struct soak_options {
    std::string program;
    std::uint64_t seed = 1;
    std::chrono::seconds length{20};
    int instances = 4;
    int targets = 3;
    int callers = 12;
};

/// An entry instance as a process of its own, behind a proxy to the store.
struct soak_instance {
    std::string name;
    std::string zone;
    std::string front;
    std::string ready;
    std::string directory;
    std::string peer;
    std::string settings_file;
    std::unique_ptr<fault_proxy> store_link;
    pid_t process = -1;
    bool paused = false;
    bool stopping = false;
};

/// A target behind a proxy; it may crash and start again under another id.
struct soak_target {
    std::string service;
    std::string zone;
    std::unique_ptr<fake_target> server;
    std::unique_ptr<fault_proxy> link;
};

/// The processes and stand-ins of a soak, and the faults that can be done to them. Ends only
/// processes that it started.
class soak_fleet {
public:
    soak_fleet(event_loop& loop, soak_options options);
    soak_fleet(const soak_fleet&) = delete;
    auto operator=(const soak_fleet&) -> soak_fleet& = delete;
    ~soak_fleet();

    /// Starts store, targets and instances. Fails with `listen_failed`.
    auto start() -> result<void>;

    /// Does one random fault and returns what it did.
    auto harm(std::mt19937_64& random) -> std::string;

    /// Ends all lasting faults.
    auto heal() -> void;

    /// Starts processes again that have ended. Called now and then.
    auto reap() -> void;

    /// Runs of a request at all targets, past ones included.
    auto runs(const std::string& id) const -> int;

    /// Key that callers use now.
    auto key() const -> std::string;

    auto instances() const -> const std::vector<soak_instance>&;

    /// Ends of processes that nobody asked for.
    auto own_ends() const -> int;

private:
    auto spawn(soak_instance& instance) -> void;
    auto write_settings(const soak_instance& instance) const -> void;
    auto add_target(const std::string& service, const std::string& zone) -> result<void>;
    auto publish_target(const soak_target& target, const std::string& state) -> void;
    auto publish_configuration() -> void;
    auto crash_target(soak_target& target) -> void;
    auto harm_process(std::mt19937_64& random) -> std::string;
    auto harm_target(std::mt19937_64& random) -> std::string;
    auto harm_link(std::mt19937_64& random) -> std::string;
    auto harm_store(std::mt19937_64& random) -> std::string;

    event_loop& loop_;
    soak_options options_;
    std::string folder_;
    fake_store store_;
    std::vector<soak_instance> instances_;
    std::vector<soak_target> targets_;
    std::map<std::string, int> past_runs_;
    int version_ = 0;
    int key_number_ = 1;
    int next_target_ = 1;
    int own_ends_ = 0;
    std::list<timer> later_;
};

} // namespace cyclamenpost::fakes
