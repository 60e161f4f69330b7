#include "cyclamenpost/routing/target_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenpost {

namespace {

// unlisted targets are kept this long, so that late answers can still be attributed to them
constexpr duration unlisted_retention = std::chrono::seconds{30};
// the cold quota is per second; the reserve below also covers requests that are delayed in transit
constexpr duration cold_quota_window = std::chrono::seconds{1};
// maximum number of instances that share the allowance of one cold target
constexpr std::size_t max_cold_sharers = 6;
// share of the allowance that is divided; the rest is a reserve for disagreement about the members,
// or for requests of two seconds that arrive in one
constexpr double divided_cold_share = 0.5;
// answers that a target sent before it crashed have arrived after this time
constexpr duration answer_transit_time = std::chrono::milliseconds{50};

// weight of the newest request; the averages follow a change within about 50 requests
constexpr double newest_time_weight = 0.02;
constexpr double newest_size_weight = 0.02;

auto index_target(target_table& table, target& added) -> void
{
    auto& members = table.by_service[added.published.service];
    const auto place = std::ranges::lower_bound(
        members, added.published.id, {},
        [](const target* one) -> const std::string& { return one->published.id; });
    if (place == members.end() || *place != &added) {
        members.insert(place, &added);
        table.id_by_key[name_key(added.published.id)] = added.published.id;
    }
}

/// Share of the requests in the target's last report that have probably not ended since.
auto unfinished_share(const target_table& table, const target& candidate, time_point now) -> double
{
    const auto silent = now - candidate.load->reported_at - table.settings.usual_load_age;
    const auto mean = table.request_seconds.find(candidate.published.service);
    if (silent <= duration::zero() || mean == table.request_seconds.end() || mean->second <= 0) {
        return 1;
    }
    return std::exp(-std::chrono::duration<double>(silent).count() / mean->second);
}

auto says_leaving(const target& candidate, time_point now) -> bool
{
    return candidate.leaving_since && now - *candidate.leaving_since < leaving_retention;
}

/// Whether the store's entries let the target be used.
auto is_listed_for_use(const target_table& table, const target& candidate, time_point now) -> bool
{
    if (candidate.published.draining || table.evacuated_zones.contains(candidate.published.zone)) {
        return false;
    }
    switch (candidate.listing) {
    case listing_state::listed:
        return true;
    case listing_state::removed:
        return false;
    case listing_state::lapsed:
        return now - candidate.unlisted_at < table.settings.lapse_grace;
    }
    return false;
}

/// Age from which a request may use a turn of the target. Requests with small prompts leave fresh
/// turns to those with large ones, whose prompts cost most to move.
auto least_turn_age(const target_table& table, const target& candidate, std::uint32_t prompt_tokens,
                    time_point now) -> duration
{
    const auto usual = table.prompt_tokens.find(candidate.published.service);
    const auto limit = current_limit(candidate.limit, now);
    const auto yields = usual != table.prompt_tokens.end() && prompt_tokens < usual->second;
    return yields && limit ? turn_validity(*limit) / 2 : duration::zero();
}

auto unindex_target(target_table& table, const target& dropped) -> void
{
    std::erase(table.by_service[dropped.published.service], &dropped);
    table.id_by_key.erase(name_key(dropped.published.id));
}

} // namespace

auto restrict_entry(const published_target& former, published_target restored) -> published_target
{
    if (former.started_ms != restored.started_ms) {
        return former.started_ms > restored.started_ms ? former : restored;
    }
    restored.draining = restored.draining || former.draining;
    return restored;
}

auto upsert_target(target_table& table, const published_target& entry, time_point now) -> void
{
    auto [found, added] = table.targets.try_emplace(entry.id);
    auto& known = found->second;
    const auto restarted = !added && (known.published.started_ms != entry.started_ms ||
                                      known.published.address != entry.address);
    if (!added && known.published.service != entry.service) {
        unindex_target(table, known);
    }
    if (restarted) {
        const auto running = known.in_flight;
        known = {};
        known.in_flight = running;
    }
    known.published = entry;
    known.listing = listing_state::listed;
    index_target(table, known);
    if (entry.cold_remaining > duration::zero()) {
        known.cold_until = std::max(known.cold_until, now + entry.cold_remaining);
    }
}

