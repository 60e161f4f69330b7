#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Depth of the key of a request's whole content.
inline constexpr std::uint32_t whole_content_depth = 255;

/// Content that requests have in common and that may crash targets: a part of their prompts, or all
/// that they ask for.
struct content_key {
    std::uint64_t id = 0;
    /// Position in the prompt, or `whole_content_depth`; content behind other content is shared by
    /// fewer requests.
    std::uint32_t depth = 0;
};

/// Keys of a request: the parts of its prompt that others may share, in order, then its whole
/// content.
using content_keys = std::vector<content_key>;

/// End of a target, with the keys of the requests whose answers it had not begun. A request whose
/// answer had begun before is not to blame.
struct target_crash {
    /// Key of the target's id (`name_key`).
    std::uint32_t target = 0;
    incarnation_id incarnation = 0;
    time_point at{};
    content_keys keys;
};

/// Time at which a target began an answer to a request with the key and went on.
struct begun_answer {
    std::uint64_t key = 0;
    time_point at{};
};

/// Limits of the evidence.
struct crash_evidence_settings {
    /// Crashes without an answer in between that block a key. Two can be a coincidence: a request
    /// that a crash ended is sent again at once, and may meet the next one.
    std::size_t crashes_to_block = 3;
    /// Age of the first of these crashes from which a key is blocked. Many targets may crash at
    /// once for another reason; meanwhile answers at other targets clear the keys in use.
    duration confirmation = std::chrono::seconds{1};
    /// Time since the last crash after which requests with a blocked key are tried again. One more
    /// crash blocks the key at once.
    duration block_time = std::chrono::minutes{10};
    std::size_t max_crashes = 128;
    /// Keys of one crash; a target begins few answers at a time.
    std::size_t max_keys = 64;
    /// Keys for which begun answers are remembered.
    std::size_t max_begun = 4096;
};

/// What the fleet has seen of crashing targets, as one instance knows it. Crashes and begun answers
/// are facts that instances exchange in any order; what is blocked follows from them.
struct crash_evidence {
    crash_evidence_settings settings;
    /// In the order in which they became known here.
    std::vector<target_crash> crashes;
    /// Last begun answer by key.
    std::unordered_map<std::uint64_t, time_point> begun;
    /// Keys whose requests are not sent to any target, as of the last update.
    std::set<std::uint64_t> blocked;
};

/// Adds a crash that was seen here or by a peer, or its keys to the same crash if that is known.
/// Returns whether anything was new.
auto add_crash(crash_evidence& evidence, const target_crash& seen) -> bool;

/// Adds a begun answer. Returns whether it is later than the one known for the key.
auto add_begun(crash_evidence& evidence, const begun_answer& seen) -> bool;

/// Tells whether a target incarnation is known to have answered after a time at which it seemed to
/// have crashed: then only its answers were lost.
using survival_test =
    std::function<bool(std::uint32_t target, incarnation_id incarnation, time_point at)>;

/// Drops what is outdated or was survived, and decides which keys are blocked. Load pattern: the
/// requests of one kind crash each target that begins to answer them, at several instances at once,
/// among many that share their caller and the other parts of their prompts. The key of the most
/// unexplained crashes is blocked, of nearly equal parts the deepest, and explains its crashes for
/// all others (greedy set cover). A whole content is blocked only if no part explains more, since
/// one request and its repeats may be the first of many. Returns whether the blocked keys have
/// changed.
auto update_blocked(crash_evidence& evidence, time_point now, const survival_test& survived)
    -> bool;

/// Whether a request with these keys must not be sent.
auto is_blocked(const crash_evidence& evidence, const content_keys& keys) -> bool;

/// Crashes and begun answers that a peer should know: those behind each block, the newest first,
/// and recent ones, so that an instance that has just started or missed a message learns them too.
struct shared_evidence {
    std::vector<target_crash> crashes;
    std::vector<begun_answer> begun;
};

/// Selects the evidence to share; empty while there is none that matters.
auto evidence_to_share(const crash_evidence& evidence, time_point now) -> shared_evidence;

} // namespace cyclamenpost
