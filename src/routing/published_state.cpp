#include "cyclamenpost/routing/published_state.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

auto apply_item(published_state& state, const published_item& item, changed_keys& changed) -> void
{
    auto& known = state.items[item.key];
    if (item.revision <= known.revision) {
        return;
    }
    const auto unchanged =
        known.revision > 0 && known.removed == item.removed && known.value == item.value;
    known = item;
    if (!unchanged) {
        changed.insert(item.key);
    }
}

} // namespace

auto apply_changes(published_state& state, std::uint64_t after, std::uint64_t current,
                   const std::vector<published_item>& changes) -> changed_keys
{
    auto changed = changed_keys{};
    for (const auto& item : changes) {
        apply_item(state, item, changed);
    }
    if (after <= state.revision) {
        state.revision = std::max(state.revision, current);
    }
    return changed;
}

auto apply_listing(published_state& state, const std::string& prefix, std::uint64_t at,
                   const std::vector<published_item>& listed) -> changed_keys
{
    auto changed = changed_keys{};
    auto present = std::set<std::string>{};
    for (const auto& item : listed) {
        present.insert(item.key);
        apply_item(state, item, changed);
    }
    for (auto item = state.items.lower_bound(prefix);
         item != state.items.end() && item->first.starts_with(prefix); ++item) {
        auto& known = item->second;
        if (!known.removed && known.revision <= at && !present.contains(item->first)) {
            known.removed = true;
            known.revision = at;
            known.value.clear();
            changed.insert(item->first);
        }
    }
    return changed;
}

auto changes_after(const published_state& state, std::uint64_t after) -> std::vector<published_item>
{
    auto changes = std::vector<published_item>{};
    for (const auto& [key, item] : state.items) {
        if (item.revision > after || after < state.purged_revision) {
            changes.push_back(item);
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](const auto& left, const auto& right) { return left.revision < right.revision; });
    return changes;
}

auto purge_removals(published_state& state, std::size_t kept) -> void
{
    auto removals = std::vector<std::pair<std::uint64_t, std::string>>{};
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
