#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenpost {

/// Compresses bytes in the zlib format (RFC 1950). Returns nothing when zlib reports an error.
auto deflate_bytes(std::string_view bytes) -> std::optional<std::string>;

/// Decompresses zlib data whose decompressed size in bytes is known. Returns nothing when the data
/// is malformed or has another size.
auto inflate_bytes(std::string_view bytes, std::size_t size) -> std::optional<std::string>;

} // namespace cyclamenpost
