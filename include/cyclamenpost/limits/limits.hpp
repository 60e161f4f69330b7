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

/// Class of a request; sets its queue time limit.
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
    /// Time at which the wait began. A request that is queued again keeps it, so its time limit
    /// does not start anew. Set by `enqueue_work` when zero.
    time_point queued_at;
    /// Deadline of the caller; the queue's time limit may end the wait earlier.
    std::optional<time_point> deadline;
};

/// Weight and concurrency limit of one organisation, from the operator text.
struct organisation_share {
    std::uint32_t weight = 1;
    std::uint32_t max_concurrent = 64;

    auto operator==(const organisation_share&) const -> bool = default;
};

/// Limits of a queue.
struct queue_settings {
    /// Longest wait of an interactive request.
    duration interactive_wait = std::chrono::seconds{2};
    /// Longest wait of a summary.
    duration summary_wait = std::chrono::seconds{10};
    /// Largest number of queued requests of all organisations together.
    std::size_t max_queued = 4096;
    /// Largest number of queued requests of one organisation.
    std::size_t max_queued_per_organisation = 1024;
    /// Cost that an organisation of weight 1 may start per turn.
    std::uint64_t quantum = 4;
    /// Share of organisations that the operator text does not name.
    organisation_share default_share;
    /// Within an organisation and class, work with the earliest deadline starts first; otherwise
    /// the oldest does.
    bool by_deadline = false;
};

namespace detail {

/// Queues and counters of one organisation with queued or running requests.
struct organisation_queue {
    std::list<queued_work> interactive;
    std::list<queued_work> summary;
    std::uint64_t deficit = 0;
    std::uint32_t running = 0;
    /// Whether the quantum of the current turn was added to the deficit.
    bool quantum_granted = false;
    /// Whether it is in `new_organisations` or `active_organisations`.
    bool scheduled = false;
};

} // namespace detail

/// Queues of all organisations, scheduled by deficit round robin (Shreedhar and Varghese 1995). An
/// organisation that begins to queue has its first turn before the others, as in DRR++ (MacGregor
/// and Shi 2000), so a small one waits for one request to end rather than for a whole round. It
/// stays scheduled until its next turn even when its queue is empty, so it cannot be first twice in
/// a round.
struct fair_queue {
    queue_settings settings;
    std::unordered_map<std::string, organisation_share> shares;
    std::unordered_map<std::string, detail::organisation_queue> organisations;
    /// Organisations before their first turn.
    std::list<std::string> new_organisations;
    /// Organisations in the order of their turns.
    std::list<std::string> active_organisations;
    /// Organisation and queue position of each queued request.
    std::unordered_map<std::uint64_t, std::pair<std::string, std::list<queued_work>::iterator>>
        by_id;
    /// Queued requests in the order in which they expire.
    std::set<std::pair<time_point, std::uint64_t>> expiry;
};

/// Creates an empty queue.
auto make_fair_queue(queue_settings settings = {}) -> fair_queue;

/// Sets the share of an organisation. Weight and concurrency limit 0 count as 1. The default share
/// is not stored, so that arbitrary names from callers use no memory.
auto set_share(fair_queue& queue, const std::string& organisation, organisation_share share)
    -> void;

/// Outcome of an attempt to queue work.
struct enqueue_decision {
    bool queued = false;
    /// Set when the work was not queued.
    std::optional<refusal> reason;
    /// Newest work of the longest queue, removed to make room. It did not run.
    std::optional<queued_work> displaced;
};

/// Queues work. When the queue is full, it displaces the newest work of the organisation whose
/// queue is longest relative to its weight, so that one organisation cannot use up the capacity of
/// the others. Refused when that is the organisation of the new work.
auto enqueue_work(fair_queue& queue, queued_work work, time_point now) -> enqueue_decision;

/// Removes the newest work of the organisation whose queue is longest relative to its weight, to
/// make room for work of `newcomer`, unless that organisation's queue would be the longest itself;
/// without a newcomer in any case. The work did not run.
auto displace_work(fair_queue& queue, const std::optional<std::string>& newcomer)
    -> std::optional<queued_work>;

/// Returns whether there is capacity for this work now.
using capacity_check = std::function<bool(const queued_work&)>;

/// Removes the next work to start from the queue and counts it as running. Organisations that are
/// at their concurrency limit, or whose work does not fit, are skipped and keep their deficit,
/// which is capped.
auto start_next_work(fair_queue& queue, const capacity_check& fits, time_point now)
    -> std::optional<queued_work>;

/// Counts work that starts without queueing. Returns false, and counts nothing, when the
/// organisation has queued work or is at its concurrency limit; the caller then queues the work.
auto start_directly(fair_queue& queue, const std::string& organisation) -> bool;

/// Counts running work of an organisation as finished.
auto finish_work(fair_queue& queue, const std::string& organisation) -> void;

/// Removes queued work whose caller has disconnected. Returns false when it is no longer queued.
auto cancel_work(fair_queue& queue, std::uint64_t id) -> bool;

/// Removes and returns the work whose time limit or deadline has passed. It did not run.
auto expire_work(fair_queue& queue, time_point now) -> std::vector<queued_work>;

/// Time at which the next work expires.
auto next_expiry(const fair_queue& queue) -> std::optional<time_point>;

/// Number of queued requests.
auto queued_count(const fair_queue& queue) -> std::size_t;

} // namespace cyclamenpost
