#include "cyclamenpost/core/log_buffer.hpp"

namespace cyclamenpost {

auto add_line(log_buffer& buffer, log_level level, std::string_view line) -> bool
{
    const auto uses_reserve = level >= log_level::warning;
    const auto limit =
        buffer.settings.max_bytes + (uses_reserve ? buffer.settings.reserved_bytes : 0);
    if (buffer.bytes.size() + line.size() > limit) {
        ++buffer.dropped;
        return false;
    }
    buffer.bytes += line;
    return true;
}

auto remove_written(log_buffer& buffer, std::size_t count) -> void
{
    buffer.bytes.erase(0, count);
    if (buffer.dropped > 0 && buffer.bytes.size() < buffer.settings.max_bytes / 2) {
        buffer.bytes +=
            "WARN event=log_lines_dropped count=" + std::to_string(buffer.dropped) + '\n';
        buffer.dropped = 0;
    }
}

auto sample_line(line_sampler& sampler, time_point now) -> bool
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != sampler.current_second) {
        sampler.current_second = second;
        sampler.lines_in_second = 0;
    }
    if (sampler.lines_in_second >= sampler.max_lines_per_second) {
        ++sampler.suppressed;
        return false;
    }
    ++sampler.lines_in_second;
    return true;
}

} // namespace cyclamenpost
