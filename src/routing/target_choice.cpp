#include "cyclamenpost/routing/target_choice.hpp"

#include <algorithm>

#include <limits>

namespace cyclamenpost {

namespace {

constexpr double tokens_per_unit = 10'000;

struct keeper {
    std::uint64_t hash = 0;
    const target* holds = nullptr;
};

auto note_keeper(keeper& best, const target& candidate, std::uint64_t affinity) -> void
{
    const auto hash = hash64(candidate.published.id, affinity);
    if (best.holds == nullptr || hash > best.hash) {
        best = {hash, &candidate};
    }
}

auto cost_of(const target_table& table, const target& candidate, const choice_query& query,
             const choice_weights& weights, bool holds, time_point now) -> double
{
    const auto capacity = std::max(1.0, static_cast<double>(candidate.published.capacity));
    auto cost = (estimated_load(table, candidate, now) + 1) / capacity;
    if (candidate.published.zone != table.settings.zone) {
        cost += weights.other_zone;
    }
    if (query.affinity != 0 && !holds) {
        cost += weights.reread_10k_tokens * query.shared_tokens / tokens_per_unit;
    }
    if (now < candidate.avoid_until) {
        cost += weights.avoided;
    }
    return cost;
}

} // namespace

auto choose_target(target_table& table, const choice_query& query, const choice_weights& weights,
                   time_point now) -> target_choice
{
    auto choice = target_choice{};
    const auto ids = table.by_service.find(std::string{query.service});
    if (ids == table.by_service.end()) {
        choice.why = no_target::service_empty;
        return choice;
    }
    auto open = std::vector<target*>{};
    auto keeps = keeper{};
    choice.why = no_target::service_empty;
    for (const auto& id : ids->second) {
        auto& candidate = table.targets.at(id);
        if (!usable(table, candidate, now)) {
            continue;
        }
        ++choice.candidates;
        if (query.affinity != 0) {
            note_keeper(keeps, candidate, query.affinity);
        }
        if (query.tried != nullptr && query.tried->contains(id)) {
            choice.why = std::max(choice.why, no_target::all_tried);
            continue;
        }
        const auto share = query.members == nullptr
                               ? cold_share{}
                               : share_of_cold(table.settings, query.cold_per_second, id,
                                               std::string{query.own_id}, *query.members);
        if (query.cold_per_second > 0 && !cold_allows(table, candidate, share, now)) {
            choice.why = std::max(choice.why, no_target::all_cold);
            continue;
        }
        open.push_back(&candidate);
    }
    auto best = std::numeric_limits<double>::infinity();
    for (auto* candidate : open) {
        const auto holds = keeps.holds == candidate;
        const auto cost = cost_of(table, *candidate, query, weights, holds, now);
        if (cost < best) {
            best = cost;
            choice.chosen = candidate;
            choice.holder = holds;
        }
    }
    if (choice.chosen != nullptr) {
        choice.why = no_target::none;
        choice.load = estimated_load(table, *choice.chosen, now);
        choice.same_zone = choice.chosen->published.zone == table.settings.zone;
    }
    return choice;
}

} // namespace cyclamenpost
