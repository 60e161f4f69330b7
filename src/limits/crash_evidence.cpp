#include "cyclamenpost/limits/crash_evidence.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>

namespace cyclamenpost {

namespace {

// begun answers and single crashes older than this have reached all instances that can be reached
constexpr duration sharing_time = std::chrono::seconds{10};
// a part explains crashes as well as another one from this share of the other's crashes on; the
// rest may be crashes for other reasons
constexpr double equal_share = 0.75;
// limits of one message to a peer; about 2 KB at 10 bytes a key and 17 a crash
constexpr std::size_t max_shared_crashes = 24;
constexpr std::size_t max_shared_keys = 128;
constexpr std::size_t max_shared_begun = 32;

/// Crashes that count against one key.
struct key_record {
    std::uint32_t depth = 0;
    std::vector<std::size_t> crashes;
    time_point first = time_point::max();
    time_point last = time_point::min();
};

using key_records = std::map<std::uint64_t, key_record>;

auto same_crash(const target_crash& one, const target_crash& other) -> bool
{
    return one.target == other.target && one.incarnation == other.incarnation;
}

auto holds_key(const content_keys& keys, std::uint64_t id) -> bool
{
    return std::any_of(keys.begin(), keys.end(),
                       [&](const content_key& key) { return key.id == id; });
}

/// Makes room for one crash; those behind a block are kept as long as there are others.
auto evict_crash(crash_evidence& evidence) -> void
{
    auto oldest =
        std::find_if(evidence.crashes.begin(), evidence.crashes.end(),
                     [&](const target_crash& crash) { return !is_blocked(evidence, crash.keys); });
    evidence.crashes.erase(oldest == evidence.crashes.end() ? evidence.crashes.begin() : oldest);
}

/// Crashes after the last begun answer, by key; those marked as explained are left out.
auto records_of(const crash_evidence& evidence, const std::vector<bool>& explained) -> key_records
{
    auto records = key_records{};
    for (std::size_t index = 0; index < evidence.crashes.size(); ++index) {
        const auto& crash = evidence.crashes[index];
        if (explained[index]) {
            continue;
        }
        for (const auto& key : crash.keys) {
            const auto begun = evidence.begun.find(key.id);
            if (begun != evidence.begun.end() && begun->second >= crash.at) {
                continue;
            }
            auto& record = records[key.id];
            record.depth = std::max(record.depth, key.depth);
            record.crashes.push_back(index);
            record.first = std::min(record.first, crash.at);
            record.last = std::max(record.last, crash.at);
        }
    }
    return records;
}

/// Drops records that are not enough to block a key.
auto keep_blockable(key_records& records, const crash_evidence_settings& settings, time_point now)
    -> void
{
    std::erase_if(records, [&](const auto& entry) {
        const auto& record = entry.second;
        return record.crashes.size() < settings.crashes_to_block ||
               now - record.first < settings.confirmation ||
               now - record.last > settings.block_time;
    });
}

/// The deepest of the keys that explain the most crashes, or nearly as many.
auto most_to_blame(const key_records& records) -> key_records::const_iterator
{
    auto most = std::size_t{0};
    for (const auto& [id, record] : records) {
        most = std::max(most, record.crashes.size());
    }
    auto chosen = records.end();
    for (auto next = records.begin(); next != records.end(); ++next) {
        const auto& record = next->second;
        const auto share = record.depth == whole_content_depth ? 1.0 : equal_share;
        const auto explains =
            static_cast<double>(record.crashes.size()) >= share * static_cast<double>(most);
        if (!explains) {
            continue;
        }
        if (chosen == records.end() || record.depth > chosen->second.depth ||
            (record.depth == chosen->second.depth &&
             record.crashes.size() > chosen->second.crashes.size())) {
            chosen = next;
        }
    }
    return chosen;
}

/// Adds a crash to the shared ones if the message has room for it.
auto add_if_room(shared_evidence& shared, const target_crash& crash) -> void
{
    auto keys = crash.keys.size();
    for (const auto& other : shared.crashes) {
        keys += other.keys.size();
    }
    if (shared.crashes.size() < max_shared_crashes && keys <= max_shared_keys) {
        shared.crashes.push_back(crash);
    }
}

auto drop_outdated(crash_evidence& evidence, time_point now, const survival_test& survived) -> void
{
    // the record of a block outlasts it, so that one more crash renews it
    const auto retention = 2 * evidence.settings.block_time;
    const auto few_begun = evidence.begun.size() < evidence.settings.max_begun / 2;
    if (evidence.crashes.empty() && few_begun) {
        return;
    }
    std::erase_if(evidence.crashes, [&](const target_crash& crash) {
        return now - crash.at > retention ||
               (survived && survived(crash.target, crash.incarnation, crash.at));
    });
    auto counted = std::set<std::uint64_t>{};
    for (const auto& crash : evidence.crashes) {
        for (const auto& key : crash.keys) {
            counted.insert(key.id);
        }
    }
    std::erase_if(evidence.begun, [&](const auto& entry) {
        return now - entry.second > sharing_time && !counted.contains(entry.first);
    });
}

} // namespace

auto add_crash(crash_evidence& evidence, const target_crash& seen) -> bool
{
    auto known = std::find_if(evidence.crashes.begin(), evidence.crashes.end(),
                              [&](const target_crash& crash) { return same_crash(crash, seen); });
    auto changed = false;
    if (known == evidence.crashes.end()) {
        if (evidence.crashes.size() >= evidence.settings.max_crashes) {
            evict_crash(evidence);
        }
        known = evidence.crashes.insert(evidence.crashes.end(),
                                        {seen.target, seen.incarnation, seen.at, {}});
        changed = true;
    }
    for (const auto& key : seen.keys) {
        if (known->keys.size() < evidence.settings.max_keys && !holds_key(known->keys, key.id)) {
            known->keys.push_back(key);
            changed = true;
        }
    }
    return changed;
}

auto add_begun(crash_evidence& evidence, const begun_answer& seen) -> bool
{
    const auto found = evidence.begun.find(seen.key);
    if (found != evidence.begun.end()) {
        if (found->second >= seen.at) {
            return false;
        }
        found->second = seen.at;
        return true;
    }
    if (evidence.begun.size() >= evidence.settings.max_begun) {
        return false;
    }
    evidence.begun.emplace(seen.key, seen.at);
    return true;
}

auto update_blocked(crash_evidence& evidence, time_point now, const survival_test& survived) -> bool
{
    drop_outdated(evidence, now, survived);
    auto explained = std::vector<bool>(evidence.crashes.size(), false);
    auto blocked = std::set<std::uint64_t>{};
    while (true) {
        auto records = records_of(evidence, explained);
        keep_blockable(records, evidence.settings, now);
        const auto chosen = most_to_blame(records);
        if (chosen == records.end()) {
            break;
        }
        blocked.insert(chosen->first);
        for (const auto index : chosen->second.crashes) {
            explained[index] = true;
        }
    }
    const auto changed = blocked != evidence.blocked;
    evidence.blocked = std::move(blocked);
    return changed;
}

auto is_blocked(const crash_evidence& evidence, const content_keys& keys) -> bool
{
    return !evidence.blocked.empty() &&
           std::any_of(keys.begin(), keys.end(),
                       [&](const content_key& key) { return evidence.blocked.contains(key.id); });
}

auto evidence_to_share(const crash_evidence& evidence, time_point now) -> shared_evidence
{
    auto shared = shared_evidence{};
    auto recent = std::vector<const target_crash*>{};
    auto needed = std::map<std::uint64_t, std::size_t>{};
    for (const auto key : evidence.blocked) {
        needed[key] = evidence.settings.crashes_to_block + 1;
    }
    for (auto crash = evidence.crashes.rbegin(); crash != evidence.crashes.rend(); ++crash) {
        auto supports = false;
        for (const auto& key : crash->keys) {
            const auto block = needed.find(key.id);
            if (block != needed.end() && block->second > 0) {
                --block->second;
                supports = true;
            }
        }
        if (supports) {
            add_if_room(shared, *crash);
        }
        else if (now - crash->at < sharing_time) {
            recent.push_back(&*crash);
        }
    }
    for (const auto* crash : recent) {
        add_if_room(shared, *crash);
    }
    for (const auto& [key, at] : evidence.begun) {
        const auto matters = std::any_of(
            shared.crashes.begin(), shared.crashes.end(),
            [&, id = key](const target_crash& crash) { return holds_key(crash.keys, id); });
        if (matters && now - at < sharing_time && shared.begun.size() < max_shared_begun) {
            shared.begun.push_back({key, at});
        }
    }
    return shared;
}

} // namespace cyclamenpost
