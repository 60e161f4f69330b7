#include "cyclamenpost/operator/operator_cli.hpp"

#include <fstream>
#include <sstream>

#include <tclap/CmdLine.h>

#include "cyclamenpost/configuration/fleet_config.hpp"
#include "cyclamenpost/core/address.hpp"
#include "cyclamenpost/transport/http.hpp"
#include "operator_cli_detail.hpp"

namespace cyclamenpost {

namespace {

using detail::cli_request;
using nlohmann::json;

struct streams {
    std::ostream& out;
    std::ostream& err;
};

constexpr std::string_view usage_text = "check FILE\n"
                                        "diff OLD_FILE NEW_FILE\n"
                                        "status --admin IP:PORT --token-file FILE\n"
                                        "explain --admin IP:PORT --token-file FILE --chat ID "
                                        "--organisation NAME --model NAME\n"
                                        "All commands take --json.\n";

auto usage_error(std::string message) -> leaf::error_id
{
    return fail(error_id::usage, step::administer, "", std::move(message));
}

auto parse_arguments(std::vector<std::string> arguments) -> result<cli_request>
{
    auto request = cli_request{};
    try {
        auto line = TCLAP::CmdLine("Checks operator texts and asks instances. Commands: check, "
                                   "diff, status, explain. Exit status: 0 nothing is wrong, 1 a "
                                   "problem was found, 2 wrong usage, 3 the instance cannot be "
                                   "reached.",
                                   ' ', CYCLAMENPOST_VERSION);
        line.setExceptionHandling(false);
        using text = TCLAP::ValueArg<std::string>;
        auto admin = text("", "admin", "Administration API.", false, "", "IP:PORT", line);
        auto token = text("", "token-file", "File with its token.", false, "", "FILE", line);
        auto chat = text("", "chat", "Chat to explain.", false, "", "ID", line);
        auto organisation = text("", "organisation", "Its organisation.", false, "", "NAME", line);
        auto model = text("", "model", "Its model.", false, "", "NAME", line);
        auto as_json = TCLAP::SwitchArg("", "json", "Print JSON.", line);
        auto words = TCLAP::UnlabeledMultiArg<std::string>("command", "Command and its files.",
                                                           false, "COMMAND [FILE...]", line);
        arguments.insert(arguments.begin(), "cyclamenpost");
        line.parse(arguments);
        request.files = words.getValue();
        request.admin = admin.getValue();
        request.token_file = token.getValue();
        request.chat = chat.getValue();
        request.organisation = organisation.getValue();
        request.model = model.getValue();
        request.json = as_json.getValue();
    }
    catch (const TCLAP::ExitException&) {
        request.help_shown = true;
    }
    catch (const TCLAP::ArgException& problem) {
        return usage_error(problem.argId() + ": " + problem.error());
    }
    if (!request.files.empty()) {
        request.command = request.files.front();
        request.files.erase(request.files.begin());
    }
    return request;
}

auto read_file(const std::string& path) -> result<std::string>
{
    auto file = std::ifstream{path, std::ios::binary};
    auto content = std::ostringstream{};
    if (!file || !(content << file.rdbuf())) {
        return fail(error_id::setting_file_unreadable, step::administer, path,
                    "the file cannot be read or is empty");
    }
    return content.str();
}

auto problem_json(const text_problem& problem) -> json
{
    return {{"id", static_cast<int>(problem.id)},
            {"line", problem.line},
            {"column", problem.column},
            {"message", problem.message},
            {"hint", problem.hint}};
}

auto print_json(const json& document, std::ostream& out) -> void
{
    out << document.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

auto print_problems(const std::string& file, const std::vector<text_problem>& problems,
                    std::ostream& out) -> void
{
    for (const auto& problem : problems) {
        out << file << ": " << describe(problem) << "\n";
    }
}

auto check_file(const cli_request& request, streams to) -> result<cli_status>
{
    if (request.files.size() != 1) {
        return usage_error("check needs one file");
    }
    const auto& file = request.files[0];
    BOOST_LEAF_AUTO(text, read_file(file));
    const auto problems = check_fleet_config(text);
    if (request.json) {
        auto list = json::array();
        for (const auto& problem : problems) {
            list.push_back(problem_json(problem));
        }
        print_json({{"file", file}, {"valid", problems.empty()}, {"problems", list}}, to.out);
    }
    else if (problems.empty()) {
        to.out << file << ": no problem found.\n";
    }
    else {
        print_problems(file, problems, to.out);
    }
    return problems.empty() ? cli_status::ok : cli_status::problem;
}

auto compare_files(const cli_request& request, streams to) -> result<cli_status>
{
    if (request.files.size() != 2) {
        return usage_error("diff needs two files");
    }
    auto configs = std::vector<fleet_config>{};
    for (const auto& file : request.files) {
        BOOST_LEAF_AUTO(text, read_file(file));
        const auto problems = check_fleet_config(text);
        if (!problems.empty()) {
            print_problems(file, problems, to.err);
            return cli_status::problem;
        }
        BOOST_LEAF_AUTO(config, parse_fleet_config(text));
        configs.push_back(std::move(config));
    }
    const auto changes = diff(configs[0], configs[1]);
    if (request.json) {
        print_json({{"changes", changes}}, to.out);
        return cli_status::ok;
    }
    for (const auto& change : changes) {
        to.out << change << "\n";
    }
    if (changes.empty()) {
        to.out << "Nothing changes.\n";
    }
    return cli_status::ok;
}

auto read_token(const std::string& path) -> result<std::string>
{
    BOOST_LEAF_AUTO(content, read_file(path));
    return content.substr(0, content.find_first_of("\r\n"));
}

// asks the administration API; the loop runs until the answer or the time limit
auto ask_instance(const cli_request& request, const std::string& path) -> result<json>
{
    constexpr auto time_limit = std::chrono::seconds{10};
    constexpr auto longest_answer = std::size_t{16U << 20U};
    constexpr auto status_ok = 200;
    if (!is_ip_and_port(request.admin)) {
        return usage_error("--admin \"" + request.admin +
                           "\" is not allowed; allowed: an IP number and port");
    }
    BOOST_LEAF_AUTO(token, read_token(request.token_file));
    auto call = client_request{};
    call.address = request.admin;
    call.path = path;
    call.headers = {{"authorization", "Bearer " + token}};
    auto loop = event_loop{};
    auto answer = client_response{};
    auto ended = false;
    fetch(loop, std::move(call), longest_answer, [&](client_response whole) {
        answer = std::move(whole);
        ended = true;
    });
    if (!loop.run_until([&] { return ended; }, time_limit) || answer.end != call_end::complete) {
        return fail(error_id::connect_failed, step::administer, request.admin,
                    "the administration API does not answer");
    }
    auto document = json::parse(answer.body, nullptr, false);
    if (answer.status != status_ok) {
        return fail(error_id::admin_refused, step::administer, request.admin,
                    "the answer has status " + std::to_string(answer.status) + ": " + answer.body);
    }
    if (!document.is_object()) {
        return fail(error_id::admin_refused, step::administer, request.admin,
                    "the answer is no JSON object");
    }
    return document;
}

auto show_status(const cli_request& request, streams to) -> result<cli_status>
{
    BOOST_LEAF_AUTO(status, ask_instance(request, "/admin/v1/status"));
    const auto problems = detail::problems_in_status(status);
    if (request.json) {
        print_json(status, to.out);
    }
    else {
        detail::print_status(status, to.out);
    }
    for (const auto& problem : problems) {
        to.err << "Problem: " << problem << "\n";
    }
    return problems.empty() ? cli_status::ok : cli_status::problem;
}

auto explain(const cli_request& request, streams to) -> result<cli_status>
{
    if (request.chat.empty() || request.organisation.empty() || request.model.empty()) {
        return usage_error("explain needs --chat, --organisation and --model");
    }
    const auto path = "/admin/v1/explain?chat=" + percent_encode(request.chat) +
                      "&organisation=" + percent_encode(request.organisation) +
                      "&model=" + percent_encode(request.model);
    BOOST_LEAF_AUTO(explanation, ask_instance(request, path));
    if (request.json) {
        print_json(explanation, to.out);
    }
    else {
        detail::print_explanation(explanation, to.out);
    }
    const auto choice = explanation.find("choice");
    const auto refused = choice != explanation.end() && *choice == "";
    return refused ? cli_status::problem : cli_status::ok;
}

auto run(const std::vector<std::string>& arguments, streams to) -> result<cli_status>
{
    BOOST_LEAF_AUTO(request, parse_arguments(arguments));
    if (request.help_shown) {
        return cli_status::ok;
    }
    if (request.command == "check") {
        return check_file(request, to);
    }
    if (request.command == "diff") {
        return compare_files(request, to);
    }
    if (request.command == "status" || request.command == "explain") {
        if (request.admin.empty() || request.token_file.empty()) {
            return usage_error(request.command + " needs --admin and --token-file");
        }
        return request.command == "status" ? show_status(request, to) : explain(request, to);
    }
    const auto near = nearest_name(request.command, {"check", "diff", "status", "explain"});
    return usage_error("unknown command \"" + request.command + "\"" +
                       (near.empty() ? "" : "; did you mean " + near + "?"));
}

auto status_of(const error& failure) -> cli_status
{
    switch (failure.id) {
    case error_id::usage:
    case error_id::setting_file_unreadable:
        return cli_status::usage;
    case error_id::connect_failed:
        return cli_status::unreachable;
    default:
        return cli_status::problem;
    }
}

} // namespace

auto run_operator_command(const std::vector<std::string>& arguments, std::ostream& out,
                          std::ostream& err) -> cli_status
{
    auto status = cli_status::ok;
    const auto attempt = [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(status, run(arguments, {out, err}));
        return {};
    };
    try_or(attempt, [&](const error& failure) {
        status = status_of(failure);
        err << describe(failure) << "\n";
        if (failure.id == error_id::usage) {
            err << usage_text;
        }
    });
    return status;
}

} // namespace cyclamenpost
