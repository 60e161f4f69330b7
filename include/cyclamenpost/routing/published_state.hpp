#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/routing/store_position.hpp"

namespace cyclamenpost {

/// One item of the platform's store as last written or removed.
struct published_item {
    std::string key;
    std::string value;
    /// Position of the change in the store.
    store_position revision;
    bool removed = false;
    /// Read from an older copy with which the store came back: it may be older than what was known
    /// of the key before.
    bool restored = false;
};

/// An item of an earlier era whose word still counts beside a restored one.
struct former_item {
    published_item item;
    /// Since when it is former; unset until `expire_former_items` has seen it.
    std::optional<time_point> since;
};

/// Replica of the platform's store. All instances hold the same items at the same revision, so an
/// instance that the store does not serve can fetch them from another instance.
struct published_state {
    std::map<std::string, published_item> items;
    /// All changes up to this position are included; 0 before the first complete read.
    store_position revision;
    /// Removals up to this position have been purged; a replica behind it needs a full copy.
    store_position purged_revision;
    /// Position from which this replica went on to the era of its position.
    store_position left_at;
    /// What was known of keys before a restored item took its place, until the key is written
    /// again or time is over.
    std::map<std::string, former_item> former;
};

/// Keys whose items changed.
using changed_keys = std::set<std::string>;

/// Raises the replica's position.
auto advance(published_state& state, const store_position& position) -> void;

/// Applies the changes from position `after`, exclusive, to `current`. Older items never replace
/// newer ones. Changes that do not connect to the replica's position are applied, but do not raise
/// it; nor do changes into a later era if this replica is ahead of `after`, since what it knows
/// beyond that may be lost. Returns the keys whose value changed.
auto apply_changes(published_state& state, const store_position& after,
                   const store_position& current, const std::vector<published_item>& changes)
    -> changed_keys;

/// Applies a complete listing of a prefix that began at position `at`: items that are not listed
/// and not newer than `at` are marked as removed. The first listing of a later era is the older
/// copy and what was written since: an item with a revision above the known one replaces it, one
/// that is the same confirms it, and any other, or its absence, is restored. Does not raise the
/// replica's position, since other prefixes may be behind. Returns the keys whose value changed.
auto apply_listing(published_state& state, const std::string& prefix, const store_position& at,
                   const std::vector<published_item>& listed) -> changed_keys;

/// Drops former items that are older than `retention_of` gives for their key. Returns their keys.
auto expire_former_items(published_state& state, time_point now,
                         const std::function<duration(const std::string& key)>& retention_of)
    -> changed_keys;

/// Changes after a position, oldest first; all items if removals since then have been purged.
/// Former items come before those that took their place.
auto changes_after(const published_state& state, const store_position& after)
    -> std::vector<published_item>;

/// Position from which this replica can send changes to one that is at `after`. Of an earlier era
/// it says nothing beyond the position at which it left that era.
auto sendable_after(const published_state& state, const store_position& after) -> store_position;

/// Purges the oldest removals beyond the newest `kept`, to bound memory.
auto purge_removals(published_state& state, std::size_t kept) -> void;

} // namespace cyclamenpost
