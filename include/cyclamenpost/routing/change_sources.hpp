#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/routing/store_position.hpp"

namespace cyclamenpost {

/// Time after which an instance that was asked for changes, and from which nothing at all has come
/// since, is taken for dead; failure detection takes seconds longer.
inline constexpr duration silent_source_time = std::chrono::milliseconds{400};

/// Time after which an instance that can be heard is given up all the same; long because of slow
/// links, which carry a large value in a second.
inline constexpr duration fetch_timeout = std::chrono::milliseconds{1500};

/// Time for which an instance that left a fetch unanswered is asked only if no other can be.
inline constexpr duration unanswered_retention = std::chrono::seconds{10};

/// Request to an instance for the changes up to a revision.
struct change_fetch {
    std::string source;
    store_position revision;
    time_point asked_at{};
    /// A message of the source has arrived since.
    bool heard = false;
};

/// A revision of the store that others have and this instance does not have yet.
struct awaited_revision {
    store_position revision;
    time_point since{};
};

/// What an instance knows of those that can send it changes of the store. An announced revision
/// tells that an instance had it, not that it can still be reached: that shows only when it
/// answers.
struct change_sources {
    /// Last revision that each instance announced.
    std::map<std::string, store_position> announced;
    /// When a fetch from an instance was given up; forgotten when the instance sends changes.
    std::map<std::string, time_point> unanswered;
    /// The fetch in progress.
    std::optional<change_fetch> fetch;
    std::optional<awaited_revision> awaited;
};

/// Records that an instance announced a revision. `own_revision` is the one known here.
auto note_announced(change_sources& sources, const std::string& id, const store_position& revision,
                    const store_position& own_revision, time_point now) -> void;

/// Records a message of any kind from an instance.
auto note_heard(change_sources& sources, const std::string& id) -> void;

/// Records changes from an instance. The last part completes the fetch from it.
auto note_changes(change_sources& sources, const std::string& id, bool last) -> void;

/// Records that the changes up to `revision` were requested from an instance.
auto begin_fetch(change_sources& sources, std::string id, const store_position& revision,
                 time_point now) -> void;

/// Ends the fetch in progress if the instance that was asked counts as dead or unreachable, or if
/// the revision came from elsewhere. Returns the fetch only in the first case.
auto take_failed_fetch(change_sources& sources, const store_position& own_revision, time_point now)
    -> std::optional<change_fetch>;

/// Reader from which an instance fetches large changes: its preferred one, or the next that does
/// not leave fetches unanswered. Empty without one.
auto answering_reader(const change_sources& sources, const std::vector<std::string>& readers,
                      std::string_view own_id, time_point now) -> std::string;

/// Instance from which to fetch the changes up to a revision: the reader above, else another
/// reader, else `seen_in`, which announced the revision, else any other instance, provided that it
/// is known to have that revision and leaves no fetch unanswered. If all of them do, the one that
/// did so first. Empty if no instance is known to have the revision.
auto change_source(const change_sources& sources, const std::vector<std::string>& readers,
                   std::string_view own_id, const store_position& revision,
                   const std::string& seen_in, time_point now) -> std::string;

/// Time for which this instance has waited for a revision that others have.
auto time_behind(const change_sources& sources, const store_position& own_revision, time_point now)
    -> duration;

} // namespace cyclamenpost
