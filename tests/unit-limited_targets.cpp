#include "entry_fixture.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::test;

namespace {

/// A target that runs every request at once, and announces what it is told to announce.
struct announcing_target {
    tcp_listener listener;
    std::list<tcp_connection> connections;
    /// Header lines of its answers.
    std::string announced;
    /// Whether its answers carry the request's id.
    bool identifies = true;
    std::vector<time_point> arrivals;

    announcing_target(fleet_fixture& fleet, const std::string& id)
    {
        fleet.check([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(listener,
                              tcp_listener::open(fleet.loop, "127.0.0.1:0",
                                                 [this](tcp_connection accepted, const auto&) {
                                                     accept(std::move(accepted));
                                                 }));
            return {};
        });
        fleet.store.put("servers/" + id,
                        nlohmann::json{{"backend", "app"},
                                       {"address", "127.0.0.1:" + std::to_string(listener.port())},
                                       {"zone", "a"},
                                       {"capacity", 8},
                                       {"state", "ready"},
                                       {"born", 1},
                                       {"cold_remaining_ms", 0}}
                            .dump());
    }

    auto accept(tcp_connection accepted) -> void
    {
        auto* connection = &connections.emplace_back(std::move(accepted));
        auto text = std::make_shared<std::string>();
        auto handlers = tcp_handlers{};
        handlers.on_bytes = [this, connection, text](std::string_view bytes) {
            *text += bytes;
            if (!text->ends_with("\r\n\r\norder")) {
                return;
            }
            arrivals.push_back(monotonic_now());
            const auto at = text->find("X-Attempt-Id: ") + 14;
            const auto id = text->substr(at, text->find('\r', at) - at);
            const auto id_line = identifies ? "X-Attempt-Id: " + id + "\r\n" : std::string{};
            connection->send("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n" + id_line + announced +
                             "Content-Length: 4\r\n\r\ndone");
            text->clear();
        };
        connection->set_handlers(std::move(handlers));
    }

    /// Most requests that arrived within four seconds.
    auto most_in_window() const -> std::size_t
    {
        constexpr auto window = std::chrono::seconds{4};
        auto most = std::size_t{0};
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            const auto last = std::upper_bound(first, arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }
};

struct announcing_fleet : fleet_fixture {
    announcing_target limited{*this, "app-1"};

    auto start(std::size_t listed) -> void
    {
        publish(1);
        add_instance();
        wait_ready();
        wait([&] { return instances[0]->view().targets.targets.size() == listed; });
        wait([&] { return instances[0]->view().retries.min_per_second > 0; });
    }
};

/// Requests that a target with the limit may get in four seconds.
auto allowed(double limit) -> std::size_t
{
    return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

} // namespace

// Guards against an announced limit that nobody reads: a target under pressure got as many requests
// as before.
TEST_CASE_FIXTURE(announcing_fleet,
                  "limited_targets: a target gets no more requests than it announced")
{
    start(1);
    limited.announced = "Server-Limit: 2\r\n";
    CHECK(ask("/book/1").head.status == 200);
    for (auto sent = 0; sent < 40; ++sent) {
        const auto status = ask("/book/2").head.status;
        CHECK((status == 200 || status == 503));
    }
    CHECK(limited.most_in_window() <= allowed(2));
}

// Guards against callers that are refused because one of the targets has announced a limit.
TEST_CASE_FIXTURE(announcing_fleet, "limited_targets: other targets serve what a limited one may "
                                    "not get")
{
    auto other = announcing_target{*this, "app-2"};
    start(2);
    limited.announced = "Server-Limit: 2\r\n";
    for (auto sent = 0; sent < 60; ++sent) {
        CHECK(ask("/book/1").head.status == 200);
    }
    CHECK(limited.most_in_window() <= allowed(2));
    CHECK(limited.arrivals.size() + other.arrivals.size() == 60);
}

// Guards against a limit that outlives its announcement.
TEST_CASE_FIXTURE(announcing_fleet, "limited_targets: a target that announces no limit any more "
                                    "gets all requests again")
{
    start(1);
    limited.announced = "Server-Limit: 2\r\n";
    CHECK(ask("/book/1").head.status == 200);
    limited.announced.clear();
    wait([&] { return ask("/book/2").head.status == 200; });
    for (auto sent = 0; sent < 40; ++sent) {
        CHECK(ask("/book/3").head.status == 200);
    }
}

// Guards against a malformed limit that counts as a limit, or as the end of one.
TEST_CASE_FIXTURE(announcing_fleet, "limited_targets: a limit that cannot be read changes nothing")
{
    start(1);
    limited.announced = "Server-Limit: 1e400\r\n";
    for (auto sent = 0; sent < 40; ++sent) {
        CHECK(ask("/book/1").head.status == 200);
    }
    limited.arrivals.clear();
    limited.announced = "Server-Limit: 2\r\n";
    CHECK(ask("/book/2").head.status == 200);
    limited.announced = "Server-Limit: -1\r\n";
    for (auto sent = 0; sent < 40; ++sent) {
        ask("/book/3");
    }
    CHECK(limited.most_in_window() <= allowed(2));
}

// Guards against an answer that may come from something before the target, and ends its limit in
// the whole fleet.
TEST_CASE_FIXTURE(announcing_fleet, "limited_targets: an answer without the request's id ends no "
                                    "limit")
{
    start(1);
    limited.announced = "Server-Limit: 2\r\nConnection: close\r\n";
    CHECK(ask("/book/1").head.status == 200);
    limited.announced = "Connection: close\r\n";
    limited.identifies = false;
    for (auto sent = 0; sent < 40; ++sent) {
        ask("/book/2");
    }
    CHECK(limited.most_in_window() <= allowed(2));
}
