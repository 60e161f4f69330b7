#include <iostream>
#include <set>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "soak_fleet.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::fakes;

namespace {

// callers, targets and proxies of a hundred instances share the loop
constexpr auto max_connections = 16'384U;
constexpr duration restart_period = std::chrono::milliseconds{200};
constexpr duration request_timeout = std::chrono::milliseconds{3500};
// with refusals the time limits of callers are drawn up to 4 s
constexpr duration long_request_timeout = std::chrono::milliseconds{4500};
// callers must be served again within this time after the last fault (the users' bound is 12 s)
constexpr duration max_recovery_time = std::chrono::seconds{12};

/// One caller. It sends a request, checks its answer and sends the next one after a pause.
struct soak_caller {
    std::size_t instance = 0;
    client_exchange exchange;
    timer next_request;
    timer timeout;
    std::string id;
    std::string route;
    std::string body;
    int status = 0;
    time_point sent_at{};
};

/// A fleet under random faults, its callers, and the violations that they found.
struct soak {
    soak_options options;
    event_loop loop{max_connections};
    soak_fleet fleet;
    http1_client client{loop, std::chrono::seconds{5}};
    std::mt19937_64 random;
    /// Draws for routes that came later, so that the seeds of earlier failures keep their faults.
    std::mt19937_64 later_random;
    std::vector<std::unique_ptr<soak_caller>> callers;
    std::map<std::string, int> counts;
    std::vector<std::string> violations;
    std::vector<std::string> refused;
    /// Ids and routes of the requests that may run once.
    std::map<std::string, std::string> once;
    timer fault_timer;
    timer restart_timer;
    bool faults_cleared = false;
    time_point faults_cleared_at{};
    time_point last_failure{};
    int served_after_faults = 0;
    int last_request_number = 0;

    explicit soak(soak_options chosen)
        : options(std::move(chosen)),
          fleet(loop, options),
          random(options.seed),
          later_random(options.seed + 1)
    {}

    auto report_violation(const std::string& what, const soak_caller& caller) -> void
    {
        violations.push_back(what + ": " + caller.id + " status " + std::to_string(caller.status) +
                             " runs " + std::to_string(fleet.run_count(caller.id)));
        std::cout << "VIOLATION " << violations.back() << std::endl;
    }

    auto run() -> int;
    auto send(soak_caller& caller) -> void;
    auto end_request(soak_caller& caller, bool complete) -> void;
    auto check(const soak_caller& caller, bool complete) -> void;
    auto send_later(soak_caller& caller) -> void;
    auto inject_fault() -> void;
    /// Checks the runs that targets in processes of their own recorded.
    auto check_process_runs() -> void;
    auto report() -> int;
};

auto complete_stream() -> std::string
{
    auto text = std::string{};
    for (auto event = 1; event <= fake_target::events_per_stream; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
    }
    return text;
}

/// The events of a stream without the comments among them.
auto without_comments(std::string_view stream) -> std::string
{
    auto events = std::string{};
    while (!stream.empty()) {
        const auto end = std::min(stream.find("\n\n"), stream.size() - 2) + 2;
        events += stream.starts_with(':') ? std::string_view{} : stream.substr(0, end);
        stream.remove_prefix(std::min(end, stream.size()));
    }
    return events;
}

auto is_stream(const soak_caller& caller) -> bool
{
    return caller.route == "quote" || caller.route == "tag";
}

/// Whether the request may run once at most.
auto runs_once(const soak_caller& caller) -> bool
{
    return caller.route == "book" || caller.route == "tag";
}

/// Bookings at targets in processes of their own have the short time limit of the large deployment.
/// With refusals, limits are 1 to 4 s, so that requests have time to pause and return.
auto deadline_ms_of(const soak_caller& caller, const soak_options& options, std::mt19937_64& random)
    -> std::string
{
    constexpr auto least_ms = 1000U;
    constexpr auto span_ms = 3001U;
    if (options.refusals) {
        return options.caller_limit.count() > 0 ? std::to_string(options.caller_limit.count())
                                                : std::to_string(least_ms + random() % span_ms);
    }
    const auto faults = options.faults;
    return faults == soak_faults::processes && caller.route == "book" ? "800" : "3000";
}

auto soak::send(soak_caller& caller) -> void
{
    constexpr std::array routes{"book", "read", "quote"};
    caller.route = routes[random() % routes.size()];
    if (caller.route == "quote" && later_random() % 2 == 0) {
        caller.route = "tag";
    }
    caller.id = "s" + std::to_string(++last_request_number);
    caller.instance = random() % fleet.instances().size();
    if (runs_once(caller)) {
        once[caller.id] = caller.route;
    }
    caller.body.clear();
    caller.status = 0;
    caller.sent_at = monotonic_now();
    auto request = outgoing_request{};
    request.address = fleet.instances()[caller.instance].front;
    const auto fresh = random() % 3 == 0;
    request.fresh_connection = fresh && !options.refusals;
    request.head.method = caller.route == "read" ? "GET" : "POST";
    request.head.target = "/" + caller.route + "/" + caller.id;
    request.head.fields = {{"Host", "soak.example"},
                           {"X-Attempt-Id", caller.id},
                           {"X-Deadline-Ms", deadline_ms_of(caller, options, later_random)},
                           {"X-Api-Key", "always"}};
    if (is_stream(caller)) {
        request.head.fields.push_back(
            {"X-Prompt-Prefix",
             "a1:50,b" + std::to_string(last_request_number % 5) + ":900,c1:10"});
    }
    request.body = caller.route == "read" ? "" : caller.id;
    auto handlers = exchange_handlers{};
    handlers.on_head = [&caller](response_head& head) { caller.status = head.status; };
    handlers.on_body = [&caller](std::string_view bytes) { caller.body += bytes; };
    handlers.on_complete = [this, &caller] { end_request(caller, true); };
    handlers.on_failed = [this, &caller](exchange_failure) { end_request(caller, false); };
    const auto begun = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(caller.exchange, client.send(request, std::move(handlers)));
            return {};
        },
        [](const error&) {});
    if (!begun) {
        send_later(caller);
        return;
    }
    const auto timeout = options.refusals ? long_request_timeout : request_timeout;
    caller.timeout = loop.call_after(timeout, [this, &caller] {
        caller.exchange.cancel();
        end_request(caller, false);
    });
}

