#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Limits below this many requests per second are raised to it, so that now and then a request
/// finds out whether the limit still applies.
inline constexpr double min_target_limit = 0.25;

/// Limits above this many requests per second are no limit.
inline constexpr double max_target_limit = 100'000;

/// Time for which the lowest announced limit applies when a target announces several.
inline constexpr duration limit_window = std::chrono::seconds{4};

/// Length of the parts of the window. A value applies until the end of the part in which it leaves
/// the window, so up to one part longer than the window.
inline constexpr duration limit_window_part = limit_window / 8;

/// What is known of the limit that one start of a target has announced: the requests per second
/// that it takes from all instances together. Values are kept in thousandths, as in the load
/// reports, because instances agree on the turns only if their limits are equal.
struct target_limit {
    /// Lowest value announced in each part of the window, at the part's number modulo the size; 0
    /// without one.
    std::array<std::int64_t, limit_window / limit_window_part + 1> lowest{};
    /// Number of the newest part with a value: its time divided by the length of a part.
    std::int64_t newest_part = 0;
    /// Value announced last; it applies until it is revoked, also after the window.
    std::int64_t latest = 0;
    /// Value of the last change that `note_limit` returned.
    std::int64_t reported = 0;
    /// When a limit was last announced; unset when none applies.
    std::optional<time_point> announced_at;
    /// Newest time as of which no limit applied.
    time_point ended_at{};
    /// Time of the last `note_limit` that changed the limit. Earlier turns may not be used: without
    /// this, each change of the limit would admit the requests of a whole validity again.
    time_point turns_from{};
    /// Turns up to this time on the shared clock have been used.
    std::chrono::nanoseconds used_until{};
    /// Time between two turns of this instance when it used the last one. After a change of the
    /// limit, a turn that comes sooner is skipped: if each answer changes the limit, the next turn
    /// would otherwise come after half of this time on average, and the fleet would send twice as
    /// much.
    std::chrono::nanoseconds used_interval{};
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
/// for an answer without one, which ends only limits that were announced before. News from before
/// the last end changes nothing. An announcement that is older than the last one but within the
/// window can still lower the limit: otherwise an instance that heard 40 from its own answer would
/// ignore the 4 that another one heard a second earlier. Negative values, NaN and infinity are
/// ignored. `changed` means by more than a tenth since the last change returned.
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
    /// When this instance last changed its rank or the number of members. Earlier turns may not be
    /// used: their former owners may have used them.
    time_point since{};
};

/// Updates the place of the instance with the given id among the members, of which it is one; an
/// empty list means that they are not known.
auto update_position(fleet_position& position, const std::vector<std::string>& members,
                     std::string_view own_id, time_point now) -> void;

/// Time for which a turn remains usable: 1.5 s + 1 / limit. In 4 s at most (4 s + validity) x limit
/// + 1 = 5.5 x limit + 2 requests pass; the rest up to 6 x limit + 5 is for clocks, transit and
/// members that disagree. A shorter time wastes the turns of instances with few requests.
auto turn_validity(double limit) -> duration;

/// Whether a request may be sent to a target now. A limit is divided into turns: turn j is at time
/// j / limit on the shared clock and belongs to the instance whose rank, rotated by the target's
/// key, is j modulo the number of members. A turn lets one request through, at its time or up to
/// `turn_validity` later. Turns from before the last change of the limit or of the position may not
/// be used. Without a limit any request may be sent; an instance that does not know the number of
/// members has no turn.
///
/// Load pattern: a target under pressure announces 1 to 5 requests per second, while 8 to 390
/// instances send it requests. In any 4 s at most 5.5 x limit + 2 requests pass.
auto has_turn(const target_limit& limit, const fleet_position& position, std::uint32_t target_key,
              time_point now) -> bool;

/// Age of the oldest turn that may be used now; unset without one. Only meaningful with a limit.
auto turn_age(const target_limit& limit, const fleet_position& position, std::uint32_t target_key,
              time_point now) -> std::optional<duration>;

/// Uses the oldest turn that has not expired. Does nothing without a limit.
auto use_turn(target_limit& limit, const fleet_position& position, std::uint32_t target_key,
              time_point now) -> void;

/// When the next turn of this instance may be used, `now` if one may be used already; unset while
/// the number of members is not known. Only meaningful with a limit.
auto next_turn(const target_limit& limit, const fleet_position& position, std::uint32_t target_key,
               time_point now) -> std::optional<time_point>;

} // namespace cyclamenpost
