#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// What an engine is told to do.
enum class order_action { none, read_back, load_model, load_adapter, set_role };

inline constexpr std::array order_action_names{
    enum_name<order_action>{order_action::none, "none"},
    enum_name<order_action>{order_action::read_back, "read_back"},
    enum_name<order_action>{order_action::load_model, "load_model"},
    enum_name<order_action>{order_action::load_adapter, "load_adapter"},
    enum_name<order_action>{order_action::set_role, "set_role"},
};

/// Why a decision about orders was taken; names appear in its log line.
enum class order_reason {
    nothing_missing,
    model_missing,
    adapter_missing,
    role_differs,
    order_in_progress,
    target_gone,
    target_leaving,
    not_primary,
    backup_silent,
    state_not_read,
    load_rate,
    backoff,
};

inline constexpr std::array order_reason_names{
    enum_name<order_reason>{order_reason::nothing_missing, "nothing_missing"},
    enum_name<order_reason>{order_reason::model_missing, "model_missing"},
    enum_name<order_reason>{order_reason::adapter_missing, "adapter_missing"},
    enum_name<order_reason>{order_reason::role_differs, "role_differs"},
    enum_name<order_reason>{order_reason::order_in_progress, "order_in_progress"},
    enum_name<order_reason>{order_reason::target_gone, "target_gone"},
    enum_name<order_reason>{order_reason::target_leaving, "target_leaving"},
    enum_name<order_reason>{order_reason::not_primary, "not_primary"},
    enum_name<order_reason>{order_reason::backup_silent, "backup_silent"},
    enum_name<order_reason>{order_reason::state_not_read, "state_not_read"},
    enum_name<order_reason>{order_reason::load_rate, "load_rate"},
    enum_name<order_reason>{order_reason::backoff, "backoff"},
};

/// A model or adapter that should be loaded, in a version.
struct wanted_item {
    std::string name;
    std::string version;
    /// Cost units waiting for it; the item with the most is loaded first.
    std::uint64_t demand = 0;
};

/// What the operator text and the demand ask of a target.
struct wanted_state {
    std::vector<wanted_item> models;
    std::vector<wanted_item> adapters;
    /// Empty when any role will do.
    std::string role;
};

/// A target's own report.
struct reported_state {
    incarnation_id incarnation = 0;
    target_state state = target_state::cold;
    std::uint64_t fence = 0;
    std::vector<wanted_item> models;
    std::vector<wanted_item> adapters;
    std::string role;
    time_point read;
};

/// Position of this gate towards the target.
struct order_authority {
    bool primary = false;
    /// The backup acknowledges the lease, or the list names no backup and the wait is over.
    bool backup_acknowledges = false;
    std::uint64_t list_version = 0;
    /// From the operator text.
    bool checks_fencing = false;
};

/// An order that was given and not yet answered or seen in a report.
struct given_order {
    order_action action = order_action::none;
    std::string item;
    std::string version;
    std::uint64_t fence = 0;
    incarnation_id incarnation = 0;
    time_point given;
};

/// Orders of one target.
struct target_orders {
    std::optional<given_order> in_progress;
    /// A report must be newer than this before the next order.
    std::optional<time_point> read_after;
    std::uint64_t highest_fence = 0;
    std::uint32_t failures = 0;
    time_point not_before;
};

/// This gate instance's share of the weight store.
struct load_rate {
    /// Loads per second that the weight store allows to the whole fleet.
    double fleet_per_second = 1.0;
    /// Gates that share the rate.
    std::size_t gates = 1;
    time_point next_load;
};

/// Longest time between two loads of one gate, so that a large fleet still makes progress.
inline constexpr duration max_load_interval = std::chrono::seconds{5};

/// Time within which an order must be answered; then its outcome is read back from the engine.
inline constexpr duration order_timeout = std::chrono::seconds{60};

/// Time between two loads of this gate.
auto load_interval(const load_rate& rate) -> duration;

/// Fencing number of the next order: above the engine's and above those of older lists.
auto next_fence(std::uint64_t reported, std::uint64_t highest_given, std::uint64_t list_version)
    -> std::uint64_t;

/// Decision about one target, with everything its log line needs.
struct order_decision {
    order_action action = order_action::none;
    order_reason reason = order_reason::nothing_missing;
    std::string item;
    std::string version;
    std::uint64_t fence = 0;
    incarnation_id incarnation = 0;
};

/// Decides which order, if any, a target is given now.
auto decide_order(const wanted_state& wanted, const reported_state& reported,
                  const order_authority& authority, const target_orders& orders,
                  const load_rate& rate, time_point now) -> order_decision;

/// Notes that an order was handed to the target; a load takes its share of the rate.
auto note_order_given(target_orders& orders, load_rate& rate, const order_decision& given,
                      time_point now) -> void;

/// How a target answered an order.
enum class order_answer { accepted, stale_fence, failed, lost };

/// Notes the answer. An accepted order stays in progress until a report shows its effect, and a
/// lost one until a report was read. A refused or failed one ends, and the engine's state is read
/// before the next; `current_fence` is the engine's number in a 409.
auto note_order_answer(target_orders& orders, order_answer answer, std::uint64_t current_fence,
                       time_point now) -> void;

/// Compares a report with the order in progress: the order ends when its effect shows, when the
/// target restarted, or when the report was read after the order's time limit.
auto note_report(target_orders& orders, const reported_state& reported) -> void;

/// Formats the decision for the log: target, action, item, fence, reason.
auto describe(const order_decision& decision, std::string_view target) -> std::string;

} // namespace cyclamenpost
