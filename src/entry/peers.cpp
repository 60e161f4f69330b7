#include "cyclamenpost/entry/peers.hpp"

#include <algorithm>
#include <random>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/entry/membership_timing.hpp"
#include "cyclamenpost/routing/store_readers.hpp"
#include "cyclamenpost/transport/deflate.hpp"

namespace cyclamenpost {

namespace {

// approximate size limit of one message; a larger item is sent in a message of its own
constexpr std::size_t max_part_bytes = 60000;
// enough for the largest item of the store and its envelope
constexpr std::size_t max_message_bytes = std::size_t{3} << 20U;
// delay before a change is fetched from a peer: the own watch or the zone's readers usually deliver
// it sooner
constexpr duration own_watch_delay = std::chrono::milliseconds{400};
constexpr duration fetch_interval = std::chrono::milliseconds{300};
constexpr duration fetch_check_period = std::chrono::milliseconds{100};
// values up to this size are pushed; each instance fetches larger ones from its preferred reader,
// which spreads the load
constexpr std::size_t max_pushed_bytes = 4000;
// a peer of another version may send an unreadable message with each of its reports
constexpr duration unreadable_log_interval = std::chrono::seconds{10};

auto age_in_ms(time_point at, time_point now) -> std::uint32_t
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0));
}

auto own_record(const entry_settings& settings) -> member_record
{
    auto seed = std::random_device{};
    auto record = member_record{};
    record.identity.id = settings.peer_address;
    record.identity.incarnation =
        (static_cast<std::uint64_t>(seed()) << 32U) | static_cast<std::uint64_t>(seed());
    record.identity.start_ms = static_cast<std::uint64_t>(wall_clock_ms());
    record.zone = settings.zone;
    record.region = settings.region;
    record.bus_address = settings.peer_address;
    return record;
}

auto bus_of(const entry_settings& settings, const member_record& self) -> bus_settings
{
    auto chosen = bus_settings{};
    chosen.instance = self.identity.id;
    chosen.zone = self.zone;
    chosen.listen_address = settings.peer_address;
    chosen.incarnation = self.identity.incarnation;
    chosen.start_ms = self.identity.start_ms;
    chosen.trusted_network = true;
    chosen.max_message_bytes = max_message_bytes;
    return chosen;
}

auto make_cluster(event_loop& loop, const entry_settings& settings) -> cluster_node
{
    auto self = own_record(settings);
    auto bus = bus_of(settings, self);
    return cluster_node{loop, std::move(self), std::move(bus), entry_membership_settings()};
}

} // namespace

peers::peers(event_loop& loop, const entry_settings& settings, published_state& state,
             peer_handlers handlers)
    : loop_(loop),
      settings_(settings),
      state_(state),
      handlers_(std::move(handlers)),
      cluster_(make_cluster(loop, settings))
{}

auto peers::start() -> result<void>
{
    started_ = monotonic_now();
    auto events = cluster_handlers{};
    events.on_member_change = [this](const member_change&) { handlers_.on_members(); };
    events.on_peer_config_version = [this](const peer_config_version& seen) {
        on_revision_seen(seen.from, {seen.digest, seen.version});
    };
    events.on_message = [this](const wire::envelope& message) { on_message(message); };
    events.on_heard = [this](const std::string& instance) { note_heard(sources_, instance); };
    BOOST_LEAF_CHECK(cluster_.start(std::move(events)));
    apply_seeds();
    notice_timer_ = loop_.call_every(notice_period, [this] { notify_zone(); });
    return {};
}

auto peers::apply_seeds() -> void
{
    auto seeds = std::vector<member_record>{};
    for (const auto& address : settings_.seeds) {
        auto seed = member_record{};
        seed.identity.id = address;
        seed.bus_address = address;
        // the zone of a seed is not known yet; with the own zone the seed is probed at once
        seed.zone = settings_.zone;
        seeds.push_back(std::move(seed));
    }
    cluster_.apply_instance_list(++seeds_version_, seeds);
}

auto peers::stop() -> void
{
    cluster_.stop();
    fetch_timer_.reset();
    fetch_check_.reset();
    notice_timer_.reset();
}

auto peers::announce_ready() -> void
{
    cluster_.set_http_address(settings_.front_address);
}

auto peers::leave() -> void
{
    cluster_.leave();
}

auto peers::announce_revision(const store_position& before) -> void
{
    cluster_.set_config_version(state_.revision.revision, state_.revision.era);
    const auto readers = store_readers(zone_members());
    const auto pushes_changes = !readers.empty() && readers.front() == settings_.peer_address;
    if (!pushes_changes || state_.revision <= before || !handlers_.store_available()) {
        return;
    }
    if (before > 0) {
        for (const auto& id : zone_followers(readers)) {
            send_changes(id, before, max_pushed_bytes);
        }
    }
    notify_zone();
}

