#include "entry_fixture.hpp"

#include "cyclamenpost/entry/load_messages.hpp"
#include "cyclamenpost/routing/fleet_load.hpp"
#include "cyclamenpost/routing/target_estimate.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

const auto start = time_point{} + 100s;
const std::vector<std::string> ids{"t1", "t2", "t3", "t4"};

/// One instance's table, and what it needs to exchange lists.
struct member {
    std::string id;
    std::string zone;
    target_table table;
    std::uint32_t sequence = 0;

    member(std::string name, std::string place) : id(std::move(name)), zone(std::move(place))
    {
        table.fleet.active = true;
        for (const auto& target_id : ids) {
            auto entry = published_target{};
            entry.id = target_id;
            entry.service = "app";
            entry.capacity = 6;
            entry.started_ms = 1'000;
            upsert_target(table, entry, start);
        }
    }

    auto at(const std::string& target_id = "t1") -> target&
    {
        return table.targets.at(target_id);
    }

    /// Sends a list through the encoding of messages.
    auto send(member& to, fleet_scope scope, time_point now, time_point arrival) -> fleet_merge
    {
        const auto list = fleet_list{scope, ++sequence, false, fleet_entries(table, scope, now)};
        if (scope == fleet_scope::instance) {
            note_reported(table, list.entries);
        }
        const auto message = encode_load_message({{}, list, {}}, true, now);
        const auto decoded = decode_load_message(message.load_reports(), arrival);
        REQUIRE(decoded);
        const auto sender = fleet_sender{name_key(id), 1, zone == to.zone};
        return merge_fleet_list(to.table, sender, *decoded->figures, arrival).outcome;
    }

    auto share(time_point now) -> double
    {
        return estimate_target(table, at(), now).failure_share;
    }

    auto requests(time_point now) -> double
    {
        return estimate_target(table, at(), now).requests;
    }
};

/// Two zones: in "a" the collector a1 with a2 and a3, in "b" the collector b1 with b2.
struct fleet {
    member a1{"a1", "a"};
    member a2{"a2", "a"};
    member a3{"a3", "a"};
    member b1{"b1", "b"};
    member b2{"b2", "b"};

    /// All instances send once, in the order of the hops.
    auto exchange(time_point now) -> void
    {
        const auto arrival = now + 1ms;
        a2.send(a1, fleet_scope::instance, now, arrival);
        a3.send(a1, fleet_scope::instance, now, arrival);
        b2.send(b1, fleet_scope::instance, now, arrival);
        a1.send(b1, fleet_scope::zone, arrival, arrival);
        b1.send(a1, fleet_scope::zone, arrival, arrival);
        refresh_fleet_sums(a1.table, arrival);
        refresh_fleet_sums(b1.table, arrival);
        a1.send(a2, fleet_scope::fleet, arrival, arrival);
        a1.send(a3, fleet_scope::fleet, arrival, arrival);
        b1.send(b2, fleet_scope::fleet, arrival, arrival);
    }

    auto members() -> std::vector<member*>
    {
        return {&a1, &a2, &a3, &b1, &b2};
    }
};

auto fail(member& seen_by, time_point now) -> void
{
    record_attempt(seen_by.table, seen_by.at(), false, now);
}

/// An answer that reports the target's load, as other instances get to know it.
auto answer(member& seen_by, time_point now, const std::string& id = "t1") -> void
{
    seen_by.at(id).answered_at = now;
    record_attempt(seen_by.table, seen_by.at(id), true, now);
}

} // namespace

TEST_CASE("fleet_load: each instance loses a request of its own at a target that hangs")
{
    auto all = fleet{};
    answer(all.a2, start);
    answer(all.b2, start);
    // two instances have waited in vain; the others have never used the target
    fail(all.a2, start + 1300ms);
    fail(all.b2, start + 1350ms);
    CHECK(all.a2.table.fleet.news.contains("t1"));
    all.exchange(start + 1400ms);
    for (auto* each : all.members()) {
        CHECK(each->share(start + 1410ms) > 0.6);
    }
    CHECK(all.a1.table.fleet.news.at("t1"));
    // it is tried again after some seconds
    CHECK(all.a3.share(start + 5s) < 0.1);
}

