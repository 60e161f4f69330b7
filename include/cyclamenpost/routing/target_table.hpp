#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// What the platform publishes of one target.
struct published_target {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t capacity = 1;
    bool draining = false;
    /// How much longer the target stays cold, counted from the arrival of the entry.
    duration cold_remaining{};
    /// Wall-clock millisecond of the target's start; tells two starts under one id apart.
    std::int64_t started_ms = 0;
};

/// Why a target left the list.
enum class listing_state { listed, removed, lapsed };

/// From where this instance has a load report; decides to whom it passes it on.
enum class report_origin { own_answer, zone_peer, other_zone };

/// Load that a target reported of itself, to this instance or to another one.
struct reported_load {
    /// Requests that ran or waited.
    std::uint32_t requests = 0;
    /// When the target said so.
    time_point reported_at{};
    /// Requests that this instance has begun since.
    std::uint32_t started_since = 0;
    report_origin origin = report_origin::own_answer;
    /// When this instance learnt it.
    time_point received_at{};
};

/// One target with what this instance has seen of it.
struct target {
    published_target published;
    listing_state listing = listing_state::listed;
    time_point unlisted_at{};
    time_point cold_until{};
    /// Times of the last requests while cold, for the share of the cold allowance.
    std::deque<time_point> cold_request_times;
    /// Requests of this instance that are at the target.
    std::uint32_t in_flight = 0;
    time_point last_started{};
    std::optional<reported_load> load;
    /// Failures since the last good answer, and until when the target is avoided for them.
    std::uint32_t consecutive_failures = 0;
    time_point backoff_until{};
    /// The target refused or dropped a connection; it may have started again and be cold.
    bool unreachable = false;
};

/// Times of target care.
struct target_settings {
    std::string zone;
    /// An entry that vanished while the store was away may be back this long after its return.
    duration lapse_grace = std::chrono::seconds{2};
    /// A target is avoided this long after its first failure; doubled with each further one.
    duration initial_backoff = std::chrono::milliseconds{500};
    duration max_backoff = std::chrono::seconds{4};
    /// Reports older than this say nothing.
    duration max_load_age = std::chrono::seconds{2};
    /// Part of the allowance above a cold target's rate that the fleet uses.
    double cold_rate_factor = 1.0;
    double cold_rate_slack = 0;
};

/// All targets by id, with the zones that are out.
struct target_table {
    target_settings settings;
    std::unordered_map<std::string, target> targets;
    std::unordered_map<std::string, std::vector<std::string>> by_service;
    /// Ids by their keys in messages between instances (name_key).
    std::unordered_map<std::uint32_t, std::string> id_by_key;
    std::set<std::string> evacuated_zones;
    /// Targets of a zone that came back may be cold until then.
    std::map<std::string, time_point> zone_cold_until;
};

/// Takes over an entry of the list. A new start under a known id forgets what was seen of the old.
auto upsert_target(target_table& table, const published_target& entry, time_point now) -> void;

/// Takes an entry from the list. `lapsed` says that it vanished while the store was away.
auto remove_target(target_table& table, const std::string& id, listing_state state, time_point now)
    -> void;

/// Takes a zone out, or back; then its targets count as cold for `cold_time`.
auto set_zone_evacuated(target_table& table, const std::string& zone, bool evacuated,
                        duration cold_time, time_point now) -> void;

/// Forgets targets that have been gone for a while and have no requests left.
auto purge_removed_targets(target_table& table, time_point now) -> void;

/// Whether new requests may go to the target at all.
auto is_eligible(const target_table& table, const target& candidate, time_point now) -> bool;

/// Whether the target may be cold.
auto is_cold(const target_table& table, const target& candidate, time_point now) -> bool;

/// Records the begin of a request.
auto begin_request(target_table& table, target& chosen, time_point now) -> void;

/// How a request at a target ended, as far as the target's health goes.
enum class target_outcome { succeeded, rejected, failed, unreachable, cancelled };

/// Records the end of a request.
auto end_request(target_table& table, target& used, target_outcome outcome, duration cold_time,
                 time_point now) -> void;

/// Records a target's report of its own load, in an answer to this instance.
auto record_load(target& reporting, std::uint32_t running, std::uint32_t waiting, time_point now)
    -> void;

/// Requests that are probably at the target now.
auto estimated_load(const target_table& table, const target& candidate, time_point now) -> double;

/// Share of the cold allowance that this instance may use.
struct cold_quota {
    /// Requests in any one second; 0 when another instance uses the allowance.
    std::uint32_t per_second = 0;
};

/// Divides a cold target's allowance without asking anyone. Each target's allowance goes to the few
/// instances that come first in rendezvous order over the target's id; half of it is kept back for
/// the time in which two instances know different members. An instance that knows no members yet
/// has no share: after a restart of the whole fleet each would take all.
auto cold_quota_of(const target_settings& settings, double cold_per_second,
                   const std::string& target_id, const std::string& own_id,
                   const std::vector<std::string>& members) -> cold_quota;

/// Whether a request may go to a cold target now. A warm target always takes one.
auto cold_quota_allows(const target_table& table, const target& candidate, cold_quota share,
                       time_point now) -> bool;

} // namespace cyclamenpost
