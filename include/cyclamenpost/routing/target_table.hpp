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
#include "cyclamenpost/routing/fleet_record.hpp"
#include "cyclamenpost/routing/target_limit.hpp"

namespace cyclamenpost {

/// A target as the platform's store lists it.
struct published_target {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t capacity = 1;
    /// The target finishes its requests and accepts no new ones.
    bool draining = false;
    /// Remaining warm-up time, counted from the arrival of the entry.
    duration cold_remaining{};
    /// Wall-clock start time in milliseconds; distinguishes two starts under the same id.
    std::int64_t started_ms = 0;
};

/// Whether the store lists a target.
enum class listing_state {
    listed,
    /// Removed by the platform.
    removed,
    /// Missing after an outage of the store, during which its lease may have expired.
    lapsed,
};

/// Where this instance received a load report; determines which instances it is forwarded to.
/// Ordered from the nearest to the farthest origin.
enum class report_origin {
    /// An answer of the target to this instance.
    own_answer,
    /// Another instance of the own zone.
    zone_peer,
    /// The collector of another zone.
    other_zone,
};

/// Load that a target reported to this instance or to another one.
struct reported_load {
    /// Requests that were running or queued at the target.
    std::uint32_t requests = 0;
    /// When the target reported it.
    time_point reported_at{};
    /// Requests that this instance has sent since the report.
    std::uint32_t started_since = 0;
    report_origin origin = report_origin::own_answer;
    /// When this instance received the report.
    time_point received_at{};
    /// Time that processing takes at the target, as a multiple of the usual time.
    double pace = 1;
};

/// News of a target's limit that is forwarded to other instances. It holds what one answer of the
/// target said, never a value derived from several answers: derived values that instances send each
/// other could stay in force for good.
struct limit_news {
    /// Requests per second that the target announced; unset when no limit applied.
    std::optional<double> per_second;
    /// Time of the answer, or beginning of the attempt for an answer without a limit.
    time_point as_of{};
    report_origin origin = report_origin::own_answer;
    /// When this instance received it.
    time_point received_at{};
};

/// A target with the state that this instance observed.
struct target {
    published_target published;
    listing_state listing = listing_state::listed;
    time_point unlisted_at{};
    time_point cold_until{};
    /// Start times of recent requests while cold; counted against the cold quota.
    std::deque<time_point> cold_request_times;
    /// Requests of this instance that the target has not finished.
    std::uint32_t in_flight = 0;
    time_point last_started{};
    std::optional<reported_load> load;
    /// When this incarnation last answered, to this instance or to one that shared its report.
    time_point answered_at{};
    /// Failures since the last success, and the end of the backoff that they caused.
    std::uint32_t consecutive_failures = 0;
    time_point backoff_until{};
    /// The last connection attempt failed; the target may have restarted and be cold.
    bool unreachable = false;
    /// When this incarnation first said in an answer that it is leaving.
    std::optional<time_point> leaving_since;
    /// The target has asked this instance to send it nothing until then.
    time_point rests_until{};
    /// Requests per second that this incarnation takes from all instances, and the news of them
    /// that is forwarded; unset without any.
    target_limit limit;
    std::optional<limit_news> news_of_limit;
    /// What the fleet knows of this incarnation.
    target_fleet_record fleet;
};

/// Settings of the target table.
struct target_settings {
    std::string zone;
    /// Time for which a lapsed target still receives requests: an entry that is missing after an
    /// outage of the store may reappear this long after the store's return.
    duration lapse_grace = std::chrono::seconds{2};
    /// Time for which a target that leaves still serves.
    duration drain_time = std::chrono::seconds{2};
    /// Backoff after a target's first failure; doubled with each further failure.
    duration initial_backoff = std::chrono::milliseconds{500};
    duration max_backoff = std::chrono::seconds{4};
    /// Older load reports are ignored.
    duration max_load_age = std::chrono::seconds{2};
    /// Age that reports of a target in use have here. A target whose last report is older receives
    /// no requests, so it empties as its requests end.
    duration usual_load_age = std::chrono::milliseconds{500};
    /// The whole fleet may send a cold target its cold rate times this factor, plus the slack, in
    /// requests per second.
    double cold_rate_factor = 1.0;
    double cold_rate_slack = 0;
};

/// All targets by id, with the evacuated zones.
struct target_table {
    target_table() = default;
    /// A copy would hold pointers into the original.
    target_table(const target_table&) = delete;
    target_table(target_table&&) = default;
    auto operator=(const target_table&) -> target_table& = delete;
    auto operator=(target_table&&) -> target_table& = default;
    ~target_table() = default;

