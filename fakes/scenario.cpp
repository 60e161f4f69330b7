#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <lua.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cyclamenpost/core/history.hpp"
#include "cyclamenpost/transport/http.hpp"
#include "history_checker.hpp"

using namespace cyclamenpost;
using namespace std::chrono_literals;

namespace {

namespace fs = std::filesystem;

/// A process that the scenario has started.
struct child {
    std::vector<std::string> command;
    pid_t pid = 0;
    std::string address;
    std::string zone;
};

/// The fleet of one scenario: its processes, the documents that the platform publishes, and the
/// history.
struct scenario {
    event_loop loop;
    fs::path bin_dir;
    fs::path work_dir;
    std::map<std::string, child> children;
    std::vector<std::string> instance_names;
    std::string platform;
    std::string targets_text;
    /// Entries of the instance list as JSON; those of targets by target id.
    std::string listed_instances;
    std::map<std::string, std::string> listed_targets;
    std::vector<std::string> zones_out;
    std::uint64_t list_version = 1;
    history_writer history;
    std::vector<pid_t> callers;
    int started_callers = 0;
    int reported_callers = 0;
};

/// A step of a scenario failed. Reported as an error of the Lua script.
struct step_failure : std::runtime_error {
    using std::runtime_error::runtime_error;
};

auto free_port() -> int
{
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto size = socklen_t{sizeof address};
    const auto bind_status =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    const auto name_status = getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    close(descriptor);
    if (bind_status != 0 || name_status != 0) {
        throw step_failure("no free port");
    }
    return ntohs(address.sin_port);
}

auto loopback(int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

auto launch(const scenario& run, const std::string& name, const std::vector<std::string>& command)
    -> pid_t
{
    const auto log = (run.work_dir / (name + ".log")).string();
    const auto pid = fork();
    if (pid != 0) {
        return pid;
    }
    const auto output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    auto arguments = std::vector<char*>{};
    for (const auto& argument : command) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

auto record(scenario& run, const std::string& event, const std::string& name) -> void
{
    auto entry = history_event{};
    entry.event = event;
    const auto found = run.children.find(name);
    const auto is_target = name.starts_with("engine") || name.starts_with("application");
    entry.instance = is_target ? "" : name;
    entry.target = is_target ? name : "";
    entry.zone = found == run.children.end() ? name : found->second.zone;
    run.history.write(std::move(entry));
}

auto call(scenario& run, client_request request) -> client_response
{
    auto answer = std::optional<client_response>{};
    fetch(run.loop, std::move(request), 1U << 22U,
          [&](client_response whole) { answer = std::move(whole); });
    run.loop.run_until([&] { return answer.has_value(); }, 20s);
    return answer.value_or(client_response{});
}

auto post(scenario& run, const std::string& address, const std::string& path, std::string body)
    -> void
{
    auto request = client_request{};
    request.address = address;
    request.method = "POST";
    request.path = path;
    request.body = std::move(body);
    const auto answer = call(run, std::move(request));
    if (answer.status / 100 != 2) {
        throw step_failure(path + " at " + address + " answered " + std::to_string(answer.status));
    }
}

auto await_ready(scenario& run, const std::string& address, const std::string& path) -> void
{
    const auto deadline = monotonic_now() + 30s;
    while (monotonic_now() < deadline) {
        auto request = client_request{};
        request.address = address;
        request.path = path;
        if (call(run, request).status == 200) {
            return;
        }
        run.loop.run_until([] { return false; }, 50ms);
    }
    throw step_failure(address + path + " did not become ready");
}

auto format_operator_text(const scenario& run) -> std::string
{
    auto out = std::string{};
    for (const auto& zone : run.zones_out) {
        out += (out.empty() ? "\"" : ", \"") + zone + "\"";
    }
    return "[fleet]\nname = \"scenario\"\nzones = [\"a\", \"b\", \"c\"]\nzones_out = [" + out +
           "]\n" + "[[service]]\nname = \"drafts\"\nkind = \"model\"\nmodels = [\"quote-7b\"]\n" +
           "[[service]]\nname = \"orders\"\nkind = \"application\"\n" +
           "repeatable_methods = [\"GET\", \"HEAD\"]\n";
}

auto format_instance_list(const scenario& run) -> std::string
{
    auto targets = std::string{};
    for (const auto& [name, entry] : run.listed_targets) {
        targets += (targets.empty() ? "" : ",") + entry;
    }
    return "{\"version\":" + std::to_string(run.list_version) + ",\"instances\":[" +
           run.listed_instances + "],\"targets\":[" + targets + "]}";
}

auto format_target(const std::string& name, const child& target, const std::string& state)
    -> std::string
{
    const auto is_engine = name.starts_with("engine");
    return R"({"id":")" + name + R"(","zone":")" + target.zone + R"(","region":"r","address":")" +
           target.address + R"(","service":")" + (is_engine ? "drafts" : "orders") +
           R"(","kind":")" + (is_engine ? "model" : "application") + R"(","state":")" + state +
           "\"}";
}

auto add_target(scenario& run, const std::string& name, const std::string& zone) -> void
{
    auto& target = run.children[name];
    const auto port = free_port();
    target.zone = zone;
    target.address = loopback(port);
    const auto program = name.starts_with("engine") ? "fake_engine" : "fake_application";
    target.command = {(run.bin_dir / program).string(),
                      "--id",
                      name,
                      "--zone",
                      zone,
                      "--port",
                      std::to_string(port),
                      "--history-file",
                      (run.work_dir / (name + ".jsonl")).string()};
    target.pid = launch(run, name, target.command);
    run.listed_targets[name] = format_target(name, target, "live");
}

auto add_instance(scenario& run, const std::string& name, const std::string& zone) -> void
{
    auto& instance = run.children[name];
    const auto port = free_port();
    const auto bus = loopback(free_port());
    instance.zone = zone;
    instance.address = loopback(port);
    instance.command = {(run.bin_dir / "cyclamenpostd").string(),
                        "--instance",
                        name,
                        "--zone",
                        zone,
                        "--region",
                        "r",
                        "--listen-port",
                        std::to_string(port),
                        "--admin-port",
                        std::to_string(free_port()),
                        "--bus",
                        bus,
                        "--platform",
                        run.platform,
                        "--history-file",
                        (run.work_dir / (name + ".jsonl")).string()};
    run.listed_instances += (run.listed_instances.empty() ? "" : ",");
    run.listed_instances += R"({"id":")" + name + R"(","zone":")" + zone +
                            R"(","region":"r","http":")" + instance.address + R"(","bus":")" + bus +
                            R"(","state":"live"})";
    run.instance_names.push_back(name);
}

