#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// Detects content changes of a small file by periodically comparing a hash of its content, since a
/// replaced file may keep its modification time and size. A file that cannot be read counts as
/// unchanged.
class file_watch {
public:
    /// Calls `on_change` on the event loop after each detected change.
    file_watch(event_loop& loop, std::string path, std::function<void()> on_change);

    /// Records the current content as known, so that a change which the caller has already handled
    /// is not reported again.
    auto acknowledge() -> void;

private:
    auto check_file() -> void;

    std::string path_;
    std::function<void()> on_change_;
    std::uint64_t known_digest_ = 0;
    timer timer_;
};

} // namespace cyclamenpost
