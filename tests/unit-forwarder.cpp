#include "cyclamenpost/core/build_info.hpp"
#include "entry_fixture.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::test;
using fakes::target_mode;

namespace {

/// One instance with two targets for each service.
struct one_instance : fleet_fixture {
    fakes::fake_target& app_1 = add_target("app-1", "app");
    fakes::fake_target& app_2 = add_target("app-2", "app");
    fakes::fake_target& engine_1 = add_target("engine-1", "engine");
    fakes::fake_target& engine_2 = add_target("engine-2", "engine");

    explicit one_instance(traffic_options chosen = {})
    {
        options = chosen;
        publish(1);
        add_instance();
        wait_ready();
        wait([&] { return instances[0]->view().targets.targets.size() == 4; });
        // the retry budget is set once the membership has settled
        wait([&] { return instances[0]->view().retries.min_per_second > 0; });
    }

    auto set_apps(target_mode mode) -> void
    {
        app_1.set_mode(mode);
        app_2.set_mode(mode);
    }

    auto set_engines(target_mode mode) -> void
    {
        engine_1.set_mode(mode);
        engine_2.set_mode(mode);
    }
};

/// The same with requests that wait in order and are told when to return.
struct admitting_instance : one_instance {
    admitting_instance() : one_instance(with_admission()) {}

    static auto with_admission() -> traffic_options
    {
        auto chosen = traffic_options{};
        chosen.admission = true;
        return chosen;
    }

    /// Sends a request, and returns when both targets have it and are about to reject it.
    auto send_to_full_apps(caller_call& call, const std::string& id) -> void
    {
        REQUIRE(ask("/book/1").head.status == 200);
        set_apps(target_mode::full);
        send(call, "/book/2", 0, "key-1", id);
        wait([&] {
            return find_field(app_1.last_request().fields, "X-Attempt-Id") == id &&
                   find_field(app_2.last_request().fields, "X-Attempt-Id") == id;
        });
    }

