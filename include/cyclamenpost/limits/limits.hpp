#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/relay/problem.hpp"

namespace cyclamenpost {

/// Class of work, which sets how long it may queue.
enum class work_class { interactive, summary };

inline constexpr std::array work_class_names{
    enum_name<work_class>{work_class::interactive, "interactive"},
    enum_name<work_class>{work_class::summary, "summary"},
};

/// A request that waits for a permit.
struct queued_work {
    std::uint64_t id = 0;
    std::string organisation;
    work_class kind = work_class::interactive;
    std::uint64_t cost = 1;
    /// Start of the wait. Work that is queued again keeps it, so its time limit does not start
    /// anew; left at zero, it is the time of queueing.
    time_point queued_at;
    /// The caller's deadline; the queue's own time limit may end the wait earlier.
    std::optional<time_point> deadline;
};

/// Share of one organisation, from the operator text.
struct organisation_share {
    std::uint32_t weight = 1;
    std::uint32_t max_concurrent = 64;

    auto operator==(const organisation_share&) const -> bool = default;
};

/// Bounds of a queue.
struct queue_settings {
    duration interactive_wait = std::chrono::seconds{2};
    duration summary_wait = std::chrono::seconds{10};
    /// Queued requests of all organisations together.
    std::size_t max_queued = 4096;
    /// Queued requests of one organisation.
    std::size_t max_queued_per_organisation = 1024;
    /// Cost an organisation of weight 1 may start per turn.
    std::uint64_t quantum = 4;
    /// Share of organisations the operator text does not name.
    organisation_share default_share;
};

namespace detail {

/// Queue and counters of one organisation with work queued or running.
struct organisation_queue {
    std::list<queued_work> interactive;
    std::list<queued_work> summary;
    std::uint64_t deficit = 0;
    std::uint32_t running = 0;
    bool quantum_granted = false;
    /// Named in `fresh` or `turns`.
    bool scheduled = false;
};

} // namespace detail

/// Queues of all organisations with deficit round robin (Shreedhar and Varghese 1995). An
/// organisation that begins to queue has its first turn before the others, as in DRR++ (MacGregor
/// and Shi 2000), so a small one waits for one request to end and not for a whole round. It stays
/// listed until its next turn even when its queue is empty, so it cannot be first twice in a round.
struct fair_queue {
    queue_settings settings;
    std::unordered_map<std::string, organisation_share> shares;
    std::unordered_map<std::string, detail::organisation_queue> organisations;
    /// Organisations before their first turn.
    std::list<std::string> new_organisations;
    /// Organisations in the order of their turns.
    std::list<std::string> active_organisations;
    std::unordered_map<std::uint64_t, std::pair<std::string, std::list<queued_work>::iterator>>
        by_id;
    std::set<std::pair<time_point, std::uint64_t>> expiry;
};

/// Starts an empty queue.
auto make_fair_queue(queue_settings settings = {}) -> fair_queue;

/// Sets the share of an organisation. Weight and concurrency limit 0 count as 1. The default share
/// is not stored, so names that callers invent take no memory.
auto set_share(fair_queue& queue, const std::string& organisation, organisation_share share)
    -> void;

/// Outcome of an attempt to queue work.
struct enqueue_decision {
    bool queued = false;
    /// Set when the work was not queued.
    std::optional<refusal> reason;
    /// Newest work of the longest queue, pushed out to make room. It did not run.
    std::optional<queued_work> displaced;
};

/// Queues work. When all places are taken, the newest work of the organisation with the longest
/// queue for its weight gives way, so one organisation cannot occupy the places of the others.
auto enqueue_work(fair_queue& queue, queued_work work, time_point now) -> enqueue_decision;

/// Says whether capacity for this work is free now.
using capacity_check = std::function<bool(const queued_work&)>;

/// Takes the next work to start and counts it as running. Organisations at their concurrency limit
/// and work that does not fit are passed over and keep their deficit.
auto start_next_work(fair_queue& queue, const capacity_check& fits, time_point now)
    -> std::optional<queued_work>;

/// Counts work that starts without queueing. Returns false when the organisation already queues or
/// is at its concurrency limit; the work is then queued instead.
auto start_directly(fair_queue& queue, const std::string& organisation) -> bool;

/// Ends running work of an organisation.
auto finish_work(fair_queue& queue, const std::string& organisation) -> void;

/// Removes queued work whose caller has gone. Returns false when it is no longer queued.
auto cancel_work(fair_queue& queue, std::uint64_t id) -> bool;

/// Removes and returns the work whose time limit or deadline has passed. It did not run.
auto expire_work(fair_queue& queue, time_point now) -> std::vector<queued_work>;

/// Time at which the next work expires.
auto next_expiry(const fair_queue& queue) -> std::optional<time_point>;

/// Number of queued requests.
auto queued_count(const fair_queue& queue) -> std::size_t;

} // namespace cyclamenpost
