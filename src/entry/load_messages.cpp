#include "cyclamenpost/entry/load_messages.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace cyclamenpost {

namespace {

constexpr double count_scale = 16;
constexpr double percent = 100;
constexpr double thousand = 1'000;
// figures above these are not taken for real
constexpr std::uint32_t max_requests = 1'000'000;
constexpr std::uint32_t max_count = 16'000'000;
constexpr std::uint32_t max_pace_percent = 10'000;
constexpr std::uint32_t max_age_ms = 3'600'000;
constexpr auto max_limit_thousandths = static_cast<std::uint32_t>(max_target_limit * thousand);

auto milliseconds_of(duration span) -> std::uint32_t
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::int64_t{max_age_ms} - 1));
}

/// Age plus 1, or 0 for an unset time.
auto encode_age(time_point at, time_point now) -> std::uint32_t
{
    return at == time_point{} ? 0 : milliseconds_of(now - at) + 1;
}

auto decode_age(std::uint32_t age, time_point now) -> time_point
{
    return age == 0 ? time_point{} : now - std::chrono::milliseconds{age - 1};
}

auto encode_count(double count) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::lround(std::clamp(count * count_scale, 0.0, static_cast<double>(max_count))));
}

auto encode_pace(double pace) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::lround(std::clamp(pace * percent, 1.0, static_cast<double>(max_pace_percent))));
}

auto is_pace(std::uint32_t value) -> bool
{
    return value > 0 && value <= max_pace_percent;
}

auto encode_figures(const fleet_list& list, wire::fleet_figures& sent, time_point now) -> void
{
    sent.set_scope(static_cast<std::uint32_t>(list.scope));
    sent.set_sequence(list.sequence);
    sent.set_partial(list.partial);
    for (const auto& entry : list.entries) {
        const auto& figures = entry.figures;
        sent.add_target(entry.target);
        sent.add_start(entry.start);
        sent.add_in_flight(figures.in_flight);
        sent.add_failed(encode_count(figures.failed));
        sent.add_answered(encode_count(figures.answered));
        sent.add_reporters(figures.reporters);
        sent.add_failed_age_ms(encode_age(figures.failed_at, now));
        sent.add_answered_age_ms(encode_age(figures.answered_at, now));
        sent.add_pace(encode_pace(figures.pace));
    }
}

auto decode_figures(const wire::fleet_figures& sent, time_point now) -> std::optional<fleet_list>
{
    const auto count = sent.target_size();
    const auto sizes =
        std::array{sent.start_size(),           sent.in_flight_size(), sent.failed_size(),
                   sent.answered_size(),        sent.reporters_size(), sent.failed_age_ms_size(),
                   sent.answered_age_ms_size(), sent.pace_size()};
    const auto equal =
        std::all_of(sizes.begin(), sizes.end(), [&](int size) { return size == count; });
    constexpr auto highest_scope = static_cast<std::uint32_t>(fleet_scope::fleet);
    if (!equal || sent.scope() > highest_scope) {
        return std::nullopt;
    }
    auto list =
        fleet_list{static_cast<fleet_scope>(sent.scope()), sent.sequence(), sent.partial(), {}};
    for (auto index = 0; index < count; ++index) {
        const auto usable = sent.in_flight(index) <= max_requests &&
                            sent.failed(index) <= max_count && sent.answered(index) <= max_count &&
                            sent.reporters(index) <= max_requests &&
                            sent.failed_age_ms(index) <= max_age_ms &&
                            sent.answered_age_ms(index) <= max_age_ms && is_pace(sent.pace(index));
        if (!usable) {
            return std::nullopt;
        }
        auto& entry = list.entries.emplace_back();
        entry.target = sent.target(index);
        entry.start = sent.start(index);
        entry.figures.in_flight = sent.in_flight(index);
        entry.figures.failed = sent.failed(index) / count_scale;
        entry.figures.answered = sent.answered(index) / count_scale;
        entry.figures.reporters = sent.reporters(index);
        entry.figures.failed_at = decode_age(sent.failed_age_ms(index), now);
        entry.figures.answered_at = decode_age(sent.answered_age_ms(index), now);
        entry.figures.pace = sent.pace(index) / percent;
    }
    return list;
}

