#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Size limits of a log buffer.
struct log_buffer_settings {
    /// Limit in bytes for lines of all levels.
    std::size_t max_bytes = std::size_t{64} << 10U;
    /// Additional bytes that only warnings and errors may use.
    std::size_t reserved_bytes = std::size_t{32} << 10U;
};

/// Log lines that have not been written yet. A slow reader never blocks the process: lines that
/// exceed the limits are dropped, and their number is logged once there is room again.
struct log_buffer {
    log_buffer_settings settings;
    /// Complete lines with their line ends; the first may be written in part.
    std::string bytes;
    /// Lines dropped since the last report in the log.
    std::uint64_t dropped = 0;
};

/// Appends a line, which includes its line end. Returns false if it was dropped.
auto add_line(log_buffer& buffer, log_level level, std::string_view line) -> bool;

/// Removes the first `count` bytes after they were written. Once the buffer is less than half full,
/// appends a line with the number of dropped lines, if any.
auto remove_written(log_buffer& buffer, std::size_t count) -> void;

/// Limits the rate of log lines about successful requests. Lines about other requests are not
/// sampled.
struct line_sampler {
    /// A fully loaded instance serves about this many requests per second.
    std::uint32_t max_lines_per_second = 100;
    /// Monotonic second to which `lines_in_second` belongs.
    std::int64_t current_second = -1;
    std::uint32_t lines_in_second = 0;
    /// Lines suppressed since the start.
    std::uint64_t suppressed = 0;
};

/// Whether a line about a successful request may be written at `now`; counts the line.
auto sample_line(line_sampler& sampler, time_point now) -> bool;

} // namespace cyclamenpost
