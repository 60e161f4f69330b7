#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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
        chosen.body_timeout = std::chrono::milliseconds{300};
        chosen.write_timeout = std::chrono::milliseconds{500};
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

/// Connects a blocking socket to the port and sends the bytes, without the loop.
auto connect_and_send(int port, std::string_view bytes) -> int
{
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto peer = sockaddr_in{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(port));
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(descriptor, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0);
    REQUIRE(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
    return descriptor;
}

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

TEST_CASE_FIXTURE(server_test,
                  "http1_server: a header limit that is raised holds for kept connections")
{
    send_and_wait(simple_request, 1);
    requests.front()->respond({200, {}, true, false}, {});
    wait_for("HTTP/1.1 200");
    auto raised = server_limits{};
    raised.max_header_bytes = 40'000;
    server.set_limits(raised);
    send_and_wait("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", 2);
    CHECK(requests.size() == 2);
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
    SUBCASE("body that never ends, a byte now and then")
    {
        caller.send("POST / HTTP/1.1\r\nContent-Length: 90\r\n\r\n");
        const auto drip = loop.call_every(std::chrono::milliseconds{50}, [&] { caller.send("x"); });
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

TEST_CASE("http1_server: a body may take long if its bytes go on arriving at the least rate")
{
    using namespace std::chrono_literals;
    auto limits = server_limits{};
    limits.header_timeout = 3s;
    limits.body_timeout = 20s;
    limits.min_body_bytes_per_second = 500;
    CHECK(request_time_limit(limits, false, 0) == 3s);
    CHECK(request_time_limit(limits, true, 0) == 20s);
    CHECK(request_time_limit(limits, true, 1'000'000) == 2020s);
    CHECK(request_time_limit(limits, true, 50) == 20'100ms);
}

TEST_CASE_FIXTURE(server_test,
                  "http1_server: a caller that reads nothing of its answer is disconnected")
{
    send_and_wait(simple_request, 1);
    auto cancelled = false;
    requests[0]->on_cancelled = [&] { cancelled = true; };
    caller.set_reading(false);
    requests[0]->begin_stream(status_head(200));
    const auto piece = std::string(1 << 16, 'x');
    while (requests[0]->unsent_bytes() < std::size_t{1} << 20U) {
        requests[0]->write(piece);
    }
    CHECK(loop.run_until([&] { return cancelled; }, limit));
    CHECK(server.open_connections() == 0);
}

TEST_CASE_FIXTURE(server_test,
                  "http1_server: requests received before a drain are all answered during it")
{
    send_and_wait(std::string{simple_request} + simple_request, 1);
    server.begin_drain();
    server.stop_listening();
    requests[0]->respond(status_head(200), "first");
    CHECK(server.busy_connections() == 1);
    server.stop_listening();
    REQUIRE(loop.run_until([&] { return requests.size() == 2; }, limit));
    requests[1]->respond(status_head(200), "second");
    wait_for("second");
    wait_for_end();
    CHECK(closed == close_reason::finished);
}

TEST_CASE_FIXTURE(server_test,
                  "http1_server: a request that was sent but not read yet is answered in a drain")
{
    send_and_wait(simple_request, 1);
    requests[0]->respond(status_head(200), "first");
    wait_for("first");
    server.begin_drain();
    // the loop does not run between the request's arrival and the end of listening
    caller.send(simple_request);
    CHECK(server.busy_connections() == 1);
    server.stop_listening();
    REQUIRE(loop.run_until([&] { return requests.size() == 2 || closed; }, limit));
    REQUIRE(requests.size() == 2);
    requests[1]->respond(status_head(200), "second");
    wait_for("second");
}

TEST_CASE_FIXTURE(server_test,
                  "http1_server: a connection that waits to be accepted is served in a drain")
{
    REQUIRE(loop.run_until([&] { return server.open_connections() == 1; }, limit));
    const auto descriptor = connect_and_send(server.port(), simple_request);
    server.begin_drain();
    server.stop_listening();
    CHECK(loop.run_until([&] { return requests.size() == 1; }, limit));
    ::close(descriptor);
}

TEST_CASE_FIXTURE(server_test, "http1_server: the last response is not lost to bytes that the "
                               "caller is still sending")
{
    // closing with unread bytes resets the connection, and the reset may overtake the response
    const auto descriptor =
        connect_and_send(server.port(), "POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n");
    const auto piece = std::string(100'000, 'x');
    auto answer = std::string{};
    auto ended = ssize_t{1};
    REQUIRE(loop.run_until(
        [&] {
            if (answer.empty()) {
                ::send(descriptor, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            }
            auto buffer = std::array<char, 4096>{};
            const auto count = ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count > 0) {
                answer.append(buffer.data(), static_cast<std::size_t>(count));
            }
            const auto waiting = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            ended = waiting ? 1 : count;
            return ended <= 0;
        },
        limit));
    CHECK(ended == 0);
    CHECK(answer.starts_with("HTTP/1.1 413"));
    CHECK(requests.empty());
    ::close(descriptor);
}

TEST_CASE_FIXTURE(server_test, "http1_server: a chunked body that is too large gets one response")
{
    const auto chunk = write_chunk(std::string(limits().max_body_bytes + 1, 'b'));
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk +
                chunk + chunk);
    wait_for_end();
    CHECK(received.find("HTTP/1.1 413") == 0);
    CHECK(received.rfind("HTTP/1.1 ") == 0);
    CHECK(requests.empty());
}

// Guards against a process that exceeds its memory because many callers send large bodies at once.
TEST_CASE_FIXTURE(server_test, "http1_server: bodies that are held together are bounded, and small "
                               "ones are always taken")
{
    auto chosen = limits();
    chosen.max_body_bytes = 200'000;
    chosen.body_timeout = std::chrono::seconds{60};
    chosen.max_buffered_body_bytes = 50'000;
    server.set_limits(chosen);
    const auto post = [](std::size_t length) {
        return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
               "\r\n\r\n";
    };
    const auto call = [&](std::size_t length) {
        auto answer = std::string{};
        auto ended = false;
        auto other = tcp_connection{};
        REQUIRE(try_or(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(other,
                                  connect_tcp(loop, "127.0.0.1:" + std::to_string(server.port())));
                return {};
            },
            [](const error& failure) { FAIL(describe(failure)); }));
        other.set_handlers({{},
                            [&](std::string_view bytes) { answer += bytes; },
                            {},
                            [&](close_reason) { ended = true; }});
        other.send(post(length) + std::string(length, 'b'));
        const auto served = requests.size() + 1;
        REQUIRE(loop.run_until(
            [&] { return requests.size() == served || answer.ends_with("\r\n\r\n"); }, limit));
        if (requests.size() == served) {
            requests.back()->respond(status_head(200), {});
            REQUIRE(loop.run_until([&] { return answer.ends_with("\r\n\r\n"); }, limit));
        }
        return answer;
    };
    caller.send(post(60'000) + std::string(40'000, 'b'));
    REQUIRE(loop.run_until([&] { return server.buffered_body_bytes() == 40'000; }, limit));
    const auto refused = call(30'000);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(server.refused_bodies() == 1);
    CHECK(call(1'000).starts_with("HTTP/1.1 200"));
    caller.reset();
    REQUIRE(loop.run_until([&] { return server.buffered_body_bytes() == 0; }, limit));
    CHECK(call(30'000).starts_with("HTTP/1.1 200"));
    CHECK(server.buffered_body_bytes() == 0);
}

// Guards against reading on behind a head that declares too much.
TEST_CASE_FIXTURE(server_test, "http1_server: a body that is declared too large is refused unseen")
{
    caller.send("POST / HTTP/1.1\r\nContent-Length: 101\r\nExpect: 100-continue\r\n\r\n");
    wait_for_end();
    CHECK(received.starts_with("HTTP/1.1 413"));
    CHECK(server.limited(caller_limit::declared_body_bytes) == 1);
}

// Guards against unfinished heads that fill the memory, and against a complete request or an
// ordinary caller that pays for them.
TEST_CASE_FIXTURE(server_test, "http1_server: unfinished requests give way when memory is short")
{
    send_and_wait(simple_request, 1);
    auto chosen = limits();
    chosen.header_timeout = std::chrono::seconds{60};
    chosen.max_held_bytes = 100'000;
    server.set_limits(chosen);
    const auto head = "GET / HTTP/1.1\r\nX: " + std::string(12'000, 'x');
    auto descriptors = std::vector<int>{};
    for (auto count = 0; count < 30; ++count) {
        descriptors.push_back(connect_and_send(server.port(), head));
    }
    REQUIRE(loop.run_until([&] { return server.limited(caller_limit::memory) >= 20; }, limit));
    CHECK(server.held_bytes() <= chosen.max_held_bytes);
    auto answer = std::array<char, 100>{};
    REQUIRE(::recv(descriptors.front(), answer.data(), answer.size(), 0) > 0);
    CHECK(std::string_view{answer.data()}.starts_with("HTTP/1.1 503"));
    requests[0]->respond(status_head(200), "whole");
    wait_for("whole");
    send_and_wait(simple_request, 2);
    for (const auto descriptor : descriptors) {
        ::close(descriptor);
    }
}