auto peers::members_by_zone() const -> std::map<std::string, std::vector<std::string>>
{
    auto zones = std::map<std::string, std::vector<std::string>>{};
    for (const auto& member : live_members(cluster_.membership())) {
        const auto has_sent_message = member.identity.start_ms != 0;
        if (has_sent_message) {
            zones[member.zone].push_back(member.identity.id);
        }
    }
    return zones;
}

auto peers::zone_members() const -> std::vector<std::string>
{
    return members_by_zone()[settings_.zone];
}

auto peers::zone_followers(const std::vector<std::string>& readers) const
    -> std::vector<std::string>
{
    auto followers = zone_members();
    std::erase_if(followers, [&](const std::string& id) {
        return std::find(readers.begin(), readers.end(), id) != readers.end();
    });
    return followers;
}

auto peers::is_reader(const std::vector<std::string>& readers) const -> bool
{
    return std::find(readers.begin(), readers.end(), settings_.peer_address) != readers.end();
}

auto peers::duty() const -> store_duty
{
    const auto now = monotonic_now();
    return store_duty_of(store_readers(zone_members()), settings_.peer_address, now - last_notice_,
                         now - started_, time_behind(sources_, state_.revision, now));
}

auto peers::last_notice() const -> time_point
{
    return last_notice_;
}

auto peers::notify_zone() -> void
{
    const auto readers = store_readers(zone_members());
    if (!is_reader(readers) || !handlers_.store_available()) {
        return;
    }
    auto message = wire::envelope{};
    message.mutable_published_notice()->set_revision(state_.revision.revision);
    message.mutable_published_notice()->set_era(state_.revision.era);
    for (const auto& id : zone_followers(readers)) {
        cluster_.send(id, message);
    }
}

auto peers::send_evidence(const std::vector<std::string>& to, const shared_evidence& known) -> void
{
    const auto now = monotonic_now();
    auto message = wire::envelope{};
    auto& report = *message.mutable_crash_report();
    for (const auto& crash : known.crashes) {
        auto& seen = *report.add_crashes();
        seen.set_target(crash.target);
        seen.set_target_incarnation(crash.incarnation);
        seen.set_age_ms(age_in_ms(crash.at, now));
        for (const auto& key : crash.keys) {
            seen.add_keys(key.id);
            seen.add_depths(key.depth);
        }
    }
    for (const auto& answer : known.begun) {
        auto& seen = *report.add_begun();
        seen.set_key(answer.key);
        seen.set_age_ms(age_in_ms(answer.at, now));
    }
    for (const auto& id : to) {
        cluster_.send(id, message);
    }
}

auto peers::on_crash_report(const wire::envelope& message) -> void
{
    const auto now = monotonic_now();
    auto known = shared_evidence{};
    for (const auto& seen : message.crash_report().crashes()) {
        if (seen.keys_size() != seen.depths_size()) {
            log_event(log_level::warning, "crash_report_unreadable",
                      {{"peer", message.from_instance()}});
            return;
        }
        auto& crash = known.crashes.emplace_back();
        crash.target = seen.target();
        crash.incarnation = seen.target_incarnation();
        crash.at = now - std::chrono::milliseconds{seen.age_ms()};
        for (auto index = 0; index < seen.keys_size(); ++index) {
            crash.keys.push_back({seen.keys(index), seen.depths(index)});
        }
    }
    for (const auto& seen : message.crash_report().begun()) {
        known.begun.push_back({seen.key(), now - std::chrono::milliseconds{seen.age_ms()}});
    }
    handlers_.on_evidence(known);
}

auto peers::live_peers() const -> std::vector<std::string>
{
    auto ids = std::vector<std::string>{};
    for (const auto& member : live_members(cluster_.membership())) {
        if (member.identity.id != settings_.peer_address) {
            ids.push_back(member.identity.id);
        }
    }
    return ids;
}

auto peers::send_loads(const std::vector<std::string>& to, const load_message& loads) -> std::size_t
{
    if (to.empty() || (loads.loads.empty() && !loads.figures && loads.limits.empty())) {
        return 0;
    }
    const auto message = encode_load_message(loads, settings_.options.fleet_load, monotonic_now());
    for (const auto& id : to) {
        cluster_.send(id, message);
    }
    return message.ByteSizeLong();
}

auto peers::load_report_recipients() const -> load_recipients
{
    return load_recipients_of(members_by_zone(), settings_.peer_address, settings_.zone);
}

auto peers::directory_entries() const -> std::vector<directory_entry>
{
    auto entries = std::vector<directory_entry>{};
    for (const auto& member : reachable_members(cluster_.membership(), monotonic_now())) {
        if (!member.http_address.empty()) {
            entries.push_back({member.zone, member.http_address});
        }
    }
    return entries;
}

