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

/// Limits of restarting failed children.
struct restart_policy {
    duration initial_delay = std::chrono::milliseconds{100};
    duration max_delay = std::chrono::seconds{5};
    /// This many failures of a tree within the window end the process.
    std::size_t max_failures = 5;
    duration window = std::chrono::minutes{1};
};

/// What follows a failure: restart after a delay, or end the process.
struct restart_decision {
    bool give_up = false;
    duration delay{};
};

/// Times of recent failures, oldest first.
struct failure_history {
    std::deque<time_point> failures;
};

/// Records a failure and decides what follows. The delay doubles with every failure in the window.
auto decide_restart(failure_history& history, const restart_policy& policy, time_point now)
    -> restart_decision;

/// A part of the process that can be started and stopped. Children start in order and stop in
/// reverse order. Names are unique within a tree.
struct supervised_node {
    std::string name;
    std::function<result<void>()> start;
    std::function<void()> stop;
    std::vector<supervised_node> children;
};

/// Runs a tree of children on the loop. A node starts before its children and stops after them;
/// when a node fails, it and its descendants are stopped and started again.
class supervisor {
public:
    /// `on_give_up` is called with the name of the child whose failure was one too many.
    supervisor(event_loop& loop, restart_policy policy,
               std::function<void(const std::string&)> on_give_up);

    /// Starts the tree in order. A failing start counts as a failure of that node.
    auto start(supervised_node root) -> void;

    /// Reports a failure of a running node by its name. Returns false for an unknown name.
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
    std::map<std::string, timer> restarts_;
    bool stopped_ = true;
};

} // namespace cyclamenpost
