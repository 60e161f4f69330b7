#include "forward_job.hpp"

#include <algorithm>

#include "cyclamenpost/core/log.hpp"

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
// an answer about a missed deadline is sent this long before the request's time limit ends
constexpr duration reply_margin = std::chrono::milliseconds{20};

/// Whether only the end of the connection ends the answer, so that a target that crashes may seem
/// to have finished it.
auto ends_with_connection(const response_head& head) -> bool
{
    return !find_field(head.fields, "Content-Length") &&
           !find_field(head.fields, "Transfer-Encoding");
}

} // namespace

auto forward_job::time_left() const -> duration
{
    return std::max<duration>(deadline - monotonic_now(), duration::zero());
}

auto forward_job::draw() const -> double
{
    constexpr auto steps = 1000;
    return static_cast<double>(state.random() % steps) / steps;
}

/// Calls a member function after a delay, unless the job has ended by then.
auto forward_job::call_later(duration delay, void (forward_job::*step)()) -> timer
{
    return state.loop.call_after(delay, [weak = weak_from_this(), step] {
        if (const auto self = weak.lock()) {
            (*self.*step)();
        }
    });
}

auto forward_job::start() -> void
{
    arrived = exchange->first_byte_at;
    const auto limit =
        std::min(matched_route->timeout, request.deadline.value_or(matched_route->timeout));
    deadline = arrived + std::max<duration>(limit - reply_margin, limit / 2);
    events.last_event = request.last_event_id;
    keys.push_back({request_fingerprint(organisation_name, exchange->head.target, exchange->body),
                    whole_content_depth});
    exchange->on_cancelled = [this] { on_caller_gone(); };
    exchange->on_sent = [this] {
        if (std::exchange(paused, false)) {
            attempt.set_reading(true);
        }
    };
    deadline_timer = call_later(time_left(), &forward_job::on_deadline);
    limit_to_shutdown();
    if (stop_if_blocked()) {
        return;
    }
    progress.repeatable = repeatable(*matched_route);
    progress.max_runs = matched_route->max_attempts;
    if (service == nullptr) {
        handle(event_of(request_event_kind::no_target), "service_unknown",
               target_outcome::cancelled);
        return;
    }
    auto& budget = state.view.retry_budgets[service->name];
    budget.settings = state.view.retries;
    count_first_attempt(budget, monotonic_now());
    try_next();
}

auto forward_job::limit_to_shutdown() -> void
{
    if (state.view.stopping && state.view.stopping->end < deadline) {
        deadline = state.view.stopping->end;
        deadline_timer = call_later(time_left(), &forward_job::on_deadline);
    }
}

auto forward_job::try_next() -> void
{
    if (stop_if_blocked() || wait_behind_others()) {
        return;
    }
    auto query = query_targets();
    query.prefix_hash = affinity;
    query.prefix_tokens = shared_tokens;
    if (query.even_load) {
        query.random = draw_spread();
    }
    const auto choice = choose_target(state.view.targets, query, state.weights, monotonic_now());
    if (choice.chosen == nullptr) {
        wait_for_target(choice);
        return;
    }
    send_to(choice);
}

