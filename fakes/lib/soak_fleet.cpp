#include "soak_fleet.hpp"

#include <array>
#include <csignal>
#include <fstream>

#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include "sample_configuration.hpp"

namespace cyclamenpost::fakes {

namespace {

// time limits of the routes; a change applies to requests that arrive later
constexpr auto long_timeout_ms = 3000;
constexpr auto short_timeout_ms = 700;
// the same with `refusals`: the bounds of the callers' time limits there
constexpr auto least_limit_ms = 1000;
constexpr auto most_limit_ms = 4000;
constexpr duration pause_duration = std::chrono::milliseconds{1500};

} // namespace

soak_fleet::soak_fleet(event_loop& loop, soak_options options)
    : loop_(loop), options_(std::move(options)), store_(loop)
{
    auto pattern = std::string{"/tmp/cyclamenpost-soak-XXXXXX"};
    directory_ = mkdtemp(pattern.data());
}

soak_fleet::~soak_fleet()
{
    processes_.reset();
    for (const auto& instance : instances_) {
        if (instance.pid > 0) {
            kill(instance.pid, SIGKILL);
            waitpid(instance.pid, nullptr, 0);
        }
        unlink(instance.settings_file.c_str());
    }
    rmdir(directory_.c_str());
}

auto soak_fleet::start() -> result<void>
{
    BOOST_LEAF_CHECK(store_.listen("127.0.0.1:0"));
    publish_configuration();
    if (options_.faults == soak_faults::processes) {
        processes_ = std::make_unique<target_processes>(loop_, store_, directory_,
                                                        options_.seed * 1000, options_.refusals);
    }
    for (auto index = 0; index < options_.targets; ++index) {
        const auto zone = index % 2 == 0 ? "a" : "b";
        if (processes_) {
            if (index < options_.applications) {
                BOOST_LEAF_CHECK(processes_->add("app", zone));
            }
            BOOST_LEAF_CHECK(processes_->add("engine", zone));
            continue;
        }
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
        own.settings_file = directory_ + "/" + own.name + ".toml";
        own.store_proxy = std::make_unique<fault_proxy>(loop_, store_.address());
        BOOST_LEAF_CHECK(own.store_proxy->listen());
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
         << instance.store_proxy->address() << "\"\n";
}

auto soak_fleet::spawn(soak_instance& instance) -> void
{
    instance.pid = spawn_program(
        {options_.program, "--settings-file", instance.settings_file, "--metrics-port", "0"},
        "soak-" + instance.name + ".log");
    instance.paused = false;
    instance.stopping = false;
}

auto soak_fleet::add_target(const std::string& service, const std::string& zone) -> result<void>
{
    auto& target = targets_.emplace_back();
    target.service = service;
    target.zone = zone;
    target.fake =
        std::make_unique<fake_target>(loop_, "t-" + std::to_string(next_target_++), service, zone);
    BOOST_LEAF_CHECK(target.fake->listen("127.0.0.1:0"));
    target.fake->set_delay(std::chrono::milliseconds{8});
    target.proxy = std::make_unique<fault_proxy>(loop_, target.fake->address());
    BOOST_LEAF_CHECK(target.proxy->listen());
    publish_target(target, "ready");
    return {};
}

auto soak_fleet::publish_target(const soak_target& target, const std::string& state) -> void
{
    auto entry = nlohmann::json::parse(target.fake->store_entry(state));
    entry["address"] = target.proxy->address();
    store_.put(target.fake->store_key(), entry.dump());
}

auto soak_fleet::publish_configuration() -> void
{
    auto sample = sample_configuration{};
    sample.version = ++version_;
    sample.host = "soak.example";
    sample.api_keys = {api_key(), "always"};
    sample.timeout_ms = short_timeouts_ ? short_timeout_ms : long_timeout_ms;
    if (options_.refusals) {
        sample.timeout_ms = short_timeouts_ ? least_limit_ms : most_limit_ms;
    }
    sample.objective_ms = static_cast<int>(options_.objective.count());
    sample.max_connections = 50;
    sample.cold_start_seconds = 0.5;
    sample.with_limits = false;
    store_.put("op/config", to_text(sample));
}

auto soak_fleet::api_key() const -> std::string
{
    return "key-" + std::to_string(api_key_number_);
}

auto soak_fleet::crash_target(soak_target& target) -> void
{
    for (const auto& [id, count] : target.fake->run_counts()) {
        earlier_run_counts_[id] += count;
    }
    const auto old_key = target.fake->store_key();
    target.proxy->reset_connections();
    target.fake = std::make_unique<fake_target>(loop_, "t-" + std::to_string(next_target_++),
                                                target.service, target.zone);
    const auto listening =
        try_or([&] { return target.fake->listen("127.0.0.1:0"); }, [](const error&) {});
    target.fake->set_delay(std::chrono::milliseconds{8});
    target.proxy = std::make_unique<fault_proxy>(loop_, target.fake->address());
    const auto proxy_listening =
        try_or([&] { return target.proxy->listen(); }, [](const error&) {});
    if (listening && proxy_listening) {
        store_.remove(old_key);
        publish_target(target, "ready");
    }
}

auto soak_fleet::inject_fault(std::mt19937_64& random) -> std::string
{
    if (options_.faults == soak_faults::lost_answers) {
        return lose_answers(random);
    }
    if (options_.faults == soak_faults::processes) {
        return harm_processes(random);
    }
    switch (random() % 4) {
    case 0:
        return inject_process_fault(random);
    case 1:
        return inject_target_fault(random);
    case 2:
        return inject_link_fault(random);
    default:
        return inject_store_fault(random);
    }
}

auto soak_fleet::inject_process_fault(std::mt19937_64& random) -> std::string
{
    auto& instance = instances_[random() % instances_.size()];
    if (instance.pid <= 0 || instance.paused || instance.stopping) {
        return "none";
    }
    switch (random() % 4) {
    case 0:
        instance.stopping = true;
        kill(instance.pid, SIGKILL);
        return "kill " + instance.name;
    case 1:
        instance.stopping = true;
        kill(instance.pid, SIGTERM);
        return "term " + instance.name;
    case 2:
        kill(instance.pid, SIGHUP);
        return "hup " + instance.name;
    default:
        return pause(instance, pause_duration);
    }
}

auto soak_fleet::pause(soak_instance& instance, duration span) -> std::string
{
    instance.paused = true;
    kill(instance.pid, SIGSTOP);
    resume_timers_.push_back(loop_.call_after(span, [&instance, pid = instance.pid] {
        if (instance.pid == pid) {
            kill(pid, SIGCONT);
            instance.paused = false;
        }
    }));
    return "pause " + instance.name;
}

auto soak_fleet::lose_answers(std::mt19937_64& random) -> std::string
{
    auto& instance = instances_[random() % instances_.size()];
    if (random() % 3 == 0 && instance.pid > 0 && !instance.paused) {
        return pause(instance, pause_duration * (1 + random() % 4) / 4);
    }
    constexpr std::array modes{target_mode::normal,      target_mode::answer_lost,
                               target_mode::answer_lost, target_mode::full,
                               target_mode::cut_stream,  target_mode::unproven_refusal};
    auto& target = targets_[random() % targets_.size()];
    const auto mode = modes.at(random() % modes.size());
    target.fake->set_mode(mode);
    return "target " + target.fake->id() + " " + std::string{name_in(target_mode_names, mode)};
}

auto soak_fleet::harm_processes(std::mt19937_64& random) -> std::string
{
    constexpr auto instances_paused_at_once = 20U;
    constexpr auto faults_per_end = 4U;
    constexpr auto faults_per_change = 16U;
    if (random() % 2 == 0) {
        return processes_->inject_fault(random);
    }
    if (random() % faults_per_change == 0) {
        short_timeouts_ = !short_timeouts_;
        publish_configuration();
        return "configuration " + std::to_string(version_);
    }
    if (random() % faults_per_end == 0) {
        return inject_process_fault(random);
    }
    auto paused = std::string{};
    for (std::size_t count = 0; count <= instances_.size() / instances_paused_at_once; ++count) {
        auto& instance = instances_[random() % instances_.size()];
        if (instance.pid > 0 && !instance.paused) {
            paused += pause(instance, pause_duration * (1 + random() % 4) / 4) + " ";
        }
    }
    return paused;
}

auto soak_fleet::inject_target_fault(std::mt19937_64& random) -> std::string
{
    auto& target = targets_[random() % targets_.size()];
    if (random() % 4 == 0) {
        const auto id = target.fake->id();
        crash_target(target);
        return "crash " + id;
    }
    // one draw as before `stalling` and the later modes came, so that the seeds of earlier failures
    // keep their faults
    constexpr auto earlier_modes = std::uint64_t{7};
    constexpr auto later_mode_bits = 32U;
    const auto draw = random();
    const auto later = (draw >> later_mode_bits) % 3 == 0;
    const auto mode = target_mode_names.at(
        later ? earlier_modes + draw % (target_mode_names.size() - earlier_modes)
              : draw % earlier_modes);
    target.fake->set_mode(mode.value);
    return "target " + target.fake->id() + " " + std::string{mode.name};
}

auto soak_fleet::inject_link_fault(std::mt19937_64& random) -> std::string
{
    const auto mode = link_mode_names[random() % link_mode_names.size()];
    if (random() % 2 == 0) {
        auto& instance = instances_[random() % instances_.size()];
        instance.store_proxy->set_mode(mode.value);
        return "store link of " + instance.name + " " + std::string{mode.name};
    }
    auto& target = targets_[random() % targets_.size()];
    if (random() % 3 == 0) {
        target.proxy->reset_connections();
        return "reset link of " + target.fake->id();
    }
    target.proxy->set_mode(mode.value);
    return "link of " + target.fake->id() + " " + std::string{mode.name};
}

auto soak_fleet::inject_store_fault(std::mt19937_64& random) -> std::string
{
    switch (random() % 4) {
    case 0:
        ++api_key_number_;
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

auto soak_fleet::clear_faults() -> void
{
    if (processes_) {
        processes_->clear_faults();
        short_timeouts_ = false;
        publish_configuration();
    }
    store_.set_mode(store_mode::normal);
    for (auto& instance : instances_) {
        instance.store_proxy->set_mode(link_mode::pass);
        instance.store_proxy->reset_connections();
    }
    for (auto& target : targets_) {
        target.fake->set_mode(target_mode::normal);
        target.proxy->set_mode(link_mode::pass);
        target.proxy->reset_connections();
    }
}

auto soak_fleet::restart_ended_processes() -> void
{
    if (processes_) {
        processes_->restart_ended();
    }
    for (auto& instance : instances_) {
        if (instance.pid <= 0 || waitpid(instance.pid, nullptr, WNOHANG) != 0) {
            unexpected_exits_ += instance.pid > 0 && !instance.stopping ? 1 : 0;
            spawn(instance);
        }
    }
}

auto soak_fleet::run_count(const std::string& id) const -> int
{
    const auto earlier = earlier_run_counts_.find(id);
    auto total = earlier == earlier_run_counts_.end() ? 0 : earlier->second;
    for (const auto& target : targets_) {
        const auto found = target.fake->run_counts().find(id);
        total += found == target.fake->run_counts().end() ? 0 : found->second;
    }
    return total;
}

auto soak_fleet::run_counts_of_processes() const -> std::map<std::string, int>
{
    return processes_ ? processes_->run_counts() : std::map<std::string, int>{};
}

auto soak_fleet::refusals_of_processes() const -> refusal_counts
{
    return processes_ ? processes_->refusals() : refusal_counts{};
}

auto soak_fleet::instances() const -> const std::vector<soak_instance>&
{
    return instances_;
}

auto soak_fleet::unexpected_exits() const -> int
{
    return unexpected_exits_;
}

} // namespace cyclamenpost::fakes
