#include "cyclamenpost/routing/directory.hpp"

#include <algorithm>
#include <random>
#include <set>

namespace cyclamenpost {

namespace {

// a zone needs this share of the mean number of instances per zone to serve its callers alone
constexpr double min_zone_share = 0.5;
// callers need a second address in case the first fails
constexpr std::size_t min_zone_addresses = 2;

} // namespace

auto directory_addresses(const std::vector<directory_entry>& instances, std::string_view zone,
                         std::uint64_t seed) -> std::vector<std::string>
{
    auto zones = std::set<std::string_view>{};
    auto same_zone = std::vector<std::string>{};
    auto all = std::vector<std::string>{};
    for (const auto& instance : instances) {
        zones.insert(instance.zone);
        all.push_back(instance.address);
        if (instance.zone == zone) {
            same_zone.push_back(instance.address);
        }
    }
    const auto mean_per_zone = static_cast<double>(all.size()) /
                               static_cast<double>(std::max<std::size_t>(zones.size(), 1));
    const auto zone_suffices =
        same_zone.size() >= min_zone_addresses &&
        static_cast<double>(same_zone.size()) >= min_zone_share * mean_per_zone;
    auto& chosen = zone_suffices ? same_zone : all;
    auto random = std::mt19937_64{seed};
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::min(chosen.size(), max_directory_addresses));
    return chosen;
}

} // namespace cyclamenpost
