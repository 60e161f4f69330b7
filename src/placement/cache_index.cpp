#include "cyclamenpost/placement/cache_index.hpp"

#include <utility>

namespace cyclamenpost {

namespace {

auto rotate_generations(cache_index& index, time_point now) -> void
{
    const auto full = index.young.size() >= index.max_generation_entries;
    const auto expired = now - index.last_rotation >= index.lifetime / 2;
    if (!full && !expired) {
        return;
    }
    index.old = std::exchange(index.young, {});
    index.last_rotation = now;
}

auto erase_entry_of(std::unordered_map<std::uint64_t, std::string>& generation,
                    std::uint64_t prefix, const std::string& engine) -> void
{
    const auto found = generation.find(prefix);
    if (found != generation.end() && found->second == engine) {
        generation.erase(found);
    }
}

} // namespace

auto prompt_prefixes(const std::vector<std::pair<std::string, std::string>>& roles_and_texts)
    -> std::vector<std::uint64_t>
{
    auto prefixes = std::vector<std::uint64_t>{};
    auto previous = std::uint64_t{0};
    for (const auto& [role, text] : roles_and_texts) {
        previous = hash64(text, hash64(role, previous));
        prefixes.push_back(previous);
    }
    return prefixes;
}

auto update_cache_index(cache_index& index, const std::string& engine,
                        const std::vector<std::uint64_t>& stored,
                        const std::vector<std::uint64_t>& evicted, time_point now) -> void
{
    rotate_generations(index, now);
    for (const auto prefix : stored) {
        index.young[prefix] = engine;
    }
    for (const auto prefix : evicted) {
        erase_entry_of(index.young, prefix, engine);
        erase_entry_of(index.old, prefix, engine);
    }
}

auto erase_engine(cache_index& index, std::string_view engine) -> void
{
    const auto of_engine = [&](const auto& entry) { return entry.second == engine; };
    std::erase_if(index.young, of_engine);
    std::erase_if(index.old, of_engine);
}

auto longest_prefix_engine(const cache_index& index, const std::vector<std::uint64_t>& prefixes)
    -> std::string_view
{
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        for (const auto* generation : {&index.young, &index.old}) {
            const auto found = generation->find(*prefix);
            if (found != generation->end()) {
                return found->second;
            }
        }
    }
    return {};
}

} // namespace cyclamenpost
