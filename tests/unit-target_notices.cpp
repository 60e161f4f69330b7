#include "cyclamenpost/routing/attempts.hpp"
#include "cyclamenpost/routing/target_choice.hpp"
#include "entry_fixture.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::test;
using namespace std::chrono_literals;
using fakes::target_mode;

namespace {

constexpr auto start = time_point{100s};

auto entry(const std::string& id, std::int64_t started_ms = 1) -> published_target
{
    auto listed = published_target{};
    listed.id = id;
    listed.service = "app";
    listed.address = "10.0.0.1:1";
    listed.zone = "a";
    listed.capacity = 8;
    listed.started_ms = started_ms;
    return listed;
}

auto chosen(target_table& table, time_point now) -> std::string
{
    auto query = choice_query{};
    query.service = "app";
    const auto choice = choose_target(table, query, {}, now);
    return choice.chosen == nullptr ? std::string{name_in(no_target_reason_names, choice.reason)}
                                    : choice.chosen->published.id;
}

/// Two targets, of which the first is chosen while both are used.
struct two_targets {
    target_table table;

    two_targets()
    {
        table.settings.zone = "a";
        upsert_target(table, entry("t1"), start);
        upsert_target(table, entry("t2"), start);
        REQUIRE(chosen(table, start) == "t1");
    }
};

} // namespace

// Load pattern: targets are replaced one after the other while callers press.
TEST_CASE_FIXTURE(two_targets, "target_notices: a target that says that it is leaving gets nothing "
                               "new, whatever its entry says")
{
    record_leaving(table.targets.at("t1"), start);
    CHECK(chosen(table, start) == "t2");
    SUBCASE("its entry is published again")
    {
        upsert_target(table, entry("t1"), start + 1s);
    }
    SUBCASE("its entry goes, and a store that answers old lists it again")
    {
        remove_target(table, "t1", listing_state::removed, start + 1s);
        purge_removed_targets(table, start + 50s);
        upsert_target(table, entry("t1"), start + 50s);
    }
    SUBCASE("its entry may have lapsed")
    {
        remove_target(table, "t1", listing_state::lapsed, start + 1s);
    }
    SUBCASE("its zone is taken back")
    {
        set_zone_evacuated(table, "a", true, 0s, start);
        set_zone_evacuated(table, "a", false, 0s, start);
    }
    SUBCASE("it succeeds at what it still runs")
    {
        end_request(table, table.targets.at("t1"), target_outcome::succeeded, 0s, start);
    }
    for (auto after = duration{1s}; after < leaving_retention; after += duration{1s}) {
        CHECK(chosen(table, start + after) == "t2");
    }
}

TEST_CASE_FIXTURE(two_targets,
                  "target_notices: a new process under the id of one that left is used")
{
    record_leaving(table.targets.at("t1"), start);
    upsert_target(table, entry("t1", 2), start + 1s);
    CHECK(chosen(table, start + 1s) == "t1");
}

// Load pattern: a faulty release says in all answers that it is leaving, and stays.
TEST_CASE_FIXTURE(two_targets, "target_notices: a target that stays is used again after some time")
{
    record_leaving(table.targets.at("t1"), start);
    record_leaving(table.targets.at("t1"), start + 1min);
    CHECK(chosen(table, start + leaving_retention) == "t1");
    // its next answer says so once more
    record_leaving(table.targets.at("t1"), start + leaving_retention + 1s);
    CHECK(chosen(table, start + leaving_retention + 1s) == "t2");
}

// Load pattern: all targets of a service leave at once and the new ones are not there yet.
TEST_CASE_FIXTURE(two_targets,
                  "target_notices: a service whose targets all leave is served for half "
                  "of their drain time")
{
    record_leaving(table.targets.at("t1"), start);
    record_leaving(table.targets.at("t2"), start + 100ms);
    const auto half = table.settings.drain_time / 2;
    CHECK(chosen(table, start + half - 1ms) == "t1");
    CHECK(chosen(table, start + half) == "t2");
    CHECK(chosen(table, start + half + 100ms) == "service_empty");
    upsert_target(table, entry("t3"), start + half + 200ms);
    CHECK(chosen(table, start + half + 200ms) == "t3");
}

