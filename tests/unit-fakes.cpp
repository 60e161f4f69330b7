#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "answer_check.hpp"
#include "caller.hpp"
#include "fake_application.hpp"
#include "fake_engine.hpp"
#include "fault_proxy.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// A running engine and a lookup service that directs every caller to one address.
struct engine_fixture {
    event_loop loop;
    fakes::fake_engine engine;
    http_server lookup;
    int exit_status = 0;

    explicit engine_fixture(fakes::engine_options options = {})
    {
        options.tokens_per_second = 2000;
        options.exit_process = [this](int status) { exit_status = status; };
        REQUIRE(try_or([&] { return engine.start(loop, options); }, [](const error&) {}));
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(engine.port());
    }

    auto start_lookup(const std::string& entry_address) -> std::string
    {
        const auto answer = [entry_address](const http_request&, const auto& exchange) {
            const auto entry = json{{"address", entry_address}, {"instance", "i1"}, {"zone", "a"}};
            exchange->respond(200, {},
                              json{{"addresses", json::array({entry})},
                                   {"valid_ms", 30000},
                                   {"config_version", 1},
                                   {"key_prefix", "i1.1f.1"}}
                                  .dump());
        };
        REQUIRE(try_or([&] { return lookup.start(loop, "127.0.0.1", 0, {}, answer); },
                       [](const error&) {}));
        return "127.0.0.1:" + std::to_string(lookup.port());
    }

    auto post(const std::string& path, const std::string& body, header_list headers = {})
        -> client_response
    {
        auto request = client_request{};
        request.address = address();
        request.method = "POST";
        request.path = path;
        request.body = body;
        request.headers = std::move(headers);
        auto response = std::optional<client_response>{};
        fetch(loop, request, 1U << 20U, [&](const client_response& whole) { response = whole; });
        REQUIRE(loop.run_until([&] { return response.has_value() || exit_status != 0; }, 10s));
        return response.value_or(client_response{});
    }
};

auto chat_body(const std::string& text, bool stream = true) -> std::string
{
    return json{{"model", "m"},
                {"stream", stream},
                {"max_tokens", 5},
                {"messages", json::array({{{"role", "user"}, {"content", text}}})}}
        .dump();
}

auto run_caller(engine_fixture& fixture, fakes::caller_options options) -> fakes::caller_report
{
    auto caller = fakes::caller{};
    auto done = false;
    REQUIRE(
        try_or([&] { return caller.start(fixture.loop, std::move(options), [&] { done = true; }); },
               [](const error&) {}));
    REQUIRE(fixture.loop.run_until([&] { return done; }, 30s));
    return caller.report();
}

} // namespace

TEST_CASE("a caller accepts every answer of a fake engine without retries")
{
    auto engine = fakes::engine_options{};
    engine.max_cold_requests = 1000;
    auto fixture = engine_fixture{engine};
    auto options = fakes::caller_options{};
    options.entries = {{"i1", fixture.start_lookup(fixture.address())}};
    options.chats = 20;
    options.bookings = 0;
    const auto report = run_caller(fixture, options);
    CHECK(report.count(fakes::call_result::answered) == 60);
    CHECK(report.attempts == 60);
}

TEST_CASE("a booking whose connection closed is retried with its key and counted as answered once")
{
    auto fixture = engine_fixture{};
    auto application = fakes::fake_application{};
    auto settings = fakes::application_options{};
    settings.close_every = 5;
    REQUIRE(try_or([&] { return application.start(fixture.loop, settings); }, [](const error&) {}));
    auto options = fakes::caller_options{};
    options.entries = {
        {"i1", fixture.start_lookup("127.0.0.1:" + std::to_string(application.port()))}};
    options.chats = 0;
    options.bookings = 20;
    const auto report = run_caller(fixture, options);
    CHECK(report.count(fakes::call_result::answered) == 20);
    CHECK(application.runs().size() == report.attempts);
    CHECK(report.attempts > 20);
}

TEST_CASE("a stream resumed at token N continues with exactly the missing tokens")
{
    auto fixture = engine_fixture{};
    const auto body = chat_body("hello");
    const auto full = fixture.post("/v1/chat/completions", body, {{"x-request-id", "r1"}});
    const auto rest = fixture.post("/v1/chat/completions", body,
                                   {{"x-request-id", "r1"}, {"x-resume-from", "3"}});
    auto check = fakes::stream_verifier{fakes::parse_chat(body)};
    const auto cut = full.body.find("\"index\":3");
    check.feed(full.body.substr(0, full.body.rfind("data:", cut)));
    CHECK(check.tokens() == 3);
    check.feed(rest.body);
    CHECK(check.complete());
    CHECK(rest.body.find("cached_tokens\":2") != std::string::npos);
}

