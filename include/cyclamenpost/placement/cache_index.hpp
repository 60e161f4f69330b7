#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Which engine last reported that it holds a prompt prefix. Reports are late and have gaps, so an
/// entry is a hint. Entries live in two generations; the older one is dropped when the younger is
/// full or half of the hints' lifetime old, which bounds memory and age without a list of ages.
struct cache_index {
    /// Hints older than this are not used.
    duration lifetime = std::chrono::minutes{10};
    /// Prefixes in one generation.
    std::size_t max_generation_entries = 50'000;
    std::unordered_map<std::uint64_t, std::string> young;
    std::unordered_map<std::uint64_t, std::string> old;
    time_point last_rotation;
};

/// Chained hashes of the first 1, 2, ... messages, as engines report them: the hash of a message's
/// text seeded with the hash of its role seeded with the hash of the messages before.
auto prompt_prefixes(const std::vector<std::pair<std::string, std::string>>& roles_and_texts)
    -> std::vector<std::uint64_t>;

/// Takes in the prefixes that an engine stored and evicted.
auto update_cache_index(cache_index& index, const std::string& engine,
                        const std::vector<std::uint64_t>& stored,
                        const std::vector<std::uint64_t>& evicted, time_point now) -> void;

/// Drops what is known of an engine whose process has ended.
auto erase_engine(cache_index& index, std::string_view engine) -> void;

/// The engine that holds the longest of the given prefixes (longest last), or an empty view.
auto longest_prefix_engine(const cache_index& index, const std::vector<std::uint64_t>& prefixes)
    -> std::string_view;

} // namespace cyclamenpost
