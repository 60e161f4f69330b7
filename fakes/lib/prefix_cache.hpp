#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenpost::fakes {

/// Bounded set of prompt prefix hashes with LRU eviction. Collects its changes for cache events.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacity);

    /// Number of leading elements of `prefixes` up to the first one that is not cached.
    auto matched(const std::vector<std::uint64_t>& prefixes) const -> std::size_t;

    /// Stores every prefix as most recently used, then evicts the least recently used ones above
    /// the capacity.
    auto store(const std::vector<std::uint64_t>& prefixes) -> void;

    /// Removes all entries and pending changes, without recording evictions.
    auto clear() -> void;

    /// All stored prefixes in hexadecimal, most recently used first.
    auto entries() const -> std::vector<std::string>;

    /// Prefixes stored and evicted since the last call, in hexadecimal.
    struct changes {
        std::vector<std::string> stored;
        std::vector<std::string> evicted;
    };
    auto take_changes() -> changes;

private:
    std::size_t capacity_;
    std::list<std::uint64_t> lru_order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
    changes changes_;
};

} // namespace cyclamenpost::fakes
