#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace cyclamenpost {

/// One server-sent event. `raw` holds its bytes with the blank line that ends it.
struct stream_event {
    std::string_view name;
    std::string_view data;
    std::string_view raw;
};

/// Splits a stream of server-sent events (WHATWG HTML, section 9.2) that arrives in pieces.
struct event_stream_parser {
    std::string buffer;
    /// Longest event in bytes; a longer one makes `feed` return false.
    std::size_t max_event_bytes = 1U << 20U;
};

/// Adds bytes and calls `on_event` for each event that is now complete. Returns false when an
/// event exceeds the limit.
auto feed(event_stream_parser& stream, std::string_view bytes,
          const std::function<void(const stream_event&)>& on_event) -> bool;

} // namespace cyclamenpost
