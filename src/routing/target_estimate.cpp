#include "cyclamenpost/routing/target_estimate.hpp"

namespace cyclamenpost {

auto estimate_target(const target_table& table, const target& candidate, time_point now)
    -> target_estimate
{
    auto estimate = target_estimate{};
    estimate.requests = estimated_load(table, candidate, now);
    if (candidate.load) {
        estimate.age = now - candidate.load->reported_at;
    }
    return estimate;
}

} // namespace cyclamenpost