// Guards against requests for a target that has said in an answer that it is leaving.
TEST_CASE_FIXTURE(fleet_fixture, "target_notices: nothing follows an answer of a target that is "
                                 "leaving")
{
    auto& leaving = add_target("app-1", "app");
    auto& staying = add_target("app-2", "app");
    publish(1);
    add_instance();
    wait_ready();
    wait([&] { return instances[0]->view().targets.targets.size() == 2; });
    // the retry budget is set once the membership has settled
    wait([&] { return instances[0]->view().retries.min_per_second > 0; });
    REQUIRE(ask("/book/1").head.status == 200);
    REQUIRE(leaving.run_counts().size() == 1);
    leaving.set_leaving(true);
    auto runs = std::size_t{2};
    SUBCASE("a success")
    {
        CHECK(ask("/book/2").head.status == 200);
    }
    SUBCASE("a failure")
    {
        leaving.set_mode(target_mode::failing);
        CHECK(ask("/book/2").head.status == 500);
    }
    SUBCASE("a refusal")
    {
        leaving.set_mode(target_mode::full);
        CHECK(ask("/book/2").head.status == 200);
        runs = 1;
    }
    leaving.set_mode(target_mode::normal);
    const auto before = staying.run_counts().size();
    for (auto count = 0; count < 10; ++count) {
        CHECK(ask("/book/3").head.status == 200);
    }
    CHECK(leaving.run_counts().size() == runs);
    CHECK(staying.run_counts().size() == before + 10);
}

// Load pattern: a service at its limit turns requests away and asks for time to recover.
TEST_CASE_FIXTURE(two_targets,
                  "target_notices: a target that wants to rest gets nothing until then")
{
    auto& resting = table.targets.at("t1");
    record_rest(resting, 3s, start);
    // a shorter wish, and none, do not end the longer one
    record_rest(resting, 500ms, start + 100ms);
    record_rest(resting, 0s, start + 200ms);
    record_rest(resting, -1s, start + 200ms);
    CHECK(chosen(table, start + 3s - 1ms) == "t2");
    CHECK(chosen(table, start + 3s) == "t1");

    SUBCASE("a new start ends it")
    {
        record_rest(resting, 1h, start);
        upsert_target(table, entry("t1", 2), start + 1s);
        CHECK(chosen(table, start + 1s) == "t1");
    }
    SUBCASE("an endless wish is bounded")
    {
        record_rest(resting, 24h, start);
        CHECK(chosen(table, start + max_rest - 1ms) == "t2");
        CHECK(chosen(table, start + max_rest) == "t1");
    }
    SUBCASE("if all rest, the end of the first rest is known")
    {
        record_rest(resting, 5s, start);
        record_rest(table.targets.at("t2"), 4s, start);
        auto query = choice_query{};
        query.service = "app";
        const auto choice = choose_target(table, query, {}, start + 1s);
        CHECK(choice.chosen == nullptr);
        CHECK(choice.reason == no_target_reason::all_resting);
        CHECK(choice.first_rest_end == start + 4s);
    }
}

TEST_CASE("target_notices: refused callers come back after the rest, spread, and within their time")
{
    CHECK(retry_after_rest(400ms, 10s, 0) == 400ms);
    CHECK(retry_after_rest(400ms, 10s, 0.5) == 500ms);
    CHECK(retry_after_rest(1min, 3s, 0.9) <= 1s);
    CHECK(retry_after_rest(1min, 0s, 0.9) > 0s);
}

// Guards against requests for a target that has turned one away and wants to rest, and against
// waiting for targets that surely will not take the request in time.
TEST_CASE_FIXTURE(fleet_fixture,
                  "target_notices: requests go elsewhere while a target rests, and are "
                  "refused at once while all do")
{
    auto& first = add_target("app-1", "app");
    auto& second = add_target("app-2", "app");
    publish(1);
    add_instance();
    wait_ready();
    wait([&] { return instances[0]->view().targets.targets.size() == 2; });
    wait([&] { return instances[0]->view().retries.min_per_second > 0; });
    first.set_mode(target_mode::full);
    first.set_rest(1h);
    CHECK(ask("/book/1").head.status == 200);
    CHECK(second.run_counts().size() == 1);
    first.set_mode(target_mode::normal);
    for (auto count = 0; count < 10; ++count) {
        CHECK(ask("/book/1").head.status == 200);
    }
    CHECK(first.run_counts().empty());
    second.set_mode(target_mode::full);
    second.set_rest(1h);
    // the refusal of the second target itself
    CHECK(ask("/book/1").head.status == 503);
    second.set_mode(target_mode::normal);
    const auto ran = second.run_counts().size();
    const auto refused = ask("/book/1");
    CHECK(refused.head.status == 503);
    CHECK_FALSE(find_field(refused.head.fields, "X-Server-Seal"));
    const auto wait_s = std::stod(std::string{*find_field(refused.head.fields, "Retry-After")});
    // a third of the four seconds that the caller has
    CHECK(wait_s > 0);
    CHECK(wait_s < 4.0 / 3);
    CHECK(second.run_counts().size() == ran);
    CHECK(first.run_counts().empty());
}
