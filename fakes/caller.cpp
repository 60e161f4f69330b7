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
    auto line = TCLAP::CmdLine{"Caller of the test fleet", ' ', "0.1"};
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<std::size_t>;
    using texts = TCLAP::MultiArg<std::string>;
    auto name = text{"", "name", "caller name", false, options.name, "NAME", line};
    auto entries = texts{"", "entry", "known entry instance", true, "[ID=]IP:PORT", line};
    auto chats = number{"", "chats", "chats", false, options.chats, "N", line};
    auto turns = number{"", "turns", "turns of a chat", false, options.turns, "N", line};
    auto bookings = number{"", "bookings", "bookings", false, options.bookings, "N", line};
    auto parallel = number{"", "parallel", "jobs at a time", false, options.parallel, "N", line};
    auto organisations = texts{"", "organisation", "organisation", false, "NAME", line};
    auto model = text{"", "model", "model", false, options.model, "NAME", line};
    auto service = text{"", "service", "booking service", false, options.service, "NAME", line};
    auto tokens =
        number{"", "max-tokens", "tokens of an answer", false, options.max_tokens, "N", line};
    auto prompt =
        number{"", "prompt-bytes", "size of a turn", false, options.prompt_bytes, "N", line};
    auto think = number{"", "think-ms", "pause between turns", false, 0, "MS", line};
    auto job = number{"", "job-seconds", "longest time of a call", false, 30, "S", line};
    auto marker = text{"", "marker", "text in every chat", false, "", "TEXT", line};
    auto seed = number{"", "seed", "0 for a random one", false, 0, "N", line};
    auto history = text{"", "history-file", "history file", false, "", "FILE", line};
    auto allowed =
        texts{"", "allow", "result that is no failure", false, "not_run|unknown|cut", line};
    line.parse(argc, argv);
    options.name = name.getValue();
    for (const auto& entry : entries.getValue()) {
        options.entries.push_back(parse_entry(entry));
    }
    options.chats = chats.getValue();
    options.turns = turns.getValue();
    options.bookings = bookings.getValue();
    options.parallel = parallel.getValue();
    if (!organisations.getValue().empty()) {
        options.organisations = organisations.getValue();
    }
    options.model = model.getValue();
    options.service = service.getValue();
    options.max_tokens = tokens.getValue();
    options.prompt_bytes = prompt.getValue();
    options.think_time = std::chrono::milliseconds{think.getValue()};
    options.job_time = std::chrono::seconds{job.getValue()};
    options.marker = marker.getValue();
    options.seed = seed.getValue() != 0 ? seed.getValue() : std::random_device{}();
    options.history_file = history.getValue();
    parsed.allowed = allowed.getValue();
    return parsed;
}

/// Whether every result other than a right answer was allowed. A wrong answer never is.
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
