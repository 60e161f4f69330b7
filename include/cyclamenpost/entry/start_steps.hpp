#pragma once

#include <array>
#include <optional>

#include "cyclamenpost/core/metrics.hpp"
#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// What a starting instance does for the first time.
enum class start_step {
    /// Callers can connect.
    listening,
    /// Another instance is known.
    first_contact,
    /// The store's whole listing has been read.
    first_listing,
    /// A configuration is in force.
    configuration,
    /// A target is known.
    targets,
    ready,
    /// A request was handed to a target.
    first_sent,
    /// A request was served.
    first_answer,
};

inline constexpr std::array start_step_names{
    enum_name<start_step>{start_step::listening, "listening"},
    enum_name<start_step>{start_step::first_contact, "first_contact"},
    enum_name<start_step>{start_step::first_listing, "first_listing"},
    enum_name<start_step>{start_step::configuration, "configuration"},
    enum_name<start_step>{start_step::targets, "targets"},
    enum_name<start_step>{start_step::ready, "ready"},
    enum_name<start_step>{start_step::first_sent, "first_sent"},
    enum_name<start_step>{start_step::first_answer, "first_answer"},
};

/// When each step of a start was first done.
struct start_steps {
    /// Start of the process.
    time_point begun{};
    std::array<std::optional<time_point>, start_step_names.size()> done;
};

/// Records a step, unless it was done before. Returns whether it is new.
auto note_step(start_steps& steps, start_step step, time_point now) -> bool;

/// Time from the start of the process to a step; nothing if it has not been done.
auto time_to_step(const start_steps& steps, start_step step) -> std::optional<duration>;

/// Age of this process as the kernel has it, in steps of 10 ms; zero if it cannot be read.
auto process_age() -> duration;

/// Writes the line `started` with the time of each step in milliseconds, empty for those that have
/// not been done.
auto log_start(const start_steps& steps) -> void;

/// Sets one gauge for each step that has been done.
auto set_start_gauges(const start_steps& steps, metric_registry& metrics) -> void;

} // namespace cyclamenpost
