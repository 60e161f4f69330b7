#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numbers>
#include <optional>
#include <random>

#include "cyclamenpost/limits/admission.hpp"
#include "cyclamenpost/limits/retries.hpp"
#include "cyclamenpost/routing/attempts.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

auto at(duration since) -> time_point
{
    return time_point{1000s} + since;
}

/// The application service of one deployment, with callers whose arrivals, choices and returns are
/// played in virtual time.
struct replay {
    std::size_t instances = 67;
    std::size_t target_count = 4;
    double slots = 6;
    std::size_t queue_limit = 24;
    duration processing = 60ms;
    duration objective = 300ms;
    duration patience = 3s;
    duration one_way = 4ms;
    int batch = 1;
    /// Part of the attempts that go to the target that all instances think idle, for 300 ms.
    double herding = 0;
    /// Part of the time in which a target takes 2.5 times as long.
    double slow_share = 0;
    /// Uses the admission rules; otherwise those without the switch.
    bool admission = false;

    struct target_state {
        double running = 0;
        double pace = 1;
        std::deque<std::function<void()>> queue;
    };
    struct call {
        time_point arrived{};
        bool returned = false;
        std::size_t instance = 0;
        std::size_t attempts = 0;
        std::size_t first_target = 0;
        int pauses = 0;
    };

    std::mt19937_64 random{7};
    /// Arrivals and paces, which are the same whatever the rules decide.
    std::mt19937_64 surroundings{7};
    time_point now = at(0s);
    std::multimap<time_point, std::function<void()>> events;
    std::vector<target_state> targets;
    std::vector<service_pressure> pressures;
    std::vector<retry_budget> budgets;
    int calls = 0;
    int in_time = 0;
    int late = 0;
    int unserved = 0;
    int rejected_attempts = 0;
    /// Calls that all tried targets rejected, and those of them that were answered in time.
    int turned_away = 0;
    int turned_away_in_time = 0;

