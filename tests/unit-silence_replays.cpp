// The load patterns of early retries. Bounds are the first ones, set before the rule was finished.
#include <doctest/doctest.h>

#include "silence_replay.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::test;

TEST_CASE(
    "silence_replays: a quarter of the targets is lost without notice, and half as many are late")
{
    // the store drops their entries after 4 s
    const auto lost = [](int target, duration usual, duration now) -> std::optional<duration> {
        const auto hangs = target % 4 == 0 && now > seconds{20} && now < seconds{24};
        return hangs ? std::nullopt : std::optional{usual};
    };
    const auto before = replay(false, lost);
    const auto after = replay(true, lost);
    CHECK(after.late < before.late / 2);
    // half of the part of the budget that the instances share
    CHECK(after.left < after.requests * 0.1);
}

TEST_CASE("silence_replays: a service that turns six times slower is not sent its requests twice")
{
    const auto slow = [](int, duration usual, duration now) -> std::optional<duration> {
        return now > seconds{20} ? usual * 6 : usual;
    };
    const auto before = replay(false, slow);
    const auto after = replay(true, slow);
    CHECK(after.left < after.requests * 0.03);
    CHECK(after.late < before.late + before.requests * 0.01);
    // after the slow answers have become known, moves have to stay within the retry budget
    CHECK(after.moved_later < before.moved_later * 1.3);
}
