#pragma once

#include <cstddef>

namespace cyclamenpost {

/// Bytes that all requests of a process may buffer together.
struct byte_budget {
    std::size_t limit = 0;
    std::size_t used = 0;
    /// Bytes that one holder gets even if the limit is reached, so that a few holders of many bytes
    /// cannot stop the others. All holders together get a quarter of the limit in this way; one of
    /// at most 4 KiB within its guarantee is always served.
    std::size_t guaranteed_per_holder = std::size_t{64} << 10U;
};

/// Changes the bytes of one holder from `held` to `wanted`. Returns false and changes nothing if
/// the holder wants more than before and the limit would be exceeded: for up to the guaranteed
/// bytes, the limit plus the part that is kept for them.
auto hold_bytes(byte_budget& budget, std::size_t& held, std::size_t wanted) -> bool;

} // namespace cyclamenpost
