#include <algorithm>

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
    std::function<void()> when_complete;

    auto send(http1_client& client, const std::string& address, const std::string& id,
              const std::string& peer = {}, const std::string& method = "POST") -> void
    {
        auto request = outgoing_request{};
        request.address = address;
        request.peer = peer;
        request.id = id;
        request.head.method = method;
        request.head.target = "/work";
        request.body = "body";
        auto handlers = exchange_handlers{};
        handlers.id_of = [](const response_head& head) {
            return std::string{find_field(head.fields, "Id").value_or(std::string_view{})};
        };
        handlers.on_head = [this](response_head& head) { status = head.status; };
        handlers.on_body = [this](std::string_view bytes) { body += bytes; };
        handlers.on_complete = [this] {
            complete = true;
            if (when_complete) {
                when_complete();
            }
        };
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

    /// Completes the first request and sends a second one on its connection.
    auto begin_second(observed_call& second) -> tcp_connection&
    {
        begin().send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        wait();
        received.clear();
        second.send(client, address, "b");
        REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
        REQUIRE(second.exchange.reused());
        return accepted.back();
    }

    /// Sends the bytes again and again until the client ends the call; at most 64 MB.
    auto send_until_end(tcp_connection& peer, const std::string& bytes) -> void
    {
        constexpr auto most = std::size_t{64} << 20U;
        constexpr auto most_unsent = std::size_t{256} << 10U;
        auto sent = std::size_t{0};
        REQUIRE(loop.run_until(
            [&] {
                while (!call.ended() && sent < most && peer.unsent_bytes() < most_unsent) {
                    peer.send(bytes);
                    sent += bytes.size();
                }
                return call.ended() || sent >= most;
            },
            limit));
        REQUIRE(call.ended());
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
    auto second = observed_call{};
    begin_second(second);
    CHECK(accepted.size() == 1);
    CHECK(second.exchange.reused());
}

TEST_CASE_FIXTURE(call_test, "http1_client: a kept connection is not used for another peer that "
                             "has taken over the address")
{
    begin().send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
    wait();
    auto second = observed_call{};
    second.send(client, address, "b", "another peer");
    REQUIRE(loop.run_until([&] { return accepted.size() == 2; }, limit));
    CHECK_FALSE(second.exchange.reused());
    CHECK(client.counters().reused == 0);
}

// Guards against a copy of a refusal that speaks for the next attempt of the same request: the copy
// and the attempt have the same id, so only their connections tell them apart.
TEST_CASE_FIXTURE(call_test, "http1_client: a request does not return over a connection that has "
                             "carried its id")
{
    const auto refusal = std::string{"HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n"};
    begin().send(refusal);
    wait();
    CHECK(call.status == 503);
    auto second = observed_call{};
    received.clear();
    second.send(client, address, "a");
    REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
    accepted.front().send(refusal);
    accepted.back().send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\ndone");
    REQUIRE(loop.run_until([&] { return second.ended(); }, limit));
    CHECK(accepted.size() == 2);
    CHECK(second.status == 200);
}

// Guards against a body that is read as a response: a response to HEAD declares a length without a
// body, so a late copy of it, before the response to another request, would take that one for its
// body.
TEST_CASE_FIXTURE(call_test,
                  "http1_client: a connection is not used before or after a HEAD request")
{
    auto head = observed_call{};
    head.send(client, address, "h", {}, "HEAD");
    REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
    accepted.back().send("HTTP/1.1 200 OK\r\nId: h\r\nContent-Length: 40\r\n\r\n");
    REQUIRE(loop.run_until([&] { return head.ended(); }, limit));
    CHECK(head.complete);
    received.clear();
    begin().send("HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 4\r\n\r\nbusy");
    CHECK_FALSE(call.exchange.reused());
    wait();
    auto after = observed_call{};
    after.send(client, address, "i", {}, "HEAD");
    CHECK_FALSE(after.exchange.reused());
}

// Guards against connections that are lost to other requests because one request must not use them.
TEST_CASE_FIXTURE(call_test,
                  "http1_client: a connection that one request passes over serves others")
{
    begin().send("HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n");
    wait();
    auto again = observed_call{};
    again.send(client, address, "a");
    CHECK(again.exchange.record().passed_over == 1);
    CHECK_FALSE(again.exchange.reused());
    auto other = observed_call{};
    other.send(client, address, "b");
    CHECK(other.exchange.record().passed_over == 0);
    CHECK(other.exchange.reused());
}

// Guards against a connection that remembers only the newest ids.
TEST_CASE_FIXTURE(call_test, "http1_client: a connection remembers all ids that it has carried")
{
    constexpr auto many = max_connection_requests - 1;
    for (std::size_t sent = 0; sent < many; ++sent) {
        auto each = observed_call{};
        const auto id = std::to_string(sent);
        received.clear();
        each.send(client, address, id);
        REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
        accepted.back().send("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(loop.run_until([&] { return each.ended(); }, limit));
    }
    REQUIRE(accepted.size() == 1);
    for (std::size_t earlier = 0; earlier < many; ++earlier) {
        auto again = observed_call{};
        again.send(client, address, std::to_string(earlier));
        REQUIRE_FALSE(again.exchange.reused());
        REQUIRE(again.exchange.record().passed_over == 1);
    }
}

// Guards against a caller that repeats one id and thereby uses up the descriptors of the process:
// no idle connection may carry its next request.
TEST_CASE_FIXTURE(call_test, "http1_client: a repeated id leaves few idle connections")
{
    constexpr auto repeats = 40;
    constexpr auto most_open = 6;
    const auto response = std::string{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n"};
    for (auto sent = 0; sent < repeats; ++sent) {
        auto each = observed_call{};
        received.clear();
        each.send(client, address, "a");
        REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
        accepted.back().send(response);
        REQUIRE(loop.run_until([&] { return each.ended(); }, limit));
    }
    const auto open = [&] {
        return std::ranges::count_if(accepted, [](const auto& each) { return each.connected(); });
    };
    // shorter than the idle limit, after which connections are closed anyway
    CHECK(loop.run_until([&] { return open() <= most_open; }, std::chrono::seconds{2}));
    CHECK(client.counters().opened == repeats);
}

// Guards against ids that are remembered without a bound.
TEST_CASE_FIXTURE(call_test,
                  "http1_client: a connection is closed after its maximum number of requests")
{
    for (std::size_t sent = 0; sent < max_connection_requests; ++sent) {
        auto each = observed_call{};
        const auto id = std::to_string(sent);
        received.clear();
        each.send(client, address, id);
        REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
        REQUIRE(accepted.size() == 1);
        accepted.back().send("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(loop.run_until([&] { return each.ended(); }, limit));
    }
    auto last = observed_call{};
    last.send(client, address, "last");
    CHECK_FALSE(last.exchange.reused());
}

TEST_CASE_FIXTURE(call_test, "http1_client: a late copy without an id does not answer the next "
                             "request on a reused connection")
{
    auto second = observed_call{};
    begin_second(second);
    auto& peer = accepted.front();
    const auto copy = std::string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"};
    const auto own = std::string{"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 5\r\n\r\nright"};
    SUBCASE("in one packet with the own response")
    {
        peer.send(copy + own);
    }
    SUBCASE("head and body apart")
    {
        peer.send(copy.substr(0, copy.size() - 5));
        // a round trip on another connection lets the client read the head first
        auto barrier = observed_call{};
        received.clear();
        barrier.send(client, address, "x");
        REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
        accepted.front().send("wrong");
        accepted.front().send(own);
    }
    REQUIRE(loop.run_until([&] { return second.ended(); }, limit));
    CHECK(second.complete);
    CHECK(second.body == "right");
}

TEST_CASE_FIXTURE(call_test, "http1_client: a late copy behind the own response closes the "
                             "connection before the next request can use it")
{
    auto second = observed_call{};
    auto& peer = begin_second(second);
    auto third = observed_call{};
    // the owner may send its next request as soon as it is told of the end of this one
    second.when_complete = [&] { third.send(client, address, "c"); };
    received.clear();
    peer.send("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 5\r\n\r\nright"
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    REQUIRE(loop.run_until([&] { return received.ends_with("body"); }, limit));
    CHECK(second.body == "right");
    CHECK(accepted.size() == 2);
    CHECK(third.body.empty());
}

TEST_CASE_FIXTURE(call_test, "http1_client: a connection whose response carries no id is not "
                             "reused")
{
    begin().send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    wait();
    CHECK(call.complete);
    auto second = observed_call{};
    second.send(client, address, "b");
    CHECK(loop.run_until([&] { return accepted.size() == 2; }, limit));
}

TEST_CASE_FIXTURE(call_test, "http1_client: an idle connection with a copy that is still unread is "
                             "not reused")
{
    begin().send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
    wait();
    // the loop does not run between the copy's arrival and the next request
    accepted.back().send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    auto second = observed_call{};
    second.send(client, address, "b");
    CHECK_FALSE(second.exchange.reused());
}

TEST_CASE_FIXTURE(call_test, "http1_client: a peer that sends heads without end is given up")
{
    auto& peer = begin();
    SUBCASE("one head")
    {
        peer.send("HTTP/1.1 200 OK\r\n");
        send_until_end(peer, "X: " + std::string(1000, 'x') + "\r\n");
        CHECK(call.failed == exchange_failure::head_too_large);
    }
    SUBCASE("a status line")
    {
        peer.send("HTTP/1.1 200 ");
        send_until_end(peer, std::string(1000, 'x'));
        CHECK(call.failed == exchange_failure::head_too_large);
    }
    SUBCASE("interim responses")
    {
        send_until_end(peer, "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n");
        CHECK(call.failed == exchange_failure::too_many_skipped);
    }
    SUBCASE("trailer fields")
    {
        peer.send("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        send_until_end(peer, "X: " + std::string(1000, 'x') + "\r\n");
        CHECK(call.failed == exchange_failure::head_too_large);
    }
    SUBCASE("a chunk extension")
    {
        peer.send("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;");
        send_until_end(peer, std::string(1000, 'x'));
        CHECK(call.failed == exchange_failure::head_too_large);
    }
    CHECK(call.sent_when_failed);
}

TEST_CASE_FIXTURE(call_test, "http1_client: a peer that sends responses to others without end is "
                             "given up")
{
    auto& peer = begin();
    SUBCASE("small ones")
    {
        send_until_end(peer, "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 1\r\n\r\nx");
    }
    SUBCASE("a body that does not end")
    {
        peer.send("HTTP/1.1 200 OK\r\nId: x\r\n\r\n");
        send_until_end(peer, std::string(10'000, 'x'));
    }
    CHECK(call.failed == exchange_failure::too_many_skipped);
    CHECK(call.sent_when_failed);
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

// Guards against a request that is taken for unsent because its exchange has been given up.
TEST_CASE_FIXTURE(call_test,
                  "http1_client: a request that was sent counts as sent after its exchange "
                  "was cancelled")
{
    begin();
    call.exchange.cancel();
    CHECK(call.exchange.sent());
}

TEST_CASE_FIXTURE(call_test,
                  "http1_client: an exchange tells how it used its connection, also after "
                  "its end")
{
    auto second = observed_call{};
    auto& peer = begin_second(second);
    const auto request_bytes = received.size();
    CHECK(call.exchange.record().earlier_exchanges == 0);
    CHECK(call.exchange.record().established);
    CHECK(call.exchange.record().sent_bytes == request_bytes);
    peer.reset();
    REQUIRE(loop.run_until([&] { return second.ended(); }, limit));
    CHECK(second.exchange.record().earlier_exchanges == 1);
    CHECK(second.exchange.record().established);
    CHECK(second.exchange.record().sent_bytes == request_bytes);
}

TEST_CASE_FIXTURE(call_test, "http1_client: an exchange without a connection has used none")
{
    listener.close();
    call.send(client, address, "a");
    wait();
    CHECK_FALSE(call.exchange.record().established);
    CHECK(call.exchange.record().sent_bytes == 0);
}
