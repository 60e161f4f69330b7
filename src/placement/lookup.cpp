#include "cyclamenpost/placement/lookup.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenpost {

namespace {

constexpr std::size_t least_addresses = 2;

// a short validity sends the caller back soon when the answer is poor
constexpr duration poor_validity = std::chrono::seconds{2};

struct candidate {
    const lookup_instance* instance = nullptr;
    bool live = false;
    std::size_t preference = 0;
    std::uint64_t weight = 0;
};

auto serves(const lookup_view& view, const lookup_instance& instance) -> bool
{
    const auto usable =
        instance.state == lookup_state::live || instance.state == lookup_state::suspect;
    const auto out = std::ranges::find(view.zones_out, instance.zone) != view.zones_out.end();
    return usable && !out && !instance.address.empty();
}

auto preference_of(const lookup_query& query, const std::string& id) -> std::size_t
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

auto before(const candidate& left, const candidate& right) -> bool
{
    if (left.live != right.live) {
        return left.live;
    }
    if (left.preference != right.preference) {
        return left.preference < right.preference;
    }
    if (left.weight != right.weight) {
        return left.weight > right.weight;
    }
    return left.instance->id < right.instance->id;
}

auto ordered_candidates(const lookup_view& view, const lookup_query& query, std::uint64_t random)
    -> std::vector<candidate>
{
    const auto seed = seed_of(query, random);
    auto candidates = std::vector<candidate>{};
    for (const auto& instance : view.instances) {
        if (!serves(view, instance)) {
            continue;
        }
        candidates.push_back({&instance, instance.state == lookup_state::live,
                              preference_of(query, instance.id), hash64(instance.id, seed)});
    }
    std::ranges::sort(candidates, before);
    return candidates;
}

auto zone_taken(const std::vector<candidate>& chosen, const std::string& zone) -> bool
{
    return std::ranges::any_of(
        chosen, [&](const candidate& other) { return other.instance->zone == zone; });
}

// moves the first candidate that satisfies `wanted` to the chosen ones
template <typename Wanted>
auto take_first(std::vector<candidate>& candidates, std::vector<candidate>& chosen, Wanted wanted)
    -> bool
{
    const auto found = std::ranges::find_if(candidates, wanted);
    if (found == candidates.end()) {
        return false;
    }
    chosen.push_back(*found);
    candidates.erase(found);
    return true;
}

auto take_next(std::vector<candidate>& candidates, std::vector<candidate>& chosen) -> bool
{
    const auto live_elsewhere = [&](const candidate& one) {
        return one.live && !zone_taken(chosen, one.instance->zone);
    };
    const auto live = [](const candidate& one) { return one.live; };
    const auto elsewhere = [&](const candidate& one) {
        return !zone_taken(chosen, one.instance->zone);
    };
    const auto any = [](const candidate&) { return true; };
    return take_first(candidates, chosen, live_elsewhere) ||
           (chosen.size() < least_addresses && take_first(candidates, chosen, elsewhere)) ||
           take_first(candidates, chosen, live) || take_first(candidates, chosen, any);
}

auto jittered(const lookup_view& view, std::uint64_t random) -> duration
{
    // 53 bits give a double in [0, 1)
    const auto unit = static_cast<double>(hash64("validity", random) >> 11U) * 0x1.0p-53;
    const auto factor = 1.0 + view.validity_jitter * (2.0 * unit - 1.0);
    return duration{
        static_cast<duration::rep>(static_cast<double>(view.validity.count()) * factor)};
}

auto to_alternative(const candidate& one) -> alternative
{
    return {one.instance->address, one.instance->zone, one.instance->id};
}

} // namespace

auto lookup_addresses(const lookup_view& view, const lookup_query& query, std::uint64_t random)
    -> lookup_answer
{
    auto candidates = ordered_candidates(view, query, random);
    const auto live = std::ranges::count_if(candidates, &candidate::live);
    const auto wanted = std::max(view.max_addresses, least_addresses);
    auto chosen = std::vector<candidate>{};
    while (chosen.size() < wanted && take_next(candidates, chosen)) {
    }
    auto answer = lookup_answer{};
    for (const auto& one : chosen) {
        answer.addresses.push_back(to_alternative(one));
    }
    answer.valid = jittered(view, random);
    if (live < static_cast<std::ptrdiff_t>(least_addresses)) {
        answer.valid = std::min(answer.valid, poor_validity);
    }
    return answer;
}

} // namespace cyclamenpost
