#include "fake_application.hpp"

#include <cstdlib>
#include <random>

#include <nlohmann/json.hpp>

#include "chat_content.hpp"

namespace cyclamenpost::fakes {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto load_period = duration{500ms};
constexpr auto crash_exit_status = 4;

} // namespace

namespace detail {

struct application_state {
    application_options options;
    event_loop* loop = nullptr;
    http_server server;
    history_writer history;
    std::string incarnation;
    bool leaving = false;
    std::size_t running = 0;
    std::vector<application_run> runs;
    std::vector<std::shared_ptr<http_exchange>> subscribers;
    timer load_timer;
    std::vector<timer> answer_timers;
};

} // namespace detail

namespace {

auto random_hex() -> std::string
{
    auto device = std::random_device{};
    return to_hex((static_cast<std::uint64_t>(device()) << 32U) | device());
}

auto load_event(const detail::application_state& state) -> std::string
{
    const auto report = json{{"incarnation", state.incarnation},
                             {"state", state.leaving ? "leaving" : "warm"},
                             {"running", state.running},
                             {"waiting", 0},
                             {"cost", state.running},
                             {"fence", 0},
                             {"models", json::array()}};
    return "event: load\ndata: " + report.dump() + "\n\n";
}

auto report_load(detail::application_state& state) -> void
{
    std::erase_if(state.subscribers, [](const auto& subscriber) { return !subscriber->is_open(); });
    for (const auto& subscriber : state.subscribers) {
        subscriber->write(load_event(state));
    }
}

auto record(detail::application_state& state, history_event event) -> void
{
    event.target = state.options.id;
    event.target_incarnation = state.incarnation;
    event.zone = state.options.zone;
    state.history.write(std::move(event));
}

auto record_run(detail::application_state& state, const application_run& run,
                const std::string& kind, const std::string& outcome) -> void
{
    auto event = history_event{};
    event.event = kind;
    event.request = run.request;
    event.attempt = std::atoll(run.attempt.c_str());
    event.key = run.key;
    event.content = body_hash(run.body);
    event.outcome = outcome;
    event.detail = run.method + " " + run.path;
    record(state, std::move(event));
}

auto record_event(detail::application_state& state, const std::string& kind) -> void
{
    auto event = history_event{};
    event.event = kind;
    record(state, std::move(event));
}

auto exit_with(const detail::application_state& state, int status) -> void
{
    if (state.options.exit_process) {
        state.options.exit_process(status);
        return;
    }
    std::_Exit(status);
}

auto answer(detail::application_state& state, const application_run& run, std::size_t number,
            const std::shared_ptr<http_exchange>& exchange) -> void
{
    --state.running;
    const auto close_every = state.options.close_every;
    if (close_every > 0 && number % close_every == 0) {
        record_run(state, run, "run_end", "closed");
        exchange->abort();
        return;
    }
    record_run(state, run, "run_end", exchange->is_open() ? "complete" : "cancelled");
    const auto body = json{{"application", state.options.id},
                           {"run", number},
                           {"request", run.request},
                           {"key", run.key},
                           {"content", body_hash(run.body)}};
    exchange->respond(200,
                      {{"content-type", "application/json"},
                       {"x-request-id", run.request},
                       {"x-attempt", run.attempt},
                       {"x-target-incarnation", state.incarnation}},
                      body.dump());
}

auto start_run(detail::application_state& state, const http_request& request,
               const std::shared_ptr<http_exchange>& exchange) -> void
{
    auto run = application_run{std::string(header_value(request.headers, "x-request-id")),
                               std::string(header_value(request.headers, "x-attempt")),
                               std::string(header_value(request.headers, "idempotency-key")),
                               request.method,
                               request.path,
                               request.body};
    state.runs.push_back(run);
    ++state.running;
    record_run(state, run, "run_start", "");
    const auto& crash_on = state.options.crash_on;
    if (!crash_on.empty() && request.body.find(crash_on) != std::string::npos) {
        record_event(state, "target_crash");
        exit_with(state, crash_exit_status);
        return;
    }
    std::erase_if(state.answer_timers, [](const timer& entry) { return !entry.pending(); });
    state.answer_timers.push_back(state.loop->call_after(
        state.options.delay, [&state, run, exchange, number = state.runs.size()] {
            answer(state, run, number, exchange);
        }));
}

auto list_runs(const detail::application_state& state,
               const std::shared_ptr<http_exchange>& exchange) -> void
{
    auto list = json::array();
    for (const auto& run : state.runs) {
        list.push_back({{"request", run.request},
                        {"attempt", run.attempt},
                        {"key", run.key},
                        {"method", run.method},
                        {"path", run.path},
                        {"content", body_hash(run.body)}});
    }
    exchange->respond(200, {{"content-type", "application/json"}}, list.dump());
}

auto on_control(detail::application_state& state, const http_request& request,
                const std::shared_ptr<http_exchange>& exchange) -> void
{
    const auto command = request.path.substr(std::string_view{"/control/"}.size());
    if (command == "runs") {
        list_runs(state, exchange);
        return;
    }
    exchange->respond(200, {}, "ok\n");
    if (command == "leave" || command == "stay") {
        state.leaving = command == "leave";
        record_event(state, state.leaving ? "target_leaving" : "target_staying");
        report_load(state);
    }
    else if (command == "crash") {
        record_event(state, "target_crash");
        exit_with(state, crash_exit_status);
    }
    else if (command == "delay_ms") {
        state.options.delay = std::chrono::milliseconds{std::atoll(request.body.c_str())};
    }
    else if (command == "close_every") {
        state.options.close_every = static_cast<std::size_t>(std::atoll(request.body.c_str()));
    }
}

auto on_request(detail::application_state& state, const http_request& request,
                const std::shared_ptr<http_exchange>& exchange) -> void
{
    if (request.path == "/v1/events") {
        exchange->begin_stream(200, {{"content-type", "text/event-stream"}});
        exchange->write(load_event(state));
        state.subscribers.push_back(exchange);
    }
    else if (request.path.starts_with("/control/")) {
        on_control(state, request, exchange);
    }
    else {
        start_run(state, request, exchange);
    }
}

} // namespace

fake_application::fake_application() = default;

fake_application::~fake_application()
{
    stop();
}

auto fake_application::start(event_loop& loop, application_options options) -> result<void>
{
    state_ = std::make_shared<detail::application_state>();
    auto& state = *state_;
    state.options = std::move(options);
    state.loop = &loop;
    state.incarnation = random_hex();
    BOOST_LEAF_CHECK(state.history.open(state.options.history_file));
    BOOST_LEAF_CHECK(state.server.start(
        loop, state.options.address, state.options.port, {},
        [weak = std::weak_ptr(state_)](const http_request& request, const auto& exchange) {
            if (const auto alive = weak.lock()) {
                on_request(*alive, request, exchange);
            }
        }));
    state.load_timer = loop.call_every(load_period, [&state] { report_load(state); });
    record_event(state, "target_start");
    return {};
}

auto fake_application::stop() -> void
{
    if (state_) {
        state_->server.stop();
        state_ = nullptr;
    }
}

auto fake_application::port() const -> int
{
    return state_ ? state_->server.port() : 0;
}

auto fake_application::runs() const -> const std::vector<application_run>&
{
    static const auto none = std::vector<application_run>{};
    return state_ ? state_->runs : none;
}

} // namespace cyclamenpost::fakes