auto soak::check(const soak_caller& caller, bool complete) -> void
{
    constexpr auto ok = 200;
    const auto run_count = fleet.run_count(caller.id);
    if (runs_once(caller) && run_count > 1) {
        report_violation("a " + caller.route + " request ran more than once", caller);
    }
    const auto refused_unexecuted = caller.status == 503 || caller.status == 429 ||
                                    caller.status == 408 || caller.status == 421;
    if (complete && refused_unexecuted && runs_once(caller)) {
        if (run_count > 0) {
            report_violation("a refused " + caller.route + " request ran", caller);
        }
        refused.push_back(caller.id);
    }
    if (complete && caller.status == ok) {
        const auto has_expected_body =
            is_stream(caller)        ? without_comments(caller.body) == complete_stream()
            : caller.route == "book" ? caller.body.ends_with(" to " + caller.id)
                                     : caller.body.starts_with("answer of ");
        if (!has_expected_body) {
            report_violation("an answer that looks whole is not", caller);
        }
    }
    if (complete && (caller.status == 401 || caller.status == 404)) {
        report_violation("a proper request was denied", caller);
    }
}

auto soak::end_request(soak_caller& caller, bool complete) -> void
{
    caller.timeout.reset();
    check(caller, complete);
    constexpr auto ok = 200;
    const auto served = complete && caller.status == ok;
    ++counts[served ? "served" : complete ? "status " + std::to_string(caller.status) : "cut"];
    if (faults_cleared && served) {
        ++served_after_faults;
    }
    if (faults_cleared && !served) {
        last_failure = monotonic_now();
    }
    send_later(caller);
}

auto soak::send_later(soak_caller& caller) -> void
{
    constexpr auto max_pause_ms = 40;
    caller.next_request = loop.call_after(std::chrono::milliseconds{1 + random() % max_pause_ms},
                                          [this, &caller] { send(caller); });
}

auto soak::inject_fault() -> void
{
    const auto fault = fleet.inject_fault(random);
    std::cout << "fault " << fault << std::endl;
    constexpr auto max_fault_gap_ms = 900;
    constexpr auto max_short_gap_ms = 100;
    // with refusals, targets need time in which they have room between the faults
    const auto long_gaps = options.faults == soak_faults::all || options.refusals;
    const auto gap_ms =
        long_gaps ? 50 + random() % max_fault_gap_ms : 1 + random() % max_short_gap_ms;
    fault_timer = loop.call_after(std::chrono::milliseconds{gap_ms}, [this] { inject_fault(); });
}

auto soak::check_process_runs() -> void
{
    const auto runs = fleet.run_counts_of_processes();
    const auto was_refused = std::set<std::string>{refused.begin(), refused.end()};
    auto ran_twice = 0;
    auto refused_and_ran = 0;
    for (const auto& [id, count] : runs) {
        const auto found = once.find(id);
        if (found == once.end()) {
            continue;
        }
        if (count > 1) {
            ++ran_twice;
            violations.push_back("a " + found->second + " request ran more than once: " + id);
        }
        if (was_refused.contains(id)) {
            ++refused_and_ran;
            violations.push_back("a refused " + found->second + " request ran: " + id);
        }
    }
    std::cout << "requests " << last_request_number << ", ran " << runs.size() << ", may run once "
              << once.size() << ", refused " << refused.size() << ", ran twice " << ran_twice
              << ", refused and ran " << refused_and_ran << std::endl;
    if (options.refusals) {
        const auto refusals = fleet.refusals_of_processes();
        std::cout << "genuine refusals " << refusals.refused << ", duplicates "
                  << refusals.duplicates << ", while their id ran on that connection "
                  << refusals.during_run << ", on another connection " << refusals.during_other_run
                  << std::endl;
        if (refusals.during_run > 0) {
            violations.push_back("a connection carried a request twice: " +
                                 std::to_string(refusals.during_run));
        }
        if (refusals.during_other_run == 0) {
            violations.push_back("no duplicate of a refusal met a run, so nothing was checked");
        }
    }
}

