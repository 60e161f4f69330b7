#include "fake_engine.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <random>

#include <nlohmann/json.hpp>

#include "chat_content.hpp"
#include "prefix_cache.hpp"

namespace cyclamenpost::fakes {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto load_period = duration{500ms};
constexpr auto prompt_tokens_per_cost = std::size_t{512};
constexpr auto output_tokens_per_cost = std::size_t{256};
// time for which connections are aborted during a reload
constexpr auto reload_time = duration{300ms};

/// One request in progress.
struct engine_run {
    std::shared_ptr<http_exchange> exchange;
    chat_content chat;
    std::string request;
    std::string attempt;
    std::string chat_id;
    std::string organisation;
    priority priority_class = priority::normal;
    std::int64_t cost = 1;
    std::size_t next_token = 0;
    std::size_t cached_tokens = 0;
    bool first_chunk = true;
    bool decoding = false;
    time_point ready_at;
};

using run_pointer = std::shared_ptr<engine_run>;

} // namespace

namespace detail {

struct engine_state {
    engine_options options;
    event_loop* loop = nullptr;
    http_server server;
    history_writer history;
    incarnation_id incarnation = 0;
    bool cold = true;
    bool leaving = false;
    bool reloading = false;
    std::uint64_t fence = 0;
    std::uint64_t cache_events = 0;
    std::size_t started = 0;
    std::string role = "serve";
    prefix_cache cache{0};
    std::vector<run_pointer> runs;
    std::vector<std::shared_ptr<http_exchange>> subscribers;
    std::string load_report;
    timer decode_timer;
    timer load_timer;
    timer warm_timer;
    timer reload_timer;
    std::vector<timer> delayed_timers;
};

} // namespace detail

