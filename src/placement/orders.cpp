#include "cyclamenpost/placement/orders.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenpost {

namespace {

// numbers of one list version; an engine is given far fewer orders between two versions
constexpr unsigned fence_bits_per_list = 20;

constexpr duration first_backoff = std::chrono::seconds{1};
constexpr std::uint32_t max_backoff_doublings = 6;

auto nothing(order_reason reason) -> order_decision
{
    auto decision = order_decision{};
    decision.reason = reason;
    return decision;
}

auto read_back(order_reason reason) -> order_decision
{
    auto decision = nothing(reason);
    decision.action = order_action::read_back;
    return decision;
}

auto present(const std::vector<wanted_item>& items, std::string_view name, std::string_view version)
    -> bool
{
    return std::ranges::any_of(items, [&](const wanted_item& item) {
        return item.name == name && (version.empty() || item.version == version);
    });
}

// the missing item that most work waits for; the first of equals
auto most_wanted(const std::vector<wanted_item>& wanted, const std::vector<wanted_item>& loaded)
    -> const wanted_item*
{
    const wanted_item* most = nullptr;
    for (const auto& item : wanted) {
        if (present(loaded, item.name, item.version)) {
            continue;
        }
        if (most == nullptr || item.demand > most->demand) {
            most = &item;
        }
    }
    return most;
}

auto make_order(order_action action, order_reason reason, const std::string& item,
                const std::string& version) -> order_decision
{
    auto decision = order_decision{};
    decision.action = action;
    decision.reason = reason;
    decision.item = item;
    decision.version = version;
    return decision;
}

auto wanted_order(const wanted_state& wanted, const reported_state& reported) -> order_decision
{
    if (const auto* model = most_wanted(wanted.models, reported.models)) {
        return make_order(order_action::load_model, order_reason::model_missing, model->name,
                          model->version);
    }
    if (const auto* adapter = most_wanted(wanted.adapters, reported.adapters)) {
        return make_order(order_action::load_adapter, order_reason::adapter_missing, adapter->name,
                          adapter->version);
    }
    if (!wanted.role.empty() && wanted.role != reported.role) {
        return make_order(order_action::set_role, order_reason::role_differs, wanted.role, "");
    }
    return nothing(order_reason::nothing_missing);
}

auto is_load(order_action action) -> bool
{
    return action == order_action::load_model || action == order_action::load_adapter;
}

// what forbids any order now, or nothing
auto obstacle(const reported_state& reported, const order_authority& authority,
              const target_orders& orders, time_point now) -> std::optional<order_decision>
{
    if (reported.state == target_state::gone) {
        return nothing(order_reason::target_gone);
    }
    if (reported.state == target_state::leaving) {
        return nothing(order_reason::target_leaving);
    }
    if (!authority.primary) {
        return nothing(order_reason::not_primary);
    }
    if (!authority.checks_fencing && !authority.backup_acknowledges) {
        return nothing(order_reason::backup_silent);
    }
    if (orders.in_progress) {
        const auto late = now - orders.in_progress->given >= order_timeout;
        return late ? read_back(order_reason::order_in_progress)
                    : nothing(order_reason::order_in_progress);
    }
    if (orders.read_after && reported.read <= *orders.read_after) {
        return read_back(order_reason::state_not_read);
    }
    if (now < orders.not_before) {
        return nothing(order_reason::backoff);
    }
    return std::nullopt;
}

auto note_failure(target_orders& orders, time_point now) -> void
{
    const auto doublings = std::min(orders.failures, max_backoff_doublings);
    orders.not_before = now + first_backoff * (1U << doublings);
    ++orders.failures;
    orders.in_progress.reset();
    orders.read_after = now;
}

auto effect_shows(const given_order& order, const reported_state& reported) -> bool
{
    switch (order.action) {
    case order_action::load_model:
        return present(reported.models, order.item, order.version);
    case order_action::load_adapter:
        return present(reported.adapters, order.item, order.version);
    case order_action::set_role:
        return reported.role == order.item;
    case order_action::none:
    case order_action::read_back:
        return true;
    }
    return true;
}

} // namespace

auto load_interval(const load_rate& rate) -> duration
{
    if (rate.fleet_per_second <= 0.0) {
        return max_load_interval;
    }
    const auto gates = static_cast<double>(std::max<std::size_t>(rate.gates, 1));
    const auto seconds = std::chrono::duration<double>{gates / rate.fleet_per_second};
    if (seconds >= max_load_interval) {
        return max_load_interval;
    }
    return std::chrono::duration_cast<duration>(seconds);
}

auto next_fence(std::uint64_t reported, std::uint64_t highest_given, std::uint64_t list_version)
    -> std::uint64_t
{
    return std::max(std::max(reported, highest_given) + 1, list_version << fence_bits_per_list);
}

auto decide_order(const wanted_state& wanted, const reported_state& reported,
                  const order_authority& authority, const target_orders& orders,
                  const load_rate& rate, time_point now) -> order_decision
{
    if (const auto held = obstacle(reported, authority, orders, now)) {
        return *held;
    }
    auto decision = wanted_order(wanted, reported);
    if (decision.action == order_action::none) {
        return decision;
    }
    if (is_load(decision.action) && now < rate.next_load) {
        return nothing(order_reason::load_rate);
    }
    decision.fence = next_fence(reported.fence, orders.highest_fence, authority.list_version);
    decision.incarnation = reported.incarnation;
    return decision;
}

auto note_order_given(target_orders& orders, load_rate& rate, const order_decision& given,
                      time_point now) -> void
{
    if (given.action == order_action::none || given.action == order_action::read_back) {
        return;
    }
    orders.in_progress =
        given_order{given.action, given.item, given.version, given.fence, given.incarnation, now};
    orders.highest_fence = std::max(orders.highest_fence, given.fence);
    if (is_load(given.action)) {
        rate.next_load = now + load_interval(rate);
    }
}

auto note_order_answer(target_orders& orders, order_answer answer, std::uint64_t current_fence,
                       time_point now) -> void
{
    if (!orders.in_progress) {
        return;
    }
    switch (answer) {
    case order_answer::accepted:
    case order_answer::lost:
        return;
    case order_answer::stale_fence:
        orders.highest_fence = std::max(orders.highest_fence, current_fence);
        note_failure(orders, now);
        return;
    case order_answer::failed:
        note_failure(orders, now);
        return;
    }
}

auto note_report(target_orders& orders, const reported_state& reported) -> void
{
    if (!orders.in_progress || reported.read <= orders.in_progress->given) {
        return;
    }
    if (reported.incarnation != orders.in_progress->incarnation) {
        orders.in_progress.reset();
        return;
    }
    if (effect_shows(*orders.in_progress, reported)) {
        orders.in_progress.reset();
        orders.failures = 0;
        return;
    }
    if (reported.read - orders.in_progress->given >= order_timeout) {
        note_failure(orders, reported.read);
    }
}

auto describe(const order_decision& decision, std::string_view target) -> std::string
{
    auto line = "order target=" + std::string(target);
    line += " action=" + std::string(name_in(order_action_names, decision.action));
    line += " reason=" + std::string(name_in(order_reason_names, decision.reason));
    if (!decision.item.empty()) {
        line += " item=" + decision.item;
    }
    if (!decision.version.empty()) {
        line += " version=" + decision.version;
    }
    if (decision.fence != 0) {
        line += " fence=" + std::to_string(decision.fence);
    }
    return line;
}

} // namespace cyclamenpost
