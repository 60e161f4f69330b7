#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// What an instance, a zone or the fleet knows of one target. Counts lose weight with time.
struct fleet_figures {
    std::uint32_t in_flight = 0;
    /// Recent attempts that failed.
    double failed = 0;
    /// Recent attempts that were answered.
    double answered = 0;
    /// Instances that saw the failures.
    std::uint32_t reporters = 0;
    /// Pace as derived from the times of answers; 1 if nothing is known.
    double pace = 1;
    /// End of the newest failed attempt; unset if there is none.
    time_point failed_at{};
    /// Newest answer known; unset if there is none.
    time_point answered_at{};
};

/// Figures that another instance has sent.
struct fleet_part {
    std::uint32_t source = 0;
    /// Position of the message among those accepted here.
    std::uint64_t accepted = 0;
    time_point received_at{};
    fleet_figures figures;
};

/// What is known of one incarnation of a target.
struct target_fleet_record {
    /// Figures of this instance; the counts as of `counted_at`.
    fleet_figures own;
    time_point counted_at{};
    time_point pace_at{};
    /// Number in flight that this instance reported last.
    std::uint32_t reported_in_flight = 0;
    /// Figures of the members of the zone and of the other collectors, if this instance is a
    /// collector.
    std::vector<fleet_part> parts;
    /// Sum of the others' figures. At a collector, from `parts`; else as its collector sent it.
    std::optional<fleet_part> shared;
    /// Part of `shared` that is this instance's own.
    std::uint32_t own_in_shared = 0;
    /// End of the newest failed attempt known from any instance.
    time_point failed_at{};
    /// Answers known since then.
    std::uint32_t answers_since_failure = 0;
};

/// Which instances a list of figures covers.
enum class fleet_scope { instance, zone, fleet };

/// An instance that sends lists, identified by the key of its id (`name_key`).
struct fleet_source {
    std::uint64_t start_ms = 0;
    std::uint32_t sequence = 0;
    fleet_scope scope = fleet_scope::instance;
    /// The last complete list accepted from it; older parts are void.
    std::uint64_t complete_since = 0;
};

/// Usual time to the first byte of a service's answers, in seconds.
struct first_byte_times {
    double mean = 0;
    /// Mean absolute deviation.
    double deviation = 0;
};

/// State of the exchange that does not belong to one target.
struct fleet_state {
    /// `--fleet-load` is on. Otherwise nothing is recorded and estimates are neutral.
    bool active = false;
    std::unordered_map<std::uint32_t, fleet_source> sources;
    /// Lists accepted since the start.
    std::uint64_t accepted = 0;
    /// Targets with failures that have not been sent yet; true if other zones must hear of them.
    std::map<std::string, bool> news;
    /// By service.
    std::map<std::string, first_byte_times, std::less<>> first_byte;
};

} // namespace cyclamenpost
