#include "target_processes.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cyclamenpost/transport/tcp.hpp"
#include "process_target.hpp"

namespace cyclamenpost::fakes {

namespace {

// processes keep their addresses over restarts, so their ports lie below the ephemeral range, from
// which the kernel could assign them to outgoing connections in between
constexpr auto first_port = 20000;
constexpr auto port_range = 12000;
// ports between the first ones of two soaks that are started one after the other; a small soak
// takes about fifty
constexpr auto ports_apart = 331;
// a share that gives a run of 12 s more than a hundred requests that pause and return
constexpr auto refusals_per_mille = "100";

auto draw_ms(std::mt19937_64& random, unsigned least, unsigned most) -> duration
{
    return std::chrono::milliseconds{least + random() % (most - least)};
}

/// Arguments of a target that depend on its service.
auto service_arguments(const std::string& service, bool refusals) -> std::vector<std::string>
{
    if (refusals) {
        // the size of the deployments in which refused requests ran; work takes 30 to 60 ms
        return {"--slots", "6", "--queue", "24", "--work-ms", "45", "--work-spread", "33"};
    }
    if (service == "app") {
        return {"--slots", "6", "--queue", "24", "--work-ms", "60"};
    }
    return {"--slots", "12", "--queue", "36", "--work-ms", "300"};
}

} // namespace

auto free_address(event_loop& loop) -> result<std::string>
{
    static auto next = static_cast<int>(getpid()) * ports_apart % port_range;
    for (auto tries = 0; tries < port_range; ++tries) {
        next = (next + 1) % port_range;
        auto address = "127.0.0.1:" + std::to_string(first_port + next);
        auto listener = tcp_listener{};
        const auto opened = try_or(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(listener, tcp_listener::open(loop, address, {}));
                return {};
            },
            [](const error&) {});
        if (opened) {
            return address;
        }
    }
    return fail(error_id::listen_failed, step::listen, "127.0.0.1", "no port is free");
}

