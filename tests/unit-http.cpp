#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cyclamenpost/transport/http.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

struct running_server {
    event_loop loop;
    http_server server;

    explicit running_server(request_handler handler, http_limits limits = {})
    {
        REQUIRE(
            try_or([&] { return server.start(loop, "127.0.0.1", 0, limits, std::move(handler)); },
                   [](const error& failure) { MESSAGE(describe(failure)); }));
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    auto exchange(client_request request) -> client_response
    {
        request.address = address();
        auto response = client_response{};
        auto finished = false;
        fetch(loop, std::move(request), 1U << 24U, [&](client_response whole) {
            response = std::move(whole);
            finished = true;
        });
        REQUIRE(loop.run_until([&] { return finished; }, 10s));
        return response;
    }
};

} // namespace

TEST_CASE("method, path, query, headers and body reach the handler unchanged")
{
    auto seen = http_request{};
    auto running = running_server{[&](http_request request, const auto& exchange) {
        seen = std::move(request);
        exchange->respond(201, {{"x-target", "t1"}}, "made");
    }};
    for (const auto* method : {"GET", "POST", "PUT", "PATCH", "DELETE"}) {
        CAPTURE(method);
        auto request = client_request{};
        request.method = method;
        request.path = "/a/b%20c?x=1%262&y=z";
        request.headers = {{"x-chat-id", "c9"}, {"content-type", "text/plain"}};
        request.body = std::string(method) == "GET" ? "" : std::string(100000, 'q');
        const auto response = running.exchange(request);
        CHECK(response.end == call_end::complete);
        CHECK(response.status == 201);
        CHECK(response.body == "made");
        CHECK(header_value(response.headers, "x-target") == "t1");
        CHECK(seen.method == method);
        CHECK(seen.path == "/a/b c");
        CHECK(query_value(seen.query, "y") == "z");
        CHECK(header_value(seen.headers, "x-chat-id") == "c9");
        CHECK(header_value(seen.headers, "content-type") == "text/plain");
        CHECK(seen.body == request.body);
    }
}

TEST_CASE("a POST without a body is dispatched without waiting for bytes")
{
    auto running = running_server{
        [](const http_request&, const auto& exchange) { exchange->respond(200, {}, "ok"); }};
    auto request = client_request{};
    request.method = "POST";
    CHECK(running.exchange(request).body == "ok");
}

TEST_CASE("a streamed response larger than the socket buffer is received completely")
{
    auto running = running_server{[](const http_request&, const auto& exchange) {
        exchange->begin_stream(200, {{"content-type", "text/event-stream"}});
        for (auto i = 0; i < 500; ++i) {
            exchange->write(std::string(4000, 'a'));
        }
        exchange->finish();
    }};
    const auto response = running.exchange({});
    CHECK(response.end == call_end::complete);
    CHECK(response.body.size() == 2000000);
}

TEST_CASE("a response whose connection breaks is reported as truncated, not as complete")
{
    auto running = running_server{[](const http_request&, const auto& exchange) {
        exchange->begin_stream(200, {});
        exchange->write("half");
        exchange->on_drained([exchange] { exchange->abort(); });
    }};
    const auto response = running.exchange({});
    CHECK(response.end == call_end::truncated);
    CHECK(response.body == "half");
}

