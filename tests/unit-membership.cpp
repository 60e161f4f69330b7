#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cyclamenpost/membership/wire.hpp"
#include "virtual_fleet.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

// rapidcheck reads its seed from the environment once; a seed that is already set is kept.
const auto fixed_seed = setenv("RC_PARAMS", "seed=4107", 0);

/// Runs until every instance has received the start time of every other one and has it as alive.
/// Returns whether that happened within 60 s.
auto converges(virtual_fleet& fleet) -> bool
{
    return fleet.run_until(
        [&] {
            for (const auto& [id, node] : fleet.nodes) {
                for (const auto& other : fleet.listed) {
                    const auto seen = find_member(node.state, other.identity.id);
                    if (!seen || seen->identity.start_ms == 0 ||
                        seen->state != member_state::alive) {
                        return false;
                    }
                }
            }
            return true;
        },
        60s);
}

auto random_record() -> member_record
{
    auto record = member_record{};
    record.identity = {"b", *rc::gen::inRange<std::uint64_t>(1, 3),
                       *rc::gen::inRange<std::uint64_t>(1, 3)};
    record.refutation = *rc::gen::inRange<std::uint32_t>(0, 3);
    record.state = static_cast<member_state>(*rc::gen::inRange(0, 4));
    record.zone = "z";
    return record;
}

auto message_from(const std::string& id, std::uint64_t start_ms, gossip_kind kind)
    -> incoming_message
{
    auto incoming = incoming_message{};
    incoming.from = {id, start_ms, start_ms};
    incoming.message.kind = kind;
    return incoming;
}

} // namespace

TEST_CASE("every instance learns every incarnation without false suspicion, at 9 and 200 members")
{
    for (const auto instances : {9U, 200U}) {
        CAPTURE(instances);
        auto fleet = virtual_fleet{instances, instances == 9 ? 3U : 10U, 1, 11};
        CHECK(converges(fleet));
        fleet.run_for(10s);
        CHECK(fleet.changes_to(member_state::suspect) == 0);
    }
}

TEST_CASE("a killed instance is declared dead everywhere, and only that one")
{
    auto fleet = virtual_fleet{27, 3, 1, 5};
    REQUIRE(converges(fleet));
    fleet.node("i104").running = false;
    const auto killed = fleet.now;
    CHECK(fleet.run_until([&] { return fleet.all_see("i104", member_state::dead); }, 30s));
    MESSAGE("dead everywhere after ms ", (fleet.now - killed).count() / 1000);
    for (const auto& [id, node] : fleet.nodes) {
        for (const auto& change : node.changes) {
            const auto dead = change.member.state == member_state::dead;
            CHECK((!dead || change.member.identity.id == "i104"));
        }
    }
}

TEST_CASE("loss and jitter between and within zones cause no false death")
{
    for (auto seed = 1U; seed <= 20; ++seed) {
        CAPTURE(seed);
        auto fleet = virtual_fleet{27, 3, 1, seed};
        fleet.loss = 0.05;
        fleet.jitter = 60ms;
        REQUIRE(converges(fleet));
        fleet.run_for(60s);
        CHECK(fleet.changes_to(member_state::dead) == 0);
    }
}

TEST_CASE("an instance that resumes after a pause refutes its death and declares no other dead")
{
    auto fleet = virtual_fleet{9, 3, 1, 3};
    REQUIRE(converges(fleet));
    fleet.node("i101").paused_until = fleet.now + 20s;
    CHECK(fleet.run_until([&] { return fleet.all_see("i101", member_state::dead); }, 19s));
    const auto identity = fleet.node("i101").state.self.identity;
    CHECK(fleet.run_until([&] { return fleet.all_see("i101", member_state::alive); }, 30s));
    CHECK(fleet.node("i101").state.self.refutation > 0);
    CHECK(fleet.node("i101").state.self.identity.incarnation == identity.incarnation);
    for (const auto& change : fleet.node("i101").changes) {
        CHECK(change.member.state != member_state::dead);
    }
}

