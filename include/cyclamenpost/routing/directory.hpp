#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenpost {

/// An instance that callers may use.
struct directory_entry {
    std::string zone;
    /// Address of its request path, "ip:port".
    std::string address;
};

/// Most addresses in one answer.
inline constexpr std::size_t max_directory_addresses = 64;

/// Addresses for a caller of a zone: the instances of that zone, since other zones cost bytes and
/// time; all instances while the zone has less than half of its share, so that the rest of it is
/// not overrun. `seed` varies which ones are named when there are more than an answer holds.
auto directory_addresses(const std::vector<directory_entry>& instances, std::string_view zone,
                         std::uint64_t seed) -> std::vector<std::string>;

} // namespace cyclamenpost
