#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Why a request was refused or ended without a complete answer. The names on the wire are stable.
enum class refusal {
    request_invalid,
    unknown_service,
    unknown_model,
    too_large,
    not_ready,
    instance_leaving,
    zone_out,
    dependency_down,
    no_target,
    over_bound,
    target_cold,
    permit_expired,
    queue_full,
    queue_timeout,
    concurrency_limit,
    deadline_passed,
    cancelled,
    retry_budget_spent,
    crash_suspect,
    target_lost,
    answer_truncated,
    key_missing,
    key_malformed,
    key_not_issued,
    key_expired,
    wrong_owner,
    owner_ended,
    owner_unknown,
    body_differs,
    outcome_unknown,
    order_known,
    order_in_progress,
    order_not_remembered,
    record_table_full,
};

/// Fixed properties of a refusal reason. `name` is its name on the wire, `request_outcome` states
/// whether the request may have run, `status` is the HTTP status and `title` a short text for
/// people.
struct refusal_properties {
    refusal reason{};
    std::string_view name;
    outcome request_outcome = outcome::unknown;
    int status = 500;
    std::string_view title;
};

/// Properties of a refusal reason. The outcome is fixed for each reason, so that callers of this
/// function cannot report `not_run` for a reason that does not prove it.
auto properties_of(refusal reason) -> const refusal_properties&;

/// Refusal reason with the given name on the wire. Returns nothing for an unknown name.
auto refusal_from_name(std::string_view name) -> std::optional<refusal>;

/// Address of an instance to which a caller may send a request.
struct instance_address {
    /// HTTP address, "ip:port".
    std::string address;
    std::string zone;
    /// Instance id.
    std::string instance;
};

/// Answer recorded for an earlier call with the same order number.
struct earlier_answer {
    /// HTTP status.
    int status = 0;
    std::string body;
};

/// Problem details of a refused request (RFC 9457).
struct problem {
    refusal reason = refusal::request_invalid;
    outcome request_outcome = outcome::unknown;
    /// HTTP status.
    int status = 500;
    std::string detail;
    /// Milliseconds after which the caller may retry; 0 omits the member.
    std::int64_t retry_after_ms = 0;
    /// Other instances that the caller may ask.
    std::vector<instance_address> alternatives;
    std::optional<earlier_answer> earlier;
};

/// Media type of problem details.
inline constexpr std::string_view problem_content_type = "application/problem+json";

/// Creates the problem details of a refusal, with outcome and status from its properties.
auto make_problem(refusal reason, std::string detail, std::int64_t retry_after_ms = 0,
                  std::vector<instance_address> alternatives = {}) -> problem;

/// Creates the problem details of a refusal whose request may already have reached a target. The
/// outcome is `unknown` even if the reason alone would prove `not_run`.
auto make_problem_after_send(refusal reason, std::string detail) -> problem;

/// Formats problem details as JSON. Invalid UTF-8 is replaced by U+FFFD.
auto to_json(const problem& document) -> std::string;

/// Parses problem details, for example those of a peer. Returns nothing for malformed JSON and for
/// a missing or unknown reason or outcome.
auto parse_problem(std::string_view text) -> std::optional<problem>;

/// Value of the Retry-After header: seconds, rounded up; 0 for a negative time.
auto retry_after_seconds(std::int64_t retry_after_ms) -> std::int64_t;

} // namespace cyclamenpost
