#include <algorithm>
#include <utility>

#include "cyclamenpost/core/log.hpp"
#include "forward_job.hpp"

namespace cyclamenpost {

namespace {

/// Name under which held requests are ordered; their services are not known before their turn.
constexpr auto held_service = "held";

/// A held request as the order sees it. `id` is its position, from 1.
auto order_entry(const platform_codec& codec, const fleet_view& view,
                 const server_exchange& exchange, std::uint64_t id, time_point now)
    -> waiting_request
{
    const auto request = codec.decode_request(exchange.head);
    auto entry = waiting_request{};
    entry.id = id;
    entry.service = held_service;
    entry.latest_start =
        request.deadline ? exchange.first_byte_at + *request.deadline : time_point::max();
    const auto* matched_route =
        view.routes ? match_route(*view.routes, request.host, exchange.head.target) : nullptr;
    if (matched_route == nullptr) {
        return entry;
    }
    const auto* caller = find_organisation(*view.routes, request.api_key);
    entry.organisation = caller != nullptr ? caller->name : std::string{};
    entry.priority =
        caller != nullptr && caller->priority ? *caller->priority : matched_route->priority;
    entry.latest_start =
        std::min(entry.latest_start, exchange.first_byte_at + matched_route->timeout);
    entry.late = now > exchange.first_byte_at + matched_route->latency_objective;
    return entry;
}

} // namespace

auto forwarder::reject_overdue_held() -> void
{
    if (!state_->view.options.admission) {
        return;
    }
    constexpr auto service_unavailable = detail::service_unavailable;
    const auto now = monotonic_now();
    std::erase_if(state_->held, [&](const auto& exchange) {
        const auto overdue =
            order_entry(state_->codec, state_->view, *exchange, 0, now).latest_start <= now;
        if (overdue && !exchange->answered()) {
            reject(*exchange, service_unavailable, retry_after_delay({}, 1),
                   state_->codec.decode_request(exchange->head), "held_too_long");
        }
        return overdue || exchange->answered();
    });
}

auto forwarder::release_held() -> void
{
    reject_overdue_held();
    auto held = std::exchange(state_->held, {});
    if (!state_->view.options.admission) {
        for (auto& exchange : held) {
            const auto caller_left = exchange->answered();
            if (!caller_left) {
                handle(std::move(exchange));
            }
        }
        return;
    }
    const auto now = monotonic_now();
    auto order = admission_queue{};
    order.settings.max_waiting = held.size() + 1;
    for (std::size_t index = 0; index < held.size(); ++index) {
        auto entry = order_entry(state_->codec, state_->view, *held[index], index + 1, now);
        enter_queue(order, std::move(entry), now);
    }
    const auto any = [](std::uint64_t) { return true; };
    while (const auto next = take_next(order, held_service, any, now)) {
        auto& exchange = held[*next - 1];
        log_event(log_level::debug, "held_released",
                  {{"request", state_->codec.decode_request(exchange->head).id},
                   {"held_ms", detail::milliseconds_text(now - exchange->first_byte_at)},
                   {"behind", std::to_string(waiting_count(order, held_service))}});
        const auto caller_left = exchange->answered();
        if (!caller_left) {
            handle(std::move(exchange));
        }
    }
    // a request whose time limit passes meanwhile is not ordered, and still has to be answered
    for (auto& exchange : held) {
        if (exchange && !exchange->answered()) {
            handle(std::move(exchange));
        }
    }
}

} // namespace cyclamenpost
