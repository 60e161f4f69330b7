#include "cyclamenpost/limits/idempotency.hpp"

#include <charconv>
#include <string>
#include <utility>

namespace cyclamenpost {

namespace {

constexpr std::int64_t conflict_retry_after_ms = 1000;
constexpr std::int64_t full_table_retry_after_ms = 5000;

auto parse_ms(std::string_view text) -> std::optional<std::int64_t>
{
    auto value = std::int64_t{0};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < 0) {
        return std::nullopt;
    }
    return value;
}

// removes the last dot-separated part and returns it
auto remove_last_part(std::string_view& rest) -> std::string_view
{
    const auto dot = rest.rfind('.');
    if (dot == std::string_view::npos) {
        return {};
    }
    const auto part = rest.substr(dot + 1);
    rest.remove_suffix(rest.size() - dot);
    return part;
}

auto is_printable(std::string_view text) -> bool
{
    for (const auto character : text) {
        if (character <= ' ' || character > '~') {
            return false;
        }
    }
    return true;
}

auto refuse(problem document) -> call_decision
{
    auto decision = call_decision{};
    decision.action = call_action::refuse;
    decision.document = std::move(document);
    return decision;
}

auto refuse_missing_key() -> call_decision
{
    return refuse(make_problem(refusal::key_missing,
                               "Ask GET /v1/lookup for key_prefix, append a dot and a nonce of "
                               "your own, and send the result as Idempotency-Key"));
}

auto refuse_foreign_key(const idempotency_key& key, const key_owner& owner) -> call_decision
{
    if (owner.state == owner_state::ended) {
        return refuse(make_problem(refusal::owner_ended,
                                   "The records of " + key.instance +
                                       " ended with it; ask the application whether the call "
                                       "took effect"));
    }
    if (owner.state == owner_state::unknown) {
        return refuse(make_problem(refusal::owner_unknown,
                                   key.instance + " is not in the member table of this instance",
                                   conflict_retry_after_ms));
    }
    return refuse(make_problem(refusal::wrong_owner,
                               "Nothing ran here; send the same key to its owner, never a new one",
                               0, {{owner.address, owner.zone, key.instance}}));
}

auto refuse_full_table() -> call_decision
{
    return refuse(make_problem(refusal::record_table_full,
                               "The call was not started because it could not be recorded",
                               full_table_retry_after_ms));
}

// Drops a body that exceeds a limit. `references` is the number of records that will refer to it.
auto limit_answer(const idempotency_table& table, recorded_answer answer, std::size_t references)
    -> std::shared_ptr<const recorded_answer>
{
    const auto size = answer.body.size();
    const auto fits =
        size <= table.limits.max_body_bytes &&
        table.stored_body_bytes + size * references <= table.limits.max_total_body_bytes;
    if (!fits) {
        answer.body = std::string{};
        answer.body_kept = false;
    }
    // unused capacity of the string would not be counted against the limit
    answer.body.shrink_to_fit();
    return std::make_shared<const recorded_answer>(std::move(answer));
}

// The body is counted once for each record: replays in progress share it too, so the use count of
// the pointer does not show which record is the last.
template <typename Record>
auto attach_answer(idempotency_table& table, Record& record,
                   const std::shared_ptr<const recorded_answer>& answer) -> void
{
    record.answer = answer;
    table.stored_body_bytes += record.answer ? record.answer->body.size() : 0;
}

auto detach_answer(idempotency_table& table, const std::shared_ptr<const recorded_answer>& answer)
    -> void
{
    table.stored_body_bytes -= answer ? answer->body.size() : 0;
}

auto erase_order_number(idempotency_table& table, std::uint64_t hash) -> void
{
    const auto found = table.order_numbers.find(hash);
    if (found == table.order_numbers.end()) {
        return;
    }
    detach_answer(table, found->second.answer);
    table.order_number_expiry.erase({found->second.expires_ms, hash});
    table.order_numbers.erase(found);
}

auto erase_record(idempotency_table& table, std::uint64_t hash) -> void
{
    const auto found = table.records.find(hash);
    if (found == table.records.end()) {
        return;
    }
    detach_answer(table, found->second.answer);
    table.record_expiry.erase({found->second.expires_ms, hash});
    table.records.erase(found);
}

auto decide_known_key(const call_record& record, std::uint64_t key_hash, const call_request& call)
    -> call_decision
{
    if (record.content_hash != call.content_hash) {
        return refuse(make_problem(
            refusal::body_differs,
            "An earlier request with another content has this key; this content did not run"));
    }
    auto decision = call_decision{};
    decision.key_hash = key_hash;
    switch (record.state) {
    case record_state::in_progress:
        decision.action = call_action::wait;
        return decision;
    case record_state::completed:
        decision.action = call_action::replay;
        decision.answer = record.answer;
        return decision;
    case record_state::unknown:
        break;
    }
    return refuse(unknown_outcome_problem());
}

auto refuse_known_order_number(const order_number_record& known) -> call_decision
{
    if (known.state == record_state::in_progress) {
        return refuse(make_problem(refusal::order_in_progress, "The earlier call has not ended",
                                   conflict_retry_after_ms));
    }
    auto document = make_problem(refusal::order_known,
                                 "An earlier call with this order number ran; this one did not");
    if (known.state == record_state::unknown) {
        document.detail =
            "The outcome of an earlier call with this order number is not known; this one did "
            "not run";
        return refuse(std::move(document));
    }
    document.earlier = earlier_answer{known.answer->status, known.answer->body};
    return refuse(std::move(document));
}

// refusal because of the order number, or nothing when the number does not prevent the call
auto check_order_number(const idempotency_table& table, const call_request& call)
    -> std::optional<call_decision>
{
    if (call.order_number_hash == 0) {
        return std::nullopt;
    }
    const auto known = table.order_numbers.find(call.order_number_hash);
    if (known != table.order_numbers.end()) {
        return refuse_known_order_number(known->second);
    }
    if (call.order_number_repeat) {
        return refuse(make_problem(refusal::order_not_remembered,
                                   "Ask the application whether the earlier call took effect"));
    }
    return std::nullopt;
}

auto has_room(const idempotency_table& table, const call_request& call) -> bool
{
    const auto order_number_fits =
        call.order_number_hash == 0 || table.order_numbers.size() < table.limits.max_order_numbers;
    return table.records.size() < table.limits.max_records && order_number_fits;
}

auto record_call(idempotency_table& table, std::uint64_t key_hash, const call_request& call,
                 std::int64_t expires_ms, std::int64_t now_ms) -> void
{
    auto record = call_record{};
    record.content_hash = call.content_hash;
    record.order_number_hash = call.order_number_hash;
    record.expires_ms = expires_ms;
    table.records.emplace(key_hash, std::move(record));
    table.record_expiry.emplace(expires_ms, key_hash);
    if (call.order_number_hash == 0) {
        return;
    }
    auto order = order_number_record{};
    order.origin = table.incarnation;
    order.expires_ms = now_ms + table.limits.retention_ms;
    table.order_number_expiry.emplace(order.expires_ms, call.order_number_hash);
    table.order_numbers.emplace(call.order_number_hash, std::move(order));
}

auto finish_call(idempotency_table& table, std::uint64_t key_hash, record_state state,
                 const std::shared_ptr<const recorded_answer>& answer)
    -> std::optional<order_number_update>
{
    auto& record = table.records.find(key_hash)->second;
    record.state = state;
    attach_answer(table, record, answer);
    const auto order = table.order_numbers.find(record.order_number_hash);
    if (order == table.order_numbers.end()) {
        return std::nullopt;
    }
    order->second.state = state;
    attach_answer(table, order->second, answer);
    return order_number_update_of(table, record.order_number_hash);
}

auto in_progress(const idempotency_table& table, std::uint64_t key_hash) -> bool
{
    const auto found = table.records.find(key_hash);
    return found != table.records.end() && found->second.state == record_state::in_progress;
}

auto evict_records(idempotency_table& table, std::int64_t now_ms) -> std::size_t
{
    auto expired = std::vector<std::uint64_t>{};
    for (const auto& [expires, hash] : table.record_expiry) {
        if (expires > now_ms) {
            break;
        }
        if (!in_progress(table, hash)) {
            expired.push_back(hash);
        }
    }
    for (const auto hash : expired) {
        erase_record(table, hash);
    }
    return expired.size();
}

auto evict_order_numbers(idempotency_table& table, std::int64_t now_ms) -> void
{
    auto expired = std::vector<std::uint64_t>{};
    for (const auto& [expires, hash] : table.order_number_expiry) {
        if (expires > now_ms) {
            break;
        }
        const auto& order = table.order_numbers.at(hash);
        if (order.origin != table.incarnation || order.state != record_state::in_progress) {
            expired.push_back(hash);
        }
    }
    for (const auto hash : expired) {
        erase_order_number(table, hash);
    }
}

auto make_withdrawal(std::uint64_t hash, incarnation_id origin) -> order_number_update
{
    auto update = order_number_update{};
    update.order_number_hash = hash;
    update.origin = origin;
    update.withdrawn = true;
    return update;
}

auto answer_in(const order_number_update& update) -> recorded_answer
{
    return {update.status, update.content_type, update.body, update.body_kept};
}

// Rank of a state by certainty. An update replaces a state only by one of higher certainty, so that
// a completed outcome is never lost.
auto certainty(record_state state) -> int
{
    switch (state) {
    case record_state::in_progress:
        return 0;
    case record_state::unknown:
        return 1;
    case record_state::completed:
        return 2;
    }
    return 0;
}

auto withdraw_order_number(idempotency_table& table, const order_number_update& update) -> bool
{
    const auto found = table.order_numbers.find(update.order_number_hash);
    const auto matches = found != table.order_numbers.end() &&
                         found->second.origin == update.origin &&
                         found->second.state == record_state::in_progress;
    if (matches) {
        erase_order_number(table, update.order_number_hash);
    }
    return matches;
}

auto add_peer_order_number(idempotency_table& table, const order_number_update& update,
                           time_point now) -> bool
{
    if (table.order_numbers.size() >= table.limits.max_order_numbers) {
        ++table.dropped_order_numbers;
        return false;
    }
    auto order = order_number_record{};
    order.state = update.state;
    order.origin = update.origin;
    order.expires_ms = table_time_ms(table, now) + table.limits.retention_ms;
    if (update.state == record_state::completed) {
        attach_answer(table, order, limit_answer(table, answer_in(update), 1));
    }
    table.order_number_expiry.emplace(order.expires_ms, update.order_number_hash);
    table.order_numbers.emplace(update.order_number_hash, std::move(order));
    return true;
}

} // namespace

