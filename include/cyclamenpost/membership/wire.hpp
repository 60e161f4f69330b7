#pragma once

#include <optional>

#include "cyclamenpost.pb.h"
#include "cyclamenpost/membership/membership.hpp"

namespace cyclamenpost {

/// Encodes a membership message as the body of an envelope. Ages are relative to `now`. Sums that
/// hold a model outside the catalogue are sent with model keys.
auto to_wire(const gossip_message& message, time_point now, const model_catalogue& catalogue = {})
    -> wire::envelope;

/// Writes the sender's identity into an envelope.
auto set_sender(wire::envelope& envelope, const member_identity& sender) -> void;

/// Decodes a membership message. Nothing when the envelope has no sender, another kind of body or a
/// value out of range. Times are relative to `now`. Loads that refer to another catalogue are left
/// out; instances differ in it only while a new operator text spreads.
auto from_wire(const wire::envelope& envelope, time_point now,
               const model_catalogue& catalogue = {}) -> std::optional<incoming_message>;

} // namespace cyclamenpost
