#include <doctest/doctest.h>

#include "cyclamenpost/routing/fleet_load.hpp"
#include "cyclamenpost/routing/load_sharing.hpp"
#include "cyclamenpost/routing/target_estimate.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

const auto start = time_point{} + 100s;

using zone_members = std::map<std::string, std::vector<std::string>>;

auto table_of(const std::vector<std::string>& ids) -> target_table
{
    auto table = target_table{};
    for (const auto& id : ids) {
        auto entry = published_target{};
        entry.id = id;
        entry.service = "engine";
        upsert_target(table, entry, start);
    }
    return table;
}

auto collector_in(const zone_members& members, const std::string& zone) -> std::string
{
    for (const auto& id : members.at(zone)) {
        if (load_recipients_of(members, id, zone).collector.empty()) {
            return id;
        }
    }
    return {};
}

} // namespace

TEST_CASE("load_sharing: one instance per zone collects loads and sends them to its zone and the "
          "other collectors")
{
    const auto members =
        zone_members{{"a", {"a1", "a2", "a3", "a4"}}, {"b", {"b1", "b2"}}, {"c", {"c1"}}};
    const auto collector = collector_in(members, "a");
    REQUIRE_FALSE(collector.empty());
    for (const auto& id : members.at("a")) {
        const auto recipients = load_recipients_of(members, id, "a");
        if (id == collector) {
            CHECK(recipients.zone_peers.size() == 3);
            CHECK(recipients.other_collectors ==
                  std::vector<std::string>{collector_in(members, "b"), "c1"});
            continue;
        }
        CHECK(recipients.collector == collector);
        CHECK(recipients.zone_peers.empty());
        CHECK(recipients.other_collectors.empty());
    }
}

TEST_CASE("load_sharing: an instance without known members sends nothing")
{
    const auto recipients = load_recipients_of({{"a", {"a1"}}}, "a1", "a");
    CHECK(recipients.collector.empty());
    CHECK(recipients.zone_peers.empty());
    CHECK(recipients.other_collectors.empty());
}

TEST_CASE("load_sharing: an instance receives the load of a target that it never used")
{
    auto here = table_of({"t1", "t2"});
    auto there = table_of({"t1", "t2"});
    record_load(here.targets.at("t1"), 4, 3, start);
    const auto shared = loads_received_after(here, {}, report_origin::own_answer, start + 100ms);
    REQUIRE(shared.size() == 1);
    merge_shared_loads(there, shared, report_origin::zone_peer, start + 200ms);
    CHECK(estimated_load(there, there.targets.at("t1"), start + 300ms) == doctest::Approx(7));
    CHECK(estimated_load(there, there.targets.at("t2"), start + 300ms) == doctest::Approx(0));
    // the report's age counts from the target's answer
    CHECK(estimated_load(there, there.targets.at("t1"), start + 2200ms) == doctest::Approx(0));
}

TEST_CASE("load_sharing: an older report never replaces a newer one")
{
    auto table = table_of({"t1"});
    auto& known = table.targets.at("t1");
    record_load(known, 5, 0, start);
    merge_shared_loads(table, {{name_key("t1"), 9, 500ms}}, report_origin::zone_peer,
                       start + 100ms);
    CHECK(estimated_load(table, known, start + 100ms) == doctest::Approx(5));
    merge_shared_loads(table, {{name_key("t1"), 2, 10ms}}, report_origin::zone_peer, start + 100ms);
    CHECK(estimated_load(table, known, start + 100ms) == doctest::Approx(2));
    merge_shared_loads(table, {{name_key("unknown"), 2, 0ms}}, report_origin::zone_peer, start);
    CHECK(table.targets.size() == 1);
}

TEST_CASE("load_sharing: own requests sent since the report are added to the estimate")
{
    auto table = table_of({"t1"});
    auto& known = table.targets.at("t1");
    record_load(known, 1, 0, start);
    begin_request(table, known, start + 200ms);
    merge_shared_loads(table, {{name_key("t1"), 3, 50ms}}, report_origin::zone_peer, start + 100ms);
    CHECK(estimated_load(table, known, start + 200ms) == doctest::Approx(4));
    merge_shared_loads(table, {{name_key("t1"), 3, 50ms}}, report_origin::zone_peer, start + 400ms);
    CHECK(estimated_load(table, known, start + 400ms) == doctest::Approx(3));
}

TEST_CASE("load_sharing: a report is forwarded once and never to other zones unless it is from the "
          "own zone")
{
    auto table = table_of({"t1", "t2", "t3"});
    record_load(table.targets.at("t1"), 1, 0, start);
    merge_shared_loads(table, {{name_key("t2"), 2, 0ms}}, report_origin::zone_peer, start + 10ms);
    merge_shared_loads(table, {{name_key("t3"), 3, 0ms}}, report_origin::other_zone, start + 20ms);
    const auto now = start + 100ms;
    CHECK(loads_received_after(table, {}, report_origin::own_answer, now).size() == 1);
    CHECK(loads_received_after(table, {}, report_origin::zone_peer, now).size() == 2);
    CHECK(loads_received_after(table, {}, report_origin::other_zone, now).size() == 3);
    CHECK(loads_received_after(table, start + 15ms, report_origin::other_zone, now).size() == 1);
    CHECK(loads_received_after(table, now, report_origin::other_zone, now).empty());
    CHECK(loads_received_after(table, {}, report_origin::other_zone, start + 1min).empty());
}

TEST_CASE("load_sharing: a target's reports are discarded when it restarts or is purged")
{
    auto table = table_of({"t1"});
    merge_shared_loads(table, {{name_key("t1"), 3, 0ms}}, report_origin::zone_peer, start);
    auto entry = table.targets.at("t1").published;
    entry.started_ms = 2;
    upsert_target(table, entry, start);
    CHECK_FALSE(table.targets.at("t1").load.has_value());
    remove_target(table, "t1", listing_state::removed, start);
    purge_removed_targets(table, start + 1min);
    merge_shared_loads(table, {{name_key("t1"), 3, 0ms}}, report_origin::zone_peer, start + 1min);
    CHECK(table.targets.empty());
    CHECK(table.id_by_key.empty());
}

TEST_CASE("load_sharing: the pace of a slow target is not known to others, or not in use")
{
    auto here = table_of({"t1"});
    auto there = table_of({"t1"});
    there.fleet.active = true;
    record_load(here.targets.at("t1"), 4, 3, start, 2.5);
    merge_shared_loads(there,
                       loads_received_after(here, {}, report_origin::own_answer, start + 100ms),
                       report_origin::zone_peer, start + 100ms);
    CHECK(estimate_target(there, there.targets.at("t1"), start).pace == doctest::Approx(2.5));
    CHECK(last_heard(there.targets.at("t1")) == start);
}

TEST_CASE("load_sharing: answers that others had do not help a target that has recovered")
{
    auto table = table_of({"t1"});
    table.fleet.active = true;
    auto& known = table.targets.at("t1");
    record_attempt(table, known, false, start);
    const auto share = estimate_target(table, known, start + 800ms).failure_share;
    merge_shared_loads(table, {{name_key("t1"), 1, 0ms}}, report_origin::zone_peer, start + 400ms);
    merge_shared_loads(table, {{name_key("t1"), 1, 0ms}}, report_origin::zone_peer, start + 600ms);
    CHECK(estimate_target(table, known, start + 800ms).failure_share < share / 2);
}
