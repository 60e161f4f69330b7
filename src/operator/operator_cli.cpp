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

struct output_streams {
    std::ostream& out;
    std::ostream& err;
};

constexpr std::string_view usage_text = "check FILE\n"
                                        "diff OLD_FILE NEW_FILE\n"
                                        "status --admin IP:PORT --token-file FILE\n"
                                        "explain --admin IP:PORT --token-file FILE --chat ID "
                                        "--organisation NAME --model NAME\n"
                                        "All commands accept --json.\n";

auto usage_error(std::string message) -> leaf::error_id
{
    return fail(error_id::usage, step::administer, "", std::move(message));
}

auto parse_arguments(std::vector<std::string> arguments) -> result<cli_request>
{
    auto request = cli_request{};
    try {
        auto line =
            TCLAP::CmdLine("Checks fleet configuration files and queries running instances. "
                           "Commands: check FILE reports errors in a configuration file; "
                           "diff OLD_FILE NEW_FILE lists the changes between two "
                           "configuration files; status shows the state of an instance; "
                           "explain shows which target an instance would choose for a "
                           "chat. Exit status: 0 no problem was found, 1 a problem was "
                           "found, 2 the command line is invalid or a file cannot be "
                           "read, 3 the instance cannot be reached.",
                           ' ', CYCLAMENPOST_VERSION);
        line.setExceptionHandling(false);
        using text = TCLAP::ValueArg<std::string>;
        auto admin =
            text("", "admin", "Address of the administration API of the instance to query.", false,
                 "", "IP:PORT", line);
        auto token =
            text("", "token-file", "File that contains the access token of the administration API.",
                 false, "", "FILE", line);
        auto chat =
            text("", "chat", "Chat whose choice of target is explained.", false, "", "ID", line);
        auto organisation = text("", "organisation", "Organisation that the chat belongs to.",
                                 false, "", "NAME", line);
        auto model = text("", "model", "Model that the chat uses.", false, "", "NAME", line);
        auto as_json = TCLAP::SwitchArg("", "json", "Print results as JSON.", line);
        auto positional = TCLAP::UnlabeledMultiArg<std::string>(
            "command", "Command (check, diff, status or explain), followed by its files.", false,
            "COMMAND [FILE...]", line);
        arguments.insert(arguments.begin(), "cyclamenpost");
        line.parse(arguments);
        request.files = positional.getValue();
        request.admin_address = admin.getValue();
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

auto check_file(const cli_request& request, output_streams output) -> result<cli_status>
{
    if (request.files.size() != 1) {
        return usage_error("check requires exactly one configuration file");
    }
    const auto& file = request.files[0];
    BOOST_LEAF_AUTO(text, read_file(file));
    const auto problems = check_fleet_config(text);
    if (request.json) {
        auto list = json::array();
        for (const auto& problem : problems) {
            list.push_back(problem_json(problem));
        }
        print_json({{"file", file}, {"valid", problems.empty()}, {"problems", list}}, output.out);
    }
    else if (problems.empty()) {
        output.out << file << ": no problems found.\n";
    }
    else {
        print_problems(file, problems, output.out);
    }
    return problems.empty() ? cli_status::ok : cli_status::problem;
}

auto compare_files(const cli_request& request, output_streams output) -> result<cli_status>
{
    if (request.files.size() != 2) {
        return usage_error("diff requires exactly two configuration files");
    }
    auto configs = std::vector<fleet_config>{};
    for (const auto& file : request.files) {
        BOOST_LEAF_AUTO(text, read_file(file));
        const auto problems = check_fleet_config(text);
        if (!problems.empty()) {
            print_problems(file, problems, output.err);
            return cli_status::problem;
        }
        BOOST_LEAF_AUTO(config, parse_fleet_config(text));
        configs.push_back(std::move(config));
    }
    const auto changes = diff(configs[0], configs[1]);
    if (request.json) {
        print_json({{"changes", changes}}, output.out);
        return cli_status::ok;
    }
    for (const auto& change : changes) {
        output.out << change << "\n";
    }
    if (changes.empty()) {
        output.out << "Nothing changes.\n";
    }
    return cli_status::ok;
}

auto read_token(const std::string& path) -> result<std::string>
{
    BOOST_LEAF_AUTO(content, read_file(path));
    return content.substr(0, content.find_first_of("\r\n"));
}

// Sends a GET request to the administration API and runs an event loop until the response or the
// time limit.
auto query_instance(const cli_request& request, const std::string& path) -> result<json>
{
    constexpr auto time_limit = std::chrono::seconds{10};
    constexpr auto max_response_bytes = std::size_t{16U << 20U};
    constexpr auto status_ok = 200;
    if (!is_ip_and_port(request.admin_address)) {
        return usage_error("--admin \"" + request.admin_address +
                           "\" is invalid; expected an IPv4 address and a port, as IP:PORT");
    }
    BOOST_LEAF_AUTO(token, read_token(request.token_file));
    auto call = client_request{};
    call.address = request.admin_address;
    call.path = path;
    call.headers = {{"authorization", "Bearer " + token}};
    auto loop = event_loop{};
    auto response = client_response{};
    auto finished = false;
    fetch(loop, std::move(call), max_response_bytes, [&](client_response received) {
        response = std::move(received);
        finished = true;
    });
    if (!loop.run_until([&] { return finished; }, time_limit) ||
        response.end != call_end::complete) {
        return fail(error_id::connect_failed, step::administer, request.admin_address,
                    "the administration API did not return a complete response");
    }
    auto document = json::parse(response.body, nullptr, false);
    if (response.status != status_ok) {
        return fail(error_id::admin_refused, step::administer, request.admin_address,
                    "the administration API responded with status " +
                        std::to_string(response.status) + ": " + response.body);
    }
    if (!document.is_object()) {
        return fail(error_id::admin_refused, step::administer, request.admin_address,
                    "the response of the administration API is not a JSON object");
    }
    return document;
}

auto show_status(const cli_request& request, output_streams output) -> result<cli_status>
{
    BOOST_LEAF_AUTO(status, query_instance(request, "/admin/v1/status"));
    const auto problems = detail::problems_in_status(status);
    if (request.json) {
        print_json(status, output.out);
    }
    else {
        detail::print_status(status, output.out);
    }
    for (const auto& problem : problems) {
        output.err << "Problem: " << problem << "\n";
    }
    return problems.empty() ? cli_status::ok : cli_status::problem;
}

auto explain_choice(const cli_request& request, output_streams output) -> result<cli_status>
{
    if (request.chat.empty() || request.organisation.empty() || request.model.empty()) {
        return usage_error("explain requires --chat, --organisation and --model");
    }
    const auto path = "/admin/v1/explain?chat=" + percent_encode(request.chat) +
                      "&organisation=" + percent_encode(request.organisation) +
                      "&model=" + percent_encode(request.model);
    BOOST_LEAF_AUTO(explanation, query_instance(request, path));
    if (request.json) {
        print_json(explanation, output.out);
    }
    else {
        detail::print_explanation(explanation, output.out);
    }
    const auto choice = explanation.find("choice");
    const auto has_no_target = choice != explanation.end() && *choice == "";
    return has_no_target ? cli_status::problem : cli_status::ok;
}

auto run(const std::vector<std::string>& arguments, output_streams output) -> result<cli_status>
{
    BOOST_LEAF_AUTO(request, parse_arguments(arguments));
    if (request.help_shown) {
        return cli_status::ok;
    }
    if (request.command == "check") {
        return check_file(request, output);
    }
    if (request.command == "diff") {
        return compare_files(request, output);
    }
    if (request.command == "status" || request.command == "explain") {
        if (request.admin_address.empty() || request.token_file.empty()) {
            return usage_error(request.command + " requires --admin and --token-file");
        }
        return request.command == "status" ? show_status(request, output)
                                           : explain_choice(request, output);
    }
    const auto suggestion = nearest_name(request.command, {"check", "diff", "status", "explain"});
    return usage_error("unknown command \"" + request.command + "\"" +
                       (suggestion.empty() ? "" : "; did you mean " + suggestion + "?"));
}

auto exit_status_of(const error& failure) -> cli_status
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
        status = exit_status_of(failure);
        err << describe(failure) << "\n";
        if (failure.id == error_id::usage) {
            err << usage_text;
        }
    });
    return status;
}

} // namespace cyclamenpost
