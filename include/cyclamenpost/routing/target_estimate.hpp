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

/// Time to the first byte of an answer.
struct wait_estimate {
    duration mean{};
    /// Deviation that is to be expected of it.
    duration deviation{};
};

/// Estimates how long a request that is sent to the target now waits for the first byte: the usual
/// time of the service, the time until a slot is free if all are taken, both at the target's pace.
/// Zero if nothing is known of the service.
auto expected_wait(const target_table& table, const target& candidate, time_point now)
    -> wait_estimate;

} // namespace cyclamenpost
