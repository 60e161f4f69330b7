#include "forward_job.hpp"

#include <utility>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/routing/fleet_load.hpp"

namespace cyclamenpost::detail {

namespace {

/// Outcome of a request that the caller may take for not executed.
constexpr std::string_view not_run = "not_run";

} // namespace

auto milliseconds_text(duration span) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

auto count_refusal(metric_registry& metrics, std::string_view kind, std::string_view proof) -> void
{
    metrics
        .counter_of("cyclamenpost_refusals_total",
                    "Requests that callers were told have not run, by kind and proof.",
                    {{"kind", std::string{kind}}, {"proof", std::string{proof}}})
        .add();
}

auto forward_job::count_passed_over() -> void
{
    const auto passed_over = attempt.record().passed_over;
    if (passed_over > 0) {
        state.metrics
            .counter_of("cyclamenpost_connections_passed_over_total",
                        "Idle connections to a target that were not used because they had carried "
                        "an earlier attempt of the request.")
            .add(passed_over);
    }
}

auto forward_job::note_first_byte(target& answering) -> void
{
    const auto& options = state.view.options;
    const auto waited = first_byte_at - attempt_begun;
    if (!options.fleet_load) {
        return;
    }
    if (answer.load_unreadable) {
        state.metrics
            .counter_of("cyclamenpost_loads_unreadable_total",
                        "Answers of targets whose load could not be read.")
            .add();
        if (sample_line(state.sampler, first_byte_at)) {
            log_event(log_level::warning, "load_unreadable", {{"target", target_id}});
        }
    }
    // a rejection says nothing about the time that processing takes
    if (answer_head.status / 100 != 2) {
        return;
    }
    record_first_byte(state.view.targets, answering, waited, first_byte_at);
    const auto observe = [&](const char* name, const char* help, duration span) {
        state.metrics.histogram_of(name, help, {{"service", answering.published.service}})
            .observe(std::chrono::duration<double>(span).count());
    };
    observe("cyclamenpost_attempt_expected_wait_seconds",
            "Time to the first byte that was expected of attempts that were answered.",
            expected.mean);
    observe("cyclamenpost_attempt_wait_seconds",
            "Time from the beginning of an attempt to the first byte of its answer.", waited);
}

auto forward_job::note_silence() -> void
{
    auto* silent = attempted_target();
    if (!state.view.options.fleet_load || !in_flight || silent == nullptr ||
        std::exchange(silence_noted, true)) {
        return;
    }
    cyclamenpost::record_attempt(state.view.targets, *silent, false, monotonic_now());
}

auto forward_job::note_attempt_end(std::string_view cause, target_outcome health) -> void
{
    auto* used = attempted_target();
    const auto now = monotonic_now();
    // a lack of memory here says nothing about the target
    if (!state.view.options.fleet_load || !in_flight || cause == "buffers_full" ||
        used == nullptr) {
        return;
    }
    const auto answered = health == target_outcome::succeeded || health == target_outcome::rejected;
    const auto silent = first_byte_at < attempt_begun && now - attempt_begun >= silence_timeout();
    const auto ended_here = health == target_outcome::cancelled && !silent;
    if (ended_here || (silence_noted && !answered)) {
        return;
    }
    cyclamenpost::record_attempt(state.view.targets, *used, answered, now);
}

auto forward_job::refusal_proof_name() const -> std::string_view
{
    return name_in(refusal_proof_names, proof_of_refusal(progress));
}

auto forward_job::pass_answer(attempt_end end) -> void
{
    auto head = answer_head;
    drop_hop_by_hop_fields(head.fields);
    head.keep_alive = true;
    exchange->respond(std::move(head), answer_body);
    finish(answer_head.status, end == attempt_end::not_executed ? not_run : "answered",
           "target_answer");
}

auto forward_job::give_up(int status, std::string_view cause) -> void
{
    if (exchange->answer_started()) {
        exchange->abort();
        finish(status, "cut", cause);
        return;
    }
    send_local_reply(status, {}, cause);
}

auto forward_job::send_local_reply(int status, duration retry_after, std::string_view cause) -> void
{
    exchange->respond(state.codec.encode_local_reply(status, retry_after), {});
    finish(status, status == service_unavailable ? not_run : "unknown", cause);
}

auto forward_job::on_deadline() -> void
{
    abandon("time_over");
}

auto forward_job::abandon(std::string_view cause) -> void
{
    handle(event_of(request_event_kind::time_over), cause, target_outcome::cancelled);
}

auto forward_job::on_caller_gone() -> void
{
    handle(event_of(request_event_kind::caller_left), "caller_closed", target_outcome::cancelled);
}

auto forward_job::log_outcome(int status, std::string_view outcome_name, std::string_view cause)
    -> void
{
    const auto now = monotonic_now();
    const auto first = first_byte_at == time_point{} ? duration::zero() : first_byte_at - arrived;
    log_event(log_level::info, "request",
              {{"request", request.id},
               {"route", matched_route->name},
               {"kind", std::string(name_in(route_kind_names, matched_route->kind))},
               {"organisation", organisation_name},
               {"config", std::to_string(routes->version)},
               {"target", target_id},
               {"status", std::to_string(status)},
               {"outcome", std::string{outcome_name}},
               {"cause", std::string{cause}},
               {"sends", std::to_string(progress.attempts)},
               {"runs", std::to_string(progress.runs)},
               {"unsent", std::to_string(progress.unsent)},
               {"not_executed", std::to_string(progress.disclaimed)},
               {"proof", outcome_name == not_run ? std::string{refusal_proof_name()} : ""},
               {"events", std::to_string(events.passed)},
               {"first_ms", milliseconds_text(first)},
               {"took_ms", milliseconds_text(now - arrived)},
               {"caller", exchange->peer},
               {"caller_requests", std::to_string(exchange->earlier_requests)}});
}

auto forward_job::record_metrics(std::string_view outcome_name, std::string_view cause) -> void
{
    const auto kind = std::string(name_in(route_kind_names, matched_route->kind));
    const auto seconds = [this](time_point until) {
        return std::chrono::duration<double>(until - arrived).count();
    };
    state.metrics
        .counter_of("cyclamenpost_requests_total", "Requests by kind and outcome.",
                    {{"kind", kind}, {"outcome", std::string{outcome_name}}})
        .add();
    state.metrics
        .histogram_of("cyclamenpost_request_duration_seconds",
                      "Time from a request's first byte to its end.", {{"kind", kind}})
        .observe(seconds(monotonic_now()));
    if (first_byte_at != time_point{}) {
        state.metrics
            .histogram_of("cyclamenpost_first_byte_seconds",
                          "Time from a request's first byte to the answer's.", {{"kind", kind}})
            .observe(seconds(first_byte_at));
    }
    if (outcome_name == not_run) {
        count_refusal(state.metrics, kind, refusal_proof_name());
    }
    if (outcome_name != "answered") {
        state.metrics
            .counter_of("cyclamenpost_unserved_total", "Requests not served, by cause.",
                        {{"cause", std::string{cause}}})
            .add();
    }
}

auto forward_job::finish(int status, std::string_view outcome_name, std::string_view cause) -> void
{
    if (std::exchange(finished, true)) {
        return;
    }
    const auto now = monotonic_now();
    constexpr auto first_failure = 300;
    const auto served = outcome_name == "answered" && status < first_failure;
    if (served) {
        note_step(state.view.start, start_step::first_answer, now);
    }
    if (!served || sample_line(state.sampler, now)) {
        log_outcome(status, outcome_name, cause);
    }
    record_metrics(outcome_name, cause);
    leave_waiting(outcome_name);
    exchange->on_cancelled = nullptr;
    exchange->on_sent = nullptr;
    deadline_timer.reset();
    attempt_timer.reset();
    wait_timer.reset();
    settle_early_leave();
    attempt.cancel();
    hold_bytes(state.buffered, held_bytes, 0);
    state.jobs.erase(shared_from_this());
}

} // namespace cyclamenpost::detail
