#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "cyclamenpost/routing/store_readers.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

const auto readers = std::vector<std::string>{"r1", "r2", "r3"};

} // namespace

TEST_CASE("store_readers: all instances of a zone determine the same readers")
{
    const auto forward = store_readers({"a", "b", "c", "d", "e"});
    CHECK(forward == store_readers({"e", "d", "c", "b", "a"}));
    CHECK(forward.size() == readers_per_zone);
    CHECK(store_readers({"a"}).size() == 1);
    // a reader that leaves is replaced by the next in order; the others stay
    auto rest = std::vector<std::string>{"a", "b", "c", "d", "e"};
    std::erase(rest, forward.front());
    const auto next = store_readers(rest);
    CHECK(next[0] == forward[1]);
    CHECK(next[1] == forward[2]);
}

TEST_CASE("store_readers: instances are spread over the readers and never select themselves")
{
    auto asked = std::set<std::string>{};
    for (const auto* id : {"f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8"}) {
        const auto order = readers_from_preferred(readers, id);
        CHECK(std::set(order.begin(), order.end()) == std::set(readers.begin(), readers.end()));
        asked.insert(order.front());
    }
    CHECK(asked.size() == readers.size());
    CHECK(readers_from_preferred(readers, "r1").size() == 2);
    CHECK(readers_from_preferred(readers, "r1").front() != "r1");
    CHECK(readers_from_preferred({"r1"}, "r1").empty());
}

TEST_CASE(
    "store_readers: an instance that is no reader stops reading the store after the first notice")
{
    constexpr auto running = reader_settle_time;
    CHECK(store_duty_of(readers, "r1", 0ms, running) == store_duty::first_reader);
    CHECK(store_duty_of(readers, "r2", 0ms, running) == store_duty::standby);
    CHECK(store_duty_of(readers, "f1", 0ms, running) == store_duty::none);
    CHECK(store_duty_of(readers, "f1", 2 * notice_period, running) == store_duty::none);
    CHECK(store_duty_of(readers, "f1", 3 * notice_period, running) == store_duty::backup);
    // no notice received since the start
    CHECK(store_duty_of(readers, "f1", 1h, running) == store_duty::backup);
    // an instance without known members is a reader
    CHECK(store_duty_of({"f1"}, "f1", 0ms, running) == store_duty::first_reader);
}

TEST_CASE(
    "store_readers: an instance that waits too long for an announced revision reads the store "
    "although notices arrive")
{
    constexpr auto running = reader_settle_time;
    CHECK(store_duty_of(readers, "f1", 0ms, running, notice_timeout) == store_duty::none);
    CHECK(store_duty_of(readers, "f1", 0ms, running, notice_timeout + 1ms) == store_duty::backup);
}

TEST_CASE("store_readers: an instance that has just started reads as a backup, since it does not "
          "know yet that there are others")
{
    CHECK(store_duty_of({"f1"}, "f1", 1h, 0ms) == store_duty::backup);
    // the notice may come from an instance that is no reader and will stop to read
    CHECK(store_duty_of({"f1"}, "f1", 0ms, 0ms) == store_duty::backup);
    CHECK(store_duty_of(readers, "r2", 0ms, 0ms) == store_duty::backup);
    CHECK(store_duty_of(readers, "f1", 0ms, 0ms) == store_duty::none);
}

TEST_CASE(
    "store_readers: after a restart of a whole zone some instance reads the store at any time")
{
    // every instance knows another one as the first reader and has heard a notice of it
    const auto views =
        std::vector<std::vector<std::string>>{{"a", "b", "c"}, {"b", "c", "a"}, {"c", "a", "b"}};
    for (auto since_start = duration{}; since_start < 2 * reader_settle_time;
         since_start += duration{100ms}) {
        auto reading = 0;
        for (const auto* id : {"a", "b", "c", "d"}) {
            for (const auto& view : views) {
                reading += store_duty_of(view, id, 0ms, since_start) != store_duty::none ? 1 : 0;
            }
        }
        CHECK(reading > 0);
    }
}

