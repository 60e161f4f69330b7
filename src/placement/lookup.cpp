#include "cyclamenpost/placement/lookup.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenpost {

namespace {

constexpr std::size_t min_addresses = 2;

// fewer than two live instances: the caller asks again soon, because its answer has no live
// fallback
constexpr duration degraded_validity = std::chrono::seconds{2};

struct candidate {
    const lookup_instance* instance = nullptr;
    bool live = false;
    std::size_t preference_rank = 0;
    std::uint64_t score = 0;
};

auto eligible(const lookup_view& view, const lookup_instance& instance) -> bool
{
    const auto usable =
        instance.state == lookup_state::live || instance.state == lookup_state::suspect;
    const auto out = std::ranges::find(view.zones_out, instance.zone) != view.zones_out.end();
    return usable && !out && !instance.address.empty();
}

auto preference_rank_of(const lookup_query& query, const std::string& id) -> std::size_t
{
    const auto found = std::ranges::find(query.preferred, id);
    return static_cast<std::size_t>(found - query.preferred.begin());
}

auto seed_of(const lookup_query& query, std::uint64_t random) -> std::uint64_t
{
    if (query.chat.empty()) {
        return random;
    }
    return hash64(query.model, hash64(query.organisation, hash64(query.chat)));
}

auto ranks_before(const candidate& left, const candidate& right) -> bool
{
    if (left.live != right.live) {
        return left.live;
    }
    if (left.preference_rank != right.preference_rank) {
        return left.preference_rank < right.preference_rank;
    }
    if (left.score != right.score) {
        return left.score > right.score;
    }
    return left.instance->id < right.instance->id;
}

auto ordered_candidates(const lookup_view& view, const lookup_query& query, std::uint64_t random)
    -> std::vector<candidate>
{
    const auto seed = seed_of(query, random);
    auto candidates = std::vector<candidate>{};
    for (const auto& instance : view.instances) {
        if (!eligible(view, instance)) {
            continue;
        }
        candidates.push_back({&instance, instance.state == lookup_state::live,
                              preference_rank_of(query, instance.id), hash64(instance.id, seed)});
    }
    std::ranges::sort(candidates, ranks_before);
    return candidates;
}

auto zone_chosen(const std::vector<candidate>& chosen, const std::string& zone) -> bool
{
    return std::ranges::any_of(
        chosen, [&](const candidate& other) { return other.instance->zone == zone; });
}

// moves the first candidate that satisfies the condition to the chosen ones
template <typename Condition>
auto choose_first(std::vector<candidate>& candidates, std::vector<candidate>& chosen,
                  Condition condition) -> bool
{
    const auto found = std::ranges::find_if(candidates, condition);
    if (found == candidates.end()) {
        return false;
    }
    chosen.push_back(*found);
    candidates.erase(found);
    return true;
}

auto choose_next(std::vector<candidate>& candidates, std::vector<candidate>& chosen) -> bool
{
    const auto live_in_other_zone = [&](const candidate& one) {
        return one.live && !zone_chosen(chosen, one.instance->zone);
    };
    const auto live = [](const candidate& one) { return one.live; };
    const auto in_other_zone = [&](const candidate& one) {
        return !zone_chosen(chosen, one.instance->zone);
    };
    const auto any = [](const candidate&) { return true; };
    return choose_first(candidates, chosen, live_in_other_zone) ||
           (chosen.size() < min_addresses && choose_first(candidates, chosen, in_other_zone)) ||
           choose_first(candidates, chosen, live) || choose_first(candidates, chosen, any);
}

auto jittered(const lookup_view& view, std::uint64_t random) -> duration
{
    // 53 bits give a double in [0, 1)
    const auto unit = static_cast<double>(hash64("validity", random) >> 11U) * 0x1.0p-53;
    const auto factor = 1.0 + view.validity_jitter * (2.0 * unit - 1.0);
    return duration{
        static_cast<duration::rep>(static_cast<double>(view.validity.count()) * factor)};
}

auto to_instance_address(const candidate& chosen) -> instance_address
{
    return {chosen.instance->address, chosen.instance->zone, chosen.instance->id};
}

} // namespace

auto lookup_addresses(const lookup_view& view, const lookup_query& query, std::uint64_t random)
    -> lookup_answer
{
    auto candidates = ordered_candidates(view, query, random);
    const auto live = std::ranges::count_if(candidates, &candidate::live);
    const auto limit = std::max(view.max_addresses, min_addresses);
    auto chosen = std::vector<candidate>{};
    while (chosen.size() < limit && choose_next(candidates, chosen)) {
    }
    auto answer = lookup_answer{};
    for (const auto& one : chosen) {
        answer.addresses.push_back(to_instance_address(one));
    }
    answer.valid = jittered(view, random);
    if (live < static_cast<std::ptrdiff_t>(min_addresses)) {
        answer.valid = std::min(answer.valid, degraded_validity);
    }
    return answer;
}

} // namespace cyclamenpost
