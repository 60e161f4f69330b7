#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// Most limits in one message between instances.
inline constexpr std::size_t max_shared_limits = 100;

/// Most bytes of one limit in a message: key 4, start 2, limit 4, age 3.
inline constexpr std::size_t shared_limit_bytes = 13;

/// Bytes per second that limits may take of the 4,500 that the load reports may take. Figures of
/// targets take up to 3,200 (unit-fleet_load); loads take what remains.
inline constexpr std::size_t max_limit_bytes_per_second = 1'200;

/// Older news of a limit is neither applied nor forwarded. When all of 2,400 targets announce
/// limits, a collector takes 26 s to send them all (`limit_period`), and news may pass two
/// collectors.
inline constexpr duration max_limit_news_age = std::chrono::seconds{60};

/// News with the same value repeats the known news if it is newer by no more than this. News that
/// comes back seems newer by its time in transit, which the age in messages does not include.
inline constexpr duration limit_repetition = std::chrono::milliseconds{500};

/// A lower limit is not replaced by a higher one from an answer up to this much later, so that a
/// target that announces low and high limits in turn cannot hide the low one. It replaces a higher
/// one that is newer by up to half of this.
inline constexpr duration lower_limit_precedence = std::chrono::seconds{1};

/// Time after which a limit ends that no answer and no other instance has confirmed. Ends are sent
/// once; an instance that missed one would otherwise keep the limit until its own next turn, which
/// comes after 26 minutes at 390 instances and the lowest limit.
inline constexpr duration limit_expiry = max_limit_news_age;

/// News of one target's limit, as exchanged between instances.
struct shared_limit {
    /// Key of the target's id (`name_key`).
    std::uint32_t target = 0;
    /// Low bits of the target's start time (`start_bits`).
    std::uint32_t start = 0;
    /// Requests per second; no limit applied as of `age` if unset.
    std::optional<double> per_second;
    /// Time since the answer, or since the beginning of the attempt for an answer without a limit.
    duration age{};
};

/// Change of a limit by another instance's news.
struct shared_limit_change {
    std::string target;
    limit_change change = limit_change::none;
};

/// Progress of sending the limits to one group of receivers. When more than `max_shared_limits`
/// are due, they are sent in several messages in the order of their keys. A round ends when the
/// last key has been sent; the next one sends what was received since the round began. So each
/// limit that is due is sent once per round, however often the others change.
struct limit_round {
    /// News received after this time is due.
    time_point after{};
    /// When the round began; unset between rounds.
    std::optional<time_point> begun;
    /// Lower keys have been sent in this round.
    std::uint32_t next_key = 0;
};

/// Records what an answer to this instance or to another one announced (`note_limit`), and keeps it
/// for forwarding: a limit unless the known news is newer or takes precedence
/// (`lower_limit_precedence`), an answer without a limit only if it ended one. Another instance's
/// news of an end is kept also if nothing was known, since instances behind this one may know the
/// limit.
auto record_limit(target& reporting, std::optional<double> announced, time_point as_of,
                  report_origin origin, time_point now) -> limit_change;

/// News of limits received after a time, from the given origin or a nearer one, and not older than
/// `max_limit_news_age`: the `max_shared_limits` with the lowest keys from `first_key` on, sorted
/// by key.
auto limits_received_after(const target_table& table, time_point after, report_origin farthest,
                           time_point now, std::uint32_t first_key = 0)
    -> std::vector<shared_limit>;

/// Takes the limits for the next message of a round, or of a new one.
auto take_limits(const target_table& table, limit_round& round, report_origin farthest,
                 time_point now) -> std::vector<shared_limit>;

/// Time from a message with this number of limits to the next one, which bounds the bandwidth. It
/// is `shortest` for a few limits.
auto limit_period(std::size_t limits, duration shortest) -> duration;

/// Ends the limits that were last announced more than `limit_expiry` ago. Returns the ids of their
/// targets.
auto expire_limits(target_table& table, time_point now) -> std::vector<std::string>;

/// Applies news of another instance to targets with the same start, and keeps it for forwarding
/// unless it is known already or old. Returns what it changed.
auto merge_shared_limits(target_table& table, const std::vector<shared_limit>& limits,
                         report_origin origin, time_point now) -> std::vector<shared_limit_change>;

} // namespace cyclamenpost
