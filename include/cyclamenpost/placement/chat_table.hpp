#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Fixed-size table from a chat to the target that last served it. Entries are hints: a lost or
/// wrong one costs cache reuse only. A full bucket of eight entries evicts the least recently used
/// chat, because the chance that a chat returns falls with the time since its last use.
class chat_table {
public:
    /// Reserves memory for `capacity` chats, rounded up to a multiple of eight.
    explicit chat_table(std::size_t capacity);

    /// Records that the target served the chat. A target id beyond the first 65,535 is ignored.
    auto record(std::string_view chat, std::string_view target, time_point now) -> void;

    /// Target that last served the chat, or an empty view.
    auto last_target(std::string_view chat) const -> std::string_view;

    /// Removes all chats of a target, for example when its cache is lost.
    auto erase_target(std::string_view target) -> void;

    /// Number of chats in the table.
    auto size() const -> std::size_t;

    /// Number of chats the table can hold.
    auto capacity() const -> std::size_t;

    /// Memory of the entries in bytes, without the target ids.
    auto memory_bytes() const -> std::size_t;

private:
    auto bucket_of(std::uint64_t key) const -> std::size_t;
    auto find(std::uint64_t key) const -> std::optional<std::size_t>;
    auto index_of(std::string_view target) -> std::optional<std::uint16_t>;
    auto slot_for(std::uint64_t key, std::uint16_t now) const -> std::size_t;

    std::vector<std::uint64_t> keys_;
    std::vector<std::uint16_t> targets_;
    std::vector<std::uint16_t> last_use_;
    std::vector<std::string> names_;
    std::unordered_map<std::string, std::uint16_t> indices_;
    std::size_t size_ = 0;
};

} // namespace cyclamenpost
