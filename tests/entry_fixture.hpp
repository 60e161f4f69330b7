#pragma once

#include <algorithm>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "cyclamenpost/entry/entry_instance.hpp"
#include "platform_adapter.hpp"
#include "sample_configuration.hpp"
#include "store_stand_in.hpp"
#include "target_stand_in.hpp"

namespace cyclamenpost::test {

/// Longest wait for a state; a test that reaches it fails.
inline constexpr auto limit = std::chrono::seconds{20};

/// A port that was free a moment ago.
inline auto free_address(event_loop& loop) -> std::string
{
    auto address = std::string{};
    const auto opened = try_or(
        [&]() -> result<void> {
            auto listener = tcp_listener{};
            BOOST_LEAF_ASSIGN(listener, tcp_listener::open(loop, "127.0.0.1:0", {}));
            address = "127.0.0.1:" + std::to_string(listener.port());
            return {};
        },
        [](const error& failure) { FAIL(describe(failure)); });
    REQUIRE(opened);
    return address;
}

/// One request as a caller of the platform sends it, and its answer.
struct caller_call {
    client_exchange exchange;
    response_head head;
    std::string body;
    bool complete = false;
    std::optional<exchange_failure> failed;

    auto ended() const -> bool
    {
        return complete || failed;
    }
};

/// A fleet with its store and targets in one process and on one loop.
struct fleet_fixture {
    event_loop loop;
    fakes::store_stand_in store{loop};
    std::list<fakes::target_stand_in> targets;
    std::deque<std::unique_ptr<entry_instance>> instances;
    std::deque<entry_settings> settings;
    http1_client client{loop, std::chrono::seconds{5}};
    int ended = 0;
    int next_id = 0;

    fleet_fixture()
    {
        check([&] { return store.listen("127.0.0.1:0"); });
    }

    template <typename Attempt>
    static auto check(Attempt&& attempt) -> void
    {
        REQUIRE(try_or(attempt, [](const error& failure) { FAIL(describe(failure)); }));
    }

    /// Adds a target and publishes it.
    auto add_target(const std::string& id, const std::string& service,
                    const std::string& zone = "a") -> fakes::target_stand_in&
    {
        auto& target = targets.emplace_back(loop, id, service, zone);
        check([&] { return target.listen("127.0.0.1:0"); });
        store.put(target.key(), target.entry());
        return target;
    }

    /// Publishes a configuration with a route of each kind to one service each.
    auto publish(int version, const std::vector<std::string>& keys = {"key-1"}) -> void
    {
        publish_to(store, version, keys);
    }

    /// Publishes a configuration in another store, which some instances read instead.
    static auto publish_to(fakes::store_stand_in& where, int version,
                           const std::vector<std::string>& keys = {"key-1"}) -> void
    {
        auto sample = fakes::sample_configuration{};
        sample.version = version;
        sample.keys = keys;
        where.put("op/config", fakes::to_text(sample));
    }

    /// Starts an instance whose seed is the first one, before the usual store or another.
    auto add_instance(const std::string& zone = "a", const std::string& store_address = {})
        -> entry_instance&
    {
        auto& own = settings.emplace_back();
        own.name = "entry-" + std::to_string(settings.size());
        own.zone = zone;
        own.front_address = free_address(loop);
        own.readiness_address = free_address(loop);
        own.directory_address = free_address(loop);
        own.peer_address = free_address(loop);
        own.store_address = store_address.empty() ? store.address() : store_address;
        own.seeds = {settings.front().peer_address};
        own.membership_settle_time = std::chrono::milliseconds{1};
        own.retry_budget_ratio = 0.2;
        own.retry_slack = 50;
        instances.push_back(std::make_unique<entry_instance>(loop, platform::make_codec(), own,
                                                             [this](int) { ++ended; }));
        instances.back()->start();
        return *instances.back();
    }

    auto wait(const std::function<bool()>& done) -> void
    {
        REQUIRE(loop.run_until(done, limit));
    }

    auto wait_ready() -> void
    {
        wait([&] {
            return std::all_of(instances.begin(), instances.end(),
                               [](const auto& instance) { return instance->ready(); });
        });
    }

    /// Sends a request to an instance.
    auto send(caller_call& call, const std::string& target, std::size_t instance = 0,
              const std::string& key = "key-1", const std::string& id = {}) -> void
    {
        auto request = outgoing_request{};
        request.address = settings[instance].front_address;
        request.fresh_connection = true;
        const auto reads = target.starts_with("/read");
        request.head.method = reads ? "GET" : "POST";
        request.head.target = target;
        request.head.fields = {{"Host", "shop.example"},
                               {"X-Attempt-Id", id.empty() ? "r" + std::to_string(++next_id) : id},
                               {"X-Deadline-Ms", "4000"},
                               {"X-Tenant", "forged"},
                               {"X-Api-Key", key}};
        if (target.starts_with("/quote")) {
            request.head.fields.push_back({"X-Prompt-Prefix", "a1:500,b2:4000,c3:100"});
        }
        request.body = reads ? "" : "order";
        begin(call, request);
    }

    /// Sends a request whose answer the call collects.
    auto begin(caller_call& call, const outgoing_request& request) -> void
    {
        auto handlers = exchange_handlers{};
        handlers.on_head = [&call](response_head& head) { call.head = head; };
        handlers.on_body = [&call](std::string_view bytes) { call.body += bytes; };
        handlers.on_complete = [&call] { call.complete = true; };
        handlers.on_failed = [&call](exchange_failure how) { call.failed = how; };
        check([&]() -> result<void> {
            BOOST_LEAF_ASSIGN(call.exchange, client.send(request, std::move(handlers)));
            return {};
        });
    }

    /// Sends a request and waits for its end.
    auto ask(const std::string& target, std::size_t instance = 0, const std::string& key = "key-1",
             const std::string& id = {}) -> caller_call
    {
        auto call = caller_call{};
        send(call, target, instance, key, id);
        wait([&] { return call.ended(); });
        return call;
    }

    /// Asks a side address of an instance.
    auto ask_side(const std::string& address, const std::string& target) -> caller_call
    {
        auto call = caller_call{};
        auto request = outgoing_request{};
        request.address = address;
        request.fresh_connection = true;
        request.head.method = "GET";
        request.head.target = target;
        begin(call, request);
        wait([&] { return call.ended(); });
        return call;
    }

    auto runs_of(const std::string& id) const -> int
    {
        auto total = 0;
        for (const auto& target : targets) {
            const auto found = target.runs().find(id);
            total += found == target.runs().end() ? 0 : found->second;
        }
        return total;
    }
};

} // namespace cyclamenpost::test
