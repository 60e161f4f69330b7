#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cyclamenpost {

/// One server-sent event. `raw` holds all its bytes, including the terminating blank line. The
/// views are valid only during the callback.
struct stream_event {
    std::string_view name;
    std::string_view data;
    std::string_view raw;
};

/// Incremental parser of server-sent events (WHATWG HTML, section 9.2).
struct event_stream_parser {
    /// Bytes of the event that is still incomplete.
    std::string buffer;
    /// Maximum size of an event in bytes; a larger one makes `feed` return false.
    std::size_t max_event_bytes = 1U << 20U;
};

/// Adds bytes and calls `on_event` for each event that they complete. Returns false when the
/// incomplete event exceeds the limit.
auto feed(event_stream_parser& stream, std::string_view bytes,
          const std::function<void(const stream_event&)>& on_event) -> bool;

} // namespace cyclamenpost
