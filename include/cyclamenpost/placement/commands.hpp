#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// What a gate instructs an engine to do.
enum class command_action { none, read_back, load_model, load_adapter, set_role };

inline constexpr std::array command_action_names{
    enum_name<command_action>{command_action::none, "none"},
    enum_name<command_action>{command_action::read_back, "read_back"},
    enum_name<command_action>{command_action::load_model, "load_model"},
    enum_name<command_action>{command_action::load_adapter, "load_adapter"},
    enum_name<command_action>{command_action::set_role, "set_role"},
};

/// Reason of a command decision; written to the log.
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

/// A version of a model or adapter that should be loaded; any version when empty.
struct desired_item {
    std::string name;
    std::string version;
    /// Cost units that wait for the item; the one with the highest demand is loaded first.
    std::uint64_t demand = 0;
};

/// State that the operator text and the current demand call for.
struct desired_state {
    std::vector<desired_item> models;
    std::vector<desired_item> adapters;
    /// Empty when any role is allowed.
    std::string role;
};

/// State that a target reported.
struct reported_state {
    incarnation_id incarnation = 0;
    target_state state = target_state::cold;
    /// Highest fencing token that the target has accepted.
    std::uint64_t fencing_token = 0;
    std::vector<desired_item> models;
    std::vector<desired_item> adapters;
    std::string role;
    /// Time at which the report was read.
    time_point read_at;
};

/// Whether this gate may send commands to the target.
struct command_authority {
    bool primary = false;
    /// The backup acknowledges the lease, or the list has no backup and the takeover wait is over.
    bool backup_acknowledges = false;
    std::uint64_t list_version = 0;
    /// Whether the target rejects stale fencing tokens, according to the operator text.
    bool checks_fencing = false;
};

/// A command that was sent and whose effect no report has shown yet.
struct sent_command {
    command_action action = command_action::none;
    std::string item;
    std::string version;
    std::uint64_t fencing_token = 0;
    incarnation_id incarnation = 0;
    time_point sent_at;
};

/// Command state of one target.
struct target_commands {
    std::optional<sent_command> in_progress;
    /// The next command needs a report that was read after this time.
    std::optional<time_point> report_required_after;
    std::uint64_t highest_fencing_token = 0;
    /// Failed commands in a row, which set the backoff.
    std::uint32_t failures = 0;
    time_point earliest_retry;
};

/// Rate at which this gate may have engines load from the weight store.
struct weight_load_rate {
    /// Loads per second that the weight store allows to the whole fleet.
    double fleet_loads_per_second = 1.0;
    /// Number of gates that share the rate.
    std::size_t gates = 1;
    time_point next_load_at;
};

/// Longest time between two loads of one gate, so that a large fleet makes progress.
inline constexpr duration max_weight_load_interval = std::chrono::seconds{5};

/// Time without effect after which the outcome of a command is read back from the engine.
inline constexpr duration command_timeout = std::chrono::seconds{60};

/// Shortest time between two loads of this gate.
auto weight_load_interval(const weight_load_rate& rate) -> duration;

/// Fencing token of the next command: above the engine's own, those sent before and those of older
/// versions of the instance list.
auto next_fencing_token(std::uint64_t reported, std::uint64_t highest_sent,
                        std::uint64_t list_version) -> std::uint64_t;

/// Decision about one target, with the values of its log line.
struct command_decision {
    command_action action = command_action::none;
    command_reason reason = command_reason::nothing_missing;
    std::string item;
    std::string version;
    std::uint64_t fencing_token = 0;
    incarnation_id incarnation = 0;
};

/// Decides which command, if any, is sent to a target now.
auto decide_command(const desired_state& desired, const reported_state& reported,
                    const command_authority& authority, const target_commands& commands,
                    const weight_load_rate& rate, time_point now) -> command_decision;

/// Records that a command was sent. A load counts against the rate.
auto record_command_sent(target_commands& commands, weight_load_rate& rate,
                         const command_decision& sent, time_point now) -> void;

/// Result of a command. With `lost` no answer arrived.
enum class command_result { accepted, stale_fencing_token, failed, lost };

/// Records the result of a command. An accepted one stays in progress until a report shows its
/// effect, a lost one until a report was read. A refused or failed one ends, and the engine's state
/// is read before the next. `current_fencing_token` is the engine's token from a 409 answer.
auto record_command_result(target_commands& commands, command_result result,
                           std::uint64_t current_fencing_token, time_point now) -> void;

/// Compares a report with the command in progress. The command ends when the report shows its
/// effect, when the target has restarted, or when the report was read after the command timed out.
auto record_report(target_commands& commands, const reported_state& reported) -> void;

/// Formats the decision for the log: target, action, reason, item, version, fencing token.
auto describe(const command_decision& decision, std::string_view target) -> std::string;

} // namespace cyclamenpost
