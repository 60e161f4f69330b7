#include <doctest/doctest.h>

#include "cyclamenpost/placement/chat_table.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

auto at(std::chrono::seconds since_start) -> time_point
{
    return time_point{since_start};
}

auto chat_name(int number) -> std::string
{
    return "chat-" + std::to_string(number);
}

} // namespace

TEST_CASE("a new target of a chat replaces the earlier entry")
{
    auto table = chat_table{64};
    table.record("c1", "engine-a", at(1s));
    table.record("c1", "engine-b", at(2s));
    CHECK(table.last_target("c1") == "engine-b");
    CHECK(table.last_target("c2").empty());
    CHECK(table.size() == 1);
}

TEST_CASE("memory stays at 16 bytes a chat or less and does not grow beyond the capacity")
{
    auto table = chat_table{100000};
    const auto reserved = table.memory_bytes();
    for (auto number = 0; number < 300000; ++number) {
        table.record(chat_name(number), "engine-" + std::to_string(number % 12), at(1s));
    }
    CHECK(table.size() <= table.capacity());
    CHECK(table.memory_bytes() == reserved);
    CHECK(static_cast<double>(table.memory_bytes()) / static_cast<double>(table.size()) <= 16);
}

TEST_CASE("a full table evicts the least recently used chats first")
{
    auto table = chat_table{8000};
    for (auto number = 0; number < 4000; ++number) {
        table.record(chat_name(number), "old", at(0s));
    }
    for (auto number = 4000; number < 10000; ++number) {
        table.record(chat_name(number), "new", at(100s));
    }
    auto kept_new = 0;
    auto kept_old = 0;
    for (auto number = 0; number < 10000; ++number) {
        const auto target = table.last_target(chat_name(number));
        kept_old += target == "old" ? 1 : 0;
        kept_new += target == "new" ? 1 : 0;
    }
    CHECK(kept_new > 5700);
    CHECK(kept_old < 2300);
}

TEST_CASE("the order of last use is kept when the 16-bit time of use wraps")
{
    auto table = chat_table{8};
    const auto before_wrap = at(4s * 65534);
    table.record(chat_name(0), "old", before_wrap);
    for (auto number = 1; number < 8; ++number) {
        table.record(chat_name(number), "new", before_wrap + 40s);
    }
    table.record(chat_name(8), "new", before_wrap + 50s);
    CHECK(table.last_target(chat_name(0)).empty());
    CHECK(table.last_target(chat_name(1)) == "new");
}

TEST_CASE("erasing a target removes only its own chats")
{
    auto table = chat_table{64};
    table.record("c1", "engine-a", at(1s));
    table.record("c2", "engine-b", at(1s));
    table.erase_target("engine-a");
    CHECK(table.last_target("c1").empty());
    CHECK(table.last_target("c2") == "engine-b");
    CHECK(table.size() == 1);
}