TEST_CASE("a restarted instance replaces its former incarnation, whose late messages are ignored")
{
    auto fleet = virtual_fleet{9, 3, 1, 7};
    REQUIRE(converges(fleet));
    const auto former = fleet.node("i102").state.self.identity;
    fleet.start("i102");
    const auto current = fleet.node("i102").state.self.identity;
    CHECK(converges(fleet));
    CHECK(fleet.run_until(
        [&] {
            return find_member(fleet.node("i100").state, "i102")->identity.incarnation ==
                   current.incarnation;
        },
        30s));
    auto late = message_from("i102", 0, gossip_kind::probe);
    late.from = former;
    const auto step = on_gossip(fleet.node("i100").state, late, fleet.now, fleet.random);
    CHECK(step.messages.empty());
    CHECK(find_member(fleet.node("i100").state, "i102")->identity.incarnation ==
          current.incarnation);
}

TEST_CASE("a leaving instance is seen as leaving everywhere and never becomes alive again")
{
    auto fleet = virtual_fleet{27, 3, 1, 9};
    REQUIRE(converges(fleet));
    auto& leaving = fleet.node("i105");
    fleet.send_messages(leaving, announce_leaving(leaving.state, fleet.now, fleet.random));
    fleet.run_for(20ms);
    for (const auto* peer : {"i102", "i108", "i111"}) {
        CHECK(find_member(fleet.node(peer).state, "i105")->state == member_state::leaving);
    }
    CHECK(fleet.run_until([&] { return fleet.all_see("i105", member_state::leaving); }, 10s));
    fleet.run_for(20s);
    CHECK(fleet.all_see("i105", member_state::leaving));
}

TEST_CASE("the member tables on both sides of a zone partition converge after it ends")
{
    auto fleet = virtual_fleet{27, 3, 1, 13};
    REQUIRE(converges(fleet));
    const auto zone = [&](const std::string& id) { return fleet.node(id).state.self.zone; };
    fleet.link_up = [&](const std::string& from, const std::string& to) {
        return (zone(from) == "zone-0") == (zone(to) == "zone-0");
    };
    fleet.run_for(120s);
    CHECK(fleet.changes_to(member_state::dead) > 0);
    for (const auto& [id, node] : fleet.nodes) {
        for (const auto& change : node.changes) {
            const auto dead = change.member.state == member_state::dead;
            CHECK((!dead || change.member.zone != node.state.self.zone));
        }
    }
    fleet.link_up = nullptr;
    CHECK(converges(fleet));
}

TEST_CASE("changes of a flapping member are announced at most once in the hold time")
{
    auto fleet = virtual_fleet{9, 3, 1, 17};
    REQUIRE(converges(fleet));
    auto& observer = fleet.node("i100").state;
    auto last_announced = time_point{};
    auto announced = 0;
    for (auto start = 1U; start <= 40; ++start) {
        fleet.run_for(500ms);
        on_gossip(observer, message_from("i103", 1'900'000'000'000 + start, gossip_kind::sync),
                  fleet.now, fleet.random);
        const auto time = observer.members.at("i103").announced_at;
        announced += time != last_announced ? 1 : 0;
        last_announced = time;
    }
    // Four before the member counts as flapping, then one per 10 s in the remaining 18 s.
    CHECK(announced <= 4 + 2);
}

TEST_CASE("every instance knows the fleet's mean load and follows a change within seconds")
{
    auto fleet = virtual_fleet{27, 3, 1, 19};
    REQUIRE(converges(fleet));
    const auto load_all = [&](std::uint64_t cost) {
        for (auto& [id, node] : fleet.nodes) {
            set_own_load(node.state, {{name_key("quote-7b"), 2, cost}}, fleet.now);
        }
    };
    const auto all_reach_mean = [&](double mean) {
        return fleet.run_until(
            [&] {
                for (const auto& [id, node] : fleet.nodes) {
                    const auto known = fleet_load_of(node.state, "quote-7b", fleet.now);
                    if (!known || known->engines != 54 || known->mean_cost != mean) {
                        return false;
                    }
                }
                return true;
            },
            10s);
    };
    load_all(10);
    CHECK(all_reach_mean(5));
    load_all(30);
    CHECK(all_reach_mean(15));
    CHECK(!fleet_load_of(fleet.node("i100").state, "no-such-model", fleet.now));
}

