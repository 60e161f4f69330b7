#include "cyclamenpost/entry/crash_monitor.hpp"

#include <algorithm>
#include <iterator>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

namespace {

// the ends of the connections that one crash closes arrive within this time
constexpr duration send_delay = std::chrono::milliseconds{50};
constexpr duration update_period = std::chrono::milliseconds{100};
constexpr duration share_period = std::chrono::milliseconds{500};
// each instance hears from two others in a period on average
constexpr std::size_t share_fanout = 2;

auto log_blocked(const crash_evidence& evidence, const std::set<std::uint64_t>& before) -> void
{
    for (const auto key : evidence.blocked) {
        if (!before.contains(key)) {
            log_event(
                log_level::warning, "content_blocked",
                {{"key", to_hex(key)}, {"crashes_known", std::to_string(evidence.crashes.size())}});
        }
    }
    for (const auto key : before) {
        if (!evidence.blocked.contains(key)) {
            log_event(log_level::info, "content_unblocked", {{"key", to_hex(key)}});
        }
    }
}

} // namespace

crash_monitor::crash_monitor(event_loop& loop, peers& others, fleet_view& view,
                             metric_registry& metrics, std::function<void()> on_blocked)
    : loop_(loop),
      peers_(others),
      view_(view),
      metrics_(metrics),
      on_blocked_(std::move(on_blocked)),
      random_(std::random_device{}())
{}

auto crash_monitor::start() -> void
{
    update_timer_ = loop_.call_every(update_period, [this] { update(); });
    share_timer_ = loop_.call_every(share_period, [this] { share(); });
}

auto crash_monitor::stop() -> void
{
    update_timer_.reset();
    share_timer_.reset();
    send_timer_.reset();
}

auto crash_monitor::report(const target_crash& seen) -> void
{
    metrics_
        .counter_of("cyclamenpost_unbegun_answers_total",
                    "Requests whose target ended before it had begun the answer.")
        .add();
    add_crash(unsent_, seen);
    if (!send_timer_.pending()) {
        send_timer_ = loop_.call_after(send_delay, [this] { send_own(); });
    }
}

auto crash_monitor::send_own() -> void
{
    peers_.send_evidence(peers_.live_peers(), {unsent_.crashes, {}});
    unsent_.crashes.clear();
}

auto crash_monitor::merge(const shared_evidence& known) -> void
{
    for (const auto& answer : known.begun) {
        add_begun(view_.crashes, answer);
    }
    for (const auto& crash : known.crashes) {
        add_crash(view_.crashes, crash);
    }
}

auto crash_monitor::share() -> void
{
    const auto known = evidence_to_share(view_.crashes, monotonic_now());
    if (known.crashes.empty()) {
        return;
    }
    const auto live = peers_.live_peers();
    auto chosen = std::vector<std::string>{};
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), share_fanout, random_);
    peers_.send_evidence(chosen, known);
}

auto crash_monitor::update() -> void
{
    auto& evidence = view_.crashes;
    const auto before = evidence.blocked;
    const auto survived = [this](std::uint32_t target, incarnation_id incarnation, time_point at) {
        return has_survived(view_.targets, target, static_cast<std::int64_t>(incarnation), at);
    };
    if (!update_blocked(evidence, monotonic_now(), survived)) {
        return;
    }
    log_blocked(evidence, before);
    metrics_.gauge_of("cyclamenpost_blocked_contents", "Contents that are known to crash targets.")
        .set(static_cast<double>(evidence.blocked.size()));
    on_blocked_();
}

} // namespace cyclamenpost
