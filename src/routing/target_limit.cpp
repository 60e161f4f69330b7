#include "cyclamenpost/routing/target_limit.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenpost {

namespace {

using std::chrono::nanoseconds;

/// The limit that applies at some time, in thousandths, and the time since which it applies.
struct applied_limit {
    std::int64_t value = 0;
    time_point since{};
};

/// Quotient rounded towards negative infinity, for a positive divisor.
constexpr auto floor_div(std::int64_t dividend, std::int64_t divisor) -> std::int64_t
{
    const auto quotient = dividend / divisor;
    return dividend % divisor < 0 ? quotient - 1 : quotient;
}

auto part_of(time_point when) -> std::int64_t
{
    return floor_div(when.time_since_epoch().count(), limit_window_part.count());
}

template <typename Limit>
auto lowest_in(Limit& limit, std::int64_t part) -> auto&
{
    const auto size = static_cast<std::int64_t>(limit.lowest.size());
    return limit.lowest[static_cast<std::size_t>(part - floor_div(part, size) * size)];
}

/// First part in which a value of the given part no longer applies.
auto expiry_part(const target_limit& limit, std::int64_t part) -> std::int64_t
{
    return part + static_cast<std::int64_t>(limit.lowest.size());
}

/// Only meaningful with a limit.
auto applied_at(const target_limit& limit, time_point now) -> applied_limit
{
    const auto part_now = part_of(now);
    const auto oldest = limit.newest_part - static_cast<std::int64_t>(limit.lowest.size()) + 1;
    auto applied = applied_limit{limit.latest, limit.turns_from};
    for (auto part = oldest; part <= limit.newest_part; ++part) {
        const auto value = lowest_in(limit, part);
        if (value > 0 && part_now < expiry_part(limit, part)) {
            applied.value = std::min(applied.value, value);
        }
    }
    // the limit rose when the last lower value left the window
    for (auto part = oldest; part <= limit.newest_part; ++part) {
        const auto value = lowest_in(limit, part);
        const auto expiry = expiry_part(limit, part);
        if (value > 0 && value < applied.value && part_now >= expiry) {
            applied.since = std::max(applied.since, time_point{limit_window_part * expiry});
        }
    }
    return applied;
}

auto note_end(target_limit& limit, time_point as_of) -> limit_change
{
    if (limit.announced_at && as_of <= *limit.announced_at) {
        return limit_change::none;
    }
    limit.ended_at = std::max(limit.ended_at, as_of);
    if (!limit.announced_at) {
        return limit_change::none;
    }
    limit.announced_at.reset();
    limit.lowest.fill(0);
    limit.latest = 0;
    limit.reported = 0;
    return limit_change::ended;
}

/// Enters a value into the window and makes it the latest one if it is.
auto enter_value(target_limit& limit, std::int64_t value, time_point as_of) -> void
{
    const auto part = part_of(as_of);
    if (!limit.announced_at || part >= expiry_part(limit, limit.newest_part)) {
        limit.lowest.fill(0);
        limit.newest_part = part;
    }
    while (limit.newest_part < part) {
        lowest_in(limit, ++limit.newest_part) = 0;
    }
    if (limit.newest_part < expiry_part(limit, part)) {
        auto& lowest = lowest_in(limit, part);
        lowest = lowest > 0 ? std::min(lowest, value) : value;
    }
    if (!limit.announced_at || as_of >= *limit.announced_at) {
        limit.announced_at = as_of;
        limit.latest = value;
    }
}

/// The turns of one instance, on the shared clock. Times are whole nanoseconds because a double
/// resolves 0.2 us at 1.8e9 s; the rounded interval changes the rate by at most 1 / 20,000.
struct own_turns {
    /// Time of the instance's first turn after time 0, and between two of its turns.
    nanoseconds first{};
    nanoseconds interval{};
    /// The current time, and the time up to which turns are used, skipped or expired.
    nanoseconds now{};
    nanoseconds gone_until{};
};

auto own_turns_at(const target_limit& limit, const fleet_position& position,
                  std::uint32_t target_key, time_point now) -> own_turns
{
    const auto applied = applied_at(limit, now);
    const auto interval = nanoseconds{(1'000'000'000'000 + applied.value / 2) / applied.value};
    const auto members = static_cast<std::int64_t>(position.members);
    const auto first = static_cast<std::int64_t>((position.rank + target_key) % position.members);
    auto turns = own_turns{first * interval, members * interval, {}, {}};
    turns.now = now.time_since_epoch() + position.clock_offset;
    const nanoseconds limit_since = applied.since.time_since_epoch() + position.clock_offset;
    const nanoseconds position_since = position.since.time_since_epoch() + position.clock_offset;
    const auto validity = turn_validity(static_cast<double>(applied.value) / 1000);
    turns.gone_until =
        std::max({limit.used_until, limit_since, position_since, turns.now - validity});
    if (limit_since > limit.used_until) {
        const auto gap = std::min(limit.used_interval, turns.interval);
        turns.gone_until = std::max(turns.gone_until, limit.used_until + gap - nanoseconds{1});
    }
    return turns;
}

/// Time on the shared clock of the oldest turn that is neither used nor expired.
auto oldest_turn(const own_turns& turns) -> nanoseconds
{
    const auto number =
        floor_div((turns.gone_until - turns.first).count(), turns.interval.count()) + 1;
    return turns.first + turns.interval * number;
}

} // namespace

