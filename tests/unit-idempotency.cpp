#include <doctest/doctest.h>

#include <map>

#include "cyclamenpost/limits/idempotency.hpp"
#include "property.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t start_ms = 1'764'826'431'000;

auto at(duration since_start) -> time_point
{
    return time_point{1000s} + since_start;
}

auto new_table(idempotency_limits limits = {}, incarnation_id incarnation = 0x1f)
    -> idempotency_table
{
    return make_idempotency_table("i1", incarnation, start_ms, at(0s), limits);
}

auto key_at(const idempotency_table& table, duration since_start, std::string_view nonce = "n1")
    -> std::string
{
    return issue_key_prefix(table, at(since_start)) + "." + std::string(nonce);
}

auto call_with(std::string_view key, std::uint64_t content = 7) -> call_request
{
    auto call = call_request{};
    call.key = key;
    call.content_hash = content;
    return call;
}

auto reason_of(const call_decision& decision) -> refusal
{
    REQUIRE(decision.action == call_action::refuse);
    return decision.document->reason;
}

auto begin_with_order(idempotency_table& table, std::string_view nonce, duration when,
                      bool repeat = false, std::uint64_t order = 99) -> call_decision
{
    const auto key = key_at(table, when, nonce);
    auto call = call_with(key);
    call.order_number_hash = order;
    call.order_number_repeat = repeat;
    return begin_call(table, call, at(when));
}

} // namespace

TEST_CASE("a key is unchanged by parsing and formatting, and an instance name may contain dots")
{
    const auto key = parse_key("10.0.0.1.00000000000000ff.1764826431000.abc");
    REQUIRE(key);
    CHECK(key->instance == "10.0.0.1");
    CHECK(key->incarnation == 0xff);
    CHECK(key->issued_ms == 1'764'826'431'000);
    CHECK(format_key(*key) == "10.0.0.1.00000000000000ff.1764826431000.abc");
}

TEST_CASE("malformed keys are refused as not run")
{
    auto table = new_table();
    for (const auto* text : {"x", "i1.1f.5", "i1.zz.5.n", "i1.1f.-5.n", "i1.1f.5.", ".1f.5.n",
                             "i1.1f.5.a b", "i1.1f.99999999999999999999.n"}) {
        CAPTURE(text);
        const auto decision = begin_call(table, call_with(text), at(1s));
        CHECK(reason_of(decision) == refusal::key_malformed);
        CHECK(decision.document->request_outcome == outcome::not_run);
    }
    CHECK(reason_of(begin_call(table, call_with(""), at(1s))) == refusal::key_missing);
}

TEST_CASE("another spelling of a key does not run the call a second time")
{
    auto table = new_table();
    const auto key = key_at(table, 1s);
    CHECK(begin_call(table, call_with(key), at(1s)).action == call_action::run);
    CHECK(begin_call(table, call_with("i1.1F.1764826432000.n1"), at(1s)).action ==
          call_action::wait);
}

TEST_CASE("a repeated key waits, then replays the recorded answer, and another body is refused")
{
    auto table = new_table();
    const auto key = key_at(table, 1s);
    const auto first = begin_call(table, call_with(key), at(1s));
    REQUIRE(first.action == call_action::run);
    CHECK(begin_call(table, call_with(key), at(2s)).action == call_action::wait);
    CHECK(reason_of(begin_call(table, call_with(key, 8), at(2s))) == refusal::body_differs);
    complete_call(table, first.key_hash, {201, "application/json", "{\"run\":1}", true});
    const auto again = begin_call(table, call_with(key), at(3s));
    REQUIRE(again.action == call_action::replay);
    CHECK(again.answer->status == 201);
    CHECK(again.answer->body == "{\"run\":1}");
    CHECK(reason_of(begin_call(table, call_with(key, 8), at(3s))) == refusal::body_differs);
}

