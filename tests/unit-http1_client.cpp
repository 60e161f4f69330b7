#include <doctest/doctest.h>

#include "cyclamenpost/transport/http1_client.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto limit = std::chrono::seconds{10};

/// A peer that sends only what the test tells it to send.
struct scripted_peer {
    event_loop loop;
    tcp_listener listener;
    std::vector<tcp_connection> accepted;
    std::string received;
    std::string address;

    scripted_peer()
    {
        const auto opened = try_or(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(
                    listener,
                    tcp_listener::open(
                        loop, "127.0.0.1:0", [this](tcp_connection connection, const std::string&) {
                            accepted.push_back(std::move(connection));
                            accepted.back().set_handlers(
                                {{},
                                 [this](std::string_view bytes) { received += bytes; },
                                 {},
                                 {}});
                        }));
                return {};
            },
            [](const error& failure) { FAIL(describe(failure)); });
        REQUIRE(opened);
        address = "127.0.0.1:" + std::to_string(listener.port());
    }
};

/// One request to the peer and its outcome.
struct observed_call {
    client_exchange exchange;
    int status = 0;
    std::string body;
    bool complete = false;
    std::optional<exchange_failure> failed;
    bool sent_when_failed = false;

    auto send(http1_client& client, const std::string& address, const std::string& id) -> void
    {
        auto request = outgoing_request{};
        request.address = address;
        request.head.method = "POST";
        request.head.target = "/work";
        request.body = "body";
        auto handlers = exchange_handlers{};
        handlers.matches_request = [id](const response_head& head) {
            return find_field(head.fields, "Id").value_or(id) == id;
        };
        handlers.on_head = [this](response_head& head) { status = head.status; };
        handlers.on_body = [this](std::string_view bytes) { body += bytes; };
        handlers.on_complete = [this] { complete = true; };
        handlers.on_failed = [this](exchange_failure reason) {
            failed = reason;
            sent_when_failed = exchange.sent();
        };
        const auto started = try_or(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(exchange, client.send(request, std::move(handlers)));
                return {};
            },
            [](const error& failure) { FAIL(describe(failure)); });
        REQUIRE(started);
    }

    auto ended() const -> bool
    {
        return complete || failed;
    }
};

struct call_test : scripted_peer {
    http1_client client{loop, std::chrono::seconds{5}};
    observed_call call;

    auto begin() -> tcp_connection&
    {
        call.send(client, address, "a");
        REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
        return accepted.back();
    }

    auto wait() -> void
    {
        REQUIRE(loop.run_until([&] { return call.ended(); }, limit));
    }
};

} // namespace

TEST_CASE_FIXTURE(call_test, "http1_client: a request whose connection is reset counts as sent")
{
    begin().reset();
    wait();
    CHECK(call.failed == exchange_failure::reset);
    CHECK(call.sent_when_failed);
}

TEST_CASE_FIXTURE(call_test, "http1_client: a refused connection has sent nothing")
{
    listener.close();
    call.send(client, address, "a");
    wait();
    CHECK(call.failed == exchange_failure::refused);
    CHECK_FALSE(call.sent_when_failed);
}

TEST_CASE_FIXTURE(call_test,
                  "http1_client: a body without a length is complete only after a clean close")
{
    auto& peer = begin();
    peer.send("HTTP/1.1 200 OK\r\n\r\npart");
    REQUIRE(loop.run_until([&] { return call.body == "part"; }, limit));
    SUBCASE("finished")
    {
        peer.close();
        wait();
        CHECK(call.complete);
    }
    SUBCASE("reset")
    {
        peer.reset();
        wait();
        CHECK(call.failed == exchange_failure::reset);
    }
}

TEST_CASE_FIXTURE(call_test, "http1_client: a body shorter than its Content-Length is cut short")
{
    auto& peer = begin();
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    peer.close();
    wait();
    CHECK(call.failed == exchange_failure::cut_short);
}

TEST_CASE_FIXTURE(call_test, "http1_client: a response to another request is skipped")
{
    auto& peer = begin();
    peer.send("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
              "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nright");
    wait();
    CHECK(call.complete);
    CHECK(call.body == "right");
    CHECK(call.status == 200);
}

TEST_CASE_FIXTURE(call_test,
                  "http1_client: a connection with an unsolicited response is not reused")
{
    auto& peer = begin();
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    wait();
    auto second = observed_call{};
    second.send(client, address, "b");
    REQUIRE(loop.run_until([&] { return accepted.size() == 2; }, limit));
    accepted.back().send("HTTP/1.1 204 No Content\r\n\r\n");
    CHECK(loop.run_until([&] { return second.ended(); }, limit));
    CHECK(second.body.empty());
    CHECK(second.status == 204);
}

TEST_CASE_FIXTURE(call_test, "http1_client: an idle connection is reused")
{
    begin().send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    wait();
    received.clear();
    auto second = observed_call{};
    second.send(client, address, "b");
    REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
    CHECK(accepted.size() == 1);
    CHECK(second.exchange.reused());
}

TEST_CASE_FIXTURE(call_test, "http1_client: bytes that are not HTTP are reported as garbled")
{
    begin().send("\x01\x02 nonsense\r\n\r\n");
    wait();
    CHECK(call.failed == exchange_failure::garbled);
    CHECK(call.sent_when_failed);
}

TEST_CASE_FIXTURE(call_test, "http1_client: cancelling an exchange closes its connection")
{
    auto& peer = begin();
    auto closed = false;
    peer.set_handlers({{}, {}, {}, [&](close_reason) { closed = true; }});
    call.exchange.cancel();
    CHECK(loop.run_until([&] { return closed; }, limit));
    CHECK_FALSE(call.ended());
}
