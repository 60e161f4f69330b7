#include "cyclamenpost/limits/retries.hpp"

#include "cyclamenpost/core/backoff.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>

namespace cyclamenpost {

namespace {

// fewer observations give too unreliable a percentile
constexpr std::size_t min_hedge_observations = 100;

// an earlier hedge would be caused by ordinary scheduling delay
constexpr duration min_hedge_delay = std::chrono::milliseconds{10};

constexpr duration first_retry_delay = std::chrono::milliseconds{25};
constexpr duration max_retry_delay = std::chrono::milliseconds{400};

// one day; longer deadlines are of no use and would overflow the arithmetic
constexpr std::int64_t max_deadline_ms = 86'400'000;

// room for two crashes that count besides cleared ones
constexpr std::size_t max_crashes_per_suspect = 8;

// Part of the fleet's retry budget that is divided among the instances. An instance that knows only
// seven tenths of the members takes an equal share of the whole slack, three tenths of that share
// more than one that knows all members. The part that is not divided covers this, even if all
// instances know no more than seven tenths.
constexpr double divided_budget_share = 0.7;

constexpr auto window_length = std::int64_t{retry_budget::window_seconds};

auto second_of(time_point now) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

auto bucket_at(retry_budget& budget, time_point now) -> retry_budget::bucket&
{
    const auto second = second_of(now);
    auto& bucket = budget.buckets.at(static_cast<std::size_t>(second) % budget.buckets.size());
    if (bucket.second != second) {
        bucket = {};
        bucket.second = second;
    }
    return bucket;
}

auto age_in_seconds(const retry_budget::bucket& bucket, std::int64_t second) -> std::int64_t
{
    return bucket.second < 0 ? window_length + 1 : second - bucket.second;
}

auto newest_expiry(const std::vector<detail::counted_crash>& crashes) -> time_point
{
    return std::ranges::max(crashes, {}, &detail::counted_crash::expires).expires;
}

auto drop_suspect(suspect_table& table, std::uint64_t fingerprint) -> void
{
    const auto found = table.suspects.find(fingerprint);
    table.expiry.erase({newest_expiry(found->second), fingerprint});
    table.suspects.erase(found);
}

auto evict_to_limit(suspect_table& table) -> void
{
    while (table.suspects.size() >= std::max<std::size_t>(table.settings.max_suspects, 1)) {
        drop_suspect(table, table.expiry.begin()->second);
    }
}

auto same_crash(const detail::counted_crash& one, const detail::counted_crash& other) -> bool
{
    return one.target_hash == other.target_hash && one.incarnation == other.incarnation;
}

// crashes that are neither cleared nor expired
auto count_active(const std::vector<detail::counted_crash>& crashes, time_point now) -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(crashes, [&](const detail::counted_crash& one) {
            return !one.cleared && one.expires > now;
        }));
}

} // namespace

auto divide_retry_budget(const fleet_retry_rule& rule, std::size_t instances) -> retry_settings
{
    const auto members = static_cast<double>(std::max<std::size_t>(instances, 1));
    return {rule.ratio * divided_budget_share,
            rule.slack * divided_budget_share / static_cast<double>(window_length) / members};
}

auto count_first_attempt(retry_budget& budget, time_point now) -> void
{
    ++bucket_at(budget, now).first_attempts;
}

auto retries_allowed(const retry_budget& budget, time_point now) -> std::uint32_t
{
    const auto second = second_of(now);
    auto first_attempts = std::uint64_t{0};
    for (const auto& bucket : budget.buckets) {
        first_attempts +=
            age_in_seconds(bucket, second) < window_length ? bucket.first_attempts : 0;
    }
    const auto allowed = budget.settings.ratio * static_cast<double>(first_attempts) +
                         budget.settings.min_per_second * static_cast<double>(window_length);
    return static_cast<std::uint32_t>(std::max(std::floor(allowed), 0.0));
}

auto retries_left(const retry_budget& budget, time_point now) -> std::uint32_t
{
    const auto second = second_of(now);
    auto retries = std::uint64_t{0};
    for (const auto& bucket : budget.buckets) {
        retries += age_in_seconds(bucket, second) <= window_length ? bucket.retries : 0;
    }
    const auto allowed = retries_allowed(budget, now);
    return retries >= allowed ? 0 : static_cast<std::uint32_t>(allowed - retries);
}

