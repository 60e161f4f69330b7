#include "cyclamenpost/routing/event_filter.hpp"

#include <algorithm>
#include <charconv>

namespace cyclamenpost {

namespace {

constexpr std::size_t max_spare_bytes = 16384;

/// Length of the first complete event including the empty line that ends it; 0 without one. The
/// first `searched` bytes are known to contain no end of an event.
auto first_event_size(std::string_view text, std::size_t searched) -> std::size_t
{
    for (auto end = text.find('\n', searched); end != std::string_view::npos;
         end = text.find('\n', end + 1)) {
        const auto rest = text.substr(end + 1);
        if (rest.starts_with('\n')) {
            return end + 2;
        }
        if (rest.starts_with("\r\n")) {
            return end + 3;
        }
    }
    return 0;
}

/// Whether one of the event's lines is a data field; an event without one is a comment.
auto has_data(std::string_view event) -> bool
{
    return event.starts_with("data") || event.find("\ndata") != std::string_view::npos;
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
    // the line end that precedes an empty line may have been the last one or two bytes
    constexpr auto overlap = std::size_t{2};
    auto searched = filter.partial.size() - std::min(filter.partial.size(), overlap);
    filter.partial += bytes;
    auto complete = std::string{};
    auto rest = std::string_view{filter.partial};
    for (auto size = first_event_size(rest, searched); size > 0 && !filter.gap;
         size = first_event_size(rest, searched)) {
        const auto event = rest.substr(0, size);
        rest.remove_prefix(size);
        searched = 0;
        const auto id = event_id(event);
        if (id) {
            filter.attempt_last = std::max(filter.attempt_last.value_or(0), *id);
        }
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
        filter.passed += has_data(event) ? 1 : 0;
        complete += event;
    }
    filter.partial.erase(0, filter.partial.size() - rest.size());
    // a large event must not leave its memory with a stream of small ones
    if (filter.partial.capacity() > filter.partial.size() + max_spare_bytes) {
        filter.partial.shrink_to_fit();
    }
    filter.oversized = filter.oversized || filter.partial.size() > filter.max_event_bytes;
    return complete;
}

auto at_event_boundary(const event_filter& filter) -> bool
{
    return filter.partial.find_first_not_of("\r\n") == std::string::npos;
}

auto judge_stream_end(const event_filter& filter, bool ends_with_connection) -> stream_end
{
    if (!at_event_boundary(filter)) {
        return stream_end::within_event;
    }
    if (filter.passed > filter.passed_before) {
        return stream_end::whole;
    }
    if (filter.attempt_last) {
        const auto reached_caller =
            !filter.last_event || *filter.attempt_last >= *filter.last_event;
        return reached_caller && !filter.next_begun ? stream_end::whole : stream_end::too_early;
    }
    const auto continues = filter.passed > 0 || filter.next_begun;
    return continues || ends_with_connection ? stream_end::empty : stream_end::whole;
}

auto begin_attempt(event_filter& filter) -> void
{
    // an event that is repeated from the start may be cut before the caller's last one is reached
    const auto cut_at_next = !at_event_boundary(filter) && filter.attempt_last == filter.last_event;
    const auto known_before = filter.next_begun && filter.passed == filter.passed_before;
    filter.next_begun = cut_at_next || known_before;
    filter.partial.clear();
    filter.passed_before = filter.passed;
    filter.attempt_last.reset();
}

} // namespace cyclamenpost