    target_settings settings;
    std::unordered_map<std::string, target> targets;
    /// Pointers into `targets`, sorted by id; a choice walks them without looking up ids.
    std::unordered_map<std::string, std::vector<target*>> by_service;
    /// Target ids by the keys used in messages between instances (`name_key`).
    std::unordered_map<std::uint32_t, std::string> id_by_key;
    std::set<std::string> evacuated_zones;
    /// Moving average of the time for which a request occupies a target, in seconds, by service.
    std::map<std::string, double, std::less<>> request_seconds;
    /// End of the warm-up of zones that were returned to service.
    std::map<std::string, time_point> zone_cold_until;
    fleet_state fleet;
    /// Place of this instance among those that share the targets' limits.
    fleet_position position;
    /// Moving average of the tokens of the shared parts of requests' prompts, by service.
    std::map<std::string, double, std::less<>> prompt_tokens;
};

/// What an entry counts for that may be older than a former one of the same target: of two starts
/// the later one, and a leaving that either of them tells.
auto restrict_entry(const published_target& former, published_target restored) -> published_target;

/// Adds or updates a target. A restart under a known id discards the state observed before, except
/// the requests in flight.
auto upsert_target(target_table& table, const published_target& entry, time_point now) -> void;

/// Time after which a target that said that it is leaving, and did not leave, is used again. Its
/// next answer tells whether it still says so.
inline constexpr duration leaving_retention = std::chrono::minutes{2};

/// Records that a target said in an answer that it is leaving. It holds for the incarnation, until
/// `leaving_retention` is over.
auto record_leaving(target& leaving, time_point now) -> void;

/// Longest time for which a target's wish for rest is honoured.
inline constexpr duration max_rest = std::chrono::minutes{10};

/// Records that a target has turned a request away and wants nothing from this instance for a time.
/// Of several wishes the one that ends last holds. A time of 0 or less is no wish.
auto record_rest(target& resting, duration rest, time_point now) -> void;

/// Marks a target as no longer listed, with the given `removed` or `lapsed` state.
auto remove_target(target_table& table, const std::string& id, listing_state state, time_point now)
    -> void;

/// Evacuates a zone or returns it to service; after its return its targets count as cold for
/// `cold_time`.
auto set_zone_evacuated(target_table& table, const std::string& zone, bool evacuated,
                        duration cold_time, time_point now) -> void;

/// Deletes targets that have been unlisted for a while and have no requests in flight.
auto purge_removed_targets(target_table& table, time_point now) -> void;

/// Whether the incarnation of the target with the given key (`name_key`) is known to have answered
/// clearly after `reported`, when it ended a connection: it has not crashed then.
auto has_survived(const target_table& table, std::uint32_t key, std::int64_t started_ms,
                  time_point reported) -> bool;

/// Whether the target may receive new requests. Backoff, load and the cold quota are not checked.
auto is_eligible(const target_table& table, const target& candidate, time_point now) -> bool;

/// Whether a target that is leaving, and else eligible, may still get requests that no other target
/// of its service can take: in the first half of its drain time, so that they arrive before its
/// end.
auto is_last_resort(const target_table& table, const target& candidate, time_point now) -> bool;

/// Whether the target may still be warming up.
auto is_cold(const target_table& table, const target& candidate, time_point now) -> bool;

/// Records that a request is sent to the target.
auto begin_request(target_table& table, target& chosen, time_point now) -> void;

/// End of a request at a target, as it affects the target's health.
enum class target_outcome {
    succeeded,
    /// The target declined to run the request; it is healthy.
    rejected,
    failed,
    /// No connection could be made.
    unreachable,
    /// This instance ended the request.
    cancelled,
};

/// Records the end of a request. A failure starts or extends the target's backoff. An
/// unreachable target counts as cold for `cold_time` after the failure and after its next success,
/// since it may have restarted.
auto end_request(target_table& table, target& used, target_outcome outcome, duration cold_time,
                 time_point now) -> void;

/// Records the load that a target reported in an answer to this instance: requests that are running
/// and requests that are queued, and its pace as a multiple of the usual time.
auto record_load(target& reporting, std::uint32_t running, std::uint32_t waiting, time_point now,
                 double pace = 1) -> void;

/// When any instance was last known to have had an answer from this incarnation; unset if none was.
auto last_heard(const target& known) -> time_point;

/// Average time for which a request has occupied a target of the service lately; 0 if none has.
auto usual_request_time(const target_table& table, std::string_view service) -> duration;

/// Records the time for which one request has occupied a target of the service.
auto record_request_time(target_table& table, const std::string& service, duration occupied)
    -> void;

/// Estimates how many requests are at the target now. Load pattern: targets above the load bound
/// receive nothing, so they report nothing; a report that stood until it was too old would keep
/// them out for two seconds and then call them idle at all instances at once.
auto estimated_load(const target_table& table, const target& candidate, time_point now) -> double;

/// Share of a cold target's allowance that this instance may use.
struct cold_quota {
    /// Requests in any one second; 0 when other instances hold the whole allowance.
    std::uint32_t per_second = 0;
};

/// Computes this instance's share of a cold target's allowance without coordination. The allowance
/// is divided among the few instances that come first in rendezvous order over the target's id.
/// Half of it is held in reserve for times when instances disagree about the membership. An
/// instance that knows no members yet has no share; otherwise, after a restart of the whole fleet,
/// each instance would use the whole allowance.
auto cold_quota_of(const target_settings& settings, double cold_per_second,
                   const std::string& target_id, const std::string& own_id,
                   const std::vector<std::string>& members) -> cold_quota;

/// Whether the quota allows a request to the target now. A warm target has no quota.
auto cold_quota_allows(const target_table& table, const target& candidate, cold_quota share,
                       time_point now) -> bool;

/// Records the tokens of the shared parts of one request's prompt.
auto record_prompt_size(target_table& table, const std::string& service, std::uint32_t tokens)
    -> void;

/// Whether the limit that the target has announced, if any, allows a request of this instance now.
/// A request whose prompt has fewer shared tokens than usual for the service uses a turn only in
/// the second half of its time.
///
/// Load pattern: half of a target's requests have to go elsewhere, and each prompt that moves is
/// copied or processed again, so those with the least to lose go first.
auto limit_allows(const target_table& table, const target& candidate, std::uint32_t prompt_tokens,
                  time_point now) -> bool;

/// When the limit of a target allows the next request of this instance; unset while the size of the
/// fleet is not known.
auto next_allowed(const target_table& table, const target& candidate, std::uint32_t prompt_tokens,
                  time_point now) -> std::optional<time_point>;

} // namespace cyclamenpost
