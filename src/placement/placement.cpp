#include "cyclamenpost/placement/placement.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace cyclamenpost {

namespace {

constexpr auto prompt_tokens_per_unit = 512.0;
constexpr auto output_tokens_per_unit = 256.0;

using engine_span = std::span<const engine_view>;

auto eligible(const engine_view& engine) -> bool
{
    const auto running =
        engine.state != target_state::leaving && engine.state != target_state::gone;
    return running && !engine.zone_out;
}

// The soft limit is halfway between the mean load and its multiple.
auto fits_soft_limit(const engine_view& engine, double cost, double mean,
                     const placement_limits& limits) -> bool
{
    const auto soft_multiple = 1 + (limits.load_multiple - 1) / 2;
    return engine.load + cost <= soft_multiple * mean &&
           fits_load_bound(engine, cost, mean, limits);
}

auto eligible_order(std::string_view chat, engine_span engines) -> std::vector<std::size_t>
{
    auto order = preference_order(chat, engines);
    std::erase_if(order, [&](std::size_t index) { return !eligible(engines[index]); });
    return order;
}

/// First index in `order` that satisfies the condition.
template <typename Condition>
auto first_of(std::span<const std::size_t> order, Condition&& condition)
    -> std::optional<std::size_t>
{
    const auto found = std::ranges::find_if(order, condition);
    if (found == order.end()) {
        return std::nullopt;
    }
    return *found;
}

auto least_of(std::span<const std::size_t> order, engine_span engines) -> std::optional<std::size_t>
{
    const auto found =
        std::ranges::min_element(order, {}, [&](std::size_t index) { return engines[index].load; });
    if (found == order.end()) {
        return std::nullopt;
    }
    return *found;
}

auto baseline(std::optional<std::size_t> engine) -> placement_decision
{
    return {engine, engine ? placement_reason::baseline : placement_reason::no_engine};
}

auto choose_by_cache_affinity(const placement_request& request, engine_span engines, double mean,
                              const placement_limits& limits) -> placement_decision
{
    const auto order = eligible_order(request.chat, engines);
    const auto fits_hard = [&](std::size_t index) {
        return fits_load_bound(engines[index], request.cost, mean, limits);
    };
    const auto fits_soft = [&](std::size_t index) {
        return fits_soft_limit(engines[index], request.cost, mean, limits);
    };
    const auto last = first_of(
        order, [&](std::size_t index) { return engines[index].id == request.last_target; });
    if (last && fits_hard(*last)) {
        return {last, placement_reason::last_target};
    }
    if (last && request.may_hold) {
        return {last, placement_reason::hold_for_last_target};
    }
    const auto hint_candidates =
        std::span{order}.first(std::min(limits.cache_hint_depth, order.size()));
    const auto hinted = first_of(hint_candidates, [&](std::size_t index) {
        return engines[index].cache_hint && fits_soft(index);
    });
    if (hinted) {
        return {hinted, placement_reason::cache_hint};
    }
    const auto preferred_engines =
        std::span{order}.first(std::min(limits.preferred_engines, order.size()));
    if (const auto first = first_of(preferred_engines, fits_soft)) {
        return {first, placement_reason::first_under_soft};
    }
    auto within_bound = std::vector<std::size_t>{};
    std::ranges::copy_if(preferred_engines, std::back_inserter(within_bound), fits_hard);
    if (const auto least = least_of(within_bound, engines)) {
        return {least, placement_reason::least_of_three};
    }
    if (const auto next = first_of(order, fits_hard)) {
        return {next, placement_reason::next_under_hard};
    }
    return {std::nullopt,
            order.empty() ? placement_reason::no_engine : placement_reason::all_at_bound};
}

/// A candidate primary for a target, with its rendezvous score.
struct scored_pair {
    std::uint64_t score = 0;
    std::size_t target = 0;
    std::size_t instance = 0;
};

auto score_of(std::string_view target, std::string_view instance) -> std::uint64_t
{
    return hash64(instance, hash64(target));
}

/// Pairs of every target with every instance, best score first.
auto scored_pairs(std::span<const topology_node> all_targets, std::span<const std::size_t> targets,
                  std::span<const topology_node> all_instances,
                  std::span<const std::size_t> instances) -> std::vector<scored_pair>
{
    auto pairs = std::vector<scored_pair>{};
    pairs.reserve(targets.size() * instances.size());
    for (const auto target : targets) {
        for (const auto instance : instances) {
            pairs.push_back(
                {score_of(all_targets[target].id, all_instances[instance].id), target, instance});
        }
    }
    std::ranges::sort(pairs, [&](const auto& left, const auto& right) {
        if (left.score != right.score) {
            return left.score > right.score;
        }
        if (left.target != right.target) {
            return all_targets[left.target].id < all_targets[right.target].id;
        }
        return all_instances[left.instance].id < all_instances[right.instance].id;
    });
    return pairs;
}

/// Assigns the targets of one zone to a pool of instances. Choosing the pairs by descending score
/// gives the stable matching of targets and instances, which does not depend on the order of the
/// input and changes little when a target or an instance is added or removed.
auto assign_pool(std::span<const topology_node> all_targets, std::span<const std::size_t> targets,
                 std::span<const topology_node> all_instances,
                 std::span<const std::size_t> instances, std::vector<gate_assignment>& assigned)
    -> void
{
    const auto max_per_instance = (targets.size() + instances.size() - 1) / instances.size();
    auto primaries = std::vector<std::size_t>(all_instances.size(), 0);
    const auto pairs = scored_pairs(all_targets, targets, all_instances, instances);
    for (const auto& pair : pairs) {
        if (assigned[pair.target].primary.empty() && primaries[pair.instance] < max_per_instance) {
            assigned[pair.target].primary = all_instances[pair.instance].id;
            ++primaries[pair.instance];
        }
    }
    for (const auto& pair : pairs) {
        auto& assignment = assigned[pair.target];
        const auto& instance = all_instances[pair.instance].id;
        if (assignment.backup.empty() && assignment.primary != instance) {
            assignment.backup = instance;
        }
    }
}

auto instances_where(std::span<const topology_node> instances, std::string topology_node::*field,
                     const std::string& value) -> std::vector<std::size_t>
{
    auto found = std::vector<std::size_t>{};
    for (std::size_t index = 0; index < instances.size(); ++index) {
        if (instances[index].*field == value) {
            found.push_back(index);
        }
    }
    return found;
}

} // namespace

