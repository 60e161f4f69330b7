#include "cyclamenpost/entry/forwarder.hpp"
#include "entry_fixture.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::test;

namespace {

/// Three instances before more targets than a part of a prompt may crash.
struct fleet_with_deadly_content : fleet_fixture {
    fleet_with_deadly_content()
    {
        for (auto index = 0; index < 14; ++index) {
            const auto number = std::to_string(index);
            add_target("engine-" + number, "engine").set_deadly_text("dead:");
            add_target("app-" + number, "app").set_deadly_text("/deadly");
        }
        publish(1);
        for (const auto* zone : {"a", "b", "c"}) {
            add_instance(zone);
        }
        wait_ready();
        wait([&] {
            return std::all_of(instances.begin(), instances.end(), [](const auto& instance) {
                return instance->view().targets.targets.size() == 28 &&
                       instance->view().retries.min_per_second > 0;
            });
        });
    }

    auto crashed_targets() const -> int
    {
        return static_cast<int>(
            std::count_if(targets.begin(), targets.end(),
                          [](const fakes::fake_target& target) { return target.crashed(); }));
    }

    /// Waits until no instance sends requests to targets that have crashed.
    auto wait_crashed_gone() -> void
    {
        for (const auto& target : targets) {
            if (target.crashed()) {
                store.remove(target.store_key());
            }
        }
        wait([&] {
            return std::all_of(instances.begin(), instances.end(), [&](const auto& instance) {
                const auto& known = instance->view().targets;
                return std::all_of(targets.begin(), targets.end(), [&](const auto& target) {
                    const auto entry = known.targets.find(target.id());
                    return !target.crashed() || entry == known.targets.end() ||
                           entry->second.listing == listing_state::removed;
                });
            });
        });
    }

    auto wait_blocked() -> void
    {
        wait([&] {
            return std::all_of(instances.begin(), instances.end(), [](const auto& instance) {
                return !instance->view().crashes.blocked.empty();
            });
        });
    }

    auto ask_tainted(int number, std::size_t instance) -> caller_call
    {
        prompt = "a1:500,b2:4000,dead:50," + std::to_string(number) + ":100";
        return ask("/quote/" + std::to_string(number), instance);
    }

    auto ask_sound(int number, std::size_t instance) -> caller_call
    {
        prompt = "a1:500,b2:4000," + std::to_string(number) + ":100";
        return ask("/quote/" + std::to_string(number), instance);
    }
};

} // namespace

TEST_CASE_FIXTURE(fleet_with_deadly_content,
                  "crash_monitor: requests that share a part that crashes targets stop reaching "
                  "them, at each instance and at one that starts later")
{
    for (auto number = 1; number <= 3; ++number) {
        ask_tainted(number, static_cast<std::size_t>(number) % 3);
    }
    wait_blocked();
    const auto crashed = crashed_targets();
    CHECK(crashed <= 6);
    wait_crashed_gone();
    add_instance("a");
    wait_ready();
    const auto left = targets.size() - static_cast<std::size_t>(crashed);
    wait([&] { return instances.back()->view().targets.targets.size() == left; });
    wait_blocked();
    for (auto number = 10; number < 30; ++number) {
        const auto instance = static_cast<std::size_t>(number) % instances.size();
        const auto call = ask_tainted(number, instance);
        CHECK(call.head.status == 503);
        CHECK(find_field(call.head.fields, "Retry-After").has_value());
        CHECK(ask_sound(100 + number, instance).head.status == 200);
    }
    CHECK(crashed_targets() == crashed);
}

TEST_CASE_FIXTURE(fleet_with_deadly_content,
                  "crash_monitor: a request without a prompt that crashes targets stops reaching "
                  "them though they close its connection cleanly")
{
    for (auto number = 1; number <= 2; ++number) {
        CHECK(ask("/read/deadly", static_cast<std::size_t>(number)).head.status == 502);
    }
    wait_blocked();
    const auto crashed = crashed_targets();
    CHECK(crashed <= 4);
    wait_crashed_gone();
    for (std::size_t number = 0; number < 12; ++number) {
        CHECK(ask("/read/deadly", number % 3).head.status == 503);
        CHECK(ask("/read/sound", number % 3).head.status == 200);
    }
    CHECK(crashed_targets() == crashed);
}

