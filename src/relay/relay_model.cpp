#include <algorithm>

#include <nlohmann/json.hpp>

#include "cyclamenpost/core/log.hpp"
#include "relay_job.hpp"

namespace cyclamenpost {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// bytes of text per token, the usual estimate for byte-pair encodings
constexpr std::size_t bytes_per_token = 4;
// about 10,000 prompt tokens per second
constexpr double prefill_seconds_per_token = 0.0001;
constexpr std::uint64_t default_output_tokens = 256;
// requests of at least this cost, in cost units, are queued as summaries
constexpr double min_summary_cost = 16;
// successive permit refusals after which the request returns to the queue
constexpr std::uint32_t max_permit_refusals = 4;
// the gate of a crashed target notices the crash on its event stream within this time, so that the
// retry takes the crash report into account
constexpr duration crash_report_delay = 100ms;

auto roles_and_texts(const json& messages) -> std::vector<std::pair<std::string, std::string>>
{
    auto parts = std::vector<std::pair<std::string, std::string>>{};
    for (const auto& message : messages) {
        const auto& content = message.at("content");
        parts.emplace_back(message.at("role").get<std::string>(),
                           content.is_string() ? content.get<std::string>() : content.dump());
    }
    return parts;
}

auto invalid_request(std::string detail) -> problem
{
    return make_problem(refusal::request_invalid, std::move(detail));
}

/// The first names in order of preference, for the log.
auto candidate_names(const std::vector<engine_view>& views, const std::vector<std::size_t>& order)
    -> std::string
{
    constexpr auto max_names = std::size_t{4};
    auto names = std::string{};
    for (auto i = std::size_t{0}; i < std::min(order.size(), max_names); ++i) {
        names += (i > 0 ? "," : "") + views[order[i]].id;
    }
    return names;
}

} // namespace

auto relay::parse_chat_request(job& work) -> std::optional<problem>
{
    try {
        const auto body = json::parse(work.request.body);
        work.model = body.at("model").get<std::string>();
        work.stream = body.value("stream", false);
        if (!body.at("messages").is_array()) {
            return invalid_request("\"messages\" is not an array.");
        }
        work.prefix_hashes = prompt_prefixes(roles_and_texts(body["messages"]));
        const auto output_tokens = body.value("max_tokens", default_output_tokens);
        auto prompt_tokens = work.request.body.size() / bytes_per_token;
        if (!chats_.last_target(work.chat).empty()) {
            // the engine that last served the chat has all messages but the newest in its cache
            const auto newest = body["messages"].empty() ? json{} : body["messages"].back();
            const auto total_tokens = prompt_tokens;
            prompt_tokens = newest.dump().size() / bytes_per_token;
            work.cached_tokens = total_tokens - std::min(total_tokens, prompt_tokens);
        }
        work.cost = request_cost(prompt_tokens, output_tokens);
    }
    catch (const json::exception& exception) {
        return invalid_request(std::string("The body is not a chat completion request: ") +
                               exception.what());
    }
    if (work.chat.empty()) {
        work.chat = work.request_id;
    }
    work.queue_class =
        work.cost >= min_summary_cost ? work_class::summary : work_class::interactive;
    return std::nullopt;
}

auto relay::handle_chat(http_request request, std::shared_ptr<http_exchange> exchange) -> void
{
    const auto work = make_job(std::move(request), std::move(exchange));
    work->kind = service_kind::model;
    if (work->request.method != "POST") {
        refuse(work, invalid_request("Chat completions are requested with POST."));
        return;
    }
    if (!context_.config.ready()) {
        refuse(work, make_problem(refusal::not_ready, "This instance has no configuration yet.",
                                  default_retry_after_ms));
        return;
    }
    if (const auto problem = parse_chat_request(*work)) {
        refuse(work, *problem);
        return;
    }
    const auto* service = service_of_model(*context_.config.text().config, work->model);
    if (service == nullptr) {
        refuse(work, make_problem(refusal::unknown_model,
                                  "No service offers model " + work->model + "."));
        return;
    }
    work->service = service->name;
    work->fingerprint =
        request_fingerprint(work->organisation, work->request.path, work->request.body);
    work->crash_suspicion = suspicion_of(suspects_, work->fingerprint, work->received);
    if (const auto problem = admission_refusal(*work, *service)) {
        refuse(work, *problem);
        return;
    }
    admit(work);
}