TEST_CASE("fleet_load: one instance whose attempts fail takes a healthy target out of use")
{
    auto all = fleet{};
    for (auto index = 0; index < 6; ++index) {
        fail(all.a2, start + index * 100ms);
    }
    all.exchange(start + 600ms);
    CHECK(all.b2.share(start + 610ms) > 0.6);
    answer(all.a3, start + 650ms);
    fail(all.a2, start + 660ms);
    all.exchange(start + 700ms);
    for (auto* each : all.members()) {
        CHECK(each->share(start + 710ms) <= 0.5);
    }
}

TEST_CASE("fleet_load: a target that answers again is avoided although others know it")
{
    auto all = fleet{};
    fail(all.a2, start + 1200ms);
    fail(all.b2, start + 1200ms);
    all.exchange(start + 1250ms);
    const auto before = all.a3.share(start + 1260ms);
    note_answer(all.a3.table, all.a3.at(), start + 1600ms);
    note_answer(all.a3.table, all.a3.at(), start + 1700ms);
    CHECK(all.a3.share(start + 1710ms) < before / 2);
}

TEST_CASE("fleet_load: a target that fails a third of its requests looks healthy or dead")
{
    auto all = fleet{};
    for (auto round = 0; round < 10; ++round) {
        const auto now = start + round * 100ms;
        answer(all.a2, now);
        answer(all.b2, now);
        fail(round % 2 == 0 ? all.a3 : all.b2, now + 20ms);
        all.exchange(now + 50ms);
    }
    const auto share = all.a1.share(start + 1s);
    CHECK(share > 0.15);
    CHECK(share < 0.5);
}

TEST_CASE("fleet_load: an instance that is disconnected reports all targets as failing")
{
    auto all = fleet{};
    for (const auto& id : ids) {
        record_attempt(all.a2.table, all.a2.at(id), false, start + 1s);
    }
    CHECK(fails_mostly(all.a2.table, start + 1s));
    all.exchange(start + 1s);
    CHECK(all.a1.share(start + 1010ms) == 0);
    CHECK(all.b2.share(start + 1010ms) == 0);
}

TEST_CASE("fleet_load: a target without load reports gets the requests of all instances at once")
{
    auto all = fleet{};
    for (auto* each : all.members()) {
        begin_request(each->table, each->at(), start);
    }
    all.exchange(start + 10ms);
    for (auto* each : all.members()) {
        CHECK(each->requests(start + 20ms) == doctest::Approx(5));
    }
    // own requests count at once, not only in the next report
    begin_request(all.b2.table, all.b2.at(), start + 20ms);
    CHECK(all.b2.requests(start + 20ms) == doctest::Approx(6));
    end_request(all.a3.table, all.a3.at(), target_outcome::succeeded, 0s, start + 30ms);
    CHECK(all.a3.requests(start + 30ms) == doctest::Approx(4));
    all.exchange(start + 200ms);
    CHECK(all.b2.requests(start + 210ms) == doctest::Approx(5));
}

TEST_CASE("fleet_load: requests of an instance that has ended stay in the sum")
{
    auto all = fleet{};
    begin_request(all.a2.table, all.a2.at(), start);
    all.exchange(start);
    CHECK(all.b2.requests(start + 10ms) == doctest::Approx(1));
    retain_fleet_sources(all.a1.table, {"a1", "a3", "b1"});
    refresh_fleet_sums(all.a1.table, start + 20ms);
    CHECK(all.a1.requests(start + 20ms) == doctest::Approx(0));
    // without a message for two seconds the number is void, also at the last receiver
    CHECK(all.b2.requests(start + 2100ms) == doctest::Approx(0));
    CHECK(all.b1.requests(start + 2100ms) == doctest::Approx(0));
}

TEST_CASE("fleet_load: repeated, old or misplaced lists change the record")
{
    auto all = fleet{};
    fail(all.a2, start);
    CHECK(all.a2.send(all.a1, fleet_scope::instance, start, start) == fleet_merge::accepted);
    all.a2.sequence = 0;
    CHECK(all.a2.send(all.a1, fleet_scope::instance, start, start + 1s) ==
          fleet_merge::out_of_order);
    CHECK(all.a2.send(all.b1, fleet_scope::fleet, start, start) == fleet_merge::wrong_zone);
    CHECK(all.a2.send(all.a3, fleet_scope::zone, start, start) == fleet_merge::wrong_zone);
    CHECK(all.b1.share(start) == 0);
    const auto stray =
        fleet_list{fleet_scope::instance, 9, false, {{1, 2, {}}, {name_key("t1"), 0, {}}}};
    CHECK(merge_fleet_list(all.a1.table, {name_key("a2"), 1, true}, stray, start).ignored == 2);
}

