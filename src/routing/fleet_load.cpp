#include "cyclamenpost/routing/fleet_load.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenpost {

namespace {

// counts cover about the last two seconds: after them an attempt has an eighth of its weight
constexpr double count_seconds = 1.0;
// counts below this are left out of messages and estimates
constexpr double least_count = 0.05;
// even a hundred failures have less than the least count after this time
constexpr duration failure_memory = std::chrono::seconds{8};
// one failure alone gives a share of two thirds
constexpr double prior_answers = 0.5;
// a target that answers again must be used again soon
constexpr double newer_answer_weight = 2;
constexpr std::uint32_t max_newer_answers = 20;
// an answer becomes known to all instances within this time; if none is known for so long before a
// failure, the target has stopped answering and earlier answers count for nothing
constexpr double answer_validity_seconds = 0.6;
// a failed response reports the target's load too, and the failure becomes known up to this later
constexpr duration failure_delay = std::chrono::milliseconds{300};
// ages vary with the delay of messages; a failure that is newer by less is the same one
constexpr duration age_tolerance = std::chrono::milliseconds{50};
// an instance uses only a few of its targets each second
constexpr duration own_outcome_window = std::chrono::seconds{10};
constexpr std::size_t min_used_targets = 3;
// time after which the pace of a target has probably changed
constexpr double pace_seconds = 0.6;
constexpr double newest_pace_weight = 0.3;
constexpr double min_pace = 0.25;
constexpr double max_pace = 4;
constexpr double newest_first_byte_weight = 0.05;
constexpr std::uint32_t start_mask = (1U << 14U) - 1;
// at most this many notices per second and in a row: half of the regular reports
constexpr double notices_per_second = 2;
constexpr double max_notices = 3;

auto seconds_between(time_point from, time_point until) -> double
{
    return std::chrono::duration<double>(std::max(until - from, duration::zero())).count();
}

auto decayed(fleet_figures figures, time_point counted, time_point now) -> fleet_figures
{
    const auto weight = std::exp(-seconds_between(counted, now) / count_seconds);
    figures.failed *= weight;
    figures.answered *= weight;
    return figures;
}

/// Difference of a pace from 1 decays, since the target's pace has probably changed.
auto decayed_pace(double pace, time_point known_at, time_point now) -> double
{
    return pace == 1 ? 1
                     : 1 + (pace - 1) * std::exp(-seconds_between(known_at, now) / pace_seconds);
}

auto is_fresh(time_point received, time_point now) -> bool
{
    return now - received < max_fleet_age;
}

/// Records the newest failure known. Answers before it no longer count as newer.
auto note_failure(target_fleet_record& record, const fleet_figures& seen) -> bool
{
    if (seen.failed <= 0 || seen.failed_at <= record.failed_at + age_tolerance) {
        return false;
    }
    record.failed_at = seen.failed_at;
    record.answers_since_failure = 0;
    return true;
}

auto note_newer_answer(target_fleet_record& record) -> void
{
    record.answers_since_failure = std::min(record.answers_since_failure + 1, max_newer_answers);
}

auto add(fleet_figures& sum, const fleet_figures& other) -> void
{
    const auto requests = static_cast<double>(sum.in_flight) + other.in_flight;
    if (requests > 0) {
        sum.pace = (sum.pace * sum.in_flight + other.pace * other.in_flight) / requests;
    }
    sum.in_flight += other.in_flight;
    sum.failed += other.failed;
    sum.answered += other.answered;
    sum.reporters += other.reporters;
    sum.failed_at = std::max(sum.failed_at, other.failed_at);
    sum.answered_at = std::max(sum.answered_at, other.answered_at);
}

/// What this instance reports of a target.
auto own_figures(const target_table& table, const target& known, bool tells_failures,
                 time_point now) -> fleet_figures
{
    const auto& record = known.fleet;
    auto figures = decayed(record.own, record.counted_at, now);
    figures.in_flight = is_silent(table, known, now) ? known.in_flight : 0;
    figures.pace = decayed_pace(record.own.pace, record.pace_at, now);
    if (!tells_failures || figures.failed < least_count) {
        figures.failed = 0;
        figures.failed_at = {};
    }
    figures.reporters = figures.failed > 0 ? 1 : 0;
    return figures;
}

/// Whether a part still holds, and its source if so.
auto source_of(const fleet_state& state, const fleet_part& part, time_point now)
    -> const fleet_source*
{
    const auto found = state.sources.find(part.source);
    const auto holds = found != state.sources.end() && is_fresh(part.received_at, now) &&
                       part.accepted >= found->second.complete_since;
    return holds ? &found->second : nullptr;
}

/// Sum of what this instance and the instances in the scope report.
auto sum_of(const target_table& table, const target& known, fleet_scope scope, bool tells_failures,
            time_point now) -> fleet_figures
{
    auto sum = own_figures(table, known, tells_failures, now);
    if (scope == fleet_scope::instance) {
        return sum;
    }
    for (const auto& part : known.fleet.parts) {
        const auto* source = source_of(table.fleet, part, now);
        if (source != nullptr && source->scope < scope) {
            add(sum, decayed(part.figures, part.received_at, now));
        }
    }
    return sum;
}

/// Whether anything is known of a target that has to be told.
auto has_record(const target& known) -> bool
{
    const auto& record = known.fleet;
    return known.in_flight > 0 || !record.parts.empty() || record.shared ||
           record.own.failed_at != time_point{};
}

/// Whether failures of the target are known here, so that answers are reported too.
auto is_suspected(const target& known, time_point now) -> bool
{
    return fleet_figures_at(known, now).failed >= least_count;
}

auto set_shared(target& known, const fleet_part& part, std::uint32_t own_in_shared) -> void
{
    known.fleet.shared = part;
    known.fleet.own_in_shared = own_in_shared;
}

auto store_part(target& known, const fleet_part& part) -> void
{
    auto& parts = known.fleet.parts;
    const auto found = std::find_if(parts.begin(), parts.end(), [&](const fleet_part& other) {
        return other.source == part.source;
    });
    if (found == parts.end()) {
        parts.push_back(part);
        return;
    }
    *found = part;
}

/// Checks the order of a list and advances its source.
auto accept_source(fleet_state& state, const fleet_sender& sender, const fleet_list& list) -> bool
{
    auto& source = state.sources[sender.key];
    if (sender.start_ms < source.start_ms ||
        (sender.start_ms == source.start_ms && list.sequence <= source.sequence)) {
        return false;
    }
    ++state.accepted;
    if (sender.start_ms != source.start_ms || list.scope != source.scope || !list.partial) {
        source.complete_since = state.accepted;
    }
    source.start_ms = sender.start_ms;
    source.sequence = list.sequence;
    source.scope = list.scope;
    return true;
}

/// Keeps the entries that matter most.
auto limit_entries(std::vector<fleet_entry>& entries, std::size_t most) -> void
{
    if (entries.size() <= most) {
        return;
    }
    std::nth_element(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(most),
                     entries.end(), [](const fleet_entry& left, const fleet_entry& right) {
                         return std::pair{left.figures.failed, left.figures.in_flight} >
                                std::pair{right.figures.failed, right.figures.in_flight};
                     });
    entries.resize(most);
}

} // namespace

