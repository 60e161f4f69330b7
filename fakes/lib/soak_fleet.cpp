#include "soak_fleet.hpp"

#include <array>
#include <csignal>
#include <fstream>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "sample_configuration.hpp"

namespace cyclamenpost::fakes {

namespace {

constexpr duration pause_time = std::chrono::milliseconds{1500};

// instances keep their addresses over restarts, so they lie below the ports that the kernel hands
// to outgoing connections
constexpr auto first_port = 20000;
constexpr auto port_range = 12000;

/// The next address that can be listened on, from a start that differs between processes.
auto free_address(event_loop& loop) -> result<std::string>
{
    static auto next = static_cast<int>(getpid()) * 37 % port_range;
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

} // namespace

soak_fleet::soak_fleet(event_loop& loop, soak_options options)
    : loop_(loop), options_(std::move(options)), store_(loop)
{
    auto pattern = std::string{"/tmp/cyclamenpost-soak-XXXXXX"};
    folder_ = mkdtemp(pattern.data());
}

soak_fleet::~soak_fleet()
{
    for (const auto& instance : instances_) {
        if (instance.process > 0) {
            kill(instance.process, SIGKILL);
            waitpid(instance.process, nullptr, 0);
        }
        unlink(instance.settings_file.c_str());
    }
    rmdir(folder_.c_str());
}

auto soak_fleet::start() -> result<void>
{
    BOOST_LEAF_CHECK(store_.listen("127.0.0.1:0"));
    publish_configuration();
    for (auto index = 0; index < options_.targets; ++index) {
        const auto zone = index % 2 == 0 ? "a" : "b";
        BOOST_LEAF_CHECK(add_target("app", zone));
        BOOST_LEAF_CHECK(add_target("engine", zone));
    }
    instances_.resize(static_cast<std::size_t>(options_.instances));
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        auto& own = instances_[index];
        own.name = "entry-" + std::to_string(index + 1);
        own.zone = index % 2 == 0 ? "a" : "b";
        for (auto* address : {&own.front, &own.ready, &own.directory, &own.peer}) {
            BOOST_LEAF_ASSIGN(*address, free_address(loop_));
        }
        own.settings_file = folder_ + "/" + own.name + ".toml";
        own.store_link = std::make_unique<fault_proxy>(loop_, store_.address());
        BOOST_LEAF_CHECK(own.store_link->listen());
    }
    for (auto& own : instances_) {
        write_settings(own);
        spawn(own);
    }
    return {};
}

auto soak_fleet::write_settings(const soak_instance& instance) const -> void
{
    auto file = std::ofstream{instance.settings_file};
    file << "node_name = \"" << instance.name << "\"\nzone = \"" << instance.zone
         << "\"\nregion = \"r\"\nseed_nodes = [\"" << instances_[0].peer << "\",\""
         << instances_[1].peer << "\"]\n[listen_addrs]\nfront = \"" << instance.front
         << "\"\nready = \"" << instance.ready << "\"\ncontrol = \"" << instance.peer
         << "\"\ndirectory = \"" << instance.directory
         << "\"\n[limits]\nmax_fds = 1000\n[bounds]\ngrace_s = 8\nttl_max_s = 2\n"
            "retry_budget_ratio = 0.5\nretry_slack = 100\n[provider]\naddress = \""
         << instance.store_link->address() << "\"\n";
}

auto soak_fleet::spawn(soak_instance& instance) -> void
{
    auto arguments = std::array<std::string, 5>{options_.program, "--settings-file",
                                                instance.settings_file, "--metrics-port", "0"};
    auto pointers = std::array<char*, 6>{};
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        pointers[index] = arguments[index].data();
    }
    auto actions = posix_spawn_file_actions_t{};
    posix_spawn_file_actions_init(&actions);
    const auto log = "soak-" + instance.name + ".log";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (posix_spawn(&instance.process, options_.program.c_str(), &actions, nullptr, pointers.data(),
                    environ) != 0) {
        instance.process = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    instance.paused = false;
    instance.stopping = false;
}

auto soak_fleet::add_target(const std::string& service, const std::string& zone) -> result<void>
{
    auto& target = targets_.emplace_back();
    target.service = service;
    target.zone = zone;
    target.server =
        std::make_unique<fake_target>(loop_, "t-" + std::to_string(next_target_++), service, zone);
    BOOST_LEAF_CHECK(target.server->listen("127.0.0.1:0"));
    target.server->set_delay(std::chrono::milliseconds{8});
    target.link = std::make_unique<fault_proxy>(loop_, target.server->address());
    BOOST_LEAF_CHECK(target.link->listen());
    publish_target(target, "ready");
    return {};
}

auto soak_fleet::publish_target(const soak_target& target, const std::string& state) -> void
{
    auto entry = nlohmann::json::parse(target.server->store_entry(state));
    entry["address"] = target.link->address();
    store_.put(target.server->store_key(), entry.dump());
}

auto soak_fleet::publish_configuration() -> void
{
    auto sample = sample_configuration{};
    sample.version = ++version_;
    sample.host = "soak.example";
    sample.api_keys = {key(), "always"};
    sample.timeout_ms = 3000;
    sample.max_connections = 50;
    sample.cold_start_seconds = 0.5;
    sample.with_limits = false;
    store_.put("op/config", to_text(sample));
}

auto soak_fleet::key() const -> std::string
{
    return "key-" + std::to_string(key_number_);
}

auto soak_fleet::crash_target(soak_target& target) -> void
{
    for (const auto& [id, count] : target.server->run_counts()) {
        past_runs_[id] += count;
    }
    const auto old_key = target.server->store_key();
    target.link->reset_connections();
    target.server = std::make_unique<fake_target>(loop_, "t-" + std::to_string(next_target_++),
                                                  target.service, target.zone);
    const auto listening =
        try_or([&] { return target.server->listen("127.0.0.1:0"); }, [](const error&) {});
    target.server->set_delay(std::chrono::milliseconds{8});
    target.link = std::make_unique<fault_proxy>(loop_, target.server->address());
    const auto linked = try_or([&] { return target.link->listen(); }, [](const error&) {});
    if (listening && linked) {
        store_.remove(old_key);
        publish_target(target, "ready");
    }
}

auto soak_fleet::harm(std::mt19937_64& random) -> std::string
{
    switch (random() % 4) {
    case 0:
        return harm_process(random);
    case 1:
        return harm_target(random);
    case 2:
        return harm_link(random);
    default:
        return harm_store(random);
    }
}

auto soak_fleet::harm_process(std::mt19937_64& random) -> std::string
{
    auto& instance = instances_[random() % instances_.size()];
    if (instance.process <= 0 || instance.paused || instance.stopping) {
        return "none";
    }
    switch (random() % 4) {
    case 0:
        instance.stopping = true;
        kill(instance.process, SIGKILL);
        return "kill " + instance.name;
    case 1:
        instance.stopping = true;
        kill(instance.process, SIGTERM);
        return "term " + instance.name;
    case 2:
        kill(instance.process, SIGHUP);
        return "hup " + instance.name;
    default:
        instance.paused = true;
        kill(instance.process, SIGSTOP);
        later_.push_back(loop_.call_after(pause_time, [&instance, process = instance.process] {
            if (instance.process == process) {
                kill(process, SIGCONT);
                instance.paused = false;
            }
        }));
        return "pause " + instance.name;
    }
}

auto soak_fleet::harm_target(std::mt19937_64& random) -> std::string
{
    auto& target = targets_[random() % targets_.size()];
    if (random() % 4 == 0) {
        const auto id = target.server->id();
        crash_target(target);
        return "crash " + id;
    }
    const auto mode = target_mode_names[random() % target_mode_names.size()];
    target.server->set_mode(mode.value);
    return "target " + target.server->id() + " " + std::string{mode.name};
}

auto soak_fleet::harm_link(std::mt19937_64& random) -> std::string
{
    const auto mode = link_mode_names[random() % link_mode_names.size()];
    if (random() % 2 == 0) {
        auto& instance = instances_[random() % instances_.size()];
        instance.store_link->set_mode(mode.value);
        return "store link of " + instance.name + " " + std::string{mode.name};
    }
    auto& target = targets_[random() % targets_.size()];
    if (random() % 3 == 0) {
        target.link->reset_connections();
        return "reset link of " + target.server->id();
    }
    target.link->set_mode(mode.value);
    return "link of " + target.server->id() + " " + std::string{mode.name};
}

auto soak_fleet::harm_store(std::mt19937_64& random) -> std::string
{
    switch (random() % 4) {
    case 0:
        ++key_number_;
        publish_configuration();
        return "configuration " + std::to_string(version_);
    case 1:
        store_.drop_history();
        return "history dropped";
    default: {
        const auto mode = store_mode_names[random() % store_mode_names.size()];
        store_.set_mode(mode.value);
        return "store " + std::string{mode.name};
    }
    }
}

auto soak_fleet::heal() -> void
{
    store_.set_mode(store_mode::normal);
    for (auto& instance : instances_) {
        instance.store_link->set_mode(link_mode::pass);
        instance.store_link->reset_connections();
    }
    for (auto& target : targets_) {
        target.server->set_mode(target_mode::normal);
        target.link->set_mode(link_mode::pass);
        target.link->reset_connections();
    }
}

auto soak_fleet::reap() -> void
{
    for (auto& instance : instances_) {
        if (instance.process <= 0 || waitpid(instance.process, nullptr, WNOHANG) != 0) {
            own_ends_ += instance.process > 0 && !instance.stopping ? 1 : 0;
            spawn(instance);
        }
    }
}

auto soak_fleet::runs(const std::string& id) const -> int
{
    const auto past = past_runs_.find(id);
    auto total = past == past_runs_.end() ? 0 : past->second;
    for (const auto& target : targets_) {
        const auto found = target.server->run_counts().find(id);
        total += found == target.server->run_counts().end() ? 0 : found->second;
    }
    return total;
}

auto soak_fleet::instances() const -> const std::vector<soak_instance>&
{
    return instances_;
}

auto soak_fleet::own_ends() const -> int
{
    return own_ends_;
}

} // namespace cyclamenpost::fakes