TEST_CASE("fleet_load: a target that restarts keeps its failures")
{
    auto all = fleet{};
    fail(all.a2, start + 100ms);
    fail(all.a3, start + 100ms);
    auto entry = all.a1.at().published;
    entry.started_ms = 9'000;
    upsert_target(all.a1.table, entry, start + 150ms);
    all.exchange(start + 200ms);
    CHECK(all.a1.share(start + 210ms) == 0);
    upsert_target(all.a2.table, entry, start + 300ms);
    CHECK(all.a2.share(start + 300ms) == 0);
}

TEST_CASE("fleet_load: a malformed message has an effect")
{
    auto all = fleet{};
    fail(all.a2, start);
    const auto list = fleet_list{fleet_scope::instance, 1, false,
                                 fleet_entries(all.a2.table, fleet_scope::instance, start)};
    const auto sent =
        encode_load_message(
            {{{name_key("t1"), 3, 10ms, 2.5}}, list, {{name_key("t1"), 1, 4.2, 10ms}}}, true, start)
            .load_reports();
    REQUIRE(decode_load_message(sent, start));
    CHECK(decode_load_message(sent, start)->loads.front().pace == doctest::Approx(2.5));
    const auto damaged = [&](const auto& change) {
        auto message = sent;
        change(message);
        return !decode_load_message(message, start);
    };
    CHECK(damaged([](auto& message) { message.add_pace(100); }));
    CHECK(damaged([](auto& message) { message.set_pace(0, 0); }));
    CHECK(damaged([](auto& message) { message.mutable_figures()->add_failed(1); }));
    CHECK(damaged([](auto& message) { message.mutable_figures()->clear_answered_age_ms(); }));
    CHECK(damaged([](auto& message) { message.mutable_figures()->set_scope(3); }));
    CHECK(damaged([](auto& message) { message.mutable_figures()->set_in_flight(0, ~0U); }));
    CHECK(damaged([](auto& message) { message.mutable_figures()->set_pace(0, ~0U); }));
    CHECK(damaged([](auto& message) { message.add_limit_target(1); }));
    CHECK(damaged([](auto& message) { message.clear_limit_target(); }));
    CHECK(damaged([](auto& message) { message.clear_limit_start(); }));
    CHECK(damaged([](auto& message) { message.add_limit_thousandths(1); }));
    CHECK(damaged([](auto& message) { message.clear_limit_age_ms(); }));
    CHECK(damaged([](auto& message) { message.set_limit_thousandths(0, 100'000'001); }));
    CHECK(damaged([](auto& message) { message.set_limit_age_ms(0, 3'600'001); }));
    CHECK(damaged([](auto& message) {
        for (auto index = std::size_t{0}; index < max_shared_limits; ++index) {
            message.add_limit_target(1);
            message.add_limit_start(1);
            message.add_limit_thousandths(1);
            message.add_limit_age_ms(1);
        }
    }));
}

TEST_CASE("fleet_load: a pause of 600 ms marks a target as slow for longer")
{
    auto one = member{"a1", "a"};
    record_load(one.at(), 1, 0, start, 2.5);
    CHECK(estimate_target(one.table, one.at(), start).pace == doctest::Approx(2.5));
    CHECK(estimate_target(one.table, one.at(), start + 600ms).pace < 1.6);
    CHECK(estimate_target(one.table, one.at(), start + 3s).pace ==
          doctest::Approx(1).epsilon(0.02));
    // without load reports, the time of answers shows it
    for (auto round = 0; round < 20; ++round) {
        record_first_byte(one.table, one.at("t2"), 60ms, start);
    }
    const auto usual = expected_wait(one.table, one.at("t3"), start);
    CHECK(usual.mean == 60ms);
    for (auto round = 0; round < 3; ++round) {
        record_first_byte(one.table, one.at("t3"), 150ms, start + 1s);
    }
    CHECK(estimate_target(one.table, one.at("t3"), start + 1s).pace > 1.5);
    CHECK(expected_wait(one.table, one.at("t3"), start + 1s).mean > usual.mean);
}

