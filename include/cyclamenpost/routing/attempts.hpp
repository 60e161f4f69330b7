#pragma once

#include <cstdint>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Outcome of one attempt to have a target serve a request.
enum class attempt_end {
    /// A complete answer arrived that can be forwarded to the caller.
    answered,
    /// A complete answer arrived that reports a failure of the target.
    target_error,
    /// The target reports that it did not run the request.
    not_executed,
    /// No byte of the request left this process.
    not_sent,
    /// The request was sent, but no complete answer arrived.
    lost,
};

inline constexpr std::array attempt_end_names{
    enum_name<attempt_end>{attempt_end::answered, "answered"},
    enum_name<attempt_end>{attempt_end::target_error, "target_error"},
    enum_name<attempt_end>{attempt_end::not_executed, "not_executed"},
    enum_name<attempt_end>{attempt_end::not_sent, "not_sent"},
    enum_name<attempt_end>{attempt_end::lost, "lost"},
};

/// State of a request after an attempt; the input of the retry decision.
struct retry_context {
    attempt_end end = attempt_end::lost;
    /// The request may safely run more than once.
    bool repeatable = false;
    /// Targets at which the request may have run, this attempt included.
    std::uint32_t runs = 0;
    std::uint32_t max_runs = 1;
    /// Targets that were tried, also without a connection.
    std::uint32_t sends = 0;
    /// The request's deadline has not passed.
    bool time_left = false;
    /// A target that has not been tried may receive the request.
    bool target_available = false;
};

/// Action after an attempt.
enum class next_step {
    /// Forward the target's answer to the caller.
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

/// What is known of an attempt that has had no answer within a time limit.
struct silent_attempt {
    /// The connection is established and open.
    bool connected = false;
    /// A byte of the request may have left this process.
    bool sent = false;
    /// The target has been silent for longer than it may be, and the request can be moved to
    /// another one.
    bool movable = false;
};

/// Action on an attempt without an answer.
enum class silence_step {
    /// Wait for the answer.
    keep_waiting,
    /// End the attempt as `not_sent`.
    end_unsent,
    /// End the attempt as `lost`.
    end_lost,
};

/// Decides the action on an attempt without an answer. Only what was sent tells whether the request
/// may have run: a connection that is not open may have been.
auto decide_silence_step(const silent_attempt& attempt) -> silence_step;

/// Decides the action after an attempt. A request that is not repeatable is retried only if it
/// certainly has not run.
auto decide_next_step(const retry_context& context) -> next_step;

/// Decides the action after an attempt that cannot be retried.
auto next_step_without_retry(const retry_context& context) -> next_step;

/// Delay after which a refused caller is asked to retry. It is jittered over its upper half, so
/// that callers refused together do not return together. `random` is in [0, 1).
auto retry_after_delay(duration time_left, double random) -> duration;

/// Delay for a caller who is refused because all targets rest for `until_free`: as long, and up to
/// half as long again, so that callers do not return together; never longer than callers honour.
auto retry_after_rest(duration until_free, duration time_left, double random) -> duration;

} // namespace cyclamenpost
