#include "forward_job.hpp"

#include <algorithm>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost::detail {

namespace {

// an answer about a missed deadline is sent this long before the request's time limit ends
constexpr duration reply_margin = std::chrono::milliseconds{20};

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
    if (query.even_load) {
        query.random = draw_spread();
    }
    const auto choice = choose_target(state.view.targets, query, state.weights, monotonic_now());
    if (choice.limited > 0) {
        state.metrics
            .counter_of("cyclamenpost_limited_choices_total",
                        "Choices that passed over targets because of their announced limits, by "
                        "whether another target was chosen.",
                        {{"chosen", choice.chosen != nullptr ? "1" : "0"}})
            .add();
    }
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
               {"limited", std::to_string(choice.limited)},
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
    target_started_ms = chosen.published.started_ms;
    outgoing.address = target_address;
    outgoing.peer = target_id + "/" + std::to_string(target_started_ms);
    outgoing.id = request.id;
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
    record_prompt_size(state.view.targets, service->name, shared_tokens);
    begin_request(state.view.targets, chosen, now);
    in_flight = true;
    answer_underway = false;
    begin_attempt(events);

    auto handlers = exchange_handlers{};
    handlers.id_of = [this](const response_head& head) {
        const auto seen = state.codec.decode_answer(head);
        note_leaving(head.status, seen);
        return seen.request_id;
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
    count_passed_over();
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

auto forward_job::attempted_target() const -> target*
{
    const auto found = state.view.targets.targets.find(target_id);
    if (found == state.view.targets.targets.end()) {
        return nullptr;
    }
    const auto& listed = found->second.published;
    const auto same_start =
        listed.started_ms == target_started_ms && listed.address == target_address;
    return same_start ? &found->second : nullptr;
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
        // requests in flight are kept over a restart, the state of health is not
        const auto outcome = attempted_target() != nullptr ? health : target_outcome::cancelled;
        end_request(state.view.targets, found->second, outcome,
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
    query.prefix_tokens = shared_tokens;
    return query;
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
               {"connection", std::to_string(record.connection)},
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
