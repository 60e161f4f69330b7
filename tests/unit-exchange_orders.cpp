#include <algorithm>
#include <deque>
#include <list>
#include <optional>
#include <set>

#include <doctest/doctest.h>

#include "cyclamenpost/transport/http1_client.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto limit = std::chrono::seconds{10};
/// More than the socket buffers of both ends take, so that a peer that does not read gets a part.
constexpr std::size_t large_body = std::size_t{16} << 20U;

/// What the peer does with one request.
enum class peer_step {
    /// Reads it and answers.
    answers,
    /// Reads it, answers, and repeats the answer when the next request on the connection arrives.
    repeats_later,
    /// Reads it and answers that another peer is here; the answer comes once more, as above.
    disclaims_twice,
    /// Reads it and sends a part of the head.
    begins_head,
    /// Reads it and closes the connection.
    closes,
    /// Reads it and resets the connection.
    resets,
    /// Resets the connection, of which it has read nothing.
    resets_unread,
    /// Reads it and stays silent.
    silent,
    /// Does not read.
    stuck,
};

constexpr std::array peer_steps{
    peer_step::answers,       peer_step::repeats_later, peer_step::disclaims_twice,
    peer_step::begins_head,   peer_step::closes,        peer_step::resets,
    peer_step::resets_unread, peer_step::silent,        peer_step::stuck};

/// What the owner does with an exchange of which nothing has been heard.
enum class owner_step { cancels, looks_then_cancels, destroys };

constexpr std::array owner_steps{owner_step::cancels, owner_step::looks_then_cancels,
                                 owner_step::destroys};

auto response_to(const std::string& id, int status, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A listener whose connections follow a script, one step for each request.
struct scripted_peer {
    struct connection {
        tcp_connection tcp;
        std::string unread;
        std::string repeated;
    };

    event_loop loop;
    tcp_listener listener;
    std::list<connection> connections;
    std::deque<peer_step> script;
    std::string address;
    /// Requests of which the peer has received a byte.
    std::set<std::string> touched;
    int requests = 0;

    scripted_peer()
    {
        const auto opened = try_or(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(listener,
                                  tcp_listener::open(loop, "127.0.0.1:0",
                                                     [this](tcp_connection accepted, const auto&) {
                                                         accept(std::move(accepted));
                                                     }));
                return {};
            },
            [](const error& failure) { FAIL(describe(failure)); });
        REQUIRE(opened);
        address = "127.0.0.1:" + std::to_string(listener.port());
    }

    auto accept(tcp_connection accepted) -> void
    {
        auto& added = connections.emplace_back();
        added.tcp = std::move(accepted);
        const auto next = script.empty() ? peer_step::silent : script.front();
        if (next == peer_step::resets_unread) {
            script.pop_front();
            added.tcp.reset();
            return;
        }
        if (next == peer_step::stuck) {
            script.pop_front();
            added.tcp.set_reading(false);
            return;
        }
        added.tcp.set_handlers(
            {{}, [this, &added](std::string_view bytes) { receive(added, bytes); }, {}, {}});
    }

    auto receive(connection& from, std::string_view bytes) -> void
    {
        from.unread += bytes;
        const auto head_end = from.unread.find("\r\n\r\n");
        if (head_end == std::string::npos) {
            return;
        }
        const auto at = from.unread.find("Id: ") + 4;
        const auto id = from.unread.substr(at, from.unread.find('\r', at) - at);
        touched.insert(id);
        if (!from.unread.ends_with("end")) {
            return;
        }
        from.unread.clear();
        ++requests;
        from.tcp.send(std::exchange(from.repeated, {}));
        const auto step = script.empty() ? peer_step::silent : script.front();
        if (!script.empty()) {
            script.pop_front();
        }
        perform(from, step, id);
    }

    auto perform(connection& from, peer_step step, const std::string& id) -> void
    {
        const auto own = "answer " + std::to_string(requests);
        switch (step) {
        case peer_step::answers:
            from.tcp.send(response_to(id, 200, own));
            return;
        case peer_step::repeats_later:
            from.repeated = response_to(id, 200, own);
            from.tcp.send(from.repeated);
            return;
        case peer_step::disclaims_twice:
            from.repeated = response_to(id, 421, own);
            from.tcp.send(from.repeated);
            return;
        case peer_step::begins_head:
            from.tcp.send("HTTP/1.1 200 OK\r\nId: ");
            return;
        case peer_step::closes:
            from.tcp.close();
            return;
        case peer_step::resets:
        case peer_step::resets_unread:
            from.tcp.reset();
            return;
        case peer_step::silent:
        case peer_step::stuck:
            return;
        }
    }
};

struct attempt {
    client_exchange exchange;
    std::string body;
    bool complete = false;
    bool failed = false;
    bool sent_when_failed = false;

