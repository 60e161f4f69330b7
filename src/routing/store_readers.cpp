#include "cyclamenpost/routing/store_readers.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// a new instance stops waiting for an announced revision that no live instance can send it
constexpr duration max_catch_up_time = std::chrono::seconds{6};
// pauses after changes; a change that comes while a watch waits is delivered at once
constexpr duration reader_pause = std::chrono::milliseconds{100};
constexpr duration backup_pause = std::chrono::milliseconds{300};
constexpr duration first_failure_pause = std::chrono::milliseconds{100};
constexpr duration max_failure_pause = std::chrono::milliseconds{400};
constexpr duration max_backup_failure_pause = std::chrono::milliseconds{800};

auto reads_for_zone(store_duty duty) -> bool
{
    return duty == store_duty::first_reader || duty == store_duty::standby;
}

} // namespace

auto store_readers(std::vector<std::string> zone_members) -> std::vector<std::string>
{
    std::sort(zone_members.begin(), zone_members.end(),
              [](const std::string& left, const std::string& right) {
                  return hash64(left) < hash64(right);
              });
    zone_members.resize(std::min(zone_members.size(), readers_per_zone));
    return zone_members;
}

auto store_duty_of(const std::vector<std::string>& readers, std::string_view own_id,
                   duration since_notice, duration since_start, duration behind) -> store_duty
{
    const auto position = std::find(readers.begin(), readers.end(), own_id);
    if (position != readers.end()) {
        if (since_start < reader_settle_time) {
            return store_duty::backup;
        }
        return position == readers.begin() ? store_duty::first_reader : store_duty::standby;
    }
    return std::max(since_notice, behind) > notice_timeout ? store_duty::backup : store_duty::none;
}

auto pause_after_changes(store_duty duty) -> duration
{
    // a standby keeps the pace of the first reader: while it lags, all instances of the zone would
    // fetch large changes from the first reader alone
    return reads_for_zone(duty) ? reader_pause : backup_pause;
}

auto pause_after_failure(store_duty duty, std::uint32_t failures, bool knows_store) -> duration
{
    constexpr auto max_doublings = std::uint32_t{5};
    const auto doublings = std::min(std::max(failures, 1U) - 1, max_doublings);
    return std::min<duration>(first_failure_pause * (1U << doublings),
                              reads_for_zone(duty) || !knows_store ? max_failure_pause
                                                                   : max_backup_failure_pause);
}

auto readers_from_preferred(const std::vector<std::string>& readers, std::string_view own_id)
    -> std::vector<std::string>
{
    auto others = readers;
    std::erase(others, own_id);
    if (!others.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(hash64(own_id) % others.size());
        std::rotate(others.begin(), others.begin() + first, others.end());
    }
    return others;
}

auto knows_enough(const start_knowledge& known) -> bool
{
    if (known.listed_store) {
        return true;
    }
    if (known.revision == 0) {
        return false;
    }
    const auto confirmed = known.heard_reader || known.since_first_announced >= announcement_time;
    return (confirmed && known.revision >= known.newest_announced) ||
           known.since_first_announced >= max_catch_up_time;
}

} // namespace cyclamenpost
