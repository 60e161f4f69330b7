#include "cyclamenpost/entry/load_reporter.hpp"

#include <algorithm>

namespace cyclamenpost {

namespace {

// a report reaches all instances in two or three steps and should be there while it still holds;
// requests last about a second (unit-load_bound)
constexpr duration shortest_period = std::chrono::milliseconds{200};
// bytes of one report: key, load and age as protobuf writes them
constexpr std::size_t report_bytes = 8;
// half of the 9 KB a second that control may cost an instance at the size of letter 1
constexpr std::size_t bytes_per_second = 4500;

/// Time until the next message, so that large fleets of targets are told less often.
auto period_after(std::size_t reports) -> duration
{
    const auto seconds =
        static_cast<double>(reports * report_bytes) / static_cast<double>(bytes_per_second);
    return std::max(shortest_period,
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds}));
}

} // namespace

load_reporter::load_reporter(event_loop& loop, peers& others, const target_table& targets)
    : loop_(loop), peers_(others), targets_(targets)
{}

auto load_reporter::start() -> void
{
    timer_ = loop_.call_after(shortest_period, [this] { share(); });
}

auto load_reporter::stop() -> void
{
    timer_.reset();
}

auto load_reporter::share() -> void
{
    const auto now = monotonic_now();
    const auto recipients = peers_.report_recipients();
    const auto learnt = [&](report_origin farthest) {
        return loads_received_after(targets_, shared_until_, farthest, now);
    };
    auto sent = std::size_t{0};
    if (!recipients.collector.empty()) {
        const auto own = learnt(report_origin::own_answer);
        peers_.send_loads({recipients.collector}, own);
        sent = own.size();
    }
    if (!recipients.zone_peers.empty()) {
        const auto all = learnt(report_origin::other_zone);
        peers_.send_loads(recipients.zone_peers, all);
        sent = all.size();
    }
    peers_.send_loads(recipients.other_collectors, learnt(report_origin::zone_peer));
    shared_until_ = now;
    timer_ = loop_.call_after(period_after(sent), [this] { share(); });
}

} // namespace cyclamenpost
