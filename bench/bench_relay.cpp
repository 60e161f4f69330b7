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

/// What is measured: requests at a fixed rate, alternately through the router and directly.
struct options {
    std::string router;
    std::string engine;
    int router_pid = 0;
    double rate = 44;
    int tokens = 250;
    int seconds = 10;
};

struct path_result {
    std::vector<double> first_token_ms;
    std::uint64_t tokens = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
};

struct load {
    event_loop loop{8192};
    options chosen;
    path_result routed;
    path_result direct;
    int in_progress = 0;
    int next = 0;
};

auto parse(int argc, char** argv) -> options
{
    auto line = TCLAP::CmdLine{"Measures what the relay adds", ' ', CYCLAMENPOST_VERSION};
    using text = TCLAP::ValueArg<std::string>;
    auto router = text{"", "router", "router address", true, "", "IP:PORT", line};
    auto engine = text{"", "engine", "engine address", true, "", "IP:PORT", line};
    auto pid = TCLAP::ValueArg<int>{"", "pid", "router process", true, 0, "PID", line};
    auto rate = TCLAP::ValueArg<double>{"", "rate", "requests/s", false, 44, "N", line};
    auto tokens = TCLAP::ValueArg<int>{"", "tokens", "tokens a request", false, 250, "N", line};
    auto seconds = TCLAP::ValueArg<int>{"", "seconds", "duration", false, 10, "S", line};
    line.parse(argc, argv);
    return {router.getValue(), engine.getValue(), pid.getValue(),
            rate.getValue(),   tokens.getValue(), seconds.getValue()};
}

/// Processor time of a process in seconds, user and system.
auto processor_seconds(int pid) -> double
{
    auto file = std::ifstream{"/proc/" + std::to_string(pid) + "/stat"};
    auto text = std::string(std::istreambuf_iterator<char>{file}, {});
    auto fields = std::istringstream{text.substr(text.rfind(')') + 2)};
    auto field = std::string{};
    constexpr auto user_field = 12;
    auto ticks = 0.0;
    for (auto i = 1; i <= user_field + 1 && fields >> field; ++i) {
        ticks += i >= user_field ? std::stod(field) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

auto start_request(load& run, const std::string& address, path_result& path) -> void
{
    const auto number = run.next++;
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
    auto seen = std::make_shared<int>(0);
    const auto started = monotonic_now();
    auto handlers = call_handlers{};
    handlers.on_data = [&path, events, seen, started](std::string_view bytes) {
        feed(*events, bytes, [&](const stream_event& event) {
            if (event.data == "[DONE]") {
                path.complete += 1;
                return;
            }
            if ((*seen)++ == 0) {
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

auto quantile(std::vector<double> values, double share) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
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

/// Sends requests along one path for the chosen time and waits for their ends.
auto drive(load& run, const std::string& address, path_result& path) -> double
{
    const auto before = processor_seconds(run.chosen.router_pid);
    const auto period = duration(static_cast<std::int64_t>(1e6 / run.chosen.rate));
    const auto source = run.loop.call_every(period, [&] { start_request(run, address, path); });
    run.loop.run_until([] { return false; }, std::chrono::seconds(run.chosen.seconds));
    const auto after = processor_seconds(run.chosen.router_pid);
    return after - before;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto run = load{};
    run.chosen = parse(argc, argv);
    drive(run, run.chosen.engine, run.direct);
    run.loop.run_until([&] { return run.in_progress == 0; }, 60s);
    const auto counted_before = run.routed.tokens;
    const auto processor = drive(run, run.chosen.router, run.routed);
    const auto counted = static_cast<double>(run.routed.tokens - counted_before);
    run.loop.run_until([&] { return run.in_progress == 0; }, 60s);
    const auto& chosen = run.chosen;
    print("first_token_ms_p95", chosen, "direct", quantile(run.direct.first_token_ms, 0.95), "ms");
    print("first_token_ms_p95", chosen, "cyclamenpost", quantile(run.routed.first_token_ms, 0.95),
          "ms");
    print("relay_added_ms_p95", chosen, "cyclamenpost",
          quantile(run.routed.first_token_ms, 0.95) - quantile(run.direct.first_token_ms, 0.95),
          "ms");
    print("relay_tokens_per_second_per_core", chosen, "cyclamenpost", counted / processor,
          "tokens/s");
    print("relay_failed", chosen, "cyclamenpost", static_cast<double>(run.routed.failed),
          "requests");
    print("relay_failed", chosen, "direct", static_cast<double>(run.direct.failed), "requests");
    return run.routed.failed == 0 ? 0 : 1;
}
