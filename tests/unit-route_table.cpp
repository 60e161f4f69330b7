#include <doctest/doctest.h>

#include <map>

#include "cyclamenpost/routing/route_table.hpp"

using namespace cyclamenpost;

namespace {

auto make_route(std::string name, std::string prefix) -> route
{
    auto rule = route{};
    rule.name = std::move(name);
    rule.host = "a.example";
    rule.prefix = std::move(prefix);
    rule.services = {{"plain", 1}};
    return rule;
}

auto make_table() -> route_table
{
    auto table = route_table{};
    table.routes = {make_route("short", "/one/"), make_route("long", "/one/two/")};
    table.organisations = {{"buyer", {"k1", "k2"}, 1}};
    table.services.push_back({"plain", 10, {}, 0, 0});
    index_routes(table);
    return table;
}

} // namespace

TEST_CASE("route_table: the longest prefix that begins the path wins")
{
    const auto table = make_table();
    CHECK(match_route(table, "a.example", "/one/two/three")->name == "long");
    CHECK(match_route(table, "A.Example:8080", "/one/three")->name == "short");
    CHECK(match_route(table, "a.example", "/one") == nullptr);
    CHECK(match_route(table, "b.example", "/one/two/") == nullptr);
}

TEST_CASE("route_table: a key names its organisation")
{
    const auto table = make_table();
    CHECK(find_organisation(table, "k2")->name == "buyer");
    CHECK(find_organisation(table, "k") == nullptr);
    CHECK(find_service(table, "plain")->max_connections == 10);
    CHECK(find_service(table, "other") == nullptr);
}

TEST_CASE("route_table: services are drawn by weight")
{
    auto rule = make_route("split", "/");
    rule.services = {{"a", 90}, {"b", 10}, {"c", 0}};
    auto drawn = std::map<std::string, int>{};
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        ++drawn[choose_service(rule, draw)];
    }
    CHECK(drawn["a"] == 900);
    CHECK(drawn["b"] == 100);
    CHECK(drawn.count("c") == 0);
}

TEST_CASE("route_table: only idempotent requests and resumable streams may run again")
{
    auto rule = make_route("r", "/");
    CHECK(repeatable(rule));
    rule.kind = route_kind::non_idempotent;
    rule.resumable = true;
    CHECK_FALSE(repeatable(rule));
    rule.kind = route_kind::stream;
    CHECK(repeatable(rule));
    rule.resumable = false;
    CHECK_FALSE(repeatable(rule));
}