auto request_cost(std::uint64_t uncached_prompt_tokens, std::uint64_t output_tokens) -> double
{
    return std::ceil(1 + static_cast<double>(uncached_prompt_tokens) / prompt_tokens_per_unit +
                     static_cast<double>(output_tokens) / output_tokens_per_unit);
}

auto mean_load(std::span<const engine_view> engines, double cost) -> double
{
    auto sum = cost;
    auto count = std::size_t{0};
    for (const auto& engine : engines) {
        if (eligible(engine)) {
            sum += engine.load;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / static_cast<double>(count);
}

auto mean_load_with_waiting(double mean, double waiting, const placement_limits& limits) -> double
{
    return mean + std::min(waiting, mean * limits.max_waiting_share);
}

auto load_bound(double mean, double cost, const placement_limits& limits) -> double
{
    return std::max(std::ceil(limits.load_multiple * mean), mean + cost);
}

auto large_request_fits(double large_load, double cost, double bound,
                        const placement_limits& limits) -> bool
{
    return cost <= limits.large_request_cost || large_load == 0 || large_load + cost <= bound / 2;
}

auto fits_load_bound(const engine_view& engine, double cost, double mean,
                     const placement_limits& limits) -> bool
{
    const auto bound = load_bound(mean, cost, limits);
    if (!eligible(engine) || engine.load + cost > bound ||
        !large_request_fits(engine.large_load, cost, bound, limits)) {
        return false;
    }
    return engine.state == target_state::warm || engine.requests + 1 <= engine.allowance;
}

auto preference_order(std::string_view chat, std::span<const engine_view> engines)
    -> std::vector<std::size_t>
{
    const auto seed = hash64(chat);
    auto scores = std::vector<std::uint64_t>(engines.size());
    std::ranges::transform(engines, scores.begin(),
                           [&](const auto& engine) { return hash64(engine.id, seed); });
    auto order = std::vector<std::size_t>(engines.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, [&](std::size_t left, std::size_t right) {
        if (scores[left] != scores[right]) {
            return scores[left] > scores[right];
        }
        return engines[left].id < engines[right].id;
    });
    return order;
}

auto choose_engine(const placement_request& request, std::span<const engine_view> engines,
                   double mean, const placement_limits& limits) -> placement_decision
{
    switch (request.policy) {
    case placement_policy::random:
        return choose_random(request.random, engines);
    case placement_policy::least_loaded:
        return choose_least_loaded(engines);
    case placement_policy::consistent_hash:
        return choose_consistent_hash(request.chat, engines);
    case placement_policy::bounded_load_hash:
        return choose_bounded_load_hash(request, engines, mean, limits);
    case placement_policy::cyclamenpost:
        break;
    }
    return choose_by_cache_affinity(request, engines, mean, limits);
}

auto choose_random(std::uint64_t random, std::span<const engine_view> engines) -> placement_decision
{
    const auto eligible_count =
        std::ranges::count_if(engines, [](const auto& engine) { return eligible(engine); });
    if (eligible_count == 0) {
        return {};
    }
    auto skip = random % static_cast<std::uint64_t>(eligible_count);
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (eligible(engines[index]) && skip-- == 0) {
            return baseline(index);
        }
    }
    return {};
}

auto choose_least_loaded(std::span<const engine_view> engines) -> placement_decision
{
    auto eligible_engines = std::vector<std::size_t>{};
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (eligible(engines[index])) {
            eligible_engines.push_back(index);
        }
    }
    return baseline(least_of(eligible_engines, engines));
}