auto start_fleet(scenario& run, int instances, int engines, int applications) -> void
{
    constexpr std::string_view zones = "abc";
    const auto zone_of = [&](int number) {
        return std::string(1, zones[static_cast<std::size_t>(number % 3)]);
    };
    const auto port = free_port();
    run.platform = loopback(port);
    run.children["platform"] = {
        {(run.bin_dir / "fake_platform").string(), "--port", std::to_string(port)},
        0,
        run.platform,
        ""};
    auto& platform = run.children["platform"];
    platform.pid = launch(run, "platform", platform.command);
    for (auto i = 0; i < engines; ++i) {
        add_target(run, "engine-" + std::to_string(i + 1), zone_of(i));
    }
    for (auto i = 0; i < applications; ++i) {
        add_target(run, "application-" + std::to_string(i + 1), zone_of(i));
    }
    for (auto i = 0; i < instances; ++i) {
        add_instance(run, "i" + std::to_string(i + 1), zone_of(i));
    }
    await_ready(run, run.platform, "/control/calls");
    post(run, run.platform, "/control/config", format_operator_text(run));
    post(run, run.platform, "/control/instances", format_instance_list(run));
    for (const auto& name : run.instance_names) {
        run.children[name].pid = launch(run, name, run.children[name].command);
    }
    for (const auto& name : run.instance_names) {
        await_ready(run, run.children[name].address, "/readyz");
    }
}

