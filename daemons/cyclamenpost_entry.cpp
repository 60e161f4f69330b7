#include <csignal>
#include <cstdlib>
#include <iostream>

#include "cyclamenpost/entry/entry_instance.hpp"
#include "cyclamenpost/log.hpp"
#include "platform_adapter.hpp"
#include "platform_settings.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto exit_usage = 2;

auto read_settings_file(entry_settings& settings) -> bool
{
    const auto* path = std::getenv(platform::settings_variable);
    return try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(settings, platform::read_settings(path != nullptr ? path : ""));
            return {};
        },
        [](const error& failure) {
            log_error("settings", failure);
            std::cerr << describe(failure) << '\n';
        });
}

auto serve(const entry_settings& settings) -> int
{
    auto loop = event_loop{settings.max_connections};
    auto status = 0;
    auto instance = entry_instance{loop, platform::make_port(), settings, [&](int reached) {
                                       status = reached;
                                       loop.stop();
                                   }};
    const auto on_signal = [&](int signal) {
        if (signal != SIGHUP) {
            instance.begin_shutdown();
            return;
        }
        auto changed = entry_settings{};
        if (read_settings_file(changed)) {
            instance.reload(std::move(changed));
        }
    };
    const auto watching = try_or([&] { return loop.watch_signals(on_signal); },
                                 [](const error& failure) { log_error("start", failure); });
    if (!watching) {
        return 1;
    }
    // other threads inherit the signal mask that watch_signals has set
    start_logging(log_level::info);
    log_event(log_level::info, "start",
              {{"instance", settings.name},
               {"zone", settings.zone},
               {"version", CYCLAMENPOST_VERSION},
               {"front", settings.front_address},
               {"peer", settings.peer_address},
               {"store", settings.store_address}});
    constexpr auto log_flush_period = std::chrono::milliseconds{100};
    const auto flushing = loop.call_every(log_flush_period, flush_log);
    instance.start();
    loop.run();
    flush_log();
    return status;
}

} // namespace

auto main() -> int
{
    auto settings = entry_settings{};
    return read_settings_file(settings) ? serve(settings) : exit_usage;
}
