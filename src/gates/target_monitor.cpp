#include "cyclamenpost/gates/target_monitor.hpp"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// targets report every 500 ms; after three missed reports the host is considered down
constexpr duration heartbeat_timeout = 1500ms;
constexpr duration initial_reconnect_delay = 50ms;
constexpr duration max_reconnect_delay = 1s;

auto parse_hex_list(const json& values) -> std::vector<std::uint64_t>
{
    auto numbers = std::vector<std::uint64_t>{};
    for (const auto& value : values) {
        if (const auto number = from_hex(value.get<std::string>())) {
            numbers.push_back(*number);
        }
    }
    return numbers;
}

template <typename Report, typename Read>
auto parse_report(const std::string& target, std::string_view text, Read read) -> result<Report>
{
    try {
        auto report = Report{};
        report.target = target;
        read(json::parse(text), report);
        return report;
    }
    catch (const json::exception& failure) {
        return fail(error_id::target_answer_invalid, step::monitor_target, target, failure.what());
    }
}

} // namespace

struct target_monitor::stream_state {
    monitored_target target;
    std::shared_ptr<http_call> call;
    event_stream_parser events;
    timer heartbeat;
    timer reconnect;
    duration reconnect_delay = initial_reconnect_delay;
    bool connected = false;
    bool stopped = false;
};

auto parse_target_report(const std::string& target, std::string_view text) -> result<target_report>
{
    return parse_report<target_report>(target, text, [](const json& value, target_report& report) {
        report.incarnation = from_hex(value.at("incarnation").get<std::string>()).value_or(0);
        const auto state = value_in(target_state_names, value.at("state").get<std::string>());
        report.state = state.value_or(target_state::cold);
        report.running = value.value("running", 0);
        report.waiting = value.value("waiting", 0);
        report.cost = value.value("cost", 0.0);
        report.fence = value.value("fence", std::uint64_t{0});
        report.models = value.value("models", std::vector<std::string>{});
    });
}

auto parse_cache_report(const std::string& target, std::string_view text) -> result<cache_report>
{
    return parse_report<cache_report>(target, text, [](const json& value, cache_report& report) {
        report.sequence = value.at("seq").get<std::uint64_t>();
        report.stored = parse_hex_list(value.value("stored", json::array()));
        report.evicted = parse_hex_list(value.value("evicted", json::array()));
    });
}

target_monitor::target_monitor(event_loop& loop, monitor_handlers handlers)
    : loop_(loop), handlers_(std::move(handlers))
{}

auto target_monitor::watch(const std::vector<monitored_target>& targets) -> void
{
    auto wanted = std::set<std::string>{};
    for (const auto& target : targets) {
        wanted.insert(target.name);
        auto& stream = streams_[target.name];
        if (stream && stream->target.address == target.address) {
            continue;
        }
        if (stream) {
            stream->stopped = true;
            stream->call->cancel();
        }
        stream = std::make_shared<stream_state>();
        stream->target = target;
        connect(stream);
    }
    std::erase_if(streams_, [&](const auto& entry) {
        if (wanted.contains(entry.first)) {
            return false;
        }
        entry.second->stopped = true;
        entry.second->reconnect.reset();
        entry.second->call->cancel();
        return true;
    });
}

auto target_monitor::connected(const std::string& target) const -> bool
{
    const auto found = streams_.find(target);
    return found != streams_.end() && found->second->connected;
}

auto target_monitor::connect(const std::shared_ptr<stream_state>& stream) -> void
{
    auto request = client_request{};
    request.address = stream->target.address;
    request.path = "/v1/events";
    auto handlers = call_handlers{};
    handlers.on_data = [this, stream](std::string_view bytes) {
        const auto accepted = feed(stream->events, bytes,
                                   [&](const stream_event& event) { on_event(stream, event); });
        if (!accepted) {
            stream->call->cancel();
        }
    };
    handlers.on_end = [this, stream](call_end) { on_end(stream); };
    stream->events.buffer.clear();
    stream->call = start_call(loop_, std::move(request), std::move(handlers));
}

auto target_monitor::on_event(const std::shared_ptr<stream_state>& stream,
                              const stream_event& event) -> void
{
    if (stream->stopped) {
        return;
    }
    stream->connected = true;
    stream->reconnect_delay = initial_reconnect_delay;
    restart_heartbeat_timer(stream);
    const auto log_invalid = [](const error& failure) {
        log_error("target_report_invalid", failure);
    };
    if (event.name == "load") {
        try_or(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(report, parse_target_report(stream->target.name, event.data));
                handlers_.on_report(report);
                return {};
            },
            log_invalid);
    }
    else if (event.name == "cache") {
        try_or(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(report, parse_cache_report(stream->target.name, event.data));
                handlers_.on_cache_report(report);
                return {};
            },
            log_invalid);
    }
}

auto target_monitor::restart_heartbeat_timer(const std::shared_ptr<stream_state>& stream) -> void
{
    stream->heartbeat = loop_.call_after(heartbeat_timeout, [weak = std::weak_ptr(stream)] {
        if (const auto silent = weak.lock()) {
            silent->call->cancel();
        }
    });
}

auto target_monitor::on_end(const std::shared_ptr<stream_state>& stream) -> void
{
    stream->heartbeat.reset();
    if (stream->stopped) {
        return;
    }
    if (std::exchange(stream->connected, false)) {
        log_event(log_level::warning, "target_stream_closed", {{"target", stream->target.name}});
        handlers_.on_closed(stream->target.name);
    }
    stream->reconnect =
        loop_.call_after(stream->reconnect_delay, [this, weak = std::weak_ptr(stream)] {
            const auto waiting = weak.lock();
            if (waiting && !waiting->stopped) {
                connect(waiting);
            }
        });
    stream->reconnect_delay = std::min(stream->reconnect_delay * 2, max_reconnect_delay);
}

} // namespace cyclamenpost
