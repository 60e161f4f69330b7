#pragma once

#include <string_view>

namespace cyclamenpost {

/// Whether `text` is an IPv4 address in dotted decimal form.
auto is_ip(std::string_view text) -> bool;

/// Whether `text` is "IP:port" with an IPv4 address and a port from 1 to 65535.
auto is_ip_and_port(std::string_view text) -> bool;

} // namespace cyclamenpost
