#pragma once

#include <functional>
#include <string>

#include "cyclamenpost/entry/platform_codec.hpp"
#include "cyclamenpost/routing/published_state.hpp"
#include "cyclamenpost/routing/store_outage.hpp"
#include "cyclamenpost/routing/store_readers.hpp"
#include "cyclamenpost/transport/http1_client.hpp"

namespace cyclamenpost {

/// Address of the store and timing of the calls.
struct store_settings {
    std::string address;
    /// Time for which a watch waits for changes. Changes have to be in force within 2 s, also when
    /// a connection stops delivering without being closed.
    duration watch_timeout = std::chrono::milliseconds{1500};
    /// Time limit for an answer, in addition to the time that a watch waits. The store answers
    /// within milliseconds, a slow one within some hundred.
    duration answer_timeout = std::chrono::milliseconds{500};
    /// Limit up to which the timeout grows while the store accepts connections but answers too
    /// late.
    duration max_answer_timeout = std::chrono::milliseconds{1500};
    /// Largest answer. The store limits a page to about 1 MB of items, and an item to 1 MB, before
    /// its encoding.
    std::size_t max_answer_bytes = std::size_t{8} << 20U;
    /// Largest listing of all pages, far above what targets and configuration of the largest fleet
    /// take.
    std::size_t max_listing_bytes = std::size_t{32} << 20U;
};

/// Callbacks into the instance.
struct store_handlers {
    std::function<void(const changed_keys&)> on_changed;
};

/// Keeps a copy of the platform's store: lists it page by page, then watches for changes from the
/// revision of the listing.
class store_reader {
public:
    store_reader(event_loop& loop, const platform_codec& codec, store_settings settings,
                 published_state& state, store_handlers handlers);

    /// Starts reading.
    auto start() -> void;

    /// Stops reading.
    auto stop() -> void;

    /// Reads the store at another address from now on, from the revision that was reached.
    auto set_address(const std::string& address) -> void;

    /// Resumes reading, or leaves it to other instances of the zone. The first listing always
    /// completes. `last_notice` is the time at which an instance that reads the store last said so.
    auto set_duty(store_duty duty, time_point last_notice) -> void;

    /// Whether the store's whole listing has been read since the start.
    auto has_listed() const -> bool;

    /// Whether the first listing is in progress and no call has failed yet.
    auto first_listing_in_progress() const -> bool;

    /// Whether this instance reads the store and its last call was answered.
    auto available() const -> bool;

    /// Whether entries that vanish now may have lapsed because the store was unavailable for longer
    /// than targets may be silent: it still is, or became available less than `window` ago. An
    /// outage that affects only this instance does not count, since the entries are renewed
    /// meanwhile.
    auto may_have_lapsed(duration heartbeat, duration window, time_point now) const -> bool;

    /// Records that a peer has newer changes, so the store is available to other instances.
    auto note_store_serves_others() -> void;

    /// Restarts the watch after newer changes of a peer, in case its connection no longer delivers.
    auto restart_watch() -> void;

private:
    auto list_page() -> void;
    auto on_listing() -> void;
    auto watch() -> void;
    auto on_changes() -> void;
    auto call(const request_head& head, duration timeout, void (store_reader::*on_answer)())
        -> void;
    /// Takes the era from the head of an answer. A later one than that of the replica makes the
    /// reader list the store again; an earlier one belongs to an answer that is out of date.
    auto note_era(const response_head& answer) -> void;
    /// Lists the store from its beginning.
    auto list_again() -> void;
    auto add_body(std::string_view bytes) -> void;
    auto handle_failure(std::string_view cause) -> void;
    /// Drops an answer that cannot be used, and the listing that it is part of, and calls again
    /// after a pause.
    auto discard_answer(std::string_view cause) -> void;
    auto set_available(bool now_available, std::string_view cause) -> void;

    event_loop& loop_;
    const platform_codec& codec_;
    store_settings settings_;
    published_state& state_;
    store_handlers handlers_;
    http1_client client_;
    client_exchange exchange_;
    std::string body_;
    /// Bytes of all answers of the listing in progress.
    std::size_t listing_bytes_ = 0;
    int status_ = 0;
    /// Era of the current answer; that of the replica if the answer names none.
    std::uint64_t answer_era_ = 0;
    time_point last_era_log_{};
    timer timeout_timer_;
    timer next_call_timer_;
    bool listed_ = false;
    bool has_listed_ = false;
    std::size_t prefix_index_ = 0;
    std::string page_after_;
    store_position listing_position_;
    std::vector<published_item> listed_items_;
    store_position watched_after_;
    unsigned failures_ = 0;
    bool available_ = false;
    bool stopped_ = true;
    store_duty duty_ = store_duty::backup;
    /// A call has failed since the start.
    bool has_failed_ = false;
    store_outage outage_;
    /// The outage that goes on, or was the last one, affects only this instance.
    bool others_served_ = false;
    duration extra_timeout_{};
};

} // namespace cyclamenpost
