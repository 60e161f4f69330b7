#include "cyclamenpost/routing/directory.hpp"

#include <algorithm>
#include <random>
#include <set>

namespace cyclamenpost {

namespace {

// a zone with less than this part of the mean instances per zone is helped by the others
constexpr double thin_zone = 0.5;
// callers need a second address when the first fails them
constexpr std::size_t fewest_addresses = 2;

} // namespace

auto directory_addresses(const std::vector<directory_entry>& instances, std::string_view zone,
                         std::uint64_t seed) -> std::vector<std::string>
{
    auto zones = std::set<std::string_view>{};
    auto near = std::vector<std::string>{};
    auto all = std::vector<std::string>{};
    for (const auto& instance : instances) {
        zones.insert(instance.zone);
        all.push_back(instance.address);
        if (instance.zone == zone) {
            near.push_back(instance.address);
        }
    }
    const auto mean = static_cast<double>(all.size()) /
                      static_cast<double>(std::max<std::size_t>(zones.size(), 1));
    const auto enough =
        near.size() >= fewest_addresses && static_cast<double>(near.size()) >= thin_zone * mean;
    auto& chosen = enough ? near : all;
    auto random = std::mt19937_64{seed};
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::min(chosen.size(), max_directory_addresses));
    return chosen;
}

} // namespace cyclamenpost
