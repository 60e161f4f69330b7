#include <csignal>
#include <iostream>

#include "cyclamenpost/core/build_info.hpp"
#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/relay/router.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto usage_error_status = 2;

auto serve(const settings& startup_settings) -> int
{
    auto loop = event_loop{startup_settings.max_connections};
    auto exit_status = 0;
    auto instance = router{loop, startup_settings, [&](int status) {
                               exit_status = status;
                               loop.stop();
                           }};
    const auto signals_watched = try_or(
        [&] {
            return loop.watch_signals([&](int signal) {
                // SIGHUP is ignored: settings come from flags and the environment, which a running
                // process cannot reload
                if (signal != SIGHUP) {
                    instance.begin_shutdown();
                }
            });
        },
        [](const error& failure) { log_error("start", failure); });
    if (!signals_watched) {
        return 1;
    }
    // watch_signals is called first, so that threads started later inherit its signal mask
    start_logging(startup_settings.level);
    log_event(log_level::info, "start",
              {{"instance", startup_settings.instance},
               {"zone", startup_settings.zone},
               {"version", CYCLAMENPOST_VERSION},
               {"build", std::string{build_digest()}},
               {"listen", startup_settings.listen_address + ":" +
                              std::to_string(startup_settings.listen_port)}});
    constexpr auto log_flush_period = std::chrono::milliseconds{100};
    const auto flush_timer = loop.call_every(log_flush_period, flush_log);
    instance.start();
    loop.run();
    flush_log();
    return exit_status;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto startup_settings = settings{};
    const auto valid = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(startup_settings, parse_settings(argc, argv, process_environment()));
            return {};
        },
        [](const error& failure) { std::cerr << describe(failure) << '\n'; });
    if (!valid) {
        return usage_error_status;
    }
    exit_process(startup_settings.help_shown ? 0 : serve(startup_settings));
}
