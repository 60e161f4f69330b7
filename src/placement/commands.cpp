#include "cyclamenpost/placement/commands.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenpost {

namespace {

// tokens of one list version; far fewer commands are sent to an engine between two versions
constexpr unsigned token_bits_per_list_version = 20;

constexpr duration first_backoff = std::chrono::seconds{1};
constexpr std::uint32_t max_backoff_doublings = 6;

auto no_command(command_reason reason) -> command_decision
{
    auto decision = command_decision{};
    decision.reason = reason;
    return decision;
}

auto read_back(command_reason reason) -> command_decision
{
    auto decision = no_command(reason);
    decision.action = command_action::read_back;
    return decision;
}

auto contains_item(const std::vector<desired_item>& items, std::string_view name,
                   std::string_view version) -> bool
{
    return std::ranges::any_of(items, [&](const desired_item& item) {
        return item.name == name && (version.empty() || item.version == version);
    });
}

// the missing item with the highest demand; the first one of equals
auto highest_demand(const std::vector<desired_item>& desired,
                    const std::vector<desired_item>& loaded) -> const desired_item*
{
    const desired_item* most = nullptr;
    for (const auto& item : desired) {
        if (contains_item(loaded, item.name, item.version)) {
            continue;
        }
        if (most == nullptr || item.demand > most->demand) {
            most = &item;
        }
    }
    return most;
}

auto make_command(command_action action, command_reason reason, const std::string& item,
                  const std::string& version) -> command_decision
{
    auto decision = command_decision{};
    decision.action = action;
    decision.reason = reason;
    decision.item = item;
    decision.version = version;
    return decision;
}

auto command_for(const desired_state& desired, const reported_state& reported) -> command_decision
{
    if (const auto* model = highest_demand(desired.models, reported.models)) {
        return make_command(command_action::load_model, command_reason::model_missing, model->name,
                            model->version);
    }
    if (const auto* adapter = highest_demand(desired.adapters, reported.adapters)) {
        return make_command(command_action::load_adapter, command_reason::adapter_missing,
                            adapter->name, adapter->version);
    }
    if (!desired.role.empty() && desired.role != reported.role) {
        return make_command(command_action::set_role, command_reason::role_differs, desired.role,
                            "");
    }
    return no_command(command_reason::nothing_missing);
}

auto is_load(command_action action) -> bool
{
    return action == command_action::load_model || action == command_action::load_adapter;
}

// decision that no command may be sent now, or nothing
auto blocking_decision(const reported_state& reported, const command_authority& authority,
                       const target_commands& commands, time_point now)
    -> std::optional<command_decision>
{
    if (reported.state == target_state::gone) {
        return no_command(command_reason::target_gone);
    }
    if (reported.state == target_state::leaving) {
        return no_command(command_reason::target_leaving);
    }
    if (!authority.primary) {
        return no_command(command_reason::not_primary);
    }
    if (!authority.checks_fencing && !authority.backup_acknowledges) {
        return no_command(command_reason::backup_silent);
    }
    if (commands.in_progress) {
        const auto late = now - commands.in_progress->sent_at >= command_timeout;
        return late ? read_back(command_reason::command_in_progress)
                    : no_command(command_reason::command_in_progress);
    }
    if (commands.report_required_after && reported.read_at <= *commands.report_required_after) {
        return read_back(command_reason::state_not_read);
    }
    if (now < commands.earliest_retry) {
        return no_command(command_reason::backoff);
    }
    return std::nullopt;
}

auto record_failure(target_commands& commands, time_point now) -> void
{
    const auto doublings = std::min(commands.failures, max_backoff_doublings);
    commands.earliest_retry = now + first_backoff * (1U << doublings);
    ++commands.failures;
    commands.in_progress.reset();
    commands.report_required_after = now;
}

auto effect_reported(const sent_command& command, const reported_state& reported) -> bool
{
    switch (command.action) {
    case command_action::load_model:
        return contains_item(reported.models, command.item, command.version);
    case command_action::load_adapter:
        return contains_item(reported.adapters, command.item, command.version);
    case command_action::set_role:
        return reported.role == command.item;
    case command_action::none:
    case command_action::read_back:
        return true;
    }
    return true;
}

} // namespace

