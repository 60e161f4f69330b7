#include <doctest/doctest.h>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/relay/router.hpp"
#include "fake_application.hpp"
#include "fake_engine.hpp"
#include "fake_platform.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

/// One instance and the platform on one event loop, and an engine on its own loop, which a test can
/// stop to make the engine freeze like a paused process or a lost host.
struct router_fixture {
    event_loop loop;
    event_loop engine_loop;
    timer engine_poll_timer =
        loop.call_every(2ms, [this] { engine_loop.run_until([] { return false; }, 500us); });
    fakes::fake_platform platform{loop};
    fakes::fake_engine engine;
    std::unique_ptr<router> instance;

    router_fixture()
    {
        start_logging(std::getenv("LOGS") != nullptr ? log_level::info : log_level::error);
        auto options = fakes::engine_options{};
        options.id = "e1";
        options.cold_start_time = duration{1};
        options.tokens_per_second = 50;
        require_success([&] { return engine.start(engine_loop, options); });
        platform.publish_config("[fleet]\nname = \"t\"\n[[service]]\nname = \"drafts\"\n"
                                "kind = \"model\"\nmodels = [\"quote-7b\"]\n[[target]]\n"
                                "name = \"e1\"\nservice = \"drafts\"\nzone = \"a\"\n"
                                "address = \"127.0.0.1:" +
                                std::to_string(engine.port()) + "\"\n");
        require_success([&] {
            return platform.publish_instances(
                R"({"version":1,"instances":[{"id":"i1","zone":"a","region":"r",)"
                R"("http":"127.0.0.1:1","bus":"127.0.0.1:1","state":"live"}],"targets":[]})");
        });
        require_success([&] { return platform.start("127.0.0.1", 0); });
        auto startup_settings = settings{};
        startup_settings.instance = "i1";
        startup_settings.zone = "a";
        startup_settings.listen_port = 0;
        startup_settings.admin_port = 0;
        startup_settings.bus = "127.0.0.1:0";
        startup_settings.platform = "127.0.0.1:" + std::to_string(platform.port());
        instance = std::make_unique<router>(loop, startup_settings, [](int) {});
        instance->start();
        REQUIRE(loop.run_until([&] { return status_of("/readyz") == 200; }, 20s));
    }

    template <typename Start>
    static auto require_success(Start&& start) -> void
    {
        REQUIRE(try_or(start, [](const error& failure) { MESSAGE(describe(failure)); }));
    }

    auto start_request(client_request request, std::function<void(client_response)> on_response)
        -> void
    {
        request.address = "127.0.0.1:" + std::to_string(instance->port());
        fetch(loop, std::move(request), 1U << 20U, std::move(on_response));
    }

    auto status_of(const std::string& path) -> int
    {
        auto request = client_request{};
        request.path = path;
        auto status = 0;
        start_request(request, [&](const client_response& response) { status = response.status; });
        loop.run_until([&] { return status != 0; }, 2s);
        return status;
    }
};

auto chat_request(int tokens) -> client_request
{
    auto request = client_request{};
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"content-type", "application/json"}, {"x-organisation", "o"}};
    request.body = R"({"model":"quote-7b","stream":true,"max_tokens":)" + std::to_string(tokens) +
                   R"(,"messages":[{"role":"user","content":"hello"}]})";
    return request;
}

} // namespace

TEST_CASE("a stream that cannot be resumed ends with an error event and never as a complete stream")
{
    // guards against a stream that stays open indefinitely after its retry expired in the queue
    auto fleet = router_fixture{};
    // requests are refused with outcome not_run until the gate has received the engine's reports
    auto served = false;
    for (auto attempt = 0; attempt < 10 && !served; ++attempt) {
        auto first = std::optional<client_response>{};
        fleet.start_request(chat_request(1),
                            [&](client_response response) { first = std::move(response); });
        REQUIRE(fleet.loop.run_until([&] { return first.has_value(); }, 20s));
        served = first->status == 200;
    }
    REQUIRE(served);
    auto answer = std::optional<client_response>{};
    fleet.start_request(chat_request(500),
                        [&](client_response response) { answer = std::move(response); });
    REQUIRE(fleet.loop.run_until([&] { return fleet.engine.in_progress() > 0; }, 20s));
    const auto freeze_timer = fleet.loop.call_after(1s, [&] { fleet.engine_poll_timer.reset(); });
    REQUIRE(fleet.loop.run_until([&] { return answer.has_value(); }, 30s));
    CHECK(answer->status == 200);
    CHECK(answer->body.find("event: error") != std::string::npos);
    CHECK(answer->body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(answer->body.find("[DONE]") == std::string::npos);
}

TEST_CASE("unknown models, malformed bodies and unknown services are refused with outcome not_run")
{
    auto fleet = router_fixture{};
    for (const auto* body : {R"({"model":"none","messages":[]})", "{", R"({"model":"quote-7b"})"}) {
        auto request = chat_request(1);
        request.body = body;
        auto answer = std::optional<client_response>{};
        fleet.start_request(request,
                            [&](client_response response) { answer = std::move(response); });
        REQUIRE(fleet.loop.run_until([&] { return answer.has_value(); }, 20s));
        CHECK(answer->status >= 400);
        CHECK(header_value(answer->headers, "x-outcome") == "not_run");
    }
    CHECK(fleet.status_of("/services/none/x") == 404);
    CHECK(fleet.engine.started() == 0);
}
