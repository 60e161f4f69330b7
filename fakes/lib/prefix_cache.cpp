#include "prefix_cache.hpp"

#include <utility>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost::fakes {

prefix_cache::prefix_cache(std::size_t capacity) : capacity_(capacity) {}

auto prefix_cache::matched(const std::vector<std::uint64_t>& prefixes) const -> std::size_t
{
    auto count = std::size_t{0};
    while (count < prefixes.size() && index_.contains(prefixes[count])) {
        ++count;
    }
    return count;
}

auto prefix_cache::store(const std::vector<std::uint64_t>& prefixes) -> void
{
    for (const auto prefix : prefixes) {
        const auto found = index_.find(prefix);
        if (found != index_.end()) {
            lru_order_.splice(lru_order_.begin(), lru_order_, found->second);
            continue;
        }
        lru_order_.push_front(prefix);
        index_[prefix] = lru_order_.begin();
        changes_.stored.push_back(to_hex(prefix));
    }
    while (lru_order_.size() > capacity_) {
        changes_.evicted.push_back(to_hex(lru_order_.back()));
        index_.erase(lru_order_.back());
        lru_order_.pop_back();
    }
}

auto prefix_cache::clear() -> void
{
    lru_order_.clear();
    index_.clear();
    changes_ = {};
}

auto prefix_cache::entries() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (const auto prefix : lru_order_) {
        names.push_back(to_hex(prefix));
    }
    return names;
}

auto prefix_cache::take_changes() -> changes
{
    return std::exchange(changes_, {});
}

} // namespace cyclamenpost::fakes
