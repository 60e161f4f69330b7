#include "cyclamenpost/transport/event_stream.hpp"

namespace cyclamenpost {

namespace {

auto value_of(std::string_view line, std::size_t colon) -> std::string_view
{
    auto value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

/// Parses the name and data of one event. Engines send one data line per event; of several lines,
/// only the last is used.
auto parse_event(std::string_view raw) -> stream_event
{
    auto event = stream_event{{}, {}, raw};
    auto rest = raw;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        auto line = rest.substr(0, end);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) {
            continue;
        }
        const auto field = line.substr(0, colon);
        if (field == "event") {
            event.name = value_of(line, colon);
        }
        else if (field == "data") {
            event.data = value_of(line, colon);
        }
    }
    return event;
}

/// Position after the blank line that ends the first event, or npos.
auto event_end(std::string_view bytes) -> std::size_t
{
    const auto lf_end = bytes.find("\n\n");
    const auto crlf_end = bytes.find("\r\n\r\n");
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
        return std::string_view::npos;
    }
    return lf_end < crlf_end ? lf_end + 2 : crlf_end + 4;
}

} // namespace

auto feed(event_stream_parser& stream, std::string_view bytes,
          const std::function<void(const stream_event&)>& on_event) -> bool
{
    stream.buffer += bytes;
    auto rest = std::string_view(stream.buffer);
    while (true) {
        const auto end = event_end(rest);
        if (end == std::string_view::npos) {
            break;
        }
        on_event(parse_event(rest.substr(0, end)));
        rest.remove_prefix(end);
    }
    stream.buffer.erase(0, stream.buffer.size() - rest.size());
    return stream.buffer.size() <= stream.max_event_bytes;
}

} // namespace cyclamenpost
