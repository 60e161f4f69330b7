#include "fake_application.hpp"

#include <iostream>

#include <tclap/CmdLine.h>

using namespace cyclamenpost;

namespace {

auto parse(int argc, char** argv) -> fakes::application_options
{
    auto options = fakes::application_options{};
    auto line =
        TCLAP::CmdLine{"Fake application: answers every request and records its runs", ' ', "0.1"};
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<int>;
    auto id = text{"", "id", "target id", true, "", "ID", line};
    auto zone = text{"", "zone", "availability zone", false, options.zone, "ZONE", line};
    auto address = text{"", "address", "listen address", false, options.address, "IP", line};
    auto port = number{"", "port", "listen port; 0 picks a free one", true, 0, "PORT", line};
    auto delay = number{"", "delay-ms", "time before an answer", false, 0, "MS", line};
    auto close = number{"",
                        "close-every",
                        "close the connection of every Nth run instead of answering; 0 for none",
                        false,
                        0,
                        "N",
                        line};
    auto history = text{"", "history-file", "history file", false, "", "FILE", line};
    auto crash_on = text{
        "", "crash-on", "exit when a request body contains this text", false, "", "TEXT", line};
    line.parse(argc, argv);
    options.id = id.getValue();
    options.zone = zone.getValue();
    options.address = address.getValue();
    options.port = port.getValue();
    options.delay = std::chrono::milliseconds{delay.getValue()};
    options.close_every = static_cast<std::size_t>(close.getValue());
    options.history_file = history.getValue();
    options.crash_on = crash_on.getValue();
    return options;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto loop = event_loop{};
    auto application = fakes::fake_application{};
    const auto started = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_CHECK(loop.watch_signals([&](int) { loop.stop(); }));
            return application.start(loop, parse(argc, argv));
        },
        [](const error& failure) { std::cerr << describe(failure) << "\n"; });
    if (!started) {
        return 1;
    }
    loop.run();
    return 0;
}
