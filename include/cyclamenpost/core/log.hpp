#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "cyclamenpost/core/error.hpp"

namespace cyclamenpost {

/// Severity of a log line, from most to least detailed.
enum class log_level { debug, info, warning, error };

inline constexpr std::array log_level_names{
    enum_name<log_level>{log_level::debug, "debug"},
    enum_name<log_level>{log_level::info, "info"},
    enum_name<log_level>{log_level::warning, "warning"},
    enum_name<log_level>{log_level::error, "error"},
};

/// One key and value of a structured log line.
struct log_field {
    std::string_view key;
    std::string value;
};

/// Starts logging to a descriptor, standard output unless another is named. Lines below `level` are
/// dropped. Writing never blocks: lines that a slow reader leaves behind wait in a bounded buffer
/// and are then counted and dropped.
auto start_logging(log_level level, int descriptor = 1) -> void;

/// Hands waiting lines to the reader, as far as it takes them. Called now and then by the loop.
auto flush_log() -> void;

/// Writes the waiting lines and ends the process without static destructors: log4cplus waits there
/// for its thread pool, seconds in which the instance cannot start again.
[[noreturn]] auto exit_process(int status) -> void;

/// Writes one line "event=<event> key=value ...". Values with spaces or quotes are quoted. Callers
/// pass no tokens, message bodies or secrets.
auto log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
    -> void;

/// Writes an error with its id, step and peer.
auto log_error(std::string_view event, const error& failure) -> void;

/// Formats the line that `log_event` writes.
auto format_event(std::string_view event, std::initializer_list<log_field> fields) -> std::string;

} // namespace cyclamenpost
