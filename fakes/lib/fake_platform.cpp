#include "fake_platform.hpp"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "cyclamenpost/configuration/instance_list.hpp"

namespace cyclamenpost::fakes {

namespace {

constexpr auto status_ok = 200;
constexpr auto status_unchanged = 304;
constexpr auto status_invalid = 400;
constexpr auto status_not_found = 404;

auto query_number(std::string_view query, std::string_view name, std::uint64_t absent)
    -> std::uint64_t
{
    const auto text = query_value(query, name);
    auto value = std::uint64_t{0};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} ? value : absent;
}

} // namespace

fake_platform::fake_platform(event_loop& loop) : loop_(loop) {}

auto fake_platform::start(const std::string& address, int port) -> result<void>
{
    const auto on_request = [this, alive = std::weak_ptr(alive_)](const http_request& request,
                                                                  const exchange_ptr& exchange) {
        if (!alive.expired()) {
            handle(request, exchange);
        }
    };
    return server_.start(loop_, address, port, {}, on_request);
}

auto fake_platform::port() const -> int
{
    return server_.port();
}

auto fake_platform::values_of(published_kind kind) -> published_values&
{
    return kind == published_kind::operator_text ? config_ : instances_;
}

auto fake_platform::publish_config(std::string text, std::uint64_t version) -> void
{
    auto& versions = config_.versions;
    const auto next = versions.empty() ? 1 : versions.back().id.version + 1;
    const auto digest = text_digest(text);
    versions.push_back({{version == 0 ? next : version, digest}, std::move(text)});
    respond_to_due_watches();
}

auto fake_platform::publish_instances(std::string json) -> result<void>
{
    BOOST_LEAF_AUTO(list, parse_instance_list(json));
    const auto digest = text_digest(json);
    instances_.versions.push_back({{list.version, digest}, std::move(json)});
    respond_to_due_watches();
    return {};
}

auto fake_platform::set_alternate(published_kind kind, std::string text) -> void
{
    values_of(kind).alternate = std::move(text);
}

auto fake_platform::set_mode(platform_mode mode, std::uint64_t delay_ms,
                             std::uint64_t versions_back) -> void
{
    mode_ = mode;
    delay_ms_ = delay_ms;
    for (auto* published : {&config_, &instances_}) {
        const auto count = published->versions.size();
        published->stale_index = count > versions_back ? count - 1 - versions_back : 0;
    }
    if (mode == platform_mode::down) {
        for (const auto& watch : std::exchange(watches_, {})) {
            watch.exchange->abort();
        }
    }
    respond_to_due_watches();
}

auto fake_platform::calls() const -> platform_call_counts
{
    auto counters = calls_;
    counters.waiting = watches_.size();
    return counters;
}

auto fake_platform::served(published_kind kind) -> const published_text*
{
    const auto& published = values_of(kind);
    if (published.versions.empty()) {
        return nullptr;
    }
    return mode_ == platform_mode::stale ? &published.versions[published.stale_index]
                                         : &published.versions.back();
}

auto fake_platform::handle(const http_request& request, const exchange_ptr& exchange) -> void
{
    if (request.path.starts_with("/control/")) {
        handle_control(request, exchange);
    }
    else if (request.path == "/v1/config") {
        handle_read(published_kind::operator_text, request, exchange);
    }
    else if (request.path == "/v1/instances") {
        handle_read(published_kind::instance_list, request, exchange);
    }
    else {
        exchange->respond(status_not_found, {}, "");
    }
}

auto fake_platform::handle_control(const http_request& request, const exchange_ptr& exchange)
    -> void
{
    const auto alternate = query_value(request.query, "alternate") == "true";
    if (request.path == "/control/calls") {
        const auto counters = calls();
        const auto body = nlohmann::json{{"reads", counters.reads},
                                         {"watches", counters.watches},
                                         {"waiting", counters.waiting}};
        exchange->respond(status_ok, {{"content-type", "application/json"}}, body.dump());
        return;
    }
    if (request.path == "/control/mode") {
        change_mode(request, exchange);
        return;
    }
    const auto config = request.path == "/control/config";
    if (!config && request.path != "/control/instances") {
        exchange->respond(status_not_found, {}, "");
        return;
    }
    auto problem = std::string{};
    if (alternate) {
        set_alternate(config ? published_kind::operator_text : published_kind::instance_list,
                      request.body);
    }
    else if (config) {
        publish_config(request.body, query_number(request.query, "version", 0));
    }
    else {
        try_or([&] { return publish_instances(request.body); },
               [&](const error& failure) { problem = describe(failure); });
    }
    exchange->respond(problem.empty() ? status_ok : status_invalid, {}, problem);
}

