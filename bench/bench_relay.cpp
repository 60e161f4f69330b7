#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include "cyclamenpost/transport/event_stream.hpp"
#include "cyclamenpost/transport/http.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Command-line options. Requests are sent at a fixed rate, first directly to the engine, then
/// through the router.
struct options {
    std::string router;
    std::string engine;
    int router_pid = 0;
    /// Requests per second.
    double rate = 44;
    /// Tokens per request.
    int tokens = 250;
    int seconds = 10;
};

/// Results of the requests on one path.
struct path_result {
    std::vector<double> first_token_ms;
    std::uint64_t tokens = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
};

struct load_run {
    event_loop loop{8192};
    options chosen;
    path_result routed;
    path_result direct;
    int in_progress = 0;
    int next_number = 0;
};

auto parse(int argc, char** argv) -> options
{
    auto line =
        TCLAP::CmdLine{"Measures the latency that the router adds to the first token and the "
                       "tokens it relays per second of CPU time",
                       ' ', CYCLAMENPOST_VERSION};
    using text = TCLAP::ValueArg<std::string>;
    auto router = text{"", "router", "address of the router", true, "", "IP:PORT", line};
    auto engine = text{"", "engine", "address of the engine", true, "", "IP:PORT", line};
    auto pid = TCLAP::ValueArg<int>{"", "pid", "process id of the router", true, 0, "PID", line};
    auto rate = TCLAP::ValueArg<double>{"", "rate", "requests per second", false, 44, "N", line};
    auto tokens = TCLAP::ValueArg<int>{"", "tokens", "tokens per request", false, 250, "N", line};
    auto seconds =
        TCLAP::ValueArg<int>{"", "seconds", "duration per path in seconds", false, 10, "S", line};
    line.parse(argc, argv);
    return {router.getValue(), engine.getValue(), pid.getValue(),
            rate.getValue(),   tokens.getValue(), seconds.getValue()};
}

/// CPU time of a process in seconds, user and system.
auto cpu_seconds(int pid) -> double
{
    auto file = std::ifstream{"/proc/" + std::to_string(pid) + "/stat"};
    auto text = std::string(std::istreambuf_iterator<char>{file}, {});
    auto fields = std::istringstream{text.substr(text.rfind(')') + 2)};
    auto field = std::string{};
    // Position of utime after the process name; stime follows.
    constexpr auto user_field = 12;
    auto ticks = 0.0;
    for (auto i = 1; i <= user_field + 1 && fields >> field; ++i) {
        ticks += i >= user_field ? std::stod(field) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

auto start_request(load_run& run, const std::string& address, path_result& path) -> void
{
    const auto number = run.next_number++;
    const auto body =
        json{{"model", "quote-7b"},
             {"stream", true},
             {"max_tokens", run.chosen.tokens},
             {"messages", {{{"role", "user"}, {"content", "n" + std::to_string(number)}}}}};
    auto request = client_request{};
    request.address = address;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body.dump();
    request.headers = {{"content-type", "application/json"},
                       {"x-request-id", "bench-" + std::to_string(number)},
                       {"x-attempt", "1"},
                       {"x-chat-id", "chat-" + std::to_string(number)},
                       {"x-organisation", "bench"}};
    auto events = std::make_shared<event_stream_parser>();
    auto token_count = std::make_shared<int>(0);
    const auto started = monotonic_now();
    auto handlers = call_handlers{};
    handlers.on_data = [&path, events, token_count, started](std::string_view bytes) {
        feed(*events, bytes, [&](const stream_event& event) {
            if (event.data == "[DONE]") {
                path.complete += 1;
                return;
            }
            if ((*token_count)++ == 0) {
                path.first_token_ms.push_back(
                    std::chrono::duration<double, std::milli>(monotonic_now() - started).count());
            }
            path.tokens += 1;
        });
    };
    handlers.on_end = [&run, &path](call_end end) {
        run.in_progress -= 1;
        path.failed += end == call_end::complete ? 0 : 1;
    };
    run.in_progress += 1;
    start_call(run.loop, std::move(request), std::move(handlers));
}

auto quantile(std::vector<double> values, double probability) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1))];
}

auto print(const std::string& measure, const options& chosen, const char* policy, double value,
           const char* unit) -> void
{
    const auto scenario = std::to_string(static_cast<int>(chosen.rate)) + " requests/s, " +
                          std::to_string(chosen.tokens) + " tokens each";
    std::cout << json{{"measure", measure}, {"scenario", scenario}, {"policy", policy},
                      {"seed", 1},          {"value", value},       {"unit", unit}}
                     .dump()
              << "\n";
}

/// Sends requests along one path for the configured time. Returns the CPU time in seconds that the
/// router used meanwhile.
auto send_requests(load_run& run, const std::string& address, path_result& path) -> double
{
    const auto before = cpu_seconds(run.chosen.router_pid);
    const auto period = duration(static_cast<std::int64_t>(1e6 / run.chosen.rate));
    const auto source = run.loop.call_every(period, [&] { start_request(run, address, path); });
    run.loop.run_until([] { return false; }, std::chrono::seconds(run.chosen.seconds));
    const auto after = cpu_seconds(run.chosen.router_pid);
    return after - before;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto run = load_run{};
    run.chosen = parse(argc, argv);
    send_requests(run, run.chosen.engine, run.direct);
    run.loop.run_until([&] { return run.in_progress == 0; }, 60s);
    const auto tokens_before = run.routed.tokens;
    const auto routed_cpu_seconds = send_requests(run, run.chosen.router, run.routed);
    const auto routed_tokens = static_cast<double>(run.routed.tokens - tokens_before);
    run.loop.run_until([&] { return run.in_progress == 0; }, 60s);
    const auto& chosen = run.chosen;
    print("first_token_ms_p95", chosen, "direct", quantile(run.direct.first_token_ms, 0.95), "ms");
    print("first_token_ms_p95", chosen, "cyclamenpost", quantile(run.routed.first_token_ms, 0.95),
          "ms");
    print("relay_added_ms_p95", chosen, "cyclamenpost",
          quantile(run.routed.first_token_ms, 0.95) - quantile(run.direct.first_token_ms, 0.95),
          "ms");
    print("relay_tokens_per_second_per_core", chosen, "cyclamenpost",
          routed_tokens / routed_cpu_seconds, "tokens/s");
    print("relay_failed", chosen, "cyclamenpost", static_cast<double>(run.routed.failed),
          "requests");
    print("relay_failed", chosen, "direct", static_cast<double>(run.direct.failed), "requests");
    return run.routed.failed == 0 ? 0 : 1;
}
