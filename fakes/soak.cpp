#include <iostream>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "soak_fleet.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::fakes;

namespace {

constexpr duration reap_period = std::chrono::milliseconds{200};
constexpr duration call_limit = std::chrono::milliseconds{3500};
// after the last fault, callers must be served again within this time (the users' bound is 12 s)
constexpr duration recovery_limit = std::chrono::seconds{12};

/// One caller that sends a request, checks its end and goes on.
struct soak_caller {
    std::size_t instance = 0;
    client_exchange exchange;
    timer next;
    timer limit;
    std::string id;
    std::string kind;
    std::string body;
    int status = 0;
    time_point sent{};
};

struct soak {
    soak_options options;
    event_loop loop;
    soak_fleet fleet;
    http1_client client{loop, std::chrono::seconds{5}};
    std::mt19937_64 random;
    std::vector<std::unique_ptr<soak_caller>> callers;
    std::map<std::string, int> counts;
    std::vector<std::string> violations;
    std::vector<std::string> refused;
    timer harm_timer;
    timer reap_timer;
    bool healed = false;
    time_point healed_at{};
    time_point last_failure{};
    int served_after_heal = 0;
    int number = 0;

    explicit soak(soak_options chosen)
        : options(std::move(chosen)), fleet(loop, options), random(options.seed)
    {}

    auto violate(const std::string& what, const soak_caller& caller) -> void
    {
        violations.push_back(what + ": " + caller.id + " status " + std::to_string(caller.status) +
                             " runs " + std::to_string(fleet.runs(caller.id)));
        std::cout << "VIOLATION " << violations.back() << std::endl;
    }

    auto run() -> int;
    auto send(soak_caller& caller) -> void;
    auto end(soak_caller& caller, bool whole) -> void;
    auto check(const soak_caller& caller, bool whole) -> void;
    auto again(soak_caller& caller) -> void;
    auto harm() -> void;
    auto report() -> int;
};

auto whole_stream() -> std::string
{
    auto text = std::string{};
    for (auto event = 1; event <= fake_target::events_per_stream; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
    }
    return text;
}

auto soak::send(soak_caller& caller) -> void
{
    constexpr std::array kinds{"book", "read", "quote"};
    caller.kind = kinds[random() % kinds.size()];
    caller.id = "s" + std::to_string(++number);
    caller.instance = random() % fleet.instances().size();
    caller.body.clear();
    caller.status = 0;
    caller.sent = monotonic_now();
    auto request = outgoing_request{};
    request.address = fleet.instances()[caller.instance].front;
    request.fresh_connection = random() % 3 == 0;
    request.head.method = caller.kind == "read" ? "GET" : "POST";
    request.head.target = "/" + caller.kind + "/" + caller.id;
    request.head.fields = {{"Host", "soak.example"},
                           {"X-Attempt-Id", caller.id},
                           {"X-Deadline-Ms", "3000"},
                           {"X-Api-Key", "always"}};
    if (caller.kind == "quote") {
        request.head.fields.push_back(
            {"X-Prompt-Prefix", "a1:50,b" + std::to_string(number % 5) + ":900,c1:10"});
    }
    request.body = caller.kind == "read" ? "" : caller.id;
    auto handlers = exchange_handlers{};
    handlers.on_head = [&caller](response_head& head) { caller.status = head.status; };
    handlers.on_body = [&caller](std::string_view bytes) { caller.body += bytes; };
    handlers.on_complete = [this, &caller] { end(caller, true); };
    handlers.on_failed = [this, &caller](exchange_failure) { end(caller, false); };
    const auto begun = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(caller.exchange, client.send(request, std::move(handlers)));
            return {};
        },
        [](const error&) {});
    if (!begun) {
        again(caller);
        return;
    }
    caller.limit = loop.call_after(call_limit, [this, &caller] {
        caller.exchange.cancel();
        end(caller, false);
    });
}

