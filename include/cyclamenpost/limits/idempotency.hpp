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

/// Length of the longest accepted key in bytes.
inline constexpr std::size_t max_key_bytes = 256;

/// Parses a key. Returns nothing when a part is missing, empty or out of range.
auto parse_key(std::string_view text) -> std::optional<idempotency_key>;

/// Formats a key as it is sent in the Idempotency-Key header.
auto format_key(const idempotency_key& key) -> std::string;

/// Formats a key without its nonce, as lookup returns it.
auto format_key_prefix(const idempotency_key& key) -> std::string;

/// State of a recorded call.
enum class record_state { in_progress, completed, unknown };

inline constexpr std::array record_state_names{
    enum_name<record_state>{record_state::in_progress, "in_progress"},
    enum_name<record_state>{record_state::completed, "completed"},
    enum_name<record_state>{record_state::unknown, "unknown"},
};

/// Answer of a target, recorded for replay.
struct recorded_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    /// False when the body exceeded a limit and was not stored.
    bool body_kept = true;
};

/// Record of one idempotency key. The answer is shared with the record of the call's order number.
struct call_record {
    std::uint64_t content_hash = 0;
    /// 0 when the call had no order number.
    std::uint64_t order_number_hash = 0;
    std::int64_t expires_ms = 0;
    record_state state = record_state::in_progress;
    std::shared_ptr<const recorded_answer> answer;
};

/// Record of an order number whose call was run by this instance or by a peer.
struct order_number_record {
    record_state state = record_state::in_progress;
    /// Incarnation of the instance that ran the call.
    incarnation_id origin = 0;
    std::int64_t expires_ms = 0;
    std::shared_ptr<const recorded_answer> answer;
};

/// Update about an order number that an instance sends to its peers.
struct order_number_update {
    std::uint64_t order_number_hash = 0;
    incarnation_id origin = 0;
    record_state state = record_state::in_progress;
    /// True when the call is proven not to have run, so that the number may be used again.
    bool withdrawn = false;
    int status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true;
};

/// Limits of the records.
struct idempotency_limits {
    /// Largest number of idempotency keys.
    std::size_t max_records = 100'000;
    /// Largest number of order numbers.
    std::size_t max_order_numbers = 100'000;
    /// Time from the issue of a key until it expires, in milliseconds. Order numbers are kept this
    /// long from their use.
    std::int64_t retention_ms = 3'600'000;
    /// Size of the largest body that is stored in a record, in bytes.
    std::size_t max_body_bytes = 16'384;
    /// Bytes of all stored bodies together. Beyond it, answers are stored without their body.
    std::size_t max_total_body_bytes = 24U << 20U;
};

/// Idempotency records of one instance incarnation. Its clock is the wall clock at the start plus
/// the monotonic time since, so that a step of the wall clock cannot make a key valid again after
/// its record was evicted.
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
    /// Bytes of stored bodies. A body counts once for each record that refers to it.
    std::size_t stored_body_bytes = 0;
    /// Updates from peers that were not recorded because the table was full.
    std::uint64_t dropped_order_numbers = 0;
};

/// Creates an empty table for one incarnation. `wall_ms` and `now` are read at the same moment.
auto make_idempotency_table(std::string instance, incarnation_id incarnation, std::int64_t wall_ms,
                            time_point now, idempotency_limits limits = {}) -> idempotency_table;

/// Time of the table's clock in milliseconds since the Unix epoch.
auto table_time_ms(const idempotency_table& table, time_point now) -> std::int64_t;

/// Key prefix that lookup returns: `<instance>.<incarnation hex>.<issue ms>`. A caller appends a
/// dot and a nonce of its own for each new call.
auto issue_key_prefix(const idempotency_table& table, time_point now) -> std::string;

/// Hash of a call's content. Two calls have the same content when their organisation, method, path
/// with query, and body are equal.
auto content_hash(std::string_view organisation, std::string_view method, std::string_view path,
                  std::string_view body) -> std::uint64_t;

/// Hash of an order number within its organisation and service; never 0.
auto order_number_hash(std::string_view organisation, std::string_view service,
                       std::string_view order_number) -> std::uint64_t;

