#pragma once

#include <cstdint>
#include <string>

namespace cyclamenpost {

/// A point in what the store has said. A store that comes back from an older copy gives revisions
/// out again and raises its era by one, so positions are ordered by era first.
struct store_position {
    constexpr store_position() = default;
    /// A revision of a store that names no era.
    constexpr store_position(std::uint64_t store_revision) : revision(store_revision) {}
    constexpr store_position(std::uint64_t store_era, std::uint64_t store_revision)
        : era(store_era), revision(store_revision)
    {}

    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    // spelled out, since clang-tidy 14 takes the zero in a rewritten three-way comparison for a
    // null pointer
    friend constexpr auto operator==(const store_position& left, const store_position& right)
        -> bool
    {
        return left.era == right.era && left.revision == right.revision;
    }
    friend constexpr auto operator<(const store_position& left, const store_position& right) -> bool
    {
        return left.era != right.era ? left.era < right.era : left.revision < right.revision;
    }
    friend constexpr auto operator>(const store_position& left, const store_position& right) -> bool
    {
        return right < left;
    }
    friend constexpr auto operator<=(const store_position& left, const store_position& right)
        -> bool
    {
        return !(right < left);
    }
    friend constexpr auto operator>=(const store_position& left, const store_position& right)
        -> bool
    {
        return !(left < right);
    }
};

/// The position for a log line: "revision" without an era, otherwise "era:revision".
inline auto to_string(const store_position& position) -> std::string
{
    const auto revision = std::to_string(position.revision);
    return position.era == 0 ? revision : std::to_string(position.era) + ":" + revision;
}

} // namespace cyclamenpost