auto start_bits(const published_target& entry) -> std::uint32_t
{
    return static_cast<std::uint32_t>(entry.started_ms) & start_mask;
}

auto record_attempt(target_table& table, target& used, bool answered, time_point now) -> void
{
    if (!table.fleet.active) {
        return;
    }
    auto& record = used.fleet;
    record.own = decayed(record.own, record.counted_at, now);
    record.counted_at = now;
    if (answered) {
        record.own.answered += 1;
        record.own.answered_at = now;
        note_newer_answer(record);
        return;
    }
    record.own.failed += 1;
    record.own.failed_at = now;
    note_failure(record, record.own);
    table.fleet.news[used.published.id] = true;
}

auto record_first_byte(target_table& table, target& answering, duration waited, time_point now)
    -> void
{
    if (!table.fleet.active) {
        return;
    }
    const auto seconds = std::chrono::duration<double>(waited).count();
    const auto capacity = std::max(1.0, static_cast<double>(answering.published.capacity));
    const auto requests = is_silent(table, answering, now)
                              ? static_cast<double>(fleet_requests_at(answering, now))
                              : estimated_load(table, answering, now);
    const auto [usual, is_first] =
        table.fleet.first_byte.try_emplace(answering.published.service, first_byte_times{seconds});
    auto& times = usual->second;
    if (!is_first && times.mean > 0) {
        const auto expected = times.mean * std::max(1.0, requests / capacity);
        const auto seen = std::clamp(seconds / expected, min_pace, max_pace);
        auto& record = answering.fleet;
        const auto before = decayed_pace(record.own.pace, record.pace_at, now);
        record.own.pace = before + newest_pace_weight * (seen - before);
        record.pace_at = now;
    }
    // answers that waited for a slot say nothing about the usual time
    if (!is_first && requests <= capacity) {
        times.deviation +=
            newest_first_byte_weight * (std::abs(seconds - times.mean) - times.deviation);
        times.mean += newest_first_byte_weight * (seconds - times.mean);
    }
}

