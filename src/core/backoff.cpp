#include "cyclamenpost/core/backoff.hpp"

#include <algorithm>

namespace cyclamenpost {

auto full_jitter(duration initial_delay, duration max_delay, std::uint32_t attempt, double random)
    -> duration
{
    // Keeps the shift within range. 2^20 times any initial delay in use exceeds its max_delay.
    constexpr auto max_exponent = std::uint32_t{20};
    const auto limit = std::min(initial_delay * (1U << std::min(attempt, max_exponent)), max_delay);
    const auto fraction = std::clamp(random, 0.0, 1.0);
    return duration{static_cast<duration::rep>(fraction * static_cast<double>(limit.count()))};
}

} // namespace cyclamenpost
