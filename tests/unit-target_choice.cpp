#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "cyclamenpost/routing/fleet_load.hpp"
#include "cyclamenpost/routing/load_sharing.hpp"
#include "cyclamenpost/routing/target_choice.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

const auto start = time_point{} + 100s;

auto make_target(const std::string& id, const std::string& zone, std::uint32_t capacity = 10)
    -> published_target
{
    auto entry = published_target{};
    entry.id = id;
    entry.service = "engine";
    entry.address = "10.0.0.1:1";
    entry.zone = zone;
    entry.capacity = capacity;
    entry.started_ms = 1;
    return entry;
}

auto make_table(int count) -> target_table
{
    auto table = target_table{};
    table.settings.zone = "a";
    table.settings.cold_rate_factor = 1.5;
    table.settings.cold_rate_slack = 5;
    for (auto index = 0; index < count; ++index) {
        upsert_target(table, make_target("t" + std::to_string(index), index % 2 == 0 ? "a" : "b"),
                      start);
    }
    return table;
}

auto prompt_query(std::uint64_t prefix_hash) -> choice_query
{
    auto query = choice_query{};
    query.service = "engine";
    query.prefix_hash = prefix_hash;
    query.prefix_tokens = 10'000;
    return query;
}

auto chosen_id(target_table& table, const choice_query& query, time_point now = start)
    -> std::string
{
    const auto choice = choose_target(table, query, {}, now);
    return choice.chosen == nullptr ? std::string{name_in(no_target_reason_names, choice.reason)}
                                    : choice.chosen->published.id;
}

} // namespace

TEST_CASE("target_choice: instances of all zones agree on the holder of a prompt prefix")
{
    auto here = make_table(8);
    auto there = make_table(8);
    there.settings.zone = "b";
    for (std::uint64_t prefix_hash = 1; prefix_hash < 50; ++prefix_hash) {
        CHECK(chosen_id(here, prompt_query(prefix_hash)) ==
              chosen_id(there, prompt_query(prefix_hash)));
    }
}

TEST_CASE("target_choice: a new target moves only the prefixes that it will hold")
{
    auto before = make_table(8);
    auto after = make_table(9);
    auto moved = 0;
    for (std::uint64_t prefix_hash = 1; prefix_hash <= 900; ++prefix_hash) {
        const auto now_chosen = chosen_id(after, prompt_query(prefix_hash));
        if (now_chosen != chosen_id(before, prompt_query(prefix_hash))) {
            CHECK(now_chosen == "t8");
            ++moved;
        }
    }
    CHECK(moved > 50);
    CHECK(moved < 150);
}

TEST_CASE(
    "target_choice: a prefix moves to another holder only if the first exceeds the load bound")
{
    auto table = make_table(4);
    const auto query = prompt_query(7);
    const auto holder = chosen_id(table, query);
    for (auto& [id, known] : table.targets) {
        known.in_flight = 3;
    }
    CHECK(chosen_id(table, query) == holder);
    table.targets.at(holder).in_flight = 12;
    CHECK(chosen_id(table, query) != holder);
}

TEST_CASE("target_choice: an overloaded primary holder spills over to the secondary only")
{
    auto table = make_table(8);
    const auto query = prompt_query(7);
    const auto first = chosen_id(table, query);
    for (auto& [id, known] : table.targets) {
        known.in_flight = 5;
    }
    // the load bound is 12.6 here, so the primary holder could accept more
    table.targets.at(first).in_flight = 10;
    const auto second = chosen_id(table, query);
    CHECK(second != first);
    // no spillover to a secondary holder that has hardly less load
    table.targets.at(second).in_flight = 8;
    CHECK(chosen_id(table, query) == first);
    // a long prefix, which costs more to copy, spills over at a higher load than a short one
    table.targets.at(second).in_flight = 5;
    table.targets.at(first).in_flight = 9;
    CHECK(chosen_id(table, query) == first);
    auto shorter = query;
    shorter.prefix_tokens = 1000;
    CHECK(chosen_id(table, shorter) == second);
    // no spillover when the whole service is equally loaded
    for (auto& [id, known] : table.targets) {
        known.in_flight = 9;
    }
    CHECK(chosen_id(table, query) == first);
}

TEST_CASE("target_choice: the estimate adds requests sent since the report to the reported load")
{
    auto table = make_table(2);
    auto& known = table.targets.at("t0");
    record_load(known, 4, 2, start);
    begin_request(table, known, start);
    CHECK(estimated_load(table, known, start) == doctest::Approx(7));
    CHECK(estimated_load(table, known, start + 1min) == doctest::Approx(1));
}

