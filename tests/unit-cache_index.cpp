#include <doctest/doctest.h>

#include "cyclamenpost/placement/cache_index.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

TEST_CASE("the longest reported prefix is used even when reports of shorter ones were lost")
{
    auto index = cache_index{};
    const auto chat = prompt_prefixes({{"user", "a"}, {"assistant", "b"}, {"user", "c"}});
    update_cache_index(index, "e1", {chat[0]}, {}, time_point{1s});
    update_cache_index(index, "e2", {chat[1]}, {}, time_point{2s});
    CHECK(longest_prefix_engine(index, chat) == "e2");
    update_cache_index(index, "e2", {}, {chat[1]}, time_point{3s});
    CHECK(longest_prefix_engine(index, chat) == "e1");
    CHECK(longest_prefix_engine(index, prompt_prefixes({{"user", "x"}})).empty());
}

TEST_CASE("an eviction at one engine does not remove another engine's newer entry")
{
    auto index = cache_index{};
    update_cache_index(index, "e1", {7}, {}, time_point{1s});
    update_cache_index(index, "e2", {7}, {}, time_point{2s});
    update_cache_index(index, "e1", {}, {7}, time_point{3s});
    CHECK(longest_prefix_engine(index, {7}) == "e2");
    erase_engine(index, "e2");
    CHECK(longest_prefix_engine(index, {7}).empty());
}

TEST_CASE("entries expire after their lifetime and never exceed two generations")
{
    auto index = cache_index{};
    index.max_generation_entries = 100;
    for (auto prefix = std::uint64_t{1}; prefix <= 1000; ++prefix) {
        update_cache_index(index, "e", {prefix}, {}, time_point{1s});
        CHECK(index.young.size() + index.old.size() <= 201);
    }
    CHECK(longest_prefix_engine(index, {1000}) == "e");
    update_cache_index(index, "e", {}, {}, time_point{6min});
    update_cache_index(index, "e", {}, {}, time_point{12min});
    CHECK(longest_prefix_engine(index, {1000}).empty());
}
