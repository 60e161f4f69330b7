#include "cyclamenpost/entry/start_steps.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include <unistd.h>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

namespace {

auto milliseconds_to(const start_steps& steps, start_step step) -> std::string
{
    const auto taken = time_to_step(steps, step);
    return taken ? std::to_string(
                       std::chrono::duration_cast<std::chrono::milliseconds>(*taken).count())
                 : std::string{};
}

} // namespace

auto note_step(start_steps& steps, start_step step, time_point now) -> bool
{
    auto& at = steps.done.at(static_cast<std::size_t>(step));
    if (at) {
        return false;
    }
    at = now;
    return true;
}

auto time_to_step(const start_steps& steps, start_step step) -> std::optional<duration>
{
    const auto& at = steps.done.at(static_cast<std::size_t>(step));
    return at ? std::optional<duration>{*at - steps.begun} : std::nullopt;
}

auto process_age() -> duration
{
    // the program's name, in parentheses, may contain spaces; the start time in clock ticks since
    // the boot is the twentieth field after it (proc(5))
    constexpr auto start_field = 20;
    auto file = std::ifstream{"/proc/self/stat"};
    const auto text = std::string{std::istreambuf_iterator<char>{file}, {}};
    const auto name_end = text.rfind(')');
    if (name_end == std::string::npos) {
        return {};
    }
    auto fields = std::istringstream{text.substr(name_end + 1)};
    auto field = std::string{};
    for (auto index = 0; index < start_field; ++index) {
        fields >> field;
    }
    auto now = timespec{};
    if (!fields || ::clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
        return {};
    }
    const auto ticks = std::strtoull(field.c_str(), nullptr, 10);
    const auto since_boot = std::chrono::duration<double>(
        static_cast<double>(ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK)));
    const auto age = std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec} -
                     std::chrono::duration_cast<duration>(since_boot);
    return std::max<duration>(std::chrono::duration_cast<duration>(age), duration::zero());
}

auto log_start(const start_steps& steps) -> void
{
    const auto taken = [&steps](start_step step) { return milliseconds_to(steps, step); };
    log_event(log_level::info, "started",
              {{"listening_ms", taken(start_step::listening)},
               {"first_contact_ms", taken(start_step::first_contact)},
               {"first_listing_ms", taken(start_step::first_listing)},
               {"configuration_ms", taken(start_step::configuration)},
               {"targets_ms", taken(start_step::targets)},
               {"ready_ms", taken(start_step::ready)},
               {"first_sent_ms", taken(start_step::first_sent)},
               {"first_answer_ms", taken(start_step::first_answer)}});
}

auto set_start_gauges(const start_steps& steps, metric_registry& metrics) -> void
{
    for (const auto& [step, name] : start_step_names) {
        if (const auto taken = time_to_step(steps, step)) {
            metrics
                .gauge_of("cyclamenpost_start_seconds",
                          "Time from the start of the process to a step of its start.",
                          {{"step", std::string{name}}})
                .set(std::chrono::duration<double>(*taken).count());
        }
    }
}

} // namespace cyclamenpost
