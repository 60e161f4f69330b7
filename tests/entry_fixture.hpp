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
#include <unistd.h>

#include "cyclamenpost/entry/entry_instance.hpp"
#include "fake_store.hpp"
#include "fake_target.hpp"
#include "platform_adapter.hpp"
#include "sample_configuration.hpp"

namespace cyclamenpost::test {

/// Time limit for reaching a state; a test that exceeds it fails.
inline constexpr auto wait_timeout = std::chrono::seconds{20};

/// An address with a port that was free when this was called. The ports lie below those that the
/// kernel assigns to outgoing connections, and below those of the soak's processes: either could
/// take the port before the test listens on it.
inline auto free_address(event_loop& loop) -> std::string
{
    constexpr auto first_port = 10000;
    constexpr auto port_range = 10000;
    // tests of several processes run at the same time and begin at different ports
    constexpr auto ports_apart = 397;
    static auto next = static_cast<int>(getpid()) * ports_apart % port_range;
    for (auto tries = 0; tries < port_range; ++tries) {
        next = (next + 1) % port_range;
        auto address = "127.0.0.1:" + std::to_string(first_port + next);
        auto listener = tcp_listener{};
        const auto opened = try_or(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(listener, tcp_listener::open(loop, address, {}));
                return {};
            },
            [](const error&) {});
        if (opened) {
            return address;
        }
    }
    FAIL("no port is free");
    return {};
}

/// One request of a caller, and its answer.
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

/// A fleet with its store and targets in one process, on one event loop.
struct fleet_fixture {
    event_loop loop;
    fakes::fake_store store{loop};
    std::list<fakes::fake_target> targets;
    std::deque<std::unique_ptr<entry_instance>> instances;
    std::deque<entry_settings> settings;
    http1_client client{loop, std::chrono::seconds{5}};
    int stopped_instances = 0;
    int next_id = 0;
    /// Setting of the instances that are added from now on.
    duration target_heartbeat = std::chrono::milliseconds{1200};
    /// Setting of the instances that are added from now on.
    duration shutdown_grace = std::chrono::seconds{8};
    /// Setting of the instances that are added from now on.
    traffic_options options;
    /// Prompt of the requests for quotes.
    std::string prompt = "a1:500,b2:4000,c3:100";

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
                    const std::string& zone = "a") -> fakes::fake_target&
    {
        auto& target = targets.emplace_back(loop, id, service, zone);
        check([&] { return target.listen("127.0.0.1:0"); });
        store.put(target.store_key(), target.store_entry());
        return target;
    }

    /// Publishes a configuration with one route of each kind, each to its own service.
    auto publish(int version, const std::vector<std::string>& keys = {"key-1"}) -> void
    {
        publish_to(store, version, keys);
    }

    /// Publishes a configuration in the given store.
    static auto publish_to(fakes::fake_store& where, int version,
                           const std::vector<std::string>& keys = {"key-1"}) -> void
    {
        auto sample = fakes::sample_configuration{};
        sample.version = version;
        sample.api_keys = keys;
        where.put("op/config", fakes::to_text(sample));
    }

    /// Starts an instance that joins through the first one and reads the default store or the one
    /// given. Its address for peers is a free one by default.
    auto add_instance(const std::string& zone = "a", const std::string& store_address = {},
                      const std::string& peer_address = {}) -> entry_instance&
    {
        auto& own = settings.emplace_back();
        own.name = "entry-" + std::to_string(settings.size());
        own.zone = zone;
        own.front_address = free_address(loop);
        own.readiness_address = free_address(loop);
        own.directory_address = free_address(loop);
        own.metrics_address = free_address(loop);
        own.peer_address = peer_address.empty() ? free_address(loop) : peer_address;
        own.store_address = store_address.empty() ? store.address() : store_address;
        own.seeds = {settings.front().peer_address};
        own.membership_settle_time = std::chrono::milliseconds{1};
        own.target_heartbeat = target_heartbeat;
        own.retry_budget_ratio = 0.2;
        own.retry_slack = 50;
        own.shutdown_grace = shutdown_grace;
        own.options = options;
        instances.push_back(std::make_unique<entry_instance>(loop, platform::make_codec(), own,
                                                             [this](int) { ++stopped_instances; }));
        instances.back()->start();
        return *instances.back();
    }

    auto wait(const std::function<bool()>& done) -> void
    {
        REQUIRE(loop.run_until(done, wait_timeout));
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
            request.head.fields.push_back({"X-Prompt-Prefix", prompt});
        }
        request.body = reads ? "" : "order";
        begin(call, request);
    }

    /// Sends a request; `call` collects the answer.
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

    /// Sends a GET to the readiness or directory address of an instance.
    auto send_get(const std::string& address, const std::string& target) -> caller_call
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

    /// Times that the targets have executed a request.
    auto runs_of(const std::string& id) const -> int
    {
        auto total = 0;
        for (const auto& target : targets) {
            const auto found = target.run_counts().find(id);
            total += found == target.run_counts().end() ? 0 : found->second;
        }
        return total;
    }
};

} // namespace cyclamenpost::test
