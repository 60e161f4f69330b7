#pragma once

#include <functional>
#include <string>

#include "cyclamenpost/entry/platform_codec.hpp"
#include "cyclamenpost/routing/published_state.hpp"
#include "cyclamenpost/transport/http1_client.hpp"

namespace cyclamenpost {

/// Times of reading the store.
struct store_settings {
    std::string address;
    /// How long a watch waits for changes. A connection may go silent while the store changes, and
    /// changes have to be in force within two seconds.
    duration watch_wait = std::chrono::milliseconds{1500};
    /// A call that is not answered within this time, beyond what it waits, is given up. The store
    /// answers in milliseconds; a slow one takes some hundred.
    duration answer_limit = std::chrono::milliseconds{500};
    /// The limit grows to this while a store that is reached answers too late.
    duration longest_answer_limit = std::chrono::milliseconds{1500};
    duration first_pause = std::chrono::milliseconds{100};
    duration longest_pause = std::chrono::milliseconds{400};
    /// Changes that follow within this time after others arrive in one call.
    duration gather_time = std::chrono::milliseconds{100};
};

/// What the reader tells the instance.
struct store_handlers {
    std::function<void(const changed_keys&)> on_changed;
};

/// Keeps a copy of the platform's store: a listing by pages, then a watch from its revision.
class store_reader {
public:
    store_reader(event_loop& loop, const platform_codec& codec, store_settings settings,
                 published_state& state, store_handlers handlers);

    /// Begins to read.
    auto start() -> void;

    /// Stops reading.
    auto stop() -> void;

    /// Whether this instance reads on, or leaves that to others of its zone.
    auto set_active(bool wanted) -> void;

    /// Whether this instance reads the store and its last call was answered.
    auto available() const -> bool;

    /// Whether entries that vanish now may have lapsed while the store was away: it is away, or
    /// came back less than `window` ago. An outage of this instance alone does not count, since
    /// others kept the entries alive.
    auto may_have_lapsed(duration window, time_point now) const -> bool;

    /// A peer has newer changes: the store serves others.
    auto note_others_served() -> void;

    /// Reads on after the changes of a peer: a watch on a silent connection is opened anew.
    auto renew() -> void;

private:
    auto list_page() -> void;
    auto on_listing() -> void;
    auto watch() -> void;
    auto on_changes() -> void;
    auto call(const request_head& head, duration limit, void (store_reader::*on_answer)()) -> void;
    auto fail(std::string_view cause) -> void;
    auto set_available(bool now_available, std::string_view cause) -> void;

    event_loop& loop_;
    const platform_codec& codec_;
    store_settings settings_;
    published_state& state_;
    store_handlers handlers_;
    http1_client client_;
    client_exchange exchange_;
    std::string body_;
    int status_ = 0;
    timer limit_timer_;
    timer pause_timer_;
    bool listed_ = false;
    std::size_t prefix_ = 0;
    std::string page_after_;
    std::uint64_t listing_revision_ = 0;
    std::vector<published_item> listed_items_;
    std::uint64_t watched_after_ = 0;
    unsigned failures_ = 0;
    bool available_ = false;
    bool stopped_ = true;
    bool active_ = true;
    std::optional<time_point> last_away_;
    bool others_served_ = false;
    duration extra_limit_{};
};

} // namespace cyclamenpost
