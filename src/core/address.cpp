#include "cyclamenpost/core/address.hpp"

#include <charconv>
#include <cstdint>
#include <string>

#include <arpa/inet.h>

namespace cyclamenpost {

namespace {

auto is_port(std::string_view text) -> bool
{
    auto port = std::uint16_t{0};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc{} && parsed.ptr == end && port > 0;
}

} // namespace

auto is_ip(std::string_view text) -> bool
{
    // inet_pton stops at a null byte and would ignore the characters after it.
    if (text.find('\0') != std::string_view::npos) {
        return false;
    }
    auto parsed = in_addr{};
    return inet_pton(AF_INET, std::string(text).c_str(), &parsed) == 1;
}

auto is_ip_and_port(std::string_view text) -> bool
{
    const auto colon = text.find(':');
    return colon != std::string_view::npos && is_ip(text.substr(0, colon)) &&
           is_port(text.substr(colon + 1));
}

} // namespace cyclamenpost
