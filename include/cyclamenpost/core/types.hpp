#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The router fleet: request routing, state and protocols of its instances.
namespace cyclamenpost {

/// Monotonic time with microsecond resolution. Modules without I/O receive the time as an argument.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/// Span of monotonic time in microseconds.
using duration = std::chrono::microseconds;

/// Random number that distinguishes successive process starts of one instance or target.
using incarnation_id = std::uint64_t;

/// One row of a name table: an enumerator and its external name, as written to messages and logs.
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

/// Looks up the enumerator with the given name. Returns nullopt for an unknown name.
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

/// Execution status of a request that was refused or failed: it was not executed, or it is unknown
/// whether it was.
enum class outcome { not_run, unknown };

inline constexpr std::array outcome_names{
    enum_name<outcome>{outcome::not_run, "not_run"},
    enum_name<outcome>{outcome::unknown, "unknown"},
};

/// Priority class of a request; the three classes are those of the model engines.
enum class priority { high, normal, low };

inline constexpr std::array priority_names{
    enum_name<priority>{priority::high, "high"},
    enum_name<priority>{priority::normal, "normal"},
    enum_name<priority>{priority::low, "low"},
};

/// Life-cycle state of a target as known to its gate.
enum class target_state { cold, warming, warm, leaving, gone };

inline constexpr std::array target_state_names{
    enum_name<target_state>{target_state::cold, "cold"},
    enum_name<target_state>{target_state::warming, "warming"},
    enum_name<target_state>{target_state::warm, "warm"},
    enum_name<target_state>{target_state::leaving, "leaving"},
    enum_name<target_state>{target_state::gone, "gone"},
};

/// Returns the 64-bit XXH3 hash of `bytes`, which is the same on every instance.
auto hash64(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// Key that stands for the name of a model, zone or target in messages between instances: the low
/// 32 bits of the hash of the name.
auto name_key(std::string_view name) -> std::uint32_t;

/// Formats a number as 16 lower-case hexadecimal digits.
auto to_hex(std::uint64_t value) -> std::string;

/// Parses 1 to 16 hexadecimal digits. Returns nullopt for any other text.
auto from_hex(std::string_view text) -> std::optional<std::uint64_t>;

/// Current monotonic time. I/O modules read it and pass it to the modules without I/O.
auto monotonic_now() -> time_point;

/// Wall-clock time in milliseconds since the Unix epoch.
auto wall_clock_ms() -> std::int64_t;

} // namespace cyclamenpost
