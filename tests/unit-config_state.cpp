#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cyclamenpost/configuration/config_state.hpp"
#include "cyclamenpost/configuration/instance_list.hpp"
#include "property.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

auto fleet_text(const std::string& name) -> std::string
{
    return "[fleet]\nname = \"" + name + "\"\n";
}

auto published(std::uint64_t version, std::string text) -> published_text
{
    const auto digest = text_digest(text);
    return {{version, digest}, std::move(text)};
}

// three texts for each version, one of which does not pass validation
auto offer_number(unsigned number) -> published_text
{
    const auto variant = number % 3;
    return published(1 + number / 3 % 8,
                     variant == 2 ? "[fleet]\n" : fleet_text("f" + std::to_string(variant)));
}

auto history_of(std::initializer_list<published_text> texts) -> text_history
{
    auto history = text_history{};
    for (const auto& text : texts) {
        replace_current(history, text);
    }
    return history;
}

auto received(text_transfer transfer, const text_history& sender) -> std::optional<published_text>
{
    auto text = std::optional<published_text>{};
    const auto run = [&]() -> result<void> {
        auto progress = part_result::more;
        while (progress == part_result::more) {
            BOOST_LEAF_ASSIGN(progress,
                              accept_part(transfer, part_for(sender, next_fetch(transfer))));
        }
        BOOST_LEAF_ASSIGN(text, finish_transfer(transfer));
        return {};
    };
    try_or(run, [](const error&) {});
    return text;
}

auto at(duration since_start) -> time_point
{
    return time_point{} + since_start;
}

const std::string list_json = R"({"version":4,"instances":[
{"id":"i2","zone":"a","region":"r","http":"127.0.0.1:1","bus":"127.0.0.1:2","state":"live"},
{"id":"i1","zone":"a","region":"r","http":"127.0.0.1:3","bus":"127.0.0.1:4","new_field":1},
{"id":"i3","zone":"a","region":"r","http":"127.0.0.1:5","bus":"127.0.0.1:6","state":"leaving"}],
"targets":[
{"id":"e1","zone":"a","region":"r","address":"127.0.0.1:7","service":"s","kind":"application","state":"leaving"},
{"id":"e2","zone":"a","region":"r","address":"127.0.0.1:8","service":"s","kind":"application","state":"live"},
{"id":"e3","zone":"a","region":"r","address":"127.0.0.1:9","service":"other","kind":"model","state":"live"}]})";

} // namespace

TEST_CASE("reordered, lost or repeated offers never lower the version, and all instances agree")
{
    check_property([](const std::vector<unsigned>& numbers) {
        auto forward = config_state{};
        auto backward = config_state{};
        for (const auto number : numbers) {
            const auto before = in_force(forward);
            const auto verdict = apply_text(forward, offer_number(number));
            RC_ASSERT(in_force(forward) >= before);
            RC_ASSERT((in_force(forward) != before) == (verdict == offer_result::applied));
        }
        for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
            apply_text(backward, offer_number(*number));
        }
        RC_ASSERT(in_force(forward) == in_force(backward));
        RC_ASSERT((forward.config != nullptr) == (in_force(forward).version > 0));
    });
}

TEST_CASE("of two texts with one version the larger digest wins, and the conflict is counted")
{
    auto state = config_state{};
    auto low = published(3, fleet_text("x"));
    auto high = published(3, fleet_text("y"));
    if (high.id < low.id) {
        std::swap(low, high);
    }
    CHECK(apply_text(state, low) == offer_result::applied);
    CHECK(apply_text(state, high) == offer_result::applied);
    CHECK(apply_text(state, low) == offer_result::lower);
    CHECK(apply_text(state, high) == offer_result::in_force);
    CHECK(state.digest_conflicts == 2);
}

TEST_CASE("an invalid version is remembered with its reason and not fetched again")
{
    auto state = config_state{};
    const auto invalid = published(5, "[fleet]\nname = 3\n");
    apply_text(state, published(4, fleet_text("x")));
    CHECK(consider_offer(state, invalid.id) == offer_result::wanted);
    CHECK(apply_text(state, invalid) == offer_result::refused);
    CHECK(consider_offer(state, invalid.id) == offer_result::refused);
    REQUIRE(state.refused.size() == 1);
    CHECK(state.refused[0].reason.find("line 2") != std::string::npos);
    CHECK(in_force(state).version == 4);
    for (auto version = 6U; version < 100U; ++version) {
        apply_text(state, published(version, "wrong"));
    }
    CHECK(state.refused.size() == max_refused_versions);
}

