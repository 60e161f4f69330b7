#include <algorithm>

#include "cyclamenpost/core/log.hpp"
#include "relay_job.hpp"

namespace cyclamenpost {

namespace {

constexpr std::string_view service_prefix = "/services/";

/// Headers of a caller that are passed to an application, and back.
constexpr std::array<std::string_view, 9> passed_headers{
    "content-type", "accept",        "if-match",     "if-none-match",   "etag",
    "location",     "last-modified", "order-number", "idempotency-key",
};

auto passed(const header_list& headers) -> header_list
{
    auto chosen = header_list{};
    for (const auto& field : headers) {
        if (std::find(passed_headers.begin(), passed_headers.end(), field.name) !=
            passed_headers.end()) {
            chosen.push_back(field);
        }
    }
    return chosen;
}

} // namespace

auto relay::handle_service(http_request request, std::shared_ptr<http_exchange> exchange) -> void
{
    const auto work = make_job(std::move(request), std::move(exchange));
    work->kind = service_kind::application;
    if (!context_.config.ready()) {
        refuse(work,
               make_problem(refusal::not_ready, "This instance has no configuration yet.", 1000));
        return;
    }
    const auto rest = std::string_view(work->request.path).substr(service_prefix.size());
    work->service = rest.substr(0, rest.find('/'));
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
    work->suspect = suspicion_of(suspects_, work->fingerprint, work->received);
    // a repeat of a call that ran must never be answered "not run" for another reason
    if (!work->repeatable &&
        !proceed_once(work, examine_call(once_, call_of(*work), work->received))) {
        return;
    }
    if (const auto problem = refusal_before_start(*work, *service)) {
        refuse(work, *problem);
        return;
    }
    if (work->repeatable || begin_once(work)) {
        admit(work);
    }
}

auto relay::owner_of(std::string_view key) const -> key_owner
{
    const auto foreign = foreign_owner(once_, key);
    if (!foreign) {
        return {};
    }
    const auto member = find_member(context_.cluster.membership(), foreign->first);
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

auto relay::call_of(const job& work) const -> call_request
{
    const auto& headers = work.request.headers;
    auto call = call_request{};
    call.key = header_value(headers, "idempotency-key");
    call.content_hash =
        content_hash(work.organisation, work.request.method,
                     work.request.path + "?" + work.request.query, work.request.body);
    const auto number = header_value(headers, "order-number");
    if (!number.empty()) {
        call.order_number_hash = order_number_hash(work.organisation, work.service, number);
    }
    call.order_number_repeat = header_value(headers, "order-number-repeat") == "true";
    call.owner = owner_of(call.key);
    return call;
}

/// Records that a call that may not be repeated begins. Returns whether it is to run.
auto relay::begin_once(const job_ptr& work) -> bool
{
    const auto call = call_of(*work);
    const auto decision = begin_call(once_, call, monotonic_now());
    work->once_open = decision.action == call_action::run;
    if (work->once_open) {
        spread_order(order_number_update_of(once_, call.order_number_hash));
    }
    return proceed_once(work, decision);
}

/// Acts on a decision about a call that may not be repeated. Returns whether it is to run.
auto relay::proceed_once(const job_ptr& work, const call_decision& decision) -> bool
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
    const fleet_target* best = nullptr;
    auto best_rank = std::pair<int, std::uint64_t>{};
    for (const auto& target : targets) {
        if (work->tried.contains(target.target.name)) {
            continue;
        }
        const auto rank = std::pair(calls_at_target_[target.target.name],
                                    hash64(work->request_id + target.target.name));
        if (best == nullptr || rank < best_rank) {
            best = &target;
            best_rank = rank;
        }
    }
    log_event(log_level::info, "placement",
              {{"request", work->request_id},
               {"service", work->service},
               {"candidates", std::to_string(targets.size())},
               {"choice", best != nullptr ? best->target.name : std::string("none")},
               {"reason", "least_calls"}});
    if (best == nullptr) {
        const auto detail = "No target of service " + work->service + " could be reached.";
        refuse(work, work->ever_sent ? make_problem_after_send(refusal::no_target, detail)
                                     : make_problem(refusal::no_target, detail, 2000));
        return;
    }
    dispatch_call(work, *best);
}

auto relay::dispatch_call(const job_ptr& work, const fleet_target& target) -> void
{
    const auto rest = std::string_view(work->request.path).substr(service_prefix.size());
    const auto slash = rest.find('/');
    auto request = client_request{};
    request.address = target.target.address;
    request.method = work->request.method;
    request.path = slash == std::string_view::npos ? "/" : percent_encode(rest.substr(slash));
    if (!work->request.query.empty()) {
        request.path += "?" + work->request.query;
    }
    request.body = work->request.body;
    request.headers = passed(work->request.headers);
    work->attempts += 1;
    work->target = target.target.name;
    request.headers.push_back({"x-request-id", work->request_id});
    request.headers.push_back({"x-attempt", std::to_string(work->attempts)});
    request.headers.push_back({"x-organisation", work->organisation});

    auto response = std::make_shared<client_response>();
    auto handlers = call_handlers{};
    handlers.before_send = [this, work] {
        work->ever_sent = true;
        record(*work, "dispatch", "");
        return true;
    };
    handlers.on_headers = [response](int status, const header_list& headers) {
        response->status = status;
        response->headers = headers;
    };
    handlers.on_data = [this, work, response](std::string_view bytes) {
        if (response->body.size() + bytes.size() > options_.answer_bytes) {
            work->call->cancel();
            return;
        }
        response->body += bytes;
    };
    handlers.on_end = [this, work, response](call_end end) {
        response->end = end;
        const auto sent = work->call->sent();
        calls_at_target_[work->target] -= 1;
        on_call_end(work, *response, sent);
    };
    calls_at_target_[work->target] += 1;
    work->call = start_call(context_.loop, std::move(request), std::move(handlers));
}

auto relay::on_call_end(const job_ptr& work, const client_response& response, bool sent) -> void
{
    if (work->ended) {
        return;
    }
    if (response.end == call_end::complete) {
        auto headers = passed(response.headers);
        headers.push_back({"x-request-id", work->request_id});
        headers.push_back({"x-target", work->target});
        if (!work->repeatable) {
            complete_once(work, response);
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
    const auto verdict = decide_retry(budget_, input, monotonic_now());
    log_event(log_level::info, "attempt_failed",
              {{"request", work->request_id},
               {"target", work->target},
               {"end", std::string(name_in(call_end_names, response.end))},
               {"verdict", std::string(name_in(retry_decision_names, verdict))}});
    if (verdict == retry_decision::retry) {
        work->tried.insert(work->target);
        place_call(work);
        return;
    }
    const auto detail = "The target ended the call without a whole answer.";
    refuse(work, work->ever_sent && (sent || work->repeatable)
                     ? make_problem_after_send(refusal::target_lost, detail)
                     : make_problem(refusal::no_target, detail, 1000));
}

auto relay::complete_once(const job_ptr& work, const client_response& response) -> void
{
    auto answer = recorded_answer{};
    answer.status = response.status;
    answer.content_type = header_value(response.headers, "content-type");
    answer.body = response.body;
    work->once_open = false;
    const auto recorded = std::make_shared<const recorded_answer>(answer);
    spread_order(complete_call(once_, work->key_hash, std::move(answer)));
    answer_waiters(work->key_hash, recorded);
}

/// Closes the record of a call that ended without a whole answer: a call that was never sent may
/// run again, the outcome of one that was sent is unknown.
auto relay::close_once(const job_ptr& work) -> void
{
    if (!std::exchange(work->once_open, false)) {
        return;
    }
    spread_order(work->ever_sent ? mark_outcome_unknown(once_, work->key_hash)
                                 : withdraw_call(once_, work->key_hash));
    answer_waiters(work->key_hash, nullptr);
}

auto relay::spread_order(const std::optional<order_number_update>& notice) -> void
{
    if (!notice) {
        return;
    }
    // a body beyond this size is left out; peers then know the outcome and the status
    constexpr auto max_spread_body = std::size_t{16384};
    auto message = wire::envelope{};
    auto* body = message.mutable_order_number();
    body->set_hash(notice->order_number_hash);
    body->set_outcome(notice->withdrawn ? 3U : static_cast<std::uint32_t>(notice->state));
    body->set_status(static_cast<std::uint32_t>(notice->status));
    body->set_body(notice->body.size() <= max_spread_body ? notice->body : std::string{});
    broadcast(message, false);
}

auto relay::answer_waiters(std::uint64_t key_hash,
                           const std::shared_ptr<const recorded_answer>& answer) -> void
{
    const auto found = waiters_.find(key_hash);
    if (found == waiters_.end()) {
        return;
    }
    const auto waiting = std::move(found->second);
    waiters_.erase(found);
    for (const auto& work : waiting) {
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
