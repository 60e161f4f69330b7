#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenpost {

/// Cuts a stream of server-sent events into whole events, so that a stream that breaks in the
/// middle of one can go on elsewhere. Events up to `last_event` are left out.
struct event_filter {
    std::string partial;
    std::optional<std::uint64_t> last_event;
    std::uint64_t passed = 0;
    /// An event did not follow its predecessor; the stream cannot go on.
    bool gap = false;
};

/// Adds bytes of the stream and returns the whole events that are to be passed on.
auto filter_events(event_filter& filter, std::string_view bytes) -> std::string;

/// Whether the stream ended between two events.
auto at_event_boundary(const event_filter& filter) -> bool;

/// Begins the stream of another target behind the events that were passed on.
auto begin_resumed_stream(event_filter& filter) -> void;

} // namespace cyclamenpost