TEST_CASE(
    "a call whose target was lost stays unknown, and one proven not to have run may run again")
{
    auto table = new_table();
    const auto lost = key_at(table, 1s, "lost");
    mark_outcome_unknown(table, begin_call(table, call_with(lost), at(1s)).key_hash);
    CHECK(reason_of(begin_call(table, call_with(lost), at(2s))) == refusal::outcome_unknown);
    const auto unsent = key_at(table, 1s, "unsent");
    const auto hash = begin_call(table, call_with(unsent), at(1s)).key_hash;
    withdraw_call(table, hash);
    CHECK(begin_call(table, call_with(unsent), at(2s)).action == call_action::run);
    complete_call(table, hash, {200, "", "", true});
    withdraw_call(table, hash);
    CHECK(begin_call(table, call_with(unsent), at(3s)).action == call_action::replay);
}

TEST_CASE(
    "a key of another owner never runs here and its refusal states what is known of the owner")
{
    auto table = new_table();
    auto call = call_with("i2.2b.1764826431000.n");
    CHECK(foreign_owner(table, call.key)->first == "i2");
    CHECK(reason_of(begin_call(table, call, at(1s))) == refusal::owner_unknown);
    call.owner = {owner_state::alive, "127.0.0.1:8102", "b"};
    const auto alive = begin_call(table, call, at(1s));
    CHECK(reason_of(alive) == refusal::wrong_owner);
    CHECK(alive.document->alternatives.at(0).address == "127.0.0.1:8102");
    call.owner.state = owner_state::ended;
    const auto ended = begin_call(table, call, at(1s));
    CHECK(reason_of(ended) == refusal::owner_ended);
    CHECK(ended.document->request_outcome == outcome::unknown);
    auto former = call_with("i1.1e.1764826431000.n");
    former.owner.state = owner_state::ended;
    CHECK(reason_of(begin_call(table, former, at(1s))) == refusal::owner_ended);
}

TEST_CASE("an owner that is not in the member table yet is unknown, not ended")
{
    const auto* key = "i2.2b.5000.n";
    CHECK(owner_state_of(key, std::nullopt) == owner_state::unknown);
    CHECK(owner_state_of(key, known_incarnation{0x2b, 4000, true}) == owner_state::alive);
    CHECK(owner_state_of(key, known_incarnation{0x2b, 4000, false}) == owner_state::ended);
    CHECK(owner_state_of(key, known_incarnation{0x2c, 6000, true}) == owner_state::ended);
    CHECK(owner_state_of(key, known_incarnation{0x2a, 4000, true}) == owner_state::unknown);
}

TEST_CASE("examining a call records nothing and distinguishes a call that ran from a new one")
{
    auto table = new_table();
    const auto key = key_at(table, 1s);
    CHECK(examine_call(table, call_with(key), at(1s)).action == call_action::run);
    CHECK(table.records.empty());
    complete_call(table, begin_call(table, call_with(key), at(1s)).key_hash, {200, "", "", true});
    CHECK(examine_call(table, call_with(key), at(2s)).action == call_action::replay);
}

TEST_CASE("keys issued outside the instance's lifetime or past their retention never run")
{
    auto table = new_table();
    CHECK(reason_of(begin_call(table, call_with("i1.1f.1764826430999.n"), at(1s))) ==
          refusal::key_not_issued);
    CHECK(reason_of(begin_call(table, call_with(key_at(table, 2s)), at(1s))) ==
          refusal::key_not_issued);
    CHECK(begin_call(table, call_with(key_at(table, 1s)), at(1h)).action == call_action::run);
    CHECK(reason_of(begin_call(table, call_with(key_at(table, 0s)), at(1h))) ==
          refusal::key_expired);
}

TEST_CASE("a full table refuses new keys and evicts a record only after its key has expired")
{
    auto limits = idempotency_limits{};
    limits.max_records = 2;
    auto table = new_table(limits);
    const auto first = key_at(table, 1s, "a");
    complete_call(table, begin_call(table, call_with(first), at(1s)).key_hash, {200, "", "", true});
    begin_call(table, call_with(key_at(table, 2s, "b")), at(2s));
    const auto full = begin_call(table, call_with(key_at(table, 3s, "c")), at(3s));
    CHECK(reason_of(full) == refusal::record_table_full);
    CHECK(full.document->status == 503);
    CHECK(full.document->request_outcome == outcome::not_run);
    CHECK(begin_call(table, call_with(first), at(3s)).action == call_action::replay);
    // the completed record is evicted at its expiry, the one in progress stays
    CHECK(evict_expired(table, at(1h + 5s)) == 1);
    CHECK(table.records.size() == 1);
}