auto note_answer(const target_table& table, target& known, time_point answered) -> void
{
    if (table.fleet.active && answered > known.answered_at &&
        answered > known.fleet.failed_at + failure_delay) {
        note_newer_answer(known.fleet);
    }
    known.answered_at = std::max(known.answered_at, answered);
}

auto fleet_entries(target_table& table, fleet_scope scope, time_point now,
                   const std::vector<std::string>* only) -> std::vector<fleet_entry>
{
    auto entries = std::vector<fleet_entry>{};
    const auto tells_failures = !fails_mostly(table, now);
    const auto list = [&](const target& known) {
        if (!has_record(known)) {
            return;
        }
        const auto sum = sum_of(table, known, scope, tells_failures, now);
        const auto failing = sum.failed >= least_count;
        const auto counters = sum.answered >= least_count && is_suspected(known, now);
        if (failing || counters || sum.in_flight > 0) {
            entries.push_back({name_key(known.published.id), start_bits(known.published), sum});
        }
    };
    if (only == nullptr) {
        for (const auto& [id, known] : table.targets) {
            list(known);
        }
        limit_entries(entries, max_fleet_entries);
        return entries;
    }
    for (const auto& id : *only) {
        const auto found = table.targets.find(id);
        if (found != table.targets.end()) {
            list(found->second);
        }
    }
    limit_entries(entries, max_partial_entries);
    return entries;
}

auto note_reported(target_table& table, const std::vector<fleet_entry>& own) -> void
{
    for (auto& [id, known] : table.targets) {
        known.fleet.reported_in_flight = 0;
    }
    for (const auto& entry : own) {
        const auto id = table.id_by_key.find(entry.target);
        if (id != table.id_by_key.end()) {
            table.targets.at(id->second).fleet.reported_in_flight = entry.figures.in_flight;
        }
    }
}

auto refresh_fleet_sums(target_table& table, time_point now) -> void
{
    for (auto& [id, known] : table.targets) {
        auto& parts = known.fleet.parts;
        if (parts.empty()) {
            continue;
        }
        std::erase_if(parts, [&](const fleet_part& part) {
            return source_of(table.fleet, part, now) == nullptr;
        });
        if (parts.empty()) {
            known.fleet.shared.reset();
            continue;
        }
        const auto sum = sum_of(table, known, fleet_scope::fleet, true, now);
        set_shared(known, {0, 0, now, sum}, is_silent(table, known, now) ? known.in_flight : 0);
    }
}

auto merge_fleet_list(target_table& table, const fleet_sender& sender, const fleet_list& list,
                      time_point now) -> fleet_merge_result
{
    if (sender.same_zone == (list.scope == fleet_scope::zone)) {
        return {fleet_merge::wrong_zone, 0};
    }
    if (!accept_source(table.fleet, sender, list)) {
        return {fleet_merge::out_of_order, 0};
    }
    auto result = fleet_merge_result{};
    const auto is_total = list.scope == fleet_scope::fleet;
    for (const auto& entry : list.entries) {
        const auto id = table.id_by_key.find(entry.target);
        auto* known = id == table.id_by_key.end() ? nullptr : &table.targets.at(id->second);
        if (known == nullptr || start_bits(known->published) != entry.start) {
            ++result.ignored;
            continue;
        }
        auto& record = known->fleet;
        const auto part = fleet_part{sender.key, table.fleet.accepted, now, entry.figures};
        const auto is_news = note_failure(record, entry.figures);
        if (is_total) {
            set_shared(*known, part, record.reported_in_flight);
        }
        else {
            store_part(*known, part);
        }
        if (is_news && !is_total) {
            auto& for_others = table.fleet.news[id->second];
            for_others = for_others || list.scope == fleet_scope::instance;
            set_shared(*known, {0, 0, now, sum_of(table, *known, fleet_scope::fleet, true, now)},
                       is_silent(table, *known, now) ? known->in_flight : 0);
        }
        if (entry.figures.answered_at > record.failed_at) {
            record.answers_since_failure = std::max(record.answers_since_failure, 1U);
        }
        known->answered_at = std::max(known->answered_at, entry.figures.answered_at);
    }
    if (is_total && !list.partial) {
        for (auto& [id, known] : table.targets) {
            if (known.fleet.shared && known.fleet.shared->accepted != table.fleet.accepted) {
                known.fleet.shared.reset();
            }
        }
    }
    return result;
}

