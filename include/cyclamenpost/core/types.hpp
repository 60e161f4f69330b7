#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The router fleet: decisions, state and protocols of an entry instance.
namespace cyclamenpost {

/// Monotonic time with microsecond resolution. Decision modules receive it as an argument.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/// Span of monotonic time in microseconds.
using duration = std::chrono::microseconds;

/// Random number that tells two process starts of one instance or target apart.
using incarnation_id = std::uint64_t;

/// One row of a name table: an enumerator and its name on the wire and in logs.
template <typename Enum>
struct enum_name {
    Enum value;
    std::string_view name;
};

/// Looks up the name of an enumerator. Returns "unknown" for a value without a row.
template <typename Enum, std::size_t Size>
constexpr auto name_in(const std::array<enum_name<Enum>, Size>& table, Enum value)
    -> std::string_view
{
    for (const auto& row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

/// Looks up the enumerator with the given name. Returns nothing for an unknown name.
template <typename Enum, std::size_t Size>
constexpr auto value_in(const std::array<enum_name<Enum>, Size>& table, std::string_view name)
    -> std::optional<Enum>
{
    for (const auto& row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

/// What a refusal or error says about the request: it did not run, or this cannot be known.
enum class outcome { not_run, unknown };

inline constexpr std::array outcome_names{
    enum_name<outcome>{outcome::not_run, "not_run"},
    enum_name<outcome>{outcome::unknown, "unknown"},
};

/// Priority of a request, in the engines' own three classes.
enum class priority { high, normal, low };

inline constexpr std::array priority_names{
    enum_name<priority>{priority::high, "high"},
    enum_name<priority>{priority::normal, "normal"},
    enum_name<priority>{priority::low, "low"},
};

/// Life cycle of a target as its gate sees it.
enum class target_state { cold, warming, warm, leaving, gone };

inline constexpr std::array target_state_names{
    enum_name<target_state>{target_state::cold, "cold"},
    enum_name<target_state>{target_state::warming, "warming"},
    enum_name<target_state>{target_state::warm, "warm"},
    enum_name<target_state>{target_state::leaving, "leaving"},
    enum_name<target_state>{target_state::gone, "gone"},
};

/// Hashes bytes to 64 bits with XXH3, equal on every instance.
auto hash64(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// Key of a model's, zone's or target's name in messages: the low 32 bits of its hash.
auto name_key(std::string_view name) -> std::uint32_t;

/// Formats a number as 16 lower-case hexadecimal digits.
auto to_hex(std::uint64_t value) -> std::string;

/// Parses 1 to 16 hexadecimal digits. Returns nothing for anything else.
auto from_hex(std::string_view text) -> std::optional<std::uint64_t>;

/// Current monotonic time, for the I/O modules that pass it to the decision modules.
auto monotonic_now() -> time_point;

/// Wall-clock time in milliseconds since the Unix epoch.
auto wall_clock_ms() -> std::int64_t;

} // namespace cyclamenpost
