#include "cyclamenpost/routing/shutdown_plan.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// the process exits this long before the platform would kill it
constexpr duration kill_margin = std::chrono::milliseconds{300};
// callers use a cached directory answer for about this long after the stop has begun
constexpr duration longest_accept_time = std::chrono::milliseconds{2200};
// a caller that has just been told another address still has a connection open
constexpr duration connection_overlap = std::chrono::milliseconds{300};
// most of a short stop belongs to the requests that have been taken
constexpr int accept_divisor = 3;
// many requests take longer than the average
constexpr int usual_times = 2;

} // namespace

auto plan_shutdown(time_point signalled, duration grace) -> shutdown_plan
{
    const auto usable = std::max(grace - kill_margin, grace / 2);
    const auto accepting = std::min(longest_accept_time, usable / accept_divisor);
    auto plan = shutdown_plan{};
    plan.accept_until = signalled + accepting;
    plan.stay_until = plan.accept_until + std::min(connection_overlap, accepting);
    plan.end = signalled + usable;
    return plan;
}

auto can_serve(const shutdown_plan& plan, duration usual_time, time_point now) -> bool
{
    return now < plan.accept_until && now + usual_time * usual_times < plan.end;
}

} // namespace cyclamenpost
