#include "fake_engine.hpp"

#include <iostream>

#include <tclap/CmdLine.h>

using namespace cyclamenpost;

namespace {

auto milliseconds(double count) -> duration
{
    return duration{static_cast<std::int64_t>(count * 1000)};
}

auto parse(int argc, char** argv) -> fakes::engine_options
{
    auto options = fakes::engine_options{};
    auto line =
        TCLAP::CmdLine{"Fake model engine: answers chats with deterministic tokens", ' ', "0.1"};
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<double>;
    auto id = text{"", "id", "target id", true, "", "ID", line};
    auto zone = text{"", "zone", "availability zone", false, options.zone, "ZONE", line};
    auto address = text{"", "address", "listen address", false, options.address, "IP", line};
    auto port =
        TCLAP::ValueArg<int>{"", "port", "listen port; 0 picks a free one", true, 0, "PORT", line};
    auto incarnation =
        text{"", "incarnation", "incarnation in hexadecimal; 0 picks one", false, "0", "HEX", line};
    auto models = TCLAP::MultiArg<std::string>{"", "model", "model served", false, "MODEL", line};
    auto slots = number{"", "slots", "requests decoded at once", false, 16, "N", line};
    auto cold_limit = number{
        "", "cold-limit", "requests handled while cold; one more exits", false, 1, "N", line};
    auto cold = number{"", "cold-seconds", "duration of a cold start", false, 1.5, "S", line};
    auto speed =
        number{"", "tokens-per-second", "decoding speed of each request", false, 100, "N", line};
    auto cache =
        number{"", "cache-entries", "capacity of the prefix cache", false, 1000, "N", line};
    auto load_lag = number{"", "load-lag-ms", "delay of load reports", false, 200, "MS", line};
    auto cache_lag = number{"", "cache-lag-ms", "delay of cache events", false, 1000, "MS", line};
    auto gap =
        number{"", "cache-gap", "drop every Nth cache event; 0 for none", false, 7, "N", line};
    auto unfenced =
        TCLAP::SwitchArg{"", "ignore-fencing", "apply orders with an old fence number", line};
    auto history = text{"", "history-file", "history file", false, "", "FILE", line};
    auto crash_on = text{
        "", "crash-on", "exit when a request body contains this text", false, "", "TEXT", line};
    line.parse(argc, argv);
    options.id = id.getValue();
    options.zone = zone.getValue();
    options.address = address.getValue();
    options.port = port.getValue();
    options.incarnation = from_hex(incarnation.getValue()).value_or(0);
    if (!models.getValue().empty()) {
        options.models = models.getValue();
    }
    options.slots = static_cast<std::size_t>(slots.getValue());
    options.max_cold_requests = static_cast<std::size_t>(cold_limit.getValue());
    options.cold_start_time = milliseconds(cold.getValue() * 1000);
    options.tokens_per_second = speed.getValue();
    options.cache_entries = static_cast<std::size_t>(cache.getValue());
    options.load_report_delay = milliseconds(load_lag.getValue());
    options.cache_event_delay = milliseconds(cache_lag.getValue());
    options.drop_cache_event_every = static_cast<std::uint64_t>(gap.getValue());
    options.checks_fencing = !unfenced.getValue();
    options.history_file = history.getValue();
    options.crash_on = crash_on.getValue();
    return options;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto loop = event_loop{};
    auto engine = fakes::fake_engine{};
    const auto started = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_CHECK(loop.watch_signals([&](int) { loop.stop(); }));
            return engine.start(loop, parse(argc, argv));
        },
        [](const error& failure) { std::cerr << describe(failure) << "\n"; });
    if (!started) {
        return 1;
    }
    loop.run();
    return 0;
}
