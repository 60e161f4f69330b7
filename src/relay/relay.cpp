#include "cyclamenpost/relay/relay.hpp"

#include <algorithm>

#include "cyclamenpost/core/log.hpp"
#include "relay_job.hpp"

namespace cyclamenpost {

namespace {

using namespace std::chrono_literals;

constexpr duration maintenance_period = 100ms;

auto priority_from_header(const http_request& request) -> priority
{
    const auto parsed = value_in(priority_names, header_value(request.headers, "x-priority"));
    return parsed.value_or(priority::normal);
}

auto log_result(const std::string& request, const std::string& target, std::string_view result,
                std::uint32_t attempts, duration elapsed) -> void
{
    log_event(log_level::info, "request_end",
              {{"request", request},
               {"target", target},
               {"result", std::string(result)},
               {"attempts", std::to_string(attempts)},
               {"ms", std::to_string(elapsed / 1ms)}});
}

} // namespace

relay::relay(relay_context context, const relay_options& options)
    : context_(context),
      options_(options),
      chats_(options_.chat_entries),
      queue_(make_fair_queue(options_.queue)),
      idempotency_(make_idempotency_table(context_.cluster.self().identity.id,
                                          context_.cluster.self().identity.incarnation,
                                          wall_clock_ms(), monotonic_now(), options_.idempotency))
{}

relay::~relay() = default;

auto relay::start() -> void
{
    periodic_timer_ = context_.loop.call_every(maintenance_period, [this] {
        expire();
        start_queued();
    });
}

auto relay::stop() -> void
{
    periodic_timer_.reset();
}

auto relay::drain() -> void
{
    draining_ = true;
}

auto relay::in_progress() const -> std::size_t
{
    return jobs_.size();
}

auto relay::key_prefix() const -> std::string
{
    return issue_key_prefix(idempotency_, monotonic_now());
}

auto relay::last_target(std::string_view chat) const -> std::string
{
    return std::string(chats_.last_target(chat));
}

auto relay::alternatives() const -> std::vector<instance_address>
{
    auto others = std::vector<instance_address>{};
    if (!context_.config.text().config) {
        return others;
    }
    const auto& config = *context_.config.text().config;
    for (const auto& member : live_members(context_.cluster.membership())) {
        const auto self = member.identity.id == context_.cluster.self().identity.id;
        if (!self && !zone_is_out_of_service(config, member.zone) && !member.http_address.empty()) {
            others.push_back({member.http_address, member.zone, member.identity.id});
        }
    }
    constexpr auto max_alternatives = std::size_t{3};
    others.resize(std::min(others.size(), max_alternatives));
    return others;
}

auto relay::make_job(http_request request, std::shared_ptr<http_exchange> exchange) -> job_ptr
{
    auto work = std::make_shared<job>();
    const auto now = monotonic_now();
    const auto& self = context_.cluster.self().identity;
    work->id = hash64(to_hex(self.incarnation) + std::to_string(next_job_number_++));
    work->request_id = to_hex(work->id);
    work->exchange = std::move(exchange);
    work->received = now;
    work->waiting_since = now;
    work->organisation = header_value(request.headers, "x-organisation");
    work->chat = header_value(request.headers, "x-chat-id");
    work->request_priority = priority_from_header(request);
    work->deadline =
        deadline_from_header(header_value(request.headers, "x-request-deadline-ms"), now);
    work->request = std::move(request);
    jobs_.emplace(work->id, work);
    work->exchange->on_closed([this, weak = std::weak_ptr(work)] {
        if (const auto pending = weak.lock()) {
            on_caller_disconnected(pending);
        }
    });
    return work;
}

auto relay::admission_refusal(const job& work, const service_config& service) const
    -> std::optional<problem>
{
    const auto& config = *context_.config.text().config;
    if (draining_) {
        return make_problem(refusal::instance_leaving, "This instance is shutting down.", 0,
                            alternatives());
    }
    if (zone_is_out_of_service(config, context_.cluster.self().zone)) {
        return make_problem(refusal::zone_out, "The operator has taken this instance's zone out.",
                            0, alternatives());
    }
    if (!context_.gates.service_usable(service.name)) {
        return make_problem(refusal::dependency_down,
                            "Service " + service.name +
                                " or a service that it depends on has no live target.",
                            outage_retry_after_ms);
    }
    if (work.crash_suspicion == suspicion::blocked) {
        return make_problem(refusal::crash_suspect,
                            "Targets died twice while they ran this request's content.");
    }
    if (work.deadline && *work.deadline <= work.received) {
        return make_problem(refusal::deadline_passed, "The deadline has passed.");
    }
    return std::nullopt;
}

auto relay::admit(const job_ptr& work) -> void
{
    const auto& config = *context_.config.text().config;
    const auto defaults = organisation_or_default(config, "");
    queue_.settings.default_share = {defaults.weight, defaults.max_concurrent};
    const auto organisation = organisation_or_default(config, work->organisation);
    set_share(queue_, work->organisation, {organisation.weight, organisation.max_concurrent});
    count_first_attempt(retry_budget_, work->received);
    record_event(*work, "request_accepted", "");
    if (start_directly(queue_, work->organisation)) {
        work->running = true;
        place(work);
        return;
    }
    enqueue(work);
}

auto relay::enqueue(const job_ptr& work) -> void
{
    if (std::exchange(work->running, false)) {
        finish_work(queue_, work->organisation);
    }
    const auto now = monotonic_now();
    const auto decision =
        enqueue_work(queue_,
                     {work->id, work->organisation, work->queue_class,
                      static_cast<std::uint64_t>(work->cost), work->waiting_since, work->deadline},
                     now);
    if (decision.displaced) {
        const auto displaced = jobs_.find(decision.displaced->id);
        if (displaced != jobs_.end()) {
            const auto other = displaced->second;
            refuse(other,
                   make_problem(refusal::queue_full, "The queue is full.", default_retry_after_ms));
        }
    }
    if (!decision.queued) {
        refuse(work, make_problem(decision.reason.value_or(refusal::queue_full),
                                  "The request cannot wait here.", default_retry_after_ms));
    }
}

auto relay::start_queued() -> void
{
    // placing a request can release a permit, for which the gate service calls this function again
    if (std::exchange(starting_queued_, true)) {
        return;
    }
    const auto now = monotonic_now();
    constexpr auto max_starts = 64;
    for (auto i = 0; i < max_starts; ++i) {
        const auto next = start_next_work(
            queue_,
            [&](const queued_work& candidate) {
                const auto found = jobs_.find(candidate.id);
                if (found == jobs_.end() || found->second->kind != service_kind::model) {
                    return true;
                }
                return choose_engine_for(*found->second, engine_views_for(*found->second))
                    .engine.has_value();
            },
            now);
        if (!next) {
            break;
        }
        const auto found = jobs_.find(next->id);
        if (found == jobs_.end()) {
            finish_work(queue_, next->organisation);
            continue;
        }
        const auto work = found->second;
        work->running = true;
        place(work);
    }
    starting_queued_ = false;
}

auto relay::place(const job_ptr& work) -> void
{
    if (work->kind == service_kind::model) {
        place_chat(work);
    }
    else {
        place_call(work);
    }
}

auto relay::expire() -> void
{
    const auto now = monotonic_now();
    for (const auto& expired : expire_work(queue_, now)) {
        const auto found = jobs_.find(expired.id);
        if (found == jobs_.end()) {
            continue;
        }
        const auto work = found->second;
        const auto past_deadline = work->deadline && *work->deadline <= now;
        const auto reason = past_deadline ? refusal::deadline_passed : refusal::queue_timeout;
        const auto detail = "No target had capacity in time.";
        refuse(work, work->ever_sent ? make_problem_after_send(reason, detail)
                                     : make_problem(reason, detail, default_retry_after_ms));
    }
    evict_expired(idempotency_, now);
    expire_crash_reports(suspects_, now);
}

auto relay::end_job(const job_ptr& work, std::string_view result) -> void
{
    if (std::exchange(work->ended, true)) {
        return;
    }
    work->retry_timer.reset();
    close_call_record(work);
    if (std::exchange(work->running, false)) {
        finish_work(queue_, work->organisation);
    }
    else {
        cancel_work(queue_, work->id);
    }
    jobs_.erase(work->id);
    const auto elapsed = monotonic_now() - work->received;
    log_result(work->request_id, work->target, result, work->attempts, elapsed);
    record_event(*work, "request_end", result);
    context_.metrics
        .counter_of("cyclamenpost_requests_total", "Requests by result.",
                    {{"result", std::string(result)}})
        .add();
    context_.loop.post([this] { start_queued(); });
}

auto relay::refuse(const job_ptr& work, const problem& document) -> void
{
    if (work->ended) {
        return;
    }
    if (work->answer_started) {
        // the status line was already sent, so an error event marks the stream as incomplete
        work->exchange->write("event: error\ndata: " + to_json(document) + "\n\n");
        work->exchange->finish();
        end_job(work, "broken_off");
        return;
    }
    auto headers =
        header_list{{"content-type", std::string(problem_content_type)},
                    {"x-request-id", work->request_id},
                    {"x-outcome", std::string(name_in(outcome_names, document.request_outcome))}};
    if (document.retry_after_ms > 0) {
        headers.push_back(
            {"retry-after", std::to_string(retry_after_seconds(document.retry_after_ms))});
    }
    log_event(log_level::info, "refusal",
              {{"request", work->request_id},
               {"reason", std::string(properties_of(document.reason).name)},
               {"outcome", std::string(name_in(outcome_names, document.request_outcome))},
               {"detail", document.detail}});
    work->exchange->respond(document.status, headers, to_json(document));
    end_job(work, name_in(outcome_names, document.request_outcome));
}

auto relay::on_caller_disconnected(const job_ptr& work) -> void
{
    if (work->ended) {
        return;
    }
    work->caller_disconnected = true;
    // a call that is not repeatable runs to its end, so that its outcome is recorded
    if (!work->repeatable && work->attempts > 0) {
        return;
    }
    if (work->call) {
        work->call->cancel();
    }
    if (work->permit) {
        context_.gates.release(*work->permit, permit_outcome::completed);
        work->permit.reset();
    }
    end_job(work, "caller_gone");
}

auto relay::record_event(const job& work, std::string_view event, std::string_view result) -> void
{
    auto entry = history_event{};
    entry.event = event;
    entry.request = work.request_id;
    entry.attempt = work.attempts;
    entry.instance = context_.cluster.self().identity.id;
    entry.incarnation = to_hex(context_.cluster.self().identity.incarnation);
    entry.target = work.target;
    entry.target_incarnation = work.target_incarnation;
    entry.config_version = in_force(context_.config.text()).version;
    entry.cost = static_cast<std::int64_t>(work.cost);
    entry.organisation = work.organisation;
    entry.chat = work.chat;
    entry.key = header_value(work.request.headers, "idempotency-key");
    entry.zone = context_.cluster.self().zone;
    entry.outcome = result;
    context_.history.write(std::move(entry));
}

auto relay::broadcast(const wire::envelope& message, bool whole_fleet) -> void
{
    const auto& self = context_.cluster.self();
    for (const auto& member : live_members(context_.cluster.membership())) {
        const auto is_recipient = whole_fleet || member.zone == self.zone;
        if (is_recipient && member.identity.id != self.identity.id) {
            context_.cluster.send(member.identity.id, message);
        }
    }
}

auto relay::on_target_lost(const std::string& target, incarnation_id incarnation,
                           const std::vector<std::uint64_t>& fingerprints) -> void
{
    erase_engine(cache_index_, target);
    // a lost host does not reset its connections, so its model requests are cancelled here and then
    // retried at another target
    for (const auto& [id, work] : jobs_) {
        if (work->target == target && work->call && work->kind == service_kind::model) {
            work->call->cancel();
        }
    }
    for (const auto fingerprint : fingerprints) {
        if (!add_crash_report(suspects_, {fingerprint, target, incarnation}, monotonic_now())) {
            continue;
        }
        log_event(log_level::warning, "strike",
                  {{"fingerprint", to_hex(fingerprint)},
                   {"target", target},
                   {"incarnation", to_hex(incarnation)}});
        auto message = wire::envelope{};
        message.mutable_strike()->set_fingerprint(fingerprint);
        message.mutable_strike()->set_target(target);
        message.mutable_strike()->set_target_incarnation(incarnation);
        broadcast(message, true);
    }
}

auto relay::on_cache_report(const cache_report& report) -> void
{
    update_cache_index(cache_index_, report.target, report.stored, report.evicted, monotonic_now());
}

auto relay::on_member(const member_change& change) -> void
{
    if (change.member.state == member_state::dead) {
        mark_origin_ended(idempotency_, change.member.identity.incarnation);
    }
}

auto relay::on_message(const wire::envelope& message) -> bool
{
    const auto now = monotonic_now();
    switch (message.body_case()) {
    case wire::envelope::kStrike:
        add_crash_report(suspects_,
                         {message.strike().fingerprint(), message.strike().target(),
                          message.strike().target_incarnation()},
                         now);
        return true;
    case wire::envelope::kStrikeClear:
        clear_crash_reports(suspects_, message.strike_clear().fingerprint(), now);
        return true;
    case wire::envelope::kOrderNumber: {
        const auto& body = message.order_number();
        auto update = order_number_update{};
        update.order_number_hash = body.hash();
        update.origin = message.from_incarnation();
        update.state = body.outcome() < withdrawn_order_outcome
                           ? static_cast<record_state>(body.outcome())
                           : record_state::unknown;
        update.withdrawn = body.outcome() == withdrawn_order_outcome;
        update.status = static_cast<int>(body.status());
        update.body = body.body();
        merge_order_number(idempotency_, update, now);
        return true;
    }
    default:
        return false;
    }
}

} // namespace cyclamenpost
