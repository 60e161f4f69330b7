#include "cyclamenpost/routing/target_table.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenpost {

namespace {

// a target that is gone is remembered this long, so that late answers still find it
constexpr duration forget_after = std::chrono::seconds{30};
// window of the cold allowance, with a margin for requests that are delayed on the way
constexpr duration cold_window = std::chrono::milliseconds{1300};
// at most this many instances divide the allowance of one cold target
constexpr std::size_t cold_sharers = 6;
// part of the allowance that is divided; the rest covers disagreement about the members
constexpr double cold_used = 0.5;

auto index_target(target_table& table, const published_target& entry) -> void
{
    auto& ids = table.by_service[entry.service];
    if (std::find(ids.begin(), ids.end(), entry.id) == ids.end()) {
        ids.push_back(entry.id);
        std::sort(ids.begin(), ids.end());
        table.by_key[name_key(entry.id)] = entry.id;
    }
}

auto unindex_target(target_table& table, const published_target& entry) -> void
{
    std::erase(table.by_service[entry.service], entry.id);
    table.by_key.erase(name_key(entry.id));
}

} // namespace

auto publish_target(target_table& table, const published_target& entry, time_point now) -> void
{
    auto [found, added] = table.targets.try_emplace(entry.id);
    auto& known = found->second;
    const auto restarted = !added && (known.published.started_ms != entry.started_ms ||
                                      known.published.address != entry.address);
    if (!added && known.published.service != entry.service) {
        unindex_target(table, known.published);
    }
    if (restarted) {
        const auto running = known.running;
        known = {};
        known.running = running;
    }
    known.published = entry;
    known.gone = absence::none;
    index_target(table, entry);
    if (entry.cold_for > duration::zero()) {
        known.cold_until = std::max(known.cold_until, now + entry.cold_for);
    }
}

auto remove_target(target_table& table, const std::string& id, absence why, time_point now) -> void
{
    const auto found = table.targets.find(id);
    if (found != table.targets.end() && found->second.gone != absence::removed) {
        found->second.gone = why;
        found->second.gone_at = now;
    }
}

auto set_zone_out(target_table& table, const std::string& zone, bool out, duration cold_time,
                  time_point now) -> void
{
    if (out) {
        table.zones_out.insert(zone);
        return;
    }
    if (table.zones_out.erase(zone) > 0) {
        table.zone_cold_until[zone] = now + cold_time;
    }
}

auto forget_gone(target_table& table, time_point now) -> void
{
    for (auto next = table.targets.begin(); next != table.targets.end();) {
        const auto& candidate = next->second;
        const auto old = candidate.gone != absence::none && candidate.running == 0 &&
                         now - candidate.gone_at > forget_after;
        if (old) {
            unindex_target(table, candidate.published);
        }
        next = old ? table.targets.erase(next) : std::next(next);
    }
}

auto usable(const target_table& table, const target& candidate, time_point now) -> bool
{
    if (candidate.published.leaving || table.zones_out.contains(candidate.published.zone)) {
        return false;
    }
    switch (candidate.gone) {
    case absence::none:
        return true;
    case absence::removed:
        return false;
    case absence::lapsed:
        return now - candidate.gone_at < table.settings.lapse_grace;
    }
    return false;
}

auto cold(const target_table& table, const target& candidate, time_point now) -> bool
{
    const auto zone = table.zone_cold_until.find(candidate.published.zone);
    return now < candidate.cold_until ||
           (zone != table.zone_cold_until.end() && now < zone->second);
}

auto begin_request(target_table& table, target& chosen, time_point now) -> void
{
    ++chosen.running;
    chosen.last_begun = now;
    if (chosen.load) {
        ++chosen.load->begun_since;
    }
    if (cold(table, chosen, now)) {
        chosen.cold_sends.push_back(now);
    }
    while (!chosen.cold_sends.empty() && now - chosen.cold_sends.front() > cold_window) {
        chosen.cold_sends.pop_front();
    }
}

auto end_request(target_table& table, target& used, target_outcome how, duration cold_time,
                 time_point now) -> void
{
    used.running -= std::min(used.running, 1U);
    switch (how) {
    case target_outcome::cancelled:
    case target_outcome::refused_work:
        return;
    case target_outcome::good:
        used.failures = 0;
        if (std::exchange(used.was_down, false)) {
            used.cold_until = std::max(used.cold_until, now + cold_time);
        }
        return;
    case target_outcome::unreachable:
        used.was_down = true;
        used.cold_until = std::max(used.cold_until, now + cold_time);
        break;
    case target_outcome::failed:
        break;
    }
    const auto doublings = std::min(used.failures, 4U);
    used.avoid_until = now + std::min(table.settings.first_avoidance * (1U << doublings),
                                      table.settings.longest_avoidance);
    ++used.failures;
}

auto note_load(target& reporting, std::uint32_t running, std::uint32_t waiting, time_point now)
    -> void
{
    reporting.load = reported_load{running + waiting, now, 0, report_origin::own_answer, now};
}

auto estimated_load(const target_table& table, const target& candidate, time_point now) -> double
{
    auto estimate = static_cast<double>(candidate.running);
    if (candidate.load && now - candidate.load->at < table.settings.load_limit) {
        const auto& load = *candidate.load;
        estimate = std::max(estimate, static_cast<double>(load.requests + load.begun_since));
    }
    return estimate;
}

auto share_of_cold(const target_settings& settings, double cold_per_second,
                   const std::string& target_id, const std::string& own_id,
                   const std::vector<std::string>& members) -> cold_share
{
    if (members.empty()) {
        return {};
    }
    const auto total = (cold_per_second * settings.cold_over + settings.cold_slack) * cold_used;
    const auto sharers = std::min(cold_sharers, members.size());
    const auto own = hash64(own_id, hash64(target_id));
    const auto before = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        return member != own_id && hash64(member, hash64(target_id)) > own;
    });
    if (static_cast<std::size_t>(before) >= sharers) {
        return {};
    }
    return {static_cast<std::uint32_t>(total / static_cast<double>(sharers))};
}

auto cold_allows(const target_table& table, const target& candidate, cold_share share,
                 time_point now) -> bool
{
    if (!cold(table, candidate, now)) {
        return true;
    }
    const auto recent = std::count_if(candidate.cold_sends.begin(), candidate.cold_sends.end(),
                                      [&](time_point sent) { return now - sent <= cold_window; });
    return static_cast<std::size_t>(recent) < share.per_second;
}

} // namespace cyclamenpost
