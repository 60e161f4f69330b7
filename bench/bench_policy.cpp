// Benchmarks of the policy modules. Prints one JSON line per measurement.
#include <algorithm>
#include <ctime>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <numeric>
#include <random>

#include <malloc.h>
#include <nlohmann/json.hpp>

#include "cyclamenpost/limits/idempotency.hpp"
#include "cyclamenpost/limits/limits.hpp"
#include "cyclamenpost/limits/retries.hpp"
#include "cyclamenpost/placement/commands.hpp"
#include "cyclamenpost/placement/lookup.hpp"
#include "cyclamenpost/relay/problem.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

using generator = std::mt19937_64;

struct measurement {
    std::string measure;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    double value = 0;
    std::string unit;
};

auto report(const measurement& one) -> void
{
    const auto line =
        nlohmann::json{{"measure", one.measure}, {"scenario", one.scenario}, {"policy", one.policy},
                       {"seed", one.seed},       {"value", one.value},       {"unit", one.unit}};
    std::cout << line.dump() << '\n';
}

auto at(duration since) -> time_point
{
    return time_point{1000s} + since;
}

auto milliseconds_of(duration span) -> double
{
    return static_cast<double>(span.count()) / 1000.0;
}

auto percentile95(std::vector<double> values) -> double
{
    if (values.empty()) {
        return 0.0;
    }
    std::ranges::sort(values);
    return values[values.size() * 95 / 100];
}

// --- waiting time of small organisations during a surge of a large one

// 8 slots with a mean service time of 100 ms serve 80 requests/s. The nine small
// organisations offer 36 requests/s, the large one 400.
constexpr std::size_t slots = 8;
constexpr duration mean_service_time = 100ms;
constexpr int small_organisations = 9;
constexpr double small_requests_per_second = 4.0;
constexpr double surge_requests_per_second = 400.0;
constexpr duration surge_length = 60s;
constexpr duration tick = 1ms;

// Queue that starts work in the order of arrival, with the same time limit and size limit as the
// fair queue.
struct fifo_queue {
    std::deque<queued_work> waiting;
    queue_settings settings;
};

struct surge_policy {
    std::function<bool(queued_work, time_point)> enqueue;
    std::function<std::optional<queued_work>(time_point)> next;
    std::function<void(const std::string&)> finish;
    std::function<void(time_point)> expire;
};

auto fair_policy(fair_queue& queue) -> surge_policy
{
    const auto any = [](const queued_work&) { return true; };
    return {[&](queued_work work, time_point now) {
                return enqueue_work(queue, std::move(work), now).queued;
            },
            [&, any](time_point now) { return start_next_work(queue, any, now); },
            [&](const std::string& organisation) { finish_work(queue, organisation); },
            [&](time_point now) { expire_work(queue, now); }};
}

auto fifo_policy(fifo_queue& queue) -> surge_policy
{
    return {[&](queued_work work, time_point now) {
                if (queue.waiting.size() >= queue.settings.max_queued) {
                    return false;
                }
                work.queued_at = now;
                queue.waiting.push_back(std::move(work));
                return true;
            },
            [&](time_point) -> std::optional<queued_work> {
                if (queue.waiting.empty()) {
                    return std::nullopt;
                }
                auto work = std::move(queue.waiting.front());
                queue.waiting.pop_front();
                return work;
            },
            [](const std::string&) {},
            [&](time_point now) {
                const auto limit = queue.settings.interactive_wait;
                while (!queue.waiting.empty() && queue.waiting.front().queued_at + limit <= now) {
                    queue.waiting.pop_front();
                }
            }};
}

struct surge_outcome {
    std::vector<double> small_waits_ms;
    std::size_t small_offered = 0;
};

struct arrivals {
    generator random;
    std::uint64_t last_id = 0;

    auto occurs(double per_second) -> bool
    {
        const auto chance = per_second * milliseconds_of(tick) / 1000.0;
        return std::bernoulli_distribution{chance}(random);
    }

    auto work(std::string organisation) -> queued_work
    {
        auto one = queued_work{};
        one.id = ++last_id;
        one.organisation = std::move(organisation);
        return one;
    }