namespace {

/// The request path of one instance, with targets that the test adds.
struct lone_forwarder : fleet_fixture {
    platform_codec codec = platform::make_codec();
    fleet_view view;
    metric_registry metrics;
    std::unique_ptr<forwarder> path;
    std::unique_ptr<http1_server> front;

    lone_forwarder()
    {
        view.own_id = "own";
        view.up_to_date = true;
        auto sample = fakes::sample_configuration{};
        sample.api_keys = {"key-1"};
        view.routes = std::make_shared<const route_table>(
            *codec.decode_configuration(fakes::to_text(sample)));
        path = std::make_unique<forwarder>(loop, codec, view, forwarder_settings{}, metrics);
        front = std::make_unique<http1_server>(loop, server_limits{},
                                               [this](std::shared_ptr<server_exchange> exchange) {
                                                   path->handle(std::move(exchange));
                                               });
        settings.emplace_back().front_address = free_address(loop);
        check([&] { return front->listen(settings[0].front_address); });
    }
};

/// A target that sends the same bytes to each request and closes the connection cleanly.
struct closing_target {
    tcp_listener listener;
    std::list<tcp_connection> accepted;
    std::string answer;

    closing_target(event_loop& loop, const std::string& address)
    {
        fleet_fixture::check([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(
                listener, tcp_listener::open(
                              loop, address, [this](tcp_connection opened, const std::string&) {
                                  auto& connection = accepted.emplace_back(std::move(opened));
                                  connection.set_handlers({{},
                                                           [this, &connection](std::string_view) {
                                                               connection.send(answer);
                                                               connection.finish_sending();
                                                           },
                                                           {},
                                                           {}});
                              }));
            return {};
        });
    }
};

auto stream_head() -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: q1\r\nX-Server-Seal: s\r\n"
           "Content-Type: text/event-stream\r\n\r\n";
}

} // namespace

TEST_CASE_FIXTURE(
    lone_forwarder,
    "crash_monitor: a request that a target has not begun to answer is withdrawn when "
    "its content turns out to crash targets")
{
    auto& engine = add_target("engine-1", "engine");
    engine.set_delay(std::chrono::milliseconds{500});
    upsert_target(view.targets, *codec.decode_target(engine.id(), engine.store_entry()),
                  monotonic_now());
    auto call = caller_call{};
    send(call, "/quote/1");
    wait([&] { return engine.running_requests() == 1; });
    const auto now = monotonic_now();
    for (auto target = 1U; target <= view.crashes.settings.crashes_to_block; ++target) {
        add_crash(view.crashes, {target, 1, now - std::chrono::seconds{2}, {{0xb2, 1}}});
    }
    REQUIRE(update_blocked(view.crashes, now, {}));
    path->stop_blocked();
    wait([&] { return call.ended() && engine.running_requests() == 0; });
    CHECK(call.head.status == 502);
}

TEST_CASE_FIXTURE(
    lone_forwarder,
    "crash_monitor: a stream without a length that ends before its first event is not "
    "complete, and counts as the target's end")
{
    auto entry = published_target{};
    entry.id = "engine-1";
    entry.service = "engine";
    entry.zone = "a";
    entry.address = free_address(loop);
    entry.started_ms = 1;
    upsert_target(view.targets, entry, monotonic_now());
    auto target = closing_target{loop, entry.address};
    for (const auto* events : {"", "id: 1\nda"}) {
        view.crashes = {};
        target.answer = stream_head() + events;
        const auto call = ask("/quote/1", 0, "key-1", "q1");
        CHECK_FALSE(call.complete);
        REQUIRE(view.crashes.crashes.size() == 1);
        CHECK(view.crashes.crashes.front().keys.size() == 3);
        CHECK(view.crashes.begun.empty());
    }
    view.crashes = {};
    target.answer = stream_head() + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const auto call = ask("/quote/1", 0, "key-1", "q1");
    CHECK(call.complete);
    CHECK(view.crashes.crashes.empty());
    CHECK(view.crashes.begun.size() == 3);
}
