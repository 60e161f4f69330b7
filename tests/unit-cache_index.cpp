#include <doctest/doctest.h>

#include "cyclamenpost/placement/cache_index.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

TEST_CASE("the longest reported prefix decides, also when reports of the shorter ones were lost")
{
    auto index = cache_index{};
    const auto chat = prompt_prefixes({{"user", "a"}, {"assistant", "b"}, {"user", "c"}});
    record_cache(index, "e1", {chat[0]}, {}, time_point{1s});
    record_cache(index, "e2", {chat[1]}, {}, time_point{2s});
    CHECK(engine_holding(index, chat) == "e2");
    record_cache(index, "e2", {}, {chat[1]}, time_point{3s});
    CHECK(engine_holding(index, chat) == "e1");
    CHECK(engine_holding(index, prompt_prefixes({{"user", "x"}})).empty());
}

TEST_CASE("an eviction at one engine does not remove another engine's newer entry")
{
    auto index = cache_index{};
    record_cache(index, "e1", {7}, {}, time_point{1s});
    record_cache(index, "e2", {7}, {}, time_point{2s});
    record_cache(index, "e1", {}, {7}, time_point{3s});
    CHECK(engine_holding(index, {7}) == "e2");
    forget_engine(index, "e2");
    CHECK(engine_holding(index, {7}).empty());
}

TEST_CASE("hints end with their lifetime and never outgrow two generations")
{
    auto index = cache_index{};
    index.generation_entries = 100;
    for (auto prefix = std::uint64_t{1}; prefix <= 1000; ++prefix) {
        record_cache(index, "e", {prefix}, {}, time_point{1s});
        CHECK(index.young.size() + index.old.size() <= 201);
    }
    CHECK(engine_holding(index, {1000}) == "e");
    record_cache(index, "e", {}, {}, time_point{6min});
    record_cache(index, "e", {}, {}, time_point{12min});
    CHECK(engine_holding(index, {1000}).empty());
}