auto forward_job::send_to(const target_choice& choice) -> void
{
    const auto now = monotonic_now();
    auto& chosen = *choice.chosen;
    target_id = chosen.published.id;
    auto metadata = forwarding_metadata{};
    metadata.target_id = target_id;
    metadata.organisation = organisation_name;
    metadata.deadline = time_left();
    metadata.priority = priority;
    metadata.prompt_cache_source = find_prompt_cache_source(choice);
    if (matched_route->kind == route_kind::stream) {
        metadata.last_event_id = events.last_event;
    }
    log_event(log_level::debug, "target_chosen",
              {{"request", request.id},
               {"target", target_id},
               {"load", std::to_string(choice.load)},
               {"mean", std::to_string(choice.mean_load)},
               {"candidates", std::to_string(choice.candidate_count)},
               {"cold_without_quota", std::to_string(choice.cold_without_quota)},
               {"over_bound", choice.over_bound ? "1" : "0"},
               {"holder", choice.is_holder ? "1" : "0"},
               {"fetch_from", metadata.prompt_cache_source},
               {"same_zone", choice.same_zone ? "1" : "0"},
               {"share", std::to_string(choice.share)},
               {"age_ms", milliseconds_text(choice.believed.age)},
               {"pace", std::to_string(choice.believed.pace)},
               {"failure_share", std::to_string(choice.believed.failure_share)},
               {"busiest_to_mean", std::to_string(choice.busiest_to_mean)},
               {"differs", choice.differs ? "1" : "0"}});
    if (choice.share > 0) {
        record_spread(choice);
    }
    if (choice.over_bound) {
        state.metrics
            .counter_of("cyclamenpost_over_bound_choices_total",
                        "Requests sent to a target above the load bound, by whether targets that "
                        "were warming up had no quota left.",
                        {{"cold_without_quota", choice.cold_without_quota > 0 ? "1" : "0"}})
            .add();
    }
    auto outgoing = outgoing_request{};
    target_address = chosen.published.address;
    outgoing.address = target_address;
    outgoing.peer = target_id + "/" + std::to_string(chosen.published.started_ms);
    outgoing.head = state.codec.encode_request(exchange->head, metadata);
    outgoing.body = exchange->body;
    answer = {};
    answer_head = {};
    answer_body.clear();
    hold_bytes(state.buffered, held_bytes, 0);
    streaming_events = false;
    attempt_begun = now;
    looked_silent = false;
    note_step(state.view.start, start_step::first_sent, now);
    tried.insert(target_id);
    advance(progress, event_of(request_event_kind::attempt_begun));
    silence_noted = false;
    expected = expected_wait(state.view.targets, chosen, now);
    begin_request(state.view.targets, chosen, now);
    in_flight = true;
    answer_underway = false;
    begin_attempt(events);

    auto handlers = exchange_handlers{};
    handlers.identify = [this](const response_head& head) {
        const auto seen = state.codec.decode_answer(head);
        note_target_news(head.status, seen);
        if (seen.request_id.empty()) {
            return response_owner::unidentified;
        }
        return seen.request_id == request.id ? response_owner::own : response_owner::other;
    };
    handlers.on_head = [this](response_head& head) { on_answer_head(head); };
    handlers.on_body = [this](std::string_view bytes) { on_answer_body(bytes); };
    handlers.on_complete = [this] { on_answer_complete(); };
    handlers.on_failed = [this](exchange_failure how) { on_attempt_failed(how); };
    attempt = {};
    const auto self = shared_from_this();
    const auto begun = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(attempt, state.client.send(outgoing, std::move(handlers)));
            return {};
        },
        [&](const error& failure) { log_error("connect", failure); });
    if (!begun) {
        auto event = event_of(request_event_kind::connection_ended);
        event.sent = false;
        add_retry_facts(event);
        handle(event, "no_connection", target_outcome::unreachable);
        return;
    }
    attempt_timer = call_later(attempt.connected() ? silence_timeout() : connect_timeout(),
                               &forward_job::on_attempt_timeout);
}

/// Address of another target that probably has the prompt cached, when the chosen one probably does
/// not: copying the cache is many times faster than processing the prompt again.
auto forward_job::find_prompt_cache_source(const target_choice& choice) const -> std::string
{
    if (affinity == 0) {
        return {};
    }
    const auto last = state.last_prompt_targets.last_target(to_hex(affinity));
    if (last == choice.chosen->published.id) {
        return {};
    }
    const auto& known = state.view.targets.targets;
    const auto found = known.find(std::string{last});
    if (found != known.end() && can_export_cache(found->second, monotonic_now())) {
        return found->second.published.address;
    }
    return choice.alternate_holder != nullptr ? choice.alternate_holder->published.address
                                              : std::string{};
}

