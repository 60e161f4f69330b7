#include "cyclamenpost/limits/limits.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenpost {

namespace {

using detail::organisation_queue;

// Larger costs count as this much towards the deficit, so one call never needs many rounds.
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

auto queue_length(const organisation_queue& one) -> std::size_t
{
    return one.interactive.size() + one.summary.size();
}

auto list_for(organisation_queue& one, work_class kind) -> std::list<queued_work>&
{
    return kind == work_class::interactive ? one.interactive : one.summary;
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
    const auto& one = queue.organisations.at(organisation);
    if (!one.scheduled && one.running == 0 && queue_length(one) == 0) {
        queue.organisations.erase(organisation);
    }
}

auto unlist_front(fair_queue& queue, std::list<std::string>& list) -> void
{
    const auto name = std::move(list.front());
    list.pop_front();
    auto& one = queue.organisations.at(name);
    one.scheduled = false;
    one.deficit = 0;
    one.quantum_granted = false;
    erase_if_idle(queue, name);
}

// with nothing queued no organisation has to wait for a turn
auto unlist_all_if_drained(fair_queue& queue) -> void
{
    if (!queue.by_id.empty()) {
        return;
    }
    for (auto* list : {&queue.new_organisations, &queue.active_organisations}) {
        while (!list->empty()) {
            unlist_front(queue, *list);
        }
    }
}

auto take_work(fair_queue& queue, std::uint64_t id) -> queued_work
{
    const auto entry = queue.by_id.find(id);
    const auto organisation = entry->second.first;
    const auto position = entry->second.second;
    auto work = std::move(*position);
    auto& one = queue.organisations.at(organisation);
    list_for(one, work.kind).erase(position);
    queue.expiry.erase({expires_at(queue.settings, work), id});
    queue.by_id.erase(entry);
    unlist_all_if_drained(queue);
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
    for (const auto& [name, one] : queue.organisations) {
        const auto length = length_by_weight(queue, name, queue_length(one));
        if (length > most) {
            most = length;
            longest = &name;
        }
    }
    return longest;
}

auto newest_id(const organisation_queue& one) -> std::uint64_t
{
    if (one.summary.empty()) {
        return one.interactive.back().id;
    }
    if (one.interactive.empty()) {
        return one.summary.back().id;
    }
    const auto& left = one.interactive.back();
    const auto& right = one.summary.back();
    return left.queued_at > right.queued_at ? left.id : right.id;
}

auto own_length(const fair_queue& queue, const std::string& organisation) -> std::size_t
{
    const auto found = queue.organisations.find(organisation);
    return found == queue.organisations.end() ? 0 : queue_length(found->second);
}

// makes room for one newcomer; nothing is displaced when the newcomer's own queue is the longest
auto displace_for(fair_queue& queue, const std::string& newcomer) -> std::optional<queued_work>
{
    const auto* longest = longest_queue(queue);
    if (longest == nullptr) {
        return std::nullopt;
    }
    const auto length = queue_length(queue.organisations.at(*longest));
    const auto own = own_length(queue, newcomer) + 1;
    if (length_by_weight(queue, newcomer, own) >= length_by_weight(queue, *longest, length)) {
        return std::nullopt;
    }
    return take_work(queue, newest_id(queue.organisations.at(*longest)));
}

auto refuse_work(refusal reason) -> enqueue_decision
{
    auto decision = enqueue_decision{};
    decision.reason = reason;
    return decision;
}

auto append_work(fair_queue& queue, queued_work work) -> void
{
    auto& one = queue.organisations[work.organisation];
    if (!one.scheduled) {
        one.scheduled = true;
        queue.new_organisations.push_back(work.organisation);
    }
    const auto id = work.id;
    const auto organisation = work.organisation;
    queue.expiry.emplace(expires_at(queue.settings, work), id);
    auto& list = list_for(one, work.kind);
    list.push_back(std::move(work));
    queue.by_id.emplace(id, std::pair{organisation, std::prev(list.end())});
}

// first work of the organisation that fits, interactive before summaries
auto fitting_head(const organisation_queue& one, const capacity_check& fits) -> const queued_work*
{
    for (const auto* list : {&one.interactive, &one.summary}) {
        if (!list->empty() && fits(list->front())) {
            return &list->front();
        }
    }
    return nullptr;
}

auto end_turn(fair_queue& queue, std::list<std::string>& list, organisation_queue& one) -> void
{
    one.quantum_granted = false;
    queue.active_organisations.splice(queue.active_organisations.end(), list, list.begin());
}

auto grant_turn(const fair_queue& queue, const std::string& name, organisation_queue& one) -> void
{
    if (one.quantum_granted) {
        return;
    }
    one.quantum_granted = true;
    one.deficit += queue.settings.quantum * share_of(queue, name).weight;
}

auto head_cost(const organisation_queue& one) -> std::uint64_t
{
    if (queue_length(one) == 0) {
        return 0;
    }
    const auto& list = one.interactive.empty() ? one.summary : one.interactive;
    return counted_cost(list.front());
}

// Deficit of an organisation that was passed over: at most one head and one quantum, so that
// it cannot save up turns while it may not start anything.
auto cap_deficit(const fair_queue& queue, const std::string& name, organisation_queue& one) -> void
{
    const auto quantum = queue.settings.quantum * share_of(queue, name).weight;
    one.deficit = std::min(one.deficit, head_cost(one) + quantum);
}

struct turn {
    /// Work that may start now.
    const queued_work* work = nullptr;
    /// Whether the organisation could start work with a larger deficit.
    bool eligible = false;
};

auto take_turn(const fair_queue& queue, const std::string& name, organisation_queue& one,
               const capacity_check& fits) -> turn
{
    if (one.running >= share_of(queue, name).max_concurrent) {
        return {};
    }
    const auto* head = fitting_head(one, fits);
    if (head == nullptr) {
        return {};
    }
    grant_turn(queue, name, one);
    if (counted_cost(*head) > one.deficit) {
        return {nullptr, true};
    }
    return {head, true};
}

auto start_work(fair_queue& queue, std::uint64_t id, const std::string& name) -> queued_work
{
    auto& one = queue.organisations.at(name);
    ++one.running;
    auto work = take_work(queue, id);
    one.deficit -= std::min(one.deficit, counted_cost(work));
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
    if (own_length(queue, work.organisation) >= longest ||
        scheduled_organisations >= queue.settings.max_queued) {
        return refuse_work(refusal::queue_full);
    }
    auto decision = enqueue_decision{};
    if (queue.by_id.size() >= queue.settings.max_queued) {
        decision.displaced = displace_for(queue, work.organisation);
        if (!decision.displaced) {
            return refuse_work(refusal::queue_full);
        }
    }
    append_work(queue, std::move(work));
    decision.queued = true;
    return decision;
}

auto start_next_work(fair_queue& queue, const capacity_check& fits, time_point now)
    -> std::optional<queued_work>
{
    const auto startable = [&](const queued_work& work) {
        return expires_at(queue.settings, work) > now && fits(work);
    };
    // a full round without an eligible organisation ends the search
    auto passed_over = std::size_t{0};
    while (!queue.new_organisations.empty() || passed_over < queue.active_organisations.size()) {
        auto& list =
            queue.new_organisations.empty() ? queue.active_organisations : queue.new_organisations;
        const auto name = list.front();
        auto& one = queue.organisations.at(name);
        if (queue_length(one) == 0 && &list == &queue.active_organisations) {
            unlist_front(queue, list);
            continue;
        }
        const auto chance = take_turn(queue, name, one, startable);
        if (chance.work != nullptr) {
            return start_work(queue, chance.work->id, name);
        }
        passed_over = chance.eligible ? 0 : passed_over + 1;
        if (!chance.eligible) {
            cap_deficit(queue, name, one);
        }
        end_turn(queue, list, one);
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
    take_work(queue, id);
    return true;
}

auto expire_work(fair_queue& queue, time_point now) -> std::vector<queued_work>
{
    auto expired = std::vector<queued_work>{};
    while (!queue.expiry.empty() && queue.expiry.begin()->first <= now) {
        expired.push_back(take_work(queue, queue.expiry.begin()->second));
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
