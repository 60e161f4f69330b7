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
// prefill of about 10,000 tokens a second
constexpr double prefill_seconds_per_token = 0.0001;
constexpr std::uint64_t default_output_tokens = 256;
// requests of this cost or more wait in the class of summaries
constexpr double summary_cost = 16;
constexpr std::uint32_t max_permit_refusals = 4;
// a target's death is seen by its gate's event stream within this time, so a retry takes the crash
// report into account
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

auto invalid(std::string detail) -> problem
{
    return make_problem(refusal::request_invalid, std::move(detail));
}

auto names_of(const std::vector<engine_view>& views, const std::vector<std::size_t>& order)
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

auto relay::read_chat_request(job& work) -> std::optional<problem>
{
    try {
        const auto body = json::parse(work.request.body);
        work.model = body.at("model").get<std::string>();
        work.stream = body.value("stream", false);
        if (!body.at("messages").is_array()) {
            return invalid("\"messages\" is not an array.");
        }
        work.prefixes = prompt_prefixes(roles_and_texts(body["messages"]));
        const auto output = body.value("max_tokens", default_output_tokens);
        auto prompt = work.request.body.size() / bytes_per_token;
        if (!chats_.last_target(work.chat).empty()) {
            // the engine that served the chat holds all but the newest message
            const auto newest = body["messages"].empty() ? json{} : body["messages"].back();
            const auto whole = prompt;
            prompt = newest.dump().size() / bytes_per_token;
            work.cached_tokens = whole - std::min(whole, prompt);
        }
        work.cost = request_cost(prompt, output);
    }
    catch (const json::exception& failure) {
        return invalid(std::string("The body is not a chat completion request: ") + failure.what());
    }
    if (work.chat.empty()) {
        work.chat = work.request_id;
    }
    work.queue_class = work.cost >= summary_cost ? work_class::summary : work_class::interactive;
    return std::nullopt;
}

