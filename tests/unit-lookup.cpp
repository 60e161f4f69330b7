#include <doctest/doctest.h>

#include <map>
#include <set>

#include "cyclamenpost/placement/lookup.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

auto fleet(std::size_t zones, std::size_t per_zone) -> lookup_view
{
    auto view = lookup_view{};
    for (auto i = std::size_t{0}; i < zones * per_zone; ++i) {
        const auto number = std::to_string(i);
        view.instances.push_back({"i" + number, std::string(1, static_cast<char>('a' + i % zones)),
                                  "127.0.0.1:" + std::to_string(8100 + i), lookup_state::live});
    }
    return view;
}

auto ids(const lookup_answer& answer) -> std::vector<std::string>
{
    auto named = std::vector<std::string>{};
    for (const auto& one : answer.addresses) {
        named.push_back(one.instance);
    }
    return named;
}

auto query_for(std::string_view chat, std::vector<std::string> preferred = {}) -> lookup_query
{
    return {chat, "label-one", "quote-7b", std::move(preferred)};
}

} // namespace

TEST_CASE("the first address is the chat's gate and the second is in another zone")
{
    // i0, i3 are in zone a; i1 in b
    const auto answer = lookup_addresses(fleet(3, 3), query_for("c1", {"i3", "i0", "i1"}), 5);
    REQUIRE(answer.addresses.size() == 3);
    CHECK(answer.addresses[0].instance == "i3");
    CHECK(answer.addresses[1].instance == "i1");
    CHECK(answer.addresses[0].address == "127.0.0.1:8103");
    auto zones = std::set<std::string>{};
    for (const auto& one : answer.addresses) {
        zones.insert(one.zone);
    }
    CHECK(zones.size() == 3);
}

TEST_CASE("leaving instances and zones out of service are never returned")
{
    auto view = fleet(3, 3);
    view.instances[3].state = lookup_state::leaving;
    view.instances[0].state = lookup_state::gone;
    view.zones_out = {"b"};
    for (auto chat = 0; chat < 200; ++chat) {
        const auto text = std::to_string(chat);
        const auto answer = lookup_addresses(view, query_for(text, {"i3", "i1", "i0"}), 1);
        REQUIRE(answer.addresses.size() == 3);
        CHECK(answer.addresses[0].zone != answer.addresses[1].zone);
        for (const auto& one : answer.addresses) {
            CHECK(one.zone != "b");
            CHECK(one.instance != "i3");
            CHECK(one.instance != "i0");
        }
    }
}

TEST_CASE("with one live instance the second address is a suspected one")
{
    auto view = fleet(3, 1);
    view.instances[0].state = lookup_state::suspect;
    view.instances[2].state = lookup_state::gone;
    const auto answer = lookup_addresses(view, query_for("c1", {"i0"}), 5);
    CHECK(ids(answer) == std::vector<std::string>{"i1", "i0"});
    CHECK(answer.valid <= 2s);
    view.zones_out = {"a", "b", "c"};
    CHECK(lookup_addresses(view, query_for("c1"), 5).addresses.empty());
}

TEST_CASE("addresses share a zone when only one zone is in service")
{
    auto view = fleet(2, 3);
    view.zones_out = {"b"};
    CHECK(lookup_addresses(view, query_for("c1"), 5).addresses.size() == 3);
}

TEST_CASE("callers without a chat are spread evenly over the instances")
{
    const auto view = fleet(3, 3);
    auto counts = std::map<std::string, int>{};
    constexpr auto callers = 9000;
    for (auto i = 0; i < callers; ++i) {
        const auto random = hash64(std::to_string(i));
        ++counts[lookup_addresses(view, query_for(""), random).addresses.at(0).instance];
    }
    CHECK(counts.size() == 9);
    for (const auto& entry : counts) {
        CAPTURE(entry.first);
        const auto count = entry.second;
        // five standard deviations around the mean of 1000
        CHECK(count > 850);
        CHECK(count < 1150);
    }
}

TEST_CASE("a new instance moves only the chats that it receives")
{
    const auto before = fleet(3, 3);
    auto after = before;
    after.instances.push_back({"i9", "a", "127.0.0.1:8199", lookup_state::live});
    auto moved = 0;
    for (auto chat = 0; chat < 1000; ++chat) {
        const auto text = std::to_string(chat);
        const auto old_first = ids(lookup_addresses(before, query_for(text), 1)).at(0);
        const auto new_first = ids(lookup_addresses(after, query_for(text), 2)).at(0);
        if (old_first != new_first) {
            CHECK(new_first == "i9");
            ++moved;
        }
    }
    // the expected share is a tenth
    CHECK(moved > 50);
    CHECK(moved < 160);
}

TEST_CASE("the validity of answers is spread over time")
{
    const auto view = fleet(3, 3);
    auto values = std::set<duration>{};
    for (auto i = std::uint64_t{0}; i < 100; ++i) {
        const auto valid = lookup_addresses(view, query_for("c1"), i).valid;
        CHECK(valid >= 24s);
        CHECK(valid <= 36s);
        values.insert(valid);
    }
    CHECK(values.size() > 90);
}
