#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cyclamenpost/routing/target_estimate.hpp"
#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// Request for which a target is chosen.
struct choice_query {
    std::string_view service;
    /// Hash of the prompt prefix that the request shares with others; 0 without one.
    std::uint64_t prefix_hash = 0;
    /// Length of that prefix in tokens; a target that has it cached need not process it again.
    std::uint32_t prefix_tokens = 0;
    /// Ids of targets that were tried for this request; may be null.
    const std::set<std::string>* tried = nullptr;
    /// Requests per second that a cold target of the service can handle; 0 without a limit.
    double cold_per_second = 0;
    /// Id of this instance, and ids of all instances among which cold quotas are divided.
    std::string_view own_id;
    const std::vector<std::string>* members = nullptr;
    /// Requests without a holder are spread by weight instead of sent to the least cost.
    bool even_load = false;
    /// Time within which the caller wants the first byte; 0 if it is not known.
    duration objective{};
    /// Random number in [0, 1) for the spread.
    double random = 0;
};

/// Weights of the cost function. Costs are measured in shares of a target's capacity.
struct choice_weights {
    /// A target in another zone costs inter-zone traffic and two zone crossings per request.
    double cross_zone = 0.35;
    /// Processing ten thousand uncached prompt tokens occupies a target about as much as this load.
    double prefill_per_10k_tokens = 20;
    /// A target in backoff is chosen only if the others carry this much more load.
    double in_backoff = 2.0;
    /// A target above this multiple of its service's mean load, plus the slack in requests, is
    /// chosen only when there is no other. The bound that the fleet has to keep is twice the mean
    /// plus three requests; this one is tighter because load reports arrive late.
    double load_bound_factor = 1.8;
    double load_bound_slack = 2.5;
    double over_load_bound = 50;
    /// A prompt's primary holder above this multiple of the mean load, plus the slack in requests,
    /// spills over to the secondary holder if that has at least `spillover_min_gap` requests less.
    /// The slack grows with the prefix length, since the prefix has to be copied to the secondary.
    double spillover_factor = 1.2;
    double spillover_slack = 1.0;
    double spillover_slack_per_10k_tokens = 3.0;
    double spillover_min_gap = 3;
};

/// Why no target was chosen; a later reason takes precedence over an earlier one.
enum class no_target_reason { none, service_empty, all_cold, all_limited, all_resting, all_tried };

inline constexpr std::array no_target_reason_names{
    enum_name<no_target_reason>{no_target_reason::none, "none"},
    enum_name<no_target_reason>{no_target_reason::service_empty, "service_empty"},
    enum_name<no_target_reason>{no_target_reason::all_cold, "all_cold"},
    enum_name<no_target_reason>{no_target_reason::all_limited, "all_limited"},
    enum_name<no_target_reason>{no_target_reason::all_resting, "all_resting"},
    enum_name<no_target_reason>{no_target_reason::all_tried, "all_tried"},
};

/// The chosen target, with the inputs of the decision for logs.
struct target_choice {
    target* chosen = nullptr;
    no_target_reason reason = no_target_reason::none;
    /// Estimated requests at the chosen target.
    double load = 0;
    /// Mean load of the service's targets.
    double mean_load = 0;
    /// The chosen target is the one that should have the prompt prefix cached.
    bool is_holder = false;
    /// First other healthy target in rendezvous order; it may have the prefix cached when the
    /// chosen one does not.
    const target* alternate_holder = nullptr;
    bool same_zone = false;
    /// The chosen target is above the load bound, so no target below it could be chosen.
    bool over_bound = false;
    /// Eligible targets of the service.
    std::size_t candidate_count = 0;
    /// Eligible targets that are warming up and whose quota is used up.
    std::size_t cold_without_quota = 0;
    /// When the first of the eligible targets that want to rest, and were not tried, may be used
    /// again.
    std::optional<time_point> first_rest_end;
    /// Eligible targets whose announced limit allows no request of this instance now.
    std::size_t limited = 0;
    /// When the first of them may get one; unset while the size of the fleet is not known.
    std::optional<time_point> first_allowed;
    /// What was believed of the chosen target when the request was spread.
    target_estimate believed;
    /// Share of such requests that the chosen target gets; 0 if the request was not spread.
    double share = 0;
    /// Highest load among the targets for the spread, as a multiple of their mean.
    double busiest_to_mean = 0;
    /// A target of lower cost was passed over.
    bool differs = false;
};

/// Whether other targets may fetch cached prompt prefixes from the target: it is healthy, even if
/// it is draining or its zone is evacuated.
auto can_export_cache(const target& source, time_point now) -> bool;

/// Chooses the target with the lowest cost, which depends on the target's load, its zone, whether
/// it holds the prompt prefix, and its recent failures. The holder of a prefix is the first target
/// in rendezvous order over the prefix hash that is neither above the load bound nor in backoff
/// (consistent hashing with bounded loads, Mirrokni et al. 2018). While the first one is heavily
/// loaded, the second may replace it: a choice between two evens out load that is known with a
/// delay (Mitzenmacher 2001). With `even_load`, a request that does not go to a holder is spread
/// over all targets that are like the one of lowest cost in load bound and backoff
/// (`spread_weights`), and a target at which the fleet's requests fail holds no prompts.
auto choose_target(target_table& table, const choice_query& query, const choice_weights& weights,
                   time_point now) -> target_choice;

} // namespace cyclamenpost
