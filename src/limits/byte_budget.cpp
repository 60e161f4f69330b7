#include "cyclamenpost/limits/byte_budget.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// part of the limit that is kept for the guaranteed bytes of holders
constexpr std::size_t guarantee_divisor = 4;
// up to this size a holder is bounded by the number of connections alone
constexpr std::size_t tiny_holder_bytes = 4096;

} // namespace

auto hold_bytes(byte_budget& budget, std::size_t& held, std::size_t wanted) -> bool
{
    const auto others = budget.used - held;
    // the guarantees of many holders must not add up to more than the memory
    const auto reserve = budget.limit / guarantee_divisor;
    const auto limit =
        wanted > budget.guaranteed_per_holder ? budget.limit : budget.limit + reserve;
    const auto tiny = wanted <= std::min(tiny_holder_bytes, budget.guaranteed_per_holder);
    if (wanted > held && !tiny && others + wanted > limit) {
        return false;
    }
    budget.used = others + wanted;
    held = wanted;
    return true;
}

} // namespace cyclamenpost
