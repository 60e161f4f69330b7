#include <array>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/log_buffer.hpp"

using namespace cyclamenpost;

namespace {

/// A pipe whose reader reads only when `read_all` is called.
struct slow_pipe {
    int reader = -1;
    int writer = -1;

    slow_pipe()
    {
        auto ends = std::array<int, 2>{};
        REQUIRE(pipe(ends.data()) == 0);
        reader = ends[0];
        writer = ends[1];
        fcntl(reader, F_SETFL, O_NONBLOCK);
    }
    slow_pipe(const slow_pipe&) = delete;
    auto operator=(const slow_pipe&) -> slow_pipe& = delete;
    ~slow_pipe()
    {
        start_logging(log_level::error, 2);
        close(reader);
        close(writer);
    }

    auto read_all() const -> std::string
    {
        auto text = std::string{};
        auto buffer = std::array<char, 4096>{};
        for (auto count = read(reader, buffer.data(), buffer.size()); count > 0;
             count = read(reader, buffer.data(), buffer.size())) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }
};

auto occurrences(const std::string& text, std::string_view word) -> int
{
    auto count = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("log_buffer: a full buffer drops info lines before warnings and reports the number")
{
    auto buffer = log_buffer{};
    buffer.settings = {100, 50};
    CHECK(add_line(buffer, log_level::info, std::string(90, 'i')));
    CHECK_FALSE(add_line(buffer, log_level::info, std::string(20, 'i')));
    CHECK(add_line(buffer, log_level::warning, std::string(20, 'w')));
    CHECK_FALSE(add_line(buffer, log_level::error, std::string(60, 'e')));
    CHECK(buffer.dropped == 2);
    remove_written(buffer, 110);
    CHECK(buffer.bytes.find("log_lines_dropped count=2") != std::string::npos);
    CHECK(buffer.dropped == 0);
}

TEST_CASE("log_buffer: logging to a full pipe does not block, and dropped lines are reported later")
{
    const auto pipe = slow_pipe{};
    start_logging(log_level::info, pipe.writer);
    for (auto index = 0; index < 20'000; ++index) {
        log_event(log_level::info, "busy", {{"index", std::to_string(index)}});
    }
    auto text = pipe.read_all();
    flush_log();
    text += pipe.read_all();
    flush_log();
    text += pipe.read_all();
    CHECK(occurrences(text, "event=busy") > 100);
    CHECK(occurrences(text, "event=log_lines_dropped") == 1);
}

TEST_CASE("log_buffer: an error is logged once, with step and peer")
{
    const auto pipe = slow_pipe{};
    start_logging(log_level::info, pipe.writer);
    log_error("connect", error{error_id::connect_failed, step::connect, "10.0.0.1:7", "refused"});
    const auto text = pipe.read_all();
    CHECK(occurrences(text, "peer=10.0.0.1:7") == 1);
    CHECK(occurrences(text, "step=connect") == 1);
    CHECK(occurrences(text, "ERROR") == 1);
}

TEST_CASE("log_buffer: lines about successful requests are suppressed above the rate limit")
{
    auto sampler = line_sampler{};
    sampler.max_lines_per_second = 2;
    const auto now = time_point{} + std::chrono::seconds{5};
    CHECK(sample_line(sampler, now));
    CHECK(sample_line(sampler, now));
    CHECK_FALSE(sample_line(sampler, now));
    CHECK(sample_line(sampler, now + std::chrono::seconds{1}));
    CHECK(sampler.suppressed == 1);
}
