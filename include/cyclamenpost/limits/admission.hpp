#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/limits/limits.hpp"

namespace cyclamenpost {

/// What this instance has seen of a service's capacity lately.
struct service_pressure {
    /// Low quantile of the time from an attempt's begin to the first byte of its answer, in
    /// seconds; 0 without an observation. Time spent in a target's queue is mostly excluded.
    double first_byte_seconds = 0;
    /// Low quantile of the time for which a request occupies a target, in seconds.
    double occupied_seconds = 0;
    /// Refusals of this instance per second, a decaying mean.
    double refusals_per_second = 0;
    time_point refusals_counted_at{};
    /// Targets that lately rejected a request, with the time of the last rejection.
    std::map<std::string, time_point> rejected_at;
};

/// Records the times of a request that succeeded.
auto record_times(service_pressure& seen, duration first_byte, duration occupied) -> void;

/// Records that a target rejected a request.
auto record_rejection(service_pressure& seen, const std::string& target, time_point now) -> void;

/// Counts a refusal of this instance.
auto record_refusal(service_pressure& seen, time_point now) -> void;

/// Refusals of this instance per second, as of now.
auto refusal_rate(const service_pressure& seen, time_point now) -> double;

/// Number of targets that rejected a request within the time in which they run one.
auto rejecting_targets(const service_pressure& seen, time_point now) -> std::size_t;

/// Time from the begin of an attempt to the first byte of its answer when the target has a free
/// slot; zero without an observation.
auto first_byte_time(const service_pressure& seen) -> duration;

/// Facts on which the time until a service has room again depends.
struct capacity_facts {
    /// Requests that the service's usable targets run at the same time, all together.
    double slots = 0;
    /// Usable targets of the service.
    std::size_t targets = 0;
    /// Targets that rejected a request lately.
    std::size_t rejecting = 0;
    /// Requests that are known to wait at the targets.
    double waiting = 0;
    /// Refused callers of the whole fleet that will return, per second.
    double returning_per_second = 0;
    /// Time for which a request occupies a slot; zero when not known.
    duration occupied{};
};

/// Collects the facts about a service of which this instance is one of `instances`.
auto capacity_of(const service_pressure& seen, double slots, std::size_t targets, double waiting,
                 std::size_t instances, time_point now) -> capacity_facts;

/// Expected time until the service takes another request: what waits at its targets, and what
/// returns before, divided by the rate at which it drains. Nothing when the rate is not known.
auto time_until_room(const capacity_facts& facts) -> std::optional<duration>;

/// Time limits of a request at one moment.
struct remaining_time {
    /// Time left until the caller leaves.
    duration caller{};
    /// Time left in which an attempt has to begin to be answered within the objective; negative
    /// when it is too late.
    duration objective{};
};

/// Delay after which a refused caller is asked to return: drawn from a window that begins when room
/// is expected, so that callers refused together do not return together. `random` is in [0, 1).
/// Load pattern: targets reject single requests while others are idle and have room within tens of
/// milliseconds, or are full for seconds, and callers with objectives of 150 to 300 ms return once.
auto return_delay(const capacity_facts& facts, const remaining_time& left, double random)
    -> duration;

/// Pause after which a request is sent again to targets that rejected it. Nothing when it would end
/// too late for an answer within the objective.
auto pause_before_retry(const capacity_facts& facts, const remaining_time& left, double random)
    -> std::optional<duration>;

/// Why a request that waits, or would have to, is rejected.
enum class admission_rule { objective_missed, queue_full, displaced };

inline constexpr std::array admission_rule_names{
    enum_name<admission_rule>{admission_rule::objective_missed, "objective_missed"},
    enum_name<admission_rule>{admission_rule::queue_full, "queue_full"},
    enum_name<admission_rule>{admission_rule::displaced, "displaced"},
};

/// A request that waits for a usable target.
struct waiting_request {
    std::uint64_t id = 0;
    std::string service;
    std::string organisation;
    /// 0 is the most urgent.
    int priority = 0;
    /// Last moment at which the request may be sent.
    time_point latest_start{};
    /// Goes after the requests of its organisation and urgency that are in time.
    bool late = false;
    /// Memory that the request holds.
    std::size_t bytes = 0;
};

/// Limits of the requests that wait at one instance.
struct admission_settings {
    std::size_t max_waiting = 512;
    std::size_t max_bytes = std::size_t{8} << 20U;
    /// A level of urgency with waiting requests is passed over at most this often in a row.
    std::uint32_t max_passed_over = 3;
};

namespace detail {

/// Waiting requests of one service and level of urgency.
struct urgency_level {
    fair_queue queue;
    std::uint32_t passed_over = 0;
};

} // namespace detail

/// Requests that wait for a usable target, by service and urgency. Within a level the organisations
/// take turns, and within an organisation the request with the least time left is first.
struct admission_queue {
    admission_settings settings;
    std::map<std::string, std::map<int, detail::urgency_level>, std::less<>> services;
    std::unordered_map<std::uint64_t, waiting_request> requests;
    /// Requests in the order in which they become too late.
    std::set<std::pair<time_point, std::uint64_t>> latest;
    std::size_t bytes = 0;
};

/// Outcome of an attempt to wait.
struct enter_decision {
    /// Set when the request was not queued.
    std::optional<admission_rule> rejected;
    /// Requests that were removed to make room.
    std::vector<std::uint64_t> displaced;
};

/// Queues a request. When the queue is full, the request with the most time left of the
/// organisation with the most waiting requests makes room, unless it is the newcomer's own.
auto enter_queue(admission_queue& queue, waiting_request request, time_point now) -> enter_decision;

/// Removes a request that is no longer waiting. Does nothing for one that is not queued.
auto leave_queue(admission_queue& queue, std::uint64_t id) -> void;

/// Whether a request may be sent now.
using send_check = std::function<bool(std::uint64_t id)>;

/// Removes the next request of a service that may be sent now. Load pattern: a kind bursts to 2.3
/// times its rate, or an organisation sends 7.5 times its usual one, and neither may keep others
/// from their turn.
auto take_next(admission_queue& queue, std::string_view service, const send_check& can_send,
               time_point now) -> std::optional<std::uint64_t>;

/// Removes and returns the requests whose latest start has passed.
auto take_expired(admission_queue& queue, time_point now) -> std::vector<std::uint64_t>;

/// Number of waiting requests of a service.
auto waiting_count(const admission_queue& queue, std::string_view service) -> std::size_t;

} // namespace cyclamenpost
