#include "cyclamenpost/limits/limits.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenpost {

namespace {

using detail::organisation_queue;

// Larger costs count as this towards the deficit, so that no request needs many rounds.
constexpr std::uint64_t max_counted_cost = 1024;

auto counted_cost(const queued_work& work) -> std::uint64_t
{
    return std::min(work.cost, max_counted_cost);
}

auto share_of(const fair_queue& queue, const std::string& organisation) -> organisation_share
{
    const auto found = queue.shares.find(organisation);
    return found == queue.shares.end() ? queue.settings.default_share : found->second;
}

auto queue_length(const organisation_queue& entry) -> std::size_t
{
    return entry.interactive.size() + entry.summary.size();
}

auto list_for(organisation_queue& entry, work_class kind) -> std::list<queued_work>&
{
    return kind == work_class::interactive ? entry.interactive : entry.summary;
}

auto expires_at(const queue_settings& settings, const queued_work& work) -> time_point
{
    const auto wait =
        work.kind == work_class::interactive ? settings.interactive_wait : settings.summary_wait;
    const auto limit = work.queued_at + wait;
    return work.deadline ? std::min(limit, *work.deadline) : limit;
}

auto erase_if_idle(fair_queue& queue, const std::string& organisation) -> void
{
    const auto& entry = queue.organisations.at(organisation);
    if (!entry.scheduled && entry.running == 0 && queue_length(entry) == 0) {
        queue.organisations.erase(organisation);
    }
}

auto unschedule_front(fair_queue& queue, std::list<std::string>& list) -> void
{
    const auto name = std::move(list.front());
    list.pop_front();
    auto& entry = queue.organisations.at(name);
    entry.scheduled = false;
    entry.deficit = 0;
    entry.quantum_granted = false;
    erase_if_idle(queue, name);
}

// without queued work there is no round, so no organisation has to wait for its turn
auto unschedule_all_if_empty(fair_queue& queue) -> void
{
    if (!queue.by_id.empty()) {
        return;
    }
    for (auto* list : {&queue.new_organisations, &queue.active_organisations}) {
        while (!list->empty()) {
            unschedule_front(queue, *list);
        }
    }
}

auto remove_queued(fair_queue& queue, std::uint64_t id) -> queued_work
{
    const auto found = queue.by_id.find(id);
    const auto organisation = found->second.first;
    const auto position = found->second.second;
    auto work = std::move(*position);
    auto& entry = queue.organisations.at(organisation);
    list_for(entry, work.kind).erase(position);
    queue.expiry.erase({expires_at(queue.settings, work), id});
    queue.by_id.erase(found);
    unschedule_all_if_empty(queue);
    return work;
}

auto length_by_weight(const fair_queue& queue, const std::string& organisation, std::size_t length)
    -> double
{
    return static_cast<double>(length) / share_of(queue, organisation).weight;
}

auto longest_queue(const fair_queue& queue) -> const std::string*
{
    const std::string* longest = nullptr;
    auto most = 0.0;
    for (const auto& [name, entry] : queue.organisations) {
        const auto length = length_by_weight(queue, name, queue_length(entry));
        if (length > most) {
            most = length;
            longest = &name;
        }
    }
    return longest;
}

auto newest_id(const organisation_queue& entry) -> std::uint64_t
{
    if (entry.summary.empty()) {
        return entry.interactive.back().id;
    }
    if (entry.interactive.empty()) {
        return entry.summary.back().id;
    }
    const auto& left = entry.interactive.back();
    const auto& right = entry.summary.back();
    return left.queued_at > right.queued_at ? left.id : right.id;
}

auto queue_length_of(const fair_queue& queue, const std::string& organisation) -> std::size_t
{
    const auto found = queue.organisations.find(organisation);
    return found == queue.organisations.end() ? 0 : queue_length(found->second);
}

auto refuse_work(refusal reason) -> enqueue_decision
{
    auto decision = enqueue_decision{};
    decision.reason = reason;
    return decision;
}

auto append_work(fair_queue& queue, queued_work work) -> void
{
    auto& entry = queue.organisations[work.organisation];
    if (!entry.scheduled) {
        entry.scheduled = true;
        queue.new_organisations.push_back(work.organisation);
    }
    const auto id = work.id;
    const auto organisation = work.organisation;
    queue.expiry.emplace(expires_at(queue.settings, work), id);
    auto& list = list_for(entry, work.kind);
    const auto position =
        queue.settings.by_deadline && work.deadline
            ? std::find_if(list.begin(), list.end(),
                           [&](const queued_work& other) {
                               return !other.deadline || *other.deadline > *work.deadline;
                           })
            : list.end();
    queue.by_id.emplace(id, std::pair{organisation, list.insert(position, std::move(work))});
}

// first request of the organisation that fits, interactive ones before summaries
auto first_fitting(const organisation_queue& entry, const capacity_check& fits)
    -> const queued_work*
{
    for (const auto* list : {&entry.interactive, &entry.summary}) {
        if (!list->empty() && fits(list->front())) {
            return &list->front();
        }
    }
    return nullptr;
}

auto end_turn(fair_queue& queue, std::list<std::string>& list, organisation_queue& entry) -> void
{
    entry.quantum_granted = false;
    queue.active_organisations.splice(queue.active_organisations.end(), list, list.begin());
}

auto grant_quantum(const fair_queue& queue, const std::string& name, organisation_queue& entry)
    -> void
{
    if (entry.quantum_granted) {
        return;
    }
    entry.quantum_granted = true;
    entry.deficit += queue.settings.quantum * share_of(queue, name).weight;
}

auto head_cost(const organisation_queue& entry) -> std::uint64_t
{
    if (queue_length(entry) == 0) {
        return 0;
    }
    const auto& list = entry.interactive.empty() ? entry.summary : entry.interactive;
    return counted_cost(list.front());
}

// Caps the deficit of a skipped organisation at the cost of its first request and one quantum, so
// that it cannot accumulate turns while it may not start anything.
auto cap_deficit(const fair_queue& queue, const std::string& name, organisation_queue& entry)
    -> void
{
    const auto quantum = queue.settings.quantum * share_of(queue, name).weight;
    entry.deficit = std::min(entry.deficit, head_cost(entry) + quantum);
}

struct turn {
    /// Work that may start now.
    const queued_work* work = nullptr;
    /// Whether only the deficit can keep the organisation from starting work.
    bool eligible = false;
};

auto evaluate_turn(const fair_queue& queue, const std::string& name, organisation_queue& entry,
                   const capacity_check& fits) -> turn
{
    if (entry.running >= share_of(queue, name).max_concurrent) {
        return {};
    }
    const auto* head = first_fitting(entry, fits);
    if (head == nullptr) {
        return {};
    }
    grant_quantum(queue, name, entry);
    if (counted_cost(*head) > entry.deficit) {
        return {nullptr, true};
    }
    return {head, true};
}

auto start_work(fair_queue& queue, std::uint64_t id, const std::string& name) -> queued_work
{
    auto& entry = queue.organisations.at(name);
    ++entry.running;
    auto work = remove_queued(queue, id);
    entry.deficit -= std::min(entry.deficit, counted_cost(work));
    return work;
}

} // namespace

