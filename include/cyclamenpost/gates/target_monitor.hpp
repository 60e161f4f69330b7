#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/transport/event_stream.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost {

/// A target's report of its own state. `running` and `waiting` count requests, `cost` is in cost
/// units; they lag behind the actual load. `fence` is the highest fencing token that the target has
/// seen.
struct target_report {
    std::string target;
    incarnation_id incarnation = 0;
    target_state state = target_state::cold;
    int running = 0;
    int waiting = 0;
    double cost = 0;
    std::uint64_t fence = 0;
    std::vector<std::string> models;
};

/// A target's report of prefixes that entered or left its prompt cache, as prefix hashes. Reports
/// may be delayed or missing.
struct cache_report {
    std::string target;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

/// Callbacks of a monitor. `on_closed` means that the target's process or host has stopped, or that
/// no event arrived within the heartbeat timeout.
struct monitor_handlers {
    std::function<void(const target_report&)> on_report;
    std::function<void(const cache_report&)> on_cache_report;
    std::function<void(const std::string& target)> on_closed;
};

/// A target to monitor.
struct monitored_target {
    std::string name;
    std::string address;
};

/// Parses the data of a load event. Fails with `target_answer_invalid`.
auto parse_target_report(const std::string& target, std::string_view json) -> result<target_report>;

/// Parses the data of a cache event. Fails with `target_answer_invalid`.
auto parse_cache_report(const std::string& target, std::string_view json) -> result<cache_report>;

/// Keeps an event stream open to each monitored target and reconnects with exponential backoff.
class target_monitor {
public:
    target_monitor(event_loop& loop, monitor_handlers handlers);

    /// Replaces the set of monitored targets.
    auto watch(const std::vector<monitored_target>& targets) -> void;

    /// Whether the event stream of a target is open and has delivered an event.
    auto connected(const std::string& target) const -> bool;

private:
    struct stream_state;
    auto connect(const std::shared_ptr<stream_state>& stream) -> void;
    auto on_event(const std::shared_ptr<stream_state>& stream, const stream_event& event) -> void;
    auto on_end(const std::shared_ptr<stream_state>& stream) -> void;
    auto restart_heartbeat_timer(const std::shared_ptr<stream_state>& stream) -> void;

    event_loop& loop_;
    monitor_handlers handlers_;
    std::map<std::string, std::shared_ptr<stream_state>> streams_;
};

} // namespace cyclamenpost
