#include <csignal>
#include <cstdlib>
#include <iostream>

#include <malloc.h>

#include "cyclamenpost/core/build_info.hpp"
#include "cyclamenpost/core/file_watch.hpp"
#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/entry/entry_instance.hpp"
#include "cyclamenpost/entry/entry_options.hpp"
#include "platform_adapter.hpp"
#include "platform_settings.hpp"

using namespace cyclamenpost;

namespace {

constexpr auto exit_usage = 2;
// libwebsockets and log4cplus terminate their lines themselves; buffered lines are written this
// often
constexpr auto log_flush_period = std::chrono::milliseconds{100};

constexpr int large_buffer_bytes = 256 * 1024;
constexpr int kept_heap_bytes = 1024 * 1024;

/// Prints an error before logging has started.
auto print_error(const error& failure) -> void
{
    std::cerr << describe(failure) << '\n';
}

auto read_settings_file(const entry_options& options, entry_settings& settings,
                        void (*on_error)(const error&)) -> bool
{
    return try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(settings, platform::read_settings(options.settings_file));
            const auto host = settings.front_address.substr(0, settings.front_address.rfind(':'));
            if (options.metrics_port > 0) {
                settings.metrics_address = host + ":" + std::to_string(options.metrics_port);
            }
            settings.options = options.traffic;
            return {};
        },
        on_error);
}

auto log_reload_error(const error& failure) -> void
{
    log_error("reload", failure);
}

auto serve(const entry_options& options, const entry_settings& settings) -> int
{
    // a fixed threshold returns large buffers to the system when they are freed; the default one
    // rises with them, and what a crowd of callers has used would stay resident
    mallopt(M_MMAP_THRESHOLD, large_buffer_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
    auto loop = event_loop{settings.max_connections};
    auto status = 0;
    auto instance = entry_instance{loop, platform::make_codec(), settings, [&](int exit_status) {
                                       status = exit_status;
                                       loop.stop();
                                   }};
    const auto reload = [&] {
        auto changed = entry_settings{};
        if (read_settings_file(options, changed, log_reload_error)) {
            instance.reload(std::move(changed));
        }
    };
    // also reloads when the settings file changes without a signal
    auto watch = file_watch{loop, options.settings_file, reload};
    const auto on_signal = [&](int signal) {
        if (signal != SIGHUP) {
            instance.begin_shutdown();
            return;
        }
        watch.acknowledge();
        reload();
    };
    const auto watching = try_or([&] { return loop.watch_signals(on_signal); }, print_error);
    if (!watching) {
        return 1;
    }
    // must follow watch_signals, since logging threads inherit its signal mask
    start_logging(options.level);
    log_event(log_level::info, "start",
              {{"instance", settings.name},
               {"zone", settings.zone},
               {"version", CYCLAMENPOST_VERSION},
               {"build", std::string{build_digest()}},
               {"front", settings.front_address},
               {"peer", settings.peer_address},
               {"metrics", settings.metrics_address},
               {"store", settings.store_address},
               {"fleet_load", switch_text(settings.options.fleet_load)},
               {"even_load", switch_text(settings.options.even_load)},
               {"admission", switch_text(settings.options.admission)},
               {"early_retry", switch_text(settings.options.early_retry)}});
    const auto flushing = loop.call_every(log_flush_period, flush_log);
    instance.start();
    loop.run();
    flush_log();
    return status;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto* named_file = std::getenv(platform::settings_variable);
    auto options = entry_options{};
    options.settings_file = named_file != nullptr ? named_file : "";
    const auto valid = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(options, parse_entry_options(argc, argv, process_environment(),
                                                           std::move(options)));
            return {};
        },
        print_error);
    if (!valid) {
        return exit_usage;
    }
    if (options.help_shown) {
        return 0;
    }
    auto settings = entry_settings{};
    if (!read_settings_file(options, settings, print_error)) {
        return exit_usage;
    }
    exit_process(options.check ? 0 : serve(options, settings));
}
