#include "cyclamenpost/routing/attempts.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// attempts for a request that no target has run; more would only add load to a saturated service
constexpr std::uint32_t max_sends = 3;
// callers honour a delay only up to a third of their remaining time
constexpr double honoured_share = 0.3;
constexpr duration min_delay = std::chrono::milliseconds{50};
constexpr duration max_delay = std::chrono::seconds{2};

auto can_retry(const retry_context& context) -> bool
{
    if (!context.time_left || !context.target_available) {
        return false;
    }
    switch (context.end) {
    case attempt_end::answered:
        return false;
    case attempt_end::not_executed:
    case attempt_end::not_sent:
        return context.sends < max_sends;
    case attempt_end::target_error:
    case attempt_end::lost:
        return context.repeatable && context.runs < context.max_runs;
    }
    return false;
}

} // namespace

auto decide_silence_step(const silent_attempt& attempt) -> silence_step
{
    if (!attempt.connected) {
        return attempt.sent ? silence_step::end_lost : silence_step::end_unsent;
    }
    return attempt.movable ? silence_step::end_lost : silence_step::keep_waiting;
}

auto decide_next_step(const retry_context& context) -> next_step
{
    if (context.end == attempt_end::answered) {
        return next_step::pass_answer;
    }
    return can_retry(context) ? next_step::retry : next_step_without_retry(context);
}

auto next_step_without_retry(const retry_context& context) -> next_step
{
    switch (context.end) {
    case attempt_end::answered:
    case attempt_end::target_error:
        return next_step::pass_answer;
    case attempt_end::not_executed:
        // the target speaks for itself only; an earlier one may have run the request
        return context.runs == 0 ? next_step::pass_answer : next_step::give_up;
    case attempt_end::not_sent:
    case attempt_end::lost:
        return context.runs == 0 ? next_step::refuse : next_step::give_up;
    }
    return next_step::give_up;
}

auto retry_after_delay(duration time_left, double random) -> duration
{
    const auto honoured = std::chrono::duration_cast<duration>(time_left * honoured_share);
    const auto delay = std::clamp(honoured, min_delay, max_delay);
    return std::chrono::duration_cast<duration>(delay * (0.5 + random / 2));
}

auto retry_after_rest(duration until_free, duration time_left, double random) -> duration
{
    const auto honoured = std::chrono::duration_cast<duration>(time_left * honoured_share);
    const auto spread = std::chrono::duration_cast<duration>(until_free * (1 + random / 2));
    return std::min(std::max(spread, min_delay), std::max(honoured, min_delay));
}

} // namespace cyclamenpost
