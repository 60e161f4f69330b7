#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "cyclamenpost/limits/limits.hpp"
#include "property.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

auto at(duration since) -> time_point
{
    return time_point{1000s} + since;
}

auto any(const queued_work&) -> bool
{
    return true;
}

auto work_of(std::uint64_t id, std::string organisation, std::uint64_t cost = 1,
             work_class kind = work_class::interactive) -> queued_work
{
    auto work = queued_work{};
    work.id = id;
    work.organisation = std::move(organisation);
    work.kind = kind;
    work.cost = cost;
    return work;
}

auto fill(fair_queue& queue, const std::string& organisation, std::uint64_t first, int count,
          std::uint64_t cost = 1) -> void
{
    for (auto i = 0; i < count; ++i) {
        const auto id = first + static_cast<std::uint64_t>(i);
        REQUIRE(enqueue_work(queue, work_of(id, organisation, cost), at(0s)).queued);
    }
}

// cost started per organisation in the next `starts` starts
auto started_cost(fair_queue& queue, int starts) -> std::map<std::string, std::uint64_t>
{
    auto cost = std::map<std::string, std::uint64_t>{};
    for (auto i = 0; i < starts; ++i) {
        const auto work = start_next_work(queue, any, at(0s));
        REQUIRE(work);
        cost[work->organisation] += work->cost;
        finish_work(queue, work->organisation);
    }
    return cost;
}

// Waits of the small organisations at a target that runs four requests of 50 ms at a time. The
// small organisations use half of its capacity; the large one sends `surge` requests every 10 ms.
auto small_waits(int surge) -> std::vector<duration>
{
    auto queue = make_fair_queue();
    auto waits = std::vector<duration>{};
    auto running = std::multimap<time_point, std::string>{};
    auto id = std::uint64_t{0};
    for (auto now = at(0s); now < at(10s); now += 10ms) {
        expire_work(queue, now);
        while (!running.empty() && running.begin()->first <= now) {
            finish_work(queue, running.begin()->second);
            running.erase(running.begin());
        }
        for (auto i = 0; i < surge; ++i) {
            enqueue_work(queue, work_of(++id, "large"), now);
        }
        const auto tick = (now - at(0s)) / 10ms;
        if (tick % 5 < 2) {
            enqueue_work(queue, work_of(++id, "small-" + std::to_string(tick % 4)), now);
        }
        while (running.size() < 4) {
            const auto work = start_next_work(queue, any, now);
            if (!work) {
                break;
            }
            running.emplace(now + 50ms, work->organisation);
            if (work->organisation != "large") {
                waits.push_back(now - work->queued_at);
            }
        }
    }
    std::ranges::sort(waits);
    return waits;
}

} // namespace

TEST_CASE("a surge of one organisation raises the wait of the others by one service time at most")
{
    const auto calm = small_waits(0);
    const auto surge = small_waits(20);
    CHECK(surge.size() + 2 >= calm.size());
    CHECK(calm[calm.size() * 95 / 100] == 0ms);
    CHECK(surge[surge.size() * 95 / 100] <= 50ms);
}

TEST_CASE("organisations share by weight and cost regardless of the size of their requests")
{
    auto queue = make_fair_queue();
    set_share(queue, "double", {2, 64});
    fill(queue, "double", 0, 600);
    fill(queue, "single", 1000, 600);
    fill(queue, "bulky", 2000, 200, 10);
    const auto cost = started_cost(queue, 500);
    CHECK(cost.at("double") >= 2 * cost.at("single") - 8);
    CHECK(cost.at("double") <= 2 * cost.at("single") + 8);
    CHECK(cost.at("bulky") + 14 >= cost.at("single"));
    CHECK(cost.at("bulky") <= cost.at("single") + 14);
}

TEST_CASE("an organisation at its concurrency limit is skipped and accumulates no turns")
{
    auto queue = make_fair_queue();
    set_share(queue, "capped", {1, 1});
    fill(queue, "capped", 0, 100);
    fill(queue, "other", 1000, 300);
    CHECK(start_next_work(queue, any, at(0s))->organisation == "capped");
    for (auto i = 0; i < 200; ++i) {
        CHECK(start_next_work(queue, any, at(0s))->organisation == "other");
        finish_work(queue, "other");
    }
    finish_work(queue, "capped");
    const auto cost = started_cost(queue, 40);
    CHECK(cost.at("capped") <= 25);
}

TEST_CASE("an organisation that queues one request at a time is not first in every round")
{
    auto queue = make_fair_queue();
    fill(queue, "large", 0, 500);
    auto starts = std::map<std::string, int>{};
    for (auto i = 0; i < 400; ++i) {
        const auto id = 1000 + static_cast<std::uint64_t>(i);
        if (queue.organisations["single"].interactive.empty()) {
            enqueue_work(queue, work_of(id, "single"), at(0s));
        }
        const auto work = start_next_work(queue, any, at(0s));
        ++starts[work->organisation];
        finish_work(queue, work->organisation);
    }
    CHECK(starts["large"] >= 196);
}

TEST_CASE("work that does not fit does not block smaller work of others")
{
    auto queue = make_fair_queue();
    fill(queue, "bulky", 0, 1, 40);
    fill(queue, "small", 10, 3);
    const auto small_only = [](const queued_work& work) { return work.cost < 16; };
    for (auto i = 0; i < 3; ++i) {
        CHECK(start_next_work(queue, small_only, at(0s))->organisation == "small");
    }
    CHECK(!start_next_work(queue, small_only, at(0s)));
    CHECK(start_next_work(queue, any, at(0s))->organisation == "bulky");
}