auto weight_load_interval(const weight_load_rate& rate) -> duration
{
    if (rate.fleet_loads_per_second <= 0.0) {
        return max_weight_load_interval;
    }
    const auto gates = static_cast<double>(std::max<std::size_t>(rate.gates, 1));
    const auto seconds = std::chrono::duration<double>{gates / rate.fleet_loads_per_second};
    if (seconds >= max_weight_load_interval) {
        return max_weight_load_interval;
    }
    return std::chrono::duration_cast<duration>(seconds);
}

auto next_fencing_token(std::uint64_t reported, std::uint64_t highest_sent,
                        std::uint64_t list_version) -> std::uint64_t
{
    return std::max(std::max(reported, highest_sent) + 1,
                    list_version << token_bits_per_list_version);
}

auto decide_command(const desired_state& desired, const reported_state& reported,
                    const command_authority& authority, const target_commands& commands,
                    const weight_load_rate& rate, time_point now) -> command_decision
{
    if (const auto blocked = blocking_decision(reported, authority, commands, now)) {
        return *blocked;
    }
    auto decision = command_for(desired, reported);
    if (decision.action == command_action::none) {
        return decision;
    }
    if (is_load(decision.action) && now < rate.next_load_at) {
        return no_command(command_reason::load_rate);
    }
    decision.fencing_token = next_fencing_token(
        reported.fencing_token, commands.highest_fencing_token, authority.list_version);
    decision.incarnation = reported.incarnation;
    return decision;
}

auto record_command_sent(target_commands& commands, weight_load_rate& rate,
                         const command_decision& sent, time_point now) -> void
{
    if (sent.action == command_action::none || sent.action == command_action::read_back) {
        return;
    }
    commands.in_progress = sent_command{sent.action,        sent.item,        sent.version,
                                        sent.fencing_token, sent.incarnation, now};
    commands.highest_fencing_token = std::max(commands.highest_fencing_token, sent.fencing_token);
    if (is_load(sent.action)) {
        rate.next_load_at = now + weight_load_interval(rate);
    }
}

auto record_command_result(target_commands& commands, command_result result,
                           std::uint64_t current_fencing_token, time_point now) -> void
{
    if (!commands.in_progress) {
        return;
    }
    switch (result) {
    case command_result::accepted:
    case command_result::lost:
        return;
    case command_result::stale_fencing_token:
        commands.highest_fencing_token =
            std::max(commands.highest_fencing_token, current_fencing_token);
        record_failure(commands, now);
        return;
    case command_result::failed:
        record_failure(commands, now);
        return;
    }
}

auto record_report(target_commands& commands, const reported_state& reported) -> void
{
    if (!commands.in_progress || reported.read_at <= commands.in_progress->sent_at) {
        return;
    }
    if (reported.incarnation != commands.in_progress->incarnation) {
        commands.in_progress.reset();
        return;
    }
    if (effect_reported(*commands.in_progress, reported)) {
        commands.in_progress.reset();
        commands.failures = 0;
        return;
    }
    if (reported.read_at - commands.in_progress->sent_at >= command_timeout) {
        record_failure(commands, reported.read_at);
    }
}

auto describe(const command_decision& decision, std::string_view target) -> std::string
{
    auto line = "order target=" + std::string(target);
    line += " action=" + std::string(name_in(command_action_names, decision.action));
    line += " reason=" + std::string(name_in(command_reason_names, decision.reason));
    if (!decision.item.empty()) {
        line += " item=" + decision.item;
    }
    if (!decision.version.empty()) {
        line += " version=" + decision.version;
    }
    if (decision.fencing_token != 0) {
        line += " fence=" + std::to_string(decision.fencing_token);
    }
    return line;
}

} // namespace cyclamenpost
