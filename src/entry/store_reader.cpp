#include "cyclamenpost/entry/store_reader.hpp"

#include <algorithm>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

namespace {

constexpr auto ok = 200;
constexpr auto gone = 410;
// removed entries kept for peers that lag behind
constexpr std::size_t max_kept_removals = 2000;
constexpr duration idle_timeout = std::chrono::seconds{30};
// a store may name an unreadable or an earlier era in each answer
constexpr duration era_log_interval = std::chrono::seconds{10};

auto set_era(std::vector<published_item>& items, std::uint64_t era) -> void
{
    for (auto& item : items) {
        item.revision.era = era;
    }
}

} // namespace

store_reader::store_reader(event_loop& loop, const platform_codec& codec, store_settings settings,
                           published_state& state, store_handlers handlers)
    : loop_(loop),
      codec_(codec),
      settings_(std::move(settings)),
      state_(state),
      handlers_(std::move(handlers)),
      client_(loop, idle_timeout)
{}

auto store_reader::start() -> void
{
    stopped_ = false;
    list_page();
}

auto store_reader::stop() -> void
{
    stopped_ = true;
    exchange_.cancel();
    timeout_timer_.reset();
    next_call_timer_.reset();
}

auto store_reader::set_address(const std::string& address) -> void
{
    if (address == settings_.address) {
        return;
    }
    log_event(
        log_level::info, "store_moved",
        {{"from", settings_.address}, {"to", address}, {"revision", to_string(state_.revision)}});
    settings_.address = address;
    const auto reading = !stopped_ && (duty_ != store_duty::none || !listed_);
    if (!reading) {
        return;
    }
    exchange_.cancel();
    timeout_timer_.reset();
    next_call_timer_.reset();
    if (listed_) {
        watch();
    }
    else {
        page_after_.clear();
        list_page();
    }
}

auto store_reader::set_duty(store_duty duty, time_point last_notice) -> void
{
    outage_.last_served = std::max(outage_.last_served, last_notice);
    const auto before = std::exchange(duty_, duty);
    const auto starts_or_ends = (before == store_duty::none) != (duty == store_duty::none);
    if (before == duty || stopped_ || !listed_) {
        return;
    }
    log_event(log_level::info, "store_duty",
              {{"duty", std::string{name_in(store_duty_names, duty)}},
               {"revision", to_string(state_.revision)}});
    if (!starts_or_ends) {
        return;
    }
    exchange_.cancel();
    timeout_timer_.reset();
    next_call_timer_.reset();
    watch();
}

auto store_reader::has_listed() const -> bool
{
    return has_listed_;
}

auto store_reader::first_listing_in_progress() const -> bool
{
    return !has_listed_ && !stopped_ && !has_failed_;
}

auto store_reader::available() const -> bool
{
    return available_ && duty_ != store_duty::none;
}

auto store_reader::may_have_lapsed(duration heartbeat, duration window, time_point now) const
    -> bool
{
    return !others_served_ && cyclamenpost::may_have_lapsed(outage_, heartbeat, window, now);
}

auto store_reader::note_store_serves_others() -> void
{
    others_served_ = others_served_ || !available_;
}

auto store_reader::restart_watch() -> void
{
    if (!stopped_ && duty_ != store_duty::none && listed_ && exchange_ &&
        state_.revision > watched_after_) {
        exchange_.cancel();
        timeout_timer_.reset();
        watch();
    }
}

auto store_reader::call(const request_head& head, duration timeout,
                        void (store_reader::*on_answer)()) -> void
{
    body_.clear();
    status_ = 0;
    answer_era_ = state_.revision.era;
    auto request = outgoing_request{};
    request.address = settings_.address;
    request.head = head;
    auto handlers = exchange_handlers{};
    handlers.on_head = [this](response_head& answer) {
        status_ = answer.status;
        note_era(answer);
    };
    handlers.on_body = [this](std::string_view bytes) { add_body(bytes); };
    handlers.on_complete = [this, on_answer] {
        timeout_timer_.reset();
        (this->*on_answer)();
    };
    handlers.on_failed = [this](exchange_failure how) {
        timeout_timer_.reset();
        handle_failure(name_in(exchange_failure_names, how));
    };
    const auto sent = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(exchange_, client_.send(request, std::move(handlers)));
            return {};
        },
        [](const error& failure) { log_error("store_call", failure); });
    if (!sent) {
        handle_failure("no_connection");
        return;
    }
    timeout_timer_ = loop_.call_after(timeout + extra_timeout_, [this] {
        const auto connected = exchange_.connected();
        exchange_.cancel();
        if (connected) {
            extra_timeout_ = std::min(extra_timeout_ + settings_.answer_timeout,
                                      settings_.max_answer_timeout - settings_.answer_timeout);
        }
        handle_failure("no_answer");
    });
}

auto store_reader::note_era(const response_head& answer) -> void
{
    const auto named = codec_.decode_store_era(answer);
    const auto known = state_.revision.era;
    answer_era_ = named.era.value_or(known);
    const auto unusable = named.unreadable || answer_era_ < known;
    const auto now = monotonic_now();
    if (unusable && now - last_era_log_ >= era_log_interval) {
        last_era_log_ = now;
        log_event(log_level::warning, named.unreadable ? "store_era_unreadable" : "store_era_past",
                  {{"peer", settings_.address},
                   {"era", std::to_string(answer_era_)},
                   {"known", std::to_string(known)}});
    }
    if (answer_era_ > known) {
        listed_ = false;
    }
}

auto store_reader::list_again() -> void
{
    listed_ = false;
    page_after_.clear();
    list_page();
}

