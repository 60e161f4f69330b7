#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// What a request asks of its target.
struct choice_query {
    std::string_view service;
    /// Hash of the part of the prompt that requests share; 0 without one.
    std::uint64_t prefix_hash = 0;
    /// Tokens that need not be read again at a target that keeps them.
    std::uint32_t prefix_tokens = 0;
    /// Targets that have been tried.
    const std::set<std::string>* tried = nullptr;
    double cold_per_second = 0;
    std::string_view own_id;
    const std::vector<std::string>* members = nullptr;
};

/// Weights of the choice, in shares of a target's capacity.
struct choice_weights {
    /// Using another zone costs bytes and two crossings.
    double cross_zone = 0.35;
    /// Reading ten thousand tokens again occupies a target about as much as this share of load.
    double prefill_per_10k_tokens = 20;
    /// A target that failed lately is used only when the others are this much fuller.
    double in_backoff = 2.0;
    /// A target over this multiple of its service's mean load, plus the slack, is passed over: the
    /// users allow twice the mean and three requests, and reports are late.
    double load_bound_factor = 1.8;
    double load_bound_slack = 2.5;
    double over_load_bound = 50;
    /// A prompt's first keeper above this multiple of the mean, plus the slack, is relieved by the
    /// second, if that has this many requests less. Long prompts wait longer for it, since they are
    /// copied to the second.
    double spillover_factor = 1.2;
    double spillover_slack = 1.0;
    double spillover_slack_per_10k_tokens = 3.0;
    double spillover_min_gap = 3;
};

/// Why no target was chosen.
enum class no_target_reason { none, service_empty, all_cold, all_tried };

inline constexpr std::array no_target_reason_names{
    enum_name<no_target_reason>{no_target_reason::none, "none"},
    enum_name<no_target_reason>{no_target_reason::service_empty, "service_empty"},
    enum_name<no_target_reason>{no_target_reason::all_cold, "all_cold"},
    enum_name<no_target_reason>{no_target_reason::all_tried, "all_tried"},
};

/// The chosen target with the inputs that decided.
struct target_choice {
    target* chosen = nullptr;
    no_target_reason reason = no_target_reason::none;
    double load = 0;
    /// Mean load of the service's targets.
    double mean_load = 0;
    bool is_holder = false;
    /// First other target in rendezvous order that answers; it may hold the prompt when the chosen
    /// one does not.
    const target* alternate_holder = nullptr;
    bool same_zone = false;
    std::size_t candidate_count = 0;
};

/// Whether a target may be asked for the prompts it keeps: it lives, also while it leaves.
auto can_export_cache(const target& source, time_point now) -> bool;

/// Chooses the target with the lowest cost: its load, the zone it is in, whether it keeps the
/// prompt, and its failures. The keeper of a prompt is the first in rendezvous order over the
/// prompt's hash that is neither over the load bound nor failing (consistent hashing with bounded
/// loads, Mirrokni et al. 2018). While that one is crowded, the second may take its place: the
/// choice between two evens out loads that are known late (Mitzenmacher 2001).
auto choose_target(target_table& table, const choice_query& query, const choice_weights& weights,
                   time_point now) -> target_choice;

} // namespace cyclamenpost