    auto draw() -> double
    {
        return std::uniform_real_distribution<double>{0, 1}(random);
    }
    auto after(duration delay, std::function<void()> step) -> void
    {
        events.emplace(now + delay, std::move(step));
    }
    auto facts(std::size_t instance) const -> capacity_facts
    {
        const auto count = targets.size();
        return capacity_of(pressures[instance], slots * static_cast<double>(count), count, 0,
                           instances, now);
    }
    auto left(const call& one) const -> remaining_time
    {
        const auto usual = first_byte_time(pressures[one.instance]);
        return {one.arrived + patience - now, one.arrived + objective - usual - now};
    }
    auto arrive(call one) -> void
    {
        one.instance = static_cast<std::size_t>(random() % instances);
        one.attempts = 0;
        count_first_attempt(budgets[one.instance], now);
        attempt(one);
    }
    auto attempt(call one) -> void
    {
        if (one.attempts == 0) {
            const auto same = static_cast<std::size_t>((now - at(0s)) / 300ms);
            one.first_target = (draw() < herding ? same : random()) % targets.size();
        }
        const auto chosen = (one.first_target + one.attempts) % targets.size();
        ++one.attempts;
        after(one_way, [this, one, chosen] { reach(one, chosen); });
    }
    auto reach(const call& one, std::size_t chosen) -> void
    {
        auto& target = targets[chosen];
        const auto begun = now - one_way;
        const auto serve = [this, one, chosen, begun] { run(one, chosen, begun); };
        if (target.running < slots) {
            ++target.running;
            serve();
        }
        else if (target.queue.size() < queue_limit) {
            target.queue.push_back(serve);
        }
        else {
            ++rejected_attempts;
            after(one_way, [this, one, chosen] { on_rejected(one, chosen); });
        }
    }
    auto run(const call& one, std::size_t chosen, time_point begun) -> void
    {
        const auto took_here =
            std::chrono::duration_cast<duration>(processing * targets[chosen].pace);
        after(took_here, [this, one, chosen, begun] {
            auto& target = targets[chosen];
            --target.running;
            if (!target.queue.empty()) {
                const auto next = std::move(target.queue.front());
                target.queue.pop_front();
                ++target.running;
                next();
            }
            const auto took = now + one_way - begun;
            record_times(pressures[one.instance], took, took);
            const auto timely = now + one_way - one.arrived <= objective;
            ++(timely ? in_time : late);
            turned_away_in_time += timely && (one.returned || one.pauses > 0) ? 1 : 0;
        });
    }
    auto on_rejected(call one, std::size_t chosen) -> void
    {
        auto& pressure = pressures[one.instance];
        auto& budget = budgets[one.instance];
        record_rejection(pressure, std::to_string(chosen), now);
        const auto can_retry = retries_left(budget, now) > 0;
        if (can_retry && one.attempts < 3) {
            spend_retry(budget, now);
            attempt(one);
            return;
        }
        turned_away += one.returned || one.pauses > 0 ? 0 : 1;
        const auto pause = pause_before_retry(facts(one.instance), left(one), draw());
        if (admission && can_retry && one.pauses < 2 && pause) {
            spend_retry(budget, now);
            ++one.pauses;
            one.attempts = 2;
            after(*pause, [this, one] { attempt(one); });
            return;
        }
        refuse(one);
    }
    auto refuse(call one) -> void
    {
        const auto rest = left(one);
        const auto delay = admission ? return_delay(facts(one.instance), rest, draw())
                                     : retry_after_delay(rest.caller, draw());
        record_refusal(pressures[one.instance], now);
        if (std::exchange(one.returned, true) || delay * 3 > rest.caller) {
            ++unserved;
            return;
        }
        after(delay, [this, one] { arrive(one); });
    }
    /// Calls arrive at the rate that the function gives, by time since the begin.
    auto play(duration length, const std::function<double(duration)>& rate) -> void
    {
        targets.resize(target_count);
        pressures.resize(instances);
        budgets.resize(instances);
        for (auto& budget : budgets) {
            budget.settings = divide_retry_budget({0.2, 50}, instances);
        }
        const auto begin = now;
        std::function<void()> arrival = [&] {
            for (auto count = 0; count < batch; ++count) {
                ++calls;
                arrive({now});
            }
            const auto gap =
                std::exponential_distribution<double>{rate(now - begin) / batch}(surroundings);
            if (now - begin < length) {
                after(std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap}),
                      arrival);
            }
        };
        auto pace_draw = std::uniform_real_distribution<double>{0, 1};
        std::function<void(std::size_t)> change_pace = [&](std::size_t index) {
            const auto drawn = pace_draw(surroundings);
            targets[index].pace = drawn < slow_share ? 2.5 : 1;
            if (now - begin < length) {
                after(duration{static_cast<std::int64_t>(400'000 +
                                                         400'000 * pace_draw(surroundings))},
                      [&change_pace, index] { change_pace(index); });
            }
        };
        for (std::size_t index = 0; index < targets.size(); ++index) {
            change_pace(index);
        }
        arrival();
        while (!events.empty()) {
            const auto first = events.begin();
            now = first->first;
            const auto step = std::move(first->second);
            events.erase(first);
            step();
        }
    }
};

auto play_booking(unsigned seed, bool admission) -> replay
{
    auto played = replay{};
    played.surroundings.seed(seed);
    played.admission = admission;
    played.herding = 0.7;
    played.play(20s, [](duration since) { return since > 5s && since < 11s ? 386.0 : 168.0; });
    return played;
}

auto play_listings(unsigned seed, bool admission) -> replay
{
    auto played = replay{};
    played.surroundings.seed(seed);
    played.admission = admission;
    played.herding = 0.7;
    played.instances = 140;
    played.target_count = 3;
    played.processing = 30ms;
    played.objective = 150ms;
    played.patience = 2500ms;
    played.one_way = 1ms;
    played.batch = 3;
    played.slow_share = 0.15;
    played.play(39s, [](duration since) {
        const auto turn = 2 * std::numbers::pi * std::chrono::duration<double>(since).count() / 13;
        return 260 * (1 + 0.55 * std::sin(turn));
    });
    return played;
}

