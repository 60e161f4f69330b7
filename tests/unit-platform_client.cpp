#include <doctest/doctest.h>

#include "cyclamenpost/configuration/config_state.hpp"
#include "cyclamenpost/configuration/instance_list.hpp"
#include "cyclamenpost/configuration/platform_client.hpp"
#include "fake_platform.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::fakes;
using namespace std::chrono_literals;

namespace {

auto fleet_text(int number) -> std::string
{
    return "[fleet]\nname = \"f" + std::to_string(number) + "\"\n";
}

auto list_text(int version) -> std::string
{
    auto list = instance_list{};
    list.version = static_cast<std::uint64_t>(version);
    return to_json(list);
}

struct client_fixture {
    event_loop loop;
    fake_platform platform{loop};
    config_state config;
    instance_list_state list;
    std::vector<error> failures;
    std::unique_ptr<platform_client> client;

    client_fixture()
    {
        REQUIRE(try_or([&] { return platform.start("127.0.0.1", 0); }, [](const error&) {}));
    }

    auto publish_list(int version) -> void
    {
        REQUIRE(try_or([&] { return platform.publish_instances(list_text(version)); },
                       [](const error&) {}));
    }

    auto start(bool watch, std::chrono::milliseconds watch_timeout = 30000ms) -> void
    {
        auto options = platform_options{};
        options.address = "127.0.0.1:" + std::to_string(platform.port());
        options.watch_timeout = watch_timeout;
        options.call_timeout = 300ms;
        auto callbacks = platform_callbacks{};
        callbacks.on_config = [this](published_text text) { apply_text(config, std::move(text)); };
        callbacks.on_instances = [this](std::string json) { apply_list(list, std::move(json)); };
        callbacks.on_failure = [this](const error& failure) { failures.push_back(failure); };
        callbacks.config_version = [this] { return in_force(config).version; };
        callbacks.list_version = [this] { return list.texts.current.id.version; };
        client = std::make_unique<platform_client>(loop, options, callbacks);
        client->watch(watch);
        client->start();
    }

    auto until(const std::function<bool()>& state) -> bool
    {
        return loop.run_until(state, 20s);
    }

    auto versions_are(std::uint64_t text, std::uint64_t listed) -> bool
    {
        return until([&] {
            return in_force(config).version == text && list.texts.current.id.version == listed;
        });
    }
};

} // namespace

TEST_CASE("a reader that does not watch makes one call for each value and no more")
{
    auto run = client_fixture{};
    run.platform.publish_config(fleet_text(1));
    run.publish_list(1);
    run.start(false);
    REQUIRE(run.versions_are(1, 1));
    CHECK(run.client->reachable());
    CHECK(run.client->counters().reads == 2);
    CHECK(run.client->counters().watches == 0);
    run.client->watch(true);
    CHECK(run.until([&] { return run.platform.calls().waiting == 2; }));
    run.client->watch(false);
    CHECK(run.until([&] { return run.platform.calls().waiting == 0; }));
    CHECK(run.client->counters().failures == 0);
}

TEST_CASE("a watcher receives each change by one long-polling call")
{
    auto run = client_fixture{};
    run.platform.publish_config(fleet_text(1));
    run.publish_list(1);
    run.start(true);
    REQUIRE(run.until([&] { return run.platform.calls().waiting == 2; }));
    run.platform.publish_config(fleet_text(2));
    run.publish_list(7);
    REQUIRE(run.versions_are(2, 7));
    REQUIRE(run.until([&] { return run.platform.calls().waiting == 2; }));
    CHECK(run.platform.calls().reads == 2);
    CHECK(run.platform.calls().watches == 4);
}

TEST_CASE("a watch without a change is repeated after its timeout and counts no failure")
{
    auto run = client_fixture{};
    run.platform.publish_config(fleet_text(1));
    run.publish_list(1);
    run.start(true, 40ms);
    REQUIRE(run.until([&] { return run.client->counters().watches >= 6; }));
    CHECK(run.client->counters().failures == 0);
}

TEST_CASE("a refused version is not read again, and the next version is received")
{
    auto run = client_fixture{};
    run.platform.publish_config(fleet_text(1));
    run.publish_list(1);
    run.start(true);
    REQUIRE(run.until([&] { return run.platform.calls().waiting == 2; }));
    run.platform.publish_config("wrong");
    REQUIRE(run.until([&] { return !run.config.refused.empty(); }));
    REQUIRE(run.until([&] { return run.platform.calls().waiting == 2; }));
    CHECK(run.platform.calls().watches == 3);
    run.platform.publish_config(fleet_text(3));
    CHECK(run.versions_are(3, 1));
}

