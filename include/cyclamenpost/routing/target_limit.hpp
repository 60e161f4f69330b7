#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Limits below this many requests per second are raised to it, so that now and then a request
/// finds out whether the limit still applies.
inline constexpr double min_target_limit = 0.25;

/// Limits above this many requests per second are no limit.
inline constexpr double max_target_limit = 100'000;

/// Time for which the lowest announced limit applies when a target announces several.
inline constexpr duration limit_window = std::chrono::seconds{4};

/// What is known of the limit that one start of a target has announced: the requests per second
/// that it takes from all instances together.
struct target_limit {
    /// Lowest values announced since `window_begun`, and in the window before; unset without one.
    std::optional<double> lowest;
    std::optional<double> lowest_before;
    time_point window_begun{};
    /// When a limit was last announced; unset when none applies.
    std::optional<time_point> announced_at;
    /// Newest time as of which no limit applied.
    time_point ended_at{};
    /// Turns up to this time on the shared clock have been used, in seconds.
    double used_until = 0;
};

/// What an announcement changed.
enum class limit_change { none, began, changed, ended };

inline constexpr std::array limit_change_names{
    enum_name<limit_change>{limit_change::none, "none"},
    enum_name<limit_change>{limit_change::began, "began"},
    enum_name<limit_change>{limit_change::changed, "changed"},
    enum_name<limit_change>{limit_change::ended, "ended"},
};

/// Records what an answer to this instance or to another one announced: a limit in requests per
/// second, or none. `as_of` is the time of the answer for a limit, and the beginning of the attempt
/// for an answer without one, which ends only limits that were announced before. Older news than
/// what is known changes nothing. `changed` means by more than a tenth.
auto note_limit(target_limit& limit, std::optional<double> announced, time_point as_of,
                time_point now) -> limit_change;

/// Limit in requests per second that applies now; unset without one.
auto current_limit(const target_limit& limit, time_point now) -> std::optional<double>;

/// Place of this instance among those that share the limits.
struct fleet_position {
    /// Position among the members, sorted by id.
    std::size_t rank = 0;
    /// Number of members, this instance included; 0 while it is not known.
    std::size_t members = 0;
    /// Added to the monotonic time for a clock that the instances have in common.
    duration clock_offset{};
};

/// Whether a request may be sent to a target now. A limit is divided into turns: turn j is at time
/// j / limit on the shared clock and belongs to the instance whose rank, rotated by the target's
/// key, is j modulo the number of members. A turn lets one request through, at its time or up to
/// 1 s + 3 / limit later. Without a limit any request may be sent; an instance that does not know
/// the number of members has no turn.
///
/// Load pattern: a target under pressure announces 1 to 5 requests per second, while 8 to 390
/// instances send it requests. In any 4 s at most 5 x limit + 4 requests pass.
auto has_turn(const target_limit& limit, const fleet_position& position, std::uint32_t target_key,
              time_point now) -> bool;

/// Uses the oldest turn that has not expired. Does nothing without a limit.
auto use_turn(target_limit& limit, const fleet_position& position, std::uint32_t target_key,
              time_point now) -> void;

/// When the next turn of this instance may be used, `now` if one may be used already; unset while
/// the number of members is not known. Only meaningful with a limit.
auto next_turn(const target_limit& limit, const fleet_position& position, std::uint32_t target_key,
               time_point now) -> std::optional<time_point>;

} // namespace cyclamenpost