auto soak::report() -> int
{
    if (options.faults == soak_faults::processes) {
        check_process_runs();
    }
    for (const auto& id : refused) {
        if (fleet.run_count(id) > 0) {
            violations.push_back("a refused request ran later: " + id);
        }
    }
    const auto recovery_time = last_failure - faults_cleared_at;
    if (served_after_faults == 0 || recovery_time > max_recovery_time) {
        violations.push_back("callers are not served again after the faults");
    }
    if (fleet.unexpected_exits() > 0) {
        violations.push_back("processes ended by themselves: " +
                             std::to_string(fleet.unexpected_exits()));
    }
    std::cout << "seed " << options.seed;
    for (const auto& [what, count] : counts) {
        std::cout << ", " << what << " " << count;
    }
    std::cout << ", violations " << violations.size() << std::endl;
    for (const auto& each : violations) {
        std::cout << "VIOLATION " << each << std::endl;
    }
    return violations.empty() ? 0 : 1;
}

auto soak::run() -> int
{
    const auto started = try_or([&] { return fleet.start(); },
                                [](const error& failure) { std::cerr << describe(failure); });
    if (!started) {
        return 2;
    }
    restart_timer = loop.call_every(restart_period, [this] { fleet.restart_ended_processes(); });
    loop.run_until([] { return false; }, std::chrono::seconds{2});
    for (auto index = 0; index < options.callers; ++index) {
        callers.push_back(std::make_unique<soak_caller>());
        send(*callers.back());
    }
    inject_fault();
    loop.run_until([] { return false; }, options.fault_time);
    fault_timer.reset();
    fleet.clear_faults();
    faults_cleared = true;
    faults_cleared_at = monotonic_now();
    loop.run_until([] { return false; }, max_recovery_time + std::chrono::seconds{2});
    callers.clear();
    return report();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto line = TCLAP::CmdLine{
        "Injects random faults into a fleet of real processes and checks its guarantees", ' ',
        CYCLAMENPOST_VERSION};
    auto program = TCLAP::ValueArg<std::string>{
        "", "program", "path of cyclamenpost_entry", true, "", "PATH", line};
    auto seed = TCLAP::ValueArg<std::uint64_t>{
        "", "seed", "random seed of faults and requests", false, 1, "N", line};
    auto seconds = TCLAP::ValueArg<int>{
        "", "seconds", "time during which faults are injected", false, 20, "S", line};
    auto instances =
        TCLAP::ValueArg<int>{"", "instances", "number of entry instances", false, 4, "N", line};
    auto callers = TCLAP::ValueArg<int>{"", "callers", "number of callers", false, 12, "N", line};
    auto targets = TCLAP::ValueArg<int>{
        "", "targets", "number of targets of each service", false, 3, "N", line};
    auto lost_answers = TCLAP::SwitchArg{
        "", "lost-answers", "inject only lost answers, refusals and pauses, in close succession",
        line};
    auto applications = TCLAP::ValueArg<int>{
        "", "applications", "targets of the service app, with --processes", false, 3, "N", line};
    auto processes = TCLAP::SwitchArg{
        "", "processes", "run targets as processes and inject only faults of processes", line};
    auto refusals = TCLAP::SwitchArg{
        "", "refusals",
        "with --processes: targets refuse requests despite free slots and send duplicates of these "
        "refusals",
        line};
    auto objective = TCLAP::ValueArg<int>{
        "", "objective-ms", "latency objective of the routes", false, 400, "MS", line};
    auto caller_limit = TCLAP::ValueArg<int>{
        "",    "limit-ms", "time limit of callers, with --refusals; 0: drawn from 1 to 4 s",
        false, 0,          "MS",
        line};
    line.parse(argc, argv);
    auto options = soak_options{};
    options.program = program.getValue();
    options.seed = seed.getValue();
    options.fault_time = std::chrono::seconds{seconds.getValue()};
    options.instances = instances.getValue();
    options.callers = callers.getValue();
    options.targets = targets.getValue();
    options.applications = applications.getValue();
    options.refusals = processes.getValue() && refusals.getValue();
    options.objective = std::chrono::milliseconds{objective.getValue()};
    options.caller_limit = std::chrono::milliseconds{caller_limit.getValue()};
    options.faults = processes.getValue()      ? soak_faults::processes
                     : lost_answers.getValue() ? soak_faults::lost_answers
                                               : soak_faults::all;
    return soak{options}.run();
}
