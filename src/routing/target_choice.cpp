#include "cyclamenpost/routing/target_choice.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace cyclamenpost {

namespace {

constexpr double tokens_per_unit = 10'000;

/// A usable target with what decides about it.
struct candidate {
    target* place = nullptr;
    double load = 0;
    bool open = false;
};

auto over_bound(double load, double mean, const choice_weights& weights) -> bool
{
    return load + 1 > weights.load_bound_factor * mean + weights.load_bound_slack;
}

/// Mean over all published targets of a service. Those that take no new requests, because they
/// leave or their zone is out, count too: the users bound the load by the mean of the service.
auto mean_load(const target_table& table, const std::vector<std::string>& ids, time_point now)
    -> double
{
    auto sum = 0.0;
    auto count = 0;
    for (const auto& id : ids) {
        const auto& place = table.targets.at(id);
        if (place.listing == listing_state::listed) {
            sum += estimated_load(table, place, now);
            ++count;
        }
    }
    return sum / std::max(count, 1);
}

/// A candidate with its place in a prompt's rendezvous order.
struct ranked {
    const candidate* entry = nullptr;
    std::uint64_t hash = 0;
};

/// Target that keeps a prompt: the first in rendezvous order that can take the request, or the
/// second while the first is well above the mean and the second has room. Null without one.
auto find_holder(const std::vector<candidate>& candidates, const choice_query& query,
                 const choice_weights& weights, double mean, time_point now) -> const target*
{
    auto first = ranked{};
    auto second = ranked{};
    if (query.prefix_hash == 0) {
        return nullptr;
    }
    for (const auto& entry : candidates) {
        const auto fit = entry.open && !over_bound(entry.load, mean, weights) &&
                         now >= entry.place->backoff_until;
        if (!fit) {
            continue;
        }
        const auto next = ranked{&entry, hash64(entry.place->published.id, query.prefix_hash)};
        if (first.entry == nullptr || next.hash > first.hash) {
            second = std::exchange(first, next);
        }
        else if (second.entry == nullptr || next.hash > second.hash) {
            second = next;
        }
    }
    if (first.entry == nullptr) {
        return nullptr;
    }
    const auto crowded_from =
        weights.spillover_factor * mean + weights.spillover_slack +
        weights.spillover_slack_per_10k_tokens * query.prefix_tokens / tokens_per_unit;
    const auto crowded = first.entry->load + 1 > crowded_from;
    const auto relieved = crowded && second.entry != nullptr &&
                          second.entry->load + weights.spillover_min_gap < first.entry->load;
    return (relieved ? second : first).entry->place;
}

/// First target in rendezvous order, besides the chosen one, that can give the prompt.
auto find_alternate_holder(const target_table& table, const std::vector<std::string>& ids,
                           const choice_query& query, const target* chosen, time_point now)
    -> const target*
{
    const target* holder = nullptr;
    auto best = std::uint64_t{0};
    for (const auto& id : ids) {
        const auto& place = table.targets.at(id);
        const auto hash = hash64(id, query.prefix_hash);
        if (&place != chosen && can_export_cache(place, now) &&
            (holder == nullptr || hash > best)) {
            holder = &place;
            best = hash;
        }
    }
    return holder;
}

auto cost_of(const target_table& table, const candidate& entry, const choice_query& query,
             const choice_weights& weights, const target* holder, double mean, time_point now)
    -> double
{
    const auto& published = entry.place->published;
    auto cost = (entry.load + 1) / std::max(1.0, static_cast<double>(published.capacity));
    if (published.zone != table.settings.zone) {
        cost += weights.cross_zone;
    }
    if (query.prefix_hash != 0 && holder != entry.place) {
        cost += weights.prefill_per_10k_tokens * query.prefix_tokens / tokens_per_unit;
    }
    if (now < entry.place->backoff_until) {
        cost += weights.in_backoff;
    }
    if (over_bound(entry.load, mean, weights)) {
        cost += weights.over_load_bound;
    }
    return cost;
}

/// All usable targets of the service; those that cannot take this request are not open.
auto list_candidates(target_table& table, const choice_query& query,
                     const std::vector<std::string>& ids, target_choice& choice, time_point now)
    -> std::vector<candidate>
{
    auto candidates = std::vector<candidate>{};
    choice.reason = no_target_reason::service_empty;
    for (const auto& id : ids) {
        auto& place = table.targets.at(id);
        if (!is_eligible(table, place, now)) {
            continue;
        }
        auto& entry = candidates.emplace_back();
        entry.place = &place;
        entry.load = estimated_load(table, place, now);
        if (query.tried != nullptr && query.tried->contains(id)) {
            choice.reason = std::max(choice.reason, no_target_reason::all_tried);
            continue;
        }
        const auto still_cold = query.cold_per_second > 0 && is_cold(table, place, now);
        const auto share = still_cold && query.members != nullptr
                               ? cold_quota_of(table.settings, query.cold_per_second, id,
                                               std::string{query.own_id}, *query.members)
                               : cold_quota{};
        if (still_cold && !cold_quota_allows(table, place, share, now)) {
            choice.reason = std::max(choice.reason, no_target_reason::all_cold);
            continue;
        }
        entry.open = true;
    }
    return candidates;
}

} // namespace

auto can_export_cache(const target& source, time_point now) -> bool
{
    return source.listing == listing_state::listed && now >= source.backoff_until &&
           !source.unreachable;
}

auto choose_target(target_table& table, const choice_query& query, const choice_weights& weights,
                   time_point now) -> target_choice
{
    auto choice = target_choice{};
    const auto ids = table.by_service.find(std::string{query.service});
    if (ids == table.by_service.end()) {
        choice.reason = no_target_reason::service_empty;
        return choice;
    }
    const auto candidates = list_candidates(table, query, ids->second, choice, now);
    choice.candidate_count = candidates.size();
    choice.mean_load = mean_load(table, ids->second, now);
    const auto* holder = find_holder(candidates, query, weights, choice.mean_load, now);
    auto best = std::numeric_limits<double>::infinity();
    for (const auto& entry : candidates) {
        if (!entry.open) {
            continue;
        }
        const auto cost = cost_of(table, entry, query, weights, holder, choice.mean_load, now);
        if (cost < best) {
            best = cost;
            choice.chosen = entry.place;
            choice.load = entry.load;
        }
    }
    if (choice.chosen != nullptr) {
        choice.reason = no_target_reason::none;
        choice.is_holder = choice.chosen == holder;
        if (query.prefix_hash != 0) {
            choice.alternate_holder =
                find_alternate_holder(table, ids->second, query, choice.chosen, now);
        }
        choice.same_zone = choice.chosen->published.zone == table.settings.zone;
    }
    return choice;
}

} // namespace cyclamenpost