auto retain_fleet_sources(target_table& table, const std::vector<std::string>& members) -> void
{
    auto kept = std::unordered_map<std::uint32_t, fleet_source>{};
    for (const auto& member : members) {
        const auto found = table.fleet.sources.find(name_key(member));
        if (found != table.fleet.sources.end()) {
            kept.insert(*found);
        }
    }
    table.fleet.sources = std::move(kept);
}

auto fleet_figures_at(const target& known, time_point now) -> fleet_figures
{
    const auto& record = known.fleet;
    auto figures = decayed(record.own, record.counted_at, now);
    figures.in_flight = known.in_flight;
    figures.pace = decayed_pace(record.own.pace, record.pace_at, now);
    figures.reporters = figures.failed >= least_count ? 1 : 0;
    if (!record.shared || !is_fresh(record.shared->received_at, now)) {
        return figures;
    }
    const auto shared = decayed(record.shared->figures, record.shared->received_at, now);
    figures.in_flight = fleet_requests_at(known, now);
    figures.failed = std::max(figures.failed, shared.failed);
    figures.answered = std::max(figures.answered, shared.answered);
    figures.reporters = std::max(figures.reporters, shared.reporters);
    if (shared.in_flight > 0) {
        figures.pace = decayed_pace(shared.pace, record.shared->received_at, now);
    }
    return figures;
}

auto fleet_requests_at(const target& known, time_point now) -> std::uint32_t
{
    const auto& record = known.fleet;
    if (!record.shared || !is_fresh(record.shared->received_at, now)) {
        return known.in_flight;
    }
    const auto shared = record.shared->figures.in_flight;
    return known.in_flight + shared - std::min(shared, record.own_in_shared);
}

auto failure_share_at(const target& known, time_point now) -> double
{
    // most targets have no failures, and choosing one looks at all
    const auto newest = known.fleet.failed_at;
    if (newest == time_point{} || now - newest > failure_memory) {
        return 0;
    }
    const auto figures = fleet_figures_at(known, now);
    if (figures.failed < least_count) {
        return 0;
    }
    const auto unanswered = seconds_between(last_heard(known), known.fleet.failed_at);
    const auto trust = std::max(1 - unanswered / answer_validity_seconds, 0.0);
    const auto answered =
        std::max(trust * figures.answered, newer_answer_weight * known.fleet.answers_since_failure);
    const auto single = figures.reporters <= 1 && answered > 0;
    const auto failed = single ? std::min(figures.failed, answered) : figures.failed;
    return failed / (failed + answered + prior_answers);
}

auto pace_at(const target_table& table, const target& known, time_point now) -> double
{
    if (!table.fleet.active) {
        return 1;
    }
    return is_silent(table, known, now)
               ? fleet_figures_at(known, now).pace
               : decayed_pace(known.load->pace, known.load->reported_at, now);
}

auto is_silent(const target_table& table, const target& known, time_point now) -> bool
{
    return !known.load || now - known.load->reported_at >= table.settings.max_load_age;
}

auto fails_mostly(const target_table& table, time_point now) -> bool
{
    auto used = std::size_t{0};
    auto failing = std::size_t{0};
    for (const auto& [id, known] : table.targets) {
        const auto& own = known.fleet.own;
        const auto newest = std::max(own.failed_at, own.answered_at);
        if (newest != time_point{} && now - newest < own_outcome_window) {
            ++used;
            failing += own.failed_at > own.answered_at ? 1 : 0;
        }
    }
    return used >= min_used_targets && failing * 2 > used;
}

auto take_notice(notice_budget& budget, time_point now) -> bool
{
    budget.tokens = std::min(
        max_notices, budget.tokens + notices_per_second * seconds_between(budget.refilled_at, now));
    budget.refilled_at = now;
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace cyclamenpost
