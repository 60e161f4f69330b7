#pragma once

#include <string>
#include <vector>

namespace cyclamenpost {

/// Most instances of a zone that read the store themselves. Its rates and prices grow with the
/// fleet, and three survive two failures at once.
inline constexpr std::size_t readers_per_zone = 3;

/// Ids of a zone's readers: the first in hash order among its live instances. The very first one
/// also passes changes on.
auto store_readers(std::vector<std::string> zone_members) -> std::vector<std::string>;

} // namespace cyclamenpost
