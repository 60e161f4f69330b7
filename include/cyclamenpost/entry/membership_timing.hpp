#pragma once

#include "cyclamenpost/membership/membership.hpp"

namespace cyclamenpost {

/// Timing of failure detection between entry instances. A failed instance is to be named by no
/// directory answer 6 s after its loss, so these times are shorter than the defaults.
auto entry_membership_settings() -> membership_settings;

} // namespace cyclamenpost
