#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Rule of the retry budget of one instance.
struct retry_settings {
    /// Retries allowed per first attempt of the last 10 s.
    double ratio = 0.1;
    /// Retries allowed per second regardless of traffic, so that an instance with few requests can
    /// retry.
    double min_per_second = 1.0;
};

/// Rule of the retry budget of a whole fleet.
struct fleet_retry_rule {
    /// Retries allowed per request over all instances.
    double ratio = 0;
    /// Retries allowed in the window regardless of traffic, over all instances.
    double slack = 0;
};

/// Part of the fleet's retry budget that one of `instances` may spend without asking the others.
/// Seven tenths are divided; the rest covers instances that do not know all members yet.
auto divide_retry_budget(const fleet_retry_rule& rule, std::size_t instances) -> retry_settings;

/// First attempts and retries of the last 10 s, in buckets of one second.
struct retry_budget {
    static constexpr std::size_t window_seconds = 10;
    struct bucket {
        std::int64_t second = -1;
        std::uint32_t first_attempts = 0;
        std::uint32_t retries = 0;
    };
    retry_settings settings;
    /// One bucket more than the window, so that retries are counted over at least 10 s.
    std::array<bucket, window_seconds + 1> buckets{};
};

/// Counts a first attempt.
auto count_first_attempt(retry_budget& budget, time_point now) -> void;

/// Counts one retry or hedge against the budget. Returns false when the budget is spent.
auto spend_retry(retry_budget& budget, time_point now) -> bool;

/// Retries that the budget allows in all for the requests of the last 10 s.
auto retries_allowed(const retry_budget& budget, time_point now) -> std::uint32_t;

/// Retries that the budget still allows.
auto retries_left(const retry_budget& budget, time_point now) -> std::uint32_t;

/// State of an attempt that may be hedged.
struct hedge_input {
    bool repeatable = false;
    bool hedged_already = false;
    /// True once any part of the answer was sent to the caller.
    bool answer_started = false;
    time_point sent_at;
    /// 95th percentile of the time to the first byte.
    duration p95{};
    /// Number of observations that the percentile is computed from.
    std::size_t observations = 0;
    std::optional<time_point> deadline;
};

/// Time at which a second attempt is started. Returns nothing for an attempt that is not hedged.
auto hedge_time(const hedge_input& attempt) -> std::optional<time_point>;

/// Deadline from the X-Request-Deadline-Ms header. Returns nothing for an absent or malformed
/// value. 0 and negative values are a deadline that has passed.
auto deadline_from_header(std::string_view value, time_point now) -> std::optional<time_point>;

/// Value of X-Request-Deadline-Ms for the next hop: the remaining milliseconds, rounded down, at
/// least 0.
auto deadline_header(time_point deadline, time_point now) -> std::string;

/// Whether an attempt that takes `expected` can answer before the deadline. True without a
/// deadline.
auto deadline_allows(std::optional<time_point> deadline, time_point now, duration expected) -> bool;

/// Delay before a retry: exponential backoff by attempt number with full jitter. `random` is in
/// [0, 1).
auto retry_delay(std::uint32_t attempt, double random) -> duration;

/// A failed attempt for which a retry is considered.
struct retry_input {
    bool repeatable = false;
    /// True once bytes of the attempt were written to a connected socket.
    bool sent = false;
    bool answer_started = false;
    /// Attempts so far, the failed one included.
    std::uint32_t attempts = 1;
    std::optional<time_point> deadline;
    /// Time that another attempt is expected to take.
    duration expected{};
};

/// Whether a failed attempt is retried, or the reason why not.
enum class retry_decision {
    retry,
    not_repeatable,
    answer_started,
    attempts_used,
    deadline_passed,
    budget_spent
};

inline constexpr std::array retry_decision_names{
    enum_name<retry_decision>{retry_decision::retry, "retry"},
    enum_name<retry_decision>{retry_decision::not_repeatable, "not_repeatable"},
    enum_name<retry_decision>{retry_decision::answer_started, "answer_started"},
    enum_name<retry_decision>{retry_decision::attempts_used, "attempts_used"},
    enum_name<retry_decision>{retry_decision::deadline_passed, "deadline_passed"},
    enum_name<retry_decision>{retry_decision::budget_spent, "budget_spent"},
};

/// Largest number of attempts for one request, the first included.
inline constexpr std::uint32_t max_attempts = 4;

/// Decides whether a failed attempt is retried, and counts a retry against the budget. A call that
/// is not repeatable is retried only if no byte of it was written to a connected socket.
auto decide_retry(retry_budget& budget, const retry_input& attempt, time_point now)
    -> retry_decision;

/// Hash by which requests with the same content are recognised as the same crash suspect.
auto request_fingerprint(std::string_view organisation, std::string_view path,
                         std::string_view body) -> std::uint64_t;

/// Report that a request was in progress at a target when the target crashed.
struct crash_report {
    std::uint64_t fingerprint = 0;
    std::string target;
    incarnation_id target_incarnation = 0;
};

/// Whether a request's content is suspected of crashing targets. Blocked content is not sent to any
/// target.
enum class suspicion { none, suspect, blocked };

inline constexpr std::array suspicion_names{
    enum_name<suspicion>{suspicion::none, "none"},
    enum_name<suspicion>{suspicion::suspect, "suspect"},
    enum_name<suspicion>{suspicion::blocked, "stopped"},
};

/// Limits of the table of crash suspects.
struct suspect_settings {
    /// Time for which a crash counts.
    duration lifetime = std::chrono::minutes{10};
    std::size_t max_suspects = 10'000;
};

namespace detail {

/// One counted crash. A cleared one stays until it expires, so that a late copy does not count
/// again.
struct counted_crash {
    std::uint64_t target_hash = 0;
    incarnation_id incarnation = 0;
    time_point expires;
    bool cleared = false;
};

} // namespace detail

/// Crash suspects by fingerprint of their content.
struct suspect_table {
    suspect_settings settings;
    std::unordered_map<std::uint64_t, std::vector<detail::counted_crash>> suspects;
    /// Suspects in the order of eviction, which is the expiry of their newest crash.
    std::set<std::pair<time_point, std::uint64_t>> expiry;
};

/// Counts a crash seen here or reported by a peer. Returns whether it is new, so that a new local
/// report is sent to peers and a repeated one is not.
auto add_crash_report(suspect_table& table, const crash_report& seen, time_point now) -> bool;

/// Suspicion of a fingerprint: crashes of two different target incarnations block it.
auto suspicion_of(const suspect_table& table, std::uint64_t fingerprint, time_point now)
    -> suspicion;

/// Clears a fingerprint whose request completed, here or at a peer. Returns whether it had crashes
/// that counted.
auto clear_crash_reports(suspect_table& table, std::uint64_t fingerprint, time_point now) -> bool;

/// Removes suspects whose crashes have all expired.
auto expire_crash_reports(suspect_table& table, time_point now) -> void;

/// Isolation rule: a suspect starts only at a target without other suspects in progress, so that
/// the next crash points at one request. A second copy of the same content counts as another
/// suspect.
auto isolation_allows(suspicion own, std::size_t suspects_running) -> bool;

} // namespace cyclamenpost
