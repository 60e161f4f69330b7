#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Splits a stream of server-sent events into complete events, so that a stream that is interrupted
/// within an event can be resumed at another target.
struct event_filter {
    /// Largest event that is buffered until it is complete, in bytes.
    std::size_t max_event_bytes = std::size_t{256} << 10U;
    /// Bytes of an incomplete event.
    std::string partial;
    /// Id of the last event that the caller has; events up to it are dropped.
    std::optional<std::uint64_t> last_event;
    /// Number of events with data that were forwarded; comments are forwarded but not counted.
    std::uint64_t passed = 0;
    /// An event id was skipped; the stream cannot continue.
    bool gap = false;
    /// An event exceeds `max_event_bytes`; the stream cannot continue.
    bool oversized = false;

    // the attempt in progress
    /// `passed` when it began.
    std::uint64_t passed_before = 0;
    /// Highest id of its events, also of dropped ones.
    std::optional<std::uint64_t> attempt_last;
    /// An earlier attempt broke off within the event after `last_event`, so there is such an event.
    bool next_begun = false;
};

/// What the end of a target's stream says of the whole stream.
enum class stream_end {
    /// All events have been received.
    whole,
    /// The stream ended within an event.
    within_event,
    /// The stream had no event that could tell that the target had reached its end.
    empty,
    /// The stream ended before the events that the caller has, or before one that had begun.
    too_early,
};

inline constexpr std::array stream_end_names{
    enum_name<stream_end>{stream_end::whole, "stream_complete"},
    enum_name<stream_end>{stream_end::within_event, "event_cut"},
    enum_name<stream_end>{stream_end::empty, "stream_empty"},
    enum_name<stream_end>{stream_end::too_early, "stream_not_continued"},
};

/// Adds bytes of the stream and returns the complete events to forward.
auto filter_events(event_filter& filter, std::string_view bytes) -> std::string;

/// Whether the bytes received so far end with a complete event.
auto at_event_boundary(const event_filter& filter) -> bool;

/// Judges a stream that ended properly. One without an event tells nothing: a target that is to
/// continue a stream, or whose stream ends with its connection, may just as well have failed.
auto judge_stream_end(const event_filter& filter, bool ends_with_connection) -> stream_end;

/// Prepares for a stream from a target, which begins it or continues after the last forwarded
/// event.
auto begin_attempt(event_filter& filter) -> void;

} // namespace cyclamenpost
