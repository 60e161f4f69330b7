#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Why a request was refused or ended without a whole answer. Names are stable on the wire.
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

/// What a refusal always means: its name on the wire, whether the request can have run, the HTTP
/// status and a title for people.
struct refusal_meaning {
    refusal reason{};
    std::string_view name;
    outcome request_outcome = outcome::unknown;
    int status = 500;
    std::string_view title;
};

/// Meaning of a refusal. The outcome is fixed by the reason, so a caller of this module cannot
/// claim "not run" for a reason that does not prove it.
auto meaning_of(refusal reason) -> const refusal_meaning&;

/// Refusal with the given name on the wire, or nothing.
auto refusal_from_name(std::string_view name) -> std::optional<refusal>;

/// One address a caller may ask instead, "ip:port".
struct alternative {
    std::string address;
    std::string zone;
    std::string instance;
};

/// Answer recorded for an earlier call, quoted in a refusal for a known order number.
struct earlier_answer {
    int status = 0;
    std::string body;
};

/// A refusal document (RFC 9457).
struct problem {
    refusal reason = refusal::request_invalid;
    outcome request_outcome = outcome::unknown;
    int status = 500;
    std::string detail;
    /// Milliseconds after which a repeat is useful; 0 leaves the member out.
    std::int64_t retry_after_ms = 0;
    std::vector<alternative> alternatives;
    std::optional<earlier_answer> earlier;
};

/// Content type of the documents.
inline constexpr std::string_view problem_content_type = "application/problem+json";

/// Builds the document for a refusal, with outcome and status from its meaning.
auto make_problem(refusal reason, std::string detail, std::int64_t retry_after_ms = 0,
                  std::vector<alternative> alternatives = {}) -> problem;

/// Builds the document for a refusal whose request may already have reached a target: the outcome
/// becomes "unknown" even where the reason alone would prove "not run".
auto make_problem_after_send(refusal reason, std::string detail) -> problem;

/// Formats the document as JSON. Bytes that are not UTF-8 are replaced.
auto to_json(const problem& document) -> std::string;

/// Parses a document, for example one from a peer. Returns nothing for anything malformed.
auto parse_problem(std::string_view text) -> std::optional<problem>;

/// Value of the Retry-After header: whole seconds, rounded up.
auto retry_after_seconds(std::int64_t retry_after_ms) -> std::int64_t;

} // namespace cyclamenpost
