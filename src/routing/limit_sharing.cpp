#include "cyclamenpost/routing/limit_sharing.hpp"

#include <algorithm>
#include <limits>

#include "cyclamenpost/routing/fleet_load.hpp"

namespace cyclamenpost {

namespace {

// limits are sent in thousandths of a request per second
constexpr double limit_resolution = 0.001;

auto is_lower(double left, double right) -> bool
{
    return left < right - limit_resolution;
}

auto is_same_limit(std::optional<double> left, std::optional<double> right) -> bool
{
    if (!left || !right) {
        return !left && !right;
    }
    return !is_lower(*left, *right) && !is_lower(*right, *left);
}

/// Whether a limit that was announced is to be forwarded in place of the known news.
auto replaces_news(const target& reporting, double announced, time_point as_of) -> bool
{
    if (as_of <= reporting.limit.ended_at) {
        return false;
    }
    const auto& known = reporting.news_of_limit;
    if (!known) {
        return true;
    }
    if (known->per_second && is_lower(*known->per_second, announced)) {
        return as_of > known->as_of + lower_limit_precedence;
    }
    // only part of the precedence: a lower limit that comes back must not replace its successor
    const auto lowers = known->per_second && is_lower(announced, *known->per_second);
    return as_of > known->as_of - (lowers ? lower_limit_precedence / 2 : duration::zero());
}

/// Whether news of another instance repeats the news known here.
auto is_repetition(const std::optional<limit_news>& known, const shared_limit& received,
                   time_point as_of) -> bool
{
    return known && as_of <= known->as_of + limit_repetition &&
           is_same_limit(known->per_second, received.per_second);
}

} // namespace

auto record_limit(target& reporting, std::optional<double> announced, time_point as_of,
                  report_origin origin, time_point now) -> limit_change
{
    const auto change = note_limit(reporting.limit, announced, as_of, now);
    auto& known = reporting.news_of_limit;
    const auto ends =
        change == limit_change::ended || (origin != report_origin::own_answer && !known);
    if (announced ? replaces_news(reporting, *announced, as_of) : ends) {
        known = limit_news{announced, as_of, origin, now};
    }
    return change;
}

auto limits_received_after(const target_table& table, time_point after, report_origin farthest,
                           time_point now, std::uint32_t first_key) -> std::vector<shared_limit>
{
    auto limits = std::vector<shared_limit>{};
    for (const auto& [id, known] : table.targets) {
        const auto& news = known.news_of_limit;
        if (!news || news->received_at <= after || news->origin > farthest) {
            continue;
        }
        const auto key = name_key(id);
        const auto age = now - news->as_of;
        if (key >= first_key && age <= max_limit_news_age) {
            limits.push_back({key, start_bits(known.published), news->per_second, age});
        }
    }
    std::ranges::sort(limits, {}, &shared_limit::target);
    limits.resize(std::min(limits.size(), max_shared_limits));
    return limits;
}

auto take_limits(const target_table& table, limit_round& round, report_origin farthest,
                 time_point now) -> std::vector<shared_limit>
{
    if (!round.begun) {
        round.begun = now;
        round.next_key = 0;
    }
    auto limits = limits_received_after(table, round.after, farthest, now, round.next_key);
    const auto complete = limits.size() < max_shared_limits ||
                          limits.back().target == std::numeric_limits<std::uint32_t>::max();
    if (complete) {
        round.after = *round.begun;
        round.begun.reset();
    }
    else {
        round.next_key = limits.back().target + 1;
    }
    return limits;
}

auto limit_period(std::size_t limits, duration shortest) -> duration
{
    const auto seconds = static_cast<double>(limits * shared_limit_bytes) /
                         static_cast<double>(max_limit_bytes_per_second);
    return std::max(shortest,
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds}));
}

auto expire_limits(target_table& table, time_point now) -> std::vector<std::string>
{
    auto expired = std::vector<std::string>{};
    for (auto& [id, known] : table.targets) {
        const auto& announced = known.limit.announced_at;
        if (announced && now - *announced > limit_expiry) {
            note_limit(known.limit, std::nullopt, now, now);
            known.news_of_limit.reset();
            expired.push_back(id);
        }
    }
    return expired;
}

auto merge_shared_limits(target_table& table, const std::vector<shared_limit>& limits,
                         report_origin origin, time_point now) -> std::vector<shared_limit_change>
{
    auto changes = std::vector<shared_limit_change>{};
    for (const auto& received : limits) {
        const auto id = table.id_by_key.find(received.target);
        if (id == table.id_by_key.end() || received.age > max_limit_news_age) {
            continue;
        }
        auto& known = table.targets.at(id->second);
        const auto as_of = now - received.age;
        if (start_bits(known.published) != received.start ||
            is_repetition(known.news_of_limit, received, as_of)) {
            continue;
        }
        const auto change = record_limit(known, received.per_second, as_of, origin, now);
        if (change != limit_change::none) {
            changes.push_back({id->second, change});
        }
    }
    return changes;
}

} // namespace cyclamenpost
