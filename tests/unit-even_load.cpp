#include <set>

#include <doctest/doctest.h>

#include "spread_model.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::spread_model;

// Guards against targets that are overloaded in turn while others are idle: many instances choose
// at the same moment from load information of the same age, or of none.

namespace {

// the aim: within 10% of two random choices with fresh load information
constexpr auto aim = 1.1;
// time to the first byte at a target that has a free slot; the aim is for what callers see
constexpr auto first_byte_ms = 60.0;

auto check_waits(const load_pattern& load) -> void
{
    const auto figures = play_all(load);
    INFO(figures.text);
    const auto& even = figures.by.at(policy::even);
    const auto& two = figures.by.at(policy::two_fresh);
    CHECK(even.mean_wait_ms + first_byte_ms <= aim * (two.mean_wait_ms + first_byte_ms));
    CHECK(even.p99_wait_ms + first_byte_ms <= aim * (two.p99_wait_ms + first_byte_ms));
}

auto weights_of(const std::vector<spread_target>& targets) -> std::vector<double>
{
    return spread_weights(targets, {1s, 400ms});
}

} // namespace

TEST_CASE("even_load: silent targets in uneven zones are spread over; one got everything")
{
    auto load = fleet_of(67, 4, 0ms);
    load.zones = {"a", "a", "b", "c"};
    load.slots.assign(4, 6);
    load.queue = 24;
    load.age.reset();
    load.work = 60ms;
    load.objective = 300ms;
    const auto figures = play_all(load);
    INFO(figures.text);
    CHECK(figures.by.at(policy::even).rejected < 0.03);
    CHECK(figures.by.at(policy::even).late < 0.05);
    CHECK(figures.by.at(policy::even).busiest < figures.by.at(policy::today).busiest);
    // all requests of a zone that is out went to the lowest id elsewhere, here in a burst
    load.out = "b";
    load.busy = 0.6;
    const auto today = play(load, policy::today);
    const auto even = play(load, policy::even);
    CHECK(even.rejected < today.rejected);
    CHECK(even.late < today.late);
    CHECK(even.rejected < 0.03);
    CHECK(even.late < 0.05);
}

TEST_CASE("even_load: silent targets that turn slower in turn")
{
    auto load = fleet_of(140, 3, 0ms);
    load.slots.assign(3, 6);
    load.queue = 24;
    load.age.reset();
    load.work = 30ms;
    load.objective = 150ms;
    load.busy = 0.40;
    load.slow_time = 0.15;
    load.slower = 2.5;
    const auto figures = play_all(load);
    INFO(figures.text);
    CHECK(figures.by.at(policy::even).rejected < 0.03);
    CHECK(figures.by.at(policy::even).late < 0.05);
}

TEST_CASE("even_load: waits with old reports are close to those of two fresh choices")
{
    for (const auto age : {100ms, 500ms, 1000ms}) {
        CAPTURE(age.count());
        for (const auto& fleet : {std::pair{9U, 12U}, {67U, 60U}, {195U, 100U}, {390U, 120U}}) {
            auto load = fleet_of(fleet.first, fleet.second, age);
            CAPTURE(fleet.first);
            if (age <= 500ms) {
                check_waits(load);
            }
            else {
                const auto even = play(load, policy::even);
                const auto random = play(load, policy::random);
                CHECK(even.late <= random.late + 0.01);
            }
        }
    }
}

TEST_CASE("even_load: uneven targets, and targets that pause")
{
    auto uneven = fleet_of(67, 60, 500ms);
    for (std::size_t index = 0; index < uneven.slots.size(); index += 2) {
        uneven.slots[index] = 32;
    }
    check_waits(uneven);
    auto pausing = fleet_of(67, 60, 500ms);
    pausing.slow_time = 0.15;
    pausing.slower = 2.5;
    check_waits(pausing);
}

TEST_CASE("even_load: a hot prompt stays at its holders and does not disturb the others")
{
    auto load = fleet_of(67, 60, 500ms);
    load.hot = 0.05;
    const auto figures = play_all(load);
    INFO(figures.text);
    CHECK(figures.by.at(policy::even).late < figures.by.at(policy::today).late);
}

TEST_CASE(
    "even_load: a choice from a part of a large service finds the prompt's holder and free targets")
{
    auto table = target_table{};
    for (auto index = 0; index < 400; ++index) {
        auto entry = published_target{};
        entry.id = "t" + std::to_string(index);
        entry.service = "s";
        entry.draining = index != 77 && index % 40 != 0;
        upsert_target(table, entry, {});
    }
    auto query = choice_query{};
    query.service = "s";
    query.prefix_tokens = 2000;
    const auto now = time_point{} + 1s;
    auto seen = std::set<std::string>{};
    for (auto turn = 0; turn < 200; ++turn) {
        query.random = next_draw(query.random);
        query.prefix_hash = 0;
        query.even_load = true;
        seen.insert(choose_target(table, query, {}, now).chosen->published.id);
    }
    CHECK(seen.size() == 11);
    for (auto& [id, one] : table.targets) {
        one.published.draining = false;
    }
    for (query.prefix_hash = 1; query.prefix_hash < 50; ++query.prefix_hash) {
        query.even_load = false;
        const auto holder = choose_target(table, query, {}, now);
        query.even_load = true;
        const auto even = choose_target(table, query, {}, now);
        CHECK(even.chosen == holder.chosen);
        CHECK(even.alternate_holder == holder.alternate_holder);
    }
}

TEST_CASE("even_load: failing, slow and overloaded targets get less, and are still tried")
{
    auto targets = std::vector<spread_target>(4);
    targets[1].failure_share = 0.95;
    targets[2].pace = 2.5;
    auto weights = weights_of(targets);
    CHECK(weights[1] > 0);
    CHECK(weights[1] < 0.05 * weights[0]);
    CHECK(weights[2] == doctest::Approx(weights[0] / 2.5));
    for (auto& one : targets) {
        one = {10, 5, 200ms, 1, 0, false};
    }
    targets[3].requests = 12;
    weights = weights_of(targets);
    CHECK(weights[3] == 0);
    // much older information hardly counts
    for (auto& one : targets) {
        one.age = 20s;
    }
    weights = weights_of(targets);
    CHECK(weights[3] > 0.9 * weights[0]);
    CHECK(pick_weighted(std::array{0.0, 1.0, 0.0, 1.0}, 0.0) == 1);
    CHECK(pick_weighted(std::array{0.0, 1.0, 0.0, 1.0}, 0.999999) == 3);
}
