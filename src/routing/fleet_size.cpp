#include "cyclamenpost/routing/fleet_size.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// the first contact tells of a part of the members; the others are heard of within this share of
// the settle time
constexpr double contact_share = 0.6;

} // namespace

auto knows_fleet_size(const member_knowledge& known) -> bool
{
    if (known.since_start <= known.settle_time) {
        return false;
    }
    if (!known.since_contact) {
        return !known.expects_others;
    }
    return *known.since_contact > known.settle_time * contact_share;
}

auto names_others(const std::vector<std::string>& seeds, const std::string& own_address) -> bool
{
    return std::any_of(seeds.begin(), seeds.end(),
                       [&](const std::string& seed) { return seed != own_address; });
}

} // namespace cyclamenpost