    auto begin(http1_client& client, const std::string& address, const std::string& id,
               const std::string& peer, std::size_t body_bytes) -> void
    {
        auto request = outgoing_request{};
        request.address = address;
        request.peer = peer;
        request.id = id;
        request.head.method = "POST";
        request.head.target = "/work";
        request.head.fields = {{"Id", id}};
        request.body = std::string(body_bytes, 'x') + "end";
        auto handlers = exchange_handlers{};
        handlers.id_of = [](const response_head& head) {
            return std::string{find_field(head.fields, "Id").value_or(std::string_view{})};
        };
        handlers.on_body = [this](std::string_view bytes) { body += bytes; };
        handlers.on_complete = [this] { complete = true; };
        handlers.on_failed = [this](exchange_failure) {
            failed = true;
            sent_when_failed = exchange.sent();
        };
        const auto begun = try_or(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(exchange, client.send(request, std::move(handlers)));
                return {};
            },
            [](const error& failure) { FAIL(describe(failure)); });
        REQUIRE(begun);
    }

    auto ended() const -> bool
    {
        return complete || failed;
    }
};

/// Gives up an exchange of which nothing has been heard. Returns what it says of its request before
/// it is destroyed.
auto give_up(attempt& given_up, owner_step step) -> bool
{
    const auto before = given_up.exchange.sent();
    switch (step) {
    case owner_step::cancels:
        given_up.exchange.cancel();
        return given_up.exchange.sent();
    case owner_step::looks_then_cancels:
        given_up.exchange.cancel();
        CHECK(given_up.exchange.sent() == before);
        return before;
    case owner_step::destroys:
        given_up.exchange = {};
        return before;
    }
    return before;
}

/// Lets the peer's side come to rest: it has taken up the request, has done with the connection, or
/// the exchange has ended.
auto settle(scripted_peer& peer, const attempt& observed, std::size_t steps_left) -> void
{
    peer.loop.run_until([&] { return observed.ended() || peer.script.size() == steps_left; },
                        limit);
    // lets an answer, a close or a reset that is on its way arrive
    for (auto turn = 0; turn < 4 && !observed.ended(); ++turn) {
        peer.loop.run_until([&] { return observed.ended(); }, std::chrono::milliseconds{2});
    }
}

/// What the second of two exchanges carries, and for whom.
enum class second_send {
    /// Another request for the same peer.
    other_request,
    /// The first request again, for another peer that has taken over the address.
    other_peer,
    /// The first request again, for the same peer.
    same_peer,
};

constexpr std::array second_sends{second_send::other_request, second_send::other_peer,
                                  second_send::same_peer};

struct order {
    peer_step first;
    peer_step second;
    owner_step owner;
    second_send repeat;
    std::size_t body_bytes;
};

/// Plays two exchanges in a row.
auto play(const order& chosen) -> void
{
    auto peer = scripted_peer{};
    auto client = http1_client{peer.loop, std::chrono::seconds{5}};
    peer.script = {chosen.first, chosen.second};
    auto first = attempt{};
    first.begin(client, peer.address, "a", "peer-1", chosen.body_bytes);
    settle(peer, first, 1);
    const auto first_sent = first.ended() ? first.exchange.sent() : give_up(first, chosen.owner);
    CHECK((first_sent || !peer.touched.contains("a")));
    CHECK((!first.failed || first.sent_when_failed == first_sent));
    CHECK((!first.complete || first.body == "answer 1"));

    const auto before = peer.requests;
    peer.touched.clear();
    const auto id = std::string{chosen.repeat == second_send::other_request ? "b" : "a"};
    auto second = attempt{};
    second.begin(client, peer.address, id,
                 chosen.repeat == second_send::other_peer ? "peer-2" : "peer-1", chosen.body_bytes);
    settle(peer, second, 0);
    const auto second_sent =
        second.ended() ? second.exchange.sent() : give_up(second, chosen.owner);
    CHECK((second_sent || !peer.touched.contains(id)));
    CHECK((!second.failed || second.sent_when_failed == second_sent));
    // only what the peer sent to this exchange is its answer
    CHECK((!second.complete || second.body == "answer " + std::to_string(before + 1)));
}

auto play_all(std::size_t body_bytes) -> int
{
    auto played = 0;
    for (const auto first : peer_steps) {
        for (const auto second : peer_steps) {
            for (const auto owner : owner_steps) {
                for (const auto repeat : second_sends) {
                    CAPTURE(static_cast<int>(first));
                    CAPTURE(static_cast<int>(second));
                    CAPTURE(static_cast<int>(owner));
                    CAPTURE(static_cast<int>(repeat));
                    play({first, second, owner, repeat, body_bytes});
                    ++played;
                }
            }
        }
    }
    return played;
}

} // namespace

// Guards against a request that counts as not sent although its peer has some of it, and against an
// answer that belongs to another exchange.
TEST_CASE("exchange_orders: what was sent and whose answer it is hold in every order of events")
{
    CHECK(play_all(0) == 729);
}

TEST_CASE("exchange_orders: a request of which only a part could be written counts as sent")
{
    for (const auto step : {peer_step::resets_unread, peer_step::stuck}) {
        for (const auto owner : owner_steps) {
            auto peer = scripted_peer{};
            auto client = http1_client{peer.loop, std::chrono::seconds{5}};
            peer.script = {step};
            auto only = attempt{};
            only.begin(client, peer.address, "a", "peer-1", large_body);
            REQUIRE(peer.loop.run_until(
                [&] { return only.ended() || only.exchange.record().sent_bytes > 0; }, limit));
            CHECK(only.exchange.record().sent_bytes < large_body);
            const auto established = only.exchange.record().established;
            const auto sent = only.ended() ? only.exchange.sent() : give_up(only, owner);
            CHECK((sent || !established || step == peer_step::resets_unread));
        }
    }
}
