#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cyclamenpost/placement/placement.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto property_settings = "seed=20261204 max_success=60";

auto engines_named(int count, double load = 0) -> std::vector<engine_view>
{
    auto engines = std::vector<engine_view>{};
    for (auto number = 0; number < count; ++number) {
        auto engine = engine_view{};
        engine.id = "engine-" + std::to_string(number);
        engine.load = load;
        engines.push_back(engine);
    }
    return engines;
}

auto located_nodes(const std::string& prefix, int count, int zones) -> std::vector<topology_node>
{
    auto list = std::vector<topology_node>{};
    for (auto number = 0; number < count; ++number) {
        const auto zone = "zone-" + std::to_string(number % zones);
        list.push_back({prefix + std::to_string(number), zone, "region"});
    }
    return list;
}

auto request_for(std::string_view chat, double cost = 1) -> placement_request
{
    auto request = placement_request{};
    request.chat = chat;
    request.cost = cost;
    return request;
}

auto chosen_id(const placement_request& request, const std::vector<engine_view>& engines)
    -> std::string
{
    const auto mean = mean_load(engines, request.cost);
    const auto decision = choose_engine(request, engines, mean, {});
    return decision.engine ? engines[*decision.engine].id : "";
}

auto moved_gates(const std::vector<gate_assignment>& before,
                 const std::vector<gate_assignment>& after) -> std::size_t
{
    auto moved = std::size_t{0};
    for (std::size_t index = 0; index < before.size(); ++index) {
        moved += before[index].primary != after[index].primary ? 1U : 0U;
    }
    return moved;
}

template <typename Property>
auto check_property(const std::string& name, Property&& property) -> void
{
    setenv("RC_PARAMS", property_settings, 1);
    CHECK_MESSAGE(rc::check(name, std::forward<Property>(property)), name);
}

} // namespace

TEST_CASE("routers with the same inputs make the same first and second choice")
{
    check_property("same choice whatever the order of the list", [](std::uint64_t seed) {
        auto random = std::mt19937_64{seed};
        auto engines = engines_named(*rc::gen::inRange(2, 30));
        for (auto& engine : engines) {
            engine.load = static_cast<double>(random() % 20);
        }
        auto shuffled = engines;
        std::ranges::shuffle(shuffled, random);
        const auto chat = "chat-" + std::to_string(random());
        const auto first = chosen_id(request_for(chat), engines);
        RC_ASSERT(first == chosen_id(request_for(chat), shuffled));
        const auto refuse = [&](auto& list) {
            std::ranges::find(list, first, &engine_view::id)->state = target_state::leaving;
        };
        refuse(engines);
        refuse(shuffled);
        RC_ASSERT(chosen_id(request_for(chat), engines) == chosen_id(request_for(chat), shuffled));
    });
}

TEST_CASE("an engine that joins or leaves moves only its own chats")
{
    auto engines = engines_named(12, 5);
    const auto joined = engines_named(13, 5);
    auto moved = 0;
    for (auto number = 0; number < 1000; ++number) {
        const auto chat = "chat-" + std::to_string(number);
        const auto before = chosen_id(request_for(chat), engines);
        const auto after = chosen_id(request_for(chat), joined);
        if (before != after) {
            ++moved;
            CHECK(after == "engine-12");
        }
    }
    CHECK(moved > 40);
    CHECK(moved < 120);
}

TEST_CASE("no choice exceeds the load bound, whatever the loads")
{
    check_property("under the bound", [](std::uint64_t seed) {
        auto random = std::mt19937_64{seed};
        auto engines = engines_named(*rc::gen::inRange(1, 20));
        for (auto& engine : engines) {
            engine.load = static_cast<double>(random() % 40);
        }
        auto request = request_for("chat", 1 + static_cast<double>(random() % 30));
        request.last_target = engines.front().id;
        const auto mean = mean_load(engines, request.cost);
        const auto decision = choose_engine(request, engines, mean, {});
        if (decision.engine) {
            const auto after = engines[*decision.engine].load + request.cost;
            RC_ASSERT(after <= std::max(mean + request.cost, std::ceil(1.25 * mean)));
        }
    });
}

