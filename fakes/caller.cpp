#include "caller.hpp"

#include <iostream>
#include <random>

#include <tclap/CmdLine.h>

using namespace cyclamenpost;

namespace {

struct settings {
    fakes::caller_options options;
    std::vector<std::string> allowed;
};

auto parse_entry(const std::string& text) -> fakes::entry_address
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return {text, text};
    }
    return {text.substr(0, equals), text.substr(equals + 1)};
}

auto parse(int argc, char** argv) -> settings
{
    auto parsed = settings{};
    auto& options = parsed.options;
    auto line = TCLAP::CmdLine{
        "Test caller: sends chats and bookings to a fleet and verifies the answers", ' ', "0.1"};
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<std::size_t>;
    using texts = TCLAP::MultiArg<std::string>;
    auto name = text{"",     "name", "caller name, part of every request id", false, options.name,
                     "NAME", line};
    auto entries = texts{"", "entry", "entry instance to ask first", true, "[ID=]IP:PORT", line};
    auto chats = number{"", "chats", "number of chats", false, options.chats, "N", line};
    auto turns = number{"", "turns", "turns per chat", false, options.turns, "N", line};
    auto bookings =
        number{"", "bookings", "number of bookings", false, options.bookings, "N", line};
    auto jobs = number{
        "",  "parallel", "chats and bookings in progress at once", false, options.concurrent_jobs,
        "N", line};
    auto organisations = texts{"", "organisation", "organisation to send as", false, "NAME", line};
    auto model = text{"", "model", "model of the chats", false, options.model, "NAME", line};
    auto service =
        text{"", "service", "service of the bookings", false, options.service, "NAME", line};
    auto tokens =
        number{"", "max-tokens", "tokens per answer", false, options.max_tokens, "N", line};
    auto prompt = number{
        "", "prompt-bytes", "padding per turn in bytes", false, options.prompt_bytes, "N", line};
    auto think = number{"", "think-ms", "pause between turns", false, 0, "MS", line};
    auto timeout =
        number{"", "job-seconds", "time limit per call, retries included", false, 30, "S", line};
    auto marker = text{"", "marker", "text added to every prompt", false, "", "TEXT", line};
    auto seed = number{"", "seed", "random seed; 0 picks one", false, 0, "N", line};
    auto history = text{"", "history-file", "history file", false, "", "FILE", line};
    auto allowed =
        texts{"", "allow", "result that does not fail the run", false, "not_run|unknown|cut", line};
    line.parse(argc, argv);
    options.name = name.getValue();
    for (const auto& entry : entries.getValue()) {
        options.entries.push_back(parse_entry(entry));
    }
    options.chats = chats.getValue();
    options.turns = turns.getValue();
    options.bookings = bookings.getValue();
    options.concurrent_jobs = jobs.getValue();
    if (!organisations.getValue().empty()) {
        options.organisations = organisations.getValue();
    }
    options.model = model.getValue();
    options.service = service.getValue();
    options.max_tokens = tokens.getValue();
    options.prompt_bytes = prompt.getValue();
    options.think_time = std::chrono::milliseconds{think.getValue()};
    options.call_timeout = std::chrono::seconds{timeout.getValue()};
    options.prompt_marker = marker.getValue();
    options.seed = seed.getValue() != 0 ? seed.getValue() : std::random_device{}();
    options.history_file = history.getValue();
    parsed.allowed = allowed.getValue();
    return parsed;
}

/// Whether at least one call was answered correctly and every other result is allowed. A wrong
/// answer never is.
auto passed(const fakes::caller_report& report, const std::vector<std::string>& allowed) -> bool
{
    for (const auto& row : fakes::call_result_names) {
        const auto tolerated = row.value == fakes::call_result::answered ||
                               (row.value != fakes::call_result::wrong &&
                                std::ranges::find(allowed, std::string(row.name)) != allowed.end());
        if (!tolerated && report.count(row.value) > 0) {
            return false;
        }
    }
    return report.count(fakes::call_result::answered) > 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto loop = event_loop{};
    auto caller = fakes::caller{};
    const auto settings = parse(argc, argv);
    const auto started =
        try_or([&] { return caller.start(loop, settings.options, [&] { loop.stop(); }); },
               [](const error& failure) { std::cerr << describe(failure) << "\n"; });
    if (!started) {
        return 1;
    }
    loop.run();
    std::cout << "seed " << settings.options.seed << "\n" << format_report(caller.report());
    return passed(caller.report(), settings.allowed) ? 0 : 1;
}
