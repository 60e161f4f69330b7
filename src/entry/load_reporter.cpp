#include "cyclamenpost/entry/load_reporter.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// a report reaches all instances in two or three hops and must arrive before it is outdated;
// requests last about a second (unit-load_bound)
constexpr duration min_period = std::chrono::milliseconds{200};
// encoded size of one report in protobuf: key, load and age
constexpr std::size_t report_bytes = 8;
// half of the 9 KB/s that control traffic may cost an instance in a fleet of 390 instances before
// 2,400 targets
constexpr std::size_t max_bytes_per_second = 4500;

/// Time until the next message. It grows with the number of reports, which bounds the bandwidth.
auto period_after(std::size_t reports) -> duration
{
    const auto seconds =
        static_cast<double>(reports * report_bytes) / static_cast<double>(max_bytes_per_second);
    return std::max(min_period,
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds}));
}

} // namespace

load_reporter::load_reporter(event_loop& loop, peers& others, const target_table& targets)
    : loop_(loop), peers_(others), targets_(targets)
{}

auto load_reporter::start() -> void
{
    timer_ = loop_.call_after(min_period, [this] { send_reports(); });
}

auto load_reporter::stop() -> void
{
    timer_.reset();
}

auto load_reporter::send_reports() -> void
{
    const auto now = monotonic_now();
    const auto recipients = peers_.load_report_recipients();
    const auto loads_since_last_report = [&](report_origin farthest) {
        return loads_received_after(targets_, reported_until_, farthest, now);
    };
    auto sent = std::size_t{0};
    if (!recipients.collector.empty()) {
        const auto own = loads_since_last_report(report_origin::own_answer);
        peers_.send_loads({recipients.collector}, own);
        sent = own.size();
    }
    if (!recipients.zone_peers.empty()) {
        const auto all = loads_since_last_report(report_origin::other_zone);
        peers_.send_loads(recipients.zone_peers, all);
        sent = all.size();
    }
    peers_.send_loads(recipients.other_collectors,
                      loads_since_last_report(report_origin::zone_peer));
    reported_until_ = now;
    timer_ = loop_.call_after(period_after(sent), [this] { send_reports(); });
}

} // namespace cyclamenpost
