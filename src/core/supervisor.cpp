#include "cyclamenpost/core/supervisor.hpp"

#include "cyclamenpost/core/log.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

auto find_node(supervised_node& node, const std::string& name) -> supervised_node*
{
    if (node.name == name) {
        return &node;
    }
    for (auto& child : node.children) {
        if (auto* found = find_node(child, name)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

auto decide_restart(failure_history& history, const restart_policy& policy, time_point now)
    -> restart_decision
{
    history.failures.push_back(now);
    while (history.failures.front() + policy.window <= now) {
        history.failures.pop_front();
    }
    if (history.failures.size() >= policy.max_failures) {
        return {true, {}};
    }
    auto delay = policy.initial_delay;
    for (std::size_t failure = 1; failure < history.failures.size(); ++failure) {
        delay = std::min(2 * delay, policy.max_delay);
    }
    return {false, delay};
}

supervisor::supervisor(event_loop& loop, restart_policy policy,
                       std::function<void(const std::string&)> on_give_up)
    : loop_(loop), policy_(policy), on_give_up_(std::move(on_give_up))
{}

auto supervisor::start(supervised_node root) -> void
{
    root_ = std::move(root);
    stopped_ = false;
    start_node(root_);
}

auto supervisor::report_failure(const std::string& name) -> bool
{
    const auto is_running = std::find(running_.begin(), running_.end(), name) != running_.end();
    auto* node = find_node(root_, name);
    if (stopped_ || !is_running || node == nullptr) {
        return false;
    }
    fail_node(*node);
    return true;
}

auto supervisor::stop() -> void
{
    stopped_ = true;
    restarts_.clear();
    stop_node(root_);
}

auto supervisor::running() const -> std::vector<std::string>
{
    return running_;
}

auto supervisor::start_node(supervised_node& node) -> void
{
    const auto started = try_or([&] { return node.start(); },
                                [&](const error& failure) { log_error("child_start", failure); });
    if (!started) {
        fail_node(node);
        return;
    }
    running_.push_back(node.name);
    for (auto& child : node.children) {
        if (!stopped_) {
            start_node(child);
        }
    }
}

auto supervisor::stop_node(supervised_node& node) -> void
{
    for (auto child = node.children.rbegin(); child != node.children.rend(); ++child) {
        stop_node(*child);
    }
    // A node that waits for its restart is not running, but the restart must be cancelled as well.
    restarts_.erase(node.name);
    const auto found = std::find(running_.begin(), running_.end(), node.name);
    if (found == running_.end()) {
        return;
    }
    running_.erase(found);
    node.stop();
}

auto supervisor::fail_node(supervised_node& node) -> void
{
    stop_node(node);
    const auto decision = decide_restart(history_, policy_, monotonic_now());
    if (decision.give_up) {
        const auto name = node.name;
        stop();
        on_give_up_(name);
        return;
    }
    restarts_[node.name] = loop_.call_after(decision.delay, [this, &node] { start_node(node); });
}

} // namespace cyclamenpost
