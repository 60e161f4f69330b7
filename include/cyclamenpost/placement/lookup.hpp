#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/relay/problem.hpp"

namespace cyclamenpost {

/// State of an entry instance, combined from the published list and the member table.
enum class lookup_state { live, suspect, leaving, gone };

/// An entry instance that lookup may return.
struct lookup_instance {
    std::string id;
    std::string zone;
    /// HTTP address, "ip:port".
    std::string address;
    lookup_state state = lookup_state::live;
};

/// Request of a caller for addresses.
struct lookup_query {
    /// Chat id; empty for a caller without a chat.
    std::string_view chat;
    std::string_view organisation;
    std::string_view model;
    /// Ids of the instances that run the gates of the chat's engines, in the order in which
    /// placement prefers the engines. May be empty.
    std::vector<std::string> preferred;
};

/// Snapshot of the fleet and the settings that lookup uses.
struct lookup_view {
    std::vector<lookup_instance> instances;
    /// Availability zones that the operator has taken out of service.
    std::vector<std::string> zones_out;
    /// Mean time for which a caller may cache the answer.
    duration validity = std::chrono::seconds{30};
    /// Jitter of the validity in both directions, as a fraction of it; callers that asked together
    /// do not return together.
    double validity_jitter = 0.2;
    /// Largest number of addresses in one answer. Values below 2 count as 2.
    std::size_t max_addresses = 3;
};

/// Addresses in the order in which the caller tries them.
struct lookup_answer {
    std::vector<instance_address> addresses;
    /// Time for which the caller may cache the answer.
    duration valid{};
};

/// Chooses the addresses for a caller. The first is the first preferred instance that is eligible;
/// the second is in another availability zone if that has an eligible instance. Others follow in
/// rendezvous order of the chat, or of `random` for a caller without a chat, so an instance that
/// joins or leaves moves only the callers that it gains or loses. Suspected instances come last.
/// Leaving instances and those of zones out of service are not eligible.
auto lookup_addresses(const lookup_view& view, const lookup_query& query, std::uint64_t random)
    -> lookup_answer;

} // namespace cyclamenpost