TEST_CASE("a platform that is down at start or later is retried until it answers")
{
    auto run = client_fixture{};
    run.platform.publish_config(fleet_text(1));
    run.publish_list(1);
    run.platform.set_mode(platform_mode::down);
    run.start(true);
    REQUIRE(run.until([&] { return run.failures.size() >= 4; }));
    CHECK(!run.client->reachable());
    CHECK(run.failures[0].id == error_id::platform_unreachable);
    run.platform.set_mode(platform_mode::normal);
    REQUIRE(run.versions_are(1, 1));
    REQUIRE(run.until([&] { return run.platform.calls().waiting == 2; }));
    run.platform.set_mode(platform_mode::down);
    REQUIRE(run.until([&] { return !run.client->reachable(); }));
    run.platform.publish_config(fleet_text(2));
    run.platform.set_mode(platform_mode::normal);
    CHECK(run.versions_are(2, 1));
}

TEST_CASE("a platform that reverts to an older version does not lower the version in force")
{
    auto run = client_fixture{};
    run.platform.publish_config(fleet_text(1));
    run.platform.publish_config(fleet_text(2));
    run.publish_list(1);
    run.start(true);
    REQUIRE(run.until([&] { return run.platform.calls().waiting == 2; }));
    run.platform.set_mode(platform_mode::stale, 0, 1);
    run.client->watch(false);
    run.client->watch(true);
    REQUIRE(run.until([&] { return run.platform.calls().waiting == 2; }));
    CHECK(in_force(run.config).version == 2);
    run.platform.publish_config(fleet_text(3));
    run.platform.set_mode(platform_mode::normal);
    CHECK(run.versions_are(3, 1));
}

TEST_CASE("a call without an answer is cancelled and retried")
{
    auto run = client_fixture{};
    run.platform.publish_config(fleet_text(1));
    run.publish_list(1);
    run.platform.set_mode(platform_mode::slow, 3600000);
    run.start(false);
    REQUIRE(run.until([&] { return run.failures.size() >= 2; }));
    run.platform.set_mode(platform_mode::normal);
    CHECK(run.versions_are(1, 1));
}

TEST_CASE("of two different texts of one version, readers end with the same one")
{
    auto run = client_fixture{};
    run.platform.publish_config(fleet_text(1));
    run.platform.set_alternate(published_kind::operator_text, fleet_text(2));
    run.platform.set_mode(platform_mode::split);
    auto texts = std::vector<published_text>{};
    for (auto reader = 0; reader < 2; ++reader) {
        run.config = {};
        run.start(false);
        REQUIRE(run.until([&] { return run.config.config != nullptr; }));
        texts.push_back(run.config.texts.current);
    }
    REQUIRE(texts[0].id != texts[1].id);
    CHECK(texts[0].id.version == texts[1].id.version);
    apply_text(run.config, texts[0]);
    CHECK(in_force(run.config) == std::max(texts[0].id, texts[1].id));
}

TEST_CASE("control calls publish values, change the mode and count calls")
{
    auto run = client_fixture{};
    const auto call = [&](const char* method, const char* path, const std::string& body) {
        auto request = client_request{};
        request.address = "127.0.0.1:" + std::to_string(run.platform.port());
        request.method = method;
        request.path = path;
        request.body = body;
        auto response = std::optional<client_response>{};
        fetch(run.loop, request, 10000, [&](const client_response& whole) { response = whole; });
        REQUIRE(run.until([&] { return response.has_value(); }));
        return *response;
    };
    CHECK(call("POST", "/control/config?version=9", fleet_text(1)).status == 200);
    CHECK(call("POST", "/control/instances", list_text(5)).status == 200);
    CHECK(call("POST", "/control/instances", "{").status == 400);
    const auto answer = call("GET", "/v1/config", "");
    CHECK(header_value(answer.headers, "x-version") == "9");
    CHECK(answer.body == fleet_text(1));
    CHECK(call("GET", "/v1/config?watch=9&timeout_ms=1", "").status == 304);
    CHECK(call("POST", "/control/mode", R"({"mode":"odd"})").status == 400);
    CHECK(call("POST", "/control/mode", R"({"mode":"down"})").status == 200);
    CHECK(call("GET", "/v1/config", "").end != call_end::complete);
    CHECK(call("GET", "/control/calls", "").body == R"({"reads":2,"waiting":0,"watches":1})");
}
