#include "cyclamenpost/configuration/config_state.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

auto was_refused(const config_state& state, text_version id) -> bool
{
    return std::any_of(state.refused.begin(), state.refused.end(),
                       [&](const auto& refused) { return refused.id == id; });
}

auto refuse(config_state& state, text_version id, std::string reason) -> offer_result
{
    state.refused.push_back({id, std::move(reason)});
    if (state.refused.size() > max_refused_versions) {
        state.refused.pop_front();
    }
    return offer_result::refused;
}

struct ranked_id {
    std::uint64_t score;
    std::string id;
};

// rendezvous hashing: highest random weight first (Thaler and Ravishankar 1998); ties by id
auto rendezvous_order(std::string_view key, const std::vector<std::string>& ids, std::size_t count)
    -> std::vector<std::string>
{
    auto ranked = std::vector<ranked_id>{};
    const auto seed = hash64(key);
    for (const auto& id : ids) {
        ranked.push_back({hash64(id, seed), id});
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return left.score != right.score ? left.score > right.score : left.id < right.id;
    });
    auto first = std::vector<std::string>{};
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
        first.push_back(std::move(ranked[i].id));
    }
    return first;
}

} // namespace

auto in_force(const config_state& state) -> text_version
{
    return state.texts.current.id;
}

auto consider_offer(config_state& state, text_version offered) -> offer_result
{
    const auto current = in_force(state);
    if (offered == current) {
        return offer_result::in_force;
    }
    if (offered.version == current.version) {
        ++state.digest_conflicts;
    }
    if (offered < current) {
        return offer_result::lower;
    }
    return was_refused(state, offered) ? offer_result::refused : offer_result::wanted;
}

auto apply_text(config_state& state, published_text offered) -> offer_result
{
    const auto considered = consider_offer(state, offered.id);
    if (considered != offer_result::wanted) {
        return considered;
    }
    if (text_digest(offered.text) != offered.id.digest) {
        // a corrupt or truncated text does not show that the version is invalid, so it is not
        // remembered
        return offer_result::refused;
    }
    auto reason = std::string{};
    const auto apply = [&]() -> result<void> {
        BOOST_LEAF_AUTO(config, parse_fleet_config(offered.text));
        state.config = std::make_shared<const fleet_config>(std::move(config));
        return {};
    };
    if (!try_or(apply, [&](const error& failure) { reason = failure.message; })) {
        return refuse(state, offered.id, std::move(reason));
    }
    replace_current(state.texts, std::move(offered));
    return offer_result::applied;
}

auto watchers_of(const std::vector<std::string>& live_ids) -> std::vector<std::string>
{
    return rendezvous_order("watch", live_ids, watchers_per_zone);
}

auto is_watcher(const std::string& instance, const std::vector<std::string>& live_ids) -> bool
{
    const auto watchers = watchers_of(live_ids);
    return std::find(watchers.begin(), watchers.end(), instance) != watchers.end();
}

auto peers_to_ask(const std::string& instance, const std::vector<std::string>& live_ids)
    -> std::vector<std::string>
{
    auto peers = live_ids;
    peers.erase(std::remove(peers.begin(), peers.end(), instance), peers.end());
    return rendezvous_order(instance, peers, catch_up_peers);
}

auto record_peer_answer(catch_up_state& progress, text_version text, text_version list) -> void
{
    ++progress.peers_answered;
    progress.highest_text = std::max(progress.highest_text, text);
    progress.highest_list = std::max(progress.highest_list, list);
}

auto remaining_catch_up_need(const catch_up_state& progress, text_version text, text_version list,
                             time_point now) -> catch_up_need
{
    const auto within_timeout = now - progress.started < catch_up_timeout;
    if (text.version == 0 || (within_timeout && text < progress.highest_text)) {
        return catch_up_need::operator_text;
    }
    if (list.version == 0 || (within_timeout && list < progress.highest_list)) {
        return catch_up_need::instance_list;
    }
    if (within_timeout && progress.peers_answered < progress.peers_asked) {
        return catch_up_need::peer_answers;
    }
    return catch_up_need::nothing;
}

} // namespace cyclamenpost
