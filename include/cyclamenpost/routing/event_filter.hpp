#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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
};

/// Adds bytes of the stream and returns the complete events to forward.
auto filter_events(event_filter& filter, std::string_view bytes) -> std::string;

/// Whether the bytes received so far end with a complete event.
auto at_event_boundary(const event_filter& filter) -> bool;

/// Prepares for a stream from another target, which continues after the last forwarded event.
auto begin_resumed_stream(event_filter& filter) -> void;

} // namespace cyclamenpost
