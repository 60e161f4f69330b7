#pragma once

#include <cstddef>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Bytes that the connections of a process may hold, by the kind of peer.
struct memory_shares {
    std::size_t callers = 0;
    std::size_t targets = 0;
    std::size_t store = 0;
    std::size_t peers = 0;
};

/// Divides the budget of a process that may use `memory_bytes`. One body of the largest size fits
/// into the callers' share even if the figure for the memory is small or missing.
auto memory_shares_for(std::size_t memory_bytes, std::size_t largest_body) -> memory_shares;

/// What a connection is doing, for the choice of those that give way.
enum class holder_state {
    /// No request has begun and nothing is left to send.
    idle,
    /// A request is being received, or the caller has not read the last response yet.
    incomplete,
    /// A complete request is in progress and its response waits for the caller to read.
    unread,
    /// A complete request is in progress.
    serving
};

/// How short a resource is: `severe` when waiting for slow readers is no longer possible.
enum class shortage { moderate, severe };

/// One connection as the choice sees it.
struct connection_holding {
    std::size_t bytes = 0;
    /// When the connection became idle, its request began or its reader last took bytes.
    time_point since{};
    holder_state state = holder_state::idle;
};

/// Indexes of the connections to close until `bytes` are freed, the one that has held most for
/// longest first. A complete request in progress is never chosen while its caller reads; one whose
/// caller does not read gives way after a while, or at once in a severe shortage.
auto choose_for_bytes(const std::vector<connection_holding>& holdings, std::size_t bytes,
                      shortage degree, time_point now) -> std::vector<std::size_t>;

/// Indexes of the connections to close until `count` descriptors are freed: idle ones, the one that
/// has been idle for longest first, then those without a complete request.
auto choose_for_descriptors(const std::vector<connection_holding>& holdings, std::size_t count,
                            time_point now) -> std::vector<std::size_t>;

} // namespace cyclamenpost