TEST_CASE("a wrong or missing token is detected")
{
    const auto chat = fakes::parse_chat(chat_body("hello"));
    const auto other = fakes::parse_chat(chat_body("other"));
    auto check = fakes::stream_verifier{chat};
    const auto chunk = [](std::uint64_t hash, int index) {
        const auto delta = json{{"content", fakes::answer_token(hash, index)}};
        return "data: " +
               json{{"id", "r"}, {"index", index}, {"choices", json::array({{{"delta", delta}}})}}
                   .dump() +
               "\n\n";
    };
    check.feed(chunk(chat.hash, 0));
    CHECK(check.deviation().empty());
    SUBCASE("token of another answer")
    {
        check.feed(chunk(other.hash, 1));
    }
    SUBCASE("missing token")
    {
        check.feed(chunk(chat.hash, 2));
    }
    CHECK(!check.deviation().empty());
    check.feed("data: [DONE]\n\n");
    CHECK(!check.complete());
}

TEST_CASE("an answer that ends without [DONE] is not complete")
{
    auto check = fakes::stream_verifier{fakes::parse_chat(chat_body("hello"))};
    check.feed("event: error\ndata: {\"outcome\":\"unknown\"}\n\n");
    CHECK(!check.complete());
    CHECK(check.problem() == "{\"outcome\":\"unknown\"}");
}

TEST_CASE("a cold engine exits above its request limit")
{
    auto options = fakes::engine_options{};
    options.cold_start_time = 60s;
    auto fixture = engine_fixture{options};
    auto request = client_request{};
    request.address = fixture.address();
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = json{{"messages", json::array()}, {"max_tokens", 1000000}}.dump();
    const auto first = start_call(fixture.loop, request, {});
    REQUIRE(fixture.loop.run_until([&] { return fixture.engine.in_progress() == 1; }, 10s));
    CHECK(fixture.exit_status == 0);
    const auto second = start_call(fixture.loop, request, {});
    REQUIRE(fixture.loop.run_until([&] { return fixture.exit_status != 0; }, 10s));
    CHECK(fixture.exit_status == fakes::overload_exit_status);
}

TEST_CASE("closing the connection cancels the run")
{
    auto fixture = engine_fixture{};
    auto request = client_request{};
    request.address = fixture.address();
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = json{{"messages", json::array()}, {"max_tokens", 1000000}}.dump();
    const auto call = start_call(fixture.loop, request, {});
    REQUIRE(fixture.loop.run_until([&] { return fixture.engine.in_progress() == 1; }, 10s));
    call->cancel();
    CHECK(fixture.loop.run_until([&] { return fixture.engine.in_progress() == 0; }, 10s));
}

TEST_CASE("an engine refuses an order with an old fence number only if it checks fencing")
{
    auto options = fakes::engine_options{};
    SUBCASE("checks")
    {
        options.checks_fencing = true;
    }
    SUBCASE("ignores")
    {
        options.checks_fencing = false;
    }
    auto fixture = engine_fixture{options};
    const auto order = [&](int fence) {
        const auto body = json{{"fence", fence}, {"action", "load_model"}, {"model", "n"}};
        return fixture.post("/v1/orders", body.dump());
    };
    CHECK(order(5).status == 200);
    const auto old = order(4);
    CHECK(old.status == (options.checks_fencing ? 409 : 200));
    if (options.checks_fencing) {
        CHECK(json::parse(old.body)["fence"] == 5);
    }
}

// Guards against a soak that never ends: a link that was closing outlived its proxy, which a
// crashed target replaces, and then looked for itself in the freed list of links.
TEST_CASE("fault_proxy: a link that is closing ends with its proxy")
{
    auto loop = event_loop{};
    auto upstream = tcp_listener{};
    auto accepted = tcp_connection{};
    auto caller = tcp_connection{};
    auto ended = false;
    auto proxy = std::unique_ptr<fakes::fault_proxy>{};
    REQUIRE(try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(upstream,
                              tcp_listener::open(loop, "127.0.0.1:0",
                                                 [&](tcp_connection connection, const auto&) {
                                                     accepted = std::move(connection);
                                                 }));
            proxy = std::make_unique<fakes::fault_proxy>(loop, "127.0.0.1:" +
                                                                   std::to_string(upstream.port()));
            BOOST_LEAF_CHECK(proxy->listen());
            BOOST_LEAF_ASSIGN(caller, connect_tcp(loop, proxy->address()));
            return {};
        },
        [](const error& failure) { FAIL(describe(failure)); }));
    auto received = false;
    caller.set_handlers(
        {{}, [&](std::string_view) { received = true; }, {}, [&](close_reason) { ended = true; }});
    REQUIRE(loop.run_until([&] { return accepted.connected(); }, 10s));
    proxy->set_mode(fakes::link_mode::delay);
    accepted.send("bytes");
    accepted.finish_sending();
    // the proxy has the bytes and the end, and holds both back
    REQUIRE(loop.run_until([&] { return received; }, 10s));
    proxy.reset();
    CHECK(loop.run_until([&] { return ended; }, 10s));
}
