#include "cyclamenpost/core/file_watch.hpp"

#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

namespace {

// Changes are rare and no caller waits for them. Each check costs three system calls and a read of
// a few kilobytes.
constexpr duration check_period = std::chrono::seconds{2};

auto digest_of(const std::string& path) -> std::optional<std::uint64_t>
{
    auto file = std::ifstream{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    const auto bytes =
        std::string{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    return hash64(bytes);
}

} // namespace

file_watch::file_watch(event_loop& loop, std::string path, std::function<void()> on_change)
    : path_(std::move(path)),
      on_change_(std::move(on_change)),
      timer_(loop.call_every(check_period, [this] { check_file(); }))
{
    acknowledge();
}

auto file_watch::acknowledge() -> void
{
    known_digest_ = digest_of(path_).value_or(known_digest_);
}

auto file_watch::check_file() -> void
{
    const auto digest = digest_of(path_);
    if (digest && std::exchange(known_digest_, *digest) != *digest) {
        on_change_();
    }
}

} // namespace cyclamenpost