TEST_CASE(
    "bodies over the limits are dropped, their status is kept, and the byte count returns to zero")
{
    auto limits = idempotency_limits{};
    limits.max_body_bytes = 100;
    limits.max_total_body_bytes = 150;
    auto table = new_table(limits);
    for (const auto* nonce : {"a", "b"}) {
        const auto hash = begin_call(table, call_with(key_at(table, 1s, nonce)), at(1s)).key_hash;
        complete_call(table, hash, {200, "", std::string(100, 'x'), true});
    }
    CHECK(table.stored_body_bytes == 100);
    const auto second = begin_call(table, call_with(key_at(table, 1s, "b")), at(1s));
    CHECK(second.answer->status == 200);
    CHECK(!second.answer->body_kept);
    evict_expired(table, at(2h));
    CHECK(table.stored_body_bytes == 0);
    CHECK(table.records.empty());
    CHECK(table.record_expiry.empty());
}

TEST_CASE("a known order number never runs under a new key")
{
    auto table = new_table();
    const auto first = begin_with_order(table, "a", 1s);
    CHECK(reason_of(begin_with_order(table, "b", 1s)) == refusal::order_in_progress);
    const auto update = complete_call(table, first.key_hash, {201, "text/plain", "made", true});
    const auto known = begin_with_order(table, "c", 2s);
    CHECK(reason_of(known) == refusal::order_known);
    CHECK(known.document->status == 409);
    CHECK(known.document->earlier->status == 201);
    CHECK(known.document->earlier->body == "made");
    REQUIRE(update);
    auto peer = new_table({}, 0x2f);
    CHECK(merge_order_number(peer, *update, at(2s)));
    CHECK(!merge_order_number(peer, *update, at(2s)));
    CHECK(reason_of(begin_with_order(peer, "d", 3s)) == refusal::order_known);
}

TEST_CASE("an order number is remembered for the whole retention from its own use")
{
    auto table = new_table();
    auto late = call_with(key_at(table, 1s));
    const auto late_key = key_at(table, 1s);
    late.key = late_key;
    late.order_number_hash = 99;
    complete_call(table, begin_call(table, late, at(59min)).key_hash, {200, "", "", true});
    CHECK(reason_of(begin_with_order(table, "b", 118min)) == refusal::order_known);
}

TEST_CASE("an unknown order number runs unless the caller marks it as a repeat")
{
    auto table = new_table();
    const auto repeat = begin_with_order(table, "a", 1s, true);
    CHECK(reason_of(repeat) == refusal::order_not_remembered);
    CHECK(repeat.document->request_outcome == outcome::unknown);
    const auto first = begin_with_order(table, "b", 1s);
    CHECK(first.action == call_action::run);
    const auto withdrawn = withdraw_call(table, first.key_hash);
    REQUIRE(withdrawn);
    CHECK(withdrawn->withdrawn);
    CHECK(begin_with_order(table, "c", 1s).action == call_action::run);
}

TEST_CASE("a peer's order in progress becomes unknown when the peer ends, and stays refused")
{
    auto runner = new_table({}, 0x2f);
    begin_with_order(runner, "a", 1s);
    auto table = new_table();
    CHECK(merge_order_number(table, *order_number_update_of(runner, 99), at(1s)));
    mark_origin_ended(table, 0x2f);
    CHECK(reason_of(begin_with_order(table, "b", 2s)) == refusal::order_known);
    // a withdrawal that arrives after the peer's end must not allow the number again
    auto withdrawal = *order_number_update_of(runner, 99);
    withdrawal.withdrawn = true;
    CHECK(!merge_order_number(table, withdrawal, at(2s)));
    CHECK(reason_of(begin_with_order(table, "c", 2s)) == refusal::order_known);
}

