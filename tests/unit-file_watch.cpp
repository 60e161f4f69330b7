#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>
#include <unistd.h>

#include "cyclamenpost/core/file_watch.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto time_limit = std::chrono::seconds{20};

struct watched_file {
    event_loop loop;
    std::string path =
        std::filesystem::temp_directory_path() / ("cyclamenpost-watch-" + std::to_string(getpid()));
    int changes = 0;

    watched_file()
    {
        write("first");
    }

    ~watched_file()
    {
        std::filesystem::remove(path);
    }

    auto write(const std::string& text) const -> void
    {
        std::ofstream{path} << text;
    }
};

} // namespace

TEST_CASE_FIXTURE(watched_file, "file_watch: a change that keeps the file size is detected")
{
    const auto watch = file_watch{loop, path, [this] { ++changes; }};
    write("other");
    CHECK(loop.run_until([this] { return changes == 1; }, time_limit));
}

TEST_CASE_FIXTURE(watched_file,
                  "file_watch: a missing file and an acknowledged change are not reported")
{
    auto watch = file_watch{loop, path, [this] { ++changes; }};
    write("known");
    watch.acknowledge();
    // The file is removed for longer than one check period, then created with new content.
    auto ticks = 0;
    const auto ticker = loop.call_every(std::chrono::milliseconds{2100}, [&] {
        if (++ticks == 1) {
            std::filesystem::remove(path);
        }
        if (ticks == 2) {
            write("third");
        }
    });
    CHECK(loop.run_until([this] { return changes > 0; }, time_limit));
    CHECK(ticks >= 2);
    CHECK(changes == 1);
}
