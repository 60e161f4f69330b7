#include "cyclamenpost/transport/deflate.hpp"

#include <zlib.h>

namespace cyclamenpost {

auto deflate_bytes(std::string_view bytes) -> std::optional<std::string>
{
    auto size = compressBound(bytes.size());
    auto deflated = std::string(size, '\0');
    // the lowest level already finds repeated names; higher levels take several times as long
    const auto code =
        compress2(reinterpret_cast<Bytef*>(deflated.data()), &size,
                  reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (code != Z_OK) {
        return std::nullopt;
    }
    deflated.resize(size);
    return deflated;
}

auto inflate_bytes(std::string_view bytes, std::size_t size) -> std::optional<std::string>
{
    auto inflated = std::string(size, '\0');
    auto written = static_cast<uLongf>(size);
    const auto code = uncompress(reinterpret_cast<Bytef*>(inflated.data()), &written,
                                 reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (code != Z_OK || written != size) {
        return std::nullopt;
    }
    return inflated;
}

} // namespace cyclamenpost
