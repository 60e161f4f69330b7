#pragma once

#include <optional>
#include <span>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// What an instance knows of a target among which it spreads requests.
struct spread_target {
    double capacity = 1;
    /// Requests at the target as estimated; without an age only those of this instance.
    double requests = 0;
    /// Age of the load information; none if neither the target nor other instances gave any.
    std::optional<duration> age;
    /// Time that work takes, as a multiple of the usual.
    double pace = 1;
    /// Share of recent requests that failed, from 0 to 1.
    double failure_share = 0;
    bool other_zone = false;
};

/// What is common to the targets of one choice.
struct spread_context {
    /// Usual time for which a request occupies a target; 0 if it is not known.
    duration work{};
    /// Time within which the caller wants the first byte; 0 if it is not known.
    duration objective{};
    /// Time that a request and its answer need for crossing zones.
    duration crossing = std::chrono::milliseconds{8};
};

/// Weights by which requests are spread over the targets; at least one is positive unless `targets`
/// is empty. Load pattern: many instances have the same load information, 0.1 to 1 s old, and would
/// all choose the target that had the least load then. A target gets its fair share plus what fills
/// the gap to its fair load within about the age of the information, and nothing if it is clearly
/// above it (load interpretation, Dahlin 2000).
auto spread_weights(std::span<const spread_target> targets, const spread_context& context)
    -> std::vector<double>;

/// Index of the weight in which a number from 0 to 1 falls. `weights` must have a positive one.
auto pick_weighted(std::span<const double> weights, double random) -> std::size_t;

/// The number that follows in an instance's sequence of numbers for `pick_weighted`: the fraction
/// of the previous one plus the golden ratio. Such a sequence spreads an instance's successive
/// requests more evenly than independent draws; instances begin at random numbers.
auto next_draw(double previous) -> double;

} // namespace cyclamenpost
