#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenpost::fakes {

/// Bounded least-recently-used set of prompt prefixes that collects its changes for cache events.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacity);

    /// Number of leading entries of `prefixes` that are present.
    auto matched(const std::vector<std::uint64_t>& prefixes) const -> std::size_t;

    /// Stores every prefix as recently used and evicts the oldest ones above the capacity.
    auto store(const std::vector<std::uint64_t>& prefixes) -> void;

    /// Forgets everything without recording evictions.
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
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
    changes changes_;
};

} // namespace cyclamenpost::fakes
