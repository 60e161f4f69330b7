#pragma once

#include <optional>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// When the store may have been unavailable, as its answers tell. An outage lies between two
/// answers, so one call that ends without an answer bounds it but does not prove it.
struct store_outage {
    /// When the store last served this instance, or another one that said so.
    time_point last_served{};
    /// The last time before the last failed call at which the store served; none before a failure.
    std::optional<time_point> began;
    /// The first answer since; none while the store does not answer.
    std::optional<time_point> ended;
};

/// Records that the store has served.
auto note_served(store_outage& outage, time_point at) -> void;

/// Records that a call ended without an answer.
auto note_failed(store_outage& outage) -> void;

/// Shortest outage in which the entry of a target that is well can lapse. Targets write about once
/// in every `heartbeat`, and an entry lapses after three intervals without a write.
auto min_lapsing_outage(duration heartbeat) -> duration;

/// Whether entries that vanish now may have lapsed in an outage: one that may have been long enough
/// goes on, or ended less than `window` ago.
auto may_have_lapsed(const store_outage& outage, duration heartbeat, duration window,
                     time_point now) -> bool;

} // namespace cyclamenpost
