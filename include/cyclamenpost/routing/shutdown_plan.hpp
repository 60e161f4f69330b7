#pragma once

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Times of a planned stop.
struct shutdown_plan {
    /// Until then new requests are taken, if they can be expected to end in time.
    time_point accept_until{};
    /// Until then the process stays even if it has nothing to do.
    time_point stay_until{};
    /// By then every request has been answered; the platform kills the process soon after.
    time_point end{};
};

/// Plans a stop that was asked for at `signalled` and may take `grace`.
auto plan_shutdown(time_point signalled, duration grace) -> shutdown_plan;

/// Whether a request that arrives during the stop can be expected to end before the process does.
/// `usual_time` is how long requests to its service take on average; 0 if it is not known. Answers
/// requests that arrive late in a stop and would be cut off at its end.
auto can_serve(const shutdown_plan& plan, duration usual_time, time_point now) -> bool;

} // namespace cyclamenpost
