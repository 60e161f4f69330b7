#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cyclamenpost/entry/entry_settings.hpp"
#include "cyclamenpost/limits/retries.hpp"
#include "cyclamenpost/membership/cluster_node.hpp"
#include "cyclamenpost/routing/directory.hpp"
#include "cyclamenpost/routing/load_sharing.hpp"
#include "cyclamenpost/routing/published_state.hpp"

namespace cyclamenpost {

/// What the peers tell the instance.
struct peer_handlers {
    /// Changes of the store; `lapsing` says that removed entries may be back.
    std::function<void(const changed_keys&, bool lapsing)> on_changed;
    std::function<void()> on_members;
    std::function<void(const crash_report&)> on_crash_report;
    std::function<void(const std::vector<shared_load>&, report_origin)> on_loads;
    /// Whether the own reading of the store works.
    std::function<bool()> store_available;
    /// Whether entries that vanish now may have lapsed, as far as this instance reads the store.
    std::function<bool()> may_have_lapsed;
};

/// A large value in the form in which it travels.
struct deflated_value {
    std::uint64_t revision = 0;
    std::string bytes;
};

/// The instance's place among the others: finds them through seeds, notices the dead, and takes the
/// store's changes from one that has them while the store does not answer this instance.
class peers {
public:
    peers(event_loop& loop, const entry_settings& settings, published_state& state,
          peer_handlers handlers);

    /// Joins the fleet. Fails with `bus_failed`.
    auto start() -> result<void>;

    /// Takes over the seeds of changed settings.
    auto apply_seeds() -> void;

    /// Leaves without a word, as when the process ends.
    auto stop() -> void;

    /// Tells the others that callers may use this instance.
    auto announce_ready() -> void;

    /// Tells the others that this instance takes no new callers.
    auto leave() -> void;

    /// Tells the others the revision up to which this instance has read, and passes changes after
    /// `before` on when that is its task.
    auto announce_revision(std::uint64_t before) -> void;

    /// Whether this instance has to read the store itself: it is one of its zone's readers, or it
    /// has not heard of them for a while.
    auto reads_store() const -> bool;

    /// Tells the others that a target died under a request.
    auto spread(const crash_report& seen) -> void;

    /// Sends load reports to each of the given instances.
    auto send_loads(const std::vector<std::string>& to, const std::vector<shared_load>& loads)
        -> void;

    /// Instances that exchange load reports with this one.
    auto report_recipients() const -> load_recipients;

    /// Instances that callers may use, this one included.
    auto usable() const -> std::vector<directory_entry>;

    /// Ids of all instances that may run, this one included.
    auto all_ids() const -> std::vector<std::string>;

private:
    auto on_peer_config_version(const peer_config_version& seen) -> void;
    auto on_message(const wire::envelope& message) -> void;
    auto send_changes(const std::string& to, std::uint64_t after, std::size_t largest) -> void;
    auto add_change(wire::published_part& part, const published_item& item) -> std::size_t;
    auto source_of(std::uint64_t revision, const std::string& seen_in) const -> std::string;
    auto take_changes(const wire::published_part& part) -> void;
    auto take_loads(const wire::envelope& message) -> void;
    auto fetch(const std::string& from) -> void;
    /// Tells the zone's followers that this instance reads the store, and how far it has read.
    auto notify_zone() -> void;
    /// Ids of the live instances that have been heard, by zone.
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
    timer notice_timer_;
    time_point last_notice_{};
    time_point last_fetch_{};
    /// Counts the lists of seeds, since membership ignores a list that is not newer.
    std::uint64_t seeds_version_ = 0;
    /// How far others have read the store, as last heard of them.
    std::map<std::string, std::uint64_t> revisions_;
    /// An answer to the last fetch is still to come.
    bool fetching_ = false;
    /// Large values as they are sent, by key.
    std::map<std::string, deflated_value> deflated_;
};

} // namespace cyclamenpost
