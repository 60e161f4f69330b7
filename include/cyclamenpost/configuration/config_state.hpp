#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/configuration/fleet_config.hpp"
#include "cyclamenpost/configuration/published_text.hpp"

namespace cyclamenpost {

/// Number of refused versions that are remembered. One that was evicted is fetched and validated
/// again when it is offered.
inline constexpr std::size_t max_refused_versions = 32;

/// Number of instances of a zone that watch the platform.
inline constexpr std::size_t watchers_per_zone = 2;

/// Number of peers that a new instance asks for their versions.
inline constexpr std::size_t catch_up_peers = 3;

/// Longest wait of a new instance for its peers' answers and for the higher versions they name.
inline constexpr duration catch_up_timeout = std::chrono::seconds{2};

/// A version that failed validation.
struct refused_version {
    text_version id;
    /// The first problem found.
    std::string reason;
};

/// The operator text in force at one instance.
struct config_state {
    text_history texts;
    /// Null until the first text was applied.
    std::shared_ptr<const fleet_config> config;
    /// Newest last.
    std::deque<refused_version> refused;
    /// Number of offers with the version in force but a different digest.
    std::uint64_t digest_conflicts = 0;
};

/// Result of an offer. `wanted`: the version should be fetched; `in_force`: it is the current one;
/// `lower`: it is below the current one; `refused`: it is invalid or corrupt.
enum class offer_result { applied, wanted, in_force, lower, refused };

inline constexpr std::array offer_result_names{
    enum_name<offer_result>{offer_result::applied, "applied"},
    enum_name<offer_result>{offer_result::wanted, "wanted"},
    enum_name<offer_result>{offer_result::in_force, "in_force"},
    enum_name<offer_result>{offer_result::lower, "lower"},
    enum_name<offer_result>{offer_result::refused, "refused"},
};

/// Decides whether an offered version should be fetched (`wanted`). Counts an offer with the
/// version in force and another digest as a conflict.
auto consider_offer(config_state& state, text_version offered) -> offer_result;

/// Validates a complete text and puts it in force if it is higher than the current one. A text that
/// fails validation is remembered as refused.
auto apply_text(config_state& state, published_text offered) -> offer_result;

/// Version and digest in force.
auto in_force(const config_state& state) -> text_version;

/// Instances of a zone that watch the platform: the first `watchers_per_zone` of the zone's live
/// ids in rendezvous order of the key "watch".
auto watchers_of(const std::vector<std::string>& live_ids) -> std::vector<std::string>;

/// Whether an instance is one of its zone's watchers. `live_ids` are the zone's live instances.
auto is_watcher(const std::string& instance, const std::vector<std::string>& live_ids) -> bool;

/// Progress of a new instance until it may serve.
struct catch_up_state {
    time_point started;
    std::size_t peers_asked = 0;
    std::size_t peers_answered = 0;
    /// Highest versions that peers offered.
    text_version highest_text;
    text_version highest_list;
};

/// What a new instance is still waiting for.
enum class catch_up_need { nothing, operator_text, instance_list, peer_answers };

inline constexpr std::array catch_up_need_names{
    enum_name<catch_up_need>{catch_up_need::nothing, "nothing"},
    enum_name<catch_up_need>{catch_up_need::operator_text, "operator_text"},
    enum_name<catch_up_need>{catch_up_need::instance_list, "instance_list"},
    enum_name<catch_up_need>{catch_up_need::peer_answers, "peer_answers"},
};

/// Peers to ask for their versions: up to `catch_up_peers`, in rendezvous order of the asking
/// instance's id.
auto peers_to_ask(const std::string& instance, const std::vector<std::string>& live_ids)
    -> std::vector<std::string>;

/// Records a peer's answer; a version of zero means that the answer did not contain this value.
auto record_peer_answer(catch_up_state& progress, text_version text, text_version list) -> void;

/// What the instance is waiting for before it may serve. After `catch_up_timeout` it no longer
/// waits for peers that have not answered or for higher versions that have not been fetched.
auto remaining_catch_up_need(const catch_up_state& progress, text_version text, text_version list,
                             time_point now) -> catch_up_need;

} // namespace cyclamenpost
