#include "cyclamenpost/routing/store_readers.hpp"

#include <algorithm>

#include "cyclamenpost/types.hpp"

namespace cyclamenpost {

auto store_readers(std::vector<std::string> zone_members) -> std::vector<std::string>
{
    std::sort(zone_members.begin(), zone_members.end(),
              [](const std::string& left, const std::string& right) {
                  return hash64(left) < hash64(right);
              });
    zone_members.resize(std::min(zone_members.size(), readers_per_zone));
    return zone_members;
}

} // namespace cyclamenpost
