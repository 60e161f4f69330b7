#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// How an engine is chosen for a request. All but the first are baselines for comparison.
enum class placement_policy {
    cyclamenpost,
    random,
    least_loaded,
    consistent_hash,
    bounded_load_hash,
};

inline constexpr std::array placement_policy_names{
    enum_name<placement_policy>{placement_policy::cyclamenpost, "cyclamenpost"},
    enum_name<placement_policy>{placement_policy::random, "random"},
    enum_name<placement_policy>{placement_policy::least_loaded, "least_loaded"},
    enum_name<placement_policy>{placement_policy::consistent_hash, "consistent_hash"},
    enum_name<placement_policy>{placement_policy::bounded_load_hash, "bounded_load_hash"},
};

/// Why an engine was chosen, or why none was.
enum class placement_reason {
    last_target,
    hold_for_last_target,
    cache_hint,
    first_under_soft,
    least_of_three,
    next_under_hard,
    baseline,
    all_at_bound,
    no_engine,
};

inline constexpr std::array placement_reason_names{
    enum_name<placement_reason>{placement_reason::last_target, "last_target"},
    enum_name<placement_reason>{placement_reason::hold_for_last_target, "hold_for_last_target"},
    enum_name<placement_reason>{placement_reason::cache_hint, "cache_hint"},
    enum_name<placement_reason>{placement_reason::first_under_soft, "first_under_soft"},
    enum_name<placement_reason>{placement_reason::least_of_three, "least_of_three"},
    enum_name<placement_reason>{placement_reason::next_under_hard, "next_under_hard"},
    enum_name<placement_reason>{placement_reason::baseline, "baseline"},
    enum_name<placement_reason>{placement_reason::all_at_bound, "all_at_bound"},
    enum_name<placement_reason>{placement_reason::no_engine, "no_engine"},
};

/// What a router knows about one engine. Loads are in cost units.
struct engine_view {
    std::string id;
    std::string zone;
    target_state state = target_state::warm;
    double load = 0;
    /// Requests in progress, and how many the engine may carry while it warms up. Not used for a
    /// warm engine.
    double requests = 0;
    double allowance = 0;
    /// Part of the load that large requests make up.
    double large_load = 0;
    /// Whether the engine reported the chat's prefix within the cache hint's age.
    bool cache_hint = false;
    /// Whether the operator has taken the engine's zone out.
    bool zone_out = false;
};

/// Limits of the selection.
struct placement_limits {
    /// Multiple of the mean load that no engine exceeds.
    double load_multiple = 1.25;
    /// Waiting demand raises the mean by at most this share, so that a burst is admitted at the
    /// rate at which it can spread over the engines.
    double max_waiting_share = 0.15;
    /// Requests above this cost together use only half of an engine's bound.
    double large_request_cost = 16;
    /// A cache hint counts only for engines this early in the preference order.
    std::size_t cache_hint_depth = 8;
    /// Number of first engines of which the least loaded is taken above the soft limit.
    std::size_t preferred_engines = 3;
    /// Longest time a request queues for its last target, in seconds.
    double hold_seconds_limit = 1;
};

/// A request to place.
struct placement_request {
    std::string_view chat;
    double cost = 1;
    /// Id of the engine that last served the chat; empty when unknown.
    std::string_view last_target;
    /// Whether the request may still queue at its last target's gate (see `max_hold_seconds`).
    bool may_hold = false;
    placement_policy policy = placement_policy::cyclamenpost;
    /// Random number for the baseline `random`.
    std::uint64_t random = 0;
};

/// The chosen engine as an index into the views, and the reason. With `hold_for_last_target` the
/// request asks that engine's gate and queues there when it is refused.
struct placement_decision {
    std::optional<std::size_t> engine;
    placement_reason reason = placement_reason::no_engine;
};

/// Cost of a request in cost units: 1 plus prompt tokens not in cache / 512 plus expected output
/// tokens / 256, rounded up.
auto request_cost(std::uint64_t uncached_prompt_tokens, std::uint64_t output_tokens) -> double;

/// Mean load over the engines, including a new request of the given cost.
auto mean_load(std::span<const engine_view> engines, double cost) -> double;

/// Mean load with the demand that waits for a permit, both per engine. Without the waiting part a
/// fleet whose bound follows its own admitted load grows too slowly in a burst.
auto mean_load_with_waiting(double mean, double waiting, const placement_limits& limits) -> double;

/// Highest load of a warm engine after it takes a request of this cost: the multiple of the mean.
/// An engine at or below the mean always accepts one request, because otherwise a fleet with few
/// large requests could never take more than one on each engine. Consistent hashing with bounded
/// loads (Mirrokni, Thorup, Zadimoghaddam 2018).
auto load_bound(double mean, double cost, const placement_limits& limits) -> double;

/// Whether large requests may take this much more of an engine. Without a bound of their own, long
/// summaries fill every engine and small checks wait for them; a bound on the whole load instead
/// would refuse large requests whenever the fleet is busy.
auto large_request_fits(double large_load, double cost, double bound,
                        const placement_limits& limits) -> bool;

/// Whether the engine may take a request of this cost under the load bound and its allowance.
auto fits_load_bound(const engine_view& engine, double cost, double mean,
                     const placement_limits& limits) -> bool;

/// All engines in the chat's order of preference, as indices. Depends on ids only, so every router
/// computes the same order. Rendezvous hashing (Thaler and Ravishankar 1998).
auto preference_order(std::string_view chat, std::span<const engine_view> engines)
    -> std::vector<std::size_t>;

/// Chooses an engine with the request's policy. `mean` includes the request (see `mean_load`).
auto choose_engine(const placement_request& request, std::span<const engine_view> engines,
                   double mean, const placement_limits& limits) -> placement_decision;

/// Any serving engine, uniformly.
auto choose_random(std::uint64_t random, std::span<const engine_view> engines)
    -> placement_decision;

/// The serving engine with the least load.
auto choose_least_loaded(std::span<const engine_view> engines) -> placement_decision;

/// The first serving engine in order, whatever its load.
auto choose_consistent_hash(std::string_view chat, std::span<const engine_view> engines)
    -> placement_decision;

/// The first serving engine in order under the load bound.
auto choose_bounded_load_hash(const placement_request& request,
                              std::span<const engine_view> engines, double mean,
                              const placement_limits& limits) -> placement_decision;

/// Time in seconds for which a returning chat queues at its last target rather than go to another
/// engine: no longer than the prefill that the cached tokens save.
auto max_hold_seconds(std::uint64_t cached_prompt_tokens, double prefill_seconds_per_token,
                      const placement_limits& limits) -> double;

/// Whether exporting the cache of `prompt_tokens` to another engine is faster than a new prefill.
/// Times in seconds.
auto cache_transfer_is_faster(std::uint64_t prompt_tokens, double prefill_seconds_per_token,
                              double transfer_seconds) -> bool;

/// A target that needs a gate, or an instance that may hold gates.
struct topology_node {
    std::string id;
    std::string zone;
    std::string region;
};

/// The instances that hold the gate of one target. Empty when no instance is listed in the target's
/// region, or for the backup when only one is.
struct gate_assignment {
    std::string target;
    std::string primary;
    std::string backup;
};

/// Assigns every target to instances of its zone, or of its region if its zone lists none. Each
/// instance of a zone is primary of at most ceil(targets / instances) of the zone's targets. The
/// result is in the order of `targets` and does not depend on the order of either list. Pass only
/// instances that are listed as live.
auto assign_gates(std::span<const topology_node> targets, std::span<const topology_node> instances)
    -> std::vector<gate_assignment>;

} // namespace cyclamenpost
