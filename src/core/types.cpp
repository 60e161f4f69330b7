#include "cyclamenpost/core/types.hpp"

#include <charconv>

#include <xxhash.h>

namespace cyclamenpost {

auto hash64(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto name_key(std::string_view name) -> std::uint32_t
{
    return static_cast<std::uint32_t>(hash64(name));
}

auto to_hex(std::uint64_t value) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto text = std::string(16, '0');
    for (auto position = text.rbegin(); position != text.rend(); ++position) {
        *position = digits[value & 0xfU];
        value >>= 4U;
    }
    return text;
}

auto from_hex(std::string_view text) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

auto monotonic_now() -> time_point
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

auto wall_clock_ms() -> std::int64_t
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace cyclamenpost
