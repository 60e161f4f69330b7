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

/// A router's view of one engine. Loads are in cost units.
struct engine_view {
    std::string id;
    std::string zone;
    target_state state = target_state::warm;
    double load = 0;
    /// Requests in progress. Not used for a warm engine.
    double requests = 0;
    /// Largest number of requests in progress while the engine warms up. Not used for a warm
    /// engine.
    double allowance = 0;
    /// Part of the load that comes from large requests.
    double large_load = 0;
    /// Whether the engine recently reported a prefix of the chat as cached.
    bool cache_hint = false;
    /// Whether the operator has taken the engine's availability zone out of service.
    bool zone_out = false;
};

/// Limits for choosing an engine.
struct placement_limits {
    /// Load bound of an engine as a multiple of the mean load.
    double load_multiple = 1.25;
    /// Waiting demand raises the mean by at most this fraction, so that a burst is admitted at the
    /// rate at which it can spread over the engines.
    double max_waiting_share = 0.15;
    /// Requests above this cost are large. Together they use at most half of an engine's load
    /// bound.
    double large_request_cost = 16;
    /// Cache hints are used only for this many engines at the front of the preference order.
    std::size_t cache_hint_depth = 8;
    /// Number of engines at the front of the preference order from which the first below the soft
    /// limit is chosen. The soft limit is halfway between the mean load and its multiple. When all
    /// are above it, the least loaded one within the load bound is chosen.
    std::size_t preferred_engines = 3;
    /// Longest time for which a request queues for its last target, in seconds.
    double hold_seconds_limit = 1;
};

/// Request for which an engine is chosen.
struct placement_request {
    std::string_view chat;
    double cost = 1;
    /// Id of the engine that last served the chat; empty when unknown.
    std::string_view last_target;
    /// Whether the request may still queue at the gate of its last target (see `max_hold_seconds`).
    bool may_hold = false;
    placement_policy policy = placement_policy::cyclamenpost;
    /// Random number for the policy `random`.
    std::uint64_t random = 0;
};

/// Chosen engine and the reason. With `hold_for_last_target` the request asks that engine's gate
/// for a permit and queues there when it is refused.
struct placement_decision {
    /// Index into the engine views.
    std::optional<std::size_t> engine;
    placement_reason reason = placement_reason::no_engine;
};

/// Cost of a request in cost units: 1 plus prompt tokens not in cache / 512 plus expected output
/// tokens / 256, rounded up.
auto request_cost(std::uint64_t uncached_prompt_tokens, std::uint64_t output_tokens) -> double;

/// Mean load over the engines, including a new request of the given cost.
auto mean_load(std::span<const engine_view> engines, double cost) -> double;

/// Mean load including the demand that waits for a permit; both arguments are per engine. Without
/// the waiting demand, the bound follows only the admitted load and rises too slowly in a burst.
auto mean_load_with_waiting(double mean, double waiting, const placement_limits& limits) -> double;

/// Highest load of a warm engine including a new request of this cost: `load_multiple` times the
/// mean, as in consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018). An
/// engine at or below the mean always accepts one request, because otherwise a fleet with few large
/// requests could never run more than one on each engine.
auto load_bound(double mean, double cost, const placement_limits& limits) -> double;

/// Whether the large requests of an engine may grow by this cost. Always true for a small request.
/// Without a separate bound, long summaries fill every engine and small checks wait for them; a
/// lower bound on the total load would refuse large requests whenever the fleet is busy.
auto large_request_fits(double large_load, double cost, double bound,
                        const placement_limits& limits) -> bool;

/// Whether the engine is eligible and a request of this cost keeps it within the load bound, the
/// bound of large requests and its allowance.
auto fits_load_bound(const engine_view& engine, double cost, double mean,
                     const placement_limits& limits) -> bool;

/// Indices of all engines in the chat's order of preference, by rendezvous hashing (Thaler and
/// Ravishankar 1998). The order depends on ids only, so every router computes the same one.
auto preference_order(std::string_view chat, std::span<const engine_view> engines)
    -> std::vector<std::size_t>;

/// Chooses an engine with the request's policy. `mean` includes the request (see `mean_load`).
auto choose_engine(const placement_request& request, std::span<const engine_view> engines,
                   double mean, const placement_limits& limits) -> placement_decision;

/// An eligible engine, uniformly at random.
auto choose_random(std::uint64_t random, std::span<const engine_view> engines)
    -> placement_decision;

/// The least loaded eligible engine.
auto choose_least_loaded(std::span<const engine_view> engines) -> placement_decision;

/// The first eligible engine in preference order, regardless of load.
auto choose_consistent_hash(std::string_view chat, std::span<const engine_view> engines)
    -> placement_decision;

/// The first eligible engine in preference order within the load bound, or the least loaded one
/// when all are above it.
auto choose_bounded_load_hash(const placement_request& request,
                              std::span<const engine_view> engines, double mean,
                              const placement_limits& limits) -> placement_decision;

/// Longest time in seconds for which a returning chat queues at its last target before another
/// engine is chosen: the prefill time that the cached tokens save, bounded by the limit.
auto max_hold_seconds(std::uint64_t cached_prompt_tokens, double prefill_seconds_per_token,
                      const placement_limits& limits) -> double;

/// Whether transferring the cache of `prompt_tokens` to another engine is faster than a new
/// prefill.
auto cache_transfer_is_faster(std::uint64_t prompt_tokens, double prefill_seconds_per_token,
                              double transfer_seconds) -> bool;

/// Location of a target that needs a gate, or of an instance that may run gates.
struct topology_node {
    std::string id;
    std::string zone;
    std::string region;
};

/// Instances that run the gate of one target. Both are empty when no instance is listed in the
/// target's region; the backup is empty when only one is.
struct gate_assignment {
    std::string target;
    std::string primary;
    std::string backup;
};

/// Assigns the gate of every target to instances of its availability zone, or of its region if no
/// instance is listed in the zone. Each instance of a zone is primary of at most
/// ceil(targets / instances) of the zone's targets. The result has the order of `targets`; the
/// assignment does not depend on the order of either list. Pass only instances listed as live.
auto assign_gates(std::span<const topology_node> targets, std::span<const topology_node> instances)
    -> std::vector<gate_assignment>;

} // namespace cyclamenpost
