#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/configuration/fleet_config.hpp"
#include "cyclamenpost/configuration/published_text.hpp"

namespace cyclamenpost {

/// Refused versions that are remembered. A forgotten one is only validated again.
inline constexpr std::size_t max_refused_versions = 32;

/// Instances of a zone that watch the platform.
inline constexpr std::size_t watchers_per_zone = 2;

/// Peers that a new instance asks for a higher version.
inline constexpr std::size_t catch_up_peers = 3;

/// Longest wait of a new instance for its peers' answers.
inline constexpr duration catch_up_timeout = std::chrono::seconds{2};

/// A version that failed validation, with its first problem.
struct refused_version {
    text_version id;
    std::string reason;
};

/// The operator text in force at one instance.
struct config_state {
    text_history texts;
    /// Null until the first text was applied.
    std::shared_ptr<const fleet_config> config;
    /// Newest last.
    std::deque<refused_version> refused;
    /// Offers that had the version in force but another digest.
    std::uint64_t digest_conflicts = 0;
};

/// What became of an offered version or text.
enum class offer_result { applied, wanted, in_force, lower, refused };

inline constexpr std::array offer_result_names{
    enum_name<offer_result>{offer_result::applied, "applied"},
    enum_name<offer_result>{offer_result::wanted, "wanted"},
    enum_name<offer_result>{offer_result::in_force, "in_force"},
    enum_name<offer_result>{offer_result::lower, "lower"},
    enum_name<offer_result>{offer_result::refused, "refused"},
};

/// Decides whether an offered version should be fetched (`wanted`). Counts a digest conflict.
auto consider_offer(config_state& state, text_version offered) -> offer_result;

/// Validates a complete text and puts it in force if it is higher than the current one. A text
/// that fails validation is remembered as refused.
auto apply_text(config_state& state, published_text offered) -> offer_result;

/// Version and digest in force.
auto in_force(const config_state& state) -> text_version;

/// Instances of a zone that watch the platform: the first two of the live ids by rendezvous
/// hashing over "watch".
auto watchers_of(const std::vector<std::string>& live_ids) -> std::vector<std::string>;

/// Whether an instance is one of its zone's watchers.
auto is_watcher(const std::string& instance, const std::vector<std::string>& live_ids) -> bool;

/// Progress of a new instance towards its first use.
struct catch_up_state {
    time_point started;
    std::size_t peers_asked = 0;
    std::size_t peers_answered = 0;
    /// Highest versions that peers named.
    text_version highest_text;
    text_version highest_list;
};

/// What a new instance still lacks.
enum class catch_up_need { nothing, operator_text, instance_list, peer_answers };

inline constexpr std::array catch_up_need_names{
    enum_name<catch_up_need>{catch_up_need::nothing, "nothing"},
    enum_name<catch_up_need>{catch_up_need::operator_text, "operator_text"},
    enum_name<catch_up_need>{catch_up_need::instance_list, "instance_list"},
    enum_name<catch_up_need>{catch_up_need::peer_answers, "peer_answers"},
};

/// Peers to ask for higher versions: up to three, in rendezvous order of the asking instance.
auto peers_to_ask(const std::string& instance, const std::vector<std::string>& live_ids)
    -> std::vector<std::string>;

/// Records a peer's answer.
auto record_peer_answer(catch_up_state& progress, text_version text, text_version list) -> void;

/// What is missing before the instance may serve. Peers that do not answer within the wait, and
/// higher versions that cannot be fetched within it, no longer hold it back.
auto remaining_catch_up_need(const catch_up_state& progress, text_version text, text_version list,
                             time_point now) -> catch_up_need;

} // namespace cyclamenpost
