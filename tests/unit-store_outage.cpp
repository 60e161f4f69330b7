#include <doctest/doctest.h>

#include "cyclamenpost/routing/store_outage.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

constexpr auto start = time_point{100s};
constexpr auto heartbeat = duration{1200ms};
constexpr auto window = duration{2s};

auto served_at(time_point at) -> store_outage
{
    auto outage = store_outage{};
    note_served(outage, at);
    return outage;
}

} // namespace

// The store may cut a watch that is waiting. The last answer is then as old as a watch waits, and
// the next call is answered.
TEST_CASE("store_outage: a call that is cut does not make entries lapse")
{
    constexpr auto watch_time = 1500ms;
    auto outage = served_at(start);
    note_failed(outage);
    CHECK_FALSE(may_have_lapsed(outage, heartbeat, window, start + watch_time));
    note_served(outage, start + watch_time + 100ms);
    for (auto after = duration{}; after < 10s; after += duration{100ms}) {
        CHECK_FALSE(may_have_lapsed(outage, heartbeat, window, start + watch_time + 100ms + after));
    }
}

TEST_CASE("store_outage: entries may have lapsed in an outage of more than two heartbeats, until "
          "some time after it")
{
    auto outage = served_at(start);
    note_failed(outage);
    note_failed(outage);
    CHECK(may_have_lapsed(outage, heartbeat, window, start + 2 * heartbeat));
    const auto end = start + 10s;
    note_served(outage, end);
    note_served(outage, end + 1s);
    CHECK(may_have_lapsed(outage, heartbeat, window, end + window - 1ms));
    CHECK_FALSE(may_have_lapsed(outage, heartbeat, window, end + window));
}

TEST_CASE("store_outage: each outage is judged by itself")
{
    auto outage = served_at(start);
    note_failed(outage);
    note_served(outage, start + 10s);
    note_failed(outage);
    note_served(outage, start + 11s);
    CHECK_FALSE(may_have_lapsed(outage, heartbeat, window, start + 11s));
}

// An instance that leaves the store to others has no answers of its own; their notices stand for
// them.
TEST_CASE("store_outage: what others say of the store counts as an answer")
{
    auto outage = served_at(start);
    note_served(outage, start + 60s);
    note_served(outage, start + 50s);
    note_failed(outage);
    CHECK_FALSE(may_have_lapsed(outage, heartbeat, window, start + 61s));
    CHECK(may_have_lapsed(outage, heartbeat, window, start + 63s));
}

TEST_CASE("store_outage: nothing has lapsed before a call has failed")
{
    CHECK_FALSE(may_have_lapsed({}, heartbeat, window, start));
}