TEST_CASE("the order in which updates arrive does not change the resulting record")
{
    CHECK(rc::check("merging is commutative", [] {
        auto first = membership_state{};
        auto self = member_record{};
        self.identity = {"a", 1, 1};
        self.zone = "z";
        const auto now = time_point{1s};
        first = start_membership({}, self, now);
        auto listed = member_record{};
        listed.identity.id = "b";
        listed.zone = "z";
        apply_instance_list(first, 1, {listed}, now);
        auto second = first;
        auto random = std::mt19937_64{1};
        auto records = *rc::gen::container<std::vector<member_record>>(
            rc::gen::exec([] { return random_record(); }));
        auto incoming = message_from("c", 5, gossip_kind::sync);
        incoming.message.updates = records;
        on_gossip(first, incoming, now, random);
        std::reverse(incoming.message.updates.begin(), incoming.message.updates.end());
        on_gossip(second, incoming, now, random);
        RC_ASSERT(first.zone_hashes == second.zone_hashes);
        RC_ASSERT(find_member(first, "b")->state == find_member(second, "b")->state);
    }));
}

TEST_CASE("a decoded message equals the encoded one, and values out of range are rejected")
{
    auto message = gossip_message{};
    message.seq = 9;
    message.updates.push_back({{"b", 7, 8}, 2, member_state::alive, "z", "r", "h:1", "b:2"});
    message.load = load_sums{{{1, 2, 3}, {4, 5, 6}}, time_point{8s}};
    message.zone_loads.push_back({12, *message.load});
    message.zone_digests.push_back({1, 2});
    auto envelope = to_wire(message, time_point{10s});
    CHECK(!from_wire(envelope, time_point{20s}));
    set_sender(envelope, {"a", 1, 2});
    const auto decoded = from_wire(envelope, time_point{20s});
    REQUIRE(decoded);
    CHECK(decoded->message.updates[0].bus_address == "b:2");
    CHECK(decoded->message.load->measured_at == time_point{18s});
    CHECK(decoded->message.zone_loads[0].sums.models[1].cost == 6);
    envelope.mutable_probe()->mutable_gossip()->mutable_updates(0)->set_state(9);
    CHECK(!from_wire(envelope, time_point{20s}));
}

TEST_CASE("loads sent by catalogue position are decoded, and left out under another catalogue")
{
    const auto catalogue = make_catalogue({"m1", "m2", "m3"});
    auto message = gossip_message{};
    for (const auto count : {1U, 3U}) {
        CAPTURE(count);
        message.load = load_sums{};
        for (auto index = 0U; index < count; ++index) {
            message.load->models.push_back({catalogue.models[index], 1, index});
        }
        auto envelope = to_wire(message, time_point{}, catalogue);
        set_sender(envelope, {"a", 1, 2});
        CHECK(envelope.probe().gossip().load().models().empty());
        const auto same = from_wire(envelope, time_point{}, catalogue);
        REQUIRE(same);
        REQUIRE(same->message.load->models.size() == count);
        CHECK(same->message.load->models.back().model == message.load->models.back().model);
        const auto other = from_wire(envelope, time_point{}, make_catalogue({"m1", "m2", "m4"}));
        REQUIRE(other);
        CHECK(!other->message.load);
    }
    message.load = load_sums{{{77, 1, 1}}, {}};
    auto unlisted = to_wire(message, time_point{}, catalogue);
    set_sender(unlisted, {"a", 1, 2});
    CHECK(from_wire(unlisted, time_point{}, catalogue)->message.load->models[0].model == 77);
}
