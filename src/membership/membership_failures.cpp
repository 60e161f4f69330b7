#include <algorithm>
#include <set>

#include "membership_detail.hpp"

namespace cyclamenpost::detail {

namespace {

auto is_running(const member_record& record) -> bool
{
    return record.state == member_state::alive || record.state == member_state::leaving;
}

auto append_sample(std::vector<std::string>& into, const std::vector<std::string>& from,
                   std::size_t count, std::mt19937_64& random) -> void
{
    std::sample(from.begin(), from.end(), std::back_inserter(into), count, random);
}

/// Takes up to `pending` of the members in random order, those of the given zone first, and lowers
/// `pending` by their number.
auto take_first(const membership_state& state, std::vector<std::string> members,
                std::string_view zone, unsigned& pending, std::mt19937_64& random)
    -> std::vector<std::string>
{
    std::shuffle(members.begin(), members.end(), random);
    std::stable_partition(members.begin(), members.end(), [&](const std::string& id) {
        return state.members.at(id).record.zone == zone;
    });
    members.resize(std::min<std::size_t>(members.size(), pending));
    pending -= static_cast<unsigned>(members.size());
    return members;
}

} // namespace

auto raise_health_score(membership_state& state, time_point now) -> void
{
    state.health_score = std::min(state.health_score + 1, state.settings.max_health_score);
    state.next_health_recovery = now + state.settings.health_recovery_period;
}

auto recover_health_score(membership_state& state, time_point now) -> void
{
    if (state.health_score > 0 && now >= state.next_health_recovery) {
        --state.health_score;
        state.next_health_recovery = now + state.settings.health_recovery_period;
    }
}

auto note_silence(membership_state& state, const std::string& target, time_point now) -> void
{
    const auto found = state.members.find(target);
    if (found == state.members.end() || !is_running(found->second.record)) {
        return;
    }
    found->second.silent_since = found->second.silent_since.value_or(now);
    state.pending_extra_probes += state.settings.extra_probes_per_silence;
    state.last_silence = now;
    state.silent_zone = found->second.record.zone;
}

auto note_sign_of_life(membership_state& state, const std::string& id, time_point now) -> void
{
    const auto found = state.members.find(id);
    if (found == state.members.end() || !found->second.silent_since) {
        return;
    }
    if (now < *found->second.silent_since + state.settings.false_silence_window) {
        raise_health_score(state, now);
    }
    found->second.silent_since.reset();
}

auto take_extra_probe_targets(membership_state& state, time_point now, std::mt19937_64& random)
    -> std::vector<std::string>
{
    if (now > state.last_silence + state.settings.extra_probe_window) {
        state.pending_extra_probes = 0;
    }
    if (state.pending_extra_probes == 0 || state.health_score > 0) {
        return {};
    }
    auto probed = std::set<std::string_view>{};
    for (const auto& [seq, probe] : state.probes) {
        probed.insert(probe.target);
    }
    auto targets = std::vector<std::string>{};
    for (const auto& [id, entry] : state.members) {
        const auto heard_lately = entry.last_heard + state.settings.recent_contact > now;
        if (is_running(entry.record) && !heard_lately && probed.count(id) == 0) {
            targets.push_back(id);
        }
    }
    return take_first(state, std::move(targets), state.silent_zone, state.pending_extra_probes,
                      random);
}

auto take_dead_probe_targets(membership_state& state, std::mt19937_64& random)
    -> std::vector<std::string>
{
    if (state.pending_dead_probes == 0) {
        return {};
    }
    auto targets = std::vector<std::string>{};
    for (const auto& [id, entry] : state.members) {
        if (entry.record.state == member_state::dead) {
            targets.push_back(id);
        }
    }
    targets = take_first(state, std::move(targets), state.returned_zone, state.pending_dead_probes,
                         random);
    state.pending_dead_probes = 0;
    return targets;
}

auto has_urgent_updates(const membership_state& state) -> bool
{
    auto accusations = std::size_t{0};
    auto refutations = std::size_t{0};
    for (const auto& update : state.updates) {
        const auto* record = update.urgent ? record_of(state, update.id) : nullptr;
        if (record != nullptr) {
            ++(is_running(*record) ? refutations : accusations);
        }
    }
    // An instance that may itself be at fault does not spread what it believes of others faster.
    return state.health_score == 0 &&
           (refutations > 0 || accusations >= state.settings.urgent_updates);
}

auto urgent_recipients(const membership_state& state, std::mt19937_64& random)
    -> std::vector<std::string>
{
    auto zone_members = ranked_members(state, state.self.zone);
    std::erase(zone_members, state.self.identity.id);
    auto recipients = std::vector<std::string>{};
    append_sample(recipients, zone_members, state.settings.urgent_fanout, random);
    if (is_representative(state)) {
        auto others = std::vector<std::string>{};
        for (const auto& zone : other_zones(state)) {
            const auto chosen = representatives(state, zone);
            others.insert(others.end(), chosen.begin(), chosen.end());
        }
        append_sample(recipients, others, state.settings.urgent_fanout, random);
    }
    return recipients;
}

} // namespace cyclamenpost::detail
