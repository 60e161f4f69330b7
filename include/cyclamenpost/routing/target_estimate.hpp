#pragma once

#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// What is believed of a target at one moment, from the answers to this instance and from what
/// other instances have shared.
struct target_estimate {
    /// Requests that run or wait at the target.
    double requests = 0;
    /// Age of the newest fact behind `requests`; zero if there is none.
    duration age{};
    /// Time that work takes at the target, as a multiple of what it usually takes there.
    double pace = 1;
    /// Share of the fleet's recent requests at the target that failed, from 0 to 1.
    double failure_share = 0;
};

/// Estimates the state of a target. A fact that is missing has its neutral value.
auto estimate_target(const target_table& table, const target& candidate, time_point now)
    -> target_estimate;

} // namespace cyclamenpost