auto child_of(scenario& run, const std::string& name) -> child&
{
    const auto found = run.children.find(name);
    if (found == run.children.end()) {
        throw step_failure("no process is called " + name);
    }
    return found->second;
}

auto end_process(pid_t pid, int signal) -> int
{
    auto status = 0;
    kill(pid, signal);
    waitpid(pid, &status, 0);
    return status;
}

auto stop_fleet(scenario& run) -> void
{
    for (const auto pid : run.callers) {
        end_process(pid, SIGKILL);
    }
    for (auto& [name, process] : run.children) {
        if (process.pid > 0) {
            kill(process.pid, SIGCONT);
            end_process(process.pid, SIGKILL);
        }
    }
}

auto start_callers(scenario& run, int chats, int bookings,
                   const std::vector<std::string>& allowed_results) -> void
{
    const auto name = "caller-" + std::to_string(++run.started_callers);
    auto command = std::vector<std::string>{(run.bin_dir / "caller").string(),
                                            "--name",
                                            name,
                                            "--chats",
                                            std::to_string(chats),
                                            "--bookings",
                                            std::to_string(bookings),
                                            "--turns",
                                            "3",
                                            "--think-ms",
                                            "300",
                                            "--seed",
                                            std::to_string(run.started_callers),
                                            "--history-file",
                                            (run.work_dir / (name + ".jsonl")).string()};
    for (const auto& entry : run.instance_names) {
        command.insert(command.end(), {"--entry", entry + "=" + run.children[entry].address});
    }
    for (const auto& result : allowed_results) {
        command.insert(command.end(), {"--allow", result});
    }
    run.callers.push_back(launch(run, name, command));
}

/// Prints the report of every caller that has been started since the last call.
auto print_reports(scenario& run) -> void
{
    for (; run.reported_callers < run.started_callers; ++run.reported_callers) {
        const auto name = "caller-" + std::to_string(run.reported_callers + 1);
        auto log = std::ifstream{run.work_dir / (name + ".log")};
        for (auto line = std::string{}; std::getline(log, line);) {
            std::cout << "  " << name << " " << line << "\n";
        }
    }
}

auto wait_callers(scenario& run) -> void
{
    auto failed = false;
    for (const auto pid : run.callers) {
        auto status = 0;
        waitpid(pid, &status, 0);
        failed = failed || status != 0;
    }
    run.callers.clear();
    print_reports(run);
    if (failed) {
        throw step_failure(
            "a caller saw a result that the scenario does not allow; see the caller logs");
    }
}

auto check_history(const scenario& run, const std::set<std::string>& required) -> void
{
    auto events = std::vector<history_event>{};
    for (const auto& file : fs::directory_iterator(run.work_dir)) {
        if (file.path().extension() != ".jsonl") {
            continue;
        }
        try_or(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(file_events, fakes::read_history(file.path().string()));
                events.insert(events.end(), file_events.begin(), file_events.end());
                return {};
            },
            [](const error& failure) { throw step_failure(describe(failure)); });
    }
    auto failed = std::string{};
    for (const auto& outcome : fakes::check_events(std::move(events), {})) {
        const auto allow_empty = required.contains(outcome.name)
                                     ? std::set<std::string>{}
                                     : std::set<std::string>{outcome.name};
        std::cout << "  " << fakes::format_outcome(outcome, allow_empty);
        failed += fakes::check_passed(outcome, allow_empty) ? "" : " " + outcome.name;
    }
    if (!failed.empty()) {
        throw step_failure("history checks failed:" + failed);
    }
}