TEST_CASE("fleet_load: failures of many targets at once flood the collectors")
{
    auto budget = notice_budget{};
    auto sent = 0;
    for (auto now = start; now < start + 10s; now += 25ms) {
        sent += take_notice(budget, now) ? 1 : 0;
    }
    CHECK(sent <= 23);
    CHECK(sent >= 20);
}

TEST_CASE("fleet_load: the record changes estimates although it is switched off")
{
    auto one = member{"a1", "a"};
    one.table.fleet.active = false;
    fail(one, start);
    record_first_byte(one.table, one.at(), 1s, start);
    record_load(one.at(), 1, 0, start, 2.5);
    CHECK(one.table.fleet.news.empty());
    CHECK(one.share(start) == 0);
    CHECK(estimate_target(one.table, one.at(), start).pace == doctest::Approx(1));
    CHECK(expected_wait(one.table, one.at(), start).mean == 0ms);
}

TEST_CASE("fleet_load: lists at 390 instances and 2,400 targets exceed the bytes for control "
          "traffic")
{
    constexpr auto targets = 2'400;
    auto one = target_table{};
    one.fleet.active = true;
    for (auto index = 0; index < targets; ++index) {
        auto entry = published_target{};
        entry.id = "target-" + std::to_string(index);
        entry.service = "app";
        entry.started_ms = 1'760'000'000'000 + index;
        upsert_target(one, entry, start);
        auto& known = one.targets.at(entry.id);
        // all fail and are silent: the longest list
        begin_request(one, known, start);
        record_attempt(one, known, index % 4 == 0, start);
        record_attempt(one, known, false, start + 900ms);
        record_attempt(one, known, true, start + 900ms);
    }
    const auto now = start + 2s;
    const auto bytes_of = [&](const std::vector<std::string>* only) {
        const auto list = fleet_list{fleet_scope::fleet, 1'000'000, only != nullptr,
                                     fleet_entries(one, fleet_scope::fleet, now, only)};
        return encode_load_message({{}, list, {}}, true, now).ByteSizeLong();
    };
    auto names = std::vector<std::string>{};
    for (const auto& [id, known] : one.targets) {
        names.push_back(id);
    }
    // a third of the 4.5 KB/s remains for loads in the worst case
    const auto per_second = bytes_of(nullptr) + 2 * bytes_of(&names);
    MESSAGE("bytes per second: ", per_second);
    CHECK(per_second < 3'200);
    CHECK(per_second > 1'000);
}

TEST_CASE_FIXTURE(test::fleet_fixture,
                  "fleet_load: failures and requests of one instance stay unknown to the others")
{
    options.fleet_load = true;
    publish(1);
    auto& failing = add_target("app-1", "app");
    failing.set_mode(fakes::target_mode::failing);
    add_instance("a");
    add_instance("a");
    add_instance("b");
    wait_ready();
    wait([&] {
        return std::all_of(instances.begin(), instances.end(), [](const auto& instance) {
            return instance->view().members.size() == 3;
        });
    });
    const auto estimates = [&](const auto& known) {
        return std::all_of(instances.begin(), instances.end(), [&](const auto& instance) {
            const auto& table = instance->view().targets;
            return known(estimate_target(table, table.targets.at("app-1"), monotonic_now()));
        });
    };
    CHECK(estimates([](const auto& estimate) { return estimate.failure_share == 0; }));
    for (auto instance = std::size_t{0}; instance < instances.size(); ++instance) {
        ask("/read/1", instance);
        wait([&] {
            return estimates([](const auto& estimate) { return estimate.failure_share > 0.3; });
        });
        wait([&] {
            return estimates([](const auto& estimate) { return estimate.failure_share < 0.1; });
        });
    }
    failing.set_mode(fakes::target_mode::mute);
    auto call = test::caller_call{};
    send(call, "/read/2", 2);
    wait([&] { return estimates([](const auto& estimate) { return estimate.requests == 1; }); });
    // the silence is known before the caller's time limit ends the request
    wait([&] {
        return estimates([](const auto& estimate) { return estimate.failure_share > 0.3; });
    });
    CHECK_FALSE(call.ended());
    wait([&] { return call.ended(); });
    wait([&] { return estimates([](const auto& estimate) { return estimate.requests == 0; }); });
}