auto forward_job::on_attempt_timeout() -> void
{
    const auto silence = silence_timeout();
    const auto waited = monotonic_now() - attempt_begun;
    auto event = event_of(request_event_kind::silent);
    event.overdue = waited >= silence;
    if (looks_again(event)) {
        return;
    }
    if (event.connected && event.overdue) {
        note_silence();
    }
    if (!event.connected || (event.overdue && progress.repeatable)) {
        add_retry_facts(event);
    }
    attempt_timer = call_later(next_look(silence, waited), &forward_job::on_attempt_timeout);
    const auto early = event.connected && waited < longest_silence() && note_early_leave(event);
    const auto cause = early             ? "silent_early"
                       : event.connected ? "silent"
                       : event.sent      ? "connection_gone"
                                         : "connect_timeout";
    handle(event, cause, event.sent ? target_outcome::failed : target_outcome::unreachable);
}

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

auto forward_job::note_target_news(int status, const answer_metadata& seen) -> void
{
    const auto found = state.view.targets.targets.find(target_id);
    const auto is_other_target =
        status == misdirected || (!seen.target_id.empty() && seen.target_id != target_id);
    if (found == state.view.targets.targets.end() || is_other_target) {
        return;
    }
    if (seen.rest > duration::zero()) {
        record_rest(found->second, seen.rest, monotonic_now());
        log_event(log_level::info, "target_wants_rest",
                  {{"request", request.id},
                   {"target", target_id},
                   {"rest_ms", milliseconds_text(seen.rest)},
                   {"executed", seen.not_executed ? "0" : "unknown"}});
        count_notice("rest");
    }
    if (!seen.leaving) {
        return;
    }
    const auto known_since = found->second.leaving_since;
    record_leaving(found->second, monotonic_now());
    if (found->second.leaving_since != known_since) {
        log_event(log_level::info, "target_says_leaving",
                  {{"request", request.id},
                   {"target", target_id},
                   {"started", std::to_string(found->second.published.started_ms)},
                   {"status", std::to_string(status)},
                   {"in_flight", std::to_string(found->second.in_flight)}});
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
    const auto found = state.view.targets.targets.find(target_id);
    if (found != state.view.targets.targets.end() && head.status != misdirected) {
        found->second.answered_at = first_byte_at;
        if (answer.load) {
            record_load(found->second, answer.load->running, answer.load->waiting, first_byte_at,
                        answer.load->pace.value_or(1));
        }
        note_first_byte(found->second);
        if (answer.cold_remaining && *answer.cold_remaining > duration::zero()) {
            found->second.cold_until =
                std::max(found->second.cold_until, first_byte_at + *answer.cold_remaining);
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
    const auto found = state.view.targets.targets.find(target_id);
    if (found != state.view.targets.targets.end()) {
        seen.incarnation = static_cast<incarnation_id>(found->second.published.started_ms);
    }
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

auto forward_job::stop_if_blocked() -> bool
{
    if (answer_underway || !is_blocked(state.view.crashes, keys)) {
        return false;
    }
    // a repeat would be refused as well, so the longest wait is asked for
    handle(event_of(request_event_kind::blocked), "crashes_targets", target_outcome::cancelled,
           retry_after_delay(time_left(), 1));
    return true;
}

auto forward_job::release_target(target_outcome health) -> void
{
    attempt_timer.reset();
    if (!std::exchange(in_flight, false)) {
        return;
    }
    if (health == target_outcome::succeeded && service != nullptr) {
        record_request_time(state.view.targets, service->name, monotonic_now() - attempt_begun);
    }
    record_pressure(health);
    const auto found = state.view.targets.targets.find(target_id);
    if (found != state.view.targets.targets.end()) {
        end_request(state.view.targets, found->second, health,
                    service != nullptr ? service->cold_time : duration::zero(), monotonic_now());
    }
}

/// Requirements of this request for any target, regardless of prompt affinity.
auto forward_job::query_targets() const -> choice_query
{
    auto query = choice_query{};
    query.service = service->name;
    query.tried = &tried;
    query.cold_per_second = service->cold_per_second;
    query.own_id = state.view.own_id;
    query.members = &state.view.members;
    query.even_load = state.view.options.even_load;
    query.objective = matched_route->latency_objective;
    return query;
}

auto forward_job::stall_timeout() const -> duration
{
    const auto patience =
        std::max({min_caller_patience, matched_route->latency_objective * patience_objectives,
                  matched_route->event_gap_objective * patience_gaps});
    return patience / stall_divisor;
}

auto forward_job::has_untried_target() -> bool
{
    return choose_target(state.view.targets, query_targets(), state.weights, monotonic_now())
               .chosen != nullptr;
}

auto forward_job::event_of(request_event_kind kind) const -> request_event
{
    auto event = request_event{};
    event.kind = kind;
    event.sent = in_flight && attempt.sent();
    event.connected = attempt.connected();
    event.time_left = time_left() > duration::zero();
    return event;
}

auto forward_job::add_retry_facts(request_event& event) -> void
{
    event.target_available = has_untried_target();
    event.retry_allowed =
        retries_left(state.view.retry_budgets[service->name], monotonic_now()) > 0;
    event.room_expected = room_expected();
}

auto forward_job::record_attempt(const request_step& step, std::string_view cause) -> void
{
    const auto end = *step.attempt_ended;
    const auto record = attempt.record();
    const auto next = std::string{name_in(request_action_names, step.action)};
    state.metrics
        .counter_of("cyclamenpost_attempts_total", "Attempts at targets by end and next step.",
                    {{"end", std::string(name_in(attempt_end_names, end))}, {"next", next}})
        .add();
    log_event(end == attempt_end::answered ? log_level::debug : log_level::info, "attempt_ended",
              {{"request", request.id},
               {"target", target_id},
               {"address", target_address},
               {"end", std::string(name_in(attempt_end_names, end))},
               {"cause", std::string{cause}},
               {"status", std::to_string(answer_head.status)},
               {"took_ms", milliseconds_text(monotonic_now() - attempt_begun)},
               {"exchanges", std::to_string(record.earlier_exchanges)},
               {"established", record.established ? "1" : "0"},
               {"sent_bytes", std::to_string(record.sent_bytes)},
               {"runs", std::to_string(progress.runs)},
               {"next", next}});
}

auto forward_job::handle(const request_event& event, std::string_view cause, target_outcome health,
                         std::optional<duration> retry_after) -> void
{
    const auto self = shared_from_this();
    const auto step = advance(progress, event);
    if (!progress.attempting) {
        note_attempt_end(cause, health);
        attempt.cancel();
        release_target(health);
    }
    if (step.attempt_ended) {
        record_attempt(step, cause);
    }
    if (step.spends_retry) {
        spend_retry(state.view.retry_budgets[service->name], monotonic_now());
    }
    switch (step.action) {
    case request_action::wait:
        return;
    case request_action::try_target:
        if (step.after_pause) {
            pause_for_room();
            return;
        }
        try_next();
        return;
    case request_action::pass_answer:
        if (refuse_for_target(*step.attempt_ended, cause)) {
            return;
        }
        pass_answer(*step.attempt_ended);
        return;
    case request_action::end_stream:
        exchange->finish();
        finish(answer_head.status, "answered", cause);
        return;
    case request_action::refuse:
        send_local_reply(service_unavailable, retry_after ? *retry_after : refusal_delay(cause),
                         cause);
        return;
    case request_action::give_up:
        give_up(event.kind == request_event_kind::time_over ? gateway_timeout : bad_gateway, cause);
        return;
    case request_action::drop: {
        constexpr auto client_closed = 499;
        finish(client_closed, "caller_gone", cause);
        return;
    }
    }
}

} // namespace cyclamenpost::detail
