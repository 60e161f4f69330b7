#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// Limits for restarts of failed nodes.
struct restart_policy {
    duration initial_delay = std::chrono::milliseconds{100};
    duration max_delay = std::chrono::seconds{5};
    /// Number of failures in a tree within `window` at which the supervisor gives up.
    std::size_t max_failures = 5;
    duration window = std::chrono::minutes{1};
};

/// Reaction to a failure: restart the node after `delay`, or give up.
struct restart_decision {
    bool give_up = false;
    duration delay{};
};

/// Times of the failures within the window, oldest first.
struct failure_history {
    std::deque<time_point> failures;
};

/// Records a failure and returns the reaction to it. The delay doubles with each failure in the
/// window, up to the maximum.
auto decide_restart(failure_history& history, const restart_policy& policy, time_point now)
    -> restart_decision;

/// A component of the process that can be started and stopped, with the components that depend on
/// it as children. Names are unique within a tree.
struct supervised_node {
    std::string name;
    std::function<result<void>()> start;
    std::function<void()> stop;
    std::vector<supervised_node> children;
};

/// Starts, stops and restarts a tree of components on the event loop. A node starts before its
/// children and stops after them; siblings start in order and stop in reverse order. When a node
/// fails, it and its descendants are stopped and, after a delay, started again. After too many
/// failures the supervisor gives up: it stops the whole tree.
class supervisor {
public:
    /// `on_give_up` is called after the tree has stopped, with the name of the node that failed
    /// last.
    supervisor(event_loop& loop, restart_policy policy,
               std::function<void(const std::string&)> on_give_up);

    /// Starts the tree. A start that fails counts as a failure of that node.
    auto start(supervised_node root) -> void;

    /// Reports a failure of a running node. Returns false if no node of this name is running.
    auto report_failure(const std::string& name) -> bool;

    /// Stops all running nodes in reverse order of their start.
    auto stop() -> void;

    /// Names of the running nodes in the order of their start.
    auto running() const -> std::vector<std::string>;

private:
    auto start_node(supervised_node& node) -> void;
    auto stop_node(supervised_node& node) -> void;
    auto fail_node(supervised_node& node) -> void;

    event_loop& loop_;
    restart_policy policy_;
    std::function<void(const std::string&)> on_give_up_;
    supervised_node root_;
    failure_history history_;
    std::vector<std::string> running_;
    /// Timers of pending restarts by node name.
    std::map<std::string, timer> restarts_;
    bool stopped_ = true;
};

} // namespace cyclamenpost
