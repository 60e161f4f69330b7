#pragma once

#include <functional>
#include <random>
#include <string>

#include "cyclamenpost/membership/bus.hpp"
#include "cyclamenpost/membership/membership.hpp"
#include "cyclamenpost/membership/wire.hpp"
#include "cyclamenpost/transport/event_loop.hpp"

namespace cyclamenpost {

/// Callbacks of a cluster node.
struct cluster_handlers {
    std::function<void(const member_change&)> on_member_change;
    /// Called for each probe or acknowledgement of a peer whose configuration differs or whose
    /// instance list is newer.
    std::function<void(const peer_config_version&)> on_peer_config_version;
    /// Receives all messages that are not part of the membership protocol.
    std::function<void(const wire::envelope&)> on_message;
    /// Called for each message of any kind, before the others. May be empty.
    std::function<void(const std::string& instance)> on_heard;
};

/// Owns the bus and the member table of an instance and runs the membership protocol on the loop.
class cluster_node {
public:
    cluster_node(event_loop& loop, member_record self, bus_settings settings,
                 membership_settings timing = {});

    /// Binds the bus and starts probing. Fails with `bus_failed`.
    auto start(cluster_handlers handlers) -> result<void>;

    /// Stops probing.
    auto stop() -> void;

    /// Sends a message to a member. Returns false when the member is unknown or its queue is full;
    /// the message is then lost.
    auto send(const std::string& instance, const wire::envelope& message) -> bool;

    /// Sends a message to an address that is not in the member table yet.
    auto send_to_address(const std::string& address, const wire::envelope& message) -> bool;

    /// Applies a published instance list.
    auto apply_instance_list(std::uint64_t version, const std::vector<member_record>& listed)
        -> void;

    /// Announces that this instance is leaving.
    auto leave() -> void;

    /// Sets the address on which callers reach this instance; empty while it accepts
    /// none.
    auto set_http_address(std::string address) -> void;

    /// Sets the load of this instance's own targets, summed by model.
    auto set_load(std::vector<model_load> loads) -> void;

    /// Sets the configuration version in force, which probes and acknowledgements carry.
    auto set_config_version(std::uint64_t version, std::uint64_t digest) -> void;

    /// Sets the models whose loads are sent by position instead of by key. Instances use the models
    /// of the operator text in force.
    auto set_model_catalogue(const std::vector<std::string>& models) -> void;

    /// The member table.
    auto membership() const -> const membership_state&;

    /// This instance's own record.
    auto self() const -> const member_record&;

    /// Traffic of the bus.
    auto traffic() const -> bus_counters;

private:
    auto perform(const membership_step& step) -> void;
    auto tick() -> void;
    auto receive(const wire::envelope& message) -> void;

    event_loop& loop_;
    bus_settings bus_settings_;
    bus bus_;
    membership_state state_;
    std::mt19937_64 random_;
    cluster_handlers handlers_;
    model_catalogue catalogue_;
    timer ticks_;
};

} // namespace cyclamenpost