auto request_of(std::uint64_t id, std::string organisation, int priority, duration latest)
    -> waiting_request
{
    auto request = waiting_request{};
    request.id = id;
    request.service = "app";
    request.organisation = std::move(organisation);
    request.priority = priority;
    request.latest_start = at(latest);
    request.bytes = 100;
    return request;
}

auto any(std::uint64_t) -> bool
{
    return true;
}

} // namespace

// Guards against refused callers whose return is always late: other targets have room within tens
// of milliseconds, and the delay was a share of the caller's patience.
TEST_CASE("admission: in bursts and waves more calls that targets turned away are answered in time")
{
    for (const auto listings : {false, true}) {
        auto missed = std::array<int, 2>{};
        auto turned_away = std::array<int, 2>{};
        auto in_time = std::array<int, 2>{};
        auto calls = std::array<int, 2>{};
        for (const auto seed : {1U, 2U, 3U}) {
            for (const auto admission : {0U, 1U}) {
                const auto played = listings ? play_listings(seed, admission == 1)
                                             : play_booking(seed, admission == 1);
                missed.at(admission) += played.late + played.unserved;
                turned_away.at(admission) += played.turned_away;
                in_time.at(admission) += played.turned_away_in_time;
                calls.at(admission) += played.calls;
            }
        }
        const auto name = std::string{listings ? "listings" : "booking"};
        INFO(name << ": calls " << calls[0] << ", missed " << missed[0] << " before and "
                  << missed[1] << " after; turned away " << turned_away[0] << " and "
                  << turned_away[1] << ", of which in time " << in_time[0] << " and "
                  << in_time[1]);
        CHECK(missed[1] < missed[0]);
        CHECK(in_time[1] * 10 > turned_away[1]);
        CHECK(in_time[0] * 10 <= turned_away[0]);
    }
}

// Guards against callers that are refused together and return together.
TEST_CASE("admission: 2,000 callers refused at once return spread, and later the more there are")
{
    auto seen = service_pressure{};
    record_times(seen, 60ms, 60ms);
    const auto left = remaining_time{3s, 200ms};
    auto random = std::mt19937_64{3};
    auto shares = std::uniform_real_distribution<double>{0, 1};
    auto last = duration::zero();
    for (const auto refused_before : {0, 2, 30}) {
        auto own = seen;
        for (const auto* id : {"a", "b", "c", "d"}) {
            record_rejection(own, id, at(0s));
        }
        for (auto count = 0; count < refused_before; ++count) {
            record_refusal(own, at(0s));
        }
        const auto facts = capacity_of(own, 24, 4, 0, 67, at(0s));
        auto returns = std::map<std::int64_t, int>{};
        auto sum = duration::zero();
        for (auto caller = 0; caller < 2000; ++caller) {
            const auto delay = return_delay(facts, left, shares(random));
            ++returns[delay / 20ms];
            sum += delay;
        }
        const auto most = std::max_element(returns.begin(), returns.end(),
                                           [](auto& a, auto& b) { return a.second < b.second; });
        CAPTURE(refused_before);
        CHECK(most->second <= 2000 / 2);
        CHECK(sum / 2000 > last);
        last = sum / 2000;
    }
    CHECK(last > 450ms);
}