TEST_CASE("a returning chat uses its last target unless the target is at its bound or leaving")
{
    auto engines = engines_named(6, 8);
    auto request = request_for("c1");
    const auto order = preference_order("c1", engines);
    auto& last = engines[order[4]];
    request.last_target = last.id;
    CHECK(chosen_id(request, engines) == last.id);
    last.state = target_state::leaving;
    CHECK(chosen_id(request, engines) == engines[order[0]].id);
    last.state = target_state::warm;
    last.load = 30;
    CHECK(chosen_id(request, engines) != last.id);
}

TEST_CASE("a cache hint is used only near the front of the order and below the soft limit")
{
    auto engines = engines_named(12, 8);
    const auto order = preference_order("c1", engines);
    engines[order[3]].cache_hint = true;
    CHECK(chosen_id(request_for("c1"), engines) == engines[order[3]].id);
    engines[order[3]].load = 10;
    CHECK(chosen_id(request_for("c1"), engines) == engines[order[0]].id);
    engines[order[3]].cache_hint = false;
    engines[order[9]].cache_hint = true;
    CHECK(chosen_id(request_for("c1"), engines) == engines[order[0]].id);
}

TEST_CASE("large requests leave half of every engine to small ones")
{
    auto engines = engines_named(4, 40);
    CHECK(!chosen_id(request_for("large", 20), engines).empty());
    for (auto& engine : engines) {
        engine.large_load = 20;
    }
    CHECK(chosen_id(request_for("large", 20), engines).empty());
    CHECK(!chosen_id(request_for("small", 1), engines).empty());
}

TEST_CASE("an engine in cold start is not chosen beyond its allowance")
{
    auto engines = engines_named(1);
    engines[0].state = target_state::cold;
    engines[0].allowance = 1;
    CHECK(chosen_id(request_for("c1"), engines) == "engine-0");
    engines[0].requests = 1;
    CHECK(chosen_id(request_for("c1"), engines).empty());
}

TEST_CASE("no policy chooses engines that leave or whose zone is out of service")
{
    auto engines = engines_named(3);
    engines[0].state = target_state::leaving;
    engines[1].zone_out = true;
    auto request = request_for("c1");
    for (const auto& row : placement_policy_names) {
        request.policy = row.value;
        request.random += 7;
        CHECK(chosen_id(request, engines) == "engine-2");
    }
    engines[2].state = target_state::gone;
    CHECK(chosen_id(request, engines).empty());
}

TEST_CASE("gates are spread evenly, with a different instance as backup")
{
    const auto targets = located_nodes("target-", 41, 3);
    const auto assigned = assign_gates(targets, located_nodes("instance-", 9, 3));
    auto held = std::map<std::string, int>{};
    for (const auto& assignment : assigned) {
        ++held[assignment.primary];
        CHECK(!assignment.backup.empty());
        CHECK(assignment.backup != assignment.primary);
    }
    CHECK(held.size() == 9);
    CHECK(std::ranges::all_of(held, [](const auto& entry) { return entry.second <= 5; }));
}

TEST_CASE("an instance that joins or leaves moves few gates")
{
    const auto targets = located_nodes("target-", 120, 1);
    for (auto count = 2; count < 21; ++count) {
        CAPTURE(count);
        const auto before = assign_gates(targets, located_nodes("instance-", count, 1));
        const auto after = assign_gates(targets, located_nodes("instance-", count + 1, 1));
        const auto fair = 120 / static_cast<std::size_t>(count + 1);
        CHECK(moved_gates(before, after) <= 2 * fair + 8);
    }
}

TEST_CASE("a zone without instances uses its region, and a region without instances has no gates")
{
    const auto targets = std::vector<topology_node>{{"t1", "a", "r1"}, {"t2", "b", "r2"}};
    const auto instances = std::vector<topology_node>{{"i1", "c", "r1"}};
    const auto assigned = assign_gates(targets, instances);
    CHECK(assigned[0].primary == "i1");
    CHECK(assigned[0].backup.empty());
    CHECK(assigned[1].primary.empty());
}

TEST_CASE("cost counts uncached prompt and output tokens in whole units")
{
    CHECK(request_cost(0, 1) == 2);
    CHECK(request_cost(1024, 512) == 5);
    CHECK(cache_transfer_is_faster(1000, 0.001, 0.5));
    CHECK(!cache_transfer_is_faster(100, 0.001, 0.5));
}
