#include <iostream>

#include <tclap/CmdLine.h>

#include "process_target.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::fakes;

auto main(int argc, char** argv) -> int
{
    auto line = TCLAP::CmdLine{"A target of the soak test in a process of its own", ' ',
                               CYCLAMENPOST_VERSION};
    auto id = TCLAP::ValueArg<std::string>{"", "id", "id of the target", true, "", "ID", line};
    auto address =
        TCLAP::ValueArg<std::string>{"", "address", "listen address", true, "", "IP:PORT", line};
    auto runs = TCLAP::ValueArg<std::string>{
        "",     "runs", "file to which the ids of requests that run are appended", true, "",
        "PATH", line};
    auto seed = TCLAP::ValueArg<std::uint64_t>{"", "seed", "random seed", false, 1, "N", line};
    auto slots =
        TCLAP::ValueArg<std::size_t>{"", "slots", "requests that run at once", false, 6, "N", line};
    auto queue = TCLAP::ValueArg<std::size_t>{
        "", "queue", "requests that wait for a slot", false, 24, "N", line};
    auto work = TCLAP::ValueArg<int>{"", "work-ms", "mean time of a run", false, 60, "MS", line};
    auto connections = TCLAP::ValueArg<std::size_t>{
        "", "max-connections", "connections that are accepted", false, 1200, "N", line};
    auto faults = TCLAP::ValueArg<unsigned>{
        "", "faults-per-mille", "answers that are lost or repeated", false, 40, "N", line};
    auto idle = TCLAP::ValueArg<int>{
        "",   "idle-ms", "time after which connections at rest are forgotten", false, 1000,
        "MS", line};
    auto spread = TCLAP::ValueArg<int>{
        "",        "work-spread", "largest deviation of a run's time from the mean", false, 50,
        "PERCENT", line};
    auto refusals = TCLAP::ValueArg<std::string>{
        "",     "refusals", "file to which refusals despite free slots are appended", false, "",
        "PATH", line};
    auto refusal_share = TCLAP::ValueArg<unsigned>{
        "",  "refusals-per-mille", "ids that are refused once despite free slots", false, 0, "N",
        line};
    line.parse(argc, argv);
    auto options = process_target_options{};
    options.id = id.getValue();
    options.address = address.getValue();
    options.runs_file = runs.getValue();
    options.seed = seed.getValue();
    options.slots = slots.getValue();
    options.max_waiting = queue.getValue();
    options.work = std::chrono::milliseconds{work.getValue()};
    options.max_connections = connections.getValue();
    options.faults_per_mille = faults.getValue();
    options.idle_limit = std::chrono::milliseconds{idle.getValue()};
    options.work_spread_percent = spread.getValue();
    options.refusals_file = refusals.getValue();
    options.refusals_per_mille = refusal_share.getValue();
    auto loop = event_loop{};
    auto target = process_target{loop, options};
    const auto started =
        try_or([&] { return target.start(); },
               [](const error& failure) { std::cerr << describe(failure) << '\n'; });
    if (!started) {
        return 1;
    }
    loop.run();
    return 0;
}
