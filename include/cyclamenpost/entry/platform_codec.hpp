#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/routing/published_state.hpp"
#include "cyclamenpost/routing/route_table.hpp"
#include "cyclamenpost/routing/target_table.hpp"
#include "cyclamenpost/transport/http1.hpp"

namespace cyclamenpost {

/// One part of a prompt that requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a caller says of its request, besides method, target and body.
struct request_metadata {
    std::string id;
    std::string host;
    std::string api_key;
    std::optional<duration> deadline;
    std::vector<prompt_part> prompt;
    /// The caller has had the events up to this one.
    std::optional<std::uint64_t> last_event_id;
};

/// What the instance adds to a request that it sends to a target.
struct forwarding_metadata {
    std::string target_id;
    /// Empty when the route is open.
    std::string organisation;
    duration deadline{};
    std::optional<int> priority;
    std::optional<std::uint64_t> last_event_id;
    /// Address of a target from which this one fetches what it lacks of the prompt; empty for none.
    std::string prompt_cache_source;
};

/// Load of a target as one of its answers states it.
struct target_load_report {
    /// Requests in work, this one included.
    std::uint32_t running = 0;
    /// Requests that wait for a slot.
    std::uint32_t waiting = 0;
};

/// What a target says in the head of an answer.
struct answer_metadata {
    std::string request_id;
    std::string target_id;
    /// The target vouches for the answer.
    bool has_receipt = false;
    /// The target says that it did not run the request.
    bool not_executed = false;
    bool event_stream = false;
    std::optional<target_load_report> load;
    std::optional<duration> cold_remaining;
};

/// What a store item is about.
enum class store_item_kind { configuration, target, zone_evacuation, other };

/// A decoded key of the store: its kind, and the target's id or the zone's name.
struct store_item_key {
    store_item_kind kind = store_item_kind::other;
    std::string name;
};

/// One page of a listing.
struct listing_page {
    std::vector<published_item> items;
    bool more = false;
    std::uint64_t revision = 0;
};

/// Changes that a watch returned.
struct watched_changes {
    std::vector<published_item> items;
    std::uint64_t revision = 0;
};

/// A caller's question which addresses to use.
struct directory_query {
    std::string zone;
};

/// How the platform spells what an instance exchanges with it. An adapter fills it; nothing here
/// decides anything.
struct platform_codec {
    std::function<request_metadata(const request_head&)> decode_request;
    std::function<request_head(const request_head&, const forwarding_metadata&)> encode_request;
    std::function<answer_metadata(const response_head&)> decode_answer;
    /// Head of an answer of the instance's own; the wait is left out when it is zero.
    std::function<response_head(int status, duration retry_after)> encode_local_reply;

    /// Prefixes of the store that an instance reads.
    std::vector<std::string> store_prefixes;
    std::function<request_head(const std::string& prefix, const std::string& after_key)>
        list_request;
    std::function<request_head(const std::string& prefix, std::uint64_t after, duration wait)>
        watch_request;
    std::function<std::optional<listing_page>(std::string_view body)> decode_listing;
    std::function<std::optional<watched_changes>(std::string_view body)> decode_changes;
    std::function<store_item_key(const std::string& key)> decode_key;
    std::function<std::optional<route_table>(std::string_view value)> decode_configuration;
    std::function<std::optional<published_target>(const std::string& id, std::string_view value)>
        decode_target;

    std::function<bool(const request_head&)> is_readiness_probe;
    std::function<std::optional<directory_query>(const request_head&)> decode_directory_query;
    std::function<std::string(const std::vector<std::string>& addresses, duration validity)>
        encode_directory;
};

} // namespace cyclamenpost
