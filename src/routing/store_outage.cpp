#include "cyclamenpost/routing/store_outage.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// the last write came up to one interval before the outage, or a little more as targets are not
// punctual; the entry lapses three intervals after it
constexpr double lapsing_intervals = 1.75;

} // namespace

auto note_served(store_outage& outage, time_point at) -> void
{
    outage.last_served = std::max(outage.last_served, at);
    if (outage.began && !outage.ended) {
        outage.ended = outage.last_served;
    }
}

auto note_failed(store_outage& outage) -> void
{
    if (!outage.began || outage.ended) {
        outage.began = outage.last_served;
        outage.ended.reset();
    }
}

auto min_lapsing_outage(duration heartbeat) -> duration
{
    return std::chrono::duration_cast<duration>(heartbeat * lapsing_intervals);
}

auto may_have_lapsed(const store_outage& outage, duration heartbeat, duration window,
                     time_point now) -> bool
{
    if (!outage.began) {
        return false;
    }
    const auto end = outage.ended.value_or(now);
    return end - *outage.began >= min_lapsing_outage(heartbeat) && now - end < window;
}

} // namespace cyclamenpost