auto choose_consistent_hash(std::string_view chat, std::span<const engine_view> engines)
    -> placement_decision
{
    const auto order = eligible_order(chat, engines);
    return baseline(first_of(order, [](std::size_t) { return true; }));
}

auto choose_bounded_load_hash(const placement_request& request,
                              std::span<const engine_view> engines, double mean,
                              const placement_limits& limits) -> placement_decision
{
    const auto order = eligible_order(request.chat, engines);
    const auto bound = std::max(mean + request.cost, std::ceil(limits.load_multiple * mean));
    const auto found = first_of(
        order, [&](std::size_t index) { return engines[index].load + request.cost <= bound; });
    return baseline(found ? found : least_of(order, engines));
}

auto max_hold_seconds(std::uint64_t cached_prompt_tokens, double prefill_seconds_per_token,
                      const placement_limits& limits) -> double
{
    const auto saved = static_cast<double>(cached_prompt_tokens) * prefill_seconds_per_token;
    return std::min(saved, limits.hold_seconds_limit);
}

auto cache_transfer_is_faster(std::uint64_t prompt_tokens, double prefill_seconds_per_token,
                              double transfer_seconds) -> bool
{
    return static_cast<double>(prompt_tokens) * prefill_seconds_per_token > transfer_seconds;
}

auto assign_gates(std::span<const topology_node> targets, std::span<const topology_node> instances)
    -> std::vector<gate_assignment>
{
    auto assigned = std::vector<gate_assignment>(targets.size());
    auto zones = std::map<std::pair<std::string, std::string>, std::vector<std::size_t>>{};
    for (std::size_t index = 0; index < targets.size(); ++index) {
        assigned[index].target = targets[index].id;
        zones[{targets[index].region, targets[index].zone}].push_back(index);
    }
    for (const auto& [location, members] : zones) {
        auto pool = instances_where(instances, &topology_node::zone, location.second);
        if (pool.empty()) {
            pool = instances_where(instances, &topology_node::region, location.first);
        }
        if (!pool.empty()) {
            assign_pool(targets, members, instances, pool, assigned);
        }
    }
    return assigned;
}

} // namespace cyclamenpost
