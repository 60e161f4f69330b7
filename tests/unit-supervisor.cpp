#include <doctest/doctest.h>

#include <array>

#include <unistd.h>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/core/supervisor.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

/// Creates nodes that record their starts ("+name") and stops ("-name").
struct recorder {
    event_loop loop;
    std::vector<std::string> events;
    /// Number of starts of the node "bad" that fail.
    int failing_starts = 0;
    /// Node with which the supervisor gave up.
    std::string failed_node;

    auto node(const std::string& name, std::vector<supervised_node> children = {})
        -> supervised_node
    {
        auto node = supervised_node{};
        node.name = name;
        node.children = std::move(children);
        node.stop = [this, name] { events.push_back("-" + name); };
        node.start = [this, name]() -> result<void> {
            if (name == "bad" && failing_starts-- > 0) {
                return fail(error_id::bus_failed, step::listen, name, "no");
            }
            events.push_back("+" + name);
            return {};
        };
        return node;
    }

    auto make_supervisor(restart_policy policy = {.initial_delay = 1ms}) -> supervisor
    {
        return supervisor{loop, policy, [this](const std::string& name) { failed_node = name; }};
    }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("supervisor: the restart delay doubles up to its maximum and ignores failures before the "
          "window")
{
    auto history = failure_history{};
    auto policy = restart_policy{};
    policy.max_failures = 20;
    auto now = time_point{1s};
    for (const auto expected : {100ms, 200ms, 400ms, 800ms, 1600ms, 3200ms, 5000ms, 5000ms}) {
        CHECK(decide_restart(history, policy, now).delay == expected);
    }
    CHECK(decide_restart(history, policy, now + 1min).delay == 100ms);
}

TEST_CASE("supervisor: gives up after five failures within a minute, not after four")
{
    auto history = failure_history{};
    for (auto failure = 0; failure < 4; ++failure) {
        CHECK(!decide_restart(history, {}, time_point{1s * failure}).give_up);
    }
    auto spread = history;
    CHECK(decide_restart(history, {}, time_point{59s}).give_up);
    CHECK(!decide_restart(spread, {}, time_point{61s}).give_up);
}

TEST_CASE("supervisor: children start after their parent and in order, and stop in reverse order")
{
    recorder seen;
    auto tree = seen.make_supervisor();
    tree.start(seen.node("root", {seen.node("a", {seen.node("a1")}), seen.node("b")}));
    CHECK(seen.events == names{"+root", "+a", "+a1", "+b"});
    seen.events.clear();
    tree.stop();
    CHECK(seen.events == names{"-b", "-a1", "-a", "-root"});
}

TEST_CASE("supervisor: a failed node restarts with its descendants while its siblings keep running")
{
    recorder seen;
    auto tree = seen.make_supervisor();
    tree.start(seen.node("root", {seen.node("a", {seen.node("a1")}), seen.node("b")}));
    seen.events.clear();
    CHECK(!tree.report_failure("no such child"));
    CHECK(tree.report_failure("a"));
    CHECK(tree.running() == names{"root", "b"});
    CHECK(seen.loop.run_until([&] { return tree.running().size() == 4; }, 10s));
    CHECK(seen.events == names{"-a1", "-a", "+a", "+a1"});
}

TEST_CASE("supervisor: gives up on a node whose start keeps failing, after the tree has stopped")
{
    recorder seen;
    seen.failing_starts = 100;
    auto tree = seen.make_supervisor();
    tree.start(seen.node("root", {seen.node("bad"), seen.node("b")}));
    CHECK(tree.running() == names{"root", "b"});
    CHECK(seen.loop.run_until([&] { return !seen.failed_node.empty(); }, 10s));
    CHECK(seen.failed_node == "bad");
    CHECK(tree.running().empty());
}

TEST_CASE("supervisor: stop cancels pending restarts")
{
    recorder seen;
    auto tree = seen.make_supervisor();
    tree.start(seen.node("root", {seen.node("a")}));
    tree.report_failure("a");
    tree.stop();
    auto later = false;
    const auto wait = seen.loop.call_after(20ms, [&] { later = true; });
    CHECK(seen.loop.run_until([&] { return later; }, 10s));
    CHECK(tree.running().empty());
}

TEST_CASE("supervisor: a failed start is logged with step and peer")
{
    auto ends = std::array<int, 2>{};
    REQUIRE(pipe(ends.data()) == 0);
    start_logging(log_level::info, ends[1]);
    recorder record;
    record.failing_starts = 1;
    auto tree = record.make_supervisor();
    tree.start(record.node("bad"));
    flush_log();
    auto buffer = std::array<char, 4096>{};
    const auto count = read(ends[0], buffer.data(), buffer.size());
    start_logging(log_level::error, 2);
    close(ends[0]);
    close(ends[1]);
    REQUIRE(count > 0);
    const auto text = std::string(buffer.data(), static_cast<std::size_t>(count));
    CHECK(text.find("event=child_start") != std::string::npos);
    CHECK(text.find("step=listen peer=bad") != std::string::npos);
}
