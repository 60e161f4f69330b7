#include <doctest/doctest.h>

#include "cyclamenpost/placement/commands.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

auto at(duration since) -> time_point
{
    return time_point{1000s} + since;
}

struct one_target {
    desired_state desired{{{"small", "1", 1}, {"large", "2", 9}}, {}, ""};
    reported_state reported{7, target_state::cold, 5, {}, {}, "", at(0s)};
    command_authority authority{true, true, 3, true};
    target_commands commands;
    weight_load_rate rate;

    auto decide(duration since) const -> command_decision
    {
        return decide_command(desired, reported, authority, commands, rate, at(since));
    }

    auto send(duration since) -> command_decision
    {
        auto decision = decide(since);
        record_command_sent(commands, rate, decision, at(since));
        return decision;
    }

    auto report(duration since) -> void
    {
        reported.read_at = at(since);
        record_report(commands, reported);
    }
};

} // namespace

TEST_CASE("the model with the highest demand is loaded first, then adapters, then the role is set")
{
    auto target = one_target{};
    target.desired.adapters = {{"tone", "", 0}};
    target.desired.role = "decode";
    CHECK(target.decide(1s).item == "large");
    target.reported.models = {{"small", "1", 0}, {"large", "1", 0}};
    CHECK(target.decide(1s).item == "large");
    target.reported.models = target.desired.models;
    CHECK(target.decide(1s).action == command_action::load_adapter);
    target.reported.adapters = {{"tone", "4", 0}};
    CHECK(target.decide(1s).action == command_action::set_role);
    target.reported.role = "decode";
    CHECK(target.decide(1s).reason == command_reason::nothing_missing);
}

TEST_CASE("a target has one command in progress until a report shows its effect")
{
    auto target = one_target{};
    CHECK(target.send(1s).action == command_action::load_model);
    record_command_result(target.commands, command_result::accepted, 0, at(2s));
    CHECK(target.decide(10s).reason == command_reason::command_in_progress);
    target.report(11s);
    CHECK(target.decide(12s).reason == command_reason::command_in_progress);
    target.reported.models = {{"large", "2", 0}};
    target.report(13s);
    CHECK(target.decide(14s).item == "small");
}

TEST_CASE("a command without effect is read back and sent again with a higher fencing token")
{
    auto target = one_target{};
    const auto first = target.send(1s);
    record_command_result(target.commands, command_result::lost, 0, at(2s));
    CHECK(target.decide(62s).action == command_action::read_back);
    target.report(63s);
    CHECK(target.decide(63s).reason == command_reason::state_not_read);
    target.report(65s);
    const auto second = target.decide(66s);
    CHECK(second.action == command_action::load_model);
    CHECK(second.fencing_token > first.fencing_token);
}

TEST_CASE("a restarted target is not blocked by a command to its former process")
{
    auto target = one_target{};
    target.send(1s);
    target.reported.incarnation = 8;
    target.reported.fencing_token = 0;
    target.report(2s);
    const auto again = target.decide(10s);
    CHECK(again.action == command_action::load_model);
    CHECK(again.incarnation == 8);
}

TEST_CASE("fencing tokens exceed the engine's, those sent before and those of older list versions")
{
    CHECK(next_fencing_token(5, 0, 0) == 6);
    CHECK(next_fencing_token(5, 9, 0) == 10);
    CHECK(next_fencing_token(5, 9, 3) == 3U << 20U);
    CHECK(next_fencing_token(4U << 20U, 9, 3) == (4U << 20U) + 1);
}

TEST_CASE("a refused fencing token is followed by a read and a token above the engine's")
{
    auto target = one_target{};
    target.send(1s);
    record_command_result(target.commands, command_result::stale_fencing_token, 9'000'000, at(2s));
    CHECK(target.decide(4s).reason == command_reason::state_not_read);
    target.report(5s);
    CHECK(target.decide(6s).fencing_token == 9'000'001);
}

TEST_CASE("an engine without fencing gets commands only from a primary with a live backup")
{
    auto target = one_target{};
    target.authority.checks_fencing = false;
    target.authority.backup_acknowledges = false;
    CHECK(target.decide(1s).reason == command_reason::backup_silent);
    target.authority.backup_acknowledges = true;
    CHECK(target.decide(1s).action == command_action::load_model);
    target.authority.primary = false;
    CHECK(target.decide(1s).reason == command_reason::not_primary);
}

TEST_CASE("targets that leave or are gone get no command")
{
    auto target = one_target{};
    target.reported.state = target_state::leaving;
    CHECK(target.decide(1s).reason == command_reason::target_leaving);
    target.reported.state = target_state::gone;
    CHECK(target.decide(1s).reason == command_reason::target_gone);
}

TEST_CASE("all gates together load no faster than the weight store allows")
{
    auto rate = weight_load_rate{2.0, 4, {}};
    CHECK(weight_load_interval(rate) == 2s);
    rate.gates = 1000;
    CHECK(weight_load_interval(rate) == 5s);
    auto target = one_target{};
    target.rate = weight_load_rate{2.0, 4, {}};
    target.send(1s);
    target.reported.models = {{"large", "2", 0}};
    target.report(2s);
    CHECK(target.decide(2s).reason == command_reason::load_rate);
    CHECK(target.decide(3s).action == command_action::load_model);
}

TEST_CASE("failed commands are retried with exponential backoff")
{
    auto target = one_target{};
    auto now = duration{1s};
    for (const auto wait : {1s, 2s, 4s, 8s}) {
        REQUIRE(target.send(now).action == command_action::load_model);
        record_command_result(target.commands, command_result::failed, 0, at(now));
        target.report(now + 500ms);
        CHECK(target.decide(now + wait - 1ms).reason == command_reason::backoff);
        now += wait;
    }
}

TEST_CASE("the log line of a command has target, action, reason, item and fencing token")
{
    const auto line = describe(one_target{}.decide(1s), "e1");
    CHECK(line == "order target=e1 action=load_model reason=model_missing item=large version=2 "
                  "fence=3145728");
}