    auto draw_service_time() -> duration
    {
        const auto mean = static_cast<double>(mean_service_time.count());
        const auto value = std::exponential_distribution{1.0 / mean}(random);
        return duration{static_cast<duration::rep>(value) + 1};
    }
};

auto enqueue_arrivals(surge_policy& policy, arrivals& source, surge_outcome& seen,
                      double large_rate, time_point now) -> void
{
    for (auto i = 0; i < small_organisations; ++i) {
        if (source.occurs(small_requests_per_second)) {
            ++seen.small_offered;
            policy.enqueue(source.work("small-" + std::to_string(i)), now);
        }
    }
    if (source.occurs(large_rate)) {
        policy.enqueue(source.work("large"), now);
    }
}

auto run_surge(surge_policy policy, std::uint64_t seed, double large_rate) -> surge_outcome
{
    auto source = arrivals{generator{seed}, 0};
    auto seen = surge_outcome{};
    auto running = std::multimap<time_point, std::string>{};
    for (auto now = at(0s); now < at(surge_length); now += tick) {
        policy.expire(now);
        while (!running.empty() && running.begin()->first <= now) {
            policy.finish(running.begin()->second);
            running.erase(running.begin());
        }
        enqueue_arrivals(policy, source, seen, large_rate, now);
        while (running.size() < slots) {
            const auto work = policy.next(now);
            if (!work) {
                break;
            }
            running.emplace(now + source.draw_service_time(), work->organisation);
            if (work->organisation != "large") {
                seen.small_waits_ms.push_back(milliseconds_of(now - work->queued_at));
            }
        }
    }
    return seen;
}

auto report_surge(const std::string& scenario, const std::string& policy, std::uint64_t seed,
                  const surge_outcome& seen) -> void
{
    report({"small_wait_p95", scenario, policy, seed, percentile95(seen.small_waits_ms), "ms"});
    const auto started = static_cast<double>(seen.small_waits_ms.size());
    report({"small_started", scenario, policy, seed,
            started / static_cast<double>(seen.small_offered), "share"});
}

auto measure_surge(std::uint64_t seed) -> void
{
    for (const auto& [scenario, rate] :
         std::map<std::string, double>{{"calm", 0.0}, {"surge", surge_requests_per_second}}) {
        auto fair = make_fair_queue();
        report_surge(scenario, "cyclamenpost", seed, run_surge(fair_policy(fair), seed, rate));
        auto fifo = fifo_queue{};
        report_surge(scenario, "fifo", seed, run_surge(fifo_policy(fifo), seed, rate));
    }
}

// --- attempts per request during an outage

// Average request rate of an instance. All attempts fail during the outage.
constexpr int outage_requests_per_second = 44;
constexpr int outage_seconds = 60;

