#pragma once

#include <cstdint>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Exponential backoff with full jitter (Brooker 2015): a delay between zero and the smaller of
/// `first` x 2^attempt and `longest`. `random` is uniform in [0, 1).
auto full_jitter(duration first, duration longest, std::uint32_t attempt, double random)
    -> duration;

} // namespace cyclamenpost
