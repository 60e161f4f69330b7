#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "cyclamenpost/core/error.hpp"

namespace cyclamenpost {

/// Severity of a log line, in ascending order.
enum class log_level { debug, info, warning, error };

inline constexpr std::array log_level_names{
    enum_name<log_level>{log_level::debug, "debug"},
    enum_name<log_level>{log_level::info, "info"},
    enum_name<log_level>{log_level::warning, "warning"},
    enum_name<log_level>{log_level::error, "error"},
};

/// One key-value pair of a structured log line.
struct log_field {
    std::string_view key;
    std::string value;
};

/// Starts logging to a file descriptor, by default standard output, and makes it non-blocking.
/// Lines below `level` are discarded. Logging never blocks: lines for a slow reader are kept in a
/// bounded buffer; lines that exceed it are counted and dropped.
auto start_logging(log_level level, int descriptor = 1) -> void;

/// Writes as many buffered lines as the descriptor accepts without blocking. Call it periodically.
auto flush_log() -> void;

/// Flushes the log and ends the process without running static destructors: the one of log4cplus
/// waits for its thread pool, which delays a restart of the instance by seconds.
[[noreturn]] auto exit_process(int status) -> void;

/// Writes one line "event=<event> key=value ...". Values that are empty or contain spaces, quotes,
/// equals signs, backslashes or line breaks are quoted. Callers must not pass tokens, message
/// bodies or secrets.
auto log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
    -> void;

/// Writes a line of level `error` with the id, step, peer and message of `failure`.
auto log_error(std::string_view event, const error& failure) -> void;

/// Formats the text that `log_event` writes, without time and level.
auto format_event(std::string_view event, std::initializer_list<log_field> fields) -> std::string;

} // namespace cyclamenpost
