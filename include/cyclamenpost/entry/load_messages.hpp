#pragma once

#include <optional>
#include <vector>

#include "cyclamenpost/membership/wire.hpp"
#include "cyclamenpost/routing/fleet_load.hpp"
#include "cyclamenpost/routing/limit_sharing.hpp"
#include "cyclamenpost/routing/load_sharing.hpp"

namespace cyclamenpost {

/// Load reports, figures and limits of one message between instances.
struct load_message {
    std::vector<shared_load> loads;
    std::optional<fleet_list> figures;
    std::vector<shared_limit> limits;
};

/// Encodes loads, figures and limits that were known at `now`. With `with_pace`, the pace of
/// targets is sent too.
auto encode_load_message(const load_message& message, bool with_pace, time_point now)
    -> wire::envelope;

/// Decodes a message that arrived at `now`. Nothing if its lists differ in length or a figure is
/// out of range.
auto decode_load_message(const wire::load_reports& reports, time_point now)
    -> std::optional<load_message>;

} // namespace cyclamenpost
