#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/transport/event_stream.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost {

/// A target's report of its own state. `cost` and the counts lag behind.
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

/// A target's report of prefixes that entered or left its cache. Reports arrive late and with gaps.
struct cache_report {
    std::string target;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

/// What a monitor tells its owner. `on_closed` means that the target's process or host is gone, or
/// that its stream has been silent for longer than the heartbeat timeout.
struct monitor_handlers {
    std::function<void(const target_report&)> on_report;
    std::function<void(const cache_report&)> on_cache;
    std::function<void(const std::string& target)> on_closed;
};

/// One target to watch.
struct monitored_target {
    std::string name;
    std::string address;
};

/// Parses the data of a load event. Fails with `target_answer_invalid`.
auto parse_target_report(const std::string& target, std::string_view json) -> result<target_report>;

/// Parses the data of a cache event. Fails with `target_answer_invalid`.
auto parse_cache_report(const std::string& target, std::string_view json) -> result<cache_report>;

/// Keeps one event stream open to each watched target and reconnects with backoff.
class target_monitor {
public:
    target_monitor(event_loop& loop, monitor_handlers handlers);

    /// Watches exactly the given targets from now on.
    auto watch(const std::vector<monitored_target>& targets) -> void;

    /// Whether the stream to a target is open.
    auto connected(const std::string& target) const -> bool;

private:
    struct stream_state;
    auto connect(const std::shared_ptr<stream_state>& stream) -> void;
    auto on_event(const std::shared_ptr<stream_state>& stream, const stream_event& event) -> void;
    auto on_end(const std::shared_ptr<stream_state>& stream) -> void;
    auto expect_heartbeat(const std::shared_ptr<stream_state>& stream) -> void;

    event_loop& loop_;
    monitor_handlers handlers_;
    std::map<std::string, std::shared_ptr<stream_state>> streams_;
};

} // namespace cyclamenpost
