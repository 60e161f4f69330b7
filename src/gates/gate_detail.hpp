#pragma once

#include <algorithm>

#include "cyclamenpost/gates/gate.hpp"

namespace cyclamenpost::detail {

/// Longest time after a grant at which the request may still start, with clock drift.
inline auto start_window(const gate_limits& limits) -> duration
{
    return limits.permit_lifetime + limits.clock_drift_margin;
}

/// Time after which a holder that lost its lease can neither grant nor use permits.
inline auto takeover_wait(const gate_limits& limits) -> duration
{
    return limits.lease_lifetime + start_window(limits);
}

/// Age from which the request of an outstanding permit is certain to be in a load report.
inline auto settle_time(const gate_limits& limits) -> duration
{
    return start_window(limits) + limits.max_report_lag;
}

/// Whether the primary has waited long enough and no listed former holder can grant permits.
inline auto takeover_complete(const gate& state, time_point now) -> bool
{
    return now >= state.full_bound_from &&
           std::ranges::all_of(state.former_holders, [&](const auto& holder) {
               return !holder.listed || now < holder.no_grants_until;
           });
}

} // namespace cyclamenpost::detail
