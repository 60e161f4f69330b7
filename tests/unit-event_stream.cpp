#include <doctest/doctest.h>

#include <vector>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/transport/event_stream.hpp"

using namespace cyclamenpost;

TEST_CASE("events split at any byte are reported complete and in order")
{
    const auto text =
        std::string("data: a\n\nevent: load\r\ndata: {\"x\":1}\r\n\r\ndata: [DONE]\n\n");
    for (auto size = std::size_t{1}; size <= text.size(); ++size) {
        auto stream = event_stream_parser{};
        auto seen = std::string{};
        auto raw = std::string{};
        for (auto at = std::size_t{0}; at < text.size(); at += size) {
            feed(stream, std::string_view(text).substr(at, size), [&](const stream_event& event) {
                seen += std::string(event.name) + "=" + std::string(event.data) + ";";
                raw += event.raw;
            });
        }
        CHECK(seen == "=a;load={\"x\":1};=[DONE];");
        CHECK(raw == text);
    }
}

TEST_CASE("an unterminated event larger than the limit is rejected")
{
    auto stream = event_stream_parser{};
    stream.max_event_bytes = 100;
    CHECK(feed(stream, std::string(100, 'x'), [](const stream_event&) {}));
    CHECK(!feed(stream, "y", [](const stream_event&) {}));
}

TEST_CASE("a value with a line break cannot forge a second log line")
{
    const auto line = format_event("route", {{"chat", "a\nevent=forged"}, {"zone", "a"}});
    CHECK(line == "event=route chat=\"a event=forged\" zone=a");
}
