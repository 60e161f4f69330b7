#include "cyclamenpost/routing/even_choice.hpp"

#include <algorithm>
#include <numbers>
#include <numeric>

namespace cyclamenpost {

namespace {

// The gap to the fair load is filled within this many ages of the information: the fastest
// correction of an integrator with delay that does not swing has a rate of 1/e per delay.
constexpr double ages_to_fill = std::numbers::e;
// newer information is used as if it had this age; an instance cannot know of requests that others
// have just sent
constexpr duration min_age = std::chrono::milliseconds{5};
// requests are assumed to take this long until one has ended
constexpr duration default_work = std::chrono::milliseconds{100};
// a target at which all requests fail still gets this part of its share, so its recovery is seen
constexpr double min_health = 0.02;
// work at a target is never assumed to be faster than usual by more than this
constexpr double min_pace = 0.25;
// largest part of a target's share that crossing a zone takes away
constexpr double max_crossing_price = 0.5;

auto health_of(double failure_share) -> double
{
    const auto successes = 1 - std::clamp(failure_share, 0.0, 1.0);
    return std::max(min_health, successes * successes * successes);
}

/// Factor by which a target in another zone gets less than one in the own zone.
auto other_zone_factor(const spread_context& context) -> double
{
    if (context.objective <= duration::zero()) {
        return 1;
    }
    const auto price = static_cast<double>(context.crossing.count()) /
                       static_cast<double>(context.objective.count());
    return 1 - std::min(price, max_crossing_price);
}

/// How strongly a gap of the whole fair load changes the weight.
auto gain_at(duration age, duration work) -> double
{
    const auto assumed = work > duration::zero() ? work : default_work;
    return static_cast<double>(assumed.count()) /
           (ages_to_fill * static_cast<double>(std::max(age, min_age).count()));
}

} // namespace

auto spread_weights(std::span<const spread_target> targets, const spread_context& context)
    -> std::vector<double>
{
    auto weights = std::vector<double>{};
    weights.reserve(targets.size());
    const auto zone_factor = other_zone_factor(context);
    auto informed_share = 0.0;
    auto informed_requests = 0.0;
    for (const auto& one : targets) {
        const auto share = std::max(1.0, one.capacity) / std::max(min_pace, one.pace) *
                           health_of(one.failure_share) * (one.other_zone ? zone_factor : 1.0);
        weights.push_back(share);
        if (one.age) {
            informed_share += share;
            informed_requests += one.requests;
        }
    }
    const auto fair_per_share = informed_share > 0 ? informed_requests / informed_share : 0.0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto& one = targets[index];
        if (!one.age) {
            weights[index] /= 1 + one.requests;
        }
        else if (fair_per_share > 0) {
            const auto fair = fair_per_share * weights[index];
            const auto gap = gain_at(*one.age, context.work) * (1 - one.requests / fair);
            weights[index] *= std::max(0.0, 1 + gap);
        }
    }
    return weights;
}

auto pick_weighted(std::span<const double> weights, double random) -> std::size_t
{
    auto left = random * std::accumulate(weights.begin(), weights.end(), 0.0);
    auto chosen = std::size_t{0};
    for (std::size_t index = 0; index < weights.size(); ++index) {
        if (weights[index] <= 0) {
            continue;
        }
        chosen = index;
        left -= weights[index];
        if (left < 0) {
            break;
        }
    }
    return chosen;
}

auto next_draw(double previous) -> double
{
    const auto next = previous + std::numbers::phi - 1;
    return next < 1 ? next : next - 1;
}

} // namespace cyclamenpost