auto peers::instance_ids() const -> std::vector<std::string>
{
    auto ids = std::vector<std::string>{settings_.peer_address};
    for (const auto& [id, entry] : cluster_.membership().members) {
        if (entry.record.identity.start_ms != 0) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto peers::announced() const -> start_knowledge
{
    auto known = start_knowledge{};
    known.revision = state_.revision;
    known.newest_announced = newest_announced_;
    known.heard_reader = heard_reader_;
    known.since_first_announced =
        first_announced_ ? monotonic_now() - *first_announced_ : duration::zero();
    return known;
}

auto peers::on_revision_seen(const std::string& from, const store_position& seen) -> void
{
    const auto now = monotonic_now();
    if (!first_announced_ && seen.revision > 0) {
        first_announced_ = now;
    }
    const auto collecting =
        !heard_reader_ && first_announced_ && now - *first_announced_ < announcement_time;
    if (collecting) {
        newest_announced_ = std::max(newest_announced_, seen);
    }
    note_announced(sources_, from, seen, state_.revision, now);
    if (seen <= state_.revision || sources_.fetch || now - last_fetch_ < fetch_interval) {
        return;
    }
    const auto readers = store_readers(zone_members());
    const auto source = fetch_source(seen, from);
    const auto expected =
        source == answering_reader(sources_, readers, settings_.peer_address, now);
    if (!handlers_.store_available() && (duty() != store_duty::none || expected)) {
        fetch(source, seen);
        return;
    }
    if (!fetch_timer_.pending()) {
        fetch_timer_ = loop_.call_after(own_watch_delay, [this, from, seen] {
            if (state_.revision < seen && !sources_.fetch) {
                fetch(fetch_source(seen, from), seen);
            }
        });
    }
}

auto peers::fetch_source(const store_position& revision, const std::string& seen_at) const
    -> std::string
{
    return change_source(sources_, store_readers(zone_members()), settings_.peer_address, revision,
                         seen_at, monotonic_now());
}

auto peers::fetch(const std::string& from, const store_position& revision) -> void
{
    last_fetch_ = monotonic_now();
    begin_fetch(sources_, from, revision, last_fetch_);
    log_event(log_level::info, "changes_asked",
              {{"peer", from}, {"after", to_string(state_.revision)}});
    auto message = wire::envelope{};
    message.mutable_published_fetch()->set_after(state_.revision.revision);
    message.mutable_published_fetch()->set_after_era(state_.revision.era);
    cluster_.send(from, message);
    fetch_check_ = loop_.call_every(fetch_check_period, [this] { check_fetch(); });
}

auto peers::check_fetch() -> void
{
    const auto now = monotonic_now();
    const auto failed = take_failed_fetch(sources_, state_.revision, now);
    if (failed) {
        const auto next = fetch_source(failed->revision, failed->source);
        log_event(log_level::warning, "changes_not_sent",
                  {{"peer", failed->source},
                   {"heard", failed->heard ? "1" : "0"},
                   {"waited_ms", std::to_string(age_in_ms(failed->asked_at, now))},
                   {"behind_ms", std::to_string(age_in_ms(
                                     sources_.awaited ? sources_.awaited->since : now, now))},
                   {"next", next}});
        if (next != failed->source) {
            fetch(next, failed->revision);
            return;
        }
    }
    if (!sources_.fetch) {
        fetch_check_.reset();
    }
}

auto peers::on_message(const wire::envelope& message) -> void
{
    switch (message.body_case()) {
    case wire::envelope::kPublishedFetch:
        send_changes(message.from_instance(),
                     {message.published_fetch().after_era(), message.published_fetch().after()},
                     max_message_bytes);
        return;
    case wire::envelope::kPublishedNotice:
        on_notice(message.from_instance(),
                  {message.published_notice().era(), message.published_notice().revision()});
        return;
    case wire::envelope::kPublishedPart:
        on_published_part(message.from_instance(), message.published_part());
        return;
    case wire::envelope::kCrashReport:
        on_crash_report(message);
        return;
    case wire::envelope::kLoadReports:
        on_load_reports(message);
        return;
    default:
        log_event(log_level::warning, "message_unknown", {{"peer", message.from_instance()}});
    }
}

auto peers::on_notice(const std::string& from, const store_position& seen) -> void
{
    on_revision_seen(from, seen);
    // a reader of an earlier era, or of a release that knows none, has not seen what is newer here
    if (seen.era >= state_.revision.era) {
        last_notice_ = monotonic_now();
        heard_reader_ = true;
    }
}

auto peers::add_change(wire::published_part& part, const published_item& item) -> std::size_t
{
    auto& change = *part.add_changes();
    change.set_key(item.key);
    change.set_revision(item.revision.revision);
    change.set_era(item.revision.era);
    change.set_restored(item.restored);
    change.set_removed(item.removed);
    if (item.value.size() <= max_pushed_bytes) {
        change.set_value(item.value);
        return item.key.size() + item.value.size();
    }
    auto& cached = compressed_[item.key];
    if (cached.revision != item.revision) {
        cached = {item.revision, deflate_bytes(item.value).value_or(std::string{})};
    }
    if (cached.bytes.empty()) {
        change.set_value(item.value);
        return item.key.size() + item.value.size();
    }
    change.set_value(cached.bytes);
    change.set_inflated_bytes(static_cast<std::uint32_t>(item.value.size()));
    return item.key.size() + cached.bytes.size();
}

/// Sends the changes for an instance that is at `receiver_at` whose values have at most
/// `max_value_bytes` bytes, small ones first. When larger ones are left out, the receiver does not
/// advance its revision.
auto peers::send_changes(const std::string& to, const store_position& receiver_at,
                         std::size_t max_value_bytes) -> void
{
    const auto after = sendable_after(state_, receiver_at);
    auto changes = changes_after(state_, after);
    std::stable_sort(changes.begin(), changes.end(), [](const auto& left, const auto& right) {
        return left.value.size() < right.value.size();
    });
    const auto complete = changes.empty() || changes.back().value.size() <= max_value_bytes;
    auto message = wire::envelope{};
    auto* part = message.mutable_published_part();
    auto size = std::size_t{0};
    const auto flush = [&](bool last) {
        part->set_after(after.revision);
        part->set_after_era(after.era);
        part->set_revision(state_.revision.revision);
        part->set_era(state_.revision.era);
        part->set_last(last);
        part->set_lapsing(handlers_.may_have_lapsed());
        part->set_from_reader(handlers_.store_available());
        cluster_.send(to, message);
        part->clear_changes();
        size = 0;
    };
    for (const auto& item : changes) {
        if (item.value.size() > max_value_bytes) {
            break;
        }
        if (size > 0 && size + std::min(item.value.size(), max_part_bytes) > max_part_bytes) {
            flush(false);
        }
        size += add_change(*part, item);
    }
    flush(complete);
}

auto peers::on_published_part(const std::string& from, const wire::published_part& part) -> void
{
    note_changes(sources_, from, part.last());
    auto items = std::vector<published_item>{};
    auto complete = part.last();
    for (const auto& change : part.changes()) {
        const auto uncompressed = change.inflated_bytes() == 0;
        auto value = std::optional<std::string>{};
        if (uncompressed) {
            value = change.value();
        }
        else if (change.inflated_bytes() <= max_message_bytes) {
            value = inflate_bytes(change.value(), change.inflated_bytes());
        }
        if (!value) {
            log_event(log_level::warning, "change_unreadable", {{"key", change.key()}});
            complete = false;
            continue;
        }
        items.push_back({change.key(),
                         std::move(*value),
                         {change.era(), change.revision()},
                         change.removed(),
                         change.restored()});
    }
    const auto revision = complete ? store_position{part.era(), part.revision()} : store_position{};
    heard_reader_ = heard_reader_ || (revision > 0 && part.from_reader());
    const auto changed = apply_changes(state_, {part.after_era(), part.after()}, revision, items);
    if (part.last()) {
        log_event(log_level::info, "changes_taken",
                  {{"revision", to_string(state_.revision)},
                   {"changed", std::to_string(changed.size())}});
    }
    handlers_.on_changed(changed, part.lapsing());
}

auto peers::on_load_reports(const wire::envelope& message) -> void
{
    const auto now = monotonic_now();
    const auto decoded = decode_load_message(message.load_reports(), now);
    if (!decoded) {
        handlers_.on_loads_unreadable();
        if (now - last_unreadable_log_ >= unreadable_log_interval) {
            last_unreadable_log_ = now;
            log_event(log_level::warning, "loads_unreadable", {{"peer", message.from_instance()}});
        }
        return;
    }
    const auto sender = find_member(cluster_.membership(), message.from_instance());
    const auto same_zone = sender && sender->zone == settings_.zone;
    const auto origin = same_zone ? report_origin::zone_peer : report_origin::other_zone;
    handlers_.on_loads(decoded->loads, origin);
    if (!decoded->limits.empty()) {
        handlers_.on_limits(decoded->limits, origin);
    }
    if (decoded->figures && sender && settings_.options.fleet_load) {
        handlers_.on_figures(*decoded->figures, {name_key(message.from_instance()),
                                                 message.from_start_ms(), same_zone});
    }
}

} // namespace cyclamenpost
