#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// What an engine is told to do.
enum class command_action { none, read_back, load_model, load_adapter, set_role };

inline constexpr std::array command_action_names{
    enum_name<command_action>{command_action::none, "none"},
    enum_name<command_action>{command_action::read_back, "read_back"},
    enum_name<command_action>{command_action::load_model, "load_model"},
    enum_name<command_action>{command_action::load_adapter, "load_adapter"},
    enum_name<command_action>{command_action::set_role, "set_role"},
};

/// Why a decision about orders was taken; names appear in its log line.
enum class command_reason {
    nothing_missing,
    model_missing,
    adapter_missing,
    role_differs,
    command_in_progress,
    target_gone,
    target_leaving,
    not_primary,
    backup_silent,
    state_not_read,
    load_rate,
    backoff,
};

inline constexpr std::array command_reason_names{
    enum_name<command_reason>{command_reason::nothing_missing, "nothing_missing"},
    enum_name<command_reason>{command_reason::model_missing, "model_missing"},
    enum_name<command_reason>{command_reason::adapter_missing, "adapter_missing"},
    enum_name<command_reason>{command_reason::role_differs, "role_differs"},
    enum_name<command_reason>{command_reason::command_in_progress, "order_in_progress"},
    enum_name<command_reason>{command_reason::target_gone, "target_gone"},
    enum_name<command_reason>{command_reason::target_leaving, "target_leaving"},
    enum_name<command_reason>{command_reason::not_primary, "not_primary"},
    enum_name<command_reason>{command_reason::backup_silent, "backup_silent"},
    enum_name<command_reason>{command_reason::state_not_read, "state_not_read"},
    enum_name<command_reason>{command_reason::load_rate, "load_rate"},
    enum_name<command_reason>{command_reason::backoff, "backoff"},
};

/// A model or adapter that should be loaded, in a version.
struct desired_item {
    std::string name;
    std::string version;
    /// Cost units waiting for it; the item with the most is loaded first.
    std::uint64_t demand = 0;
};

/// What the operator text and the demand ask of a target.
struct desired_state {
    std::vector<desired_item> models;
    std::vector<desired_item> adapters;
    /// Empty when any role will do.
    std::string role;
};

/// A target's own report.
struct reported_state {
    incarnation_id incarnation = 0;
    target_state state = target_state::cold;
    std::uint64_t fencing_token = 0;
    std::vector<desired_item> models;
    std::vector<desired_item> adapters;
    std::string role;
    time_point read_at;
};

/// Position of this gate towards the target.
struct command_authority {
    bool primary = false;
    /// The backup acknowledges the lease, or the list names no backup and the wait is over.
    bool backup_acknowledges = false;
    std::uint64_t list_version = 0;
    /// From the operator text.
    bool checks_fencing = false;
};

/// An order that was given and not yet answered or seen in a report.
struct sent_command {
    command_action action = command_action::none;
    std::string item;
    std::string version;
    std::uint64_t fencing_token = 0;
    incarnation_id incarnation = 0;
    time_point sent;
};

/// Orders of one target.
struct target_commands {
    std::optional<sent_command> in_progress;
    /// A report must be newer than this before the next order.
    std::optional<time_point> report_required_after;
    std::uint64_t highest_fencing_token = 0;
    std::uint32_t failures = 0;
    time_point earliest_retry;
};

/// This gate instance's share of the weight store.
struct weight_load_rate {
    /// Loads per second that the weight store allows to the whole fleet.
    double fleet_loads_per_second = 1.0;
    /// Gates that share the rate.
    std::size_t gates = 1;
    time_point next_load_at;
};

/// Longest time between two loads of one gate, so that a large fleet still makes progress.
inline constexpr duration max_weight_load_interval = std::chrono::seconds{5};

/// Time within which an order must be answered; then its outcome is read back from the engine.
inline constexpr duration command_timeout = std::chrono::seconds{60};

/// Time between two loads of this gate.
auto weight_load_interval(const weight_load_rate& rate) -> duration;

/// Fencing number of the next order: above the engine's and above those of older lists.
auto next_fencing_token(std::uint64_t reported, std::uint64_t highest_sent,
                        std::uint64_t list_version) -> std::uint64_t;

/// Decision about one target, with everything its log line needs.
struct command_decision {
    command_action action = command_action::none;
    command_reason reason = command_reason::nothing_missing;
    std::string item;
    std::string version;
    std::uint64_t fencing_token = 0;
    incarnation_id incarnation = 0;
};

/// Decides which order, if any, a target is given now.
auto decide_command(const desired_state& desired, const reported_state& reported,
                    const command_authority& authority, const target_commands& commands,
                    const weight_load_rate& rate, time_point now) -> command_decision;

/// Notes that an order was handed to the target; a load takes its share of the rate.
auto record_command_sent(target_commands& commands, weight_load_rate& rate,
                         const command_decision& sent, time_point now) -> void;

/// How a target answered an order.
enum class command_result { accepted, stale_fencing_token, failed, lost };

/// Notes the answer. An accepted order stays in progress until a report shows its effect, and a
/// lost one until a report was read. A refused or failed one ends, and the engine's state is read
/// before the next; `current_fence` is the engine's number in a 409.
auto record_command_result(target_commands& commands, command_result answer,
                           std::uint64_t current_fencing_token, time_point now) -> void;

/// Compares a report with the order in progress: the order ends when its effect shows, when the
/// target restarted, or when the report was read after the order's time limit.
auto record_report(target_commands& commands, const reported_state& reported) -> void;

/// Formats the decision for the log: target, action, item, fence, reason.
auto describe(const command_decision& decision, std::string_view target) -> std::string;

} // namespace cyclamenpost