/// Engines that serve the request's model. Those that already failed or refused the request, and
/// those that isolation of crash suspects excludes, are marked as gone.
auto relay::engine_views_for(const job& work) const -> std::vector<engine_view>
{
    auto views = context_.gates.engine_views(work.service, work.model);
    auto running_suspects = std::map<std::string, std::size_t>{};
    if (work.crash_suspicion != suspicion::none) {
        for (const auto& [id, other] : jobs_) {
            const auto is_running = other->permit && other->id != work.id;
            running_suspects[other->target] +=
                is_running && other->crash_suspicion != suspicion::none ? 1 : 0;
        }
    }
    const auto holder = longest_prefix_engine(cache_index_, work.prefix_hashes);
    for (auto& view : views) {
        view.cache_hint = view.id == holder;
        const auto allowed = work.crash_suspicion == suspicion::none ||
                             isolation_allows(work.crash_suspicion, running_suspects[view.id]);
        if (work.tried_targets.contains(view.id) || !allowed) {
            view.state = target_state::gone;
        }
    }
    return views;
}

auto relay::choose_engine_for(const job& work, const std::vector<engine_view>& views) const
    -> placement_decision
{
    auto limits = placement_limits{};
    limits.load_multiple = context_.config.text().config->fleet.load_multiple;
    const auto last_target = chats_.last_target(work.chat);
    const auto waited_seconds =
        std::chrono::duration<double>(monotonic_now() - work.waiting_since).count();
    auto request = placement_request{};
    request.chat = work.chat;
    request.cost = work.cost;
    request.last_target = last_target;
    request.may_hold =
        waited_seconds < max_hold_seconds(work.cached_tokens, prefill_seconds_per_token, limits);
    return choose_engine(request, views,
                         context_.gates.model_mean_load(work.model, views, work.cost), limits);
}

auto relay::place_chat(const job_ptr& work) -> void
{
    const auto views = engine_views_for(*work);
    const auto choice = choose_engine_for(*work, views);
    const auto mean = context_.gates.model_mean_load(work->model, views, work->cost);
    const auto order = preference_order(work->chat, views);
    work->placement_reason = name_in(placement_reason_names, choice.reason);
    log_event(log_level::info, "placement",
              {{"request", work->request_id},
               {"chat", work->chat},
               {"candidates", candidate_names(views, order)},
               {"choice", choice.engine ? views[*choice.engine].id : std::string("none")},
               {"reason", work->placement_reason},
               {"cost", std::to_string(static_cast<int>(work->cost))},
               {"mean", std::to_string(mean)}});
    if (!choice.engine) {
        work->tried_targets.clear();
        enqueue(work);
        return;
    }
    work->target = views[*choice.engine].id;
    const auto permit_id = hash64(work->request_id + "." + std::to_string(work->attempts) + "." +
                                  std::to_string(work->permit_refusals));
    context_.gates.acquire(
        work->target, permit_id, work->cost, work->fingerprint,
        [this, work](permit_answer answer) { on_permit_answer(work, std::move(answer)); });
}

