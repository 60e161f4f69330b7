#include <doctest/doctest.h>

#include "cyclamenpost/transport/http1_server.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto limit = std::chrono::seconds{10};

struct server_test {
    event_loop loop;
    std::vector<std::shared_ptr<server_exchange>> requests;
    http1_server server{loop, limits(), [this](std::shared_ptr<server_exchange> exchange) {
                            requests.push_back(std::move(exchange));
                        }};
    tcp_connection caller;
    std::string received;
    std::optional<close_reason> closed;

    server_test()
    {
        const auto opened = try_or(
            [&]() -> result<void> {
                BOOST_LEAF_CHECK(server.listen("127.0.0.1:0"));
                BOOST_LEAF_ASSIGN(caller,
                                  connect_tcp(loop, "127.0.0.1:" + std::to_string(server.port())));
                return {};
            },
            [](const error& failure) { FAIL(describe(failure)); });
        REQUIRE(opened);
        caller.set_handlers({{},
                             [this](std::string_view bytes) { received += bytes; },
                             {},
                             [this](close_reason reason) { closed = reason; }});
    }

    static auto limits() -> server_limits
    {
        auto chosen = server_limits{};
        chosen.max_body_bytes = 100;
        chosen.header_timeout = std::chrono::milliseconds{300};
        chosen.idle_timeout = std::chrono::seconds{60};
        return chosen;
    }

    auto send_and_wait(std::string_view text, std::size_t count) -> void
    {
        caller.send(text);
        REQUIRE(loop.run_until([&] { return requests.size() == count; }, limit));
    }

    auto wait_for(std::string_view text) -> void
    {
        CHECK(loop.run_until([&] { return received.find(text) != std::string::npos; }, limit));
    }

    auto wait_for_end() -> void
    {
        CHECK(loop.run_until([&] { return closed.has_value(); }, limit));
    }
};

constexpr auto simple_request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

auto status_head(int status) -> response_head
{
    auto head = response_head{};
    head.status = status;
    return head;
}

} // namespace

TEST_CASE_FIXTURE(server_test, "http1_server: pipelined requests are answered one at a time")
{
    caller.send(std::string{simple_request} + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(loop.run_until([&] { return requests.size() == 1; }, limit));
    requests[0]->respond(status_head(200), "first");
    REQUIRE(loop.run_until([&] { return requests.size() == 2; }, limit));
    CHECK(requests[1]->head.target == "/b");
    requests[1]->respond(status_head(200), "second");
    wait_for("second");
}

TEST_CASE_FIXTURE(server_test, "http1_server: an aborted streamed response does not look complete")
{
    send_and_wait(simple_request, 1);
    requests[0]->begin_stream(status_head(200));
    requests[0]->write("part");
    wait_for("part");
    requests[0]->abort();
    wait_for_end();
    CHECK(received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE_FIXTURE(server_test, "http1_server: the owner is notified when the caller disconnects")
{
    send_and_wait(simple_request, 1);
    auto gone = false;
    requests[0]->on_cancelled = [&] { gone = true; };
    caller.close();
    CHECK(loop.run_until([&] { return gone; }, limit));
    requests[0]->respond(status_head(200), "too late");
}

TEST_CASE_FIXTURE(server_test, "http1_server: destroying an exchange closes its connection")
{
    send_and_wait(simple_request, 1);
    requests.clear();
    wait_for_end();
    CHECK(received.empty());
}

TEST_CASE_FIXTURE(server_test, "http1_server: each violated limit has its own status")
{
    SUBCASE("malformed")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n");
        wait_for("HTTP/1.1 400");
    }
    SUBCASE("header too large")
    {
        caller.send("GET / HTTP/1.1\r\nX: " + std::string(20000, 'x'));
        wait_for("HTTP/1.1 431");
    }
    SUBCASE("body too large")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'));
        wait_for("HTTP/1.1 413");
    }
    SUBCASE("header too slow")
    {
        caller.send("GET / HTTP/1.1\r\nX: ");
        wait_for("HTTP/1.1 408");
    }
    wait_for_end();
    CHECK(requests.empty());
}

TEST_CASE_FIXTURE(server_test, "http1_server: a draining server responds and then closes")
{
    send_and_wait(simple_request, 1);
    server.begin_drain();
    requests[0]->respond(status_head(200), "last");
    wait_for("last");
    CHECK(received.find("Connection: close") != std::string::npos);
    wait_for_end();
}

TEST_CASE_FIXTURE(server_test, "http1_server: stop_listening closes idle connections only")
{
    send_and_wait(simple_request, 1);
    server.stop_listening();
    CHECK(server.busy_connections() == 1);
    requests[0]->respond(status_head(200), "whole");
    wait_for("whole");
    server.stop_listening();
    wait_for_end();
}

TEST_CASE_FIXTURE(server_test,
                  "http1_server: Expect: 100-continue is answered before the body is sent")
{
    caller.send("POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    wait_for("100 Continue");
    send_and_wait("ok", 1);
    CHECK(requests[0]->body == "ok");
}

TEST_CASE_FIXTURE(server_test, "http1_server: a server can listen on its own address again")
{
    const auto address = "127.0.0.1:" + std::to_string(server.port());
    CHECK(try_or([&] { return server.listen(address); },
                 [](const error& failure) { MESSAGE(describe(failure)); }));
    CHECK(address.ends_with(std::to_string(server.port())));
}
