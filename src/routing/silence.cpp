#include "cyclamenpost/routing/silence.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenpost {

namespace {

// reading takes 25 to 30 ms, about 110 ms, and more
constexpr std::uint64_t medium_prompt_tokens = 2000;
constexpr std::uint64_t large_prompt_tokens = 8000;

// buckets from 10 ms to 4.7 s, so narrow that rounding up adds at most a tenth to a limit
constexpr double first_bound_seconds = 0.01;
constexpr double buckets_per_octave = 8;

// troubles last some seconds to a minute, and an instance may see a request of a kind only every
// second
constexpr double half_life_seconds = 10;
constexpr duration aging_step = std::chrono::milliseconds{500};
// with fewer answers, the highest one does not tell what a loaded target needs
constexpr double min_weight = 10;

constexpr double usual_quantile = 0.95;
constexpr double usual_margin = 1.5;
// instances and targets may be without processor time for about 100 ms
constexpr duration min_silence = std::chrono::milliseconds{100};
// the other half is left for the second target's answer
constexpr int objective_parts = 2;
constexpr int patience_factor = 2;
// early retries that may be without an answer at a time: one, and one more for this many that the
// budget allows in its 10 s; when targets are lost, most are answered within 100 ms
constexpr std::uint32_t retries_per_unanswered = 8;

// round trips take less than 10 ms, and a lost SYN is repeated only after a second; the lower bound
// is above the 100 ms for which this process may not run
constexpr int connect_objective_parts = 3;
constexpr duration min_connect_limit = std::chrono::milliseconds{120};

auto in_seconds(duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

auto bucket_of(duration first_byte) -> std::size_t
{
    const auto octaves = std::log2(std::max(in_seconds(first_byte) / first_bound_seconds, 1.0));
    const auto index = static_cast<std::size_t>(std::ceil(octaves * buckets_per_octave));
    return std::min(index, answer_times::bucket_count - 1);
}

auto bound_of(std::size_t bucket) -> duration
{
    const auto octaves = static_cast<double>(bucket) / buckets_per_octave;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(first_bound_seconds * std::exp2(octaves)));
}

/// Factor by which counts have shrunk since they were last reduced.
auto decay_since(const answer_times& times, time_point now) -> double
{
    return std::exp2(-std::max(in_seconds(now - times.aged_at), 0.0) / half_life_seconds);
}

auto age_counts(answer_times& times, time_point now) -> void
{
    if (now - times.aged_at < aging_step) {
        return;
    }
    const auto factor = decay_since(times, now);
    for (auto& count : times.buckets) {
        count *= factor;
    }
    times.weight *= factor;
    times.aged_at = now;
}

} // namespace

auto prompt_size_of(std::uint64_t tokens) -> prompt_size
{
    if (tokens < medium_prompt_tokens) {
        return prompt_size::none_or_short;
    }
    return tokens < large_prompt_tokens ? prompt_size::medium : prompt_size::large;
}

auto add_answer_time(answer_times& times, duration first_byte, time_point now) -> void
{
    age_counts(times, now);
    times.buckets.at(bucket_of(first_byte)) += 1;
    times.weight += 1;
}

auto answer_time_quantile(const answer_times& times, double probability, time_point now)
    -> std::optional<duration>
{
    if (times.weight * decay_since(times, now) < min_weight) {
        return std::nullopt;
    }
    auto above = times.weight * (1 - probability);
    for (auto bucket = times.buckets.size(); bucket-- > 0;) {
        above -= times.buckets.at(bucket);
        if (above < 0) {
            return bound_of(bucket);
        }
    }
    return bound_of(0);
}

auto record_answer_time(answer_time_table& table, const std::string& service, prompt_size size,
                        duration first_byte, time_point now) -> void
{
    add_answer_time(table[service].by_size.at(static_cast<std::size_t>(size)), first_byte, now);
}

auto usual_answer_limit(const answer_time_table& table, std::string_view service, prompt_size size,
                        time_point now) -> std::optional<duration>
{
    const auto found = table.find(service);
    if (found == table.end()) {
        return std::nullopt;
    }
    const auto& sizes = found->second.by_size;
    for (auto index = static_cast<std::size_t>(size); index < sizes.size(); ++index) {
        if (const auto high = answer_time_quantile(sizes.at(index), usual_quantile, now)) {
            return std::chrono::duration_cast<duration>(*high * usual_margin);
        }
    }
    return std::nullopt;
}

auto early_limit(const silence_input& input) -> duration
{
    const auto within_budget = input.retries_left > input.retries_allowed / 2 &&
                               input.unanswered <= input.retries_allowed / retries_per_unanswered;
    // where sound targets need the whole objective, no retry is in time either
    const auto helps = input.usual && *input.usual < input.objective && !input.left_before;
    const auto may_leave = helps && within_budget;
    if (!may_leave) {
        return input.longest;
    }
    const auto share =
        std::max<duration>(input.objective - input.passed, duration::zero()) / objective_parts;
    const auto limit = std::max({*input.usual, share, min_silence});
    const auto patient = input.target_answers || input.warming_up;
    return std::min(patient ? limit * patience_factor : limit, input.longest);
}

auto early_connect_limit(duration objective, duration longest) -> duration
{
    return std::min(std::max<duration>(objective / connect_objective_parts, min_connect_limit),
                    longest);
}

} // namespace cyclamenpost
