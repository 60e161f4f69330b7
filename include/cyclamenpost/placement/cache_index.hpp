#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Index from a prompt prefix to the engine that last reported it as cached. Reports arrive late
/// and may be lost, so an entry is only a hint. Entries are kept in two generations; the older one
/// is dropped when the younger is full or older than half the lifetime, which bounds memory and age
/// without a time stamp per entry.
struct cache_index {
    /// Longest time for which an entry is used.
    duration lifetime = std::chrono::minutes{10};
    /// Number of prefixes at which a generation is full.
    std::size_t max_generation_entries = 50'000;
    std::unordered_map<std::uint64_t, std::string> young;
    std::unordered_map<std::uint64_t, std::string> old;
    /// Time at which the younger generation was started.
    time_point last_rotation;
};

/// Hashes of the first 1, 2, ... messages of a prompt, computed as engines report them: the text of
/// each message is hashed with the hash of its role as seed, and the role with the hash of the
/// messages before.
auto prompt_prefixes(const std::vector<std::pair<std::string, std::string>>& roles_and_texts)
    -> std::vector<std::uint64_t>;

/// Applies a report of the prefixes that an engine stored and evicted.
auto update_cache_index(cache_index& index, const std::string& engine,
                        const std::vector<std::uint64_t>& stored,
                        const std::vector<std::uint64_t>& evicted, time_point now) -> void;

/// Removes the entries of an engine whose process has ended.
auto erase_engine(cache_index& index, std::string_view engine) -> void;

/// Engine with the longest of the given prefixes in its cache, or an empty view. Prefixes are in
/// ascending order of length.
auto longest_prefix_engine(const cache_index& index, const std::vector<std::uint64_t>& prefixes)
    -> std::string_view;

} // namespace cyclamenpost
