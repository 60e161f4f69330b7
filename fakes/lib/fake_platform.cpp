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

auto number_in(std::string_view query, std::string_view name, std::uint64_t absent) -> std::uint64_t
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

auto fake_platform::value(published_kind kind) -> published_value&
{
    return kind == published_kind::operator_text ? config_ : instances_;
}

auto fake_platform::publish_config(std::string text, std::uint64_t version) -> void
{
    auto& versions = config_.versions;
    const auto next = versions.empty() ? 1 : versions.back().id.version + 1;
    const auto digest = text_digest(text);
    versions.push_back({{version == 0 ? next : version, digest}, std::move(text)});
    answer_watches();
}

auto fake_platform::publish_instances(std::string json) -> result<void>
{
    BOOST_LEAF_AUTO(list, parse_instance_list(json));
    const auto digest = text_digest(json);
    instances_.versions.push_back({{list.version, digest}, std::move(json)});
    answer_watches();
    return {};
}

auto fake_platform::set_alternate(published_kind kind, std::string text) -> void
{
    value(kind).alternate = std::move(text);
}

auto fake_platform::set_mode(platform_mode mode, std::uint64_t delay_ms, std::uint64_t back) -> void
{
    mode_ = mode;
    delay_ms_ = delay_ms;
    for (auto* each : {&config_, &instances_}) {
        const auto count = each->versions.size();
        each->frozen = count > back ? count - 1 - back : 0;
    }
    if (mode == platform_mode::down) {
        for (const auto& watch : std::exchange(waiting_, {})) {
            watch.exchange->abort();
        }
    }
    answer_watches();
}

auto fake_platform::calls() const -> platform_calls
{
    auto counted = calls_;
    counted.waiting = waiting_.size();
    return counted;
}

auto fake_platform::served(published_kind kind) -> const published_text*
{
    const auto& published = value(kind);
    if (published.versions.empty()) {
        return nullptr;
    }
    return mode_ == platform_mode::stale ? &published.versions[published.frozen]
                                         : &published.versions.back();
}

auto fake_platform::handle(const http_request& request, const exchange_ptr& exchange) -> void
{
    if (request.path.starts_with("/control/")) {
        control(request, exchange);
    }
    else if (request.path == "/v1/config") {
        read(published_kind::operator_text, request, exchange);
    }
    else if (request.path == "/v1/instances") {
        read(published_kind::instance_list, request, exchange);
    }
    else {
        exchange->respond(status_not_found, {}, "");
    }
}

auto fake_platform::control(const http_request& request, const exchange_ptr& exchange) -> void
{
    const auto alternate = query_value(request.query, "alternate") == "true";
    if (request.path == "/control/calls") {
        const auto counted = calls();
        const auto body = nlohmann::json{
            {"reads", counted.reads}, {"watches", counted.watches}, {"waiting", counted.waiting}};
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
        publish_config(request.body, number_in(request.query, "version", 0));
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

auto fake_platform::read(published_kind kind, const http_request& request,
                         const exchange_ptr& exchange) -> void
{
    const auto is_watch = !query_value(request.query, "watch").empty();
    ++(is_watch ? calls_.watches : calls_.reads);
    if (mode_ == platform_mode::down) {
        exchange->abort();
        return;
    }
    const auto above = number_in(request.query, "watch", 0);
    const auto* current = served(kind);
    if (is_watch && (current == nullptr || current->id.version <= above)) {
        constexpr auto default_timeout_ms = 30000;
        hold(kind, above, number_in(request.query, "timeout_ms", default_timeout_ms), exchange);
        return;
    }
    if (current == nullptr) {
        exchange->respond(status_not_found, {}, "nothing was published yet");
        return;
    }
    answer(kind, exchange);
}

auto fake_platform::hold(published_kind kind, std::uint64_t above, std::uint64_t timeout_ms,
                         const exchange_ptr& exchange) -> void
{
    waiting_.push_back({kind, above, exchange, {}});
    const auto place = std::prev(waiting_.end());
    place->limit = loop_.call_after(std::chrono::milliseconds{timeout_ms}, [this, exchange] {
        exchange->respond(status_unchanged, {}, "");
        waiting_.remove_if([&](const auto& watch) { return watch.exchange == exchange; });
    });
    exchange->on_closed([this, raw = exchange.get(), alive = std::weak_ptr(alive_)] {
        if (alive.expired()) {
            return;
        }
        waiting_.remove_if([&](const auto& watch) { return watch.exchange.get() == raw; });
    });
}

auto fake_platform::answer(published_kind kind, const exchange_ptr& exchange) -> void
{
    const auto& current = *served(kind);
    const auto& alternate = value(kind).alternate;
    const auto other = mode_ == platform_mode::split && !alternate.empty() && ++answers_ % 2 == 0;
    const auto headers = header_list{{"x-version", std::to_string(current.id.version)}};
    const auto body = other ? alternate : current.text;
    if (mode_ != platform_mode::slow) {
        exchange->respond(status_ok, headers, body);
        return;
    }
    later([exchange, headers, body] { exchange->respond(status_ok, headers, body); });
}

auto fake_platform::later(std::function<void()> action) -> void
{
    delayed_.remove_if([](const auto& each) { return !each.pending(); });
    delayed_.push_back(loop_.call_after(std::chrono::milliseconds{delay_ms_}, std::move(action)));
}

auto fake_platform::answer_watches() -> void
{
    auto due = std::vector<waiting_watch>{};
    for (auto watch = waiting_.begin(); watch != waiting_.end();) {
        const auto* current = served(watch->kind);
        if (current == nullptr || current->id.version <= watch->above) {
            ++watch;
            continue;
        }
        due.push_back(std::move(*watch));
        watch = waiting_.erase(watch);
    }
    for (const auto& watch : due) {
        answer(watch.kind, watch.exchange);
    }
}

} // namespace cyclamenpost::fakes
