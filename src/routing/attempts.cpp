#include "cyclamenpost/routing/attempts.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// targets tried for one request that none has run; more would only load a full service
constexpr std::uint32_t max_sends = 3;
// callers follow a wait only up to a third of the time they have left
constexpr double followed_share = 0.3;
constexpr duration shortest_wait = std::chrono::milliseconds{50};
constexpr duration longest_wait = std::chrono::seconds{2};

auto can_retry(const retry_context& facts) -> bool
{
    if (!facts.time_left || !facts.target_available) {
        return false;
    }
    switch (facts.end) {
    case attempt_end::answered:
        return false;
    case attempt_end::not_executed:
    case attempt_end::not_sent:
        return facts.sends < max_sends;
    case attempt_end::target_error:
    case attempt_end::lost:
        return facts.repeatable && facts.runs < facts.max_runs;
    }
    return false;
}

} // namespace

auto decide_next_step(const retry_context& facts) -> next_step
{
    if (facts.end == attempt_end::answered) {
        return next_step::pass_answer;
    }
    return can_retry(facts) ? next_step::retry : next_step_without_retry(facts);
}

auto next_step_without_retry(const retry_context& facts) -> next_step
{
    switch (facts.end) {
    case attempt_end::answered:
    case attempt_end::target_error:
    case attempt_end::not_executed:
        return next_step::pass_answer;
    case attempt_end::not_sent:
    case attempt_end::lost:
        return facts.runs == 0 ? next_step::refuse : next_step::give_up;
    }
    return next_step::give_up;
}

auto retry_after_delay(duration time_left, double random) -> duration
{
    const auto most = std::chrono::duration_cast<duration>(time_left * followed_share);
    const auto wait = std::clamp(most, shortest_wait, longest_wait);
    return std::chrono::duration_cast<duration>(wait * (0.5 + random / 2));
}

} // namespace cyclamenpost