TEST_CASE("a text that does not match its digest is not applied, and the intact one still is")
{
    auto state = config_state{};
    auto whole = published(2, fleet_text("x"));
    auto corrupt = whole;
    corrupt.text += "zones_out = []\n";
    CHECK(apply_text(state, corrupt) == offer_result::refused);
    CHECK(state.refused.empty());
    CHECK(apply_text(state, whole) == offer_result::applied);
}

TEST_CASE("a delta rebuilds every text from every base")
{
    check_property([](const std::string& start, const std::string& old_middle,
                      const std::string& new_middle, const std::string& end) {
        const auto base = start + old_middle + end;
        const auto text = start + new_middle + end;
        const auto delta = make_delta(base, text);
        RC_ASSERT(delta.middle.size() <= new_middle.size());
        auto rebuilt = std::string{};
        const auto apply = [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(rebuilt, apply_delta(base, delta));
            return {};
        };
        RC_ASSERT(try_or(apply, [](const error&) {}));
        RC_ASSERT(rebuilt == text);
    });
}

TEST_CASE("a changed word is sent as a few bytes, and a large text in parts")
{
    const auto large = std::string(100000, 'a');
    const auto old_text = published(1, large + "old" + large);
    const auto new_text = published(2, large + "new" + large);
    const auto sender = history_of({old_text, new_text});
    CHECK(part_for(sender, {2, 1, 0}).bytes == "new");
    CHECK(part_for(sender, {2, 0, 0}).bytes.size() == text_part_max_bytes);
    const auto from_base = received(begin_transfer(history_of({old_text}), new_text.id), sender);
    REQUIRE(from_base);
    CHECK(from_base->text == new_text.text);
    const auto whole = received(begin_transfer({}, new_text.id), sender);
    REQUIRE(whole);
    CHECK(whole->text == new_text.text);
}

TEST_CASE("the digest detects a base that differs at the sender, and a whole transfer succeeds")
{
    const auto mine = published(1, "abcX" + std::string(50, 'q'));
    const auto theirs = published(1, "abcY" + std::string(50, 'q'));
    const auto wanted = published(2, "abcYY" + std::string(50, 'q'));
    const auto sender = history_of({theirs, wanted});
    CHECK(!received(begin_transfer(history_of({mine}), wanted.id), sender));
    CHECK(received(begin_whole_transfer(wanted.id), sender)->text == wanted.text);
}

TEST_CASE("lost, repeated and reordered parts never yield a text other than the one offered")
{
    const auto text = published(2, std::string(3 * text_part_max_bytes, 'a') + "end");
    const auto sender = history_of({text});
    check_property([&](const std::vector<std::uint8_t>& offsets) {
        auto transfer = begin_transfer({}, text.id);
        for (const auto offset : offsets) {
            const auto part = part_for(sender, {2, 0, offset % 4 * text_part_max_bytes});
            auto complete = false;
            const auto accept = [&]() -> result<void> {
                BOOST_LEAF_AUTO(progress, accept_part(transfer, part));
                complete = progress == part_result::complete;
                return {};
            };
            RC_ASSERT(try_or(accept, [](const error&) {}));
            const auto finished =
                try_or([&] { return finish_transfer(transfer); }, [](const error&) {});
            RC_ASSERT(finished == (transfer.received == text.text));
            RC_ASSERT(!complete || finished);
        }
    });
}

TEST_CASE("parts of another version, layout or size are refused")
{
    const auto text = published(2, std::string(2 * text_part_max_bytes, 'a'));
    const auto good = part_for(history_of({text}), {2, 0, 0});
    const auto accepted = [&](const text_part& part) {
        auto transfer = begin_transfer({}, text.id);
        return try_or([&] { return accept_part(transfer, part); }, [](const error&) {});
    };
    CHECK(accepted(good));
    auto bad = good;
    bad.version = 3;
    CHECK(!accepted(bad));
    bad = good;
    bad.total = published_text_max_bytes + 1;
    CHECK(!accepted(bad));
    bad = good;
    bad.offset = ~std::uint64_t{0};
    CHECK(!accepted(bad));
    bad = good;
    bad.prefix = 5;
    CHECK(!accepted(bad));
    bad = good;
    bad.base_version = 1;
    CHECK(!accepted(bad));
}

