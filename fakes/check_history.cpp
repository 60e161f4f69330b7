#include "history_checker.hpp"

#include <iostream>

#include <tclap/CmdLine.h>

using namespace cyclamenpost;

namespace {

struct settings {
    fakes::check_bounds bounds;
    std::set<std::string> allow_empty;
    std::vector<std::string> files;
};

auto parse(int argc, char** argv) -> settings
{
    auto parsed = settings{};
    auto line =
        TCLAP::CmdLine{"Checks the invariants of a fleet run in its history files", ' ', "0.1"};
    auto multiple = TCLAP::ValueArg<double>{"",
                                            "load-multiple",
                                            "highest load of an engine, as a multiple of the mean",
                                            false,
                                            1.25,
                                            "X",
                                            line};
    auto age = TCLAP::ValueArg<int>{
        "", "mean-age-ms", "greatest age of the mean that a gate may use", false, 5000, "MS", line};
    auto allowed = TCLAP::MultiArg<std::string>{
        "", "allow-empty", "check that passes without any case to judge", false, "CHECK", line};
    auto files =
        TCLAP::UnlabeledMultiArg<std::string>{"files", "history files", true, "FILE", line};
    line.parse(argc, argv);
    parsed.bounds.load_multiple = multiple.getValue();
    parsed.bounds.mean_age = std::chrono::milliseconds{age.getValue()};
    parsed.allow_empty = {allowed.getValue().begin(), allowed.getValue().end()};
    parsed.files = files.getValue();
    return parsed;
}

auto read_all(const std::vector<std::string>& files) -> result<std::vector<history_event>>
{
    auto all = std::vector<history_event>{};
    for (const auto& file : files) {
        BOOST_LEAF_AUTO(events, fakes::read_history(file));
        all.insert(all.end(), events.begin(), events.end());
    }
    return all;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto settings = parse(argc, argv);
    auto failed = false;
    const auto read = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(events, read_all(settings.files));
            for (const auto& outcome : fakes::check_events(std::move(events), settings.bounds)) {
                std::cout << fakes::format_outcome(outcome, settings.allow_empty);
                failed = failed || !fakes::check_passed(outcome, settings.allow_empty);
            }
            return {};
        },
        [](const error& failure) { std::cerr << describe(failure) << "\n"; });
    return read && !failed ? 0 : 1;
}