TEST_CASE(
    "target_choice: requests without a prefix stay in the zone until it is clearly more loaded")
{
    auto table = make_table(2);
    auto query = choice_query{};
    query.service = "engine";
    CHECK(chosen_id(table, query) == "t0");
    table.targets.at("t0").in_flight = 4;
    table.targets.at("t1").in_flight = 4;
    CHECK(chosen_id(table, query) == "t0");
    table.targets.at("t0").in_flight = 8;
    CHECK(chosen_id(table, query) == "t1");
}

TEST_CASE("target_choice: draining, removed and evacuated targets receive no requests")
{
    auto table = make_table(2);
    auto query = choice_query{};
    query.service = "engine";
    auto leaving = make_target("t0", "a");
    leaving.draining = true;
    upsert_target(table, leaving, start);
    CHECK(chosen_id(table, query) == "t1");
    set_zone_evacuated(table, "b", true, 3s, start);
    CHECK(chosen_id(table, query) == "service_empty");
    set_zone_evacuated(table, "b", false, 3s, start);
    CHECK(chosen_id(table, query) == "t1");
    remove_target(table, "t1", listing_state::removed, start);
    CHECK(chosen_id(table, query) == "service_empty");
}

TEST_CASE("target_choice: a target that lapsed during a store outage is used for a grace period")
{
    auto table = make_table(1);
    auto query = choice_query{};
    query.service = "engine";
    remove_target(table, "t0", listing_state::lapsed, start);
    CHECK(chosen_id(table, query, start + 1900ms) == "t0");
    CHECK(chosen_id(table, query, start + 2s) == "service_empty");
}

TEST_CASE("target_choice: a failing target is not chosen while another is available")
{
    auto table = make_table(3);
    auto query = choice_query{};
    query.service = "engine";
    auto& known = table.targets.at("t0");
    begin_request(table, known, start);
    end_request(table, known, target_outcome::failed, 3s, start);
    CHECK(chosen_id(table, query, start + 100ms) == "t2");
    CHECK(chosen_id(table, query, start + 600ms) == "t0");
}

TEST_CASE(
    "target_choice: a cold target's allowance holds even if instances disagree about the members")
{
    // the allowance is 20 x 1.5 + 5 requests in any second over all instances
    constexpr auto allowance = 35U;
    const auto table = make_table(0);
    for (const auto fleet : {1U, 3U, 9U, 12U, 88U, 390U}) {
        auto members = std::vector<std::string>{};
        for (auto index = 0U; index < fleet; ++index) {
            members.push_back("10.0.0." + std::to_string(index) + ":1");
        }
        for (const auto* target_id : {"i-1", "i-2", "i-3"}) {
            auto total = 0U;
            auto halves = 0U;
            const auto middle = members.begin() + static_cast<std::ptrdiff_t>(fleet / 2);
            const auto left = std::vector<std::string>(members.begin(), middle);
            const auto right = std::vector<std::string>(middle, members.end());
            for (auto index = 0U; index < fleet; ++index) {
                const auto& half = index < fleet / 2 ? left : right;
                total += cold_quota_of(table.settings, 20, target_id, members[index], members)
                             .per_second;
                halves +=
                    cold_quota_of(table.settings, 20, target_id, members[index], half).per_second;
            }
            CHECK(total > 0);
            CHECK(total <= allowance);
            // the instances use all of the half that is divided among them
            CHECK(total == allowance / 2);
            CHECK(halves <= allowance);
        }
    }
}

TEST_CASE("target_choice: an instance that knows no members yet sends no requests to cold targets")
{
    auto table = make_table(1);
    CHECK(cold_quota_of(table.settings, 20, "t0", "own", {}).per_second == 0);
    auto entry = make_target("t0", "a");
    entry.cold_remaining = 3s;
    upsert_target(table, entry, start);
    const auto members = std::vector<std::string>{};
    auto query = choice_query{};
    query.service = "engine";
    query.cold_per_second = 20;
    query.own_id = "own";
    query.members = &members;
    CHECK(chosen_id(table, query) == "all_cold");
    CHECK(chosen_id(table, query, start + 3s) == "t0");
}

TEST_CASE("target_choice: requests to a cold target stay within the quota in any second")
{
    auto table = make_table(1);
    auto entry = make_target("t0", "a");
    entry.cold_remaining = 3s;
    upsert_target(table, entry, start);
    const auto members = std::vector<std::string>{"own"};
    auto query = choice_query{};
    query.service = "engine";
    query.cold_per_second = 20;
    query.own_id = "own";
    query.members = &members;
    auto sent = 0;
    for (auto now = start; now < start + 1s; now += 10ms) {
        const auto choice = choose_target(table, query, {}, now);
        if (choice.chosen != nullptr) {
            begin_request(table, *choice.chosen, now);
            ++sent;
        }
    }
    CHECK(sent == 17);
    CHECK(chosen_id(table, query, start + 3s) == "t0");
}

