#pragma once

#include <set>
#include <string>
#include <vector>

#include "cyclamenpost/core/history.hpp"

namespace cyclamenpost::fakes {

/// Bounds of the checks, as stated in design section 1.
struct check_bounds {
    double load_multiple = 1.25;
    /// Age of the mean load that a gate may use (design section 4.2).
    duration mean_age = std::chrono::seconds{5};
    /// Time after which a leaving target or a zone that is out receives no new work.
    duration stop_delay = std::chrono::seconds{3};
    /// Time after which an accepted configuration is in force everywhere.
    duration config_delay = std::chrono::seconds{10};
};

/// Judgement of one invariant.
struct check_outcome {
    std::string name;
    /// Events that the check judged; a check that judged none proves nothing.
    std::size_t judged = 0;
    std::size_t violations = 0;
    /// What is wrong with the first violation, and the events that show it.
    std::string fault;
    std::vector<history_event> extract;
};

/// Judges every invariant. The events of all processes may be given in any order.
auto check_events(std::vector<history_event> events, const check_bounds& bounds)
    -> std::vector<check_outcome>;

/// Reads a history file. A last line without a line end is ignored, since its process was killed
/// while writing. Fails with `history_unreadable`.
auto read_history(const std::string& path) -> result<std::vector<history_event>>;

/// Whether a check found no violation and judged something or may be empty.
auto check_passed(const check_outcome& outcome, const std::set<std::string>& allow_empty) -> bool;

/// One line for the check, followed by the extract if it failed.
auto format_outcome(const check_outcome& outcome, const std::set<std::string>& allow_empty)
    -> std::string;

} // namespace cyclamenpost::fakes
