#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/relay/problem.hpp"

namespace cyclamenpost {

/// Parts of an idempotency key `<instance>.<incarnation hex>.<issue ms>.<nonce>`. Only the
/// instance may contain dots.
struct idempotency_key {
    std::string instance;
    incarnation_id incarnation = 0;
    std::int64_t issued_ms = 0;
    std::string nonce;
};

/// Longest accepted key in bytes.
inline constexpr std::size_t max_key_bytes = 256;

/// Parses a key. Returns nothing when a part is missing, empty or out of range.
auto parse_key(std::string_view text) -> std::optional<idempotency_key>;

/// Formats a key.
auto format_key(const idempotency_key& key) -> std::string;

/// Formats a key without its nonce, as lookup hands it out.
auto format_key_prefix(const idempotency_key& key) -> std::string;

/// State of a recorded call.
enum class record_state { in_progress, completed, unknown };

inline constexpr std::array record_state_names{
    enum_name<record_state>{record_state::in_progress, "in_progress"},
    enum_name<record_state>{record_state::completed, "completed"},
    enum_name<record_state>{record_state::unknown, "unknown"},
};

/// Answer of a target, as it is recorded and replayed.
struct recorded_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    /// False when the body exceeded a bound and only the status was kept.
    bool body_kept = true;
};

/// Record of one key. The answer is shared with the record of the call's order number.
struct call_record {
    std::uint64_t content_hash = 0;
    std::uint64_t order_number_hash = 0;
    std::int64_t expires_ms = 0;
    record_state state = record_state::in_progress;
    std::shared_ptr<const recorded_answer> answer;
};

/// What is remembered about an order number, here or at the peer that ran the call.
struct order_number_record {
    record_state state = record_state::in_progress;
    incarnation_id origin = 0;
    std::int64_t expires_ms = 0;
    std::shared_ptr<const recorded_answer> answer;
};

/// What peers are told about an order number.
struct order_number_update {
    std::uint64_t order_number_hash = 0;
    incarnation_id origin = 0;
    record_state state = record_state::in_progress;
    /// True when the call provably did not run, so the number may be used again.
    bool withdrawn = false;
    int status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true;
};

/// Bounds of the records.
struct idempotency_limits {
    std::size_t max_records = 100'000;
    std::size_t max_order_numbers = 100'000;
    /// Time from the issue of a key until it expires, in milliseconds.
    std::int64_t retention_ms = 3'600'000;
    /// Largest body kept in one record, in bytes.
    std::size_t max_body_bytes = 16'384;
    /// Bytes of all kept bodies together; beyond it only the status is kept.
    std::size_t max_total_body_bytes = 24U << 20U;
};

/// Records of one instance incarnation. Time is the wall clock at start plus monotonic time since,
/// so a stepped wall clock never makes a key valid again after its record was evicted.
struct idempotency_table {
    std::string instance;
    incarnation_id incarnation = 0;
    std::int64_t start_wall_ms = 0;
    time_point start;
    idempotency_limits limits;
    std::unordered_map<std::uint64_t, call_record> records;
    std::set<std::pair<std::int64_t, std::uint64_t>> record_expiry;
    std::unordered_map<std::uint64_t, order_number_record> order_numbers;
    std::set<std::pair<std::int64_t, std::uint64_t>> order_number_expiry;
    std::size_t stored_body_bytes = 0;
    std::uint64_t dropped_order_numbers = 0;
};

/// Starts an empty table for one incarnation. `wall_ms` and `now` are read at the same moment.
auto make_idempotency_table(std::string instance, incarnation_id incarnation, std::int64_t wall_ms,
                            time_point now, idempotency_limits limits = {}) -> idempotency_table;

/// The table's clock in milliseconds since the Unix epoch.
auto table_time_ms(const idempotency_table& table, time_point now) -> std::int64_t;

/// Prefix that lookup hands out: `<instance>.<incarnation hex>.<issue ms>`. A caller appends a dot
/// and a nonce of its own for each new call.
auto issue_key_prefix(const idempotency_table& table, time_point now) -> std::string;

/// Hash of everything that makes two calls the same: organisation, method, path with query, body.
auto content_hash(std::string_view organisation, std::string_view method, std::string_view path,
                  std::string_view body) -> std::uint64_t;