auto make_fair_queue(queue_settings settings) -> fair_queue
{
    auto queue = fair_queue{};
    queue.settings = settings;
    queue.settings.quantum = std::max<std::uint64_t>(queue.settings.quantum, 1);
    auto& share = queue.settings.default_share;
    share.weight = std::max(share.weight, 1U);
    share.max_concurrent = std::max(share.max_concurrent, 1U);
    return queue;
}

auto set_share(fair_queue& queue, const std::string& organisation, organisation_share share) -> void
{
    share.weight = std::max(share.weight, 1U);
    share.max_concurrent = std::max(share.max_concurrent, 1U);
    if (share == queue.settings.default_share) {
        queue.shares.erase(organisation);
        return;
    }
    queue.shares[organisation] = share;
}

auto enqueue_work(fair_queue& queue, queued_work work, time_point now) -> enqueue_decision
{
    if (work.queued_at == time_point{}) {
        work.queued_at = now;
    }
    work.cost = std::max<std::uint64_t>(work.cost, 1);
    if (work.deadline && *work.deadline <= now) {
        return refuse_work(refusal::deadline_passed);
    }
    if (expires_at(queue.settings, work) <= now) {
        return refuse_work(refusal::queue_timeout);
    }
    if (queue.by_id.contains(work.id)) {
        return refuse_work(refusal::request_invalid);
    }
    const auto scheduled_organisations =
        queue.new_organisations.size() + queue.active_organisations.size();
    const auto longest = queue.settings.max_queued_per_organisation;
    if (queue_length_of(queue, work.organisation) >= longest ||
        scheduled_organisations >= queue.settings.max_queued) {
        return refuse_work(refusal::queue_full);
    }
    auto decision = enqueue_decision{};
    if (queue.by_id.size() >= queue.settings.max_queued) {
        decision.displaced = displace_work(queue, work.organisation);
        if (!decision.displaced) {
            return refuse_work(refusal::queue_full);
        }
    }
    append_work(queue, std::move(work));
    decision.queued = true;
    return decision;
}

