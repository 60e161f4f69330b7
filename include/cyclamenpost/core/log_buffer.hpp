#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Bounds of log lines that wait for a slow reader.
struct log_buffer_settings {
    /// Bytes of lines of all levels.
    std::size_t max_bytes = std::size_t{64} << 10U;
    /// Further bytes for warnings and errors.
    std::size_t reserved_bytes = std::size_t{32} << 10U;
};

/// Log lines that wait until the reader takes them. A reader that stops costs lines, never time:
/// lines beyond the bounds are counted and dropped, and the count is written later.
struct log_buffer {
    log_buffer_settings settings;
    std::string bytes;
    std::uint64_t dropped = 0;
};

/// Adds a line with its end. Returns false when it was dropped.
auto add_line(log_buffer& buffer, log_level level, std::string_view line) -> bool;

/// Removes bytes that the reader has taken.
auto remove_written(log_buffer& buffer, std::size_t count) -> void;

/// Bounds the lines about requests that were served well; those about others are never left out.
struct line_sampler {
    /// Lines a second; a fully loaded instance serves about this many requests.
    std::uint32_t max_lines_per_second = 100;
    std::int64_t current_second = -1;
    std::uint32_t lines_in_second = 0;
    std::uint64_t suppressed = 0;
};

/// Whether a line about a served request may be written now.
auto sample_line(line_sampler& sampler, time_point now) -> bool;

} // namespace cyclamenpost
