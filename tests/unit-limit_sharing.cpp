#include <map>
#include <set>

#include "entry_fixture.hpp"

#include "cyclamenpost/entry/load_messages.hpp"
#include "cyclamenpost/routing/fleet_load.hpp"
#include "cyclamenpost/routing/limit_sharing.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

const auto start = time_point{} + 1000s;
constexpr auto few_targets = 2;
constexpr auto shortest_period = duration{200ms};
// time that a message takes to its receiver; the age in messages does not include it
constexpr auto transit = duration{20ms};

auto entry_of(const std::string& id, std::int64_t started_ms = 1'000) -> published_target
{
    auto entry = published_target{};
    entry.id = id;
    entry.service = "app";
    entry.started_ms = started_ms;
    return entry;
}

/// One instance's table and what it has sent.
struct member {
    target_table table;
    std::map<report_origin, limit_round> rounds;

    explicit member(int targets)
    {
        for (auto index = 1; index <= targets; ++index) {
            upsert_target(table, entry_of("t" + std::to_string(index)), start);
        }
    }

    auto at(const std::string& id = "t1") -> target&
    {
        return table.targets.at(id);
    }

    auto limit(time_point now, const std::string& id = "t1") -> std::optional<double>
    {
        return current_limit(at(id).limit, now);
    }

    /// An answer of the target to this instance, whose attempt began at `now`.
    auto answer(std::optional<double> announced, time_point now, const std::string& id = "t1")
        -> limit_change
    {
        return record_limit(at(id), announced, now, report_origin::own_answer, now);
    }

    auto take(report_origin farthest, time_point now) -> std::vector<shared_limit>
    {
        return take_limits(table, rounds[farthest], farthest, now);
    }

    /// Receives limits through the encoding of messages.
    auto receive(const std::vector<shared_limit>& limits, report_origin origin, time_point sent,
                 time_point arrival) -> std::vector<shared_limit_change>
    {
        auto message = load_message{};
        message.limits = limits;
        const auto decoded =
            decode_load_message(encode_load_message(message, false, sent).load_reports(), arrival);
        REQUIRE(decoded);
        return merge_shared_limits(table, decoded->limits, origin, arrival);
    }
};

/// Two zones: in "a" the collector a1 with a2 and a3, in "b" the collector b1 with b2.
struct fleet {
    member a1{few_targets};
    member a2{few_targets};
    member a3{few_targets};
    member b1{few_targets};
    member b2{few_targets};
    /// Limits in all messages so far.
    std::size_t sent = 0;

    auto send(member& from, report_origin farthest, const std::vector<member*>& to,
              report_origin origin, time_point now) -> void
    {
        const auto limits = from.take(farthest, now);
        sent += limits.size();
        for (auto* receiver : to) {
            receiver->receive(limits, origin, now, now + transit);
        }
    }

    /// All instances send once, in the order of the hops.
    auto exchange(time_point now) -> void
    {
        using enum report_origin;
        send(a2, own_answer, {&a1}, zone_peer, now);
        send(a3, own_answer, {&a1}, zone_peer, now);
        send(b2, own_answer, {&b1}, zone_peer, now);
        const auto second = now + 2 * transit;
        send(a1, zone_peer, {&b1}, other_zone, second);
        send(b1, zone_peer, {&a1}, other_zone, second);
        const auto third = second + 2 * transit;
        send(a1, other_zone, {&a2, &a3}, zone_peer, third);
        send(b1, other_zone, {&b2}, zone_peer, third);
    }

    auto members() -> std::vector<member*>
    {
        return {&a1, &a2, &a3, &b1, &b2};
    }
};

auto shared(std::optional<double> per_second, duration age, const std::string& id = "t1",
            std::int64_t started_ms = 1'000) -> std::vector<shared_limit>
{
    return {{name_key(id), start_bits(entry_of(id, started_ms)), per_second, age}};
}

} // namespace

// Guards against instances that send a limited target requests because they have not read one of
// its answers themselves.
TEST_CASE("limit_sharing: a limit seen by one instance reaches the instances of all zones")
{
    auto all = fleet{};
    CHECK(all.a2.answer(4.2, start) == limit_change::began);
    all.exchange(start + 100ms);
    for (auto* each : all.members()) {
        CHECK(each->limit(start + 300ms) == doctest::Approx(4.2));
        CHECK_FALSE(each->limit(start + 300ms, "t2"));
    }
}

// Guards against a limit that stays in force at instances that get no answer from the target.
TEST_CASE("limit_sharing: the end of a limit reaches the instances of all zones")
{
    auto all = fleet{};
    all.a2.answer(4.2, start);
    all.exchange(start + 100ms);
    SUBCASE("it is seen by another instance")
    {
        CHECK(all.b2.answer({}, start + 1s) == limit_change::ended);
    }
    SUBCASE("its collector has restarted and knows no limit")
    {
        all.b1 = member{few_targets};
        CHECK(all.b2.answer({}, start + 1s) == limit_change::ended);
    }
    all.exchange(start + 1100ms);
    for (auto* each : all.members()) {
        CHECK_FALSE(each->limit(start + 1300ms));
    }
}

// Guards against a message for each answer of each target without a limit.
TEST_CASE("limit_sharing: answers without a limit are not forwarded unless they end one")
{
    auto all = fleet{};
    for (auto round = 0; round < 5; ++round) {
        CHECK(all.a2.answer({}, start + round * 100ms) == limit_change::none);
    }
    all.exchange(start + 1s);
    CHECK(all.sent == 0);
    all.a2.answer(3, start + 2s);
    all.a2.answer({}, start + 3s);
    all.a2.answer({}, start + 4s);
    CHECK(all.a2.take(report_origin::own_answer, start + 5s).size() == 1);
}

// Guards against news that circulate between instances for good.
TEST_CASE("limit_sharing: news that are known are not forwarded again")
{
    auto all = fleet{};
    all.a2.answer(4.2, start);
    SUBCASE("a limit") {}
    SUBCASE("its end")
    {
        all.exchange(start + 100ms);
        all.a2.answer({}, start + 1s);
    }
    all.exchange(start + 2s);
    all.exchange(start + 3s);
    all.sent = 0;
    SUBCASE("with agreed collectors")
    {
        all.exchange(start + 4s);
        CHECK(all.sent == 0);
    }
    SUBCASE("two instances of a zone both take themselves for its collector")
    {
        all.a2.answer(3.1, start + 4s);
        for (auto round = 0; round < 20; ++round) {
            const auto now = start + 4s + round * 200ms;
            using enum report_origin;
            all.send(all.a2, other_zone, {&all.a1, &all.a3}, zone_peer, now);
            all.send(all.a1, other_zone, {&all.a2, &all.a3}, zone_peer, now + 100ms);
        }
        // each sends what it knew before and the new limit once
        CHECK(all.sent <= 4);
        CHECK(all.a1.limit(start + 8s) == doctest::Approx(3.1));
    }
}

// Guards against a limit of one start that applies to the next start under the same id.
TEST_CASE("limit_sharing: news of another start of a target have no effect")
{
    auto one = member{few_targets};
    const auto news = shared(2, 10ms, "t1", 9'000);
    CHECK(one.receive(news, report_origin::zone_peer, start, start).empty());
    CHECK_FALSE(one.limit(start));
    CHECK(one.take(report_origin::other_zone, start).empty());
}

// Guards against a limit that survives a restart of the target.
TEST_CASE("limit_sharing: a restart of the target discards its limit and the news of it")
{
    auto one = member{few_targets};
    one.answer(2, start);
    REQUIRE(one.limit(start));
    upsert_target(one.table, entry_of("t1"), start + 1s);
    CHECK(one.limit(start + 1s));
    upsert_target(one.table, entry_of("t1", 9'000), start + 2s);
    CHECK_FALSE(one.limit(start + 2s));
    CHECK_FALSE(one.at().limit.announced_at);
    CHECK(one.take(report_origin::own_answer, start + 2s).empty());
}

// Guards against limits that ended long ago and come back with a late message.
TEST_CASE("limit_sharing: old news are neither applied nor forwarded")
{
    auto one = member{few_targets};
    const auto old = shared(2, max_limit_news_age + 1ms);
    CHECK(one.receive(old, report_origin::zone_peer, start, start).empty());
    CHECK_FALSE(one.limit(start));
    one.answer(2, start);
    const auto late = start + max_limit_news_age;
    CHECK(limits_received_after(one.table, {}, report_origin::own_answer, late).size() == 1);
    CHECK(limits_received_after(one.table, {}, report_origin::own_answer, late + 1ms).empty());
}

// Guards against an older announcement that revives a limit of which this instance knows that it
// has ended, and against forwarding it.
TEST_CASE("limit_sharing: news from before an answer without a limit have no effect")
{
    auto one = member{few_targets};
    SUBCASE("the limit was known")
    {
        one.answer(2, start);
    }
    SUBCASE("the limit was not known") {}
    one.answer({}, start + 1s);
    one.take(report_origin::other_zone, start + 1100ms);
    CHECK(one.receive(shared(2, 700ms), report_origin::zone_peer, start + 1500ms, start + 1500ms)
              .empty());
    CHECK_FALSE(one.limit(start + 1500ms));
    CHECK(one.take(report_origin::other_zone, start + 1600ms).empty());
    // a later announcement begins a limit again
    CHECK(one.receive(shared(2, 100ms), report_origin::zone_peer, start + 2s, start + 2s).size() ==
          1);
    CHECK(one.take(report_origin::other_zone, start + 2100ms).size() == 1);
}

// Guards against an instance that has missed the end of a limit and sends the target next to
// nothing for many minutes.
TEST_CASE("limit_sharing: a limit that nobody confirms ends")
{
    auto lone = member{few_targets};
    lone.answer(2.0, start);
    lone.answer(3.0, start + 30s, "t2");
    CHECK(expire_limits(lone.table, start + limit_expiry).empty());
    CHECK(expire_limits(lone.table, start + limit_expiry + 1s) == std::vector<std::string>{"t1"});
    CHECK_FALSE(lone.limit(start + limit_expiry + 1s));
    CHECK(lone.limit(start + limit_expiry + 1s, "t2") == doctest::Approx(3));
    CHECK(lone.answer(2.0, start + limit_expiry + 2s) == limit_change::began);
}

// Guards against a crash or an entry for targets that this instance does not know yet.
TEST_CASE("limit_sharing: news of unknown targets have no effect")
{
    auto one = member{few_targets};
    const auto size = one.table.targets.size();
    CHECK(one.receive(shared(2, 10ms, "stranger"), report_origin::zone_peer, start, start).empty());
    CHECK(one.table.targets.size() == size);
    const auto known = one.receive(shared(2, 10ms, "t2"), report_origin::zone_peer, start, start);
    REQUIRE(known.size() == 1);
    CHECK(known.front().target == "t2");
    CHECK(known.front().change == limit_change::began);
}

// Load pattern: a target announces 4 and 40 in turn. Guards against other instances that learn only
// the higher value.
TEST_CASE("limit_sharing: a lower limit is forwarded before a higher one that follows it")
{
    auto all = fleet{};
    all.a2.answer(4, start);
    all.a2.answer(40, start + 50ms);
    all.exchange(start + 100ms);
    CHECK(all.b2.limit(start + 300ms) == doctest::Approx(4));
    CHECK(all.a2.limit(start + 300ms) == doctest::Approx(4));
}

// Load pattern: as above, and the instances read different answers. Guards against an instance that
// ignores the lower value because its own answer is newer.
TEST_CASE("limit_sharing: a lower limit that another instance read a little earlier applies")
{
    auto all = fleet{};
    all.a2.answer(4, start);
    all.a1.answer(40, start + 80ms);
    all.b1.answer(40, start + 90ms);
    all.exchange(start + 100ms);
    for (auto* each : all.members()) {
        CHECK(each->limit(start + 300ms) == doctest::Approx(4));
    }
    all.exchange(start + 400ms);
    all.sent = 0;
    all.exchange(start + 700ms);
    CHECK(all.sent == 0);
}

// Load pattern: a target recovers and announces 40 instead of 4. Guards against instances that keep
// the low limit in force by sending it to each other.
TEST_CASE("limit_sharing: a limit that was raised for good is raised at all instances")
{
    auto all = fleet{};
    all.a2.answer(4, start);
    all.b2.answer(4, start + 10ms);
    auto now = start + 50ms;
    for (; now < start + 14s; now += 200ms) {
        all.exchange(now);
        all.a2.answer(40, now + 150ms);
        all.b2.answer(40, now + 160ms);
    }
    for (auto* each : all.members()) {
        CHECK(each->limit(now) == doctest::Approx(40));
    }
}

// Guards against an ordinary instance that sends its collector the whole fleet's limits, and
// against a collector that sends other zones what it has from them.
TEST_CASE("limit_sharing: receivers get news from the origins that the forwarding rules allow")
{
    using enum report_origin;
    auto one = member{3};
    one.answer(1, start, "t1");
    one.receive(shared(2, 10ms, "t2"), zone_peer, start, start);
    one.receive(shared(3, 10ms, "t3"), other_zone, start, start);
    const auto taken = [&](report_origin farthest) {
        auto limits = std::set<double>{};
        for (const auto& limit : one.take(farthest, start + 1s)) {
            limits.insert(limit.per_second.value_or(0));
        }
        return limits;
    };
    CHECK(taken(own_answer) == std::set<double>{1});
    CHECK(taken(zone_peer) == std::set<double>{1, 2});
    CHECK(taken(other_zone) == std::set<double>{1, 2, 3});
}

// Guards against limits that are never sent while others change all the time.
TEST_CASE("limit_sharing: more limited targets than fit a message are sent in turn")
{
    constexpr auto targets = 250;
    auto one = member{targets};
    const auto announce_all = [&](time_point now) {
        for (const auto& [id, known] : one.table.targets) {
            one.answer(4, now, id);
        }
    };
    announce_all(start);
    auto sent = std::set<std::uint32_t>{};
    auto now = start;
    for (auto message = 0; message < 3; ++message) {
        now += 200ms;
        const auto limits = one.take(report_origin::own_answer, now);
        CHECK(limits.size() <= max_shared_limits);
        for (const auto& limit : limits) {
            sent.insert(limit.target);
        }
        announce_all(now + 100ms);
    }
    CHECK(sent.size() == targets);
}

// Guards against a limit whose place in the order has passed when it is announced.
TEST_CASE(
    "limit_sharing: a limit that is announced while others are sent is sent in the next round")
{
    constexpr auto targets = 250;
    auto one = member{targets};
    const auto first = std::ranges::min_element(one.table.id_by_key, {}, [](const auto& known) {
                           return known.first;
                       })->second;
    for (const auto& [id, known] : one.table.targets) {
        if (id != first) {
            one.answer(4, start, id);
        }
    }
    REQUIRE(one.take(report_origin::own_answer, start + 200ms).size() == max_shared_limits);
    one.answer(4, start + 300ms, first);
    auto found = 0;
    auto total = std::size_t{0};
    for (auto message = 2; message <= 6; ++message) {
        for (const auto& limit : one.take(report_origin::own_answer, start + message * 200ms)) {
            found += limit.target == name_key(first) ? 1 : 0;
            ++total;
        }
    }
    CHECK(found == 1);
    CHECK(total == targets - max_shared_limits);
}

// Guards against a limit of 0 or near 0 that is read as the end of the limit, and against values
// that the receiver refuses together with the whole message.
TEST_CASE("limit_sharing: the lowest and the highest limits pass the encoding")
{
    auto one = member{few_targets};
    const auto received = [&](double limit) {
        auto message = load_message{};
        message.limits = shared(limit, 1500ms);
        const auto decoded =
            decode_load_message(encode_load_message(message, false, start).load_reports(), start);
        REQUIRE(decoded);
        REQUIRE(decoded->limits.size() == 1);
        CHECK(decoded->limits.front().age == 1500ms);
        REQUIRE(decoded->limits.front().per_second);
        return *decoded->limits.front().per_second;
    };
    CHECK(received(0) < min_target_limit);
    CHECK(received(0.0001) < min_target_limit);
    CHECK(received(4.217) == doctest::Approx(4.217));
    CHECK(received(max_target_limit) == doctest::Approx(max_target_limit));
    CHECK(received(1e300) == doctest::Approx(max_target_limit));
}

// Guards against control traffic above its bound when all targets of the largest fleet announce
// limits, and against limits that are then not sent before they are outdated.
TEST_CASE("limit_sharing: limits of 2,400 targets exceed the bytes for load reports")
{
    constexpr auto targets = 2'400;
    constexpr auto simulated = 60s;
    auto one = member{targets};
    auto bytes = std::size_t{0};
    auto last_sent = std::map<std::uint32_t, time_point>{};
    auto longest_gap = duration::zero();
    for (auto now = start; now < start + simulated;) {
        for (const auto& [id, known] : one.table.targets) {
            one.answer(4.2, now, id);
        }
        auto message = load_message{};
        message.limits = one.take(report_origin::own_answer, now + 1ms);
        bytes += encode_load_message(message, false, now + 1ms).ByteSizeLong();
        for (const auto& limit : message.limits) {
            const auto before = last_sent.emplace(limit.target, start).first->second;
            longest_gap = std::max(longest_gap, now - before);
            last_sent[limit.target] = now;
        }
        now += limit_period(message.limits.size(), shortest_period);
    }
    const auto per_second = bytes / static_cast<std::size_t>(simulated.count());
    MESSAGE("bytes per second: ", per_second,
            ", longest time between two messages with a target in ms: ",
            std::chrono::duration_cast<std::chrono::milliseconds>(longest_gap).count());
    CHECK(per_second <= max_limit_bytes_per_second);
    CHECK(last_sent.size() == targets);
    CHECK(2 * longest_gap < max_limit_news_age);
    // with the longest lists of figures (unit-fleet_load)
    CHECK(per_second + 3'200 < 4'500);
    // few limits are sent in each period
    CHECK(limit_period(18, shortest_period) == shortest_period);
    CHECK(limit_period(19, shortest_period) > shortest_period);
}

// Guards against limits that are lost between record and view of real instances: not sent, not
// delivered, or sent only with `--fleet-load`.
TEST_CASE_FIXTURE(test::fleet_fixture,
                  "limit_sharing: a limit known to one instance is known to all soon after")
{
    SUBCASE("with figures of targets")
    {
        options.fleet_load = true;
    }
    SUBCASE("without figures of targets")
    {
        options.fleet_load = false;
    }
    publish(1);
    add_target("app-1", "app");
    add_instance("a");
    add_instance("a");
    add_instance("b");
    wait_ready();
    wait([&] {
        return std::all_of(instances.begin(), instances.end(), [](const auto& instance) {
            return instance->view().members.size() == 3 &&
                   instance->view().targets.targets.contains("app-1");
        });
    });
    const auto all = [&](const auto& matches) {
        return std::all_of(instances.begin(), instances.end(), [&](const auto& instance) {
            const auto& known = instance->view().targets.targets.at("app-1");
            return matches(current_limit(known.limit, monotonic_now()));
        });
    };
    // stands for an answer of the target to one instance
    const auto announce = [&](std::size_t instance, std::optional<double> limit) {
        auto& table = const_cast<target_table&>(instances[instance]->view().targets);
        const auto now = monotonic_now();
        record_limit(table.targets.at("app-1"), limit, now, report_origin::own_answer, now);
    };
    REQUIRE(all([](const auto& limit) { return !limit; }));
    for (auto instance = std::size_t{0}; instance < instances.size(); ++instance) {
        const auto begun = monotonic_now();
        announce(instance, 3.2);
        wait([&] { return all([](const auto& limit) { return limit == 3.2; }); });
        const auto waited = monotonic_now() - begun;
        MESSAGE("ms until all instances knew the limit: ",
                std::chrono::duration_cast<std::chrono::milliseconds>(waited).count());
        // three hops of 200 ms, and margin for a busy machine
        CHECK(waited < 2s);
        announce(instance, {});
        wait([&] { return all([](const auto& limit) { return !limit; }); });
    }
}
