#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// One recorded event. Empty strings and zero numbers are left out of the file. Times come from
/// the host's monotonic clock, so the files of all processes of one host can be merged.
struct history_event {
    /// Monotonic microseconds; `history_writer` fills it in when it is 0.
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
    /// Hash of the request content, equal at caller and target.
    std::string content;
    std::string zone;
    /// Result of a call or run, for example "complete" or "not_run".
    std::string outcome;
    /// A number that belongs to the kind of event, for example requests in progress.
    std::int64_t count = 0;
    std::string detail;
};

/// Formats an event as one line of JSON without the line end.
auto format_event(const history_event& event) -> std::string;

/// Parses one line. Fails with `history_unreadable` when it is not an event.
auto parse_event(std::string_view line) -> result<history_event>;

/// Appends events to a file, one JSON object a line, each flushed before the call returns so that
/// a killed process loses none. A writer without a file ignores all events.
class history_writer {
public:
    /// Opens the file for appending; an empty path records nothing. Fails with
    /// `history_unreadable`.
    auto open(const std::string& path) -> result<void>;

    /// Appends the event.
    auto write(history_event event) -> void;

private:
    std::ofstream file_;
};

} // namespace cyclamenpost
