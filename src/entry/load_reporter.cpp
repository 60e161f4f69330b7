#include "cyclamenpost/entry/load_reporter.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenpost {

namespace {

// a report reaches all instances in two or three hops and must arrive before it is outdated;
// requests last about a second (unit-load_bound)
constexpr duration min_period = std::chrono::milliseconds{200};
// figures are valid for two seconds
constexpr duration max_figures_period = std::chrono::seconds{1};
// encoded size of one report in protobuf: key, load and age
constexpr std::size_t report_bytes = 8;
// half of the 9 KB/s that control traffic may cost an instance in a fleet of 390 instances before
// 2,400 targets
constexpr std::size_t max_bytes_per_second = 4500;
// a failure passes three such checks on its way to all instances
constexpr duration news_period = std::chrono::milliseconds{25};

/// Time until the next message. It grows with the size of the message, which bounds the bandwidth.
auto period_after(std::size_t bytes) -> duration
{
    const auto seconds = static_cast<double>(bytes) / static_cast<double>(max_bytes_per_second);
    return std::max(min_period,
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds}));
}

/// Remembers the requests in flight that an early notice reports.
auto note_early(target_table& table, const std::vector<fleet_entry>& own) -> void
{
    for (const auto& entry : own) {
        auto& known = table.targets.at(table.id_by_key.at(entry.target));
        known.fleet.reported_in_flight = entry.figures.in_flight;
    }
}

} // namespace

load_reporter::load_reporter(event_loop& loop, peers& others, target_table& targets,
                             metric_registry& metrics)
    : loop_(loop), peers_(others), targets_(targets), metrics_(metrics)
{}

auto load_reporter::start() -> void
{
    timer_ = loop_.call_after(min_period, [this] { send_reports(); });
    limit_timer_ = loop_.call_after(min_period, [this] { send_limits(); });
    if (targets_.fleet.active) {
        news_timer_ = loop_.call_every(news_period, [this] { send_news(); });
    }
}

auto load_reporter::stop() -> void
{
    timer_.reset();
    limit_timer_.reset();
    news_timer_.reset();
}

auto load_reporter::send_reports() -> void
{
    const auto now = monotonic_now();
    const auto recipients = peers_.load_report_recipients();
    const auto sends_loads = !targets_.fleet.active || now >= loads_due_;
    const auto sends_limits = now >= limits_due_;
    auto reports = std::size_t{0};
    const auto message_of = [&](report_origin farthest, fleet_scope scope) {
        auto message = load_message{};
        if (sends_loads) {
            message.loads = loads_received_after(targets_, reported_until_, farthest, now);
        }
        reports = message.loads.size();
        if (sends_limits) {
            message.limits = next_limits(farthest, now);
        }
        add_figures(message, scope);
        return message;
    };
    if (!recipients.other_collectors.empty()) {
        peers_.send_loads(recipients.other_collectors,
                          message_of(report_origin::zone_peer, fleet_scope::zone));
        reports = 0;
    }
    if (!recipients.collector.empty()) {
        sent_bytes_ += peers_.send_loads(
            {recipients.collector}, message_of(report_origin::own_answer, fleet_scope::instance));
    }
    else if (targets_.fleet.active) {
        refresh_fleet_sums(targets_, now);
    }
    if (!recipients.zone_peers.empty()) {
        sent_bytes_ += peers_.send_loads(recipients.zone_peers,
                                         message_of(report_origin::other_zone, fleet_scope::fleet));
    }
    targets_.fleet.news.clear();
    if (sends_limits) {
        end_limits(now);
    }
    if (sends_loads) {
        reported_until_ = now;
        const auto bytes = std::exchange(sent_bytes_, 0);
        const auto limit_bytes = std::exchange(limits_sent_, 0) * shared_limit_bytes;
        loads_due_ =
            now +
            period_after(targets_.fleet.active ? bytes : reports * report_bytes + limit_bytes);
    }
    const auto next = std::max(loads_due_ - now, min_period);
    timer_ = loop_.call_after(targets_.fleet.active ? std::min(next, max_figures_period) : next,
                              [this] { send_reports(); });
}

