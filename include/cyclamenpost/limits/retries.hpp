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

/// Rule of the retry budget.
struct retry_settings {
    /// Retries per first attempt of the last 10 s.
    double ratio = 0.1;
    /// Retries per second independent of traffic, so that a quiet instance can retry at all.
    double min_per_second = 1.0;
};

/// Rule of the retry budget of a whole fleet.
struct fleet_retry_rule {
    /// Retries per request over all instances.
    double ratio = 0;
    /// Retries in the window independent of traffic, over all instances.
    double slack = 0;
};

/// Part of the fleet's budget that one of so many instances may spend without asking the others.
/// Seven tenths are divided; the rest covers instances that count fewer members than there are.
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
    /// One bucket more than the window, so retries are counted over at least 10 s.
    std::array<bucket, window_seconds + 1> buckets{};
};

/// Counts a first attempt.
auto count_first_attempt(retry_budget& budget, time_point now) -> void;

/// Takes one retry or hedge from the budget. Returns false when it is spent.
auto spend_retry(retry_budget& budget, time_point now) -> bool;

/// Retries the budget still allows.
auto retries_left(const retry_budget& budget, time_point now) -> std::uint32_t;

/// State of an attempt that may be hedged.
struct hedge_input {
    bool repeatable = false;
    bool hedged_already = false;
    /// True once any part of the answer went to the caller.
    bool answer_started = false;
    time_point sent;
    /// 95th percentile of the time to the first byte.
    duration p95{};
    /// Observations behind the percentile.
    std::size_t observations = 0;
    std::optional<time_point> deadline;
};

/// Time at which a second attempt is started. Returns nothing for a call that is never hedged.
auto hedge_time(const hedge_input& attempt) -> std::optional<time_point>;

/// Deadline from the X-Request-Deadline-Ms header. Returns nothing for an absent or malformed
/// value; 0 and negative values are a deadline that has passed.
auto deadline_from_header(std::string_view value, time_point now) -> std::optional<time_point>;

/// Header value for the next hop: the remaining milliseconds, rounded down, at least 0.
auto deadline_header(time_point deadline, time_point now) -> std::string;

/// Whether an attempt that needs `expected` can still answer before the deadline.
auto deadline_allows(std::optional<time_point> deadline, time_point now, duration expected) -> bool;

/// Wait before a retry: full jitter over an exponential of the attempt number. `random` is in
/// [0, 1).
auto retry_delay(std::uint32_t attempt, double random) -> duration;

/// What a retry decision depends on.
struct retry_input {
    bool repeatable = false;
    /// True once bytes of the attempt were handed to a connected socket.
    bool sent = false;
    bool answer_started = false;
    std::uint32_t attempts = 1;
    std::optional<time_point> deadline;
    duration expected{};
};

/// Whether and why a failed attempt is followed by another.
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

/// Most attempts for one request, the first included.
inline constexpr std::uint32_t max_attempts = 4;

/// Decides about a failed attempt and takes the retry from the budget. A call that may not be
/// repeated is tried again only while no byte of it was handed to a connected socket.
auto decide_retry(retry_budget& budget, const retry_input& attempt, time_point now)
    -> retry_decision;

/// Fingerprint of a request for crash suspicion.
auto request_fingerprint(std::string_view organisation, std::string_view path,
                         std::string_view body) -> std::uint64_t;

/// A request was running at a target when the target died.
struct crash_report {
    std::uint64_t fingerprint = 0;
    std::string target;
    incarnation_id target_incarnation = 0;
};

/// Standing of a request's content.
enum class suspicion { none, suspect, blocked };

inline constexpr std::array suspicion_names{
    enum_name<suspicion>{suspicion::none, "none"},
    enum_name<suspicion>{suspicion::suspect, "suspect"},
    enum_name<suspicion>{suspicion::blocked, "stopped"},
};

/// Bounds of the suspects.
struct suspect_settings {
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

/// Crash suspects by fingerprint.
struct suspect_table {
    suspect_settings settings;
    std::unordered_map<std::uint64_t, std::vector<detail::counted_crash>> suspects;
    /// Order of eviction: expiry of the newest crash.
    std::set<std::pair<time_point, std::uint64_t>> expiry;
};

/// Counts a crash seen here or reported by a peer. Returns whether it is new, so that a new local
/// report is sent to peers and a repeated one is not.
auto add_crash_report(suspect_table& table, const crash_report& seen, time_point now) -> bool;

/// Standing of a fingerprint: two strikes from different incarnations stop it.
auto suspicion_of(const suspect_table& table, std::uint64_t fingerprint, time_point now)
    -> suspicion;

/// Clears a fingerprint whose request completed, here or at a peer. Returns whether it had strikes.
auto clear_crash_reports(suspect_table& table, std::uint64_t fingerprint, time_point now) -> bool;

/// Removes expired strikes.
auto expire_crash_reports(suspect_table& table, time_point now) -> void;

/// Isolation rule: a suspect starts only at a target that runs no other suspect, so that the next
/// death points at one request. A second copy of the same content counts as another suspect.
auto isolation_allows(suspicion own, std::size_t suspects_running) -> bool;

} // namespace cyclamenpost
