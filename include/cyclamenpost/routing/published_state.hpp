#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// One item of the platform's store as it was written or removed.
struct published_item {
    std::string key;
    std::string value;
    /// Revision of the store at the change.
    std::uint64_t revision = 0;
    bool removed = false;
};

/// Everything read from the store. All instances hold the same items at the same revision, so that
/// one that the store turns away takes them from another.
struct published_state {
    std::map<std::string, published_item> items;
    /// Every change up to this revision is contained; 0 before the first complete read.
    std::uint64_t revision = 0;
    /// Removals up to this revision have been forgotten; whoever is older needs everything.
    std::uint64_t purged_revision = 0;
};

/// Keys whose items changed.
using changed_keys = std::set<std::string>;

/// Takes over changes that follow `after`, up to `current`. Older items never replace newer ones.
/// Changes that would leave a gap are taken over without raising the revision.
auto apply_changes(published_state& state, std::uint64_t after, std::uint64_t current,
                   const std::vector<published_item>& changes) -> changed_keys;

/// Takes over a complete read under a prefix that began at revision `at`: items that are absent and
/// not newer than `at` have been removed. Does not raise the revision, since other prefixes may be
/// older.
auto apply_listing(published_state& state, const std::string& prefix, std::uint64_t at,
                   const std::vector<published_item>& listed) -> changed_keys;

/// Changes after a revision, oldest first. Everything when removals since then are forgotten.
auto changes_after(const published_state& state, std::uint64_t after)
    -> std::vector<published_item>;

/// Forgets the oldest removals beyond `kept`, so that memory stays bounded.
auto purge_removals(published_state& state, std::size_t kept) -> void;

} // namespace cyclamenpost