auto scenario_of(lua_State* lua) -> scenario&
{
    return *static_cast<scenario*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

auto text_argument(lua_State* lua, int index) -> std::string
{
    return luaL_checkstring(lua, index);
}

auto text_list(lua_State* lua, int first) -> std::vector<std::string>
{
    auto texts = std::vector<std::string>{};
    for (auto index = first; index <= lua_gettop(lua); ++index) {
        texts.push_back(text_argument(lua, index));
    }
    return texts;
}

using command_function = void (*)(lua_State* lua, scenario& run);

/// Runs a command and turns its failure into a Lua error. `lua_error` leaves the function by
/// longjmp, which runs no destructors, so the exception and the text are released before it.
template <command_function Action>
auto lua_function(lua_State* lua) -> int
{
    auto failure = std::string{};
    try {
        Action(lua, scenario_of(lua));
        return 0;
    }
    catch (const step_failure& failed_step) {
        failure = failed_step.what();
    }
    lua_pushstring(lua, failure.c_str());
    failure = {};
    return lua_error(lua);
}

/// fleet(instances, engines, applications): starts the platform, the targets and the instances
auto command_fleet(lua_State* lua, scenario& run) -> void
{
    start_fleet(run, static_cast<int>(luaL_checkinteger(lua, 1)),
                static_cast<int>(luaL_checkinteger(lua, 2)),
                static_cast<int>(luaL_checkinteger(lua, 3)));
}

/// kill(process): SIGKILL
auto command_kill(lua_State* lua, scenario& run) -> void
{
    const auto name = text_argument(lua, 1);
    auto& process = child_of(run, name);
    record(run, name.starts_with("i") ? "instance_killed" : "target_killed", name);
    end_process(std::exchange(process.pid, 0), SIGKILL);
}

/// start(process): restarts a process that has ended
auto command_start(lua_State* lua, scenario& run) -> void
{
    const auto name = text_argument(lua, 1);
    auto& process = child_of(run, name);
    process.pid = launch(run, name, process.command);
    if (name.starts_with("i")) {
        await_ready(run, process.address, "/readyz");
    }
}

/// pause(process): SIGSTOP
auto command_pause(lua_State* lua, scenario& run) -> void
{
    kill(child_of(run, text_argument(lua, 1)).pid, SIGSTOP);
}

/// resume(process): SIGCONT
auto command_resume(lua_State* lua, scenario& run) -> void
{
    kill(child_of(run, text_argument(lua, 1)).pid, SIGCONT);
}

/// shut_down(process): SIGTERM; fails unless the exit status is 0
auto command_shut_down(lua_State* lua, scenario& run) -> void
{
    const auto name = text_argument(lua, 1);
    auto& process = child_of(run, name);
    record(run, "stop_requested", name);
    const auto status = end_process(std::exchange(process.pid, 0), SIGTERM);
    record(run, "stopped", name);
    if (status != 0) {
        throw step_failure(name + " ended its graceful shutdown with status " +
                           std::to_string(status));
    }
}

/// zone_out(zone): publishes a configuration that takes the zone out
auto command_zone_out(lua_State* lua, scenario& run) -> void
{
    const auto zone = text_argument(lua, 1);
    run.zones_out = {zone};
    post(run, run.platform, "/control/config", format_operator_text(run));
    record(run, "zone_out", zone);
}

/// zone_in(zone): publishes a configuration without zones taken out
auto command_zone_in(lua_State* lua, scenario& run) -> void
{
    const auto zone = text_argument(lua, 1);
    run.zones_out.clear();
    record(run, "zone_in", zone);
    post(run, run.platform, "/control/config", format_operator_text(run));
}

/// leave(target): publishes the target as leaving in the instance list
auto command_leave(lua_State* lua, scenario& run) -> void
{
    const auto name = text_argument(lua, 1);
    run.list_version += 1;
    run.listed_targets[name] = format_target(name, child_of(run, name), "leaving");
    post(run, run.platform, "/control/instances", format_instance_list(run));
    record(run, "target_leaving", name);
}

/// service(mode): sets the mode of the fake platform
auto command_service(lua_State* lua, scenario& run) -> void
{
    post(run, run.platform, "/control/mode", R"({"mode":")" + text_argument(lua, 1) + "\"}");
}

