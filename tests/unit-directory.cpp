#include <algorithm>

#include <doctest/doctest.h>

#include "cyclamenpost/routing/directory.hpp"

using namespace cyclamenpost;

namespace {

auto zone_of(const std::string& zone, int count) -> std::vector<directory_entry>
{
    auto entries = std::vector<directory_entry>{};
    for (auto index = 0; index < count; ++index) {
        entries.push_back({zone, zone + std::to_string(index)});
    }
    return entries;
}

auto fleet(int in_a, int in_b, int in_c) -> std::vector<directory_entry>
{
    auto all = zone_of("a", in_a);
    for (const auto& more : {zone_of("b", in_b), zone_of("c", in_c)}) {
        all.insert(all.end(), more.begin(), more.end());
    }
    return all;
}

} // namespace

TEST_CASE("directory: callers receive the instances of their own zone")
{
    auto addresses = directory_addresses(fleet(3, 3, 3), "a", 1);
    std::sort(addresses.begin(), addresses.end());
    CHECK(addresses == std::vector<std::string>{"a0", "a1", "a2"});
}

TEST_CASE("directory: a zone that lost most of its instances is supplemented by the others")
{
    CHECK(directory_addresses(fleet(1, 3, 3), "a", 1).size() == 7);
    CHECK(directory_addresses(fleet(0, 3, 3), "a", 1).size() == 6);
    CHECK(directory_addresses(fleet(2, 9, 9), "a", 1).size() == 20);
    CHECK(directory_addresses(fleet(3, 3, 3), "elsewhere", 1).size() == 9);
    CHECK(directory_addresses({}, "a", 1).empty());
}

TEST_CASE("directory: an answer holds at most 64 addresses, in an order that depends on the seed")
{
    const auto first = directory_addresses(fleet(100, 0, 0), "a", 1);
    const auto second = directory_addresses(fleet(100, 0, 0), "a", 2);
    CHECK(first.size() == max_directory_addresses);
    CHECK(first != second);
}