auto attempts_in_outage(bool with_budget, std::uint64_t seed) -> double
{
    auto random = generator{seed};
    auto budget = retry_budget{};
    auto attempts = 0;
    const auto requests = outage_requests_per_second * outage_seconds;
    for (auto i = 0; i < requests; ++i) {
        const auto jitter = std::uniform_int_distribution<int>{0, 10'000}(random);
        const auto now = at(1s * i / outage_requests_per_second + duration{jitter});
        count_first_attempt(budget, now);
        auto attempt = retry_input{};
        attempt.repeatable = true;
        attempt.sent = true;
        for (attempt.attempts = 1; attempt.attempts < max_attempts; ++attempt.attempts) {
            if (with_budget && decide_retry(budget, attempt, now) != retry_decision::retry) {
                break;
            }
        }
        attempts += static_cast<int>(attempt.attempts);
    }
    return static_cast<double>(attempts) / requests;
}

auto measure_outage(std::uint64_t seed) -> void
{
    report({"attempts_per_request", "outage", "cyclamenpost", seed, attempts_in_outage(true, seed),
            "attempts"});
    report({"attempts_per_request", "outage", "no_budget", seed, attempts_in_outage(false, seed),
            "attempts"});
}

// --- targets killed by one request that its caller sends repeatedly

constexpr std::size_t crash_routers = 9;
constexpr std::size_t crash_targets = 12;
constexpr int crash_sends = 20;
constexpr duration send_interval = 1s;
constexpr duration crash_report_delay = 200ms;
constexpr duration retry_wait = 50ms;
constexpr duration request_length = 500ms;
constexpr int requests_per_target = 8;
constexpr std::uint64_t crashing_fingerprint = 1;
constexpr std::uint64_t first_innocent = 1000;

enum class crash_policy { cyclamenpost, no_isolation, no_suspects };

constexpr std::array crash_policy_names{
    enum_name<crash_policy>{crash_policy::cyclamenpost, "cyclamenpost"},
    enum_name<crash_policy>{crash_policy::no_isolation, "no_isolation"},
    enum_name<crash_policy>{crash_policy::no_suspects, "no_suspects"},
};

struct delayed_report {
    time_point arrives_at;
    crash_report seen;
};

struct running_suspect {
    std::uint64_t fingerprint = 0;
    time_point ends_at;
};

struct crash_target {
    incarnation_id incarnation = 1;
    std::vector<running_suspect> suspects;
};

struct crash_run {
    generator random;
    crash_policy policy{};
    std::vector<suspect_table> tables = std::vector<suspect_table>(crash_routers);
    std::vector<retry_budget> budgets = std::vector<retry_budget>(crash_routers);
    std::vector<delayed_report> pending_reports;
    std::vector<crash_target> targets = std::vector<crash_target>(crash_targets);
    std::uint64_t next_innocent = first_innocent;
    std::size_t killed = 0;
    std::size_t stopped = 0;
    std::size_t waiting = 0;
};

// Delivers due crash reports, and ends suspected requests that have run to completion, which
// clears the suspicion.
auto advance(crash_run& run, time_point now) -> void
{
    std::erase_if(run.pending_reports, [&](const delayed_report& one) {
        if (one.arrives_at > now) {
            return false;
        }
        for (auto& table : run.tables) {
            add_crash_report(table, one.seen, now);
        }
        return true;
    });
    for (auto& target : run.targets) {
        std::erase_if(target.suspects, [&](const running_suspect& one) {
            if (one.ends_at > now) {
                return false;
            }
            for (auto& table : run.tables) {
                clear_crash_reports(table, one.fingerprint, now);
            }
            return true;
        });
    }
}

auto suspicion_with_policy(const crash_run& run, std::size_t router, std::uint64_t fingerprint,
                           time_point now) -> suspicion
{
    if (run.policy == crash_policy::no_suspects) {
        return suspicion::none;
    }
    return suspicion_of(run.tables[router], fingerprint, now);
}

// Returns a random target that may run the request under the policy, or null.
auto pick_target(crash_run& run, suspicion suspicion_of_request) -> crash_target*
{
    auto order = std::vector<std::size_t>(crash_targets);
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::shuffle(order, run.random);
    for (const auto index : order) {
        auto& target = run.targets[index];
        if (run.policy != crash_policy::cyclamenpost ||
            isolation_allows(suspicion_of_request, target.suspects.size())) {
            return &target;
        }
    }
    return nullptr;
}

auto report_crashes(crash_run& run, std::size_t router, const crash_target& target,
                    const std::vector<std::uint64_t>& fingerprints, time_point now) -> void
{
    const auto index = static_cast<std::size_t>(&target - run.targets.data());
    for (const auto fingerprint : fingerprints) {
        const auto seen = crash_report{fingerprint, std::to_string(index), target.incarnation};
        add_crash_report(run.tables[router], seen, now);
        run.pending_reports.push_back({now + crash_report_delay, seen});
    }
}

auto retry_innocents(crash_run& run, std::size_t router,
                     const std::vector<std::uint64_t>& fingerprints, time_point now) -> void
{
    for (const auto fingerprint : fingerprints) {
        const auto own = suspicion_with_policy(run, router, fingerprint, now);
        if (own == suspicion::blocked) {
            ++run.stopped;
            continue;
        }
        auto* target = pick_target(run, own);
        if (target == nullptr) {
            ++run.waiting;
            continue;
        }
        target->suspects.push_back({fingerprint, now + request_length});
    }
}

// The target crashes with all requests that run on it: the crashing one, suspects and others.
auto kill_target(crash_run& run, std::size_t router, crash_target& target, time_point now) -> void
{
    auto innocents = std::vector<std::uint64_t>{};
    for (auto i = 0; i < requests_per_target; ++i) {
        innocents.push_back(run.next_innocent++);
    }
    for (const auto& one : target.suspects) {
        innocents.push_back(one.fingerprint);
    }
    target.suspects.clear();
    report_crashes(run, router, target, {crashing_fingerprint}, now);
    report_crashes(run, router, target, innocents, now);
    ++target.incarnation;
    ++run.killed;
    retry_innocents(run, router, innocents, now + retry_wait);
}

auto send_crashing(crash_run& run, time_point now) -> void
{
    const auto router =
        std::uniform_int_distribution<std::size_t>{0, crash_routers - 1}(run.random);
    count_first_attempt(run.budgets[router], now);
    auto attempt = retry_input{};
    attempt.repeatable = true;
    attempt.sent = true;
    for (attempt.attempts = 1;; ++attempt.attempts) {
        const auto own = suspicion_with_policy(run, router, crashing_fingerprint, now);
        auto* target = own == suspicion::blocked ? nullptr : pick_target(run, own);
        if (target == nullptr) {
            return;
        }
        kill_target(run, router, *target, now);
        if (decide_retry(run.budgets[router], attempt, now) != retry_decision::retry) {
            return;
        }
        now += retry_wait;
        advance(run, now);
    }
}

auto run_crashes(crash_policy policy, std::uint64_t seed) -> crash_run
{
    auto run = crash_run{};
    run.random.seed(seed);
    run.policy = policy;
    for (auto i = 0; i < crash_sends; ++i) {
        const auto now = at(send_interval * i);
        advance(run, now);
        send_crashing(run, now);
    }
    return run;
}

auto measure_crashes(std::uint64_t seed) -> void
{
    for (const auto& row : crash_policy_names) {
        const auto run = run_crashes(row.value, seed);
        const auto policy = std::string(row.name);
        report({"targets_killed", "crashing_request", policy, seed, static_cast<double>(run.killed),
                "targets"});
        report({"innocent_stopped", "crashing_request", policy, seed,
                static_cast<double>(run.stopped), "requests"});
        report({"innocent_waits_for_isolation", "crashing_request", policy, seed,
                static_cast<double>(run.waiting), "requests"});
    }
}

// --- memory and processor time

auto filled_table(std::size_t records, std::size_t body) -> idempotency_table
{
    auto table = make_idempotency_table("i1", 0x1f, 1'764'826'431'000, at(0s));
    const auto prefix = issue_key_prefix(table, at(0s)) + ".";
    for (auto i = std::size_t{0}; i < records; ++i) {
        const auto key = prefix + std::to_string(i);
        auto call = call_request{};
        call.key = key;
        call.content_hash = i;
        const auto begun = begin_call(table, call, at(0s));
        complete_call(table, begun.key_hash,
                      {201, "application/json", std::string(body, 'x'), true});
    }
    return table;
}

auto measure_record_size() -> void
{
    constexpr auto records = std::size_t{100'000};
    for (const auto body : {std::size_t{0}, std::size_t{200}}) {
        const auto before = mallinfo2();
        const auto table = filled_table(records, body);
        const auto after = mallinfo2();
        // Large hash tables are allocated by mmap, which only hblkhd counts.
        const auto used = after.uordblks - before.uordblks + after.hblkhd - before.hblkhd;
        report({"bytes_per_record", "body_" + std::to_string(body), "cyclamenpost", 0,
                static_cast<double>(used) / static_cast<double>(table.records.size()), "bytes"});
    }
}

auto measure_time(const std::string& decision, int repeats, const std::function<void(int)>& decide)
    -> void
{
    const auto start = std::clock();
    for (auto i = 0; i < repeats; ++i) {
        decide(i);
    }
    const auto seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    report({"cpu_per_decision", decision, "cyclamenpost", 0, seconds * 1e6 / repeats, "us"});
}

auto measure_idempotency_time() -> void
{
    auto table = make_idempotency_table("i1", 0x1f, 1'764'826'431'000, at(0s));
    const auto prefix = issue_key_prefix(table, at(0s)) + ".";
    measure_time("begin_and_complete_call", 90'000, [&](int i) {
        const auto key = prefix + std::to_string(i);
        auto call = call_request{};
        call.key = key;
        call.content_hash = 5;
        const auto begun = begin_call(table, call, at(1s));
        complete_call(table, begun.key_hash, {201, "application/json", "{\"run\":1}", true});
    });
    const auto known = prefix + "77";
    auto again = call_request{};
    again.key = known;
    again.content_hash = 5;
    measure_time("replay_call", 100'000, [&](int) { begin_call(table, again, at(2s)); });
}

auto measure_lookup_time() -> void
{
    for (const auto count : {9, 390}) {
        auto view = lookup_view{};
        for (auto i = 0; i < count; ++i) {
            const auto number = std::to_string(i);
            view.instances.push_back({"i" + number, "zone-" + std::to_string(i % 20),
                                      "127.0.0.1:" + std::to_string(8100 + i), lookup_state::live});
        }
        measure_time("lookup_" + std::to_string(count), 20'000, [&](int i) {
            const auto chat = std::to_string(i);
            const auto query = lookup_query{chat, "label-one", "quote-7b", {"i3", "i7", "i8"}};
            lookup_addresses(view, query, static_cast<std::uint64_t>(i));
        });
    }
}

auto measure_queue_time() -> void
{
    auto queue = make_fair_queue();
    const auto any = [](const queued_work&) { return true; };
    for (auto i = 0; i < 2000; ++i) {
        auto work = queued_work{};
        work.id = static_cast<std::uint64_t>(i) + 10'000'000;
        work.organisation = "organisation-" + std::to_string(i % 290);
        enqueue_work(queue, work, at(0s));
    }
    measure_time("enqueue_start_finish", 100'000, [&](int i) {
        auto work = queued_work{};
        work.id = static_cast<std::uint64_t>(i);
        work.organisation = "organisation-" + std::to_string(i % 290);
        work.cost = 1 + static_cast<std::uint64_t>(i % 9);
        enqueue_work(queue, work, at(0s));
        const auto started = start_next_work(queue, any, at(0s));
        if (started) {
            finish_work(queue, started->organisation);
        }
    });
}

