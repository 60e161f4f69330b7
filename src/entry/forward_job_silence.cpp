#include "forward_job.hpp"

#include <algorithm>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost::detail {

namespace {

// without early retries, a repeatable request is sent to another target when the first has not
// answered within this many latency objectives, since a silent target rarely recovers before the
// caller's deadline
constexpr int silence_factor = 2;
constexpr duration min_silence = std::chrono::milliseconds{1000};
// second look at a silent attempt: input that waited while this process was paused is read first
constexpr duration second_look_delay = std::chrono::milliseconds{10};
// what allows an early retry may change while the attempt is silent
constexpr duration look_period = std::chrono::milliseconds{50};
constexpr auto success_class = 2;

} // namespace

auto forward_job::longest_silence() const -> duration
{
    return std::max<duration>(matched_route->latency_objective * silence_factor, min_silence);
}

auto forward_job::prompt_tokens() const -> std::uint64_t
{
    auto tokens = std::uint64_t{0};
    for (const auto& part : request.prompt) {
        tokens += part.tokens;
    }
    return tokens;
}

auto forward_job::silence_timeout() const -> duration
{
    if (!state.view.options.early_retry || !progress.repeatable) {
        return longest_silence();
    }
    const auto now = monotonic_now();
    const auto* used = attempted_target();
    auto input = silence_input{};
    input.usual =
        usual_answer_limit(state.answer_times, service->name, prompt_size_of(prompt_tokens()), now);
    input.objective = matched_route->latency_objective;
    input.passed = attempt_begun - arrived;
    input.longest = longest_silence();
    if (used != nullptr) {
        input.target_answers = used->answered_at > attempt_begun;
        input.warming_up = is_cold(state.view.targets, *used, now);
    }
    input.left_before = left_early;
    input.unanswered = state.answer_times[service->name].unanswered;
    const auto& budget = state.view.retry_budgets[service->name];
    input.retries_allowed = retries_allowed(budget, now);
    input.retries_left = retries_left(budget, now);
    return early_limit(input);
}

auto forward_job::connect_timeout() const -> duration
{
    return state.view.options.early_retry ? early_connect_limit(matched_route->latency_objective,
                                                                state.settings.connect_timeout)
                                          : state.settings.connect_timeout;
}

auto forward_job::looks_again(const request_event& event) -> bool
{
    const auto would_leave = !event.connected || (event.overdue && progress.repeatable);
    if (!state.view.options.early_retry || !would_leave) {
        looked_silent = false;
        return false;
    }
    if (std::exchange(looked_silent, true)) {
        return false;
    }
    attempt_timer = call_later(second_look_delay, &forward_job::on_attempt_timeout);
    return true;
}

auto forward_job::note_early_leave(const request_event& event) -> bool
{
    if (!event.overdue || !can_move(progress, event)) {
        return false;
    }
    const auto& budget = state.view.retry_budgets[service->name];
    log_event(log_level::info, "target_left_early",
              {{"request", request.id},
               {"target", target_id},
               {"limit_ms", milliseconds_text(silence_timeout())},
               {"longest_ms", milliseconds_text(longest_silence())},
               {"objective_ms", milliseconds_text(matched_route->latency_objective)},
               {"retries_left", std::to_string(retries_left(budget, monotonic_now()))}});
    state.metrics
        .counter_of("cyclamenpost_early_retries_total",
                    "Requests that left a silent target early, by service.",
                    {{"service", service->name}})
        .add();
    left_early = true;
    left_after = monotonic_now() - attempt_begun;
    counts_unanswered = true;
    ++state.answer_times[service->name].unanswered;
    return true;
}

auto forward_job::settle_early_leave() -> void
{
    if (std::exchange(counts_unanswered, false)) {
        --state.answer_times[service->name].unanswered;
    }
}

auto forward_job::next_look(duration silence, duration waited) const -> duration
{
    if (waited >= silence) {
        return silence;
    }
    return state.view.options.early_retry ? std::min<duration>(silence - waited, look_period)
                                          : silence - waited;
}

auto forward_job::note_first_byte() -> void
{
    settle_early_leave();
    if (!state.view.options.early_retry || service == nullptr ||
        answer_head.status / 100 != success_class) {
        return;
    }
    const auto taken = first_byte_at - attempt_begun;
    const auto size = prompt_size_of(prompt_tokens());
    record_answer_time(state.answer_times, service->name, size, taken, first_byte_at);
    if (left_early && taken > left_after) {
        // the first target was probably no slower than this one, so its time counts as well
        record_answer_time(state.answer_times, service->name, size, taken, first_byte_at);
    }
    if (left_early) {
        const auto in_time = first_byte_at - arrived <= matched_route->latency_objective;
        state.metrics
            .counter_of("cyclamenpost_early_retry_answers_total",
                        "Successful answers to requests that had left a target early, by whether "
                        "they met the objective.",
                        {{"in_time", in_time ? "1" : "0"}})
            .add();
    }
}

} // namespace cyclamenpost::detail