/// target(target, command, body): sends a control request to a target
auto command_target(lua_State* lua, scenario& run) -> void
{
    const auto name = text_argument(lua, 1);
    const auto body = std::string(luaL_optstring(lua, 3, ""));
    post(run, child_of(run, name).address, "/control/" + text_argument(lua, 2), body);
}

/// callers(chats, bookings, result...): starts a caller that allows these results
auto command_callers(lua_State* lua, scenario& run) -> void
{
    start_callers(run, static_cast<int>(luaL_checkinteger(lua, 1)),
                  static_cast<int>(luaL_checkinteger(lua, 2)), text_list(lua, 3));
}

/// wait_callers(): fails when a caller saw a result that it does not allow
auto command_wait_callers(lua_State*, scenario& run) -> void
{
    wait_callers(run);
}

/// pass(seconds): lets time pass
auto command_pass(lua_State* lua, scenario& run) -> void
{
    const auto seconds = luaL_checknumber(lua, 1);
    run.loop.run_until([] { return false; }, duration(static_cast<std::int64_t>(seconds * 1e6)));
}

/// check(name...): checks the history; the named checks must have judged something
auto command_check(lua_State* lua, scenario& run) -> void
{
    const auto names = text_list(lua, 1);
    check_history(run, {names.begin(), names.end()});
}

auto add_command(lua_State* lua, scenario& run, const char* name, lua_CFunction function) -> void
{
    lua_pushlightuserdata(lua, &run);
    lua_pushcclosure(lua, function, 1);
    lua_setglobal(lua, name);
}

auto add_commands(lua_State* lua, scenario& run) -> void
{
    add_command(lua, run, "fleet", lua_function<command_fleet>);
    add_command(lua, run, "kill", lua_function<command_kill>);
    add_command(lua, run, "start", lua_function<command_start>);
    add_command(lua, run, "pause", lua_function<command_pause>);
    add_command(lua, run, "resume", lua_function<command_resume>);
    add_command(lua, run, "shut_down", lua_function<command_shut_down>);
    add_command(lua, run, "zone_out", lua_function<command_zone_out>);
    add_command(lua, run, "zone_in", lua_function<command_zone_in>);
    add_command(lua, run, "leave", lua_function<command_leave>);
    add_command(lua, run, "service", lua_function<command_service>);
    add_command(lua, run, "target", lua_function<command_target>);
    add_command(lua, run, "callers", lua_function<command_callers>);
    add_command(lua, run, "wait_callers", lua_function<command_wait_callers>);
    add_command(lua, run, "pass", lua_function<command_pass>);
    add_command(lua, run, "check", lua_function<command_check>);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 3) {
        std::cerr << "usage: scenario BIN_DIR SCRIPT.lua\n";
        return 2;
    }
    scenario run;
    run.bin_dir = fs::absolute(argv[1]);
    auto directory = (fs::temp_directory_path() / "scenario-XXXXXX").string();
    run.work_dir = mkdtemp(directory.data());
    try_or([&] { return run.history.open((run.work_dir / "scenario.jsonl").string()); },
           [](const error& failure) { std::cerr << describe(failure) << "\n"; });
    auto* lua = luaL_newstate();
    luaL_openlibs(lua);
    add_commands(lua, run);
    const auto failed = luaL_dofile(lua, argv[2]) != LUA_OK;
    stop_fleet(run);
    const auto name = fs::path(argv[2]).stem().string();
    if (failed) {
        std::cout << "FAIL " << name << ": " << lua_tostring(lua, -1)
                  << "\n  logs: " << run.work_dir << "\n";
    }
    else {
        std::cout << "ok   " << name << "\n";
        fs::remove_all(run.work_dir);
    }
    lua_close(lua);
    return failed ? 1 : 0;
}