TEST_CASE("each zone has two watchers, and one that leaves is replaced without moving the other")
{
    const auto ids = std::vector<std::string>{"i1", "i2", "i3", "i4", "i5"};
    const auto watchers = watchers_of(ids);
    REQUIRE(watchers.size() == 2);
    auto without_first = ids;
    without_first.erase(std::find(without_first.begin(), without_first.end(), watchers[0]));
    CHECK(watchers_of(without_first)[0] == watchers[1]);
    CHECK(is_watcher(watchers[1], ids));
    CHECK(watchers_of({"i1"}) == std::vector<std::string>{"i1"});
    CHECK(peers_to_ask("i1", ids).size() == catch_up_peers);
    CHECK(peers_to_ask("i1", {"i1"}).empty());
}

TEST_CASE("a new instance serves only with a text, a list and its peers' answers")
{
    const auto one = text_version{1, 9};
    const auto two = text_version{2, 9};
    auto progress = catch_up_state{};
    progress.peers_asked = 2;
    CHECK(remaining_catch_up_need(progress, {}, one, at(60s)) == catch_up_need::operator_text);
    CHECK(remaining_catch_up_need(progress, one, {}, at(60s)) == catch_up_need::instance_list);
    CHECK(remaining_catch_up_need(progress, one, one, at(1s)) == catch_up_need::peer_answers);
    CHECK(remaining_catch_up_need(progress, one, one, at(60s)) == catch_up_need::nothing);
    record_peer_answer(progress, two, one);
    record_peer_answer(progress, one, one);
    CHECK(remaining_catch_up_need(progress, one, one, at(1s)) == catch_up_need::operator_text);
    CHECK(remaining_catch_up_need(progress, two, one, at(1s)) == catch_up_need::nothing);
}

TEST_CASE("retries of a whole fleet stay within the platform's rate during an outage")
{
    CHECK(platform_retry_delay(0, 0.5) == 50ms);
    CHECK(platform_retry_delay(100, 0.999999) <= 5s);
    // 390 instances with two values each, from 20 s to 40 s after the start of an outage
    auto calls = 0;
    auto random = std::uint64_t{1};
    for (auto reader = 0; reader < 780; ++reader) {
        auto time = duration{};
        for (auto attempt = 0U; time < 40s; ++attempt) {
            random = hash64("jitter", random);
            time += platform_retry_delay(attempt, static_cast<double>(random % 10000) / 10000);
            calls += time >= 20s && time < 40s ? 1 : 0;
        }
    }
    MESSAGE("calls per second: ", calls / 20);
    CHECK(calls / 20 < 2000);
}

TEST_CASE("the instance list is parsed and never reverts")
{
    auto state = instance_list_state{};
    CHECK(apply_list(state, "{") == offer_result::refused);
    REQUIRE(apply_list(state, list_json) == offer_result::applied);
    CHECK(apply_list(state, list_json) == offer_result::in_force);
    auto lower = *state.list;
    lower.version = 3;
    CHECK(apply_list(state, to_json(lower)) == offer_result::lower);
    lower.version = 5;
    CHECK(apply_list(state, to_json(lower)) == offer_result::applied);
    CHECK(state.list->instances == lower.instances);
    CHECK(state.list->targets == lower.targets);
    CHECK(instances_of_zone(*state.list, "a") == std::vector<std::string>{"i1", "i2"});
    CHECK(instances_of_zone(*state.list, "a", false).size() == 3);
    CHECK(region_of_zone(*state.list, "a") == "r");
    CHECK(instance_by_id(*state.list, "i3")->state == listed_state::leaving);
}

TEST_CASE("an incomplete list is refused as a whole")
{
    for (const auto* removed : {"\"version\":4,", "\"zone\":\"a\",", "127.0.0.1:1\"", "\"i2\""}) {
        auto text = list_json;
        const auto length = std::string_view(removed).size();
        text.replace(text.find(removed), length, std::string(removed) == "\"i2\"" ? "\"i1\"" : "");
        auto state = instance_list_state{};
        CHECK(apply_list(state, text) == offer_result::refused);
    }
}

TEST_CASE("targets of the text and of the list are merged without counting one twice")
{
    auto state = instance_list_state{};
    REQUIRE(apply_list(state, list_json) == offer_result::applied);
    auto config = fleet_config{};
    config.services.push_back({});
    config.services[0].name = "s";
    config.targets.push_back({"e1", "s", "a", "127.0.0.1:70", {}, true});
    config.targets.push_back({"renamed", "s", "a", "127.0.0.1:8", {}, false});
    const auto targets = targets_in_force(config, *state.list);
    REQUIRE(targets.size() == 2);
    CHECK(targets[0].target == config.targets[0]);
    CHECK(targets[0].state == listed_state::leaving);
    CHECK(targets[1].target.name == "renamed");
}