auto relay::handle_chat(http_request request, std::shared_ptr<http_exchange> exchange) -> void
{
    const auto work = make_job(std::move(request), std::move(exchange));
    work->kind = service_kind::model;
    if (work->request.method != "POST") {
        refuse(work, invalid("Chat completions are requested with POST."));
        return;
    }
    if (!context_.config.ready()) {
        refuse(work,
               make_problem(refusal::not_ready, "This instance has no configuration yet.", 1000));
        return;
    }
    if (const auto problem = read_chat_request(*work)) {
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
    work->suspect = suspicion_of(suspects_, work->fingerprint, work->received);
    if (const auto problem = refusal_before_start(*work, *service)) {
        refuse(work, *problem);
        return;
    }
    admit(work);
}

/// Engines that may serve a request, with those left out that it must avoid.
auto relay::engines_for(const job& work) const -> std::vector<engine_view>
{
    auto views = context_.gates.engine_views(work.service, work.model);
    auto suspects = std::map<std::string, std::size_t>{};
    if (work.suspect != suspicion::none) {
        for (const auto& [id, other] : jobs_) {
            const auto runs = other->permit && other->id != work.id;
            suspects[other->target] += runs && other->suspect != suspicion::none ? 1 : 0;
        }
    }
    const auto holder = longest_prefix_engine(cache_, work.prefixes);
    for (auto& view : views) {
        view.cache_hint = view.id == holder;
        const auto isolated =
            work.suspect == suspicion::none || isolation_allows(work.suspect, suspects[view.id]);
        if (work.tried.contains(view.id) || !isolated) {
            view.state = target_state::gone;
        }
    }
    return views;
}

auto relay::choose_for(const job& work, const std::vector<engine_view>& views) const
    -> placement_decision
{
    auto limits = placement_limits{};
    limits.load_multiple = context_.config.text().config->fleet.load_multiple;
    const auto last = chats_.last_target(work.chat);
    const auto waited = std::chrono::duration<double>(monotonic_now() - work.waiting_since).count();
    auto request = placement_request{};
    request.chat = work.chat;
    request.cost = work.cost;
    request.last_target = last;
    request.may_hold =
        waited < max_hold_seconds(work.cached_tokens, prefill_seconds_per_token, limits);
    return choose_engine(request, views,
                         context_.gates.model_mean_load(work.model, views, work.cost), limits);
}

auto relay::place_chat(const job_ptr& work) -> void
{
    const auto views = engines_for(*work);
    const auto choice = choose_for(*work, views);
    const auto mean = context_.gates.model_mean_load(work->model, views, work->cost);
    const auto order = preference_order(work->chat, views);
    work->placement_reason = name_in(placement_reason_names, choice.reason);
    log_event(log_level::info, "placement",
              {{"request", work->request_id},
               {"chat", work->chat},
               {"candidates", names_of(views, order)},
               {"choice", choice.engine ? views[*choice.engine].id : std::string("none")},
               {"reason", work->placement_reason},
               {"cost", std::to_string(static_cast<int>(work->cost))},
               {"mean", std::to_string(mean)}});
    if (!choice.engine) {
        work->tried.clear();
        queue(work);
        return;
    }
    work->target = views[*choice.engine].id;
    const auto permit_id = hash64(work->request_id + "." + std::to_string(work->attempts) + "." +
                                  std::to_string(work->permit_refusals));
    context_.gates.acquire(
        work->target, permit_id, work->cost, work->fingerprint,
        [this, work](permit_answer answer) { on_permit(work, std::move(answer)); });
}

auto relay::on_permit(const job_ptr& work, permit_answer answer) -> void
{
    if (answer.granted && (work->ended || work->caller_gone)) {
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
    work->tried.insert(work->target);
    work->permit_refusals += 1;
    if (work->permit_refusals % max_permit_refusals != 0) {
        context_.loop.post([this, work] {
            if (!work->ended) {
                place_chat(work);
            }
        });
        return;
    }
    work->tried.clear();
    queue(work);
}

auto relay::dispatch_chat(const job_ptr& work) -> void
{
    work->attempts += 1;
    work->status = 0;
    work->done_seen = false;
    work->events.buffer.clear();
    work->answer.clear();
    auto request = client_request{};
    request.address = context_.gates.find_target(work->target)->target.address;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = work->request.body;
    request.headers = {{"content-type", "application/json"},
                       {"x-request-id", work->request_id},
                       {"x-attempt", std::to_string(work->attempts)},
                       {"x-chat-id", work->chat},
                       {"x-organisation", work->organisation},
                       {"x-cost", std::to_string(static_cast<int>(work->cost))},
                       {"x-priority", std::string(name_in(priority_names, work->level))}};
    if (work->tokens > 0) {
        request.headers.push_back({"x-resume-from", std::to_string(work->tokens)});
    }
    if (work->deadline) {
        request.headers.push_back(
            {"x-request-deadline-ms", deadline_header(*work->deadline, monotonic_now())});
    }
    auto handlers = call_handlers{};
    handlers.before_send = [this, work] {
        const auto usable = work->permit && context_.gates.valid(*work->permit);
        if (usable) {
            work->ever_sent = true;
            record(*work, "dispatch", "");
        }
        return usable;
    };
    handlers.on_headers = [this, work](int status, const header_list& headers) {
        work->target_incarnation = header_value(headers, "x-target-incarnation");
        work->answer_type = header_value(headers, "content-type");
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
        if (work->answer.size() + bytes.size() > options_.answer_bytes) {
            work->call->cancel();
            return;
        }
        work->answer += bytes;
        return;
    }
    const auto fits =
        feed(work->events, bytes, [&](const stream_event& event) { on_chat_event(work, event); });
    if (!fits) {
        work->call->cancel();
        return;
    }
    if (work->exchange->buffered_bytes() > options_.buffer_bytes) {
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
        // passed on when the connection has ended cleanly
        work->done_seen = true;
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
        const auto waited =
            std::chrono::duration<double, std::milli>(monotonic_now() - work->received);
        context_.metrics.summary_of("cyclamenpost_first_token_ms", "Time to the first token.")
            .observe(waited.count());
    }
    work->tokens += 1;
    work->exchange->write(event.raw);
}

auto relay::on_chat_end(const job_ptr& work, call_end end) -> void
{
    if (work->ended) {
        return;
    }
    work->call = nullptr;
    const auto whole =
        end == call_end::complete && work->status == 200 && (!work->stream || work->done_seen);
    if (work->permit) {
        const auto never_ran = end == call_end::not_connected || end == call_end::not_sent;
        const auto how = whole ? permit_outcome::completed
                               : (never_ran ? permit_outcome::unused : permit_outcome::failed);
        context_.gates.release(*std::exchange(work->permit, std::nullopt), how);
    }
    if (whole) {
        complete_chat(work);
        return;
    }
    const auto refused_by_caller = end == call_end::complete && work->status >= 400 &&
                                   work->status < 500 && work->status != 429;
    if (refused_by_caller && !work->answer_started) {
        work->exchange->respond(
            work->status, {{"content-type", work->answer_type}, {"x-request-id", work->request_id}},
            work->answer);
        end_job(work, "target_refused");
        return;
    }
    retry_chat(work, end);
}

auto relay::complete_chat(const job_ptr& work) -> void
{
    const auto now = monotonic_now();
    chats_.record(work->chat, work->target, now);
    if (work->suspect != suspicion::none &&
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
                                {{"content-type", work->answer_type},
                                 {"x-request-id", work->request_id},
                                 {"x-target", work->target},
                                 {"x-instance", context_.cluster.self().identity.id}},
                                work->answer);
    }
    end_job(work, "complete");
}

auto relay::retry_chat(const job_ptr& work, call_end end) -> void
{
    const auto now = monotonic_now();
    auto input = retry_input{};
    // generating an answer again has no effect besides its cost; a started stream resumes
    input.repeatable = true;
    input.sent = end != call_end::not_connected && end != call_end::not_sent;
    input.attempts = work->attempts;
    input.deadline = work->deadline;
    const auto verdict = decide_retry(budget_, input, now);
    log_event(log_level::info, "attempt_failed",
              {{"request", work->request_id},
               {"target", work->target},
               {"end", std::string(name_in(call_end_names, end))},
               {"status", std::to_string(work->status)},
               {"tokens", std::to_string(work->tokens)},
               {"verdict", std::string(name_in(retry_decision_names, verdict))}});
    if (verdict != retry_decision::retry) {
        fail_chat(work, refusal::target_lost, "The target did not complete the answer.");
        return;
    }
    work->tried.insert(work->target);
    work->retry_timer = context_.loop.call_after(crash_report_delay, [this, work] {
        if (work->ended) {
            return;
        }
        work->waiting_since = monotonic_now();
        work->suspect = suspicion_of(suspects_, work->fingerprint, work->waiting_since);
        if (work->suspect == suspicion::blocked) {
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
                                          : make_problem(reason, detail, 1000);
    refuse(work, document);
}

} // namespace cyclamenpost
