#include "cyclamenpost/routing/target_estimate.hpp"

#include <algorithm>

#include "cyclamenpost/routing/fleet_load.hpp"

namespace cyclamenpost {

namespace {

// requests that wait end evenly, so the time until a slot is free varies by about half of its mean
constexpr double queue_deviation = 0.5;

// mean age of a sum when it arrives: each of two or three hops waits for half of a period of 200
// ms, and the sender's own number is as old as its last report
constexpr duration exchange_delay = std::chrono::milliseconds{300};

auto from_seconds(double seconds) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

auto to_seconds(duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

auto estimate_target(const target_table& table, const target& candidate, time_point now)
    -> target_estimate
{
    auto estimate = target_estimate{};
    estimate.requests = estimated_load(table, candidate, now);
    if (candidate.load) {
        estimate.age = now - candidate.load->reported_at;
    }
    if (!table.fleet.active) {
        return estimate;
    }
    const auto& shared = candidate.fleet.shared;
    if (is_silent(table, candidate, now)) {
        estimate.requests =
            std::max(estimate.requests, static_cast<double>(fleet_requests_at(candidate, now)));
        estimate.age = shared && now - shared->received_at < max_fleet_age
                           ? now - shared->received_at + exchange_delay
                           : duration::zero();
    }
    estimate.pace = pace_at(table, candidate, now);
    estimate.failure_share = failure_share_at(candidate, now);
    return estimate;
}

auto expected_wait(const target_table& table, const target& candidate, time_point now)
    -> wait_estimate
{
    const auto usual = table.fleet.first_byte.find(candidate.published.service);
    if (usual == table.fleet.first_byte.end()) {
        return {};
    }
    const auto estimate = estimate_target(table, candidate, now);
    const auto capacity = std::max(1.0, static_cast<double>(candidate.published.capacity));
    const auto behind = std::max(estimate.requests + 1 - capacity, 0.0);
    const auto occupied = to_seconds(usual_request_time(table, candidate.published.service));
    const auto queue = behind / capacity * occupied;
    const auto& times = usual->second;
    // requests may have come and gone since the newest information
    const auto stale =
        occupied > 0 ? std::min(to_seconds(estimate.age) / occupied, 1.0) * queue : 0.0;
    return {from_seconds((times.mean + queue) * estimate.pace),
            from_seconds((times.deviation + queue_deviation * queue + stale) * estimate.pace)};
}

} // namespace cyclamenpost
