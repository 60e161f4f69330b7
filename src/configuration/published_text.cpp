#include "cyclamenpost/configuration/published_text.hpp"

#include "cyclamenpost/core/backoff.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

auto mismatch(std::string message) -> leaf::error_id
{
    return fail(error_id::config_part_mismatch, step::apply_config, "", std::move(message));
}

auto base_in(const text_history& history, std::uint64_t version) -> const published_text*
{
    const auto found = std::find_if(history.earlier.begin(), history.earlier.end(),
                                    [&](const auto& text) { return text.id.version == version; });
    return version == 0 || found == history.earlier.end() ? nullptr : &*found;
}

auto check_layout(const text_transfer& transfer, const text_part& part) -> result<void>
{
    if (part.version != transfer.wanted.version) {
        return mismatch("the sender now has version " + std::to_string(part.version));
    }
    if (part.base_version != 0 && part.base_version != transfer.base.id.version) {
        return mismatch("the base version of the part was not requested");
    }
    if (part.base_version == 0 && (part.prefix != 0 || part.suffix != 0)) {
        return mismatch("the part has a prefix or suffix but no base version");
    }
    // each summand is checked on its own first, so that the sum cannot overflow
    const auto largest = std::max({part.total, part.prefix, part.suffix});
    if (largest > published_text_max_bytes ||
        part.total + part.prefix + part.suffix > published_text_max_bytes) {
        return mismatch("the text exceeds the size limit");
    }
    return {};
}

auto same_layout(const text_part& left, const text_part& right) -> bool
{
    return left.base_version == right.base_version && left.prefix == right.prefix &&
           left.suffix == right.suffix && left.total == right.total;
}

} // namespace

auto text_digest(std::string_view text) -> std::uint64_t
{
    return hash64(text);
}

auto replace_current(text_history& history, published_text next) -> void
{
    if (history.current.id.version != 0) {
        history.earlier.insert(history.earlier.begin(), std::move(history.current));
    }
    if (history.earlier.size() > max_base_texts) {
        history.earlier.resize(max_base_texts);
    }
    history.current = std::move(next);
}

auto make_delta(std::string_view base, std::string_view text) -> text_delta
{
    const auto shorter = std::min(base.size(), text.size());
    const auto first = std::mismatch(
        base.begin(), base.begin() + static_cast<std::ptrdiff_t>(shorter), text.begin());
    const auto prefix = static_cast<std::size_t>(first.second - text.begin());
    // the suffix must not overlap the prefix in the shorter of the two texts
    const auto rest = static_cast<std::ptrdiff_t>(shorter - prefix);
    const auto last = std::mismatch(base.rbegin(), base.rbegin() + rest, text.rbegin());
    const auto suffix = static_cast<std::size_t>(last.second - text.rbegin());
    return {prefix, suffix, std::string(text.substr(prefix, text.size() - prefix - suffix))};
}

auto apply_delta(std::string_view base, const text_delta& delta) -> result<std::string>
{
    if (delta.prefix > base.size() || delta.suffix > base.size() - delta.prefix) {
        return mismatch("the prefix and suffix of the delta are longer than its base");
    }
    auto text = std::string(base.substr(0, delta.prefix));
    text += delta.middle;
    text += base.substr(base.size() - delta.suffix);
    return text;
}

auto part_for(const text_history& history, const text_fetch& fetch) -> text_part
{
    const auto& current = history.current;
    const auto* base = base_in(history, fetch.base_version);
    auto part = text_part{};
    part.version = current.id.version;
    auto sent = text_delta{};
    if (base != nullptr) {
        sent = make_delta(base->text, current.text);
        part.base_version = base->id.version;
    }
    else {
        sent.middle = current.text;
    }
    part.prefix = sent.prefix;
    part.suffix = sent.suffix;
    part.total = sent.middle.size();
    part.offset = std::min<std::uint64_t>(fetch.offset, part.total);
    part.bytes = sent.middle.substr(part.offset, text_part_max_bytes);
    return part;
}

auto begin_transfer(const text_history& history, text_version wanted) -> text_transfer
{
    auto transfer = begin_whole_transfer(wanted);
    // the sender's text of the same version has another digest and cannot be the base
    if (history.current.id.version < wanted.version) {
        transfer.base = history.current;
    }
    return transfer;
}

auto begin_whole_transfer(text_version wanted) -> text_transfer
{
    auto transfer = text_transfer{};
    transfer.wanted = wanted;
    return transfer;
}

auto next_fetch(const text_transfer& transfer) -> text_fetch
{
    return {transfer.wanted.version, transfer.base.id.version, transfer.received.size()};
}

auto accept_part(text_transfer& transfer, const text_part& part) -> result<part_result>
{
    BOOST_LEAF_CHECK(check_layout(transfer, part));
    if (transfer.started && !same_layout(transfer.layout, part)) {
        return mismatch("the part differs in layout from the first part");
    }
    const auto received = transfer.received.size();
    if (part.bytes.size() > part.total - std::min<std::uint64_t>(part.offset, part.total)) {
        return mismatch("the part extends beyond the announced total");
    }
    if (!transfer.started) {
        transfer.layout = part;
        transfer.layout.bytes.clear();
        transfer.started = true;
    }
    const auto is_next = part.offset == received && !part.bytes.empty();
    if (is_next) {
        transfer.received += part.bytes;
    }
    if (transfer.received.size() == part.total) {
        return part_result::complete;
    }
    return is_next ? part_result::more : part_result::ignored;
}

auto finish_transfer(const text_transfer& transfer) -> result<published_text>
{
    if (!transfer.started || transfer.received.size() != transfer.layout.total) {
        return mismatch("the transfer is incomplete");
    }
    const auto& layout = transfer.layout;
    const auto delta = text_delta{layout.prefix, layout.suffix, transfer.received};
    const auto base = layout.base_version == 0 ? std::string_view{} : transfer.base.text;
    BOOST_LEAF_AUTO(text, apply_delta(base, delta));
    if (text_digest(text) != transfer.wanted.digest) {
        return fail(error_id::config_digest_mismatch, step::apply_config, "",
                    "the received text of version " + std::to_string(transfer.wanted.version) +
                        " does not have the offered digest");
    }
    return published_text{transfer.wanted, std::move(text)};
}

auto platform_retry_delay(unsigned attempt, double random) -> duration
{
    constexpr auto first_limit = duration{std::chrono::milliseconds{100}};
    constexpr auto last_limit = duration{std::chrono::seconds{5}};
    return full_jitter(first_limit, last_limit, attempt, random);
}

} // namespace cyclamenpost