auto parse_key(std::string_view text) -> std::optional<idempotency_key>
{
    if (text.size() > max_key_bytes || !is_printable(text)) {
        return std::nullopt;
    }
    auto rest = text;
    const auto nonce = remove_last_part(rest);
    const auto issued = parse_ms(remove_last_part(rest));
    const auto incarnation = from_hex(remove_last_part(rest));
    if (nonce.empty() || !issued || !incarnation || rest.empty()) {
        return std::nullopt;
    }
    return idempotency_key{std::string(rest), *incarnation, *issued, std::string(nonce)};
}

auto format_key(const idempotency_key& key) -> std::string
{
    return format_key_prefix(key) + "." + key.nonce;
}

auto make_idempotency_table(std::string instance, incarnation_id incarnation, std::int64_t wall_ms,
                            time_point now, idempotency_limits limits) -> idempotency_table
{
    auto table = idempotency_table{};
    table.instance = std::move(instance);
    table.incarnation = incarnation;
    table.start_wall_ms = wall_ms;
    table.start = now;
    table.limits = limits;
    return table;
}

auto table_time_ms(const idempotency_table& table, time_point now) -> std::int64_t
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - table.start);
    return table.start_wall_ms + since.count();
}

auto format_key_prefix(const idempotency_key& key) -> std::string
{
    return key.instance + "." + to_hex(key.incarnation) + "." + std::to_string(key.issued_ms);
}