auto spawn_program(std::vector<std::string> arguments, const std::string& output) -> pid_t
{
    constexpr auto mode = 0644;
    auto pointers = std::vector<char*>{};
    for (auto& argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    auto actions = posix_spawn_file_actions_t{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    auto pid = pid_t{-1};
    if (posix_spawn(&pid, pointers[0], &actions, nullptr, pointers.data(), environ) != 0) {
        pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

target_processes::target_processes(event_loop& loop, fake_store& store, std::string directory,
                                   std::uint64_t seed, bool refusals)
    : loop_(loop),
      store_(store),
      directory_(std::move(directory)),
      next_seed_(seed),
      refusals_(refusals)
{}

target_processes::~target_processes()
{
    for (const auto& target : processes_) {
        if (target.pid > 0) {
            kill(target.pid, SIGKILL);
            waitpid(target.pid, nullptr, 0);
        }
        unlink((directory_ + "/runs-" + target.address).c_str());
        unlink(refusals_path(target).c_str());
    }
}

auto target_processes::add(const std::string& service, const std::string& zone) -> result<void>
{
    auto& target = processes_.emplace_back();
    target.service = service;
    target.zone = zone;
    BOOST_LEAF_ASSIGN(target.address, free_address(loop_));
    target.id = "p-" + std::to_string(next_id_++);
    spawn(target);
    if (processes_.size() % 2 == 0) {
        target.proxy = std::make_unique<fault_proxy>(loop_, target.address);
        BOOST_LEAF_CHECK(target.proxy->listen());
    }
    publish(target);
    return {};
}

auto target_processes::spawn(process& target) -> void
{
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    auto arguments = std::vector<std::string>{(program / "soak_target").string(),
                                              "--id",
                                              target.id,
                                              "--address",
                                              target.address,
                                              "--runs",
                                              directory_ + "/runs-" + target.address,
                                              "--seed",
                                              std::to_string(next_seed_++)};
    if (faults_cleared_) {
        arguments.insert(arguments.end(), {"--faults-per-mille", "0", "--idle-ms", "60000"});
    }
    else if (refusals_) {
        arguments.insert(arguments.end(), {"--refusals", refusals_path(target),
                                           "--refusals-per-mille", refusals_per_mille});
    }
    std::ranges::copy(service_arguments(target.service, refusals_), std::back_inserter(arguments));
    target.pid = spawn_program(std::move(arguments), "soak-targets.log");
    target.paused = false;
}

auto target_processes::refusals_path(const process& target) const -> std::string
{
    return directory_ + "/refusals-" + target.address;
}

auto target_processes::publish(const process& target) -> void
{
    store_.put("servers/" + target.id,
               nlohmann::json{{"backend", target.service},
                              {"address", target.proxy ? target.proxy->address() : target.address},
                              {"zone", target.zone},
                              {"version", "v1"},
                              {"capacity", target.service == "app" || refusals_ ? 6 : 12},
                              {"state", "ready"},
                              {"seq", 1},
                              {"cold_remaining_ms", 0},
                              {"born", 1}}
                   .dump());
}

auto target_processes::end(process& target, duration absence) -> void
{
    if (target.pid > 0) {
        kill(target.pid, SIGKILL);
        waitpid(target.pid, nullptr, 0);
        target.pid = -1;
        target.back_at = monotonic_now() + absence;
    }
}

auto target_processes::end_most(const std::string& service, std::mt19937_64& random) -> std::string
{
    constexpr auto least_share = 6U;
    constexpr auto whole = 10U;
    const auto share = least_share + random() % (whole - least_share + 1);
    const auto absence = draw_ms(random, 300, 2000);
    for (auto& target : processes_) {
        if (target.service == service && random() % whole < share) {
            end(target, absence);
        }
    }
    return "end " + std::to_string(share) + " in 10 targets of " + service;
}

auto target_processes::pause(process& target, duration span) -> void
{
    if (target.pid <= 0 || target.paused) {
        return;
    }
    target.paused = true;
    kill(target.pid, SIGSTOP);
    resume_timers_.push_back(loop_.call_after(span, [&target, pid = target.pid] {
        if (target.pid == pid) {
            kill(pid, SIGCONT);
            target.paused = false;
        }
    }));
}

auto target_processes::harm_link(process& target, std::mt19937_64& random) -> std::string
{
    if (random() % 3 == 0) {
        target.proxy->reset_connections();
        return "reset link of " + target.id;
    }
    const auto mode = link_mode_names[random() % link_mode_names.size()];
    target.proxy->set_mode(mode.value);
    resume_timers_.push_back(loop_.call_after(
        draw_ms(random, 200, 1500), [&target] { target.proxy->set_mode(link_mode::pass); }));
    return "link of " + target.id + " " + std::string{mode.name};
}

auto target_processes::inject_fault(std::mt19937_64& random) -> std::string
{
    constexpr auto faults_per_group_end = 30U;
    auto& target =
        *std::next(processes_.begin(), static_cast<std::ptrdiff_t>(random() % processes_.size()));
    if (random() % faults_per_group_end == 0) {
        return end_most(random() % 2 == 0 ? "app" : "engine", random);
    }
    if (target.proxy && random() % 3 == 0) {
        return harm_link(target, random);
    }
    if (random() % 2 == 0) {
        pause(target, draw_ms(random, 300, 2000));
        return "pause target " + target.id;
    }
    end(target, draw_ms(random, 50, 800));
    return "end target " + target.id;
}

auto target_processes::restart_ended() -> void
{
    const auto now = monotonic_now();
    for (auto& target : processes_) {
        if (target.pid > 0 || now < target.back_at) {
            continue;
        }
        const auto keeps_id = next_seed_ % 3 == 0;
        if (!keeps_id) {
            // the old entry lapses later: for a time two ids have the address
            resume_timers_.push_back(
                loop_.call_after(std::chrono::seconds{3},
                                 [this, key = "servers/" + target.id] { store_.remove(key); }));
            target.id = "p-" + std::to_string(next_id_++);
        }
        spawn(target);
        publish(target);
    }
}

auto target_processes::clear_faults() -> void
{
    faults_cleared_ = true;
    for (auto& target : processes_) {
        end(target, duration::zero());
        if (target.proxy) {
            target.proxy->set_mode(link_mode::pass);
            target.proxy->reset_connections();
        }
    }
    restart_ended();
}

auto target_processes::run_counts() const -> std::map<std::string, int>
{
    auto counts = std::map<std::string, int>{};
    for (const auto& target : processes_) {
        auto file = std::ifstream{directory_ + "/runs-" + target.address};
        for (auto id = std::string{}; std::getline(file, id);) {
            ++counts[id];
        }
    }
    return counts;
}

auto target_processes::refusals() const -> refusal_counts
{
    auto counts = refusal_counts{};
    for (const auto& target : processes_) {
        auto file = std::ifstream{refusals_path(target)};
        for (auto kind = std::string{}, id = std::string{}; file >> kind >> id;) {
            const auto is = [&](refusal_event event) {
                return kind == name_in(refusal_event_names, event) ? 1 : 0;
            };
            counts.refused += is(refusal_event::refused);
            counts.duplicates += 1 - is(refusal_event::refused);
            counts.during_run += is(refusal_event::duplicate_during_run);
            counts.during_other_run += is(refusal_event::duplicate_during_other_run);
        }
    }
    return counts;
}

} // namespace cyclamenpost::fakes
