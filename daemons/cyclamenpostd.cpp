#include <csignal>
#include <iostream>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/relay/router.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto exit_usage = 2;

auto serve(const settings& chosen) -> int
{
    auto loop = event_loop{chosen.max_connections};
    auto status = 0;
    auto instance = router{loop, chosen, [&](int reached) {
                               status = reached;
                               loop.stop();
                           }};
    const auto watching = try_or(
        [&] {
            return loop.watch_signals([&](int signal) {
                // settings come from flags and environment, which a running process keeps
                if (signal != SIGHUP) {
                    instance.begin_shutdown();
                }
            });
        },
        [](const error& failure) { log_error("start", failure); });
    if (!watching) {
        return 1;
    }
    // other threads inherit the signal mask that watch_signals has set
    start_logging(chosen.level);
    log_event(log_level::info, "start",
              {{"instance", chosen.instance},
               {"zone", chosen.zone},
               {"version", CYCLAMENPOST_VERSION},
               {"listen", chosen.listen_address + ":" + std::to_string(chosen.listen_port)}});
    constexpr auto log_flush_period = std::chrono::milliseconds{100};
    const auto flushing = loop.call_every(log_flush_period, flush_log);
    instance.start();
    loop.run();
    flush_log();
    return status;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto chosen = settings{};
    const auto valid = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(chosen, parse_settings(argc, argv, process_environment()));
            return {};
        },
        [](const error& failure) { std::cerr << describe(failure) << '\n'; });
    if (!valid) {
        return exit_usage;
    }
    exit_process(chosen.help_shown ? 0 : serve(chosen));
}
