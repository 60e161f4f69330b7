#pragma once

#include <optional>

#include "cyclamenpost.pb.h"
#include "cyclamenpost/membership.hpp"

namespace cyclamenpost {

/// Writes a membership message into the body of an envelope. Ages are relative to `now`.
auto to_wire(const gossip_message& message, time_point now) -> wire::envelope;

/// Writes the sender's identity into an envelope.
auto set_sender(wire::envelope& envelope, const member_identity& sender) -> void;

/// Reads a membership message. Nothing when the envelope holds another kind of body or a value
/// out of range. Times are relative to `now`.
auto from_wire(const wire::envelope& envelope, time_point now) -> std::optional<incoming_message>;

} // namespace cyclamenpost
