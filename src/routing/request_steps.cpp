#include "cyclamenpost/routing/request_steps.hpp"

namespace cyclamenpost {

namespace {

constexpr auto success_class = 2;
constexpr auto misdirected = 421;
constexpr auto request_timeout = 408;
constexpr auto too_many_requests = 429;
constexpr auto server_error = 500;
constexpr auto service_unavailable = 503;
// a target that is still full after two pauses is overloaded rather than hit by a burst
constexpr std::uint32_t max_pauses = 2;

/// Whether callers take the status for a promise that the request has not run and never will.
auto promises_not_run(int status) -> bool
{
    return status == service_unavailable || status == too_many_requests ||
           status == request_timeout || status == misdirected;
}

auto may_have_run(attempt_end end) -> bool
{
    return end == attempt_end::answered || end == attempt_end::target_error ||
           end == attempt_end::lost;
}

/// Whether the caller may be told that the request has not run.
auto is_refusable(const request_progress& progress) -> bool
{
    return progress.runs == 0 && !progress.answer_started;
}

auto end_request(request_progress& progress, request_action action) -> request_step
{
    progress.attempting = false;
    progress.ended = true;
    return {action, {}, false, false};
}

auto refuse_or_give_up(request_progress& progress) -> request_step
{
    return end_request(progress,
                       is_refusable(progress) ? request_action::refuse : request_action::give_up);
}

auto context_of(const request_progress& progress, const request_event& event, attempt_end end)
    -> retry_context
{
    auto context = retry_context{};
    context.end = end;
    context.repeatable = progress.repeatable;
    context.runs = progress.runs;
    context.max_runs = progress.max_runs;
    context.sends = progress.attempts;
    context.time_left = event.time_left;
    context.target_available = event.target_available;
    return context;
}

auto action_of(next_step next) -> request_action
{
    switch (next) {
    case next_step::pass_answer:
        return request_action::pass_answer;
    case next_step::retry:
        return request_action::try_target;
    case next_step::refuse:
        return request_action::refuse;
    case next_step::give_up:
        return request_action::give_up;
    }
    return request_action::give_up;
}

/// Whether the request may be sent again, after a pause, to targets that rejected it. A rejected
/// attempt is no run.
auto can_pause(const request_progress& progress, const request_event& event, attempt_end end)
    -> bool
{
    const auto may_run =
        progress.runs == 0 || (progress.repeatable && progress.runs < progress.max_runs);
    return end == attempt_end::not_executed && may_run && progress.pauses < max_pauses &&
           event.room_expected && event.time_left && event.retry_allowed;
}

/// Records the end of the attempt in progress and decides what follows.
auto end_attempt(request_progress& progress, const request_event& event, attempt_end end)
    -> request_step
{
    progress.attempting = false;
    progress.runs += may_have_run(end) ? 1 : 0;
    progress.unsent += end == attempt_end::not_sent ? 1 : 0;
    progress.disclaimed += end == attempt_end::not_executed ? 1 : 0;
    const auto context = context_of(progress, event, end);
    auto next = decide_next_step(context);
    const auto spends_retry = next == next_step::retry && end != attempt_end::not_sent;
    if (spends_retry && !event.retry_allowed) {
        next = next_step_without_retry(context);
    }
    if (next != next_step::retry && can_pause(progress, event, end)) {
        ++progress.pauses;
        return {request_action::try_target, end, true, true};
    }
    auto step = request_step{action_of(next), end, spends_retry && event.retry_allowed, false};
    // a complete answer cannot follow the head of another one
    if (step.action == request_action::pass_answer && progress.answer_started) {
        step.action =
            end == attempt_end::answered ? request_action::end_stream : request_action::give_up;
    }
    progress.ended = step.action != request_action::try_target;
    return step;
}

/// Decides on an attempt without an answer.
auto after_silence(request_progress& progress, const request_event& event) -> request_step
{
    const auto movable = event.overdue && can_move(progress, event);
    switch (decide_silence_step({event.connected, event.sent, movable})) {
    case silence_step::keep_waiting:
        return {};
    case silence_step::end_unsent:
        return end_attempt(progress, event, attempt_end::not_sent);
    case silence_step::end_lost:
        return end_attempt(progress, event, attempt_end::lost);
    }
    return {};
}

/// Ends the request whether or not its attempt has an answer yet.
auto interrupt(request_progress& progress, const request_event& event) -> request_step
{
    progress.runs += progress.attempting && event.sent ? 1 : 0;
    return refuse_or_give_up(progress);
}

} // namespace

auto can_move(const request_progress& progress, const request_event& event) -> bool
{
    return progress.repeatable && progress.runs + 1 < progress.max_runs && event.time_left &&
           event.retry_allowed && event.target_available;
}

auto proof_of_refusal(const request_progress& progress) -> refusal_proof
{
    if (progress.runs > 0) {
        return refusal_proof::none;
    }
    if (progress.unsent > 0 && progress.disclaimed > 0) {
        return refusal_proof::unsent_and_disclaimed;
    }
    if (progress.disclaimed > 0) {
        return refusal_proof::disclaimed;
    }
    return progress.attempts > 0 ? refusal_proof::unsent : refusal_proof::no_attempt;
}

auto judge_answer(const complete_answer& answer) -> answer_verdict
{
    if (answer.stream) {
        const auto cause = name_in(stream_end_names, *answer.stream);
        return *answer.stream == stream_end::whole
                   ? answer_verdict{attempt_end::answered, target_outcome::succeeded, cause}
                   : answer_verdict{attempt_end::lost, target_outcome::failed, cause};
    }
    if (answer.status == misdirected) {
        // the target is gone; until its entry goes too, it must not attract further requests
        return {attempt_end::not_executed, target_outcome::unreachable, "other_target"};
    }
    if (answer.not_executed) {
        return {attempt_end::not_executed, target_outcome::rejected, "not_executed"};
    }
    const auto success = answer.status / 100 == success_class;
    if (success && (!answer.has_receipt || answer.encoded)) {
        return {attempt_end::lost, target_outcome::failed,
                answer.has_receipt ? "encoded" : "no_receipt"};
    }
    if (promises_not_run(answer.status)) {
        // the target does not say that it has not run the request, but callers would read it so;
        // one that wants to rest is not ill
        return {attempt_end::lost,
                answer.wants_rest ? target_outcome::rejected : target_outcome::failed,
                "unproven_refusal"};
    }
    if (success && answer.continues) {
        return {attempt_end::lost, target_outcome::failed, "not_a_stream"};
    }
    if (answer.status >= server_error) {
        return {attempt_end::target_error, target_outcome::failed, "target_error"};
    }
    if (answer.continues) {
        return {attempt_end::lost, target_outcome::failed, "resume_refused"};
    }
    return {};
}

auto advance(request_progress& progress, const request_event& event) -> request_step
{
    if (progress.ended) {
        return {};
    }
    switch (event.kind) {
    case request_event_kind::attempt_begun:
        progress.attempting = true;
        ++progress.attempts;
        return {};
    case request_event_kind::no_target:
        return progress.attempting ? request_step{} : refuse_or_give_up(progress);
    case request_event_kind::time_over:
    case request_event_kind::blocked:
        return interrupt(progress, event);
    case request_event_kind::caller_left:
        return end_request(progress, request_action::drop);
    default:
        break;
    }
    if (!progress.attempting) {
        return {};
    }
    switch (event.kind) {
    case request_event_kind::answer_started:
        progress.answer_started = true;
        return {};
    case request_event_kind::answer_complete:
        return end_attempt(progress, event, event.verdict);
    case request_event_kind::connection_ended:
        return end_attempt(progress, event, event.sent ? attempt_end::lost : attempt_end::not_sent);
    case request_event_kind::silent:
        return after_silence(progress, event);
    case request_event_kind::stalled:
        return can_move(progress, event) ? end_attempt(progress, event, attempt_end::lost)
                                         : request_step{};
    case request_event_kind::unusable:
        return end_attempt(progress, event, attempt_end::lost);
    default:
        return {};
    }
}

} // namespace cyclamenpost