auto relay::on_permit_answer(const job_ptr& work, permit_answer answer) -> void
{
    if (answer.granted && (work->ended || work->caller_disconnected)) {
        context_.gates.release(answer.permit, permit_outcome::unused);
        return;
    }
    if (work->ended) {
        return;
    }
    if (answer.granted) {
        work->permit = answer.permit;
        work->permit_refusals = 0;
        dispatch_chat(work);
        return;
    }
    log_event(log_level::info, "permit_refused",
              {{"request", work->request_id}, {"target", work->target}, {"reason", answer.reason}});
    work->tried_targets.insert(work->target);
    work->permit_refusals += 1;
    if (work->permit_refusals % max_permit_refusals != 0) {
        context_.loop.post([this, work] {
            if (!work->ended) {
                place_chat(work);
            }
        });
        return;
    }
    work->tried_targets.clear();
    enqueue(work);
}

auto relay::dispatch_chat(const job_ptr& work) -> void
{
    work->attempts += 1;
    work->status = 0;
    work->done_received = false;
    work->events.buffer.clear();
    work->answer_body.clear();
    auto request = client_request{};
    request.address = context_.gates.find_target(work->target)->target.address;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = work->request.body;
    request.headers = {
        {"content-type", "application/json"},
        {"x-request-id", work->request_id},
        {"x-attempt", std::to_string(work->attempts)},
        {"x-chat-id", work->chat},
        {"x-organisation", work->organisation},
        {"x-cost", std::to_string(static_cast<int>(work->cost))},
        {"x-priority", std::string(name_in(priority_names, work->request_priority))}};
    if (work->tokens_sent > 0) {
        request.headers.push_back({"x-resume-from", std::to_string(work->tokens_sent)});
    }
    if (work->deadline) {
        request.headers.push_back(
            {"x-request-deadline-ms", deadline_header(*work->deadline, monotonic_now())});
    }
    auto handlers = call_handlers{};
    handlers.before_send = [this, work] {
        const auto permit_valid = work->permit && context_.gates.valid(*work->permit);
        if (permit_valid) {
            work->ever_sent = true;
            record_event(*work, "dispatch", "");
        }
        return permit_valid;
    };
    handlers.on_headers = [this, work](int status, const header_list& headers) {
        work->target_incarnation = header_value(headers, "x-target-incarnation");
        work->answer_content_type = header_value(headers, "content-type");
        on_chat_headers(work, status);
    };
    handlers.on_data = [this, work](std::string_view bytes) { on_chat_data(work, bytes); };
    handlers.on_end = [this, work](call_end end) { on_chat_end(work, end); };
    work->call = start_call(context_.loop, std::move(request), std::move(handlers));
}

auto relay::on_chat_headers(const job_ptr& work, int status) -> void
{
    work->status = status;
}

auto relay::on_chat_data(const job_ptr& work, std::string_view bytes) -> void
{
    if (work->ended) {
        return;
    }
    if (!work->stream || work->status != 200) {
        if (work->answer_body.size() + bytes.size() > options_.max_answer_bytes) {
            work->call->cancel();
            return;
        }
        work->answer_body += bytes;
        return;
    }
    const auto within_limit =
        feed(work->events, bytes, [&](const stream_event& event) { on_chat_event(work, event); });
    if (!within_limit) {
        work->call->cancel();
        return;
    }
    if (work->exchange->buffered_bytes() > options_.max_buffered_bytes) {
        work->call->set_reading(false);
        work->exchange->on_drained([weak = std::weak_ptr(work->call)] {
            if (const auto call = weak.lock()) {
                call->set_reading(true);
            }
        });
    }
}

auto relay::on_chat_event(const job_ptr& work, const stream_event& event) -> void
{
    if (event.data == "[DONE]") {
        // sent to the caller after the connection has ended cleanly
        work->done_received = true;
        return;
    }
    if (!event.name.empty()) {
        return;
    }
    if (!std::exchange(work->answer_started, true)) {
        work->exchange->begin_stream(200, {{"content-type", "text/event-stream"},
                                           {"cache-control", "no-store"},
                                           {"x-request-id", work->request_id},
                                           {"x-target", work->target},
                                           {"x-instance", context_.cluster.self().identity.id}});
        const auto elapsed_ms =
            std::chrono::duration<double, std::milli>(monotonic_now() - work->received);
        context_.metrics.summary_of("cyclamenpost_first_token_ms", "Time to the first token.")
            .observe(elapsed_ms.count());
    }
    work->tokens_sent += 1;
    work->exchange->write(event.raw);
}

