#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/routing/attempts.hpp"
#include "cyclamenpost/routing/event_filter.hpp"
#include "cyclamenpost/routing/target_table.hpp"

namespace cyclamenpost {

/// State of one request over all its attempts, from its arrival to its end.
struct request_progress {
    /// The request may safely run more than once.
    bool repeatable = false;
    /// Targets at which the request may run.
    std::uint32_t max_runs = 1;
    /// Attempts that were begun, including those that could not be sent.
    std::uint32_t attempts = 0;
    /// Attempts in which the target may have executed the request.
    std::uint32_t runs = 0;
    /// Attempts of which no byte was sent.
    std::uint32_t unsent = 0;
    /// Attempts of which the target said that it had not executed the request.
    std::uint32_t disclaimed = 0;
    /// Pauses after which the request was to be sent to a target that had rejected it.
    std::uint32_t pauses = 0;
    /// An attempt is in progress.
    bool attempting = false;
    /// The caller has received the head of an answer.
    bool answer_started = false;
    /// The caller has the final answer, or has left.
    bool ended = false;
};

/// What may happen to a request.
enum class request_event_kind {
    /// A target was chosen, and the request is handed to the client.
    attempt_begun,
    /// The head of a stream was passed to the caller.
    answer_started,
    /// A complete answer arrived; `verdict` tells what it is worth.
    answer_complete,
    /// The connection could not be opened, or ended before the answer was complete.
    connection_ended,
    /// A time limit for the connection or for the beginning of the answer passed.
    silent,
    /// The answer makes no progress.
    stalled,
    /// The answer exceeds a limit or contradicts itself; reading it was given up.
    unusable,
    /// No target may be used, and none is worth waiting for.
    no_target,
    /// The request has to end now: its deadline has passed or the instance stops.
    time_over,
    /// The content of the request is known to crash targets.
    blocked,
    /// The caller closed its connection.
    caller_left,
};

inline constexpr std::array request_event_kind_names{
    enum_name<request_event_kind>{request_event_kind::attempt_begun, "attempt_begun"},
    enum_name<request_event_kind>{request_event_kind::answer_started, "answer_started"},
    enum_name<request_event_kind>{request_event_kind::answer_complete, "answer_complete"},
    enum_name<request_event_kind>{request_event_kind::connection_ended, "connection_ended"},
    enum_name<request_event_kind>{request_event_kind::silent, "silent"},
    enum_name<request_event_kind>{request_event_kind::stalled, "stalled"},
    enum_name<request_event_kind>{request_event_kind::unusable, "unusable"},
    enum_name<request_event_kind>{request_event_kind::no_target, "no_target"},
    enum_name<request_event_kind>{request_event_kind::time_over, "time_over"},
    enum_name<request_event_kind>{request_event_kind::blocked, "blocked"},
    enum_name<request_event_kind>{request_event_kind::caller_left, "caller_left"},
};

/// One event, with the facts that decide what follows it.
struct request_event {
    request_event_kind kind = request_event_kind::time_over;
    /// A byte of the attempt's request may have left this process.
    bool sent = false;
    /// The attempt's connection is established and open.
    bool connected = false;
    /// The target has been silent for longer than it may be.
    bool overdue = false;
    /// What the complete answer is worth.
    attempt_end verdict = attempt_end::lost;
    /// The request's deadline has not passed.
    bool time_left = false;
    /// A target that has not been tried may receive the request.
    bool target_available = false;
    /// The service's retry budget allows another attempt.
    bool retry_allowed = false;
    /// A target that rejected the request is expected to have room in time for an answer within the
    /// objective.
    bool room_expected = false;
};

/// What the driver has to do after an event.
enum class request_action {
    /// Wait for the next event; a time limit has to be running.
    wait,
    /// Choose a target and begin an attempt.
    try_target,
    /// Forward the target's complete answer.
    pass_answer,
    /// End the stream that was forwarded.
    end_stream,
    /// Answer that the request has not run.
    refuse,
    /// Answer that the outcome is unknown, or cut off an answer that has begun.
    give_up,
    /// Forget the request; nobody waits for an answer.
    drop,
};

inline constexpr std::array request_action_names{
    enum_name<request_action>{request_action::wait, "wait"},
    enum_name<request_action>{request_action::try_target, "retry"},
    enum_name<request_action>{request_action::pass_answer, "pass_answer"},
    enum_name<request_action>{request_action::end_stream, "end_stream"},
    enum_name<request_action>{request_action::refuse, "refuse"},
    enum_name<request_action>{request_action::give_up, "give_up"},
    enum_name<request_action>{request_action::drop, "drop"},
};

/// The decision after an event.
struct request_step {
    request_action action = request_action::wait;
    /// How the attempt in progress ended, if the event ended it by itself.
    std::optional<attempt_end> attempt_ended;
    /// The next attempt is a repeat of one that may have run, which the retry budget pays for.
    bool spends_retry = false;
    /// With `try_target`: targets that rejected the request need a pause first, and may then be
    /// tried again.
    bool after_pause = false;
};

/// Advances a request by one event. Whether it may have run follows only from what was sent and
/// from what a target answered, never from the state of a connection. Events of an attempt that has
/// ended, and any event after the request's end, change nothing.
auto advance(request_progress& progress, const request_event& event) -> request_step;

/// Whether the request may leave its target, which still has it, for another one.
auto can_move(const request_progress& progress, const request_event& event) -> bool;

/// Why it is true that a refused request has not run.
enum class refusal_proof {
    /// It was never handed to a target.
    no_attempt,
    /// No byte of any attempt was sent.
    unsent,
    /// Each target that received it said that it had not executed it.
    disclaimed,
    /// Some attempts were not sent, the targets of the others said that they had not executed it.
    unsent_and_disclaimed,
    /// Nothing proves it: the request may have run.
    none,
};

inline constexpr std::array refusal_proof_names{
    enum_name<refusal_proof>{refusal_proof::no_attempt, "no_attempt"},
    enum_name<refusal_proof>{refusal_proof::unsent, "unsent"},
    enum_name<refusal_proof>{refusal_proof::disclaimed, "disclaimed"},
    enum_name<refusal_proof>{refusal_proof::unsent_and_disclaimed, "unsent_and_disclaimed"},
    enum_name<refusal_proof>{refusal_proof::none, "none"},
};

/// What a refusal of the request would rest on.
auto proof_of_refusal(const request_progress& progress) -> refusal_proof;

/// A complete answer of a target, as far as it decides what the answer is worth.
struct complete_answer {
    int status = 0;
    /// How the stream ended, if the answer is a stream that was forwarded as it came.
    std::optional<stream_end> stream;
    /// The target says that it has not executed the request.
    bool not_executed = false;
    /// The target's receipt came with the answer.
    bool has_receipt = false;
    /// The body has a content encoding, for which no caller asks.
    bool encoded = false;
    /// The target asks to be left alone for a time.
    bool wants_rest = false;
    /// The caller has the head of an earlier stream of this request.
    bool continues = false;
};

/// What a complete answer is worth, and what it says of its target.
struct answer_verdict {
    attempt_end end = attempt_end::answered;
    target_outcome health = target_outcome::succeeded;
    std::string_view cause = "answered";
};

/// Judges a complete answer. Only a target's own word, in an answer to this request, tells that it
/// has not executed the request.
auto judge_answer(const complete_answer& answer) -> answer_verdict;

} // namespace cyclamenpost