auto remove_target(target_table& table, const std::string& id, listing_state state, time_point now)
    -> void
{
    const auto found = table.targets.find(id);
    if (found != table.targets.end() && found->second.listing != listing_state::removed) {
        found->second.listing = state;
        found->second.unlisted_at = now;
    }
}

auto set_zone_evacuated(target_table& table, const std::string& zone, bool evacuated,
                        duration cold_time, time_point now) -> void
{
    if (evacuated) {
        table.evacuated_zones.insert(zone);
        return;
    }
    if (table.evacuated_zones.erase(zone) > 0) {
        table.zone_cold_until[zone] = now + cold_time;
    }
}

auto purge_removed_targets(target_table& table, time_point now) -> void
{
    for (auto next = table.targets.begin(); next != table.targets.end();) {
        const auto& candidate = next->second;
        // a target that said that it is leaving is remembered, since its entry may come back
        const auto expired = candidate.listing != listing_state::listed &&
                             candidate.in_flight == 0 && !says_leaving(candidate, now) &&
                             now - candidate.unlisted_at > unlisted_retention;
        if (expired) {
            unindex_target(table, candidate);
        }
        next = expired ? table.targets.erase(next) : std::next(next);
    }
}

auto has_survived(const target_table& table, std::uint32_t key, std::int64_t started_ms,
                  time_point reported) -> bool
{
    const auto id = table.id_by_key.find(key);
    const auto found =
        id == table.id_by_key.end() ? table.targets.end() : table.targets.find(id->second);
    return found != table.targets.end() && found->second.published.started_ms == started_ms &&
           found->second.answered_at > reported + answer_transit_time;
}

auto record_leaving(target& leaving, time_point now) -> void
{
    if (!says_leaving(leaving, now)) {
        leaving.leaving_since = now;
    }
}

auto record_rest(target& resting, duration rest, time_point now) -> void
{
    if (rest > duration::zero()) {
        resting.rests_until = std::max(resting.rests_until, now + std::min(rest, max_rest));
    }
}

auto is_eligible(const target_table& table, const target& candidate, time_point now) -> bool
{
    return !says_leaving(candidate, now) && is_listed_for_use(table, candidate, now);
}

auto is_last_resort(const target_table& table, const target& candidate, time_point now) -> bool
{
    return candidate.leaving_since &&
           now - *candidate.leaving_since < table.settings.drain_time / 2 &&
           is_listed_for_use(table, candidate, now);
}

auto is_cold(const target_table& table, const target& candidate, time_point now) -> bool
{
    const auto zone = table.zone_cold_until.find(candidate.published.zone);
    return now < candidate.cold_until ||
           (zone != table.zone_cold_until.end() && now < zone->second);
}

auto begin_request(target_table& table, target& chosen, time_point now) -> void
{
    use_turn(chosen.limit, table.position, name_key(chosen.published.id), now);
    ++chosen.in_flight;
    chosen.last_started = now;
    if (chosen.load) {
        ++chosen.load->started_since;
    }
    if (is_cold(table, chosen, now)) {
        chosen.cold_request_times.push_back(now);
    }
    while (!chosen.cold_request_times.empty() &&
           now - chosen.cold_request_times.front() > cold_quota_window) {
        chosen.cold_request_times.pop_front();
    }
}

auto end_request(target_table& table, target& used, target_outcome outcome, duration cold_time,
                 time_point now) -> void
{
    used.in_flight -= std::min(used.in_flight, 1U);
    switch (outcome) {
    case target_outcome::cancelled:
    case target_outcome::rejected:
        return;
    case target_outcome::succeeded:
        used.consecutive_failures = 0;
        if (std::exchange(used.unreachable, false)) {
            used.cold_until = std::max(used.cold_until, now + cold_time);
        }
        return;
    case target_outcome::unreachable:
        used.unreachable = true;
        used.cold_until = std::max(used.cold_until, now + cold_time);
        break;
    case target_outcome::failed:
        break;
    }
    const auto doublings = std::min(used.consecutive_failures, 4U);
    used.backoff_until = now + std::min(table.settings.initial_backoff * (1U << doublings),
                                        table.settings.max_backoff);
    ++used.consecutive_failures;
}