namespace {

using state_pointer = std::shared_ptr<detail::engine_state>;

auto random_incarnation() -> incarnation_id
{
    auto device = std::random_device{};
    return (static_cast<incarnation_id>(device()) << 32U) | device();
}

auto state_name(const detail::engine_state& state) -> std::string
{
    if (state.leaving) {
        return "leaving";
    }
    return state.cold ? "cold" : "warm";
}

auto record(detail::engine_state& state, history_event event) -> void
{
    event.target = state.options.id;
    event.target_incarnation = to_hex(state.incarnation);
    event.zone = state.options.zone;
    state.history.write(std::move(event));
}

auto record_state(detail::engine_state& state, const std::string& kind) -> void
{
    auto event = history_event{};
    event.event = kind;
    event.detail = state_name(state);
    event.count = static_cast<std::int64_t>(state.options.max_cold_requests);
    record(state, std::move(event));
}

auto record_run(detail::engine_state& state, const engine_run& run, const std::string& kind,
                const std::string& outcome) -> void
{
    auto event = history_event{};
    event.event = kind;
    event.request = run.request;
    event.attempt = std::atoll(run.attempt.c_str());
    event.chat = run.chat_id;
    event.organisation = run.organisation;
    event.content = to_hex(run.chat.hash);
    event.cost = run.cost;
    event.count = static_cast<std::int64_t>(state.runs.size());
    event.detail = state_name(state);
    event.outcome = outcome;
    record(state, std::move(event));
}

auto exit_with(detail::engine_state& state, int status) -> void
{
    if (state.options.exit_process) {
        state.options.exit_process(status);
        return;
    }
    std::_Exit(status);
}

auto load_json(const detail::engine_state& state) -> std::string
{
    auto running = std::size_t{0};
    auto cost = std::int64_t{0};
    for (const auto& run : state.runs) {
        running += run->decoding ? 1 : 0;
        cost += run->cost;
    }
    const auto report = json{{"incarnation", to_hex(state.incarnation)},
                             {"state", state_name(state)},
                             {"running", running},
                             {"waiting", state.runs.size() - running},
                             {"cost", cost},
                             {"fence", state.fence},
                             {"models", state.options.models}};
    return report.dump();
}

auto send_event(detail::engine_state& state, const std::string& kind, const std::string& data)
    -> void
{
    const auto text = "event: " + kind + "\ndata: " + data + "\n\n";
    std::erase_if(state.subscribers, [](const auto& subscriber) { return !subscriber->is_open(); });
    for (const auto& subscriber : state.subscribers) {
        subscriber->write(text);
    }
}

/// Calls `action` after a delay unless the engine stops or reloads first.
auto call_delayed(detail::engine_state& state, duration delay, std::function<void()> action) -> void
{
    std::erase_if(state.delayed_timers, [](const timer& entry) { return !entry.pending(); });
    state.delayed_timers.push_back(state.loop->call_after(delay, std::move(action)));
}

auto report_load(detail::engine_state& state) -> void
{
    call_delayed(state, state.options.load_report_delay, [&state, report = load_json(state)] {
        state.load_report = report;
        send_event(state, "load", report);
    });
}

auto report_cache(detail::engine_state& state) -> void
{
    const auto changes = state.cache.take_changes();
    if (changes.stored.empty() && changes.evicted.empty()) {
        return;
    }
    ++state.cache_events;
    if (state.options.drop_cache_event_every > 0 &&
        state.cache_events % state.options.drop_cache_event_every == 0) {
        return;
    }
    const auto data =
        json{{"seq", state.cache_events}, {"stored", changes.stored}, {"evicted", changes.evicted}};
    call_delayed(state, state.options.cache_event_delay,
                 [&state, text = data.dump()] { send_event(state, "cache", text); });
}

auto become_cold(detail::engine_state& state) -> void
{
    state.cold = state.options.cold_start_time.count() > 0;
    state.cache.clear();
    state.load_report = load_json(state);
    record_state(state, "target_cold");
    state.warm_timer = state.loop->call_after(state.options.cold_start_time, [&state] {
        state.cold = false;
        record_state(state, "target_warm");
    });
}

/// Aborts every connection and starts again, cold and with a new incarnation.
auto reload(detail::engine_state& state) -> void
{
    for (const auto& run : state.runs) {
        record_run(state, *run, "run_end", "target_lost");
        run->exchange->abort();
    }
    state.runs.clear();
    for (const auto& subscriber : state.subscribers) {
        subscriber->abort();
    }
    state.subscribers.clear();
    state.delayed_timers.clear();
    state.incarnation = random_incarnation();
    state.reloading = true;
    state.reload_timer = state.loop->call_after(reload_time, [&state] {
        state.reloading = false;
        become_cold(state);
    });
}

auto respond_problem(const std::shared_ptr<http_exchange>& exchange, int status,
                     const std::string& text) -> void
{
    exchange->respond(status, {{"content-type", "application/problem+json"}},
                      json{{"status", status}, {"title", text}}.dump());
}

auto run_headers(const detail::engine_state& state, const engine_run& run, const char* type)
    -> header_list
{
    return {{"content-type", type},
            {"x-target-incarnation", to_hex(state.incarnation)},
            {"x-request-id", run.request},
            {"x-attempt", run.attempt}};
}

auto usage_json(const engine_run& run) -> json
{
    return {{"prompt_tokens", run.chat.prompt_tokens},
            {"completion_tokens", run.chat.max_tokens},
            {"cached_tokens", run.cached_tokens}};
}

auto send_token(const engine_run& run) -> void
{
    const auto last = run.next_token + 1 == run.chat.max_tokens;
    auto choice = json{{"index", 0}, {"finish_reason", nullptr}};
    choice["delta"] = {{"content", answer_token(run.chat.hash, run.next_token)}};
    if (last) {
        choice["finish_reason"] = "stop";
    }
    auto chunk = json{{"id", run.request},
                      {"object", "chat.completion.chunk"},
                      {"model", run.chat.model},
                      {"index", run.next_token},
                      {"choices", json::array({choice})}};
    if (run.first_chunk) {
        chunk["usage"] = usage_json(run);
    }
    run.exchange->write("data: " + chunk.dump() + "\n\n");
}

auto send_unstreamed(const detail::engine_state& state, const engine_run& run) -> void
{
    auto text = std::string{};
    for (auto i = std::size_t{0}; i < run.chat.max_tokens; ++i) {
        text += answer_token(run.chat.hash, i);
    }
    const auto message = json{{"role", "assistant"}, {"content", text}};
    const auto choice = json{{"index", 0}, {"finish_reason", "stop"}, {"message", message}};
    const auto answer = json{{"id", run.request},
                             {"object", "chat.completion"},
                             {"model", run.chat.model},
                             {"choices", json::array({choice})},
                             {"usage", usage_json(run)}};
    run.exchange->respond(200, run_headers(state, run, "application/json"), answer.dump());
}

auto complete_run(detail::engine_state& state, engine_run& run) -> void
{
    run.exchange->on_closed({});
    if (run.chat.stream) {
        run.exchange->write("data: [DONE]\n\n");
        run.exchange->finish();
    }
    else {
        send_unstreamed(state, run);
    }
    state.cache.store(run.chat.prefix_hashes);
    record_run(state, run, "run_end", "complete");
}

/// Produces one token of a run. Returns whether the run is complete.
auto advance(detail::engine_state& state, engine_run& run) -> bool
{
    if (run.next_token < run.chat.max_tokens) {
        if (run.chat.stream) {
            send_token(run);
        }
        run.first_chunk = false;
        ++run.next_token;
    }
    if (run.next_token < run.chat.max_tokens) {
        return false;
    }
    complete_run(state, run);
    return true;
}

/// Assigns free slots to waiting runs by priority, in order of arrival within one priority.
auto fill_slots(detail::engine_state& state, time_point now) -> void
{
    auto decoding =
        std::ranges::count_if(state.runs, [](const auto& run) { return run->decoding; });
    for (const auto priority_class : {priority::high, priority::normal, priority::low}) {
        for (const auto& run : state.runs) {
            if (run->decoding || run->priority_class != priority_class ||
                decoding >= static_cast<std::ptrdiff_t>(state.options.slots)) {
                continue;
            }
            const auto uncached = static_cast<double>(run->chat.prompt_tokens - run->cached_tokens);
            const auto seconds = uncached / state.options.prefill_tokens_per_second;
            run->ready_at = now + duration{static_cast<std::int64_t>(seconds * 1e6)};
            run->decoding = true;
            ++decoding;
        }
    }
}

auto decode(detail::engine_state& state) -> void
{
    const auto now = monotonic_now();
    fill_slots(state, now);
    std::erase_if(state.runs, [&](const run_pointer& run) {
        return run->decoding && run->ready_at <= now && advance(state, *run);
    });
    if (state.runs.empty()) {
        state.decode_timer.reset();
    }
}

auto start_decoding(detail::engine_state& state) -> void
{
    if (state.decode_timer.pending()) {
        return;
    }
    const auto period = duration{static_cast<std::int64_t>(1e6 / state.options.tokens_per_second)};
    state.decode_timer = state.loop->call_every(period, [&state] { decode(state); });
}

auto parse_number(std::string_view text) -> std::size_t
{
    auto value = std::size_t{0};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto cost_of(const engine_run& run, std::string_view header) -> std::int64_t
{
    const auto explicit_cost = std::ceil(std::atof(std::string(header).c_str()));
    if (explicit_cost > 0) {
        return static_cast<std::int64_t>(explicit_cost);
    }
    const auto uncached = run.chat.prompt_tokens - run.cached_tokens;
    const auto divide_round_up = [](std::size_t tokens, std::size_t divisor) {
        return (tokens + divisor - 1) / divisor;
    };
    return static_cast<std::int64_t>(1 + divide_round_up(uncached, prompt_tokens_per_cost) +
                                     divide_round_up(run.chat.max_tokens, output_tokens_per_cost));
}

auto make_run(const detail::engine_state& state, const http_request& request,
              const std::shared_ptr<http_exchange>& exchange) -> run_pointer
{
    auto run = std::make_shared<engine_run>();
    run->exchange = exchange;
    run->chat = parse_chat(request.body);
    run->request = header_value(request.headers, "x-request-id");
    run->attempt = header_value(request.headers, "x-attempt");
    run->chat_id = header_value(request.headers, "x-chat-id");
    run->organisation = header_value(request.headers, "x-organisation");
    run->priority_class = value_in(priority_names, header_value(request.headers, "x-priority"))
                              .value_or(priority::normal);
    run->next_token = parse_number(header_value(request.headers, "x-resume-from"));
    const auto matched = state.cache.matched(run->chat.prefix_hashes);
    run->cached_tokens = matched > 0 ? run->chat.prefix_tokens[matched - 1] : 0;
    run->cost = cost_of(*run, header_value(request.headers, "x-cost"));
    return run;
}

auto cancel(detail::engine_state& state, const run_pointer& run) -> void
{
    if (std::erase(state.runs, run) > 0) {
        record_run(state, *run, "run_end", "cancelled");
    }
}

auto on_chat(detail::engine_state& state, const http_request& request,
             const std::shared_ptr<http_exchange>& exchange) -> void
{
    const auto run = make_run(state, request, exchange);
    if (!run->chat.valid) {
        respond_problem(exchange, 400, "the body is no chat completion request");
        return;
    }
    state.runs.push_back(run);
    ++state.started;
    record_run(state, *run, "run_start", "");
    const auto& crash_on = state.options.crash_on;
    if (!crash_on.empty() && request.body.find(crash_on) != std::string::npos) {
        record_state(state, "target_crash");
        exit_with(state, crash_exit_status);
        return;
    }
    if (state.cold && state.runs.size() > state.options.max_cold_requests) {
        record_state(state, "target_overload");
        exit_with(state, overload_exit_status);
        return;
    }
    exchange->on_closed([&state, run] { cancel(state, run); });
    if (run->chat.stream) {
        exchange->begin_stream(200, run_headers(state, *run, "text/event-stream"));
    }
    start_decoding(state);
}

auto on_events(detail::engine_state& state, const std::shared_ptr<http_exchange>& exchange) -> void
{
    exchange->begin_stream(200, {{"content-type", "text/event-stream"}});
    exchange->write("event: load\ndata: " + state.load_report + "\n\n");
    state.subscribers.push_back(exchange);
}

auto add_model(detail::engine_state& state, const std::string& model) -> void
{
    auto& models = state.options.models;
    if (!model.empty() && std::ranges::find(models, model) == models.end()) {
        models.push_back(model);
    }
}

auto import_entries(detail::engine_state& state, const json& entries) -> void
{
    auto prefixes = std::vector<std::uint64_t>{};
    for (const auto& entry : entries) {
        const auto prefix = entry.is_string() ? from_hex(entry.get<std::string>()) : std::nullopt;
        if (prefix) {
            prefixes.push_back(*prefix);
        }
    }
    state.cache.store(prefixes);
}

auto apply_order(detail::engine_state& state, const json& order) -> json
{
    const auto action = order.value("action", "");
    auto answer = json{{"fence", state.fence}, {"action", action}};
    if (action == "load_model" || action == "load_adapter") {
        add_model(state, order.value("model", ""));
    }
    else if (action == "set_role") {
        state.role = order.value("role", state.role);
    }
    else if (action == "export_cache") {
        answer["entries"] = state.cache.entries();
    }
    else if (action == "import_cache") {
        import_entries(state, order.value("entries", json::array()));
    }
    return answer;
}

auto record_order(detail::engine_state& state, std::uint64_t fence, const std::string& outcome,
                  const json& order) -> void
{
    auto event = history_event{};
    event.event = "order";
    event.count = static_cast<std::int64_t>(fence);
    event.outcome = outcome;
    event.detail = order.value("action", "");
    record(state, std::move(event));
}

auto on_order(detail::engine_state& state, const http_request& request,
              const std::shared_ptr<http_exchange>& exchange) -> void
{
    const auto order = json::parse(request.body, nullptr, false);
    if (!order.is_object() || !order.contains("fence") || !order["fence"].is_number_unsigned()) {
        respond_problem(exchange, 400, "an order needs a fence number");
        return;
    }
    const auto fence = order["fence"].get<std::uint64_t>();
    if (state.options.checks_fencing && fence < state.fence) {
        record_order(state, fence, "refused", order);
        exchange->respond(409, {{"content-type", "application/json"}},
                          json{{"fence", state.fence}}.dump());
        return;
    }
    record_order(state, fence, fence < state.fence ? "applied_old" : "applied", order);
    state.fence = std::max(state.fence, fence);
    exchange->respond(200, {{"content-type", "application/json"}},
                      apply_order(state, order).dump());
}

auto on_control(detail::engine_state& state, const http_request& request,
                const std::shared_ptr<http_exchange>& exchange) -> void
{
    const auto command = request.path.substr(std::string_view{"/control/"}.size());
    exchange->respond(200, {}, "ok\n");
    if (command == "leave" || command == "stay") {
        state.leaving = command == "leave";
        record_state(state, state.leaving ? "target_leaving" : "target_staying");
        report_load(state);
    }
    else if (command == "cold") {
        reload(state);
    }
    else if (command == "crash") {
        record_state(state, "target_crash");
        exit_with(state, crash_exit_status);
    }
    else if (command == "crash_on") {
        state.options.crash_on = request.body;
    }
}

auto on_request(detail::engine_state& state, const http_request& request,
                const std::shared_ptr<http_exchange>& exchange) -> void
{
    if (state.reloading) {
        exchange->abort();
    }
    else if (request.path == "/v1/chat/completions") {
        on_chat(state, request, exchange);
    }
    else if (request.path == "/v1/events") {
        on_events(state, exchange);
    }
    else if (request.path == "/v1/orders") {
        on_order(state, request, exchange);
    }
    else if (request.path.starts_with("/control/")) {
        on_control(state, request, exchange);
    }
    else {
        respond_problem(exchange, 404, "no such path");
    }
}

} // namespace

fake_engine::fake_engine() = default;

fake_engine::~fake_engine()
{
    stop();
}

auto fake_engine::start(event_loop& loop, engine_options options) -> result<void>
{
    state_ = std::make_shared<detail::engine_state>();
    auto& state = *state_;
    state.options = std::move(options);
    state.loop = &loop;
    state.incarnation =
        state.options.incarnation != 0 ? state.options.incarnation : random_incarnation();
    state.cache = prefix_cache{state.options.cache_entries};
    BOOST_LEAF_CHECK(state.history.open(state.options.history_file));
    become_cold(state);
    BOOST_LEAF_CHECK(state.server.start(
        loop, state.options.address, state.options.port, {},
        [weak = std::weak_ptr(state_)](const http_request& request, const auto& exchange) {
            if (const auto alive = weak.lock()) {
                on_request(*alive, request, exchange);
            }
        }));
    state.load_timer = loop.call_every(load_period, [&state] {
        report_load(state);
        report_cache(state);
    });
    return {};
}

auto fake_engine::stop() -> void
{
    if (!state_) {
        return;
    }
    for (const auto& run : state_->runs) {
        run->exchange->on_closed({});
    }
    state_->server.stop();
    state_ = nullptr;
}

auto fake_engine::port() const -> int
{
    return state_ ? state_->server.port() : 0;
}

auto fake_engine::incarnation() const -> incarnation_id
{
    return state_ ? state_->incarnation : 0;
}

auto fake_engine::in_progress() const -> std::size_t
{
    return state_ ? state_->runs.size() : 0;
}

auto fake_engine::started() const -> std::size_t
{
    return state_ ? state_->started : 0;
}

} // namespace cyclamenpost::fakes
