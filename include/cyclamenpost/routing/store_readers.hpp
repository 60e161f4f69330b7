#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Most instances of a zone that read the store themselves. Its rates and prices grow with the
/// fleet, and three survive two failures at once.
inline constexpr std::size_t readers_per_zone = 3;

/// Ids of a zone's readers: the first in hash order among its live instances. The very first one
/// also passes changes on.
auto store_readers(std::vector<std::string> zone_members) -> std::vector<std::string>;

/// Readers say this often that they read the store.
inline constexpr duration notice_period = std::chrono::milliseconds{700};

/// An instance that has missed two notices reads the store itself.
inline constexpr duration notice_timeout = std::chrono::milliseconds{1700};

/// Whether an instance has to read the store itself: it is a reader, as far as it knows its zone,
/// or no reader has told it anything for a while. At a start that holds until the first notice.
auto must_read_store(const std::vector<std::string>& readers, std::string_view own_id,
                     duration since_notice) -> bool;

/// Reader that an instance asks for large changes: another one for each instance, so that no link
/// carries them for all. Empty when the instance is the zone's only reader.
auto preferred_reader(const std::vector<std::string>& readers, std::string_view own_id)
    -> std::string;

/// Instance to ask for the changes up to a revision. The preferred reader comes first, then another
/// reader of the zone; each only if it is known to have read so far, since all of a zone's readers
/// may have lost the store at once. Otherwise the instance in which the revision was seen.
auto change_source(const std::vector<std::string>& readers,
                   const std::map<std::string, std::uint64_t>& revisions, std::string_view own_id,
                   std::uint64_t revision, const std::string& seen_in) -> std::string;

} // namespace cyclamenpost