TEST_CASE(
    "target_choice: a fleet uses a cold target's quota each second, and delays in transit do not "
    "add up to more than its allowance")
{
    constexpr auto allowance = 35;
    constexpr auto max_delay_ms = 300; // the time limit for a connection
    auto members = std::vector<std::string>{};
    auto tables = std::vector<target_table>{};
    for (auto index = 0; index < 9; ++index) {
        members.push_back("i" + std::to_string(index));
        auto& table = tables.emplace_back(make_table(0));
        auto entry = make_target("t0", "a");
        entry.cold_remaining = 1min;
        upsert_target(table, entry, start);
    }
    auto random = std::mt19937_64{1};
    auto sent = 0;
    auto arrivals = std::vector<time_point>{};
    for (auto now = start; now < start + 10s; now += 5ms) {
        for (std::size_t index = 0; index < members.size(); ++index) {
            auto query = choice_query{};
            query.service = "engine";
            query.cold_per_second = 20;
            query.own_id = members[index];
            query.members = &members;
            const auto choice = choose_target(tables[index], query, {}, now);
            if (choice.chosen != nullptr) {
                begin_request(tables[index], *choice.chosen, now);
                ++sent;
                arrivals.push_back(now + std::chrono::milliseconds{random() % max_delay_ms});
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    for (const auto first : arrivals) {
        const auto in_one_second = std::upper_bound(arrivals.begin(), arrivals.end(), first + 1s) -
                                   std::lower_bound(arrivals.begin(), arrivals.end(), first);
        CHECK(in_one_second <= allowance);
    }
    CHECK(sent >= 10 * (allowance / 2) - 1);
}

TEST_CASE("target_choice: a restart under a known id discards the previous load and failures")
{
    auto table = make_table(1);
    auto& known = table.targets.at("t0");
    known.consecutive_failures = 3;
    known.backoff_until = start + 1h;
    auto entry = make_target("t0", "a");
    entry.started_ms = 2;
    upsert_target(table, entry, start);
    CHECK(table.targets.at("t0").consecutive_failures == 0);
    CHECK(table.targets.at("t0").backoff_until == time_point{});
}

TEST_CASE(
    "target_choice: only an answer clearly after the reset of the same incarnation shows that "
    "a target survived")
{
    auto table = target_table{};
    auto entry = published_target{};
    entry.id = "t1";
    entry.service = "app";
    entry.started_ms = 5;
    const auto begun = time_point{} + std::chrono::hours{1};
    const auto reset = begun + std::chrono::seconds{10};
    upsert_target(table, entry, begun);
    const auto survived = [&] { return has_survived(table, name_key("t1"), 5, reset); };
    auto& known = table.targets.at("t1");
    known.answered_at = reset + std::chrono::milliseconds{20};
    CHECK_FALSE(survived());
    // another instance shares the load that the target reported 100 ms after the reset
    const auto later = reset + std::chrono::milliseconds{400};
    merge_shared_loads(table, {{name_key("t1"), 3, std::chrono::milliseconds{300}}},
                       report_origin::zone_peer, later);
    CHECK(survived());
    CHECK_FALSE(has_survived(table, name_key("t2"), 5, reset));
    // a restart under the same id proves nothing
    entry.started_ms = 6;
    upsert_target(table, entry, later);
    CHECK_FALSE(survived());
}

TEST_CASE(
    "target_choice: a choice above the load bound says whether cold targets had no quota left")
{
    auto table = make_table(2);
    table.targets.at("t0").load = reported_load{40, start};
    auto query = choice_query{};
    query.service = "engine";
    query.cold_per_second = 20;
    const auto members = std::vector<std::string>{};
    query.members = &members;
    CHECK(!choose_target(table, query, {}, start).over_bound);
    table.targets.at("t1").cold_until = start + 3s;
    const auto choice = choose_target(table, query, {}, start);
    REQUIRE(choice.chosen != nullptr);
    CHECK(choice.chosen->published.id == "t0");
    CHECK(choice.over_bound);
    CHECK(choice.cold_without_quota == 1);
}

TEST_CASE(
    "target_choice: the load in a report that is not followed by others fades as requests end")
{
    auto table = make_table(1);
    auto& known = table.targets.at("t0");
    known.load = reported_load{30, start};
    CHECK(estimated_load(table, known, start + 1900ms) == doctest::Approx(30));
    for (auto request = 0; request < 300; ++request) {
        record_request_time(table, "engine", request % 2 == 0 ? 500ms : 1500ms);
        record_request_time(table, "app", 10ms);
    }
    CHECK(estimated_load(table, known, start + 400ms) == doctest::Approx(30));
    CHECK(estimated_load(table, known, start + 1500ms) ==
          doctest::Approx(30 * std::exp(-1.0)).epsilon(0.05));
    CHECK(estimated_load(table, known, start + 1900ms) < 30 * 0.3);
    // requests that were sent since the report are still there
    known.load->started_since = 4;
    CHECK(estimated_load(table, known, start + 1900ms) >= 4);
}

// Guards against prompts whose holder hangs: each instance lost a request of its own there,
// although the fleet knew of the failures.
TEST_CASE("target_choice: a prompt leaves a holder at which the fleet's requests fail, and returns")
{
    auto table = make_table(8);
    table.fleet.active = true;
    auto query = prompt_query(7);
    query.even_load = true;
    const auto holder = chosen_id(table, query);
    record_attempt(table, table.targets.at(holder), false, start);
    record_attempt(table, table.targets.at(holder), false, start);
    const auto next = chosen_id(table, query, start + 10ms);
    CHECK(next != holder);
    // no instance is the only one that moves the prompt: the next in rendezvous order takes it
    query.random = 0.9;
    CHECK(chosen_id(table, query, start + 10ms) == next);
    record_attempt(table, table.targets.at(holder), true, start + 500ms);
    CHECK(chosen_id(table, query, start + 510ms) == holder);
    query.even_load = false;
    CHECK(chosen_id(table, query, start + 10ms) == holder);
}

namespace {

/// A table whose first target takes one request in four seconds, of an instance that is alone and
/// has used the turns until the start.
auto make_limited_table(int count) -> target_table
{
    auto table = make_table(count);
    update_position(table.position, {"self"}, "self", start - 1min);
    auto& limit = table.targets.at("t0").limit;
    note_limit(limit, min_target_limit, start - 1min, start - 1min);
    while (has_turn(limit, table.position, name_key("t0"), start)) {
        use_turn(limit, table.position, name_key("t0"), start);
    }
    return table;
}

/// First time after the start at which the limited target may get the request.
auto allowed_at(const target_table& table, std::uint32_t prompt_tokens) -> time_point
{
    return next_allowed(table, table.targets.at("t0"), prompt_tokens, start).value();
}

} // namespace

// Guards against prompts that move for nothing: a request with a small prompt took the turn, and
// the one with a large prompt had to go to a target that does not have it cached.
TEST_CASE(
    "target_choice: requests with small prompts leave fresh turns of a limited target to others")
{
    auto table = make_limited_table(2);
    for (auto count = 0; count < 200; ++count) {
        record_prompt_size(table, "engine", count % 2 == 0 ? 1'000 : 9'000);
    }
    const auto fresh = allowed_at(table, 9'000);
    const auto half = turn_validity(min_target_limit) / 2;
    const auto& limited = table.targets.at("t0");
    CHECK(limit_allows(table, limited, 9'000, fresh));
    CHECK_FALSE(limit_allows(table, limited, 1'000, fresh));
    CHECK_FALSE(limit_allows(table, limited, 1'000, fresh + half - 2ms));
    CHECK(limit_allows(table, limited, 1'000, fresh + half + 2ms));
    CHECK(allowed_at(table, 1'000) >= fresh + half - 2ms);
    CHECK(allowed_at(table, 1'000) <= fresh + half + 2ms);
}

// Guards against turns that expire unused in a service whose requests have no prompts.
TEST_CASE("target_choice: requests without prompts use fresh turns of a limited target")
{
    auto table = make_limited_table(2);
    for (auto count = 0; count < 200; ++count) {
        record_prompt_size(table, "engine", 0);
    }
    CHECK(limit_allows(table, table.targets.at("t0"), 0, allowed_at(table, 0)));
}

// Guards against a limited target that gets requests between its turns, and against a caller that
// is not told why no target may be used.
TEST_CASE("target_choice: a limited target is chosen in the instance's turns only")
{
    auto table = make_limited_table(1);
    auto query = choice_query{};
    query.service = "engine";
    const auto first = allowed_at(table, 0);
    auto choice = choose_target(table, query, {}, first - 1ms);
    CHECK(choice.chosen == nullptr);
    CHECK(choice.reason == no_target_reason::all_limited);
    CHECK(choice.limited == 1);
    CHECK(choice.first_allowed == first);
    choice = choose_target(table, query, {}, first);
    REQUIRE(choice.chosen != nullptr);
    begin_request(table, *choice.chosen, first);
    choice = choose_target(table, query, {}, first + 1ms);
    CHECK(choice.reason == no_target_reason::all_limited);
    REQUIRE(choice.first_allowed);
    CHECK(*choice.first_allowed > first + 3s);
    table.position = {};
    choice = choose_target(table, query, {}, first + 10s);
    CHECK(choice.reason == no_target_reason::all_limited);
    CHECK_FALSE(choice.first_allowed);
}