auto soak::check(const soak_caller& caller, bool whole) -> void
{
    constexpr auto ok = 200;
    const auto runs = fleet.runs(caller.id);
    if (caller.kind == "book" && runs > 1) {
        violate("a booking ran more than once", caller);
    }
    const auto promised = caller.status == 503 || caller.status == 429 || caller.status == 408;
    if (whole && promised && caller.kind == "book") {
        if (runs > 0) {
            violate("a refused booking ran", caller);
        }
        refused.push_back(caller.id);
    }
    if (whole && caller.status == ok) {
        const auto right = caller.kind == "quote"  ? caller.body == whole_stream()
                           : caller.kind == "book" ? caller.body.ends_with(" to " + caller.id)
                                                   : caller.body.starts_with("answer of ");
        if (!right) {
            violate("an answer that looks whole is not", caller);
        }
    }
    if (whole && (caller.status == 401 || caller.status == 404)) {
        violate("a proper request was denied", caller);
    }
}

auto soak::end(soak_caller& caller, bool whole) -> void
{
    caller.limit.reset();
    check(caller, whole);
    constexpr auto ok = 200;
    const auto served = whole && caller.status == ok;
    ++counts[served ? "served" : whole ? "status " + std::to_string(caller.status) : "cut"];
    if (healed && served) {
        ++served_after_heal;
    }
    if (healed && !served) {
        last_failure = monotonic_now();
    }
    again(caller);
}

auto soak::again(soak_caller& caller) -> void
{
    constexpr auto longest_pause_ms = 40;
    caller.next = loop.call_after(std::chrono::milliseconds{1 + random() % longest_pause_ms},
                                  [this, &caller] { send(caller); });
}

auto soak::harm() -> void
{
    const auto done = fleet.harm(random);
    std::cout << "fault " << done << std::endl;
    constexpr auto longest_gap_ms = 900;
    harm_timer = loop.call_after(std::chrono::milliseconds{50 + random() % longest_gap_ms},
                                 [this] { harm(); });
}

auto soak::report() -> int
{
    for (const auto& id : refused) {
        if (fleet.runs(id) > 0) {
            violations.push_back("a refused booking ran later: " + id);
        }
    }
    const auto late = last_failure - healed_at;
    if (served_after_heal == 0 || late > recovery_limit) {
        violations.push_back("callers are not served again after the faults");
    }
    if (fleet.own_ends() > 0) {
        violations.push_back("processes ended by themselves: " + std::to_string(fleet.own_ends()));
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
    reap_timer = loop.call_every(reap_period, [this] { fleet.reap(); });
    loop.run_until([] { return false; }, std::chrono::seconds{2});
    for (auto index = 0; index < options.callers; ++index) {
        callers.push_back(std::make_unique<soak_caller>());
        send(*callers.back());
    }
    harm();
    loop.run_until([] { return false; }, options.length);
    harm_timer.reset();
    fleet.heal();
    healed = true;
    healed_at = monotonic_now();
    loop.run_until([] { return false; }, recovery_limit + std::chrono::seconds{2});
    callers.clear();
    return report();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto line = TCLAP::CmdLine{"Random faults on a real fleet, with the promises checked", ' ',
                               CYCLAMENPOST_VERSION};
    auto program =
        TCLAP::ValueArg<std::string>{"", "program", "entry daemon", true, "", "PATH", line};
    auto seed =
        TCLAP::ValueArg<std::uint64_t>{"", "seed", "seed of the faults", false, 1, "N", line};
    auto seconds =
        TCLAP::ValueArg<int>{"", "seconds", "length of the faults", false, 20, "S", line};
    auto instances = TCLAP::ValueArg<int>{"", "instances", "entry instances", false, 4, "N", line};
    auto callers = TCLAP::ValueArg<int>{"", "callers", "callers at once", false, 12, "N", line};
    line.parse(argc, argv);
    auto options = soak_options{};
    options.program = program.getValue();
    options.seed = seed.getValue();
    options.length = std::chrono::seconds{seconds.getValue()};
    options.instances = instances.getValue();
    options.callers = callers.getValue();
    return soak{options}.run();
}