TEST_CASE("a wait ends at the class's time limit or the caller's deadline")
{
    auto queue = make_fair_queue();
    enqueue_work(queue, work_of(1, "a"), at(0s));
    enqueue_work(queue, work_of(2, "a", 1, work_class::summary), at(0s));
    auto hurried = work_of(3, "a");
    hurried.deadline = at(500ms);
    enqueue_work(queue, hurried, at(0s));
    CHECK(next_expiry(queue) == at(500ms));
    CHECK(expire_work(queue, at(500ms)).at(0).id == 3);
    CHECK(expire_work(queue, at(1999ms)).empty());
    CHECK(expire_work(queue, at(2s)).at(0).id == 1);
    CHECK(expire_work(queue, at(10s)).at(0).id == 2);
    CHECK(!next_expiry(queue));
    hurried.deadline = at(0s);
    CHECK(enqueue_work(queue, hurried, at(1s)).reason == refusal::deadline_passed);
}

TEST_CASE("work that is queued again keeps its time limit")
{
    auto queue = make_fair_queue();
    enqueue_work(queue, work_of(1, "a"), at(0s));
    const auto started = start_next_work(queue, any, at(1500ms));
    REQUIRE(started);
    finish_work(queue, "a");
    CHECK(enqueue_work(queue, *started, at(1600ms)).queued);
    CHECK(expire_work(queue, at(2s)).size() == 1);
    CHECK(enqueue_work(queue, *started, at(2s)).reason == refusal::queue_timeout);
}

TEST_CASE("organisations with the default share use no memory")
{
    auto queue = make_fair_queue();
    set_share(queue, "named", {3, 5});
    set_share(queue, "invented", queue.settings.default_share);
    CHECK(queue.shares.size() == 1);
    set_share(queue, "named", queue.settings.default_share);
    CHECK(queue.shares.empty());
}

TEST_CASE("cancelled work leaves the queue and never starts")
{
    auto queue = make_fair_queue();
    fill(queue, "a", 1, 3);
    CHECK(cancel_work(queue, 1));
    CHECK(!cancel_work(queue, 1));
    CHECK(start_next_work(queue, any, at(0s))->id == 2);
    CHECK(!cancel_work(queue, 2));
    CHECK(cancel_work(queue, 3));
    CHECK(!start_next_work(queue, any, at(0s)));
}

TEST_CASE("a full queue displaces work of the longest queue for other organisations")
{
    auto settings = queue_settings{};
    settings.max_queued = 10;
    settings.max_queued_per_organisation = 10;
    auto queue = make_fair_queue(settings);
    fill(queue, "large", 0, 10);
    CHECK(enqueue_work(queue, work_of(20, "large"), at(0s)).reason == refusal::queue_full);
    const auto admitted = enqueue_work(queue, work_of(21, "small"), at(0s));
    CHECK(admitted.queued);
    CHECK(admitted.displaced->id == 9);
    CHECK(queued_count(queue) == 10);
}

TEST_CASE("direct starts count towards the limit and do not overtake the queue")
{
    auto queue = make_fair_queue();
    set_share(queue, "a", {1, 2});
    CHECK(start_directly(queue, "a"));
    CHECK(start_directly(queue, "a"));
    CHECK(!start_directly(queue, "a"));
    fill(queue, "a", 1, 1);
    finish_work(queue, "a");
    CHECK(!start_directly(queue, "a"));
    CHECK(start_next_work(queue, any, at(0s))->id == 1);
}

TEST_CASE("any sequence of operations keeps the indexes consistent and removes idle organisations")
{
    check_property(
        [] {
            auto settings = queue_settings{};
            settings.max_queued = 12;
            settings.max_queued_per_organisation = 8;
            auto queue = make_fair_queue(settings);
            auto running = std::vector<std::string>{};
            auto now = at(0s);
            for (auto id = std::uint64_t{1}; id < 200; ++id) {
                const auto pick = *rc::gen::inRange(0, 8);
                if (pick < 4) {
                    const auto organisation = std::to_string(*rc::gen::inRange(0, 5));
                    enqueue_work(queue, work_of(id, organisation, 1 + id % 9), now);
                }
                else if (pick < 6) {
                    if (const auto work = start_next_work(queue, any, now)) {
                        running.push_back(work->organisation);
                    }
                }
                else if (pick == 6) {
                    cancel_work(queue, id / 2);
                    now += 300ms;
                    expire_work(queue, now);
                }
                else if (!running.empty()) {
                    finish_work(queue, running.back());
                    running.pop_back();
                }
                auto queued = std::size_t{0};
                for (const auto& [name, one] : queue.organisations) {
                    queued += one.interactive.size() + one.summary.size();
                }
                RC_ASSERT(queued == queue.by_id.size());
                RC_ASSERT(queued == queue.expiry.size());
                RC_ASSERT(queued <= settings.max_queued);
            }
            expire_work(queue, now + 1min);
            for (const auto& organisation : running) {
                finish_work(queue, organisation);
            }
            RC_ASSERT(queue.organisations.empty());
            RC_ASSERT(queue.new_organisations.empty());
            RC_ASSERT(queue.active_organisations.empty());
        },
        200);
}
