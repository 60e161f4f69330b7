// Time of one choice of a target, by number of targets. Prints one JSON line per measurement.
#include <ctime>
#include <iostream>

#include <nlohmann/json.hpp>

#include "cyclamenpost/routing/target_choice.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

constexpr auto now = time_point{1000s};
constexpr auto repeats = 2000;

/// One service in three zones whose targets have reported their loads within the last second.
auto fill_table(target_table& table, int count) -> void
{
    table.settings.zone = "a";
    record_request_time(table, "engine", 800ms);
    for (auto index = 0; index < count; ++index) {
        auto entry = published_target{};
        entry.id = "i-" + to_hex(static_cast<std::uint64_t>(index) * 7919).substr(6);
        entry.service = "engine";
        entry.address = "10.0.0.1:8080";
        entry.zone = std::string(1, static_cast<char>('a' + index % 3));
        entry.capacity = 32;
        upsert_target(table, entry, now);
        record_load(table.targets.at(entry.id), 8 + index % 7, 0, now - 1ms * (100 + index % 800));
    }
}

auto measure(int count, bool even, std::uint64_t prefix_hash, const char* scenario) -> void
{
    auto table = target_table{};
    fill_table(table, count);
    auto query = choice_query{};
    query.service = "engine";
    query.even_load = even;
    query.objective = 400ms;
    const auto start = std::clock();
    for (auto turn = 0; turn < repeats; ++turn) {
        query.random = static_cast<double>(turn) / repeats;
        query.prefix_hash = prefix_hash == 0 ? 0 : prefix_hash + static_cast<std::uint64_t>(turn);
        query.prefix_tokens = prefix_hash == 0 ? 0 : 2000;
        choose_target(table, query, {}, now);
    }
    const auto seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    std::cout << nlohmann::json{{"measure", "cpu_per_choice"},
                                {"scenario", scenario + std::to_string(count)},
                                {"policy", even ? "even" : "least_cost"},
                                {"seed", 0},
                                {"value", seconds * 1e6 / repeats},
                                {"unit", "us"}}
                     .dump()
              << '\n';
}

} // namespace

auto main() -> int
{
    for (const auto count : {4, 90, 140, 2400}) {
        for (const auto even : {false, true}) {
            measure(count, even, 0, "targets_");
            measure(count, even, 1, "targets_with_prompt_");
        }
    }
    return 0;
}
