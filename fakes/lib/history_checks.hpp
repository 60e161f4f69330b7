#pragma once

#include <map>

#include "history_checker.hpp"

namespace cyclamenpost::fakes::detail {

using event_list = std::vector<history_event>;

/// All events in order of time, and those of each content hash.
struct history_view {
    event_list events;
    std::map<std::string, event_list> by_content;
};

/// Counts a violation and keeps the description and extract of the first one.
auto add_violation(check_outcome& outcome, const std::string& description, event_list extract)
    -> void;

/// Every answered call has the expected content and was preceded by a complete run of this
/// content.
auto check_whole_answer(const history_view& view) -> check_outcome;

/// No attempt that was refused as not run has a run, neither before nor after the refusal.
auto check_not_run(const history_view& view) -> check_outcome;

/// At most one run per idempotency key.
auto check_once_per_key(const history_view& view) -> check_outcome;

/// No start of a run raises an engine's load above the multiple of the mean.
auto check_load_bound(const history_view& view, const check_bounds& bounds) -> check_outcome;

/// No engine exits because of overload during a cold start.
auto check_cold_start(const history_view& view) -> check_outcome;

/// No run starts on a target that has been leaving for longer than the delay.
auto check_leaving_target(const history_view& view, const check_bounds& bounds) -> check_outcome;

/// No run starts in a zone that has been out for longer than the delay.
auto check_zone_out(const history_view& view, const check_bounds& bounds) -> check_outcome;

/// No call in progress at an instance was cut off by its graceful shutdown.
auto check_graceful_shutdown(const history_view& view) -> check_outcome;

/// Configuration versions never decrease at one process, and a caller sees no older version once
/// the delay after a newer one has passed.
auto check_config_versions(const history_view& view, const check_bounds& bounds) -> check_outcome;

} // namespace cyclamenpost::fakes::detail
