#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// Notices that a small file has other bytes than before. Compares contents, since a file that is
/// replaced may keep its time and size. A file that cannot be read counts as unchanged.
class file_watch {
public:
    /// `on_change` is called on the loop after each change.
    file_watch(event_loop& loop, std::string path, std::function<void()> on_change);

    /// Takes the present bytes as known, so that a change that was handled is not told again.
    auto acknowledge() -> void;

private:
    auto check_file() -> void;

    std::string path_;
    std::function<void()> on_change_;
    std::uint64_t known_digest_ = 0;
    timer timer_;
};

} // namespace cyclamenpost
