#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Size of a request's prompt. Reading a prompt that is not cached takes 12 to 16 ms per 1,000
/// tokens, so sizes differ in their times to the first byte.
enum class prompt_size { none_or_short, medium, large };

/// Size class of a prompt with this many tokens.
auto prompt_size_of(std::uint64_t tokens) -> prompt_size;

/// Recent times to the first byte of answered attempts. Counts halve with time; the bounds of the
/// buckets grow by a fixed factor.
struct answer_times {
    static constexpr std::size_t bucket_count = 72;
    std::array<double, bucket_count> buckets{};
    /// Sum of all counts.
    double weight = 0;
    /// Time at which the counts were last reduced.
    time_point aged_at{};
};

/// Adds one time to the first byte.
auto add_answer_time(answer_times& times, duration first_byte, time_point now) -> void;

/// Upper bound of the bucket below which the share `probability` of the times lies; nothing if
/// fewer than ten recent answers are known.
auto answer_time_quantile(const answer_times& times, double probability, time_point now)
    -> std::optional<duration>;

/// Times to the first byte of one service, by size of the prompt.
struct service_answer_times {
    std::array<answer_times, 3> by_size;
    /// Requests that have left a target early and have no answer since.
    std::uint32_t unanswered = 0;
};

/// Times to the first byte by service.
using answer_time_table = std::map<std::string, service_answer_times, std::less<>>;

/// Adds the time to the first byte of a successful answer.
auto record_answer_time(answer_time_table& table, const std::string& service, prompt_size size,
                        duration first_byte, time_point now) -> void;

/// Time within which a sound target of the service begins its answer, also under load: a high
/// percentile of the recent times with a margin. A size without enough recent answers takes the
/// figure of the next larger one. Nothing if that has none either.
auto usual_answer_limit(const answer_time_table& table, std::string_view service, prompt_size size,
                        time_point now) -> std::optional<duration>;

/// Facts that decide how long an attempt may be silent.
struct silence_input {
    /// `usual_answer_limit` of the request's service and size.
    std::optional<duration> usual;
    /// Latency objective of the route.
    duration objective{};
    /// Part of the objective that had passed when the attempt began.
    duration passed{};
    /// Limit without early retries; never exceeded.
    duration longest{};
    /// The target has answered anybody since the attempt began.
    bool target_answers = false;
    /// The target may still be warming up.
    bool warming_up = false;
    /// The request has left a target early before.
    bool left_before = false;
    /// Retries that the service's budget allows in all, and those that are left.
    std::uint32_t retries_allowed = 0;
    std::uint32_t retries_left = 0;
    /// Requests of the service that have left a target early and have no answer since.
    std::uint32_t unanswered = 0;
};

/// Time after which an attempt that has received nothing is overdue. Load pattern: a quarter of the
/// targets is lost without notice, and requests sent there were late even if their retry was
/// answered at once. A service that is slow as a whole must not be sent its requests twice, which
/// would make it slower: the limit stays above what answers take, and at most half of the retry
/// budget is spent on early retries.
auto early_limit(const silence_input& input) -> duration;

/// Time limit for establishing a connection, with early retries. `longest` is the limit without.
auto early_connect_limit(duration objective, duration longest) -> duration;

} // namespace cyclamenpost