/// State of the instance incarnation that issued a key, according to the member table.
enum class owner_state { alive, ended, unknown };

/// Instance that issued a key, according to the member table.
struct key_owner {
    owner_state state = owner_state::unknown;
    /// HTTP address, "ip:port".
    std::string address;
    std::string zone;
};

/// Incarnation of an instance in the member table.
struct known_incarnation {
    incarnation_id incarnation = 0;
    /// Wall-clock milliseconds of its start, which orders the incarnations of one instance.
    std::int64_t start_ms = 0;
    bool alive = false;
};

/// State of the incarnation that issued a key. A key of another incarnation that was issued after
/// the start of the known one belongs to a newer incarnation, which is unknown to this member table
/// so far.
auto owner_state_of(std::string_view key, const std::optional<known_incarnation>& known)
    -> owner_state;

/// A call that must not run more than once.
struct call_request {
    /// Value of the Idempotency-Key header; empty when the caller sent none.
    std::string_view key;
    std::uint64_t content_hash = 0;
    /// 0 when the caller sent no Order-Number.
    std::uint64_t order_number_hash = 0;
    /// Value of Order-Number-Repeat.
    bool order_number_repeat = false;
    /// Used only when the key was issued by another instance or incarnation.
    key_owner owner;
};

/// What to do with a call. With `wait`, a call with the same key is in progress.
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
    /// Identifies the record for later functions and for calls that wait for the same key.
    std::uint64_t key_hash = 0;
    /// Set for `replay`.
    std::shared_ptr<const recorded_answer> answer;
    /// Problem details of the answer to the caller. Set for `refuse`.
    std::optional<problem> document;
};

/// Instance and incarnation that issued the key, to look them up in the member table. Returns
/// nothing for a malformed key or one of this incarnation.
auto foreign_owner(const idempotency_table& table, std::string_view key)
    -> std::optional<std::pair<std::string, incarnation_id>>;

/// Decides about a call without recording it: `run` means that `begin_call` may allow it. Called
/// before any other check that can refuse, so that a call that ran is never answered with "not
/// run".
auto examine_call(const idempotency_table& table, const call_request& call, time_point now)
    -> call_decision;

/// Decides about a call and records it as in progress when it may run. Returns `run` at most once
/// for a key, unless `withdraw_call` states that the call was not dispatched.
auto begin_call(idempotency_table& table, const call_request& call, time_point now)
    -> call_decision;

/// Records the answer of a call that ran. Returns the update for peers when the call has an order
/// number.
auto complete_call(idempotency_table& table, std::uint64_t key_hash, recorded_answer answer)
    -> std::optional<order_number_update>;

/// Records that a dispatched call ended without a complete answer, so that its outcome is unknown.
/// Returns the update for peers when the call has an order number.
auto mark_outcome_unknown(idempotency_table& table, std::uint64_t key_hash)
    -> std::optional<order_number_update>;

/// Removes the record of a call in progress that is proven not to have run, so that its key may run
/// again. Ignored in any other state. Returns the update for peers when the call has an order
/// number.
auto withdraw_call(idempotency_table& table, std::uint64_t key_hash)
    -> std::optional<order_number_update>;

/// Update for peers with the state of an order number, sent when its call begins. Returns nothing
/// for an unknown number.
auto order_number_update_of(const idempotency_table& table, std::uint64_t order_number_hash)
    -> std::optional<order_number_update>;

/// Applies an update from a peer. Returns whether it changed the table.
auto merge_order_number(idempotency_table& table, const order_number_update& update, time_point now)
    -> bool;

/// Marks the outcome of order numbers in progress at an ended incarnation as unknown.
auto mark_origin_ended(idempotency_table& table, incarnation_id origin) -> void;

/// Evicts expired records except those in progress. Also done by `begin_call`. Returns the number
/// of evicted keys.
auto evict_expired(idempotency_table& table, time_point now) -> std::size_t;

/// Problem details for a call whose outcome is unknown, such as one that waited for a call with the
/// same key that ended without an answer.
auto unknown_outcome_problem() -> problem;

} // namespace cyclamenpost
