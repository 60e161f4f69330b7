#pragma once

#include <cstdint>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Exponential backoff with full jitter (Brooker 2015): returns `random` times the smaller of
/// `initial_delay` x 2^attempt and `max_delay`. `random` is uniform in [0, 1).
auto full_jitter(duration initial_delay, duration max_delay, std::uint32_t attempt, double random)
    -> duration;

} // namespace cyclamenpost
