#include "entry_fixture.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::test;
using fakes::store_mode;

namespace {

struct small_fleet : fleet_fixture {
    small_fleet()
    {
        publish(1);
        add_target("app-1", "app");
    }

    auto start(int count) -> void
    {
        for (auto index = 0; index < count; ++index) {
            add_instance();
        }
        wait_ready();
    }

    auto version(std::size_t instance) const -> std::uint64_t
    {
        const auto& routes = instances[instance]->view().routes;
        return routes ? routes->version : 0;
    }

    auto addresses(std::size_t instance) -> std::size_t
    {
        const auto call = send_get(settings[instance].directory_address,
                                   "/cyclamenpost/resolve?name=shop.example&region=r&zone=a");
        return call.head.status == 200 ? nlohmann::json::parse(call.body)["addresses"].size() : 0;
    }

    auto listing_of(const std::string& id) const -> listing_state
    {
        return instances[0]->view().targets.targets.at(id).listing;
    }
};

} // namespace

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: instances join one fleet and appear in the directory")
{
    start(3);
    wait([&] { return addresses(0) == 3; });
    wait([&] { return addresses(2) == 3; });
    CHECK(send_get(settings[0].readiness_address, "/cyclamenpost/readyz").head.status == 200);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: without a configuration requests get 503 with Retry-After")
{
    store.set_mode(store_mode::busy);
    add_instance();
    const auto call = ask("/book/1");
    CHECK(call.head.status == 503);
    CHECK(find_field(call.head.fields, "Retry-After").has_value());
    CHECK(send_get(settings[0].readiness_address, "/cyclamenpost/readyz").head.status == 503);
    store.set_mode(store_mode::normal);
    wait_ready();
    CHECK(ask("/book/1").head.status == 200);
}

TEST_CASE_FIXTURE(small_fleet, "entry_instance: a listing of several pages is read completely")
{
    for (auto index = 2; index < 15; ++index) {
        add_target("app-" + std::to_string(index), "app");
    }
    start(1);
    CHECK(instances[0]->view().targets.targets.size() == 14);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: the store is listed again when its history was dropped")
{
    start(1);
    store.set_mode(store_mode::busy);
    publish(2);
    store.remove("servers/app-1");
    store.drop_history();
    store.set_mode(store_mode::normal);
    wait([&] { return version(0) == 2; });
    CHECK(listing_of("app-1") != listing_state::listed);
}

TEST_CASE_FIXTURE(small_fleet, "entry_instance: reading resumes after the store stopped answering")
{
    start(1);
    store.set_mode(store_mode::silent);
    publish(2);
    // the current watch is never answered
    wait([&] { return store.request_count() > 3; });
    store.set_mode(store_mode::normal);
    wait([&] { return version(0) == 2; });
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: an instance without access to the store reads from a peer")
{
    start(2);
    wait([&] { return addresses(0) == 2; });
    auto unavailable_store = fakes::fake_store{loop};
    check([&] { return unavailable_store.listen("127.0.0.1:0"); });
    unavailable_store.set_mode(store_mode::busy);
    add_instance("a", unavailable_store.address());
    wait_ready();
    CHECK(version(2) == 1);
    publish(5, {"key-2"});
    wait([&] { return version(2) == 5; });
    CHECK(ask("/book/1", 2, "key-1").head.status == 401);
    CHECK(ask("/book/1", 2, "key-2").head.status == 200);
    // the store serves others, so an entry that vanishes now was removed and has not lapsed
    store.remove("servers/app-1");
    wait([&] {
        return instances[2]->view().targets.targets.at("app-1").listing == listing_state::removed;
    });
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: a target that vanishes when the store returns may have lapsed")
{
    target_heartbeat = std::chrono::milliseconds{100};
    start(1);
    store.set_mode(store_mode::busy);
    // the pauses between the calls add up to several heartbeats
    wait([&] { return store.request_count() > 4; });
    store.remove("servers/app-1");
    store.set_mode(store_mode::normal);
    wait([&] { return listing_of("app-1") != listing_state::listed; });
    CHECK(listing_of("app-1") == listing_state::lapsed);
    CHECK(ask("/book/1").head.status == 200);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: a target that vanishes without an outage gets no more requests")
{
    start(1);
    store.remove("servers/app-1");
    wait([&] { return listing_of("app-1") != listing_state::listed; });
    CHECK(listing_of("app-1") == listing_state::removed);
    CHECK(ask("/book/1").head.status == 503);
}

// Guards against an open fleet: a list of organisations without an entry read as "no keys needed".
TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: no key is accepted after the last organisation was removed")
{
    start(1);
    CHECK(ask("/book/1").head.status == 200);
    auto sample = fakes::sample_configuration{};
    sample.version = 2;
    sample.with_organisation = false;
    store.put("op/config", fakes::to_text(sample));
    wait([&] { return version(0) == 2; });
    CHECK(ask("/book/1", 0, "key-1", "dropped").head.status == 401);
    CHECK(ask("/book/1", 0, "never-held", "forged").head.status == 401);
    CHECK(runs_of("dropped") + runs_of("forged") == 0);
    publish(3);
    wait([&] { return version(0) == 3; });
    CHECK(ask("/book/1").head.status == 200);
}

// Guards against work for a target that has left: one cut watch counted as an outage of the store,
// in which the entry might have lapsed.
TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: a target that vanishes as a watch is cut gets no more requests")
{
    start(1);
    auto cut = std::size_t{0};
    wait([&] {
        cut += store.cut_watches();
        return cut > 0;
    });
    store.remove("servers/app-1");
    wait([&] { return listing_of("app-1") != listing_state::listed; });
    CHECK(listing_of("app-1") == listing_state::removed);
    CHECK(ask("/book/1").head.status == 503);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: older configurations and unreadable entries are ignored")
{
    start(1);
    publish(7);
    wait([&] { return version(0) == 7; });
    publish(6);
    store.put("op/config", "not a configuration");
    store.put("servers/odd", R"({"backend":7})");
    store.put("servers/nested", std::string(400'000, '['));
    store.put(
        "servers/port",
        R"({"backend":"app","address":"127.0.0.1:70000","zone":"a","capacity":8,"state":"ready","cold_remaining_ms":0})");
    add_target("app-2", "app");
    wait([&] { return instances[0]->view().targets.targets.contains("app-2"); });
    CHECK(version(0) == 7);
    for (const auto* odd : {"odd", "nested", "port"}) {
        CHECK_FALSE(instances[0]->view().targets.targets.contains(odd));
    }
    CHECK(ask("/book/1").head.status == 200);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: an evacuated zone gets no requests until it is restored")
{
    start(1);
    store.put("op/evacuate/a", "{}");
    wait([&] { return instances[0]->view().targets.evacuated_zones.contains("a"); });
    CHECK(ask("/book/1").head.status == 503);
    store.remove("op/evacuate/a");
    wait([&] { return instances[0]->view().targets.evacuated_zones.empty(); });
    CHECK(ask("/book/1").head.status == 200);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: a shutdown answers requests in flight and leaves the directory")
{
    start(2);
    wait([&] { return addresses(1) == 2; });
    targets.front().set_delay(std::chrono::milliseconds{500});
    auto call = caller_call{};
    send(call, "/book/1");
    wait([&] { return targets.front().running_requests() == 1; });
    instances[0]->begin_shutdown();
    CHECK(send_get(settings[0].readiness_address, "/cyclamenpost/readyz").head.status == 503);
    wait([&] { return call.ended(); });
    CHECK(call.head.status == 200);
    CHECK(has_token(call.head.fields, "Connection", "close"));
    wait([&] { return addresses(1) == 1; });
    wait([&] { return stopped_instances == 1; });
}

TEST_CASE_FIXTURE(
    small_fleet,
    "entry_instance: only a few instances of a large zone read the store, and all are updated")
{
    start(6);
    wait([&] { return addresses(5) == 6; });
    const auto reading = [&] {
        return std::count_if(instances.begin(), instances.end(),
                             [](const auto& instance) { return instance->reads_store(); });
    };
    wait([&] { return reading() == 3; });
    publish(9);
    for (std::size_t index = 0; index < instances.size(); ++index) {
        wait([&] { return version(index) == 9; });
    }
    CHECK(reading() == 3);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: a zone whose readers lag is updated from another zone")
{
    auto lagging = fakes::fake_store{loop};
    check([&] { return lagging.listen("127.0.0.1:0"); });
    publish_to(lagging, 1);
    add_instance("b");
    for (auto index = 0; index < 5; ++index) {
        add_instance("a", lagging.address());
    }
    wait_ready();
    for (std::size_t index = 0; index < instances.size(); ++index) {
        wait([&] { return addresses(index) == 5; });
    }
    wait([&] {
        return std::count_if(instances.begin(), instances.end(),
                             [](const auto& instance) { return instance->reads_store(); }) == 4;
    });
    publish(3);
    for (std::size_t index = 0; index < instances.size(); ++index) {
        wait([&] { return version(index) == 3; });
    }
}

TEST_CASE_FIXTURE(small_fleet, "entry_instance: a reload with changed seeds joins the fleet")
{
    start(1);
    // the only seed of the second instance is an address without a listener
    auto& isolated = settings.emplace_back(settings.front());
    isolated.front_address = free_address(loop);
    isolated.readiness_address = free_address(loop);
    isolated.directory_address = free_address(loop);
    isolated.peer_address = free_address(loop);
    isolated.seeds = {free_address(loop)};
    instances.push_back(std::make_unique<entry_instance>(loop, platform::make_codec(), isolated,
                                                         [this](int) { ++stopped_instances; }));
    instances.back()->start();
    wait_ready();
    CHECK(addresses(1) == 1);
    auto changed = settings.back();
    changed.seeds = {settings.front().peer_address};
    instances.back()->reload(changed);
    wait([&] { return addresses(1) == 2 && addresses(0) == 2; });
}

TEST_CASE_FIXTURE(
    small_fleet,
    "entry_instance: after a reload with another address of the store it is read there")
{
    start(1);
    auto moved = fakes::fake_store{loop};
    check([&] { return moved.listen("127.0.0.1:0"); });
    while (moved.revision() < store.revision()) {
        moved.put("other", "x");
    }
    auto changed = settings.front();
    changed.store_address = moved.address();
    store.set_mode(store_mode::silent);
    instances[0]->reload(changed);
    publish_to(moved, 7);
    wait([&] { return version(0) == 7; });
    CHECK(ask("/book/1").head.status == 200);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: requests that arrive during the first listing are served")
{
    publish(1);
    add_target("app-1", "app");
    store.set_mode(store_mode::silent);
    add_instance();
    wait([&] { return store.request_count() > 0; });
    auto call = caller_call{};
    send(call, "/book/1", 0, "key-1", "held");
    wait([&] { return call.exchange.sent(); });
    store.answer_late();
    wait([&] { return call.ended(); });
    CHECK(call.head.status == 200);
    CHECK(runs_of("held") == 1);
}

TEST_CASE_FIXTURE(small_fleet,
                  "entry_instance: requests are refused at once when the first listing fails")
{
    publish(1);
    store.set_mode(store_mode::busy);
    add_instance();
    wait([&] { return store.request_count() > 0; });
    wait([&] { return !instances[0]->view().first_listing_expected; });
    CHECK(ask("/book/1").head.status == 503);
}
