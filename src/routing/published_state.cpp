#include "cyclamenpost/routing/published_state.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

auto same_content(const published_item& left, const published_item& right) -> bool
{
    return left.removed == right.removed && left.value == right.value;
}

/// Whether an item of a later era is the known change, which the older copy holds as well. It keeps
/// its position, so that it is not sent to the other instances again.
auto is_confirmed_by(const published_item& known, const published_item& item) -> bool
{
    return known.revision.era < item.revision.era &&
           known.revision.revision == item.revision.revision && same_content(known, item);
}

auto apply_item(published_state& state, const published_item& item, changed_keys& changed) -> void
{
    auto& known = state.items[item.key];
    if (item.revision <= known.revision || is_confirmed_by(known, item)) {
        return;
    }
    const auto unchanged = known.revision > 0 && same_content(known, item);
    const auto outlived =
        known.revision > 0 && item.restored && !unchanged && item.revision.era > known.revision.era;
    if (outlived) {
        // after a second drill the word of the first former item still counts
        state.former.try_emplace(item.key, former_item{known, std::nullopt});
    }
    else if (!item.restored && state.former.erase(item.key) > 0) {
        changed.insert(item.key);
    }
    known = item;
    if (!unchanged) {
        changed.insert(item.key);
    }
}

/// An item of the first listing of a later era. Whether it was written in that era, at a revision
/// that is given out again, or before the copy was made cannot be told if its revision is not above
/// the known one.
auto apply_item_of_copy(published_state& state, published_item item, changed_keys& changed) -> void
{
    const auto known = state.items.find(item.key);
    item.restored =
        known != state.items.end() && item.revision.revision <= known->second.revision.revision;
    apply_item(state, item, changed);
}

} // namespace

auto advance(published_state& state, const store_position& position) -> void
{
    if (position.era > state.revision.era) {
        state.left_at = state.revision;
    }
    state.revision = std::max(state.revision, position);
}

auto apply_changes(published_state& state, const store_position& after,
                   const store_position& current, const std::vector<published_item>& changes)
    -> changed_keys
{
    auto changed = changed_keys{};
    for (const auto& item : changes) {
        apply_item(state, item, changed);
    }
    const auto ahead_in_earlier_era = current.era > state.revision.era && state.revision > after;
    if (after <= state.revision && !ahead_in_earlier_era) {
        advance(state, current);
    }
    return changed;
}

auto apply_listing(published_state& state, const std::string& prefix, const store_position& at,
                   const std::vector<published_item>& listed) -> changed_keys
{
    auto changed = changed_keys{};
    auto present = std::set<std::string>{};
    const auto is_copy = state.revision > 0 && at.era > state.revision.era;
    for (const auto& item : listed) {
        present.insert(item.key);
        if (is_copy) {
            apply_item_of_copy(state, item, changed);
        }
        else {
            apply_item(state, item, changed);
        }
    }
    for (auto item = state.items.lower_bound(prefix);
         item != state.items.end() && item->first.starts_with(prefix); ++item) {
        const auto& known = item->second;
        if (!known.removed && known.revision <= at && !present.contains(item->first)) {
            apply_item(state, {item->first, {}, at, true, is_copy}, changed);
        }
    }
    return changed;
}

auto expire_former_items(published_state& state, time_point now,
                         const std::function<duration(const std::string& key)>& retention_of)
    -> changed_keys
{
    auto expired = changed_keys{};
    for (auto next = state.former.begin(); next != state.former.end();) {
        auto& since = next->second.since;
        since = since.value_or(now);
        if (now - *since < retention_of(next->first)) {
            ++next;
            continue;
        }
        expired.insert(next->first);
        next = state.former.erase(next);
    }
    return expired;
}

auto changes_after(const published_state& state, const store_position& after)
    -> std::vector<published_item>
{
    auto changes = std::vector<published_item>{};
    for (const auto& [key, item] : state.items) {
        if (item.revision > after || after < state.purged_revision) {
            changes.push_back(item);
        }
    }
    for (const auto& [key, former] : state.former) {
        if (former.item.revision > after) {
            changes.push_back(former.item);
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](const auto& left, const auto& right) { return left.revision < right.revision; });
    return changes;
}

auto sendable_after(const published_state& state, const store_position& after) -> store_position
{
    return after.era < state.revision.era ? std::min(after, state.left_at) : after;
}

auto purge_removals(published_state& state, std::size_t kept) -> void
{
    auto removals = std::vector<std::pair<store_position, std::string>>{};
    for (const auto& [key, item] : state.items) {
        if (item.removed) {
            removals.emplace_back(item.revision, key);
        }
    }
    if (removals.size() <= kept) {
        return;
    }
    std::sort(removals.begin(), removals.end());
    removals.resize(removals.size() - kept);
    for (const auto& [revision, key] : removals) {
        state.purged_revision = std::max(state.purged_revision, revision);
        state.items.erase(key);
    }
}

} // namespace cyclamenpost
