#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cyclamenpost/routing/event_filter.hpp"

using namespace cyclamenpost;

namespace {

const auto fixed_seed = setenv("RC_PARAMS", "seed=4107", 0);

auto event(std::uint64_t id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

auto events(std::uint64_t first, std::uint64_t last) -> std::string
{
    auto text = std::string{};
    for (auto id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

} // namespace

TEST_CASE("event_filter: an incomplete event is held back until it is complete")
{
    auto filter = event_filter{};
    const auto text = event(1);
    CHECK(filter_events(filter, text.substr(0, 8)).empty());
    CHECK_FALSE(at_event_boundary(filter));
    CHECK(filter_events(filter, text.substr(8)) == text);
    CHECK(at_event_boundary(filter));
}

TEST_CASE("event_filter: a stream interrupted within an event resumes without loss or duplicates")
{
    const auto whole = events(1, 9);
    CHECK(rc::check("resume", [&] {
        auto filter = event_filter{};
        const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
        auto forwarded = filter_events(filter, whole.substr(0, cut));
        begin_attempt(filter);
        const auto next = filter.last_event.value_or(0) + 1;
        // the next target may repeat events that were forwarded already
        const auto from = *rc::gen::inRange<std::uint64_t>(1, next + 1);
        forwarded += filter_events(filter, events(from, 9));
        RC_ASSERT(forwarded == whole);
        RC_ASSERT(!filter.gap);
    }));
}

TEST_CASE("event_filter: a skipped event id ends the stream")
{
    auto filter = event_filter{};
    CHECK(filter_events(filter, event(1) + event(3)) == event(1));
    CHECK(filter.gap);
}

TEST_CASE("event_filter: only events after the caller's last one are forwarded")
{
    auto filter = event_filter{};
    filter.last_event = 4;
    CHECK(filter_events(filter, events(3, 6)) == events(5, 6));
}

TEST_CASE("event_filter: lines may end with CRLF")
{
    auto filter = event_filter{};
    CHECK(filter_events(filter, "id: 1\r\ndata: x\r\n\r\nid: 2\r\n") == "id: 1\r\ndata: x\r\n\r\n");
}

TEST_CASE("event_filter: bytes without the end of an event are bounded and searched once")
{
    auto filter = event_filter{};
    const auto line = "data: " + std::string(16'000, 'x') + "\n";
    auto received = std::size_t{0};
    while (!filter.oversized && received < std::size_t{64} << 20U) {
        filter_events(filter, line);
        received += line.size();
    }
    CHECK(filter.oversized);
    CHECK(filter.partial.size() <= filter.max_event_bytes + line.size());
}

TEST_CASE("event_filter: the end of an event is found wherever the bytes are divided")
{
    const auto text =
        std::string{"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: c\n\r\nid: 3\ndata: d\n\n"};
    for (auto first = std::size_t{0}; first <= text.size(); ++first) {
        for (auto second = first; second <= text.size(); ++second) {
            auto filter = event_filter{};
            auto forwarded = filter_events(filter, text.substr(0, first));
            forwarded += filter_events(filter, text.substr(first, second - first));
            forwarded += filter_events(filter, text.substr(second));
            REQUIRE(forwarded == text);
            REQUIRE(filter.passed == 3);
        }
    }
}

TEST_CASE("event_filter: comments are forwarded but do not count as events")
{
    auto filter = event_filter{};
    CHECK(filter_events(filter, ": keep-alive\n\n") == ": keep-alive\n\n");
    CHECK(filter.passed == 0);
    filter_events(filter, event(1));
    CHECK(filter.passed == 1);
}

TEST_CASE("event_filter: a stream that repeats events is judged by those that the caller has")
{
    auto filter = event_filter{};
    filter_events(filter, events(1, 4) + event(5).substr(0, 8));
    CHECK(judge_stream_end(filter, false) == stream_end::within_event);
    begin_attempt(filter);
    CHECK(filter.next_begun);
    filter_events(filter, events(1, 2) + event(3).substr(0, 8));
    CHECK(judge_stream_end(filter, false) == stream_end::within_event);
    // the third attempt still has to show the event that the first one had begun
    begin_attempt(filter);
    CHECK(filter.next_begun);
    filter_events(filter, events(1, 4));
    CHECK(judge_stream_end(filter, false) == stream_end::too_early);
    filter_events(filter, event(5));
    CHECK(judge_stream_end(filter, false) == stream_end::whole);
}

TEST_CASE("event_filter: a repeated event that is cut tells nothing of a further one")
{
    auto filter = event_filter{};
    filter_events(filter, events(1, 4));
    begin_attempt(filter);
    filter_events(filter, events(1, 2) + event(3).substr(0, 8));
    begin_attempt(filter);
    CHECK_FALSE(filter.next_begun);
    filter_events(filter, events(1, 4));
    CHECK(judge_stream_end(filter, false) == stream_end::whole);
}

TEST_CASE("event_filter: an answer to a caller that has all events may be empty")
{
    auto filter = event_filter{};
    filter.last_event = 6;
    begin_attempt(filter);
    CHECK(judge_stream_end(filter, false) == stream_end::whole);
    CHECK(judge_stream_end(filter, true) == stream_end::empty);
}
