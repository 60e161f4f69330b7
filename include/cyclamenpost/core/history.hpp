#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// One event of a history file, from which the history checker verifies the guarantees of the
/// fleet. Empty strings and zero numbers are omitted from the file. Times come from the host's
/// monotonic clock, so the files of all processes of one host can be merged.
struct history_event {
    /// Monotonic time in microseconds; `history_writer::write` sets it if it is 0.
    std::int64_t at_us = 0;
    /// Kind of event, for example "run_start"; docs/proving.md lists the kinds.
    std::string event;
    std::string request;
    std::int64_t attempt = 0;
    std::string instance;
    std::string incarnation;
    std::string target;
    std::string target_incarnation;
    std::uint64_t config_version = 0;
    std::int64_t cost = 0;
    std::string organisation;
    std::string chat;
    std::string key;
    /// Hash of the request content. The caller and the target record the same value.
    std::string content;
    std::string zone;
    /// Result of a call or run, for example "complete" or "not_run".
    std::string outcome;
    /// Number whose meaning depends on the kind of event, for example requests in progress.
    std::int64_t count = 0;
    std::string detail;
};

/// Formats an event as one line of JSON without the trailing newline.
auto format_event(const history_event& event) -> std::string;

/// Parses one line of a history file. Fails with `history_unreadable` if it is not an event.
auto parse_event(std::string_view line) -> result<history_event>;

/// Appends events to a file as one JSON object per line. Each event is flushed before the call
/// returns, so that a killed process loses none. A writer without an open file ignores all events.
class history_writer {
public:
    /// Opens the file for appending. With an empty path, the writer records nothing. Fails with
    /// `history_unreadable` if the file cannot be opened.
    auto open(const std::string& path) -> result<void>;

    /// Appends the event and sets its time if that is 0.
    auto write(history_event event) -> void;

private:
    std::ofstream file_;
};

} // namespace cyclamenpost