TEST_CASE("store_readers: a backup reads more slowly, but not before it knows anything")
{
    CHECK(pause_after_changes(store_duty::standby) ==
          pause_after_changes(store_duty::first_reader));
    CHECK(pause_after_changes(store_duty::first_reader) < pause_after_changes(store_duty::backup));
    // a change must reach an instance that is alone with the store within a second
    CHECK(pause_after_changes(store_duty::backup) <= 1s);
    for (const auto failures : {1U, 2U, 3U, 9U, 4'000'000'000U}) {
        const auto reader = pause_after_failure(store_duty::first_reader, failures, true);
        CHECK(pause_after_failure(store_duty::standby, failures, true) == reader);
        CHECK(pause_after_failure(store_duty::backup, failures, true) >= reader);
        CHECK(pause_after_failure(store_duty::backup, failures, false) == reader);
        CHECK(reader <= 400ms);
        CHECK(pause_after_failure(store_duty::backup, failures, true) <= 2s);
    }
}

namespace {

/// Calls to the store in the first 10 s after all instances of a fleet start at once, while targets
/// register every 20 ms. An instance knows its zone's members after 1 s, and readers send notices.
auto calls_of_a_fleet_start(int zones, int instances_per_zone) -> int
{
    auto calls = 0;
    for (auto zone = 0; zone < zones; ++zone) {
        auto members = std::vector<std::string>{};
        for (auto index = 0; index < instances_per_zone; ++index) {
            members.push_back(std::to_string(zone) + ":" + std::to_string(index));
        }
        const auto zone_readers = store_readers(members);
        for (const auto& id : members) {
            const auto is_reader =
                std::find(zone_readers.begin(), zone_readers.end(), id) != zone_readers.end();
            ++calls; // the listing
            for (auto now = duration{}; now < 10s;) {
                const auto joined = now >= 1s;
                const auto first_notice = 1s + notice_period;
                const auto since_notice =
                    joined && !is_reader && now >= first_notice ? duration{} : duration{1h};
                const auto known = joined ? zone_readers : std::vector<std::string>{id};
                const auto duty = store_duty_of(known, id, since_notice, now);
                calls += duty == store_duty::none ? 0 : 1;
                now += duty == store_duty::none ? duration{500ms} : pause_after_changes(duty);
            }
        }
    }
    return calls;
}

} // namespace

TEST_CASE("store_readers: the calls of a fleet's start grow with the zones' readers, not with ten "
          "calls a second for each instance")
{
    const auto small = calls_of_a_fleet_start(20, 3);
    const auto large = calls_of_a_fleet_start(20, 20);
    const auto per_follower = (large - small) / (20 * 17);
    // the aim for a quiet day of 195 instances, of which the start is the largest part
    constexpr auto aimed_calls = 1500;
    constexpr auto instances = 195;
    CHECK(per_follower * instances < aimed_calls);
}

TEST_CASE("store_readers: a new instance that reads the store itself takes requests at once")
{
    auto known = start_knowledge{};
    CHECK_FALSE(knows_enough(known));
    known.listed_store = true;
    CHECK(knows_enough(known));
}

TEST_CASE("store_readers: a new instance does not use the state of a peer that lags")
{
    // its first peer lost the store at revision 40; key and target went at 45
    auto known = start_knowledge{};
    known.revision = 40;
    known.newest_announced = 40;
    known.since_first_announced = 100ms;
    CHECK_FALSE(knows_enough(known));
    SUBCASE("a reader of the store is ahead")
    {
        known.heard_reader = true;
        known.newest_announced = 45;
        CHECK_FALSE(knows_enough(known));
        known.revision = 45;
        CHECK(knows_enough(known));
    }
    SUBCASE("a reader confirms the state")
    {
        known.heard_reader = true;
        CHECK(knows_enough(known));
    }
    SUBCASE("no instance reads the store, but another one is ahead")
    {
        known.newest_announced = 45;
        known.since_first_announced = announcement_time;
        CHECK_FALSE(knows_enough(known));
        known.revision = 46;
        CHECK(knows_enough(known));
    }
    SUBCASE("no instance reads the store, and none is ahead")
    {
        known.since_first_announced = announcement_time;
        CHECK(knows_enough(known));
    }
    SUBCASE("the instance that was ahead has died")
    {
        known.newest_announced = 45;
        known.since_first_announced = 10s;
        CHECK(knows_enough(known));
    }
}