auto issue_key_prefix(const idempotency_table& table, time_point now) -> std::string
{
    return format_key_prefix({table.instance, table.incarnation, table_time_ms(table, now), {}});
}

auto content_hash(std::string_view organisation, std::string_view method, std::string_view path,
                  std::string_view body) -> std::uint64_t
{
    auto hash = hash64(organisation);
    hash = hash64(method, hash);
    hash = hash64(path, hash);
    return hash64(body, hash);
}

auto order_number_hash(std::string_view organisation, std::string_view service,
                       std::string_view order_number) -> std::uint64_t
{
    const auto hash = hash64(order_number, hash64(service, hash64(organisation)));
    return hash == 0 ? 1 : hash;
}

auto foreign_owner(const idempotency_table& table, std::string_view key)
    -> std::optional<std::pair<std::string, incarnation_id>>
{
    const auto parsed = parse_key(key);
    if (!parsed) {
        return std::nullopt;
    }
    if (parsed->instance == table.instance && parsed->incarnation == table.incarnation) {
        return std::nullopt;
    }
    return std::pair{parsed->instance, parsed->incarnation};
}

auto owner_state_of(std::string_view key, const std::optional<known_incarnation>& known)
    -> owner_state
{
    const auto parsed = parse_key(key);
    if (!parsed || !known) {
        return owner_state::unknown;
    }
    if (parsed->incarnation == known->incarnation) {
        return known->alive ? owner_state::alive : owner_state::ended;
    }
    return parsed->issued_ms < known->start_ms ? owner_state::ended : owner_state::unknown;
}