auto note_limit(target_limit& limit, std::optional<double> announced, time_point as_of,
                time_point now) -> limit_change
{
    if (announced && !(std::isfinite(*announced) && *announced >= 0)) {
        return limit_change::none;
    }
    as_of = std::min(as_of, now);
    if (!announced || *announced > max_target_limit) {
        return note_end(limit, as_of);
    }
    if (as_of < limit.ended_at) {
        return limit_change::none;
    }
    const auto value =
        static_cast<std::int64_t>(std::llround(std::max(*announced, min_target_limit) * 1000));
    const auto begins = !limit.announced_at;
    const auto before = begins ? applied_limit{} : applied_at(limit, now);
    enter_value(limit, value, as_of);
    // computed from the window alone, so that the rise at the end of a value's time is kept
    limit.turns_from = before.since;
    const auto after = applied_at(limit, now).value;
    if (after != before.value) {
        limit.turns_from = now;
    }
    if (begins) {
        limit.reported = after;
        return limit_change::began;
    }
    if (std::abs(after - limit.reported) * 10 > limit.reported) {
        limit.reported = after;
        return limit_change::changed;
    }
    return limit_change::none;
}

auto current_limit(const target_limit& limit, time_point now) -> std::optional<double>
{
    if (!limit.announced_at) {
        return std::nullopt;
    }
    return static_cast<double>(applied_at(limit, now).value) / 1000;
}

auto turn_validity(double limit) -> duration
{
    return duration{std::llround((1.5 + 1 / std::max(limit, min_target_limit)) * 1e6)};
}

auto has_turn(const target_limit& limit, const fleet_position& position, std::uint32_t target_key,
              time_point now) -> bool
{
    return !limit.announced_at || turn_age(limit, position, target_key, now).has_value();
}

auto turn_age(const target_limit& limit, const fleet_position& position, std::uint32_t target_key,
              time_point now) -> std::optional<duration>
{
    if (position.members == 0) {
        return std::nullopt;
    }
    const auto turns = own_turns_at(limit, position, target_key, now);
    const auto age = turns.now - oldest_turn(turns);
    return age >= nanoseconds{} ? std::optional{std::chrono::floor<duration>(age)} : std::nullopt;
}

auto use_turn(target_limit& limit, const fleet_position& position, std::uint32_t target_key,
              time_point now) -> void
{
    if (!limit.announced_at || position.members == 0) {
        return;
    }
    const auto turns = own_turns_at(limit, position, target_key, now);
    const auto oldest = oldest_turn(turns);
    if (oldest <= turns.now) {
        limit.used_until = oldest;
        limit.used_interval = turns.interval;
    }
}

auto next_turn(const target_limit& limit, const fleet_position& position, std::uint32_t target_key,
               time_point now) -> std::optional<time_point>
{
    if (!limit.announced_at) {
        return now;
    }
    if (position.members == 0) {
        return std::nullopt;
    }
    const auto turns = own_turns_at(limit, position, target_key, now);
    const auto wait = std::max(oldest_turn(turns) - turns.now, nanoseconds{});
    return now + std::chrono::ceil<duration>(wait);
}

auto update_position(fleet_position& position, const std::vector<std::string>& members,
                     std::string_view own_id, time_point now) -> void
{
    const auto before =
        std::ranges::count_if(members, [&](const std::string& id) { return id < own_id; });
    const auto rank = static_cast<std::size_t>(before);
    if (rank != position.rank || members.size() != position.members) {
        position.rank = rank;
        position.members = members.size();
        position.since = now;
    }
}

} // namespace cyclamenpost