auto relay::on_chat_end(const job_ptr& work, call_end end) -> void
{
    if (work->ended) {
        return;
    }
    work->call = nullptr;
    const auto completed =
        end == call_end::complete && work->status == 200 && (!work->stream || work->done_received);
    if (work->permit) {
        const auto never_ran = end == call_end::not_connected || end == call_end::not_sent;
        const auto result = completed
                                ? permit_outcome::completed
                                : (never_ran ? permit_outcome::unused : permit_outcome::failed);
        context_.gates.release(*std::exchange(work->permit, std::nullopt), result);
    }
    if (completed) {
        complete_chat(work);
        return;
    }
    const auto rejected_by_target = end == call_end::complete && work->status >= 400 &&
                                    work->status < 500 && work->status != 429;
    if (rejected_by_target && !work->answer_started) {
        work->exchange->respond(
            work->status,
            {{"content-type", work->answer_content_type}, {"x-request-id", work->request_id}},
            work->answer_body);
        end_job(work, "target_refused");
        return;
    }
    retry_chat(work, end);
}

auto relay::complete_chat(const job_ptr& work) -> void
{
    const auto now = monotonic_now();
    chats_.record(work->chat, work->target, now);
    if (work->crash_suspicion != suspicion::none &&
        clear_crash_reports(suspects_, work->fingerprint, now)) {
        auto message = wire::envelope{};
        message.mutable_strike_clear()->set_fingerprint(work->fingerprint);
        broadcast(message, true);
    }
    if (work->stream) {
        work->exchange->write("data: [DONE]\n\n");
        work->exchange->finish();
    }
    else {
        work->exchange->respond(200,
                                {{"content-type", work->answer_content_type},
                                 {"x-request-id", work->request_id},
                                 {"x-target", work->target},
                                 {"x-instance", context_.cluster.self().identity.id}},
                                work->answer_body);
    }
    end_job(work, "complete");
}

auto relay::retry_chat(const job_ptr& work, call_end end) -> void
{
    const auto now = monotonic_now();
    auto input = retry_input{};
    // generating an answer again has no effect besides its cost, and a started stream is resumed
    input.repeatable = true;
    input.sent = end != call_end::not_connected && end != call_end::not_sent;
    input.attempts = work->attempts;
    input.deadline = work->deadline;
    const auto decision = decide_retry(retry_budget_, input, now);
    log_event(log_level::info, "attempt_failed",
              {{"request", work->request_id},
               {"target", work->target},
               {"end", std::string(name_in(call_end_names, end))},
               {"status", std::to_string(work->status)},
               {"tokens", std::to_string(work->tokens_sent)},
               {"verdict", std::string(name_in(retry_decision_names, decision))}});
    if (decision != retry_decision::retry) {
        fail_chat(work, refusal::target_lost, "The target did not complete the answer.");
        return;
    }
    work->tried_targets.insert(work->target);
    work->retry_timer = context_.loop.call_after(crash_report_delay, [this, work] {
        if (work->ended) {
            return;
        }
        work->waiting_since = monotonic_now();
        work->crash_suspicion = suspicion_of(suspects_, work->fingerprint, work->waiting_since);
        if (work->crash_suspicion == suspicion::blocked) {
            fail_chat(work, refusal::crash_suspect,
                      "Targets died twice while they ran this request.");
            return;
        }
        place_chat(work);
    });
}

auto relay::fail_chat(const job_ptr& work, refusal reason, const std::string& detail) -> void
{
    const auto document = work->ever_sent ? make_problem_after_send(reason, detail)
                                          : make_problem(reason, detail, default_retry_after_ms);
    refuse(work, document);
}

} // namespace cyclamenpost
