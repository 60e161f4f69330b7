#pragma once

#include <algorithm>

#include "cyclamenpost/gates/gate.hpp"

namespace cyclamenpost::detail {

/// Longest time after a grant at which the request can still start, on any clock.
inline auto start_window(const gate_limits& limits) -> duration
{
    return limits.permit_life + limits.clock_margin;
}

/// Time after which every promise or permit of a holder that lost its lease has ended.
inline auto takeover_wait(const gate_limits& limits) -> duration
{
    return limits.lease_life + start_window(limits);
}

/// Age from which a permit still held is certain to be counted in a load report.
inline auto settle_time(const gate_limits& limits) -> duration
{
    return start_window(limits) + limits.report_lag;
}

/// Whether the primary's wait is over and no listed former holder can give permits.
inline auto takeover_complete(const gate& state, time_point now) -> bool
{
    return now >= state.full_from && std::ranges::all_of(state.former, [&](const auto& holder) {
               return !holder.listed || now < holder.quiet_until;
           });
}

} // namespace cyclamenpost::detail