auto spend_retry(retry_budget& budget, time_point now) -> bool
{
    if (retries_left(budget, now) == 0) {
        return false;
    }
    ++bucket_at(budget, now).retries;
    return true;
}

auto hedge_time(const hedge_input& attempt) -> std::optional<time_point>
{
    const auto excluded = !attempt.repeatable || attempt.hedged_already || attempt.answer_started;
    if (excluded || attempt.observations < min_hedge_observations) {
        return std::nullopt;
    }
    const auto at = attempt.sent_at + std::max(attempt.p95, min_hedge_delay);
    if (attempt.deadline && at >= *attempt.deadline) {
        return std::nullopt;
    }
    return at;
}

auto deadline_from_header(std::string_view value, time_point now) -> std::optional<time_point>
{
    auto remaining = std::int64_t{0};
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, remaining);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    const auto bounded = std::clamp<std::int64_t>(remaining, 0, max_deadline_ms);
    return now + std::chrono::milliseconds{bounded};
}

auto deadline_header(time_point deadline, time_point now) -> std::string
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::to_string(std::max<std::int64_t>(remaining.count(), 0));
}

auto deadline_allows(std::optional<time_point> deadline, time_point now, duration expected) -> bool
{
    return !deadline || now + expected < *deadline;
}

auto retry_delay(std::uint32_t attempt, double random) -> duration
{
    return full_jitter(first_retry_delay, max_retry_delay, attempt, random);
}

auto decide_retry(retry_budget& budget, const retry_input& attempt, time_point now)
    -> retry_decision
{
    if (attempt.sent && !attempt.repeatable) {
        return retry_decision::not_repeatable;
    }
    if (attempt.answer_started) {
        return retry_decision::answer_started;
    }
    if (attempt.attempts >= max_attempts) {
        return retry_decision::attempts_used;
    }
    if (!deadline_allows(attempt.deadline, now, attempt.expected)) {
        return retry_decision::deadline_passed;
    }
    return spend_retry(budget, now) ? retry_decision::retry : retry_decision::budget_spent;
}

auto request_fingerprint(std::string_view organisation, std::string_view path,
                         std::string_view body) -> std::uint64_t
{
    return hash64(body, hash64(path, hash64(organisation)));
}

auto add_crash_report(suspect_table& table, const crash_report& seen, time_point now) -> bool
{
    expire_crash_reports(table, now);
    const auto counted = detail::counted_crash{hash64(seen.target), seen.target_incarnation,
                                               now + table.settings.lifetime, false};
    if (!table.suspects.contains(seen.fingerprint)) {
        evict_to_limit(table);
    }
    auto& crashes = table.suspects[seen.fingerprint];
    const auto known = std::ranges::any_of(
        crashes, [&](const detail::counted_crash& one) { return same_crash(one, counted); });
    if (known) {
        return false;
    }
    if (!crashes.empty()) {
        table.expiry.erase({newest_expiry(crashes), seen.fingerprint});
    }
    if (crashes.size() >= max_crashes_per_suspect) {
        crashes.erase(crashes.begin());
    }
    crashes.push_back(counted);
    table.expiry.emplace(newest_expiry(crashes), seen.fingerprint);
    return true;
}

auto suspicion_of(const suspect_table& table, std::uint64_t fingerprint, time_point now)
    -> suspicion
{
    const auto found = table.suspects.find(fingerprint);
    if (found == table.suspects.end()) {
        return suspicion::none;
    }
    const auto crashes = count_active(found->second, now);
    if (crashes == 0) {
        return suspicion::none;
    }
    return crashes == 1 ? suspicion::suspect : suspicion::blocked;
}

auto clear_crash_reports(suspect_table& table, std::uint64_t fingerprint, time_point now) -> bool
{
    const auto found = table.suspects.find(fingerprint);
    if (found == table.suspects.end()) {
        return false;
    }
    const auto counted = count_active(found->second, now) > 0;
    for (auto& one : found->second) {
        one.cleared = true;
    }
    return counted;
}

auto expire_crash_reports(suspect_table& table, time_point now) -> void
{
    while (!table.expiry.empty() && table.expiry.begin()->first <= now) {
        drop_suspect(table, table.expiry.begin()->second);
    }
}

auto isolation_allows(suspicion own, std::size_t suspects_running) -> bool
{
    switch (own) {
    case suspicion::none:
        return true;
    case suspicion::suspect:
        return suspects_running == 0;
    case suspicion::blocked:
        return false;
    }
    return false;
}

} // namespace cyclamenpost