auto fake_platform::change_mode(const http_request& request, const exchange_ptr& exchange) -> void
{
    const auto document = nlohmann::json::parse(request.body, nullptr, false);
    const auto name = document.is_object() ? document.value("mode", "") : std::string{};
    const auto mode = value_in(platform_mode_names, name);
    if (!mode) {
        exchange->respond(status_invalid, {}, "mode must be normal, stale, down, slow or split");
        return;
    }
    set_mode(*mode, document.value("delay_ms", std::uint64_t{0}),
             document.value("back", std::uint64_t{0}));
    exchange->respond(status_ok, {}, "");
}

auto fake_platform::handle_read(published_kind kind, const http_request& request,
                                const exchange_ptr& exchange) -> void
{
    const auto is_watch = !query_value(request.query, "watch").empty();
    ++(is_watch ? calls_.watches : calls_.reads);
    if (mode_ == platform_mode::down) {
        exchange->abort();
        return;
    }
    const auto after_version = query_number(request.query, "watch", 0);
    const auto* current = served(kind);
    if (is_watch && (current == nullptr || current->id.version <= after_version)) {
        constexpr auto default_timeout_ms = 30000;
        add_watch(kind, after_version,
                  query_number(request.query, "timeout_ms", default_timeout_ms), exchange);
        return;
    }
    if (current == nullptr) {
        exchange->respond(status_not_found, {}, "nothing was published yet");
        return;
    }
    respond(kind, exchange);
}

auto fake_platform::add_watch(published_kind kind, std::uint64_t after_version,
                              std::uint64_t timeout_ms, const exchange_ptr& exchange) -> void
{
    watches_.push_back({kind, after_version, exchange, {}});
    const auto position = std::prev(watches_.end());
    position->timeout = loop_.call_after(std::chrono::milliseconds{timeout_ms}, [this, exchange] {
        exchange->respond(status_unchanged, {}, "");
        watches_.remove_if([&](const auto& watch) { return watch.exchange == exchange; });
    });
    exchange->on_closed([this, raw = exchange.get(), alive = std::weak_ptr(alive_)] {
        if (alive.expired()) {
            return;
        }
        watches_.remove_if([&](const auto& watch) { return watch.exchange.get() == raw; });
    });
}

auto fake_platform::respond(published_kind kind, const exchange_ptr& exchange) -> void
{
    const auto& current = *served(kind);
    const auto& alternate = values_of(kind).alternate;
    const auto use_alternate =
        mode_ == platform_mode::split && !alternate.empty() && ++split_answers_ % 2 == 0;
    const auto headers = header_list{{"x-version", std::to_string(current.id.version)}};
    const auto body = use_alternate ? alternate : current.text;
    if (mode_ != platform_mode::slow) {
        exchange->respond(status_ok, headers, body);
        return;
    }
    call_delayed([exchange, headers, body] { exchange->respond(status_ok, headers, body); });
}

auto fake_platform::call_delayed(std::function<void()> action) -> void
{
    delayed_.remove_if([](const timer& delayed) { return !delayed.pending(); });
    delayed_.push_back(loop_.call_after(std::chrono::milliseconds{delay_ms_}, std::move(action)));
}

auto fake_platform::respond_to_due_watches() -> void
{
    auto due = std::vector<pending_watch>{};
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        const auto* current = served(watch->kind);
        if (current == nullptr || current->id.version <= watch->after_version) {
            ++watch;
            continue;
        }
        due.push_back(std::move(*watch));
        watch = watches_.erase(watch);
    }
    for (const auto& watch : due) {
        respond(watch.kind, watch.exchange);
    }
}

} // namespace cyclamenpost::fakes
