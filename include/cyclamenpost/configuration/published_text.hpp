#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Largest number of text bytes in one message between instances; messages hold at most 64 KB.
inline constexpr std::size_t text_part_max_bytes = 32U << 10U;

/// Largest published text in bytes. The platform's service holds no larger value.
inline constexpr std::size_t published_text_max_bytes = 1U << 20U;

/// Earlier texts that are kept as bases for deltas.
inline constexpr std::size_t max_base_texts = 2;

/// The two values that the platform publishes.
enum class published_kind { operator_text, instance_list };

inline constexpr std::array published_kind_names{
    enum_name<published_kind>{published_kind::operator_text, "operator_text"},
    enum_name<published_kind>{published_kind::instance_list, "instance_list"},
};

/// Version and digest of a published text. Orders by version, then by digest: of two texts with
/// one version the larger digest wins on every instance. Version 0 means that none was received.
struct text_version {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    auto operator==(const text_version&) const -> bool = default;

    auto operator<=>(const text_version& other) const -> std::strong_ordering
    {
        const auto by_version = version <=> other.version;
        return std::is_eq(by_version) ? digest <=> other.digest : by_version;
    }
};

/// Digest by which instances compare texts.
auto text_digest(std::string_view text) -> std::uint64_t;

/// A published text with its version.
struct published_text {
    text_version id;
    std::string text;
};

/// The text in force and the last few before it, newest first.
struct text_history {
    published_text current;
    std::vector<published_text> earlier;
};

/// Makes `next` the current text. The caller has checked that it is higher than the current one.
auto replace_current(text_history& history, published_text next) -> void;

/// A text as the difference from another: bytes kept at both ends and those between them.
struct text_delta {
    std::uint64_t prefix = 0;
    std::uint64_t suffix = 0;
    std::string middle;
};

/// Removes the common prefix and suffix of `base` from `text`.
auto make_delta(std::string_view base, std::string_view text) -> text_delta;

/// Rebuilds a text. Fails with `config_part_mismatch` when the delta does not fit the base.
auto apply_delta(std::string_view base, const text_delta& delta) -> result<std::string>;

/// A request for bytes of a text. `base_version` 0 asks for the whole text.
struct text_fetch {
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    std::uint64_t offset = 0;
};

/// Bytes of a text or of its delta. `total` counts the bytes that are sent in all parts; the text
/// has prefix + total + suffix bytes.
struct text_part {
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    std::uint64_t prefix = 0;
    std::uint64_t suffix = 0;
    std::uint64_t total = 0;
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Answers a fetch from the texts held. Sends a delta when the base is held, otherwise the whole
/// text. Always sends the current version, also when another one was asked for.
auto part_for(const text_history& history, const text_fetch& fetch) -> text_part;

/// A transfer in progress at its receiver.
struct text_transfer {
    text_version wanted;
    published_text base;
    text_part layout;
    bool started = false;
    std::string received;
};

/// Starts to receive `wanted` as a difference from the current text.
auto begin_transfer(const text_history& history, text_version wanted) -> text_transfer;

/// Starts to receive `wanted` as a whole text, after a transfer with a base failed.
auto begin_whole_transfer(text_version wanted) -> text_transfer;

/// The next request of a transfer.
auto next_fetch(const text_transfer& transfer) -> text_fetch;

/// How a part changed a transfer.
enum class part_result { more, complete, ignored };

inline constexpr std::array part_result_names{
    enum_name<part_result>{part_result::more, "more"},
    enum_name<part_result>{part_result::complete, "complete"},
    enum_name<part_result>{part_result::ignored, "ignored"},
};

/// Adds a part. A repeated or early part is ignored. Fails with `config_part_mismatch` when the
/// part belongs to another version or layout or exceeds the size limit; the transfer is then of no
/// further use.
auto accept_part(text_transfer& transfer, const text_part& part) -> result<part_result>;

/// The text of a complete transfer. Fails with `config_part_mismatch` when bytes are missing and
/// with `config_digest_mismatch` when the text is not the one that was offered.
auto finish_transfer(const text_transfer& transfer) -> result<published_text>;

/// Delay before the next call to the platform, with full jitter (Brooker 2015): a time between zero
/// and the smaller of 100 ms x 2^attempt and 5 s. `random` is uniform in [0, 1).
auto platform_retry_delay(unsigned attempt, double random) -> duration;

} // namespace cyclamenpost
