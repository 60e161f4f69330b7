#include "cyclamenpost/routing/event_filter.hpp"

#include <charconv>

namespace cyclamenpost {

namespace {

/// Length of the first complete event including the empty line that ends it; 0 without one.
auto first_event_size(std::string_view text) -> std::size_t
{
    const auto lf_end = text.find("\n\n");
    const auto crlf_end = text.find("\r\n\r\n");
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
        return 0;
    }
    return crlf_end < lf_end ? crlf_end + 4 : lf_end + 2;
}

auto event_id(std::string_view event) -> std::optional<std::uint64_t>
{
    for (auto at = std::size_t{0}; at < event.size();) {
        const auto end = event.find('\n', at);
        const auto line = event.substr(at, end - at);
        if (line.starts_with("id:")) {
            auto digits = line.substr(3);
            while (digits.starts_with(' ')) {
                digits.remove_prefix(1);
            }
            auto id = std::uint64_t{0};
            const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), id);
            return parsed.ec == std::errc{} ? std::optional{id} : std::nullopt;
        }
        if (end == std::string_view::npos) {
            break;
        }
        at = end + 1;
    }
    return std::nullopt;
}

} // namespace

auto filter_events(event_filter& filter, std::string_view bytes) -> std::string
{
    filter.partial += bytes;
    auto complete = std::string{};
    auto rest = std::string_view{filter.partial};
    for (auto size = first_event_size(rest); size > 0 && !filter.gap;
         size = first_event_size(rest)) {
        const auto event = rest.substr(0, size);
        rest.remove_prefix(size);
        const auto id = event_id(event);
        if (id && filter.last_event && *id <= *filter.last_event) {
            continue;
        }
        if (id && filter.last_event && *id > *filter.last_event + 1) {
            filter.gap = true;
            break;
        }
        if (id) {
            filter.last_event = id;
        }
        ++filter.passed;
        complete += event;
    }
    filter.partial.erase(0, filter.partial.size() - rest.size());
    return complete;
}

auto at_event_boundary(const event_filter& filter) -> bool
{
    return filter.partial.find_first_not_of("\r\n") == std::string::npos;
}

auto begin_resumed_stream(event_filter& filter) -> void
{
    filter.partial.clear();
}

} // namespace cyclamenpost
