#include "cyclamenpost/entry/membership_timing.hpp"

namespace cyclamenpost {

auto entry_membership_settings() -> membership_settings
{
    auto chosen = membership_settings{};
    chosen.suspicion_timeout = std::chrono::milliseconds{2500};
    chosen.probe_timeout = std::chrono::milliseconds{250};
    chosen.dead_probe_period = std::chrono::seconds{1};
    chosen.dead_retention = std::chrono::seconds{60};
    return chosen;
}

} // namespace cyclamenpost