/// Thousandths of a request per second; 0 only without a limit.
auto encode_limit(std::optional<double> per_second) -> std::uint32_t
{
    return per_second ? static_cast<std::uint32_t>(std::lround(
                            std::clamp(*per_second * thousand, 1.0, double{max_limit_thousandths})))
                      : 0;
}

auto encode_limits(const std::vector<shared_limit>& limits, wire::load_reports& sent) -> void
{
    for (const auto& limit : limits) {
        sent.add_limit_target(limit.target);
        sent.add_limit_start(limit.start);
        sent.add_limit_thousandths(encode_limit(limit.per_second));
        sent.add_limit_age_ms(milliseconds_of(limit.age));
    }
}

auto decode_limits(const wire::load_reports& sent) -> std::optional<std::vector<shared_limit>>
{
    const auto count = sent.limit_target_size();
    if (sent.limit_start_size() != count || sent.limit_thousandths_size() != count ||
        sent.limit_age_ms_size() != count || count > static_cast<int>(max_shared_limits)) {
        return std::nullopt;
    }
    auto limits = std::vector<shared_limit>{};
    for (auto index = 0; index < count; ++index) {
        const auto thousandths = sent.limit_thousandths(index);
        const auto age = sent.limit_age_ms(index);
        if (thousandths > max_limit_thousandths || age > max_age_ms) {
            return std::nullopt;
        }
        limits.push_back({sent.limit_target(index), sent.limit_start(index),
                          thousandths > 0 ? std::optional{thousandths / thousand} : std::nullopt,
                          std::chrono::milliseconds{age}});
    }
    return limits;
}

} // namespace

auto encode_load_message(const load_message& message, bool with_pace, time_point now)
    -> wire::envelope
{
    auto envelope = wire::envelope{};
    auto& reports = *envelope.mutable_load_reports();
    const auto sends_pace =
        with_pace && std::any_of(message.loads.begin(), message.loads.end(),
                                 [](const shared_load& load) { return load.pace != 1; });
    for (const auto& load : message.loads) {
        reports.add_target(load.target);
        reports.add_requests(load.requests);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(load.age);
        reports.add_age_ms(static_cast<std::uint32_t>(age.count()));
        if (sends_pace) {
            reports.add_pace(encode_pace(load.pace));
        }
    }
    if (message.figures) {
        encode_figures(*message.figures, *reports.mutable_figures(), now);
    }
    encode_limits(message.limits, reports);
    return envelope;
}

auto decode_load_message(const wire::load_reports& reports, time_point now)
    -> std::optional<load_message>
{
    const auto count = reports.target_size();
    const auto has_pace = reports.pace_size() > 0;
    if (reports.requests_size() != count || reports.age_ms_size() != count ||
        (has_pace && reports.pace_size() != count)) {
        return std::nullopt;
    }
    auto message = load_message{};
    for (auto index = 0; index < count; ++index) {
        auto pace = 1.0;
        if (has_pace) {
            if (!is_pace(reports.pace(index))) {
                return std::nullopt;
            }
            pace = reports.pace(index) / percent;
        }
        message.loads.push_back({reports.target(index), reports.requests(index),
                                 std::chrono::milliseconds{reports.age_ms(index)}, pace});
    }
    if (reports.has_figures()) {
        message.figures = decode_figures(reports.figures(), now);
        if (!message.figures) {
            return std::nullopt;
        }
    }
    auto limits = decode_limits(reports);
    if (!limits) {
        return std::nullopt;
    }
    message.limits = std::move(*limits);
    return message;
}

} // namespace cyclamenpost
