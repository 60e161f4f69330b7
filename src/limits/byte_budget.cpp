#include "cyclamenpost/limits/byte_budget.hpp"

namespace cyclamenpost {

auto hold_bytes(byte_budget& budget, std::size_t& held, std::size_t wanted) -> bool
{
    const auto others = budget.used - held;
    if (wanted > held && wanted > budget.guaranteed_per_holder && others + wanted > budget.limit) {
        return false;
    }
    budget.used = others + wanted;
    held = wanted;
    return true;
}

} // namespace cyclamenpost