namespace {

// dispatches of a key, less those proven not to have run
struct dispatch_model {
    std::map<std::string, int> by_key;
    std::map<std::string, int> status_by_key;
    std::map<std::uint64_t, std::string> key_by_hash;
};

struct random_run {
    idempotency_table table;
    duration since = 1s;
    std::vector<std::string> keys;
    dispatch_model model;
    int next_status = 200;
};

constexpr std::int64_t short_retention_ms = 5000;

auto restart(random_run& run) -> void
{
    auto limits = run.table.limits;
    run.table = make_idempotency_table("i1", run.table.incarnation + 1, start_ms + run.since / 1ms,
                                       at(run.since), limits);
    run.model.key_by_hash.clear();
}

auto begin(random_run& run, const std::string& key, std::uint64_t order) -> void
{
    auto call = call_with(key);
    call.order_number_hash = order;
    call.owner.state = owner_state::ended;
    const auto decision = begin_call(run.table, call, at(run.since));
    if (decision.action == call_action::replay) {
        RC_ASSERT(decision.answer->status == run.model.status_by_key[key]);
    }
    if (decision.action != call_action::run) {
        return;
    }
    RC_ASSERT(++run.model.by_key[key] <= 1);
    run.model.key_by_hash[decision.key_hash] = key;
}

auto end(random_run& run, int how) -> void
{
    if (run.model.key_by_hash.empty()) {
        return;
    }
    const auto [hash, key] = *run.model.key_by_hash.begin();
    run.model.key_by_hash.erase(hash);
    if (how == 0) {
        run.model.status_by_key[key] = ++run.next_status;
        complete_call(run.table, hash, {run.next_status, "", "", true});
    }
    else if (how == 1) {
        mark_outcome_unknown(run.table, hash);
    }
    else {
        withdraw_call(run.table, hash);
        --run.model.by_key[key];
    }
}

auto take_step(random_run& run) -> void
{
    const auto pick = *rc::gen::inRange(0, 12);
    if (pick == 0) {
        restart(run);
    }
    else if (pick == 1) {
        run.since += std::chrono::milliseconds{*rc::gen::inRange(1, 6000)};
    }
    else if (pick == 2) {
        evict_expired(run.table, at(run.since));
    }
    else if (pick <= 5) {
        end(run, *rc::gen::inRange(0, 3));
    }
    else if (pick == 6 || run.keys.empty()) {
        run.keys.push_back(key_at(run.table, run.since, std::to_string(run.keys.size())));
    }
    else {
        const auto index = *rc::gen::inRange<std::size_t>(0, run.keys.size());
        begin(run, run.keys[index], *rc::gen::inRange<std::uint64_t>(0, 4));
    }
}

} // namespace

TEST_CASE("any sequence of calls, results, restarts and evictions dispatches a key at most once")
{
    check_property(
        [] {
            auto limits = idempotency_limits{};
            limits.max_records = 6;
            limits.max_order_numbers = 4;
            limits.retention_ms = short_retention_ms;
            auto run = random_run{new_table(limits), 1s, {}, {}, 200};
            for (auto step = 0; step < 150; ++step) {
                take_step(run);
                RC_ASSERT(run.table.records.size() <= limits.max_records);
                RC_ASSERT(run.table.record_expiry.size() == run.table.records.size());
                RC_ASSERT(run.table.order_number_expiry.size() == run.table.order_numbers.size());
            }
        },
        400);
}

TEST_CASE("updates of an order number give the same record in any order of arrival")
{
    check_property(
        [] {
            auto runner = new_table({}, 0x2f);
            const auto first = begin_with_order(runner, "a", 1s);
            const auto begun = *order_number_update_of(runner, 99);
            const auto done = *complete_call(runner, first.key_hash, {201, "", "x", true});
            auto peer = new_table();
            const auto deliveries =
                *rc::gen::container<std::vector<bool>>(6, rc::gen::arbitrary<bool>());
            for (const auto late : deliveries) {
                merge_order_number(peer, late ? done : begun, at(2s));
            }
            merge_order_number(peer, done, at(2s));
            RC_ASSERT(peer.order_numbers.at(99).state == record_state::completed);
            RC_ASSERT(peer.order_numbers.at(99).answer->body == "x");
            RC_ASSERT(peer.stored_body_bytes == 1U);
        },
        200);
}
