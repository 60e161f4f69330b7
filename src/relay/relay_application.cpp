#include <algorithm>

#include "cyclamenpost/core/log.hpp"
#include "relay_job.hpp"

namespace cyclamenpost {

namespace {

constexpr std::string_view service_prefix = "/services/";

/// Headers that are forwarded from the caller to the application and back.
constexpr std::array<std::string_view, 9> forwarded_headers{
    "content-type", "accept",        "if-match",     "if-none-match",   "etag",
    "location",     "last-modified", "order-number", "idempotency-key",
};

auto select_forwarded(const header_list& headers) -> header_list
{
    auto selected = header_list{};
    for (const auto& field : headers) {
        if (std::find(forwarded_headers.begin(), forwarded_headers.end(), field.name) !=
            forwarded_headers.end()) {
            selected.push_back(field);
        }
    }
    return selected;
}

} // namespace

auto relay::handle_service(http_request request, std::shared_ptr<http_exchange> exchange) -> void
{
    const auto work = make_job(std::move(request), std::move(exchange));
    work->kind = service_kind::application;
    if (!context_.config.ready()) {
        refuse(work, make_problem(refusal::not_ready, "This instance has no configuration yet.",
                                  default_retry_after_ms));
        return;
    }
    const auto service_path = std::string_view(work->request.path).substr(service_prefix.size());
    work->service = service_path.substr(0, service_path.find('/'));
    const auto* service = service_by_name(*context_.config.text().config, work->service);
    if (service == nullptr || service->kind != service_kind::application) {
        refuse(work, make_problem(refusal::unknown_service,
                                  "The operator's text names no application service " +
                                      work->service + "."));
        return;
    }
    work->repeatable = may_repeat(*service, work->request.method);
    work->fingerprint =
        request_fingerprint(work->organisation, work->request.path, work->request.body);
    work->crash_suspicion = suspicion_of(suspects_, work->fingerprint, work->received);
    // Examined before any other check: a repeated call that already ran must not be refused with
    // outcome "not_run" for another reason.
    if (!work->repeatable &&
        !apply_call_decision(work,
                             examine_call(idempotency_, call_request_of(*work), work->received))) {
        return;
    }
    if (const auto problem = admission_refusal(*work, *service)) {
        refuse(work, *problem);
        return;
    }
    if (work->repeatable || begin_recorded_call(work)) {
        admit(work);
    }
}

auto relay::key_owner_of(std::string_view key) const -> key_owner
{
    const auto issuer = foreign_owner(idempotency_, key);
    if (!issuer) {
        return {};
    }
    const auto member = find_member(context_.cluster.membership(), issuer->first);
    auto known = std::optional<known_incarnation>{};
    if (member && member->identity.start_ms != 0) {
        known = known_incarnation{member->identity.incarnation,
                                  static_cast<std::int64_t>(member->identity.start_ms),
                                  member->state != member_state::dead};
    }
    const auto state = owner_state_of(key, known);
    return {state, member ? member->http_address : std::string{},
            member ? member->zone : std::string{}};
}

auto relay::call_request_of(const job& work) const -> call_request
{
    const auto& headers = work.request.headers;
    auto call = call_request{};
    call.key = header_value(headers, "idempotency-key");
    call.content_hash =
        content_hash(work.organisation, work.request.method,
                     work.request.path + "?" + work.request.query, work.request.body);
    const auto order_number = header_value(headers, "order-number");
    if (!order_number.empty()) {
        call.order_number_hash = order_number_hash(work.organisation, work.service, order_number);
    }
    call.order_number_repeat = header_value(headers, "order-number-repeat") == "true";
    call.owner = key_owner_of(call.key);
    return call;
}

/// Records the start of a call that must not run more than once. Returns whether to dispatch it.
auto relay::begin_recorded_call(const job_ptr& work) -> bool
{
    const auto call = call_request_of(*work);
    const auto decision = begin_call(idempotency_, call, monotonic_now());
    work->owns_call_record = decision.action == call_action::run;
    if (work->owns_call_record) {
        broadcast_order_number(order_number_update_of(idempotency_, call.order_number_hash));
    }
    return apply_call_decision(work, decision);
}

/// Applies the decision about a call that must not run more than once: replays a recorded answer,
/// waits for a call in progress or refuses. Returns whether to dispatch the call.
auto relay::apply_call_decision(const job_ptr& work, const call_decision& decision) -> bool
{
    work->key_hash = decision.key_hash;
    log_event(log_level::info, "once",
              {{"request", work->request_id},
               {"key", to_hex(decision.key_hash)},
               {"decision", std::string(name_in(call_action_names, decision.action))}});
    switch (decision.action) {
    case call_action::run:
        return true;
    case call_action::wait:
        waiters_[decision.key_hash].push_back(work);
        return false;
    case call_action::refuse:
        refuse(work, *decision.document);
        return false;
    case call_action::replay:
        break;
    }
    work->exchange->respond(decision.answer->status,
                            {{"content-type", decision.answer->content_type},
                             {"x-request-id", work->request_id},
                             {"x-replayed", "true"}},
                            decision.answer->body);
    end_job(work, "replayed");
    return false;
}

auto relay::place_call(const job_ptr& work) -> void
{
    const auto targets = context_.gates.serving_targets(work->service);
    const fleet_target* chosen = nullptr;
    auto chosen_rank = std::pair<int, std::uint64_t>{};
    for (const auto& target : targets) {
        if (work->tried_targets.contains(target.target.name)) {
            continue;
        }
        const auto rank = std::pair(calls_in_progress_[target.target.name],
                                    hash64(work->request_id + target.target.name));
        if (chosen == nullptr || rank < chosen_rank) {
            chosen = &target;
            chosen_rank = rank;
        }
    }
    log_event(log_level::info, "placement",
              {{"request", work->request_id},
               {"service", work->service},
               {"candidates", std::to_string(targets.size())},
               {"choice", chosen != nullptr ? chosen->target.name : std::string("none")},
               {"reason", "least_calls"}});
    if (chosen == nullptr) {
        const auto detail = "No target of service " + work->service + " could be reached.";
        refuse(work, work->ever_sent
                         ? make_problem_after_send(refusal::no_target, detail)
                         : make_problem(refusal::no_target, detail, outage_retry_after_ms));
        return;
    }
    dispatch_call(work, *chosen);
}

auto relay::dispatch_call(const job_ptr& work, const fleet_target& target) -> void
{
    const auto service_path = std::string_view(work->request.path).substr(service_prefix.size());
    const auto slash = service_path.find('/');
    auto request = client_request{};
    request.address = target.target.address;
    request.method = work->request.method;
    request.path =
        slash == std::string_view::npos ? "/" : percent_encode(service_path.substr(slash));
    if (!work->request.query.empty()) {
        request.path += "?" + work->request.query;
    }
    request.body = work->request.body;
    request.headers = select_forwarded(work->request.headers);
    work->attempts += 1;
    work->target = target.target.name;
    request.headers.push_back({"x-request-id", work->request_id});
    request.headers.push_back({"x-attempt", std::to_string(work->attempts)});
    request.headers.push_back({"x-organisation", work->organisation});

    auto response = std::make_shared<client_response>();
    auto handlers = call_handlers{};
    handlers.before_send = [this, work] {
        work->ever_sent = true;
        record_event(*work, "dispatch", "");
        return true;
    };
    handlers.on_headers = [response](int status, const header_list& headers) {
        response->status = status;
        response->headers = headers;
    };
    handlers.on_data = [this, work, response](std::string_view bytes) {
        if (response->body.size() + bytes.size() > options_.max_answer_bytes) {
            work->call->cancel();
            return;
        }
        response->body += bytes;
    };
    handlers.on_end = [this, work, response](call_end end) {
        response->end = end;
        const auto sent = work->call->sent();
        calls_in_progress_[work->target] -= 1;
        on_call_end(work, *response, sent);
    };
    calls_in_progress_[work->target] += 1;
    work->call = start_call(context_.loop, std::move(request), std::move(handlers));
}

auto relay::on_call_end(const job_ptr& work, const client_response& response, bool sent) -> void
{
    if (work->ended) {
        return;
    }
    if (response.end == call_end::complete) {
        auto headers = select_forwarded(response.headers);
        headers.push_back({"x-request-id", work->request_id});
        headers.push_back({"x-target", work->target});
        if (!work->repeatable) {
            record_call_answer(work, response);
        }
        work->exchange->respond(response.status, headers, response.body);
        end_job(work, "complete");
        return;
    }
    auto input = retry_input{};
    input.repeatable = work->repeatable;
    input.sent = sent;
    input.attempts = work->attempts;
    input.deadline = work->deadline;
    const auto decision = decide_retry(retry_budget_, input, monotonic_now());
    log_event(log_level::info, "attempt_failed",
              {{"request", work->request_id},
               {"target", work->target},
               {"end", std::string(name_in(call_end_names, response.end))},
               {"verdict", std::string(name_in(retry_decision_names, decision))}});
    if (decision == retry_decision::retry) {
        work->tried_targets.insert(work->target);
        place_call(work);
        return;
    }
    const auto detail = "The target ended the call without a whole answer.";
    refuse(work, work->ever_sent && (sent || work->repeatable)
                     ? make_problem_after_send(refusal::target_lost, detail)
                     : make_problem(refusal::no_target, detail, default_retry_after_ms));
}

auto relay::record_call_answer(const job_ptr& work, const client_response& response) -> void
{
    auto answer = recorded_answer{};
    answer.status = response.status;
    answer.content_type = header_value(response.headers, "content-type");
    answer.body = response.body;
    work->owns_call_record = false;
    const auto recorded = std::make_shared<const recorded_answer>(answer);
    broadcast_order_number(complete_call(idempotency_, work->key_hash, std::move(answer)));
    answer_waiters(work->key_hash, recorded);
}

/// Closes the record of a call that ended without a complete answer. A call that was never sent may
/// run again; the outcome of one that was sent is unknown.
auto relay::close_call_record(const job_ptr& work) -> void
{
    if (!std::exchange(work->owns_call_record, false)) {
        return;
    }
    broadcast_order_number(work->ever_sent ? mark_outcome_unknown(idempotency_, work->key_hash)
                                           : withdraw_call(idempotency_, work->key_hash));
    answer_waiters(work->key_hash, nullptr);
}

auto relay::broadcast_order_number(const std::optional<order_number_update>& update) -> void
{
    if (!update) {
        return;
    }
    // a larger body is omitted; peers then receive only the outcome and the status
    constexpr auto max_broadcast_body_bytes = std::size_t{16384};
    auto message = wire::envelope{};
    auto* body = message.mutable_order_number();
    body->set_hash(update->order_number_hash);
    body->set_outcome(update->withdrawn ? withdrawn_order_outcome
                                        : static_cast<std::uint32_t>(update->state));
    body->set_status(static_cast<std::uint32_t>(update->status));
    body->set_body(update->body.size() <= max_broadcast_body_bytes ? update->body : std::string{});
    broadcast(message, false);
}

auto relay::answer_waiters(std::uint64_t key_hash,
                           const std::shared_ptr<const recorded_answer>& answer) -> void
{
    const auto found = waiters_.find(key_hash);
    if (found == waiters_.end()) {
        return;
    }
    const auto waiters = std::move(found->second);
    waiters_.erase(found);
    for (const auto& work : waiters) {
        if (work->ended) {
            continue;
        }
        if (!answer) {
            refuse(work, unknown_outcome_problem());
            continue;
        }
        work->exchange->respond(answer->status,
                                {{"content-type", answer->content_type},
                                 {"x-request-id", work->request_id},
                                 {"x-replayed", "true"}},
                                answer->body);
        end_job(work, "replayed");
    }
}

} // namespace cyclamenpost