    auto waiting() -> bool
    {
        const auto text = send_get(settings[0].metrics_address, "/metrics").body;
        return text.find("cyclamenpost_admission_waiting 1\n") != std::string::npos;
    }
};

auto whole_stream() -> std::string
{
    auto text = std::string{};
    for (auto event = 1; event <= fakes::fake_target::events_per_stream; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
    }
    return text;
}

} // namespace

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: a request reaches its target with the platform's headers")
{
    const auto call = ask("/book/7", 0, "key-1", "b7");
    CHECK(call.head.status == 200);
    CHECK(call.body.ends_with("to order"));
    CHECK(find_field(call.head.fields, "X-Server-Seal").has_value());
    const auto& used = app_1.run_counts().empty() ? app_2 : app_1;
    const auto& sent = used.last_request();
    CHECK(*find_field(sent.fields, "X-Tenant") == "buyer");
    CHECK(*find_field(sent.fields, "X-Attempt-Id") == "b7");
    CHECK(*find_field(sent.fields, "X-Expect-Instance") == used.id());
    CHECK_FALSE(find_field(sent.fields, "X-Api-Key").has_value());
    const auto left = std::stoi(std::string{*find_field(sent.fields, "X-Deadline-Ms")});
    CHECK(left <= 4000);
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: requests with an unknown route or key are not forwarded")
{
    CHECK(ask("/nowhere/").head.status == 404);
    CHECK(ask("/book/1", 0, "wrong").head.status == 401);
    CHECK(app_1.run_counts().empty());
    CHECK(app_2.run_counts().empty());
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: a non-idempotent request whose answer is lost runs once and gets 502")
{
    set_apps(target_mode::answer_lost);
    const auto call = ask("/book/1", 0, "key-1", "b1");
    CHECK(call.head.status == 502);
    CHECK(runs_of("b1") == 1);
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: a non-idempotent request that a full target refused goes to another")
{
    const auto first = ask("/book/1");
    REQUIRE(first.head.status == 200);
    auto& full = app_1.run_counts().empty() ? app_2 : app_1;
    full.set_mode(target_mode::full);
    const auto call = ask("/book/2", 0, "key-1", "b2");
    CHECK(call.head.status == 200);
    CHECK(runs_of("b2") == 1);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: a non-idempotent request that no target runs gets 503")
{
    set_apps(target_mode::full);
    const auto call = ask("/book/1", 0, "key-1", "b1");
    CHECK(call.head.status == 503);
    CHECK(runs_of("b1") == 0);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: refusals are counted by what proves them")
{
    const auto refusals = [&](const std::string& kind, const std::string& proof) {
        const auto text = send_get(settings[0].metrics_address, "/metrics").body;
        CHECK(text.find("build=\"" + std::string{build_digest()} + "\"") != std::string::npos);
        return text.find("cyclamenpost_refusals_total{kind=\"" + kind + "\",proof=\"" + proof +
                         "\"} 1\n") != std::string::npos;
    };
    set_apps(target_mode::full);
    CHECK(ask("/book/1").head.status == 503);
    CHECK(refusals("non_idempotent", "disclaimed"));
    app_1.crash();
    app_2.crash();
    CHECK(ask("/book/2").head.status == 503);
    CHECK(refusals("non_idempotent", "unsent"));
    CHECK_FALSE(refusals("unrouted", "no_attempt"));
}

TEST_CASE_FIXTURE(
    one_instance,
    "forwarder: an idempotent request whose answer is lost is retried at another target")
{
    const auto first = ask("/read/1");
    REQUIRE(first.head.status == 200);
    auto& losing = app_1.run_counts().empty() ? app_2 : app_1;
    losing.set_mode(target_mode::answer_lost);
    CHECK(ask("/read/2").head.status == 200);
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: after a crash of a target new requests reach the other one")
{
    const auto first = ask("/book/1");
    REQUIRE(first.head.status == 200);
    auto& crashed = app_1.run_counts().empty() ? app_2 : app_1;
    crashed.crash();
    const auto call = ask("/book/2", 0, "key-1", "b2");
    // the pooled connection may have been closed before or after the request was sent on it
    CHECK((call.head.status == 200 || call.head.status == 502));
    CHECK(ask("/book/3").head.status == 200);
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: an answer without the target's seal does not reach the caller")
{
    set_apps(target_mode::no_receipt);
    CHECK(ask("/book/1").head.status == 502);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: an error answer of the target is passed on unchanged")
{
    set_apps(target_mode::failing);
    const auto call = ask("/book/1");
    CHECK(call.head.status == 500);
    CHECK(find_field(call.head.fields, "X-Server-Seal").has_value());
    CHECK(call.body == "failed");
}

TEST_CASE_FIXTURE(one_instance, "forwarder: a stream arrives completely")
{
    const auto call = ask("/quote/1");
    CHECK(call.head.status == 200);
    CHECK(call.complete);
    CHECK(call.body == whole_stream());
}

TEST_CASE_FIXTURE(
    one_instance,
    "forwarder: an interrupted stream is resumed at another target without gap or repetition")
{
    const auto first = ask("/quote/1");
    REQUIRE(first.complete);
    auto& cutting = engine_1.run_counts().empty() ? engine_2 : engine_1;
    cutting.set_mode(target_mode::cut_stream);
    const auto call = ask("/quote/2", 0, "key-1", "q2");
    CHECK(call.complete);
    CHECK(call.body == whole_stream());
    CHECK(*find_field(call.head.fields, "X-Server-Seal") == "seal-" + cutting.id());
    CHECK(runs_of("q2") == 2);
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: a stream that cannot be resumed is aborted, not ended normally")
{
    set_engines(target_mode::cut_stream);
    const auto call = ask("/quote/1");
    CHECK_FALSE(call.complete);
    CHECK(call.failed == exchange_failure::cut_short);
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: an idempotent request moves from a silent target to another")
{
    const auto first = ask("/read/1");
    REQUIRE(first.head.status == 200);
    auto& silent = app_1.run_counts().empty() ? app_2 : app_1;
    silent.set_mode(target_mode::mute);
    const auto call = ask("/read/2");
    CHECK(call.head.status == 200);
    CHECK(silent.running_requests() == 0);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: with early retries an idempotent request leaves a "
                                "silent target before its objective has passed")
{
    settings[0].options.early_retry = true;
    instances[0]->reload(settings[0]);
    // without recent answers the limit would be the one without early retries
    for (auto count = 0; count < 20; ++count) {
        REQUIRE(ask("/read/1").head.status == 200);
    }
    app_1.set_mode(target_mode::mute);
    app_2.set_mode(target_mode::mute);
    auto call = caller_call{};
    send(call, "/read/2", 0, "key-1", "left");
    wait([&] { return app_1.running_requests() + app_2.running_requests() == 1; });
    auto& silent = app_1.running_requests() == 1 ? app_1 : app_2;
    (&silent == &app_1 ? app_2 : app_1).set_mode(target_mode::normal);
    wait([&] { return call.ended(); });
    CHECK(call.head.status == 200);
    CHECK(runs_of("left") == 2);
    wait([&] { return silent.running_requests() == 0; });
    const auto metrics = send_get(settings[0].metrics_address, "/metrics").body;
    CHECK(metrics.find("cyclamenpost_early_retries_total{service=\"app\"} 1") != std::string::npos);
    CHECK(metrics.find("cyclamenpost_start_seconds{step=\"first_answer\"}") != std::string::npos);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: a non-idempotent request at a silent target gets 504")
{
    set_apps(target_mode::mute);
    CHECK(ask("/book/1").head.status == 504);
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: a request is cancelled at the target when the caller disconnects")
{
    set_engines(target_mode::mute);
    auto call = caller_call{};
    send(call, "/quote/1");
    wait([&] { return engine_1.running_requests() + engine_2.running_requests() == 1; });
    call.exchange.cancel();
    wait([&] { return engine_1.running_requests() + engine_2.running_requests() == 0; });
}

TEST_CASE_FIXTURE(
    one_instance,
    "forwarder: a target whose id differs from the expected one does not run the request")
{
    publish(2);
    store.remove(app_2.store_key());
    store.remove(app_1.store_key());
    auto entry = nlohmann::json::parse(app_1.store_entry());
    store.put("servers/app-9", entry.dump());
    wait([&] {
        const auto& known = instances[0]->view().targets.targets;
        return known.contains("app-9") && known.at("app-1").listing != listing_state::listed;
    });
    const auto call = ask("/book/1", 0, "key-1", "b1");
    CHECK(call.head.status == 421);
    CHECK(runs_of("b1") == 0);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: a stream that stalls is resumed at another target, "
                                "although the first goes on sending bytes")
{
    const auto first = ask("/quote/1");
    REQUIRE(first.complete);
    auto& stalling = engine_1.run_counts().empty() ? engine_2 : engine_1;
    stalling.set_mode(target_mode::stalling);
    stalling.set_delay(std::chrono::milliseconds{20});
    const auto call = ask("/quote/2", 0, "key-1", "q2");
    CHECK(call.complete);
    auto pieces = std::string{};
    for (auto rest = std::string_view{call.body}; !rest.empty();) {
        const auto end = rest.find("\n\n") + 2;
        pieces += rest.starts_with(':') ? std::string_view{} : rest.substr(0, end);
        rest.remove_prefix(end);
    }
    CHECK(pieces == whole_stream());
    CHECK(runs_of("q2") == 2);
    CHECK(stalling.running_requests() == 0);
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: a stream that cannot move elsewhere is not cut before its deadline")
{
    set_engines(target_mode::stalling);
    engine_1.set_delay(std::chrono::milliseconds{20});
    engine_2.set_delay(std::chrono::milliseconds{20});
    auto call = caller_call{};
    send(call, "/quote/1", 0, "key-1", "q1");
    wait([&] { return runs_of("q1") == 2; });
    CHECK_FALSE(call.ended());
    // both targets recover; the second one goes on with its stream
    set_engines(target_mode::normal);
    wait([&] { return call.ended(); });
    CHECK(call.complete);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: an event without end ends the attempt within its bound")
{
    set_engines(target_mode::endless);
    auto call = caller_call{};
    send(call, "/quote/1", 0, "key-1", "q1");
    auto others = 0;
    wait([&] {
        // other requests are served meanwhile
        if (others < 5) {
            ++others;
            CHECK(ask("/read/" + std::to_string(others)).head.status == 200);
        }
        return call.ended();
    });
    CHECK_FALSE(call.complete);
    CHECK(call.body.size() <= forwarder_settings{}.max_event_bytes);
    wait([&] { return engine_1.running_requests() + engine_2.running_requests() == 0; });
    CHECK(runs_of("q1") == 2);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: a plain answer without end is given up at its bound")
{
    set_apps(target_mode::endless);
    const auto call = ask("/book/1", 0, "key-1", "b1");
    CHECK(call.head.status == 502);
    CHECK(runs_of("b1") == 1);
    wait([&] { return app_1.running_requests() + app_2.running_requests() == 0; });
}

TEST_CASE_FIXTURE(one_instance,
                  "forwarder: an answer with a content encoding is not the target's own")
{
    set_apps(target_mode::encoded);
    CHECK(ask("/book/1").head.status == 502);
    set_engines(target_mode::encoded);
    const auto call = ask("/quote/1");
    CHECK((!call.complete || call.head.status == 502));
}

TEST_CASE_FIXTURE(one_instance, "forwarder: a target's 503 that does not say that the request has "
                                "not run does not reach the caller as a refusal")
{
    set_apps(target_mode::unproven_refusal);
    const auto call = ask("/book/1", 0, "key-1", "b1");
    CHECK(call.head.status == 502);
    CHECK(runs_of("b1") == 1);
}

TEST_CASE_FIXTURE(one_instance, "forwarder: a request whose answer was lost is not refused because "
                                "the next target has not run it")
{
    const auto first = ask("/read/1");
    REQUIRE(first.head.status == 200);
    auto& losing = app_1.run_counts().empty() ? app_2 : app_1;
    auto& full = app_1.run_counts().empty() ? app_1 : app_2;
    losing.set_mode(target_mode::answer_lost);
    full.set_mode(target_mode::full);
    const auto call = ask("/read/2", 0, "key-1", "r-lost");
    CHECK(call.head.status == (runs_of("r-lost") > 0 ? 502 : 503));
    CHECK(runs_of("r-lost") == 1);
}

TEST_CASE("forwarder: buffer limits follow the machine's memory and stay usable without a figure")
{
    constexpr auto megabyte = std::size_t{1} << 20U;
    const auto small = forwarder_settings_for(160 * megabyte);
    CHECK(small.max_buffered_bytes == 40 * megabyte);
    CHECK(small.max_answer_bytes == 10 * megabyte);
    CHECK(forwarder_settings_for(4096 * megabyte).max_answer_bytes == 16 * megabyte);
    CHECK(forwarder_settings_for(0).max_answer_bytes == 2 * megabyte);
    CHECK(max_request_body_bytes(240 * megabyte, 4 * megabyte) == 20 * megabyte);
    CHECK(max_request_body_bytes(0, 4 * megabyte) == 4 * megabyte);
    CHECK(forwarder_settings_for(0).max_event_bytes <= forwarder_settings_for(0).max_answer_bytes);
}

// Guards against a refusal while a target has room again within the objective.
TEST_CASE_FIXTURE(admitting_instance,
                  "forwarder: a request that all targets rejected runs once one has room")
{
    auto call = caller_call{};
    send_to_full_apps(call, "b2");
    set_apps(target_mode::normal);
    wait([&] { return call.ended(); });
    CHECK(call.head.status == 200);
    CHECK(runs_of("b2") == 1);
}

// Guards against a caller that is told to return after a share of its patience, or not told at all.
TEST_CASE_FIXTURE(admitting_instance,
                  "forwarder: a caller whose request targets rejected is told when to return")
{
    auto call = caller_call{};
    send_to_full_apps(call, "b2");
    wait([&] { return call.ended(); });
    CHECK(call.head.status == 503);
    CHECK(runs_of("b2") == 0);
    REQUIRE(find_field(call.head.fields, "Retry-After").has_value());
    const auto seconds = std::stod(std::string{*find_field(call.head.fields, "Retry-After")});
    CHECK(seconds >= 0.02);
    CHECK(seconds < 0.45);
}

// Guards against callers that have left and hold their places.
TEST_CASE_FIXTURE(admitting_instance,
                  "forwarder: a caller that leaves during a pause frees its place")
{
    auto call = caller_call{};
    send_to_full_apps(call, "b2");
    wait([&] { return waiting() || call.ended(); });
    call.exchange.cancel();
    wait([&] { return !waiting(); });
    CHECK(runs_of("b2") == 0);
}

// Guards against a request that waits on after a target has become usable, and against one that
// waits on when no answer within its objective is possible any more.
TEST_CASE_FIXTURE(admitting_instance,
                  "forwarder: waiting requests are sent to a target that appears, or rejected")
{
    REQUIRE(ask("/book/1").head.status == 200);
    const auto listed = [&] {
        return instances[0]->view().targets.targets.at("app-1").listing == listing_state::listed;
    };
    store.remove(app_2.store_key());
    store.remove(app_1.store_key());
    wait([&] { return !listed(); });
    auto first = caller_call{};
    auto second = caller_call{};
    send(first, "/book/2", 0, "key-1", "b2");
    send(second, "/book/3", 0, "key-1", "b3");
    wait([&] { return first.ended() && second.ended(); });
    CHECK(first.head.status == 503);
    CHECK(second.head.status == 503);
    const auto text = send_get(settings[0].metrics_address, "/metrics").body;
    CHECK(text.find("cyclamenpost_admission_rejections_total{rule=\"objective_missed\"} 2\n") !=
          std::string::npos);
    auto third = caller_call{};
    send(third, "/book/4", 0, "key-1", "b4");
    wait([&] { return third.exchange.sent(); });
    store.put(app_1.store_key(), app_1.store_entry());
    wait([&] { return third.ended(); });
    CHECK(third.head.status == 200);
    CHECK(runs_of("b2") + runs_of("b3") == 0);
    CHECK(runs_of("b4") == 1);
}

// Guards against a held caller that hears nothing when its time is over.
TEST_CASE_FIXTURE(fleet_fixture, "forwarder: a held request whose time is over is answered at once")
{
    options.admission = true;
    publish(1);
    add_target("app-1", "app");
    store.set_mode(fakes::store_mode::silent);
    add_instance();
    wait([&] { return store.request_count() > 0; });
    auto request = outgoing_request{};
    request.address = settings[0].front_address;
    request.fresh_connection = true;
    request.head.method = "POST";
    request.head.target = "/book/1";
    request.head.fields = {{"Host", "shop.example"},
                           {"X-Attempt-Id", "short"},
                           {"X-Deadline-Ms", "60"},
                           {"X-Api-Key", "key-1"}};
    auto hurried = caller_call{};
    begin(hurried, request);
    auto patient = caller_call{};
    send(patient, "/book/1", 0, "key-1", "patient");
    wait([&] { return hurried.ended(); });
    CHECK(hurried.head.status == 503);
    CHECK_FALSE(patient.ended());
    store.answer_late();
    wait([&] { return patient.ended(); });
    CHECK(patient.head.status == 200);
    CHECK(runs_of("short") == 0);
}