TEST_CASE("admission: a delay is at least 20 ms, honoured by the caller, and in time if it can be")
{
    auto random = std::mt19937_64{5};
    auto draw = [&](double most) {
        return std::uniform_real_distribution<double>{0, most}(random);
    };
    for (auto round = 0; round < 20'000; ++round) {
        auto facts = capacity_facts{};
        facts.slots = draw(200);
        facts.targets = 1 + static_cast<std::size_t>(random() % 9);
        facts.rejecting = static_cast<std::size_t>(random()) % (facts.targets + 1);
        facts.returning_per_second = draw(500);
        facts.waiting = draw(300);
        facts.occupied = duration{static_cast<std::int64_t>(draw(300'000)) + 1};
        const auto caller = duration{static_cast<std::int64_t>(draw(3e6))};
        const auto left = remaining_time{
            caller, std::min(caller, duration{static_cast<std::int64_t>(draw(3e5))} - 50ms)};
        const auto room = time_until_room(facts).value_or(1h);
        const auto delay = return_delay(facts, left, draw(1));
        CHECK(delay >= 20ms);
        CHECK((delay <= 20ms || delay * 3 <= left.caller));
        CHECK((left.objective < room + 20ms || delay <= left.objective));
        const auto pause = pause_before_retry(facts, left, draw(1));
        CHECK((!pause || (*pause >= 20ms && *pause <= left.objective)));
    }
    // without an observed time the rule without the switch applies
    CHECK(return_delay({}, {3s, 200ms}, 1) == retry_after_delay(3s, 1));
}

// Guards against one organisation at 7.5 times its rate that takes the turns of the others.
TEST_CASE("admission: organisations take turns, and no level of urgency starves")
{
    auto queue = admission_queue{};
    auto id = std::uint64_t{0};
    for (auto round = 0; round < 75; ++round) {
        enter_queue(queue, request_of(++id, "large", 1, 1s), at(0s));
    }
    for (auto round = 0; round < 10; ++round) {
        enter_queue(queue, request_of(++id, "small", 1, 1s), at(0s));
    }
    for (auto round = 0; round < 30; ++round) {
        enter_queue(queue, request_of(++id, "urgent", 0, 1s), at(0s));
    }
    enter_queue(queue, request_of(1000, "small", 1, 500ms), at(0s));
    auto order = std::vector<std::uint64_t>{};
    while (const auto next = take_next(queue, "app", any, at(0s))) {
        order.push_back(*next);
    }
    REQUIRE(order.size() == 116);
    const auto position = [&](std::uint64_t which) {
        return std::find(order.begin(), order.end(), which) - order.begin();
    };
    CHECK(position(86) == 0);
    CHECK(position(115) < 41);
    CHECK(position(1) < 8);
    // the one with the least time left is its organisation's first
    CHECK(position(1000) < position(76));
    CHECK(position(85) < 60);
}

// Guards against waiters that stay beyond their use or hold places after they have left.
TEST_CASE("admission: the queue is bounded in number and bytes, and gives up what is too late")
{
    auto queue = admission_queue{};
    queue.settings.max_waiting = 4;
    queue.settings.max_bytes = 1000;
    for (auto id = 1U; id <= 4; ++id) {
        CHECK_FALSE(enter_queue(queue, request_of(id, "large", 1, 1s * id), at(0s)).rejected);
    }
    CHECK(enter_queue(queue, request_of(5, "large", 1, 9s), at(0s)).rejected ==
          admission_rule::queue_full);
    CHECK(enter_queue(queue, request_of(6, "small", 1, 9s), at(0s)).displaced ==
          std::vector<std::uint64_t>{4});
    CHECK(enter_queue(queue, request_of(7, "large", 0, 9s), at(0s)).displaced.size() == 1);
    CHECK(enter_queue(queue, request_of(8, "small", 0, 0s), at(0s)).rejected ==
          admission_rule::objective_missed);
    auto big = request_of(9, "small", 0, 9s);
    big.bytes = 1001;
    CHECK(enter_queue(queue, big, at(0s)).rejected == admission_rule::queue_full);
    CHECK(take_expired(queue, at(1s)) == std::vector<std::uint64_t>{1});
    for (const auto id : {2U, 6U, 7U, 7U}) {
        leave_queue(queue, id);
    }
    CHECK(queue.bytes == 100 * queue.requests.size());
    CHECK(waiting_count(queue, "app") == queue.requests.size());
}