/// Hash of an order number within its organisation and service; never 0.
auto order_number_hash(std::string_view organisation, std::string_view service,
                       std::string_view order_number) -> std::uint64_t;

/// What membership knows about the instance incarnation that issued a key.
enum class owner_state { alive, ended, unknown };

/// The owner of a key as the member table sees it.
struct key_owner {
    owner_state state = owner_state::unknown;
    std::string address;
    std::string zone;
};

/// Incarnation of an instance as the member table knows it.
struct known_incarnation {
    incarnation_id incarnation = 0;
    /// Wall-clock milliseconds of its start, which orders the incarnations of one instance.
    std::int64_t start_ms = 0;
    bool alive = false;
};

/// State of the incarnation that issued a key. A key issued after the start of the incarnation
/// known here belongs to a newer one, which this member table has not heard of yet.
auto owner_state_of(std::string_view key, const std::optional<known_incarnation>& known)
    -> owner_state;

/// A call that may not be repeated.
struct call_request {
    /// Value of the Idempotency-Key header; empty when the caller sent none.
    std::string_view key;
    std::uint64_t content_hash = 0;
    /// 0 when the caller sent no Order-Number.
    std::uint64_t order_number_hash = 0;
    /// Value of Order-Number-Repeat.
    bool order_number_repeat = false;
    /// Used only when the key belongs to another instance or incarnation.
    key_owner owner;
};

/// What to do with a call.
enum class call_action { run, replay, wait, refuse };

inline constexpr std::array call_action_names{
    enum_name<call_action>{call_action::run, "run"},
    enum_name<call_action>{call_action::replay, "replay"},
    enum_name<call_action>{call_action::wait, "wait"},
    enum_name<call_action>{call_action::refuse, "refuse"},
};

/// Decision about a call.
struct call_decision {
    call_action action = call_action::refuse;
    /// Identifies the record in later calls; waiters are kept under it.
    std::uint64_t key_hash = 0;
    /// Set for replay.
    std::shared_ptr<const recorded_answer> answer;
    /// Set for refuse.
    std::optional<problem> document;
};

/// Instance and incarnation named by the key, for the look-up of its owner. Returns nothing for a
/// malformed key or one of this incarnation.
auto foreign_owner(const idempotency_table& table, std::string_view key)
    -> std::optional<std::pair<std::string, incarnation_id>>;

/// Decides about a call without recording it: `run` means that `begin_call` may run it. Asked
/// before any other ground for a refusal, so that a call that ran is never answered with "not run".
auto examine_call(const idempotency_table& table, const call_request& call, time_point now)
    -> call_decision;

/// Decides about a call and records it as in progress when it may run. A key is answered with
/// `run` at most once unless `withdraw_call` proves that the dispatch did not happen.
auto begin_call(idempotency_table& table, const call_request& call, time_point now)
    -> call_decision;

/// Records the answer of a call that ran. Returns what peers are told about its order number.
auto complete_call(idempotency_table& table, std::uint64_t key_hash, recorded_answer answer)
    -> std::optional<order_number_update>;

/// Records that a dispatched call ended without a whole answer, so its outcome is unknown.
auto mark_outcome_unknown(idempotency_table& table, std::uint64_t key_hash)
    -> std::optional<order_number_update>;

/// Forgets a call in progress that provably did not run, so its key may run again. Ignored in any
/// other state.
auto withdraw_call(idempotency_table& table, std::uint64_t key_hash)
    -> std::optional<order_number_update>;

/// What peers are told when a call with an order number begins.
auto order_number_update_of(const idempotency_table& table, std::uint64_t order_number_hash)
    -> std::optional<order_number_update>;

/// Remembers an order number that a peer ran. Returns whether anything changed.
auto merge_order_number(idempotency_table& table, const order_number_update& notice, time_point now)
    -> bool;

/// Marks order numbers in progress at an ended incarnation as unknown.
auto mark_origin_ended(idempotency_table& table, incarnation_id origin) -> void;

/// Evicts records whose key has expired, in-progress ones excepted. Also done by `begin_call`.
auto evict_expired(idempotency_table& table, time_point now) -> std::size_t;

/// Refusal for a call whose wait for the same key ended without an answer.
auto unknown_outcome_problem() -> problem;

} // namespace cyclamenpost
