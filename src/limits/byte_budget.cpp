#include "cyclamenpost/limits/byte_budget.hpp"

namespace cyclamenpost {

namespace {

// part of the limit that is kept for the guaranteed bytes of holders
constexpr std::size_t guarantee_divisor = 4;

} // namespace

auto hold_bytes(byte_budget& budget, std::size_t& held, std::size_t wanted) -> bool
{
    const auto others = budget.used - held;
    // the guarantees of many holders must not add up to more than the memory
    const auto reserve = budget.limit / guarantee_divisor;
    const auto limit =
        wanted > budget.guaranteed_per_holder ? budget.limit : budget.limit + reserve;
    if (wanted > held && others + wanted > limit) {
        return false;
    }
    budget.used = others + wanted;
    held = wanted;
    return true;
}

} // namespace cyclamenpost
