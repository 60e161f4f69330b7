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

/// Largest number of text bytes in one message between instances. A message has at most 64 KB.
inline constexpr std::size_t text_part_max_bytes = 32U << 10U;

/// Largest published text in bytes. The platform's service stores no larger value.
inline constexpr std::size_t published_text_max_bytes = 1U << 20U;

/// Number of earlier texts that are kept as bases for deltas.
inline constexpr std::size_t max_base_texts = 2;

/// The two values that the platform publishes.
enum class published_kind { operator_text, instance_list };

inline constexpr std::array published_kind_names{
    enum_name<published_kind>{published_kind::operator_text, "operator_text"},
    enum_name<published_kind>{published_kind::instance_list, "instance_list"},
};

/// Version and digest of a published text. Ordered by version, then by digest: of two texts with
/// one version, all instances choose the one with the larger digest. Version 0 means that no text
/// was received.
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

/// Digest of a text, by which instances compare texts of one version.
auto text_digest(std::string_view text) -> std::uint64_t;

/// A published text with its version and digest.
struct published_text {
    text_version id;
    std::string text;
};

/// The text in force and up to `max_base_texts` earlier ones.
struct text_history {
    published_text current;
    /// Newest first.
    std::vector<published_text> earlier;
};

/// Makes `next` the current text and moves the current one to the earlier ones. The caller has
/// checked that `next` is higher than the current one.
auto replace_current(text_history& history, published_text next) -> void;

/// A text as the difference from a base: the lengths of the common prefix and suffix in bytes, and
/// the bytes between them.
struct text_delta {
    std::uint64_t prefix = 0;
    std::uint64_t suffix = 0;
    std::string middle;
};

/// Delta that turns `base` into `text`.
auto make_delta(std::string_view base, std::string_view text) -> text_delta;

/// Applies a delta to its base. Fails with `config_part_mismatch` when prefix and suffix are longer
/// than the base.
auto apply_delta(std::string_view base, const text_delta& delta) -> result<std::string>;

/// A request for a part of a text, from a byte offset. `base_version` 0 requests the whole text
/// instead of a delta.
struct text_fetch {
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    std::uint64_t offset = 0;
};

/// A part of a whole text or of the middle of its delta. `total` is the number of bytes in all
/// parts together; the text has prefix + total + suffix bytes.
struct text_part {
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    std::uint64_t prefix = 0;
    std::uint64_t suffix = 0;
    std::uint64_t total = 0;
    std::uint64_t offset = 0;
    std::string bytes;
};

/// The part that answers a fetch: of a delta when the history has the base, otherwise of the whole
/// text. Always of the current version, even if another one was requested.
auto part_for(const text_history& history, const text_fetch& fetch) -> text_part;

/// State of a transfer at its receiver.
struct text_transfer {
    text_version wanted;
    /// Base of the delta; version 0 for a transfer of the whole text.
    published_text base;
    /// The first part without its bytes; all other parts must agree with it.
    text_part layout;
    /// Whether the first part has arrived.
    bool started = false;
    std::string received;
};

/// Begins a transfer of `wanted` as a delta from the current text, if its version is lower.
auto begin_transfer(const text_history& history, text_version wanted) -> text_transfer;

/// Begins a transfer of `wanted` as a whole text. Used after a transfer with a base failed.
auto begin_whole_transfer(text_version wanted) -> text_transfer;

/// The next request of a transfer.
auto next_fetch(const text_transfer& transfer) -> text_fetch;

/// Effect of a part on a transfer. `more`: the next part should be fetched.
enum class part_result { more, complete, ignored };

inline constexpr std::array part_result_names{
    enum_name<part_result>{part_result::more, "more"},
    enum_name<part_result>{part_result::complete, "complete"},
    enum_name<part_result>{part_result::ignored, "ignored"},
};

/// Adds a part. A part that is repeated or out of order is ignored. Fails with
/// `config_part_mismatch` when the part belongs to another version or layout or exceeds the size
/// limit; the caller then discards the transfer.
auto accept_part(text_transfer& transfer, const text_part& part) -> result<part_result>;

/// The text of a complete transfer. Fails with `config_part_mismatch` when bytes are missing and
/// with `config_digest_mismatch` when the text does not have the offered digest.
auto finish_transfer(const text_transfer& transfer) -> result<published_text>;

/// Delay before the next call to the platform, with full jitter (Brooker 2015): between zero and
/// the smaller of 100 ms x 2^attempt and 5 s. `random` is uniform in [0, 1).
auto platform_retry_delay(unsigned attempt, double random) -> duration;

} // namespace cyclamenpost
