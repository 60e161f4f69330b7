#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cyclamenpost/entry/entry_settings.hpp"
#include "cyclamenpost/entry/load_messages.hpp"
#include "cyclamenpost/limits/crash_evidence.hpp"
#include "cyclamenpost/membership/cluster_node.hpp"
#include "cyclamenpost/routing/change_sources.hpp"
#include "cyclamenpost/routing/directory.hpp"
#include "cyclamenpost/routing/load_sharing.hpp"
#include "cyclamenpost/routing/published_state.hpp"
#include "cyclamenpost/routing/store_readers.hpp"

namespace cyclamenpost {

/// Callbacks into the instance.
struct peer_handlers {
    /// Changes of the store. With `lapsing`, removed entries may have lapsed during an outage of
    /// the store and may come back.
    std::function<void(const changed_keys&, bool lapsing)> on_changed;
    /// The member list has changed.
    std::function<void()> on_members;
    /// What a peer knows of crashed targets.
    std::function<void(const shared_evidence&)> on_evidence;
    /// Load reports of a peer.
    std::function<void(const std::vector<shared_load>&, report_origin)> on_loads;
    /// Limits of targets from a peer.
    std::function<void(const std::vector<shared_limit>&, report_origin)> on_limits;
    /// Figures of targets from a peer.
    std::function<void(const fleet_list&, const fleet_sender&)> on_figures;
    /// A message with load reports was malformed and has had no effect.
    std::function<void()> on_loads_unreadable;
    /// Whether this instance reads the store and its last call was answered.
    std::function<bool()> store_available;
    /// Whether entries that vanish now may have lapsed, as seen by this instance's store reader.
    std::function<bool()> may_have_lapsed;
};

/// A large value, compressed for sending.
struct compressed_value {
    store_position revision;
    std::string bytes;
};

/// Communication with the other instances: joins the fleet through seeds, detects dead instances,
/// and fetches changes of the store from a peer while this instance cannot or need not read the
/// store.
class peers {
public:
    peers(event_loop& loop, const entry_settings& settings, published_state& state,
          peer_handlers handlers);

    /// Joins the fleet. Fails with `bus_failed`.
    auto start() -> result<void>;

    /// Applies the seeds of changed settings.
    auto apply_seeds() -> void;

    /// Stops without notifying the peers, as at the end of the process.
    auto stop() -> void;

    /// Announces that callers may use this instance.
    auto announce_ready() -> void;

    /// Announces that this instance accepts no new callers.
    auto leave() -> void;

    /// Announces the revision up to which this instance has read. The first reader of the zone also
    /// sends the changes after `before` to the instances that leave the store to the readers.
    auto announce_revision(const store_position& before) -> void;

    /// Whether and how this instance has to read the store itself.
    auto duty() const -> store_duty;

    /// When a reader of the zone last said that it reads the store.
    auto last_notice() const -> time_point;

    /// Sends what is known of crashed targets to each of the given instances.
    auto send_evidence(const std::vector<std::string>& to, const shared_evidence& known) -> void;

    /// Ids of the other live instances.
    auto live_peers() const -> std::vector<std::string>;

    /// Sends load reports to each of the given instances. Returns the bytes that each receives.
    auto send_loads(const std::vector<std::string>& to, const load_message& loads) -> std::size_t;

    /// Instances to which this one sends load reports.
    auto load_report_recipients() const -> load_recipients;

    /// What the other instances have announced of the store since the start.
    auto announced() const -> start_knowledge;

    /// Instances that callers may use, this one included, for directory answers.
    auto directory_entries() const -> std::vector<directory_entry>;

    /// Ids of all instances that may be running, this one included.
    auto instance_ids() const -> std::vector<std::string>;

private:
    auto on_revision_seen(const std::string& from, const store_position& seen) -> void;
    auto on_notice(const std::string& from, const store_position& seen) -> void;
    auto on_message(const wire::envelope& message) -> void;
    auto send_changes(const std::string& to, const store_position& receiver_at,
                      std::size_t max_value_bytes) -> void;
    auto add_change(wire::published_part& part, const published_item& item) -> std::size_t;
    auto fetch_source(const store_position& revision, const std::string& seen_at) const
        -> std::string;
    auto on_published_part(const std::string& from, const wire::published_part& part) -> void;
    auto on_load_reports(const wire::envelope& message) -> void;
    auto on_crash_report(const wire::envelope& message) -> void;
    auto fetch(const std::string& from, const store_position& revision) -> void;
    /// Asks another instance if the one asked last does not answer.
    auto check_fetch() -> void;
    /// Sends the zone's followers a notice that this instance reads the store, with its revision.
    auto notify_zone() -> void;
    /// Ids of the live instances that have sent a message, by zone.
    auto members_by_zone() const -> std::map<std::string, std::vector<std::string>>;
    auto zone_members() const -> std::vector<std::string>;
    /// Instances of the zone that leave the store to its readers.
    auto zone_followers(const std::vector<std::string>& readers) const -> std::vector<std::string>;
    auto is_reader(const std::vector<std::string>& readers) const -> bool;

    event_loop& loop_;
    const entry_settings& settings_;
    published_state& state_;
    peer_handlers handlers_;
    cluster_node cluster_;
    timer fetch_timer_;
    timer fetch_check_;
    timer notice_timer_;
    time_point started_{};
    time_point last_notice_{};
    time_point last_fetch_{};
    time_point last_unreadable_log_{};
    /// Version of the seed list; membership ignores a list that is not newer.
    std::uint64_t seeds_version_ = 0;
    change_sources sources_;
    /// When the first revision was announced.
    std::optional<time_point> first_announced_;
    /// An instance that reads the store has sent a notice, or all that it knows.
    bool heard_reader_ = false;
    /// Highest revision announced until a reader's notice or state came or `announcement_time` was
    /// over.
    store_position newest_announced_;
    /// Compressed large values by key.
    std::map<std::string, compressed_value> compressed_;
};

} // namespace cyclamenpost
