#include "cyclamenpost/placement/chat_table.hpp"

#include <algorithm>
#include <limits>

namespace cyclamenpost {

namespace {

constexpr auto bucket_size = std::size_t{8};

/// Key of an empty slot.
constexpr auto empty_key = std::uint64_t{0};

/// Resolution of the time of last use. 65,536 steps cover three days; older entries lose their
/// order.
constexpr auto last_use_resolution = std::chrono::seconds{4};

auto key_of(std::string_view chat) -> std::uint64_t
{
    const auto key = hash64(chat);
    return key == empty_key ? 1 : key;
}

auto to_steps(time_point now) -> std::uint16_t
{
    return static_cast<std::uint16_t>(now.time_since_epoch() / last_use_resolution);
}

} // namespace

chat_table::chat_table(std::size_t capacity)
{
    const auto buckets = std::max<std::size_t>(1, (capacity + bucket_size - 1) / bucket_size);
    keys_.assign(buckets * bucket_size, empty_key);
    targets_.assign(keys_.size(), 0);
    last_use_.assign(keys_.size(), 0);
}

auto chat_table::record(std::string_view chat, std::string_view target, time_point now) -> void
{
    const auto index = index_of(target);
    if (!index) {
        return;
    }
    const auto key = key_of(chat);
    const auto slot = slot_for(key, to_steps(now));
    size_ += keys_[slot] == empty_key ? 1 : 0;
    keys_[slot] = key;
    targets_[slot] = *index;
    last_use_[slot] = to_steps(now);
}

auto chat_table::last_target(std::string_view chat) const -> std::string_view
{
    const auto slot = find(key_of(chat));
    return slot ? std::string_view{names_[targets_[*slot]]} : std::string_view{};
}

auto chat_table::erase_target(std::string_view target) -> void
{
    const auto known = indices_.find(std::string{target});
    if (known == indices_.end()) {
        return;
    }
    for (std::size_t slot = 0; slot < keys_.size(); ++slot) {
        if (keys_[slot] != empty_key && targets_[slot] == known->second) {
            keys_[slot] = empty_key;
            --size_;
        }
    }
}

auto chat_table::size() const -> std::size_t
{
    return size_;
}

auto chat_table::capacity() const -> std::size_t
{
    return keys_.size();
}

auto chat_table::memory_bytes() const -> std::size_t
{
    return keys_.capacity() * sizeof(std::uint64_t) + targets_.capacity() * sizeof(std::uint16_t) +
           last_use_.capacity() * sizeof(std::uint16_t);
}

auto chat_table::bucket_of(std::uint64_t key) const -> std::size_t
{
    return (key % (keys_.size() / bucket_size)) * bucket_size;
}

auto chat_table::find(std::uint64_t key) const -> std::optional<std::size_t>
{
    const auto first = bucket_of(key);
    for (auto slot = first; slot < first + bucket_size; ++slot) {
        if (keys_[slot] == key) {
            return slot;
        }
    }
    return std::nullopt;
}

auto chat_table::index_of(std::string_view target) -> std::optional<std::uint16_t>
{
    const auto known = indices_.find(std::string{target});
    if (known != indices_.end()) {
        return known->second;
    }
    if (names_.size() >= std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    const auto index = static_cast<std::uint16_t>(names_.size());
    names_.emplace_back(target);
    indices_.emplace(target, index);
    return index;
}

auto chat_table::slot_for(std::uint64_t key, std::uint16_t now) const -> std::size_t
{
    if (const auto held = find(key)) {
        return *held;
    }
    const auto first = bucket_of(key);
    auto least_recent = first;
    auto oldest = std::uint16_t{0};
    for (auto slot = first; slot < first + bucket_size; ++slot) {
        if (keys_[slot] == empty_key) {
            return slot;
        }
        const auto age = static_cast<std::uint16_t>(now - last_use_[slot]);
        if (age >= oldest) {
            oldest = age;
            least_recent = slot;
        }
    }
    return least_recent;
}

} // namespace cyclamenpost