auto displace_work(fair_queue& queue, const std::optional<std::string>& newcomer)
    -> std::optional<queued_work>
{
    const auto* longest = longest_queue(queue);
    if (longest == nullptr) {
        return std::nullopt;
    }
    const auto length = queue_length(queue.organisations.at(*longest));
    if (newcomer) {
        const auto own = queue_length_of(queue, *newcomer) + 1;
        if (length_by_weight(queue, *newcomer, own) >= length_by_weight(queue, *longest, length)) {
            return std::nullopt;
        }
    }
    return remove_queued(queue, newest_id(queue.organisations.at(*longest)));
}

auto start_next_work(fair_queue& queue, const capacity_check& fits, time_point now)
    -> std::optional<queued_work>
{
    const auto startable = [&](const queued_work& work) {
        return expires_at(queue.settings, work) > now && fits(work);
    };
    // the search ends after a round without an eligible organisation
    auto skipped = std::size_t{0};
    while (!queue.new_organisations.empty() || skipped < queue.active_organisations.size()) {
        auto& list =
            queue.new_organisations.empty() ? queue.active_organisations : queue.new_organisations;
        const auto name = list.front();
        auto& entry = queue.organisations.at(name);
        if (queue_length(entry) == 0 && &list == &queue.active_organisations) {
            unschedule_front(queue, list);
            continue;
        }
        const auto next = evaluate_turn(queue, name, entry, startable);
        if (next.work != nullptr) {
            return start_work(queue, next.work->id, name);
        }
        skipped = next.eligible ? 0 : skipped + 1;
        if (!next.eligible) {
            cap_deficit(queue, name, entry);
        }
        end_turn(queue, list, entry);
    }
    return std::nullopt;
}

auto start_directly(fair_queue& queue, const std::string& organisation) -> bool
{
    const auto found = queue.organisations.find(organisation);
    const auto known = found != queue.organisations.end();
    if (known && (queue_length(found->second) > 0 ||
                  found->second.running >= share_of(queue, organisation).max_concurrent)) {
        return false;
    }
    ++queue.organisations[organisation].running;
    return true;
}

auto finish_work(fair_queue& queue, const std::string& organisation) -> void
{
    const auto found = queue.organisations.find(organisation);
    if (found == queue.organisations.end() || found->second.running == 0) {
        return;
    }
    --found->second.running;
    erase_if_idle(queue, organisation);
}

auto cancel_work(fair_queue& queue, std::uint64_t id) -> bool
{
    if (!queue.by_id.contains(id)) {
        return false;
    }
    remove_queued(queue, id);
    return true;
}

auto expire_work(fair_queue& queue, time_point now) -> std::vector<queued_work>
{
    auto expired = std::vector<queued_work>{};
    while (!queue.expiry.empty() && queue.expiry.begin()->first <= now) {
        expired.push_back(remove_queued(queue, queue.expiry.begin()->second));
    }
    return expired;
}

auto next_expiry(const fair_queue& queue) -> std::optional<time_point>
{
    if (queue.expiry.empty()) {
        return std::nullopt;
    }
    return queue.expiry.begin()->first;
}

auto queued_count(const fair_queue& queue) -> std::size_t
{
    return queue.by_id.size();
}

} // namespace cyclamenpost
