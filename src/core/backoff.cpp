#include "cyclamenpost/core/backoff.hpp"

#include <algorithm>

namespace cyclamenpost {

auto full_jitter(duration first, duration longest, std::uint32_t attempt, double random) -> duration
{
    // 2^20 times any first delay in use exceeds its longest delay
    constexpr auto largest_exponent = std::uint32_t{20};
    const auto limit = std::min(first * (1U << std::min(attempt, largest_exponent)), longest);
    const auto share = std::clamp(random, 0.0, 1.0);
    return duration{static_cast<duration::rep>(share * static_cast<double>(limit.count()))};
}

} // namespace cyclamenpost
