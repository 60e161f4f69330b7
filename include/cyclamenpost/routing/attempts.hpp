#pragma once

#include <cstdint>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// How one attempt at a target ended.
enum class attempt_end {
    /// A whole answer arrived that can be passed on.
    answered,
    /// A whole answer arrived that says the target failed.
    target_error,
    /// The target says that it did not run the request.
    not_executed,
    /// No byte of the request left this process.
    not_sent,
    /// The request was sent and its answer did not arrive whole.
    lost,
};

inline constexpr std::array attempt_end_names{
    enum_name<attempt_end>{attempt_end::answered, "answered"},
    enum_name<attempt_end>{attempt_end::target_error, "target_error"},
    enum_name<attempt_end>{attempt_end::not_executed, "not_executed"},
    enum_name<attempt_end>{attempt_end::not_sent, "not_sent"},
    enum_name<attempt_end>{attempt_end::lost, "lost"},
};

/// What is known of a request when an attempt has ended.
struct retry_context {
    attempt_end end = attempt_end::lost;
    /// The request may run more than once.
    bool repeatable = false;
    /// Targets at which the request may have run, this attempt included.
    std::uint32_t runs = 0;
    std::uint32_t max_runs = 1;
    /// Targets to which it was sent or should have been.
    std::uint32_t sends = 0;
    bool time_left = false;
    /// Another untried target is usable.
    bool target_available = false;
};

/// What follows an attempt.
enum class next_step {
    pass_answer,
    /// Send the request to another target, if the retry budget allows it.
    retry,
    /// Answer that the request did not run.
    refuse,
    /// Answer that the outcome is unknown.
    give_up,
};

inline constexpr std::array next_step_names{
    enum_name<next_step>{next_step::pass_answer, "pass_answer"},
    enum_name<next_step>{next_step::retry, "retry"},
    enum_name<next_step>{next_step::refuse, "refuse"},
    enum_name<next_step>{next_step::give_up, "give_up"},
};

/// Decides what follows an attempt. A request that may run only once is sent again only while it is
/// certain that it has not run.
auto decide_next_step(const retry_context& facts) -> next_step;

/// What remains to be said when a retry was wanted and is not possible.
auto next_step_without_retry(const retry_context& facts) -> next_step;

/// Wait that a refused caller is told. Callers that are refused together return spread over half of
/// the wait; `random` is in [0, 1).
auto retry_after_delay(duration time_left, double random) -> duration;

} // namespace cyclamenpost
