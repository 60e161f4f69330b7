#pragma once

#include <set>
#include <string>
#include <vector>

#include "cyclamenpost/core/history.hpp"

namespace cyclamenpost::fakes {

/// Bounds of the checks (design section 1).
struct check_bounds {
    /// Highest load of an engine, as a multiple of the mean load of all engines.
    double load_multiple = 1.25;
    /// Greatest age of the mean load that a gate may use (design section 4.2).
    duration mean_age = std::chrono::seconds{5};
    /// Time after which a leaving target or a zone that is out receives no new work.
    duration stop_delay = std::chrono::seconds{3};
    /// Time after which an accepted configuration is in force everywhere.
    duration config_delay = std::chrono::seconds{10};
};

/// Result of checking one invariant.
struct check_outcome {
    std::string name;
    /// Cases to which the invariant applied. A check without any proves nothing.
    std::size_t judged = 0;
    std::size_t violations = 0;
    /// Description of the first violation, and the last events that led to it.
    std::string first_violation;
    std::vector<history_event> extract;
};

/// Checks every invariant. The events of all processes may be in any order.
auto check_events(std::vector<history_event> events, const check_bounds& bounds)
    -> std::vector<check_outcome>;

/// Reads a history file. A last line without a line end is ignored: it belongs to a process that
/// was killed while writing. Fails with `history_unreadable`.
auto read_history(const std::string& path) -> result<std::vector<history_event>>;

/// Whether a check found no violation and judged at least one case, unless its name is in
/// `allow_empty`.
auto check_passed(const check_outcome& outcome, const std::set<std::string>& allow_empty) -> bool;

/// Formats one line for the check, followed by the first violation and its extract if there is
/// one. Scripts match this text.
auto format_outcome(const check_outcome& outcome, const std::set<std::string>& allow_empty)
    -> std::string;

} // namespace cyclamenpost::fakes
