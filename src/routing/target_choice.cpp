#include "cyclamenpost/routing/target_choice.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>
#include <span>
#include <utility>

#include "cyclamenpost/routing/even_choice.hpp"

namespace cyclamenpost {

namespace {

// number of tokens to which `prefill_per_10k_tokens` and `spillover_slack_per_10k_tokens` refer
constexpr double weighted_tokens = 10'000;

// a spread choice looks at so many targets, which bounds its time; their mean differs from that of
// all by a few percent
constexpr std::size_t max_surveyed = 128;
// first targets in a prompt's rendezvous order that are looked at besides
constexpr std::size_t max_holders = 16;
// makes the offset of the sample independent of the number by which one of it is picked
constexpr double offset_scale = 7919;

// a target loses its prompts above this share; one failure that no answer contradicts gives two
// thirds, and a service all of whose targets fail half of their requests keeps its holders
constexpr double max_holder_failures = 0.6;

/// An eligible target of the service.
struct candidate {
    target* destination = nullptr;
    target_estimate believed;
    double load = 0;
    /// Not tried before, not resting, and within its cold quota and its limit.
    bool available = false;
};

auto exceeds_load_bound(double load, double mean, const choice_weights& weights) -> bool
{
    return load + 1 > weights.load_bound_factor * mean + weights.load_bound_slack;
}

/// What is believed of each target of a service, whether it may be chosen or not.
auto survey(const target_table& table, const choice_query& query, std::span<target* const> members,
            time_point now) -> std::vector<candidate>
{
    auto surveyed = std::vector<candidate>{};
    surveyed.reserve(members.size());
    for (auto* known : members) {
        auto& entry = surveyed.emplace_back();
        entry.destination = known;
        if (query.even_load) {
            entry.believed = estimate_target(table, *known, now);
        }
        else {
            entry.believed.requests = estimated_load(table, *known, now);
        }
        entry.load = entry.believed.requests;
    }
    return surveyed;
}

/// Mean load over all listed targets of a service. It includes targets that receive no new
/// requests, because they are draining or their zone is evacuated: the load bound refers to the
/// mean of the whole service.
auto mean_load(const std::vector<candidate>& surveyed) -> double
{
    auto sum = 0.0;
    auto count = 0;
    for (const auto& entry : surveyed) {
        if (entry.destination->listing == listing_state::listed) {
            sum += entry.load;
            ++count;
        }
    }
    return sum / std::max(count, 1);
}

/// A candidate with its rank in a prefix's rendezvous order; the highest hash comes first.
struct ranked {
    const candidate* entry = nullptr;
    std::uint64_t hash = 0;
};

/// Finds the holder of a prompt prefix: the first target in rendezvous order that can accept the
/// request, or the second while the first is well above the mean load and the second is not. Null
/// without a prefix or an available target.
auto find_holder(const std::vector<candidate>& candidates, const choice_query& query,
                 const choice_weights& weights, double mean, time_point now) -> const target*
{
    auto first = ranked{};
    auto second = ranked{};
    if (query.prefix_hash == 0) {
        return nullptr;
    }
    for (const auto& entry : candidates) {
        const auto accepts = entry.available && !exceeds_load_bound(entry.load, mean, weights) &&
                             entry.believed.failure_share < max_holder_failures &&
                             now >= entry.destination->backoff_until;
        if (!accepts) {
            continue;
        }
        const auto next =
            ranked{&entry, hash64(entry.destination->published.id, query.prefix_hash)};
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
    const auto spillover_threshold =
        weights.spillover_factor * mean + weights.spillover_slack +
        weights.spillover_slack_per_10k_tokens * query.prefix_tokens / weighted_tokens;
    const auto overloaded = first.entry->load + 1 > spillover_threshold;
    const auto spills_over = overloaded && second.entry != nullptr &&
                             second.entry->load + weights.spillover_min_gap < first.entry->load;
    return (spills_over ? second : first).entry->destination;
}

/// Finds the first target in rendezvous order, except the chosen one, from which the prefix can be
/// fetched.
auto find_alternate_holder(std::span<target* const> members, const choice_query& query,
                           const target* chosen, time_point now) -> const target*
{
    const target* holder = nullptr;
    auto best = std::uint64_t{0};
    for (const auto* known : members) {
        const auto hash = hash64(known->published.id, query.prefix_hash);
        if (known != chosen && can_export_cache(*known, now) &&
            (holder == nullptr || hash > best)) {
            holder = known;
            best = hash;
        }
    }
    return holder;
}

auto cost_of(const target_table& table, const candidate& entry, const choice_query& query,
             const choice_weights& weights, const target* holder, double mean, time_point now)
    -> double
{
    const auto& published = entry.destination->published;
    auto cost = (entry.load + 1) / std::max(1.0, static_cast<double>(published.capacity));
    if (published.zone != table.settings.zone) {
        cost += weights.cross_zone;
    }
    if (query.prefix_hash != 0 && holder != entry.destination) {
        cost += weights.prefill_per_10k_tokens * query.prefix_tokens / weighted_tokens;
    }
    if (now < entry.destination->backoff_until) {
        cost += weights.in_backoff;
    }
    if (exceeds_load_bound(entry.load, mean, weights)) {
        cost += weights.over_load_bound;
    }
    return cost;
}

/// Whether load information of this age, or of none, is used.
auto usable_age(const target_table& table, const target& known, const target_estimate& believed)
    -> std::optional<duration>
{
    const auto known_load = known.load.has_value() || believed.age > duration::zero();
    return known_load && believed.age < table.settings.max_load_age ? std::optional{believed.age}
                                                                    : std::nullopt;
}

/// Replaces the choice of least cost by one drawn among the available targets that are like it in
/// load bound and backoff.
auto spread_choice(const target_table& table, const std::vector<candidate>& candidates,
                   const choice_query& query, const choice_weights& weights, time_point now,
                   target_choice& choice) -> void
{
    const auto state_of = [&](const target& known, double load) {
        return std::pair{exceeds_load_bound(load, choice.mean_load, weights),
                         now < known.backoff_until};
    };
    const auto wanted = state_of(*choice.chosen, choice.load);
    auto pool = std::vector<const candidate*>{};
    auto targets = std::vector<spread_target>{};
    auto sum = 0.0;
    auto busiest = 0.0;
    for (const auto& entry : candidates) {
        const auto& known = *entry.destination;
        if (!entry.available || state_of(known, entry.load) != wanted) {
            continue;
        }
        const auto& believed = entry.believed;
        pool.push_back(&entry);
        targets.push_back({static_cast<double>(known.published.capacity), believed.requests,
                           usable_age(table, known, believed), believed.pace,
                           believed.failure_share, known.published.zone != table.settings.zone});
        sum += entry.load;
        busiest = std::max(busiest, entry.load);
    }
    const auto shares =
        spread_weights(targets, {usual_request_time(table, query.service), query.objective});
    const auto index = pick_weighted(shares, query.random);
    choice.share = shares[index] / std::accumulate(shares.begin(), shares.end(), 0.0);
    choice.busiest_to_mean = sum > 0 ? busiest * static_cast<double>(pool.size()) / sum : 1;
    choice.differs = pool[index]->destination != choice.chosen;
    choice.chosen = pool[index]->destination;
    choice.load = pool[index]->load;
    choice.believed = pool[index]->believed;
}

/// Lists the targets of the service that pass the check and sets the reason why one of them is
/// unavailable.
auto list_candidates(const target_table& table, const choice_query& query,
                     const std::vector<candidate>& surveyed, target_choice& choice, time_point now,
                     decltype(is_eligible)& may_be_used) -> std::vector<candidate>
{
    auto candidates = std::vector<candidate>{};
    choice.reason = no_target_reason::service_empty;
    choice.limited = 0;
    candidates.reserve(surveyed.size());
    for (const auto& one : surveyed) {
        const auto& known = *one.destination;
        const auto& id = known.published.id;
        if (!may_be_used(table, known, now)) {
            continue;
        }
        auto& entry = candidates.emplace_back(one);
        if (query.tried != nullptr && query.tried->contains(id)) {
            choice.reason = std::max(choice.reason, no_target_reason::all_tried);
            continue;
        }
        if (now < known.rests_until) {
            choice.reason = std::max(choice.reason, no_target_reason::all_resting);
            choice.first_rest_end =
                std::min(choice.first_rest_end.value_or(known.rests_until), known.rests_until);
            continue;
        }
        const auto warming = query.cold_per_second > 0 && is_cold(table, known, now);
        const auto share = warming && query.members != nullptr
                               ? cold_quota_of(table.settings, query.cold_per_second, id,
                                               std::string{query.own_id}, *query.members)
                               : cold_quota{};
        if (warming && !cold_quota_allows(table, known, share, now)) {
            choice.reason = std::max(choice.reason, no_target_reason::all_cold);
            ++choice.cold_without_quota;
            continue;
        }
        if (!limit_allows(table, known, query.prefix_tokens, now)) {
            choice.reason = std::max(choice.reason, no_target_reason::all_limited);
            ++choice.limited;
            const auto allowed = next_allowed(table, known, query.prefix_tokens, now);
            if (allowed && (!choice.first_allowed || *allowed < *choice.first_allowed)) {
                choice.first_allowed = allowed;
            }
            continue;
        }
        entry.available = true;
    }
    return candidates;
}

/// Targets of a large service at which a choice looks: an even sample, at another offset for each
/// random number, and the first holders of the prompt.
auto sample_targets(const std::vector<target*>& members, const choice_query& query)
    -> std::vector<target*>
{
    auto sample = std::vector<target*>{};
    sample.reserve(max_surveyed + max_holders);
    const auto size = members.size();
    const auto shifted = query.random * offset_scale;
    const auto offset =
        static_cast<std::size_t>((shifted - std::floor(shifted)) * static_cast<double>(size));
    for (std::size_t index = 0; index < max_surveyed; ++index) {
        sample.push_back(members[(offset + index * size / max_surveyed) % size]);
    }
    if (query.prefix_hash == 0) {
        return sample;
    }
    using hashed = std::pair<std::uint64_t, target*>;
    auto first = std::array<hashed, max_holders>{};
    for (auto* one : members) {
        const auto hash = hash64(one->published.id, query.prefix_hash);
        if (hash > first.front().first) {
            std::ranges::pop_heap(first, std::greater<>{});
            first.back() = {hash, one};
            std::ranges::push_heap(first, std::greater<>{});
        }
    }
    for (const auto& [hash, one] : first) {
        if (one != nullptr && std::ranges::find(sample, one) == sample.end()) {
            sample.push_back(one);
        }
    }
    return sample;
}

auto choose_among(const target_table& table, const choice_query& query,
                  const choice_weights& weights, std::span<target* const> members, time_point now)
    -> target_choice
{
    auto choice = target_choice{};
    const auto surveyed = survey(table, query, members, now);
    auto candidates = list_candidates(table, query, surveyed, choice, now, is_eligible);
    if (candidates.empty()) {
        candidates = list_candidates(table, query, surveyed, choice, now, is_last_resort);
    }
    choice.candidate_count = candidates.size();
    choice.mean_load = mean_load(surveyed);
    const auto* holder = find_holder(candidates, query, weights, choice.mean_load, now);
    auto best = std::numeric_limits<double>::infinity();
    for (const auto& entry : candidates) {
        if (!entry.available) {
            continue;
        }
        const auto cost = cost_of(table, entry, query, weights, holder, choice.mean_load, now);
        if (cost < best) {
            best = cost;
            choice.chosen = entry.destination;
            choice.load = entry.load;
        }
    }
    if (query.even_load && choice.chosen != nullptr && choice.chosen != holder) {
        spread_choice(table, candidates, query, weights, now, choice);
    }
    if (choice.chosen != nullptr) {
        choice.reason = no_target_reason::none;
        choice.is_holder = choice.chosen == holder;
        choice.over_bound = exceeds_load_bound(choice.load, choice.mean_load, weights);
        if (query.prefix_hash != 0) {
            choice.alternate_holder = find_alternate_holder(members, query, choice.chosen, now);
        }
        choice.same_zone = choice.chosen->published.zone == table.settings.zone;
    }
    return choice;
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
    const auto members = table.by_service.find(std::string{query.service});
    if (members == table.by_service.end()) {
        auto choice = target_choice{};
        choice.reason = no_target_reason::service_empty;
        return choice;
    }
    if (query.even_load && members->second.size() > max_surveyed) {
        const auto sample = sample_targets(members->second, query);
        const auto choice = choose_among(table, query, weights, sample, now);
        const auto usual = choice.chosen != nullptr && !choice.over_bound &&
                           now >= choice.chosen->backoff_until &&
                           is_eligible(table, *choice.chosen, now);
        if (usual) {
            return choice;
        }
    }
    return choose_among(table, query, weights, members->second, now);
}

} // namespace cyclamenpost