auto store_reader::add_body(std::string_view bytes) -> void
{
    body_ += bytes;
    if (body_.size() > settings_.max_answer_bytes) {
        exchange_.cancel();
        timeout_timer_.reset();
        discard_answer("answer_too_large");
    }
}

auto store_reader::discard_answer(std::string_view cause) -> void
{
    body_.clear();
    page_after_.clear();
    listed_items_.clear();
    handle_failure(cause);
}

auto store_reader::list_page() -> void
{
    if (page_after_.empty()) {
        listed_items_.clear();
        listing_bytes_ = 0;
    }
    call(codec_.list_request(codec_.store_prefixes[prefix_index_], page_after_),
         settings_.answer_timeout, &store_reader::on_listing);
}

auto store_reader::on_listing() -> void
{
    auto page = status_ == ok ? codec_.decode_listing(body_) : std::nullopt;
    if (!page) {
        discard_answer("status_" + std::to_string(status_));
        return;
    }
    listing_bytes_ += body_.size();
    if (listing_bytes_ > settings_.max_listing_bytes) {
        discard_answer("listing_too_large");
        return;
    }
    // a page that does not go on behind the one before would be read without end
    if (!page_after_.empty() && !page->items.empty() && page->items.back().key <= page_after_) {
        discard_answer("pages_not_ascending");
        return;
    }
    const auto other_era = !page_after_.empty() && answer_era_ != listing_position_.era;
    if (other_era || answer_era_ < state_.revision.era) {
        discard_answer("era_" + std::to_string(answer_era_));
        return;
    }
    set_available(true, "listed");
    if (page_after_.empty()) {
        listing_position_ = {answer_era_, page->revision};
    }
    set_era(page->items, answer_era_);
    listed_items_.insert(listed_items_.end(), page->items.begin(), page->items.end());
    if (page->more && !page->items.empty()) {
        page_after_ = page->items.back().key;
        list_page();
        return;
    }
    page_after_.clear();
    const auto before = state_.revision;
    const auto changed = apply_listing(state_, codec_.store_prefixes[prefix_index_],
                                       listing_position_, std::exchange(listed_items_, {}));
    advance(state_, listing_position_);
    if (has_listed_ && before.era < listing_position_.era) {
        log_event(log_level::warning, "store_era",
                  {{"from", std::to_string(before.era)},
                   {"to", std::to_string(listing_position_.era)},
                   {"revision_before", std::to_string(before.revision)},
                   {"revision", std::to_string(listing_position_.revision)},
                   {"items", std::to_string(state_.items.size())},
                   {"changed", std::to_string(changed.size())},
                   {"awaited", std::to_string(state_.former.size())}});
    }
    listed_ = true;
    has_listed_ = true;
    log_event(log_level::info, "store_listed",
              {{"revision", to_string(listing_position_)},
               {"items", std::to_string(state_.items.size())},
               {"changed", std::to_string(changed.size())}});
    handlers_.on_changed(changed);
    watch();
}

auto store_reader::watch() -> void
{
    if (stopped_ || duty_ == store_duty::none) {
        return;
    }
    watched_after_ = state_.revision;
    // no wait while the store is unavailable, so that its return is noticed at once
    const auto wait = available_ ? settings_.watch_timeout : duration::zero();
    call(codec_.watch_request(codec_.store_prefixes[prefix_index_], watched_after_.revision, wait),
         wait + settings_.answer_timeout, &store_reader::on_changes);
}

auto store_reader::on_changes() -> void
{
    if (answer_era_ < state_.revision.era) {
        handle_failure("era_" + std::to_string(answer_era_));
        return;
    }
    if (status_ == gone) {
        log_event(log_level::warning, "store_history_gone", {{"after", to_string(watched_after_)}});
    }
    if (status_ == gone || (status_ == ok && answer_era_ > state_.revision.era)) {
        list_again();
        return;
    }
    if (status_ == ok && answer_era_ > watched_after_.era) {
        // a peer has brought the later era meanwhile; the changes of this answer begin elsewhere
        watch();
        return;
    }
    auto changes = status_ == ok ? codec_.decode_changes(body_) : std::nullopt;
    if (!changes) {
        handle_failure("status_" + std::to_string(status_));
        return;
    }
    set_available(true, "watched");
    set_era(changes->items, answer_era_);
    const auto changed =
        apply_changes(state_, watched_after_, {answer_era_, changes->revision}, changes->items);
    purge_removals(state_, max_kept_removals);
    if (!changed.empty()) {
        handlers_.on_changed(changed);
    }
    if (changes->items.empty()) {
        watch();
        return;
    }
    next_call_timer_ = loop_.call_after(pause_after_changes(duty_), [this] { watch(); });
}

auto store_reader::handle_failure(std::string_view cause) -> void
{
    if (stopped_) {
        return;
    }
    set_available(false, cause);
    has_failed_ = true;
    note_failed(outage_);
    ++failures_;
    const auto pause = pause_after_failure(duty_, failures_, state_.revision > 0);
    next_call_timer_ = loop_.call_after(pause, [this] {
        if (listed_) {
            watch();
        }
        else {
            list_page();
        }
    });
}

auto store_reader::set_available(bool now_available, std::string_view cause) -> void
{
    if (now_available) {
        failures_ = 0;
        extra_timeout_ = {};
        note_served(outage_, monotonic_now());
    }
    if (std::exchange(available_, now_available) == now_available) {
        return;
    }
    if (!now_available) {
        others_served_ = false;
    }
    log_event(now_available ? log_level::info : log_level::warning,
              now_available ? "store_reached" : "store_lost",
              {{"peer", settings_.address},
               {"cause", std::string{cause}},
               {"revision", to_string(state_.revision)}});
}

} // namespace cyclamenpost