auto record_load(target& reporting, std::uint32_t running, std::uint32_t waiting, time_point now,
                 double pace) -> void
{
    reporting.load = reported_load{running + waiting, now, 0, report_origin::own_answer, now, pace};
}

auto last_heard(const target& known) -> time_point
{
    return known.answered_at;
}

auto record_request_time(target_table& table, const std::string& service, duration occupied) -> void
{
    const auto seconds = std::chrono::duration<double>(occupied).count();
    const auto [average, is_first] = table.request_seconds.try_emplace(service, seconds);
    if (!is_first) {
        average->second += newest_time_weight * (seconds - average->second);
    }
}

auto usual_request_time(const target_table& table, std::string_view service) -> duration
{
    const auto mean = table.request_seconds.find(service);
    return mean == table.request_seconds.end()
               ? duration::zero()
               : std::chrono::duration_cast<duration>(std::chrono::duration<double>{mean->second});
}

auto estimated_load(const target_table& table, const target& candidate, time_point now) -> double
{
    auto estimate = static_cast<double>(candidate.in_flight);
    if (candidate.load && now - candidate.load->reported_at < table.settings.max_load_age) {
        const auto& load = *candidate.load;
        estimate = std::max(estimate, load.requests * unfinished_share(table, candidate, now) +
                                          load.started_since);
    }
    return estimate;
}

auto cold_quota_of(const target_settings& settings, double cold_per_second,
                   const std::string& target_id, const std::string& own_id,
                   const std::vector<std::string>& members) -> cold_quota
{
    if (members.empty()) {
        return {};
    }
    const auto total = (cold_per_second * settings.cold_rate_factor + settings.cold_rate_slack) *
                       divided_cold_share;
    const auto sharers = std::min(max_cold_sharers, members.size());
    const auto own_rank = hash64(own_id, hash64(target_id));
    const auto preceding = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        return member != own_id && hash64(member, hash64(target_id)) > own_rank;
    });
    if (static_cast<std::size_t>(preceding) >= sharers) {
        return {};
    }
    // the first sharers take what an equal division would leave over
    const auto whole = static_cast<std::size_t>(total);
    const auto extra = static_cast<std::size_t>(preceding) < whole % sharers ? 1U : 0U;
    return {static_cast<std::uint32_t>(whole / sharers) + extra};
}

auto cold_quota_allows(const target_table& table, const target& candidate, cold_quota share,
                       time_point now) -> bool
{
    if (!is_cold(table, candidate, now)) {
        return true;
    }
    const auto recent =
        std::count_if(candidate.cold_request_times.begin(), candidate.cold_request_times.end(),
                      [&](time_point sent) { return now - sent <= cold_quota_window; });
    return static_cast<std::size_t>(recent) < share.per_second;
}

auto record_prompt_size(target_table& table, const std::string& service, std::uint32_t tokens)
    -> void
{
    auto& mean = table.prompt_tokens[service];
    mean += (tokens - mean) * newest_size_weight;
}

auto limit_allows(const target_table& table, const target& candidate, std::uint32_t prompt_tokens,
                  time_point now) -> bool
{
    if (!candidate.limit.announced_at) {
        return true;
    }
    const auto age =
        turn_age(candidate.limit, table.position, name_key(candidate.published.id), now);
    return age && *age >= least_turn_age(table, candidate, prompt_tokens, now);
}

auto next_allowed(const target_table& table, const target& candidate, std::uint32_t prompt_tokens,
                  time_point now) -> std::optional<time_point>
{
    const auto key = name_key(candidate.published.id);
    const auto least = least_turn_age(table, candidate, prompt_tokens, now);
    if (const auto age = turn_age(candidate.limit, table.position, key, now)) {
        return now + std::max(least - *age, duration::zero());
    }
    const auto next = next_turn(candidate.limit, table.position, key, now);
    return next ? std::optional{*next + least} : std::nullopt;
}

} // namespace cyclamenpost
