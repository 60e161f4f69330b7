#include "cyclamenpost/entry/entry_instance.hpp"

#include <algorithm>
#include <fstream>

#include <unistd.h>

#include "cyclamenpost/core/build_info.hpp"
#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/limits/connection_memory.hpp"
#include "cyclamenpost/routing/fleet_size.hpp"

namespace cyclamenpost {

namespace {

constexpr auto ok = 200;
constexpr auto not_found = 404;
constexpr auto service_unavailable = 503;
// requests are held for at most this long after a start; the first listing of the store is mostly
// answered sooner, also when a whole fleet starts at once
constexpr duration max_hold_time = std::chrono::milliseconds{1200};
constexpr duration hold_check_period = std::chrono::milliseconds{50};
constexpr duration maintenance_period = std::chrono::milliseconds{500};
constexpr duration shutdown_check_period = std::chrono::milliseconds{50};
// entries that vanish this soon after the store's return may have lapsed during the outage
constexpr duration store_return_window = std::chrono::seconds{2};
// the store removes an entry that its target has not written in this many heartbeats
constexpr int heartbeats_until_removal = 3;
// what the operator wrote is written again by hand or by a program
constexpr duration former_evacuation_retention = std::chrono::seconds{30};
// half of the allowed time to live, since some callers cache a directory answer for three times the
// time that it states
constexpr int directory_ttl_divisor = 2;
// part of the descriptors that callers leave to targets, store and peers
constexpr unsigned spare_descriptor_divisor = 8;
// part of the callers' memory that probes, directory queries and metrics may each take
constexpr std::size_t side_divisor = 16;
constexpr std::size_t max_side_body_bytes = 65536;
// a page has about 1 MB of items and may end with one of 1 MB, a third more in base64
constexpr std::size_t min_store_answer_bytes = std::size_t{4} << 20U;
constexpr std::size_t min_store_listing_bytes = std::size_t{16} << 20U;

/// Limits of callers' connections, for a process with these settings.
auto limits_of(const request_limits& limits, const entry_settings& settings) -> server_limits
{
    auto chosen = server_limits{limits.max_header_bytes, limits.max_body_bytes,
                                limits.header_timeout, limits.idle_timeout};
    chosen.max_buffered_body_bytes =
        max_request_body_bytes(settings.memory_bytes, limits.max_body_bytes);
    chosen.max_held_bytes = memory_shares_for(settings.memory_bytes, limits.max_body_bytes).callers;
    chosen.spare_descriptors = settings.max_connections / spare_descriptor_divisor;
    return chosen;
}

/// Limits of the connections for probes, directory queries and metrics, which have no bodies.
auto side_limits_of(const entry_settings& settings) -> server_limits
{
    auto chosen = server_limits{};
    chosen.max_body_bytes = max_side_body_bytes;
    chosen.max_buffered_body_bytes = max_side_body_bytes;
    chosen.max_held_bytes = memory_shares_for(settings.memory_bytes, 0).callers / side_divisor;
    return chosen;
}

/// Limits of what the store sends. One page with an item of the largest size fits.
auto store_settings_of(const entry_settings& settings) -> store_settings
{
    auto chosen = store_settings{settings.store_address};
    const auto share = memory_shares_for(settings.memory_bytes, 0).store;
    chosen.max_answer_bytes = std::clamp(share, min_store_answer_bytes, chosen.max_answer_bytes);
    chosen.max_listing_bytes =
        std::clamp(share * 2, min_store_listing_bytes, chosen.max_listing_bytes);
    return chosen;
}

/// Resident size of this process; 0 if the system does not tell.
auto resident_bytes() -> std::size_t
{
    auto file = std::ifstream{"/proc/self/statm"};
    auto total = std::size_t{0};
    auto resident = std::size_t{0};
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

auto whole_milliseconds(duration span) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

auto text_head(int status, std::string type) -> response_head
{
    auto head = response_head{};
    head.status = status;
    head.fields.push_back({"Content-Type", std::move(type)});
    return head;
}

} // namespace

entry_instance::entry_instance(event_loop& loop, platform_codec codec, entry_settings settings,
                               std::function<void(int)> on_end)
    : loop_(loop),
      codec_(std::move(codec)),
      settings_(std::move(settings)),
      on_end_(std::move(on_end)),
      supervisor_(loop, {},
                  [this](const std::string& child) {
                      log_event(log_level::error, "child_failed_too_often", {{"child", child}});
                      on_end_(1);
                  }),
      peers_(loop, settings_, state_,
             {[this](const changed_keys& keys, bool lapsing) {
                  store_.note_store_serves_others();
                  on_changed(keys, lapsing);
                  store_.restart_watch();
              },
              [this] { refresh_members(); },
              [this](const shared_evidence& known) { crashes_.merge(known); },
              [this](const std::vector<shared_load>& loads, report_origin origin) {
                  merge_shared_loads(view_.targets, loads, origin, monotonic_now());
              },
              [this](const std::vector<shared_limit>& limits, report_origin origin) {
                  apply_limits(limits, origin);
              },
              [this](const fleet_list& figures, const fleet_sender& sender) {
                  loads_.receive(figures, sender);
              },
              [this] { loads_.count_unreadable(); }, [this] { return store_.available(); },
              [this] { return may_have_lapsed(); }}),
      loads_(loop, peers_, view_.targets, metrics_),
      crashes_(loop, peers_, view_, metrics_, [this] { forwarder_.stop_blocked(); }),
      store_(loop, codec_, store_settings_of(settings_), state_,
             {[this](const changed_keys& keys) { on_changed(keys, may_have_lapsed()); }}),
      forwarder_(loop, codec_, view_, forwarder_settings_for(settings_.memory_bytes), metrics_),
      front_(loop, limits_of({}, settings_),
             [this](std::shared_ptr<server_exchange> exchange) {
                 forwarder_.handle(std::move(exchange));
             }),
      ready_(loop, side_limits_of(settings_),
             [this](const std::shared_ptr<server_exchange>& exchange) {
                 answer_readiness_or_directory(exchange);
             }),
      directory_(loop, side_limits_of(settings_),
                 [this](const std::shared_ptr<server_exchange>& exchange) {
                     answer_readiness_or_directory(exchange);
                 }),
      metrics_server_(
          loop, side_limits_of(settings_),
          [this](const std::shared_ptr<server_exchange>& exchange) { answer_metrics(exchange); })
{
    view_.own_id = settings_.peer_address;
    // fixed at the start, so that a later step of the wall clock does not move the turns of targets
    // with a limit
    view_.targets.position.clock_offset =
        std::chrono::milliseconds{wall_clock_ms()} - monotonic_now().time_since_epoch();
    apply_settings();
}

auto entry_instance::apply_settings() -> void
{
    view_.options = settings_.options;
    view_.targets.fleet.active = settings_.options.fleet_load;
    view_.targets.settings.zone = settings_.zone;
    view_.targets.settings.drain_time = settings_.target_drain_time;
    view_.targets.settings.cold_rate_factor = settings_.cold_over;
    view_.targets.settings.cold_rate_slack = settings_.cold_slack;
    refresh_members();
}

auto entry_instance::supervision_tree() -> supervised_node
{
    auto root = supervised_node{};
    root.name = "entry";
    root.start = [] { return result<void>{}; };
    root.stop = [] {};
    root.children.push_back(
        {"peers", [this] { return peers_.start(); }, [this] { peers_.stop(); }, {}});
    root.children.push_back({"loads",
                             [this] {
                                 loads_.start();
                                 return result<void>{};
                             },
                             [this] { loads_.stop(); },
                             {}});
    root.children.push_back({"crashes",
                             [this] {
                                 crashes_.start();
                                 return result<void>{};
                             },
                             [this] { crashes_.stop(); },
                             {}});
    root.children.push_back(
        {"store", [this] { return start_store(); }, [this] { store_.stop(); }, {}});
    root.children.push_back(
        {"front", [this] { return start_front(); }, [this] { front_.stop_listening(); }, {}});
    root.children.push_back({"directory",
                             [this] { return start_directory(); },
                             [this] {
                                 ready_.stop_listening();
                                 directory_.stop_listening();
                                 metrics_server_.stop_listening();
                             },
                             {}});
    return root;
}

auto entry_instance::start() -> void
{
    started_ = monotonic_now();
    view_.start.begun = started_ - process_age();
    supervisor_.start(supervision_tree());
    hold_timer_ = loop_.call_every(hold_check_period, [this] { check_knowledge(); });
    maintenance_ = loop_.call_every(maintenance_period, [this] { maintain(); });
    forwarder_.on_crash([this](const target_crash& seen) { crashes_.report(seen); });
}

auto entry_instance::start_store() -> result<void>
{
    store_.start();
    check_knowledge();
    return {};
}

auto entry_instance::start_front() -> result<void>
{
    BOOST_LEAF_CHECK(front_.listen(settings_.front_address));
    note_step(view_.start, start_step::listening, monotonic_now());
    return {};
}

auto entry_instance::start_directory() -> result<void>
{
    if (!settings_.readiness_address.empty()) {
        BOOST_LEAF_CHECK(ready_.listen(settings_.readiness_address));
    }
    if (!settings_.directory_address.empty()) {
        BOOST_LEAF_CHECK(directory_.listen(settings_.directory_address));
    }
    if (!settings_.metrics_address.empty()) {
        BOOST_LEAF_CHECK(metrics_server_.listen(settings_.metrics_address));
    }
    return {};
}

auto entry_instance::reload(entry_settings settings) -> void
{
    log_event(log_level::info, "reload",
              {{"instance", settings.name}, {"seeds", std::to_string(settings.seeds.size())}});
    settings_ = std::move(settings);
    apply_settings();
    peers_.apply_seeds();
    store_.set_address(settings_.store_address);
}

auto entry_instance::ready() const -> bool
{
    return view_.routes && view_.up_to_date && !view_.stopping;
}

auto entry_instance::reads_store() const -> bool
{
    return store_.available();
}

auto entry_instance::view() const -> const fleet_view&
{
    return view_;
}

auto entry_instance::may_have_lapsed() const -> bool
{
    return store_.may_have_lapsed(settings_.target_heartbeat, store_return_window, monotonic_now());
}

auto entry_instance::longest_cold_time() const -> duration
{
    auto longest = duration::zero();
    if (view_.routes) {
        for (const auto& service : view_.routes->services) {
            longest = std::max(longest, service.cold_time);
        }
    }
    return longest;
}

auto entry_instance::on_changed(const changed_keys& keys, bool lapsing) -> void
{
    for (const auto& key : keys) {
        const auto found = state_.items.find(key);
        if (found != state_.items.end()) {
            apply_item(found->second, lapsing);
        }
    }
    peers_.announce_revision(std::exchange(announced_revision_, state_.revision));
    check_knowledge();
}

auto entry_instance::former_of(const std::string& key) const -> const published_item*
{
    const auto found = state_.former.find(key);
    return found == state_.former.end() ? nullptr : &found->second.item;
}

auto entry_instance::expire_former() -> void
{
    const auto retention_of = [this](const std::string& key) -> duration {
        switch (codec_.decode_key(key).kind) {
        case store_item_kind::configuration:
            // versions only grow, so a lower one never takes the place of a former one
            return duration::max();
        case store_item_kind::zone_evacuation:
            return former_evacuation_retention;
        case store_item_kind::target:
        case store_item_kind::other:
            break;
        }
        return heartbeats_until_removal * settings_.target_heartbeat + store_return_window;
    };
    const auto expired = expire_former_items(state_, monotonic_now(), retention_of);
    if (expired.empty()) {
        return;
    }
    log_event(log_level::info, "former_items_expired",
              {{"items", std::to_string(expired.size())},
               {"awaited", std::to_string(state_.former.size())}});
    on_changed(expired, false);
}

auto entry_instance::check_knowledge() -> void
{
    auto known = peers_.announced();
    known.listed_store = store_.has_listed();
    if (known.listed_store) {
        note_step(view_.start, start_step::first_listing, monotonic_now());
    }
    view_.up_to_date = view_.up_to_date || knows_enough(known);
    view_.first_listing_expected = !view_.up_to_date && store_.first_listing_in_progress() &&
                                   monotonic_now() - started_ < max_hold_time;
    if (!view_.first_listing_expected) {
        hold_timer_.reset();
        forwarder_.release_held();
    }
    else {
        forwarder_.reject_overdue_held();
    }
    announce_if_ready();
}

auto entry_instance::apply_item(const published_item& item, bool lapsing) -> void
{
    const auto key = codec_.decode_key(item.key);
    const auto* former = former_of(item.key);
    switch (key.kind) {
    case store_item_kind::configuration:
        apply_configuration(item);
        return;
    case store_item_kind::target:
        apply_target(key.name, item, lapsing);
        return;
    case store_item_kind::zone_evacuation:
        apply_zone_evacuation(key.name, !item.removed || (former != nullptr && !former->removed));
        return;
    case store_item_kind::other:
        return;
    }
}

auto entry_instance::apply_configuration(const published_item& item) -> void
{
    if (item.removed) {
        return;
    }
    auto table = codec_.decode_configuration(item.value);
    if (const auto* former = former_of(item.key); former != nullptr && table) {
        auto former_table = codec_.decode_configuration(former->value);
        if (former_table && former_table->version > table->version) {
            table = std::move(former_table);
        }
    }
    if (!table) {
        log_event(log_level::error, "configuration_unreadable",
                  {{"revision", to_string(item.revision)}});
        return;
    }
    if (view_.routes && table->version < view_.routes->version) {
        log_event(log_level::warning, "configuration_older",
                  {{"version", std::to_string(table->version)},
                   {"in_force", std::to_string(view_.routes->version)}});
        return;
    }
    log_event(log_level::info, "configuration",
              {{"version", std::to_string(table->version)},
               {"revision", to_string(item.revision)},
               {"routes", std::to_string(table->routes.size())},
               {"keys_required", table->requires_keys ? "1" : "0"},
               {"organisations", std::to_string(table->organisations.size())}});
    front_.set_limits(limits_of(table->limits, settings_));
    view_.routes = std::make_shared<const route_table>(std::move(*table));
    note_step(view_.start, start_step::configuration, monotonic_now());
}

auto entry_instance::apply_target(const std::string& id, const published_item& item, bool lapsing)
    -> void
{
    const auto now = monotonic_now();
    const auto* former = former_of(item.key);
    if (item.removed) {
        // an entry that the store's older copy lacks may be about to be written again
        const auto lapsed = lapsing || (former != nullptr && !former->removed);
        remove_target(view_.targets, id, lapsed ? listing_state::lapsed : listing_state::removed,
                      now);
        log_event(log_level::info, "target_gone",
                  {{"target", id},
                   {"lapsed", lapsed ? "1" : "0"},
                   {"revision", to_string(item.revision)}});
        return;
    }
    if (former != nullptr && former->removed) {
        log_event(log_level::info, "target_restored",
                  {{"target", id}, {"revision", to_string(item.revision)}});
        return;
    }
    auto entry = codec_.decode_target(id, item.value);
    if (former != nullptr && entry) {
        const auto former_entry = codec_.decode_target(id, former->value);
        entry = former_entry ? restrict_entry(*former_entry, *entry) : *entry;
    }
    if (!entry) {
        remove_target(view_.targets, id, listing_state::removed, now);
        log_event(log_level::warning, "target_unreadable",
                  {{"target", id}, {"revision", to_string(item.revision)}});
        return;
    }
    upsert_target(view_.targets, *entry, now);
    note_step(view_.start, start_step::targets, now);
    log_event(log_level::info, "target",
              {{"target", id},
               {"service", entry->service},
               {"address", entry->address},
               {"zone", entry->zone},
               {"leaving", entry->draining ? "1" : "0"},
               {"revision", to_string(item.revision)}});
}

auto entry_instance::apply_limits(const std::vector<shared_limit>& limits, report_origin origin)
    -> void
{
    const auto now = monotonic_now();
    for (const auto& [id, change] : merge_shared_limits(view_.targets, limits, origin, now)) {
        if (!sample_line(limit_lines_, now)) {
            continue;
        }
        const auto limit = current_limit(view_.targets.targets.at(id).limit, now);
        log_event(log_level::info, "target_limit",
                  {{"target", id},
                   {"change", std::string{name_in(limit_change_names, change)}},
                   {"limit", limit ? std::to_string(*limit) : "none"},
                   {"source", "peer"}});
    }
}

auto entry_instance::apply_zone_evacuation(const std::string& zone, bool evacuated) -> void
{
    set_zone_evacuated(view_.targets, zone, evacuated, longest_cold_time(), monotonic_now());
    log_event(log_level::info, "zone", {{"zone", zone}, {"out", evacuated ? "1" : "0"}});
}

auto entry_instance::announce_if_ready() -> void
{
    if (ready() && !std::exchange(announced_ready_, true)) {
        note_step(view_.start, start_step::ready, monotonic_now());
        log_event(log_level::info, "ready",
                  {{"config", std::to_string(view_.routes->version)},
                   {"targets", std::to_string(view_.targets.targets.size())}});
        peers_.announce_ready();
    }
}

auto entry_instance::refresh_members() -> void
{
    const auto now = monotonic_now();
    auto ids = peers_.instance_ids();
    if (ids.size() > 1 && !first_contact_) {
        first_contact_ = now;
        note_step(view_.start, start_step::first_contact, now);
    }
    auto known = member_knowledge{};
    known.since_start = started_ == time_point{} ? duration::zero() : now - started_;
    if (first_contact_) {
        known.since_contact = now - *first_contact_;
    }
    known.expects_others = names_others(settings_.seeds, settings_.peer_address);
    known.settle_time = settings_.membership_settle_time;
    const auto settled = knows_fleet_size(known);
    retain_fleet_sources(view_.targets, peers_.live_peers());
    view_.members = settled ? std::move(ids) : std::vector<std::string>{};
    update_position(view_.targets.position, view_.members, view_.own_id, now);
    view_.retries = divide_retry_budget(
        {settings_.retry_budget_ratio, settled ? settings_.retry_slack : 0}, view_.members.size());
}

auto entry_instance::maintain() -> void
{
    const auto now = monotonic_now();
    refresh_members();
    expire_former();
    check_knowledge();
    store_.set_duty(peers_.duty(), peers_.last_notice());
    purge_removed_targets(view_.targets, now);
    for (const auto& id : expire_limits(view_.targets, now)) {
        log_event(log_level::info, "target_limit",
                  {{"target", id}, {"change", "ended"}, {"limit", "none"}, {"source", "expiry"}});
    }
    if (time_to_step(view_.start, start_step::first_answer) &&
        !std::exchange(logged_start_, true)) {
        log_start(view_.start);
    }
}

auto entry_instance::counted_memory() const -> std::size_t
{
    return front_.held_bytes() + ready_.held_bytes() + directory_.held_bytes() +
           metrics_server_.held_bytes() + forwarder_.held_bytes();
}

auto entry_instance::answer_metrics(const std::shared_ptr<server_exchange>& exchange) -> void
{
    const auto set = [this](const char* name, const char* help, double value) {
        metrics_.gauge_of(name, help).set(value);
    };
    set("cyclamenpost_ready", "Whether callers may be sent here.", ready() ? 1 : 0);
    set("cyclamenpost_store_available", "Whether the store is read and answers.",
        store_.available() ? 1 : 0);
    set("cyclamenpost_store_revision", "Revision up to which the store has been read.",
        static_cast<double>(state_.revision.revision));
    set("cyclamenpost_store_era", "Era of the store; it rises when the store comes back older.",
        static_cast<double>(state_.revision.era));
    set("cyclamenpost_store_former_items",
        "Items that the store's older copy contradicts and that were not written again yet.",
        static_cast<double>(state_.former.size()));
    set("cyclamenpost_configuration_version", "Version in force.",
        view_.routes ? static_cast<double>(view_.routes->version) : 0);
    set("cyclamenpost_members", "Instances known, this one included.",
        static_cast<double>(view_.members.size()));
    set("cyclamenpost_targets", "Targets known.",
        static_cast<double>(view_.targets.targets.size()));
    const auto limited = std::ranges::count_if(view_.targets.targets, [](const auto& known) {
        return known.second.limit.announced_at.has_value();
    });
    set("cyclamenpost_limited_targets", "Targets that have announced a limit that applies.",
        static_cast<double>(limited));
    set("cyclamenpost_requests_running", "Requests without a final answer.",
        static_cast<double>(forwarder_.running()));
    set("cyclamenpost_request_body_bytes", "Bytes of request bodies that are held.",
        static_cast<double>(front_.buffered_body_bytes()));
    set("cyclamenpost_request_bodies_refused",
        "Requests refused since the start because of the bytes of other requests' bodies.",
        static_cast<double>(front_.refused_bodies()));
    set("cyclamenpost_connection_memory_bytes",
        "Memory counted for connections of callers, of probes and directory, and of targets.",
        static_cast<double>(counted_memory()));
    set("cyclamenpost_caller_memory_bytes", "Memory counted for callers' connections.",
        static_cast<double>(front_.held_bytes()));
    set("cyclamenpost_caller_memory_limit_bytes", "Callers' share of the memory.",
        static_cast<double>(front_.max_held_bytes()));
    set("cyclamenpost_target_memory_bytes", "Memory counted for targets' connections.",
        static_cast<double>(forwarder_.held_bytes()));
    set("cyclamenpost_resident_bytes", "Resident size of the process.",
        static_cast<double>(resident_bytes()));
    for (const auto& limit : caller_limit_names) {
        metrics_
            .gauge_of("cyclamenpost_callers_limited",
                      "Callers refused or disconnected since the start, by the limit they reached.",
                      {{"limit", std::string{limit.name}}})
            .set(static_cast<double>(front_.limited(limit.value)));
    }
    set("cyclamenpost_caller_connections", "Open connections of callers.",
        static_cast<double>(front_.open_connections()));
    if (settings_.options.fleet_load) {
        set("cyclamenpost_fails_mostly",
            "Whether attempts fail at most of the targets used, so that failures are not reported.",
            fails_mostly(view_.targets, monotonic_now()) ? 1 : 0);
    }
    set_start_gauges(view_.start, metrics_);
    metrics_
        .gauge_of("cyclamenpost_build_info", "Version and source digest of the program; always 1.",
                  {{"version", CYCLAMENPOST_VERSION}, {"build", std::string{build_digest()}}})
        .set(1);
    exchange->respond(text_head(ok, "text/plain; version=0.0.4"), metrics_.prometheus_text());
}

auto entry_instance::answer_readiness_or_directory(const std::shared_ptr<server_exchange>& exchange)
    -> void
{
    if (codec_.is_readiness_probe(exchange->head)) {
        exchange->respond(text_head(ready() ? ok : service_unavailable, "text/plain"), {});
        return;
    }
    const auto query = codec_.decode_directory_query(exchange->head);
    if (!query) {
        exchange->respond(text_head(not_found, "text/plain"), {});
        return;
    }
    const auto entries = peers_.directory_entries();
    const auto addresses =
        directory_addresses(entries, query->zone,
                            static_cast<std::uint64_t>(monotonic_now().time_since_epoch().count()));
    if (addresses.empty()) {
        exchange->respond(text_head(service_unavailable, "text/plain"), {});
        return;
    }
    exchange->respond(
        text_head(ok, "application/json"),
        codec_.encode_directory(addresses, settings_.max_directory_ttl / directory_ttl_divisor));
}

auto entry_instance::begin_shutdown() -> void
{
    if (view_.stopping) {
        return;
    }
    // the signal waits while the process does not run, and the platform counts from the signal
    const auto signalled = loop_.events_since();
    view_.stopping = plan_shutdown(signalled, settings_.shutdown_grace);
    const auto now = monotonic_now();
    log_event(log_level::info, "shutdown_begun",
              {{"running", std::to_string(forwarder_.running())},
               {"connections", std::to_string(front_.open_connections())},
               {"signal_age_ms", whole_milliseconds(now - signalled)},
               {"accept_ms", whole_milliseconds(view_.stopping->accept_until - now)},
               {"end_ms", whole_milliseconds(view_.stopping->end - now)}});
    forwarder_.limit_to_shutdown();
    peers_.leave();
    front_.begin_drain();
    ready_.begin_drain();
    directory_.begin_drain();
    shutdown_timer_ = loop_.call_every(shutdown_check_period, [this] { finish_shutdown(); });
}

auto entry_instance::finish_shutdown() -> void
{
    const auto now = monotonic_now();
    const auto& plan = *view_.stopping;
    const auto idle = forwarder_.running() == 0 && front_.busy_connections() == 0;
    if (now > plan.accept_until) {
        front_.stop_listening();
    }
    const auto done = (now > plan.stay_until && idle) || now > plan.end;
    if (!done) {
        return;
    }
    log_event(log_level::info, "stop",
              {{"running", std::to_string(forwarder_.running())},
               {"left_ms", whole_milliseconds(plan.end - now)}});
    shutdown_timer_.reset();
    forwarder_.end_all();
    supervisor_.stop();
    on_end_(0);
}

} // namespace cyclamenpost