TEST_CASE("a sender that never completes its headers is disconnected while others are served")
{
    auto limits = http_limits{};
    limits.request_timeout_seconds = 1;
    auto running = running_server{
        [](const http_request&, const auto& exchange) { exchange->respond(200, {}, "ok"); },
        limits};
    const auto half_open = socket(AF_INET, SOCK_STREAM, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(running.server.port()));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(half_open, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    CHECK(running.exchange({}).status == 200);
    const auto partial = std::string_view("GET /slow HTTP/1.1\r\nHost: x\r\n");
    REQUIRE(send(half_open, partial.data(), partial.size(), 0) > 0);
    auto byte = char{};
    const auto closed = [&] { return recv(half_open, &byte, 1, MSG_DONTWAIT) == 0; };
    const auto polling = running.loop.call_every(50ms, [] {});
    CHECK(running.loop.run_until(closed, 20s));
    close(half_open);
}

TEST_CASE("a body over the limit is rejected and the listener keeps serving")
{
    auto limits = http_limits{};
    limits.max_body_bytes = 1000;
    auto running = running_server{
        [](const http_request&, const auto& exchange) { exchange->respond(200, {}, "ok"); },
        limits};
    auto large = client_request{};
    large.method = "POST";
    large.body = std::string(1001, 'x');
    CHECK(running.exchange(large).status == 413);
    CHECK(running.exchange({}).status == 200);
}

TEST_CASE("a call that before_send rejects ends before any byte is sent")
{
    auto requests = 0;
    auto running = running_server{[&](const http_request&, const auto& exchange) {
        ++requests;
        exchange->respond(200, {}, "ok");
    }};
    auto request = client_request{};
    request.address = running.address();
    auto handlers = call_handlers{};
    handlers.before_send = [] { return false; };
    auto end = std::optional<call_end>{};
    handlers.on_end = [&](call_end reached) { end = reached; };
    const auto call = start_call(running.loop, request, handlers);
    REQUIRE(running.loop.run_until([&] { return end.has_value(); }, 10s));
    CHECK(*end == call_end::not_sent);
    CHECK(!call->sent());
    CHECK(running.exchange({}).status == 200);
    CHECK(requests == 1);
}

TEST_CASE("a refused connection is distinguished from a sent request")
{
    auto loop = event_loop{};
    auto response = std::optional<client_response>{};
    auto request = client_request{};
    request.address = "127.0.0.1:1";
    fetch(loop, request, 100, [&](client_response whole) { response = std::move(whole); });
    REQUIRE(loop.run_until([&] { return response.has_value(); }, 10s));
    CHECK(response->end == call_end::not_connected);
}

TEST_CASE("cancelling a call closes the connection at the server")
{
    auto closed = false;
    auto started = false;
    auto held = std::shared_ptr<http_exchange>{};
    auto running = running_server{[&](const http_request&, const auto& exchange) {
        held = exchange;
        exchange->on_closed([&] { closed = true; });
        exchange->begin_stream(200, {});
        exchange->write("x");
        started = true;
    }};
    auto request = client_request{};
    request.address = running.address();
    auto end = std::optional<call_end>{};
    auto handlers = call_handlers{};
    handlers.on_end = [&](call_end reached) { end = reached; };
    const auto call = start_call(running.loop, request, handlers);
    REQUIRE(running.loop.run_until([&] { return started; }, 10s));
    call->cancel();
    CHECK(running.loop.run_until([&] { return end.has_value(); }, 5s));
    CHECK(running.loop.run_until([&] { return closed; }, 5s));
    CHECK(*end == call_end::cancelled);
}

TEST_CASE("a condition that a timer makes true is noticed without another event")
{
    auto loop = event_loop{};
    auto late = false;
    auto done = false;
    const auto limit = loop.call_after(30s, [&] { late = true; });
    loop.post([&] { done = true; });
    CHECK(loop.run_until([&] { return done; }, 60s));
    CHECK(!late);
}

TEST_CASE("a response counts as unanswered until its last byte was handed to the kernel")
{
    // a shutdown that looks at the handler alone would cut off the rest of the response
    auto held = std::shared_ptr<http_exchange>{};
    auto running = running_server{[&](const http_request&, const auto& exchange) {
        held = exchange;
        exchange->respond(200, {}, std::string(std::size_t{32} << 20U, 'x'));
    }};
    CHECK(running.server.unanswered_requests() == 0);
    auto request = client_request{};
    request.address = running.address();
    auto received = client_response{};
    auto finished = false;
    fetch(running.loop, std::move(request), std::size_t{64} << 20U, [&](client_response whole) {
        received = std::move(whole);
        finished = true;
    });
    REQUIRE(running.loop.run_until([&] { return held != nullptr; }, 10s));
    CHECK_FALSE(held->is_open());
    CHECK(running.server.unanswered_requests() == 1);
    REQUIRE(running.loop.run_until([&] { return running.server.unanswered_requests() == 0; }, 30s));
    REQUIRE(running.loop.run_until([&] { return finished; }, 30s));
    CHECK(received.end == call_end::complete);
}