auto load_reporter::send_limits() -> void
{
    const auto now = monotonic_now();
    if (now >= limits_due_) {
        const auto recipients = peers_.load_report_recipients();
        const auto send = [&](const std::vector<std::string>& to, report_origin farthest) {
            auto message = load_message{};
            message.limits = next_limits(farthest, now);
            return peers_.send_loads(to, message);
        };
        if (!recipients.other_collectors.empty()) {
            send(recipients.other_collectors, report_origin::zone_peer);
        }
        if (!recipients.collector.empty()) {
            sent_bytes_ += send({recipients.collector}, report_origin::own_answer);
        }
        if (!recipients.zone_peers.empty()) {
            sent_bytes_ += send(recipients.zone_peers, report_origin::other_zone);
        }
        end_limits(now);
    }
    limit_timer_ = loop_.call_after(limits_due_ - now, [this] { send_limits(); });
}

auto load_reporter::next_limits(report_origin farthest, time_point now) -> std::vector<shared_limit>
{
    auto limits = take_limits(targets_, limit_rounds_[farthest], farthest, now);
    limits_taken_ = std::max(limits_taken_, limits.size());
    return limits;
}

auto load_reporter::end_limits(time_point now) -> void
{
    limits_sent_ += limits_taken_;
    limits_due_ = now + limit_period(std::exchange(limits_taken_, 0), min_period);
}

auto load_reporter::add_figures(load_message& message, fleet_scope scope) -> void
{
    if (!targets_.fleet.active) {
        return;
    }
    auto list = list_of(scope, nullptr);
    // a list that has become empty is sent once, so that the receiver discards the last one
    const auto had_entries = listed_.contains(scope);
    if (list.entries.empty()) {
        listed_.erase(scope);
    }
    else {
        listed_.insert(scope);
    }
    if (had_entries || !list.entries.empty()) {
        message.figures = std::move(list);
    }
}

auto load_reporter::list_of(fleet_scope scope, const std::vector<std::string>* only) -> fleet_list
{
    auto list = fleet_list{};
    list.scope = scope;
    list.sequence = ++sequence_;
    list.partial = only != nullptr;
    list.entries = fleet_entries(targets_, scope, monotonic_now(), only);
    if (scope == fleet_scope::instance && only == nullptr) {
        note_reported(targets_, list.entries);
    }
    return list;
}

auto load_reporter::send_news() -> void
{
    auto& news = targets_.fleet.news;
    if (news.empty() || !take_notice(notices_, monotonic_now())) {
        return;
    }
    auto failing = std::vector<std::string>{};
    auto failing_here = std::vector<std::string>{};
    for (const auto& [id, for_others] : std::exchange(news, {})) {
        failing.push_back(id);
        if (for_others) {
            failing_here.push_back(id);
        }
    }
    const auto recipients = peers_.load_report_recipients();
    const auto send = [&](const std::vector<std::string>& to, fleet_scope scope,
                          const std::vector<std::string>& ids) {
        auto message = load_message{};
        message.figures = list_of(scope, &ids);
        if (to.empty() || message.figures->entries.empty()) {
            return;
        }
        const auto bytes = peers_.send_loads(to, message);
        if (scope == fleet_scope::instance) {
            note_early(targets_, message.figures->entries);
        }
        sent_bytes_ += scope == fleet_scope::zone ? 0 : bytes;
        count_list("sent_early", 1);
    };
    if (!recipients.collector.empty()) {
        send({recipients.collector}, fleet_scope::instance, failing);
        return;
    }
    send(recipients.zone_peers, fleet_scope::fleet, failing);
    send(recipients.other_collectors, fleet_scope::zone, failing_here);
}

auto load_reporter::receive(const fleet_list& figures, const fleet_sender& sender) -> void
{
    const auto result = merge_fleet_list(targets_, sender, figures, monotonic_now());
    count_list(name_in(fleet_merge_names, result.outcome), 1);
    if (result.ignored > 0) {
        count_list("unknown_target", result.ignored);
    }
}

auto load_reporter::count_unreadable() -> void
{
    count_list("unreadable", 1);
}

auto load_reporter::count_list(std::string_view outcome, std::size_t lists) -> void
{
    metrics_
        .counter_of("cyclamenpost_fleet_lists_total",
                    "Lists of targets' figures exchanged between instances, by outcome; single "
                    "entries for unknown targets.",
                    {{"outcome", std::string{outcome}}})
        .add(lists);
}

} // namespace cyclamenpost