auto measure_small_decisions() -> void
{
    auto budget = retry_budget{};
    auto attempt = retry_input{};
    measure_time("count_and_decide_retry", 1'000'000, [&](int i) {
        const auto now = at(1ms * i);
        count_first_attempt(budget, now);
        decide_retry(budget, attempt, now);
    });
    auto suspects = suspect_table{};
    for (auto i = std::uint64_t{0}; i < 10'000; ++i) {
        add_crash_report(suspects, {i, "e1", 5}, at(0s));
    }
    auto stopped = 0;
    measure_time("suspect_standing", 1'000'000, [&](int i) {
        stopped += suspicion_of(suspects, static_cast<std::uint64_t>(i) % 20'000, at(1s)) ==
                   suspicion::blocked;
    });
    measure_time("problem_document", 100'000, [](int) {
        to_json(make_problem(refusal::wrong_owner, "Nothing ran here", 100,
                             {{"127.0.0.1:8101", "a", "i1"}}));
    });
    const auto wanted = desired_state{{{"quote-7b", "1", 4}}, {}, ""};
    const auto reported = reported_state{7, target_state::cold, 5, {}, {}, "", at(0s)};
    measure_time("order", 1'000'000, [&](int i) {
        decide_command(wanted, reported, {true, true, 3, true}, {}, {}, at(1ms * i));
    });
}

} // namespace

auto main() -> int
{
    for (const auto seed : {std::uint64_t{1}, std::uint64_t{2}, std::uint64_t{3}}) {
        measure_surge(seed);
        measure_outage(seed);
        measure_crashes(seed);
    }
    measure_record_size();
    measure_idempotency_time();
    measure_lookup_time();
    measure_queue_time();
    measure_small_decisions();
    return 0;
}
