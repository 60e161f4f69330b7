#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenpost {

/// Compresses bytes in the zlib format (RFC 1950). Nothing when the library refuses.
auto deflate_bytes(std::string_view bytes) -> std::optional<std::string>;

/// Restores bytes whose size is known. Nothing for bytes of another size or format.
auto inflate_bytes(std::string_view bytes, std::size_t size) -> std::optional<std::string>;

} // namespace cyclamenpost
