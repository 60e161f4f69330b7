#include <csignal>
#include <thread>

#include <unistd.h>

#include "entry_fixture.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::test;
using fakes::store_mode;
using fakes::target_mode;
using namespace std::chrono_literals;

namespace {

constexpr auto signal_time = time_point{1000s};

struct stopping_fleet : fleet_fixture {
    stopping_fleet()
    {
        publish(1);
        add_target("app-1", "app");
    }

    auto run_for(duration span) -> void
    {
        loop.run_until([] { return false; }, span);
    }

    auto addresses(std::size_t instance) -> std::size_t
    {
        const auto call = send_get(settings[instance].directory_address,
                                   "/cyclamenpost/resolve?name=shop.example&region=r&zone=a");
        return call.head.status == 200 ? nlohmann::json::parse(call.body)["addresses"].size() : 0;
    }
};

} // namespace

// Guards against requests that are taken in a planned stop and cut off at its end.
TEST_CASE_FIXTURE(stopping_fleet,
                  "planned_stop: a request that is passed on during a short stop is answered")
{
    shutdown_grace = 2s;
    add_instance();
    wait_ready();
    targets.front().set_delay(500ms);
    auto calls = std::map<std::string, caller_call>{};
    instances[0]->begin_shutdown();
    const auto begun = monotonic_now();
    while (stopped_instances == 0 && monotonic_now() - begun < 3s) {
        const auto id = "c" + std::to_string(calls.size());
        send(calls[id], "/book/1", 0, "key-1", id);
        run_for(40ms);
    }
    CHECK(stopped_instances == 1);
    auto served = 0;
    for (auto& entry : calls) {
        const auto& id = entry.first;
        const auto& call = entry.second;
        wait([&] { return call.ended(); });
        CAPTURE(id);
        CAPTURE(call.head.status);
        CHECK((runs_of(id) == 0 || call.head.status == 200));
        served += call.head.status == 200 ? 1 : 0;
    }
    CHECK(served > 5);
}

TEST_CASE_FIXTURE(stopping_fleet, "planned_stop: a target is told the time that the stop leaves")
{
    shutdown_grace = 3s;
    add_instance();
    wait_ready();
    instances[0]->begin_shutdown();
    CHECK(ask("/book/1").head.status == 200);
    const auto limit = find_field(targets.front().last_request().fields, "X-Deadline-Ms");
    REQUIRE(limit);
    CHECK(std::stoi(std::string{*limit}) < 3000);
}

TEST_CASE_FIXTURE(stopping_fleet,
                  "planned_stop: a request that is held at the end of the stop is answered")
{
    shutdown_grace = 600ms;
    store.set_mode(store_mode::silent);
    add_instance();
    wait([&] { return store.request_count() > 0; });
    auto call = caller_call{};
    send(call, "/book/1", 0, "key-1", "held");
    run_for(50ms);
    instances[0]->begin_shutdown();
    wait([&] { return stopped_instances == 1; });
    // the process ends at once
    instances.clear();
    wait([&] { return call.ended(); });
    CHECK(call.complete);
    CHECK(call.head.status == 503);
    CHECK(runs_of("held") == 0);
}

TEST_CASE_FIXTURE(stopping_fleet, "planned_stop: a reload during the stop neither lengthens it nor "
                                  "brings the instance back into the directory")
{
    shutdown_grace = 4s;
    add_instance();
    add_instance();
    wait_ready();
    wait([&] { return addresses(0) == 2 && addresses(1) == 2; });
    targets.front().set_mode(target_mode::mute);
    auto call = caller_call{};
    send(call, "/book/1");
    wait([&] { return targets.front().running_requests() == 1; });
    instances[0]->begin_shutdown();
    const auto begun = monotonic_now();
    wait([&] { return addresses(1) == 1; });
    auto changed = settings[0];
    changed.shutdown_grace = 60s;
    instances[0]->reload(changed);
    instances[0]->begin_shutdown();
    while (stopped_instances == 0 && monotonic_now() - begun < 6s) {
        run_for(100ms);
        CHECK(addresses(1) == 1);
    }
    CHECK(stopped_instances == 1);
    wait([&] { return call.ended(); });
    CHECK(call.head.status == 504);
}

TEST_CASE("planned_stop: whatever the grace time, most of it is left for the requests taken last")
{
    for (const auto grace :
         {duration{400ms}, duration{1s}, duration{3s}, duration{8s}, duration{60s}}) {
        const auto plan = plan_shutdown(signal_time, grace);
        CAPTURE(grace.count());
        CHECK(plan.accept_until > signal_time);
        CHECK(plan.accept_until < plan.stay_until);
        CHECK(plan.stay_until < plan.end);
        CHECK(plan.end < signal_time + grace);
        CHECK(plan.end - plan.accept_until >= (plan.accept_until - signal_time) * 2);
    }
}

TEST_CASE(
    "planned_stop: requests are refused at once that usually take longer than the stop leaves")
{
    const auto plan = plan_shutdown(signal_time, 8s);
    CHECK(can_serve(plan, 0s, signal_time));
    CHECK(can_serve(plan, 2s, signal_time + 2s));
    CHECK_FALSE(can_serve(plan, 3s, signal_time + 2s));
    CHECK(can_serve(plan, 3s, signal_time));
    CHECK_FALSE(can_serve(plan, 10s, signal_time));
    CHECK_FALSE(can_serve(plan, 0s, plan.accept_until));
}

// Guards against a grace time that is counted from the moment at which a process that was paused
// takes up the signal.
TEST_CASE(
    "planned_stop: a signal that waited while the process did not run is not taken for a new one")
{
    auto before = sigset_t{};
    sigprocmask(SIG_BLOCK, nullptr, &before);
    {
        auto loop = event_loop{};
        auto since = std::optional<time_point>{};
        auto sent = time_point{};
        REQUIRE(
            try_or([&] { return loop.watch_signals([&](int) { since = loop.events_since(); }); },
                   [](const error& failure) { FAIL(describe(failure)); }));
        const auto pause = loop.call_after(1ms, [&] {
            sent = monotonic_now();
            kill(getpid(), SIGHUP);
            std::this_thread::sleep_for(100ms);
        });
        REQUIRE(loop.run_until([&] { return since.has_value(); }, 10s));
        CHECK(*since <= sent);
    }
    sigprocmask(SIG_SETMASK, &before, nullptr);
}
