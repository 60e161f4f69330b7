#include <array>
#include <string>

#include "http_detail.hpp"

namespace cyclamenpost {

namespace {

struct token_name {
    lws_token_indexes token;
    std::string_view name;
};

// headers for which libwebsockets has a token
constexpr std::array token_names{
    token_name{WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type"},
    token_name{WSI_TOKEN_HTTP_AUTHORIZATION, "authorization"},
    token_name{WSI_TOKEN_HTTP_ACCEPT, "accept"},
    token_name{WSI_TOKEN_HTTP_RETRY_AFTER, "retry-after"},
    token_name{WSI_TOKEN_HTTP_LOCATION, "location"},
    token_name{WSI_TOKEN_HTTP_ETAG, "etag"},
    token_name{WSI_TOKEN_HTTP_IF_MATCH, "if-match"},
    token_name{WSI_TOKEN_HTTP_IF_NONE_MATCH, "if-none-match"},
    token_name{WSI_TOKEN_HTTP_CACHE_CONTROL, "cache-control"},
    token_name{WSI_TOKEN_HTTP_LAST_MODIFIED, "last-modified"},
    token_name{WSI_TOKEN_HTTP_CONTENT_LENGTH, "content-length"},
    token_name{WSI_TOKEN_HTTP_TRANSFER_ENCODING, "transfer-encoding"},
};

// other headers, which libwebsockets looks up by name
constexpr std::array<std::string_view, 22> custom_names{
    "x-chat-id",
    "x-organisation",
    "x-priority",
    "x-request-id",
    "x-attempt",
    "x-resume-from",
    "x-target-incarnation",
    "x-version",
    "x-request-deadline-ms",
    "idempotency-key",
    "order-number",
    "order-number-repeat",
    "x-instance",
    "x-target",
    "x-cost",
    "x-config-version",
    "x-outcome",
    "traceparent",
    "x-replayed",
    "x-caller",
    "x-digest",
    "x-list-version",
};

auto custom_header(lws* wsi, std::string_view name) -> std::string
{
    const auto key = std::string(name) + ":";
    const auto size = lws_hdr_custom_length(wsi, key.data(), static_cast<int>(key.size()));
    if (size <= 0) {
        return {};
    }
    auto value = std::string(static_cast<std::size_t>(size) + 1, '\0');
    const auto copied =
        lws_hdr_custom_copy(wsi, value.data(), size + 1, key.data(), static_cast<int>(key.size()));
    value.resize(copied > 0 ? static_cast<std::size_t>(size) : 0);
    return value;
}

auto hex_digit(char digit) -> int
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const auto lower = digit | 0x20;
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

auto percent_decode(std::string_view text) -> std::string
{
    auto decoded = std::string{};
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        const auto escaped = text[i] == '%' && i + 2 < text.size();
        const auto high = escaped ? hex_digit(text[i + 1]) : -1;
        const auto low = escaped ? hex_digit(text[i + 2]) : -1;
        if (high >= 0 && low >= 0) {
            decoded += static_cast<char>(high * 16 + low);
            i += 2;
        }
        else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace

namespace detail {

auto known_header(lws* wsi, lws_token_indexes token) -> std::string
{
    const auto size = lws_hdr_total_length(wsi, token);
    if (size <= 0) {
        return {};
    }
    auto value = std::string(static_cast<std::size_t>(size) + 1, '\0');
    const auto copied = lws_hdr_copy(wsi, value.data(), size + 1, token);
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    return value;
}

auto collect_headers(lws* wsi) -> header_list
{
    auto headers = header_list{};
    for (const auto& row : token_names) {
        auto value = known_header(wsi, row.token);
        if (!value.empty()) {
            headers.push_back({std::string(row.name), std::move(value)});
        }
    }
    for (const auto name : custom_names) {
        auto value = custom_header(wsi, name);
        if (!value.empty()) {
            headers.push_back({std::string(name), std::move(value)});
        }
    }
    return headers;
}

} // namespace detail

auto header_value(const header_list& headers, std::string_view name) -> std::string_view
{
    for (const auto& field : headers) {
        if (field.name == name) {
            return field.value;
        }
    }
    return {};
}

auto query_value(std::string_view query, std::string_view name) -> std::string
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return percent_decode(pair.substr(equals + 1));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

auto percent_encode(std::string_view text) -> std::string
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~/";
    auto encoded = std::string{};
    for (const auto character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || unreserved.find(character) != std::string_view::npos) {
            encoded += character;
        }
        else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 0xfU];
        }
    }
    return encoded;
}

} // namespace cyclamenpost
