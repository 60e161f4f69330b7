#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/relay/problem.hpp"

namespace cyclamenpost {

/// State of an entry instance in the published list and the member table together.
enum class lookup_state { live, suspect, leaving, gone };

/// One entry instance that lookup may name.
struct lookup_instance {
    std::string id;
    std::string zone;
    /// HTTP address, "ip:port".
    std::string address;
    lookup_state state = lookup_state::live;
};

/// A caller's question.
struct lookup_query {
    /// Empty for a caller without a chat.
    std::string_view chat;
    std::string_view organisation;
    std::string_view model;
    /// Gates of the chat's engines in preference order (section 4.1); may be empty.
    std::vector<std::string> preferred;
};

/// What lookup needs to know about the fleet.
struct lookup_view {
    std::vector<lookup_instance> instances;
    std::vector<std::string> zones_out;
    /// Time a caller may keep the answer.
    duration validity = std::chrono::seconds{30};
    /// Share of the validity by which it is varied up and down.
    double validity_jitter = 0.2;
    /// Most addresses in one answer; at least 2.
    std::size_t max_addresses = 3;
};

/// Addresses in the order in which the caller tries them.
struct lookup_answer {
    std::vector<alternative> addresses;
    duration valid{};
};

/// Chooses the addresses for a caller. The first is the first preferred instance that serves, the
/// second is in another zone whenever another zone serves. Further ones follow the rendezvous
/// order of the chat, or of `random` for a caller without a chat, so an instance that comes or
/// goes moves only the callers it takes or loses. Suspected instances come last, leaving ones and
/// zones out never.
auto lookup_addresses(const lookup_view& view, const lookup_query& query, std::uint64_t random)
    -> lookup_answer;

} // namespace cyclamenpost
