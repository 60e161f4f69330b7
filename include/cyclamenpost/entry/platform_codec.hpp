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

/// One part of a prompt. Requests with the same leading parts share a prefix.
struct prompt_part {
    /// Hash of the part's content.
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Metadata in the headers of a caller's request.
struct request_metadata {
    std::string id;
    std::string host;
    std::string api_key;
    /// Time that the caller waits for the final answer.
    std::optional<duration> deadline;
    std::vector<prompt_part> prompt;
    /// Id of the last event that the caller has received, when it resumes a stream.
    std::optional<std::uint64_t> last_event_id;
};

/// Metadata that the instance adds to a request that it forwards to a target.
struct forwarding_metadata {
    std::string target_id;
    /// Empty when the route needs no API key.
    std::string organisation;
    /// Time left for the answer.
    duration deadline{};
    std::optional<int> priority;
    std::optional<std::uint64_t> last_event_id;
    /// Address of a target from which this one can copy the cached prompt; empty for none.
    std::string prompt_cache_source;
};

/// Load that a target reports in an answer.
struct target_load_report {
    /// Requests being processed, this one included.
    std::uint32_t running = 0;
    /// Requests waiting for a free slot.
    std::uint32_t waiting = 0;
    std::optional<std::uint32_t> slots;
    /// Time that processing takes, as a multiple of the usual time.
    std::optional<double> pace;
};

/// Metadata in the head of a target's answer.
struct answer_metadata {
    std::string request_id;
    std::string target_id;
    /// The answer carries the target's seal; a successful answer without one is not trusted.
    bool has_receipt = false;
    /// The target states that it did not execute the request.
    bool not_executed = false;
    /// The target is leaving and serves only for a while.
    bool leaving = false;
    /// Time for which the target wants no further request, if it turned this one away.
    duration rest{};
    bool event_stream = false;
    /// The body has a content encoding, which callers do not ask for; it is not the target's own.
    bool encoded = false;
    std::optional<target_load_report> load;
    /// The target reported a load that is malformed; it is ignored as a whole.
    bool load_unreadable = false;
    /// Time for which the target remains cold.
    std::optional<duration> cold_remaining;
    /// Requests per second that the target takes from all instances together.
    std::optional<double> limit;
    /// The target named a limit that cannot be read. Without another one the answer says nothing of
    /// a limit, neither that there is one nor that there is none.
    bool limit_unreadable = false;
};

/// Kinds of store items.
enum class store_item_kind { configuration, target, zone_evacuation, other };

/// A decoded store key: its kind, and the target's id or the zone's name.
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

/// Era of the store as an answer names it. A store raises it each time that it comes back from an
/// older copy.
struct store_era {
    /// Nothing if the answer names none that can be read.
    std::optional<std::uint64_t> era;
    /// The answer names one that cannot be read.
    bool unreadable = false;
};

/// A caller's query for the addresses of instances.
struct directory_query {
    /// The caller's zone.
    std::string zone;
};

/// Encoders and decoders of the platform's headers, store items and directory answers. The platform
/// adapter supplies the functions; they translate only and make no decisions.
struct platform_codec {
    std::function<request_metadata(const request_head&)> decode_request;
    std::function<request_head(const request_head&, const forwarding_metadata&)> encode_request;
    std::function<answer_metadata(const response_head&)> decode_answer;
    /// Head of an answer that the instance itself gives; no Retry-After field for a wait of zero.
    std::function<response_head(int status, duration retry_after)> encode_local_reply;

    /// Key prefixes of the store that an instance reads.
    std::vector<std::string> store_prefixes;
    std::function<request_head(const std::string& prefix, const std::string& after_key)>
        list_request;
    std::function<request_head(const std::string& prefix, std::uint64_t after, duration wait)>
        watch_request;
    std::function<std::optional<listing_page>(std::string_view body)> decode_listing;
    std::function<std::optional<watched_changes>(std::string_view body)> decode_changes;
    /// Reads the era in the head of any answer of the store.
    std::function<store_era(const response_head&)> decode_store_era;
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
