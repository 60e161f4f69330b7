#include <doctest/doctest.h>

#include "cyclamenpost/limits/retries.hpp"
#include "cyclamenpost/routing/fleet_size.hpp"
#include "cyclamenpost/routing/target_table.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

constexpr auto settle = duration{2500ms};

auto known_by(bool expects_others, std::optional<duration> since_contact, duration since_start)
    -> member_knowledge
{
    return {since_start, since_contact, expects_others, settle};
}

auto ids(int count) -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto index = 0; index < count; ++index) {
        names.push_back("10.0.0." + std::to_string(index) + ":1");
    }
    return names;
}

/// Requests in a second that all instances together may send a cold target. Each instance knows the
/// members of its own part, or none if it is alone and does not know that the fleet is larger.
auto fleet_quota(int instances, int part_size) -> std::uint32_t
{
    constexpr auto cold_per_second = 16.0;
    auto settings = target_settings{};
    settings.cold_rate_factor = 1.5;
    settings.cold_rate_slack = 5;
    const auto all = ids(instances);
    auto total = std::uint32_t{0};
    for (auto index = 0; index < instances; ++index) {
        const auto first = index / part_size * part_size;
        const auto last = std::min(first + part_size, instances);
        const auto alone = last - first == 1;
        const auto contact = alone ? std::nullopt : std::optional{duration{10s}};
        const auto members = knows_fleet_size(known_by(instances > 1, contact, 20s))
                                 ? std::vector<std::string>(all.begin() + first, all.begin() + last)
                                 : std::vector<std::string>{};
        total += cold_quota_of(settings, cold_per_second, "t", all[static_cast<std::size_t>(index)],
                               members)
                     .per_second;
    }
    return total;
}

} // namespace

// Guards against a cold target that is overrun by instances that start while their seeds are down:
// each of them took itself for the whole fleet.
TEST_CASE("fleet_size: any number of instances that are alone keep a cold target's bound")
{
    constexpr auto bound = 16U * 3 / 2 + 5;
    for (const auto instances : {2, 3, 6, 195}) {
        CAPTURE(instances);
        CHECK(fleet_quota(instances, 1) <= bound);
        CHECK(fleet_quota(instances, instances) <= bound);
        CHECK(fleet_quota(instances, instances) > 0);
        CHECK(fleet_quota(instances, (instances + 1) / 2) <= bound);
    }
    // a fleet of one serves
    CHECK(fleet_quota(1, 1) > 0);
}

TEST_CASE("fleet_size: an instance that expects others is no fleet of one")
{
    CHECK_FALSE(knows_fleet_size(known_by(true, std::nullopt, 1h)));
    CHECK(knows_fleet_size(known_by(false, std::nullopt, settle + 1ms)));
    CHECK_FALSE(knows_fleet_size(known_by(false, std::nullopt, settle)));
    CHECK(names_others({"a", "b"}, "a"));
    CHECK_FALSE(names_others({"a"}, "a"));
    CHECK_FALSE(names_others({}, "a"));
}

TEST_CASE("fleet_size: the first contact does not complete the list of members")
{
    // as in a usual start
    CHECK(knows_fleet_size(known_by(true, 2400ms, settle + 1ms)));
    // after a minute alone
    CHECK_FALSE(knows_fleet_size(known_by(true, 100ms, 1min)));
    CHECK(knows_fleet_size(known_by(true, settle, 1min)));
}