auto examine_call(const idempotency_table& table, const call_request& call, time_point now)
    -> call_decision
{
    if (call.key.empty()) {
        return refuse_missing_key();
    }
    const auto key = parse_key(call.key);
    if (!key) {
        return refuse(make_problem(refusal::key_malformed,
                                   "Expected <key_prefix from lookup>.<nonce without dots>"));
    }
    if (key->instance != table.instance || key->incarnation != table.incarnation) {
        return refuse_foreign_key(*key, call.owner);
    }
    const auto now_ms = table_time_ms(table, now);
    if (key->issued_ms > now_ms || key->issued_ms < table.start_wall_ms) {
        return refuse(make_problem(refusal::key_not_issued,
                                   "The issue time lies outside the life of this instance"));
    }
    if (key->issued_ms + table.limits.retention_ms <= now_ms) {
        return refuse(make_problem(refusal::key_expired,
                                   "Its record is no longer kept; ask the application whether "
                                   "the call took effect"));
    }
    const auto key_hash = hash64(format_key(*key));
    const auto known = table.records.find(key_hash);
    if (known != table.records.end()) {
        return decide_known_key(known->second, key_hash, call);
    }
    if (auto refused = check_order_number(table, call)) {
        return std::move(*refused);
    }
    auto decision = call_decision{};
    decision.action = call_action::run;
    decision.key_hash = key_hash;
    return decision;
}

auto begin_call(idempotency_table& table, const call_request& call, time_point now) -> call_decision
{
    evict_expired(table, now);
    auto decision = examine_call(table, call, now);
    if (decision.action != call_action::run) {
        return decision;
    }
    if (!has_room(table, call)) {
        return refuse_full_table();
    }
    const auto now_ms = table_time_ms(table, now);
    const auto expires_ms = parse_key(call.key)->issued_ms + table.limits.retention_ms;
    record_call(table, decision.key_hash, call, expires_ms, now_ms);
    return decision;
}

auto complete_call(idempotency_table& table, std::uint64_t key_hash, recorded_answer answer)
    -> std::optional<order_number_update>
{
    if (!in_progress(table, key_hash)) {
        return std::nullopt;
    }
    const auto references =
        std::size_t{table.records.at(key_hash).order_number_hash == 0 ? 1U : 2U};
    const auto kept = limit_answer(table, std::move(answer), references);
    return finish_call(table, key_hash, record_state::completed, kept);
}

auto mark_outcome_unknown(idempotency_table& table, std::uint64_t key_hash)
    -> std::optional<order_number_update>
{
    if (!in_progress(table, key_hash)) {
        return std::nullopt;
    }
    return finish_call(table, key_hash, record_state::unknown, nullptr);
}

auto withdraw_call(idempotency_table& table, std::uint64_t key_hash)
    -> std::optional<order_number_update>
{
    if (!in_progress(table, key_hash)) {
        return std::nullopt;
    }
    const auto hash = table.records.find(key_hash)->second.order_number_hash;
    erase_record(table, key_hash);
    if (hash == 0) {
        return std::nullopt;
    }
    erase_order_number(table, hash);
    return make_withdrawal(hash, table.incarnation);
}

auto order_number_update_of(const idempotency_table& table, std::uint64_t order_number_hash)
    -> std::optional<order_number_update>
{
    const auto found = table.order_numbers.find(order_number_hash);
    if (found == table.order_numbers.end()) {
        return std::nullopt;
    }
    auto update = order_number_update{};
    update.order_number_hash = order_number_hash;
    update.origin = found->second.origin;
    update.state = found->second.state;
    if (const auto& answer = found->second.answer) {
        update.status = answer->status;
        update.content_type = answer->content_type;
        update.body = answer->body;
        update.body_kept = answer->body_kept;
    }
    return update;
}

auto merge_order_number(idempotency_table& table, const order_number_update& update, time_point now)
    -> bool
{
    if (update.withdrawn) {
        return withdraw_order_number(table, update);
    }
    evict_expired(table, now);
    const auto found = table.order_numbers.find(update.order_number_hash);
    if (found == table.order_numbers.end()) {
        return add_peer_order_number(table, update, now);
    }
    // peers do not change records of calls that this incarnation ran
    if (found->second.origin == table.incarnation ||
        certainty(update.state) <= certainty(found->second.state)) {
        return false;
    }
    found->second.state = update.state;
    found->second.origin = update.origin;
    if (update.state == record_state::completed) {
        attach_answer(table, found->second, limit_answer(table, answer_in(update), 1));
    }
    return true;
}

auto mark_origin_ended(idempotency_table& table, incarnation_id origin) -> void
{
    for (auto& [hash, order] : table.order_numbers) {
        if (order.origin == origin && order.state == record_state::in_progress) {
            order.state = record_state::unknown;
        }
    }
}

auto evict_expired(idempotency_table& table, time_point now) -> std::size_t
{
    const auto now_ms = table_time_ms(table, now);
    evict_order_numbers(table, now_ms);
    return evict_records(table, now_ms);
}

auto unknown_outcome_problem() -> problem
{
    return make_problem(refusal::outcome_unknown,
                        "The call was handed to the application, which did not answer it whole; "
                        "ask the application whether it took effect");
}

} // namespace cyclamenpost
