#include "forward_job.hpp"

#include <algorithm>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/routing/limit_sharing.hpp"

namespace cyclamenpost::detail {

namespace {

constexpr auto misdirected = 421;

// events from which on the target has survived the beginning of the answer
constexpr std::uint64_t events_underway = 2;
// callers leave a stream after the longest of these: a fixed time, a multiple of the latency
// objective, and a multiple of the pause between events that is on time
constexpr duration min_caller_patience = std::chrono::seconds{2};
constexpr int patience_objectives = 4;
constexpr int patience_gaps = 8;
// a stalled answer is moved to another target after this part of the caller's patience, which
// leaves the rest for the other target's first event
constexpr int stall_divisor = 2;
// second look at a stalled answer: input that waited while this process was paused is read first
constexpr duration second_look_delay = std::chrono::milliseconds{50};
// an answer without events that grows by less than this between two looks makes no progress
constexpr std::uint64_t min_progress_bytes = 1024;

/// Whether only the end of the connection ends the answer, so that a target that crashes may seem
/// to have finished it.
auto ends_with_connection(const response_head& head) -> bool
{
    return !find_field(head.fields, "Content-Length") &&
           !find_field(head.fields, "Transfer-Encoding");
}

} // namespace

auto forward_job::break_off(std::string_view cause) -> void
{
    auto event = event_of(request_event_kind::unusable);
    add_retry_facts(event);
    handle(event, cause, target_outcome::failed);
}

auto forward_job::note_progress() -> void
{
    const auto reached = streaming_events ? events.passed : answer_body.size();
    const auto least = streaming_events ? 1 : min_progress_bytes;
    if (reached >= answer_size + least) {
        answer_size = reached;
        last_progress = monotonic_now();
        looked_stalled = false;
    }
}

auto forward_job::watch_progress() -> void
{
    const auto limit = stall_timeout();
    const auto stalled = monotonic_now() - last_progress;
    auto event = event_of(request_event_kind::stalled);
    if (!paused && stalled >= limit && progress.repeatable) {
        add_retry_facts(event);
    }
    if (paused || stalled < limit || !can_move(progress, event)) {
        const auto next = stalled < limit ? limit - stalled : limit;
        attempt_timer = call_later(next, &forward_job::watch_progress);
        return;
    }
    if (!std::exchange(looked_stalled, true)) {
        attempt_timer = call_later(second_look_delay, &forward_job::watch_progress);
        return;
    }
    handle(event, "stalled", target_outcome::failed);
}

auto forward_job::is_from_target(int status, const answer_metadata& seen) const -> bool
{
    return status != misdirected && (seen.target_id.empty() || seen.target_id == target_id);
}

auto forward_job::note_rest() -> void
{
    auto* resting = attempted_target();
    if (resting == nullptr || answer.rest <= duration::zero() ||
        !is_from_target(answer_head.status, answer)) {
        return;
    }
    record_rest(*resting, answer.rest, monotonic_now());
    log_event(log_level::info, "target_wants_rest",
              {{"request", request.id},
               {"target", target_id},
               {"rest_ms", milliseconds_text(answer.rest)},
               {"executed", answer.not_executed ? "0" : "unknown"}});
    count_notice("rest");
}

auto forward_job::note_limit() -> void
{
    auto* announcing = attempted_target();
    if (announcing == nullptr || !is_from_target(answer_head.status, answer)) {
        return;
    }
    if (answer.limit) {
        count_notice("limit");
    }
    if (answer.limit_unreadable) {
        count_notice("limit_unreadable");
        if (sample_line(state.sampler, first_byte_at)) {
            log_event(log_level::warning, "limit_unreadable", {{"target", target_id}});
        }
    }
    // an answer without the request's id may come from something before the target
    if (!answer.limit && (answer.limit_unreadable || answer.request_id.empty())) {
        return;
    }
    const auto as_of = answer.limit ? first_byte_at : attempt_begun;
    const auto change =
        record_limit(*announcing, answer.limit, as_of, report_origin::own_answer, first_byte_at);
    if (change != limit_change::none) {
        log_event(
            log_level::info, "target_limit",
            {{"target", target_id},
             {"change", std::string{name_in(limit_change_names, change)}},
             {"limit", std::to_string(current_limit(announcing->limit, first_byte_at).value_or(0))},
             {"source", "answer"},
             {"request", request.id}});
    }
}

auto forward_job::note_leaving(int status, const answer_metadata& seen) -> void
{
    auto* leaving = attempted_target();
    if (leaving == nullptr || !seen.leaving || !is_from_target(status, seen)) {
        return;
    }
    const auto known_since = leaving->leaving_since;
    record_leaving(*leaving, monotonic_now());
    if (leaving->leaving_since != known_since) {
        log_event(log_level::info, "target_says_leaving",
                  {{"request", request.id},
                   {"target", target_id},
                   {"started", std::to_string(leaving->published.started_ms)},
                   {"status", std::to_string(status)},
                   {"in_flight", std::to_string(leaving->in_flight)}});
        count_notice("leaving");
    }
}

auto forward_job::count_notice(std::string_view notice) -> void
{
    state.metrics
        .counter_of("cyclamenpost_target_notices_total",
                    "What targets said of themselves in answers.",
                    {{"notice", std::string{notice}}})
        .add();
}

auto forward_job::on_answer_head(response_head& head) -> void
{
    first_byte_at = monotonic_now();
    last_progress = first_byte_at;
    looked_stalled = false;
    attempt_timer = call_later(stall_timeout(), &forward_job::watch_progress);
    answer = state.codec.decode_answer(head);
    answer_head = head;
    note_first_byte();
    note_rest();
    note_limit();
    auto* answering = attempted_target();
    if (answering != nullptr && is_from_target(head.status, answer)) {
        answering->answered_at = first_byte_at;
        if (answer.load) {
            record_load(*answering, answer.load->running, answer.load->waiting, first_byte_at,
                        answer.load->pace.value_or(1));
        }
        note_first_byte(*answering);
        if (answer.cold_remaining && *answer.cold_remaining > duration::zero()) {
            answering->cold_until =
                std::max(answering->cold_until, first_byte_at + *answer.cold_remaining);
        }
    }
    const auto success = head.status / 100 == 2;
    streaming_events = success && answer.event_stream && answer.has_receipt && !answer.encoded;
    answer_size = streaming_events ? events.passed : 0;
    if (streaming_events && affinity != 0) {
        state.last_prompt_targets.record(to_hex(affinity), target_id, first_byte_at);
    }
    if (streaming_events && !exchange->answer_started()) {
        auto passed = head;
        drop_hop_by_hop_fields(passed.fields);
        exchange->begin_stream(std::move(passed));
        advance(progress, event_of(request_event_kind::answer_started));
    }
}

auto forward_job::on_answer_body(std::string_view bytes) -> void
{
    if (streaming_events) {
        pass_events(bytes);
        return;
    }
    answer_body += bytes;
    note_progress();
    if (answer_body.size() > state.settings.max_answer_bytes) {
        break_off("answer_too_large");
        return;
    }
    if (!hold_bytes(state.buffered, held_bytes, answer_body.capacity())) {
        break_off("buffers_full");
    }
}

auto forward_job::pass_events(std::string_view bytes) -> void
{
    const auto whole = filter_events(events, bytes);
    exchange->write(whole);
    note_progress();
    if (events.passed >= events.passed_before + events_underway) {
        note_answer_underway();
    }
    if (events.gap || events.oversized) {
        break_off(events.gap ? "event_gap" : "event_too_large");
        return;
    }
    if (!hold_bytes(state.buffered, held_bytes, events.partial.capacity())) {
        break_off("buffers_full");
        return;
    }
    const auto most = exchange->memory_is_short() ? 0 : state.settings.max_unsent_bytes;
    if (!paused && exchange->unsent_bytes() > most) {
        paused = true;
        attempt.set_reading(false);
    }
}

auto forward_job::on_answer_complete() -> void
{
    const auto closed = ends_with_connection(answer_head);
    auto seen = complete_answer{};
    seen.status = answer_head.status;
    if (streaming_events) {
        seen.stream = judge_stream_end(events, closed);
    }
    seen.not_executed = answer.not_executed;
    seen.has_receipt = answer.has_receipt;
    seen.encoded = answer.encoded;
    seen.wants_rest = answer.rest > duration::zero();
    seen.continues = progress.answer_started;
    const auto verdict = judge_answer(seen);
    if (streaming_events && verdict.end == attempt_end::lost && closed && !answer_underway) {
        note_crash();
    }
    const auto begun = streaming_events ? verdict.end == attempt_end::answered
                                        : verdict.end != attempt_end::not_executed;
    if (begun && !closed) {
        note_answer_underway();
    }
    auto event = event_of(request_event_kind::answer_complete);
    event.verdict = verdict.end;
    if (verdict.health == target_outcome::rejected && verdict.end == attempt_end::not_executed) {
        note_rejection();
    }
    if (verdict.end != attempt_end::answered) {
        add_retry_facts(event);
    }
    handle(event, verdict.cause, verdict.health);
}

auto forward_job::on_attempt_failed(exchange_failure how) -> void
{
    auto event = event_of(request_event_kind::connection_ended);
    // a target that crashes may end its connections either way, also after the head of an answer
    const auto closed = how == exchange_failure::reset || how == exchange_failure::cut_short;
    if (event.sent && closed && !answer_underway) {
        note_crash();
    }
    add_retry_facts(event);
    handle(event, name_in(exchange_failure_names, how),
           event.sent ? target_outcome::failed : target_outcome::unreachable);
}

auto forward_job::note_answer_underway() -> void
{
    if (std::exchange(answer_underway, true)) {
        return;
    }
    for (const auto& key : keys) {
        add_begun(state.view.crashes, {key.id, first_byte_at});
    }
}

auto forward_job::note_crash() -> void
{
    auto seen = target_crash{name_key(target_id), 0, monotonic_now(), keys};
    seen.incarnation = static_cast<incarnation_id>(target_started_ms);
    auto key_texts = std::string{};
    for (const auto& key : keys) {
        key_texts += (key_texts.empty() ? "" : ",") + to_hex(key.id);
    }
    log_event(
        log_level::info, "target_ended_unbegun",
        {{"request", request.id}, {"target", target_id}, {"content_keys", std::move(key_texts)}});
    if (add_crash(state.view.crashes, seen) && state.report_crash) {
        state.report_crash(seen);
    }
}

auto forward_job::stall_timeout() const -> duration
{
    const auto patience =
        std::max({min_caller_patience, matched_route->latency_objective * patience_objectives,
                  matched_route->event_gap_objective * patience_gaps});
    return patience / stall_divisor;
}

} // namespace cyclamenpost::detail
