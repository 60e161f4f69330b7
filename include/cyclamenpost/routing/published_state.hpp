#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// One item of the platform's store as last written or removed.
struct published_item {
    std::string key;
    std::string value;
    /// Store revision of the change.
    std::uint64_t revision = 0;
    bool removed = false;
};

/// Replica of the platform's store. All instances hold the same items at the same revision, so an
/// instance that the store does not serve can fetch them from another instance.
struct published_state {
    std::map<std::string, published_item> items;
    /// All changes up to this revision are included; 0 before the first complete read.
    std::uint64_t revision = 0;
    /// Removals up to this revision have been purged; a replica behind it needs a full copy.
    std::uint64_t purged_revision = 0;
};

/// Keys whose items changed.
using changed_keys = std::set<std::string>;

/// Applies the changes from revision `after`, exclusive, to `current`. Older items never replace
/// newer ones. Changes that do not connect to the replica's revision are applied, but do not raise
/// it. Returns the keys whose value changed.
auto apply_changes(published_state& state, std::uint64_t after, std::uint64_t current,
                   const std::vector<published_item>& changes) -> changed_keys;

/// Applies a complete listing of a prefix that began at revision `at`: items that are not listed
/// and not newer than `at` are marked as removed. Does not raise the replica's revision, since
/// other prefixes may be behind. Returns the keys whose value changed.
auto apply_listing(published_state& state, const std::string& prefix, std::uint64_t at,
                   const std::vector<published_item>& listed) -> changed_keys;

/// Changes after a revision, oldest first; all items if removals since then have been purged.
auto changes_after(const published_state& state, std::uint64_t after)
    -> std::vector<published_item>;

/// Purges the oldest removals beyond the newest `kept`, to bound memory.
auto purge_removals(published_state& state, std::size_t kept) -> void;

} // namespace cyclamenpost
