#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/routing/store_position.hpp"

namespace cyclamenpost {

/// Instances of a zone that read the platform's store directly. The limit keeps the store's request
/// rate and cost independent of the size of the fleet; three survive two simultaneous failures.
inline constexpr std::size_t readers_per_zone = 3;

/// Ids of a zone's readers: the first of its live instances in hash order. The first reader also
/// pushes changes to the rest of the zone.
auto store_readers(std::vector<std::string> zone_members) -> std::vector<std::string>;

/// Interval at which readers notify their zone that they read the store.
inline constexpr duration notice_period = std::chrono::milliseconds{700};

/// An instance that has received no notice for this time, two missed notices, reads the store
/// itself.
inline constexpr duration notice_timeout = std::chrono::milliseconds{1700};

/// An instance that has just started does not know its zone's members yet; for this time it reads
/// as a backup if its view of the zone makes it a reader.
inline constexpr duration reader_settle_time = std::chrono::seconds{3};

/// How an instance reads the store.
enum class store_duty {
    /// It leaves the store to its zone's readers.
    none,
    /// It reads the store because no reader has sent it a notice, but at a slower pace, since all
    /// other instances of the zone may be doing the same.
    backup,
    /// It reads the store in case the zone's first reader fails.
    standby,
    /// It reads the store for its zone and pushes the changes to the others.
    first_reader,
};

inline constexpr std::array store_duty_names{
    enum_name<store_duty>{store_duty::none, "none"},
    enum_name<store_duty>{store_duty::backup, "backup"},
    enum_name<store_duty>{store_duty::standby, "standby"},
    enum_name<store_duty>{store_duty::first_reader, "first_reader"},
};

/// Duty of an instance that has run for `since_start` and received the last reader's notice
/// `since_notice` ago. A notice tells that a reader has the changes, not that they arrive here: an
/// instance that has waited too long for a revision reads the store itself. `behind` is the time
/// for which it has waited.
auto store_duty_of(const std::vector<std::string>& readers, std::string_view own_id,
                   duration since_notice, duration since_start, duration behind = {}) -> store_duty;

/// Pause after a watch that returned changes, so that the next call returns several at once.
auto pause_after_changes(store_duty duty) -> duration;

/// Pause after a call that failed, the last of `failures` in a row. An instance that knows nothing
/// of the store yet does not slow down as a backup.
auto pause_after_failure(store_duty duty, std::uint32_t failures, bool knows_store) -> duration;

/// The zone's other readers in the order in which an instance asks them for large changes. The
/// first one is its preferred reader: the instances of a zone are spread over its readers, so that
/// no single link carries the traffic of all.
auto readers_from_preferred(const std::vector<std::string>& readers, std::string_view own_id)
    -> std::vector<std::string>;

/// What an instance has learned since its start.
struct start_knowledge {
    /// It has read the store's whole listing itself.
    bool listed_store = false;
    /// Revision up to which it knows the store; 0 when it knows nothing.
    store_position revision;
    /// Highest revision that other instances announced to it before `heard_reader`, or before the
    /// time for announcements was over.
    store_position newest_announced;
    /// An instance that reads the store has sent it a notice, or all that it knows.
    bool heard_reader = false;
    /// Time since it first heard of a revision from another instance.
    duration since_first_announced{};
};

/// Time in which instances that are ahead of a new one announce their revision to it.
inline constexpr duration announcement_time = std::chrono::milliseconds{2500};

/// Whether a new instance knows enough to take requests. A listing is never older than what its
/// predecessor knew. A peer's state may be: the peer may have lost the store long ago, and still
/// list targets that have left and keys that were withdrawn. It is used only once it has reached
/// the highest revision announced, and either a reader of the store has sent its own or all
/// instances had time to announce theirs. An instance that is ahead may have died since; then the
/// state that can be had is used after a longer time.
auto knows_enough(const start_knowledge& known) -> bool;

} // namespace cyclamenpost
