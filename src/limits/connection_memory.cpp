#include "cyclamenpost/limits/connection_memory.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// the program, its libraries and the published state take the rest
constexpr std::size_t callers_divisor = 4;
constexpr std::size_t targets_divisor = 4;
constexpr std::size_t store_divisor = 8;
constexpr std::size_t peers_divisor = 16;
constexpr std::size_t min_memory_bytes = std::size_t{32} << 20U;
// a reader on a working network takes some bytes in this time
constexpr duration reader_grace = std::chrono::seconds{1};

/// Bytes times the time for which they have been held, in byte-milliseconds.
auto weight_of(const connection_holding& holding, time_point now) -> double
{
    const auto held = std::chrono::duration<double, std::milli>(now - holding.since).count();
    return static_cast<double>(holding.bytes) * (std::max(held, 0.0) + 1);
}

template <typename Eligible, typename Before>
auto sorted_indexes(const std::vector<connection_holding>& holdings, Eligible&& eligible,
                    Before&& before) -> std::vector<std::size_t>
{
    auto indexes = std::vector<std::size_t>{};
    for (std::size_t index = 0; index < holdings.size(); ++index) {
        if (eligible(holdings[index])) {
            indexes.push_back(index);
        }
    }
    std::sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
        return before(holdings[left], holdings[right]);
    });
    return indexes;
}

} // namespace

auto memory_shares_for(std::size_t memory_bytes, std::size_t largest_body) -> memory_shares
{
    const auto memory = std::max(memory_bytes, min_memory_bytes);
    auto shares = memory_shares{};
    // a quarter of a body's size is room for the other connections
    shares.callers = std::max(memory / callers_divisor, largest_body + largest_body / 4);
    shares.targets = std::max(memory / targets_divisor, largest_body + largest_body / 4);
    shares.store = memory / store_divisor;
    shares.peers = memory / peers_divisor;
    return shares;
}

auto choose_for_bytes(const std::vector<connection_holding>& holdings, std::size_t bytes,
                      shortage degree, time_point now) -> std::vector<std::size_t>
{
    const auto may_close = [&](const connection_holding& holding) {
        switch (holding.state) {
        case holder_state::idle:
        case holder_state::incomplete:
            return true;
        case holder_state::unread:
            return degree == shortage::severe || now - holding.since > reader_grace;
        case holder_state::serving:
            return false;
        }
        return false;
    };
    auto chosen = sorted_indexes(holdings, may_close, [&](const auto& left, const auto& right) {
        return weight_of(left, now) > weight_of(right, now);
    });
    auto freed = std::size_t{0};
    auto count = std::size_t{0};
    while (count < chosen.size() && freed < bytes) {
        freed += holdings[chosen[count++]].bytes;
    }
    chosen.resize(count);
    return chosen;
}

auto choose_for_descriptors(const std::vector<connection_holding>& holdings, std::size_t count,
                            time_point now) -> std::vector<std::size_t>
{
    const auto may_close = [](const connection_holding& holding) {
        return holding.state == holder_state::idle || holding.state == holder_state::incomplete;
    };
    auto chosen = sorted_indexes(holdings, may_close, [&](const auto& left, const auto& right) {
        if (left.state != right.state) {
            return left.state == holder_state::idle;
        }
        return left.state == holder_state::idle ? left.since < right.since
                                                : weight_of(left, now) > weight_of(right, now);
    });
    chosen.resize(std::min(chosen.size(), count));
    return chosen;
}

} // namespace cyclamenpost
