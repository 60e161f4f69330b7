#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenpost {

/// An instance that accepts callers.
struct directory_entry {
    std::string zone;
    /// Address for callers' requests, "ip:port".
    std::string address;
};

/// Maximum number of addresses in one directory answer.
inline constexpr std::size_t max_directory_addresses = 64;

/// Addresses for a caller in a zone. They are the instances of that zone, to avoid inter-zone
/// traffic and latency, or all instances while the zone has less than half of the mean number of
/// instances per zone, to avoid overloading the remaining ones. `seed` varies the order, and the
/// selection when there are more than `max_directory_addresses`.
auto directory_addresses(const std::vector<directory_entry>& instances, std::string_view zone,
                         std::uint64_t seed) -> std::vector<std::string>;

} // namespace cyclamenpost
