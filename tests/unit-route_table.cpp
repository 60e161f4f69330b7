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

TEST_CASE("route_table: the route with the longest matching prefix is used")
{
    const auto table = make_table();
    CHECK(match_route(table, "a.example", "/one/two/three")->name == "long");
    CHECK(match_route(table, "A.Example:8080", "/one/three")->name == "short");
    CHECK(match_route(table, "a.example", "/one") == nullptr);
    CHECK(match_route(table, "b.example", "/one/two/") == nullptr);
}

TEST_CASE("route_table: an API key identifies its organisation")
{
    const auto table = make_table();
    CHECK(find_organisation(table, "k2")->name == "buyer");
    CHECK(find_organisation(table, "k") == nullptr);
    CHECK(find_service(table, "plain")->max_connections == 10);
    CHECK(find_service(table, "other") == nullptr);
}

TEST_CASE("route_table: services are selected by weight")
{
    auto rule = make_route("split", "/");
    rule.services = {{"a", 90}, {"b", 10}, {"c", 0}};
    auto selected = std::map<std::string, int>{};
    for (std::uint64_t request_hash = 0; request_hash < 1000; ++request_hash) {
        ++selected[choose_service(rule, request_hash)];
    }
    CHECK(selected["a"] == 900);
    CHECK(selected["b"] == 100);
    CHECK(selected.count("c") == 0);
}

TEST_CASE("route_table: only idempotent requests and resumable streams are repeatable")
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
