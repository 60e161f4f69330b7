#include "fake_store.hpp"

#include <charconv>

#include <libwebsockets.h>
#include <nlohmann/json.hpp>

namespace cyclamenpost::fakes {

namespace {

using json = nlohmann::json;

// small pages, so that a test's few items need several
constexpr std::size_t page_items = 5;

auto base64(const std::string& text) -> std::string
{
    auto encoded = std::string(text.size() * 2 + 8, '\0');
    const auto size = lws_b64_encode_string(text.data(), static_cast<int>(text.size()),
                                            encoded.data(), static_cast<int>(encoded.size()));
    encoded.resize(static_cast<std::size_t>(std::max(size, 0)));
    return encoded;
}

auto query_value(const std::string& target, const std::string& name) -> std::string
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

auto number(const std::string& text) -> std::uint64_t
{
    auto value = std::uint64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto status_head(int status) -> response_head
{
    auto head = response_head{};
    head.status = status;
    head.fields.push_back({"Content-Type", "application/json"});
    return head;
}

constexpr auto ok = 200;
constexpr auto gone = 410;
constexpr auto service_unavailable = 503;

} // namespace

fake_store::fake_store(event_loop& loop)
    : loop_(loop), server_(loop, {}, [this](const std::shared_ptr<server_exchange>& exchange) {
          serve(exchange);
      })
{}

auto fake_store::listen(const std::string& address) -> result<void>
{
    BOOST_LEAF_CHECK(server_.listen(address));
    address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(server_.port());
    return {};
}

auto fake_store::address() const -> std::string
{
    return address_;
}

auto fake_store::put(const std::string& key, const std::string& value) -> void
{
    items_[key] = {key, value, ++revision_, false};
    history_.push_back(items_[key]);
    wake_watches();
}

auto fake_store::remove(const std::string& key) -> void
{
    items_.erase(key);
    history_.push_back({key, {}, ++revision_, true});
    wake_watches();
}

auto fake_store::set_mode(store_mode mode) -> void
{
    mode_ = mode;
    wake_watches();
}

auto fake_store::drop_history() -> void
{
    history_.clear();
    oldest_ = revision_;
}

auto fake_store::revision() const -> std::uint64_t
{
    return revision_;
}

auto fake_store::request_count() const -> std::uint64_t
{
    return request_count_;
}

auto fake_store::serve(const std::shared_ptr<server_exchange>& exchange) -> void
{
    ++request_count_;
    if (mode_ == store_mode::silent) {
        unanswered_.push_back(exchange);
        return;
    }
    if (mode_ == store_mode::busy) {
        exchange->respond(status_head(service_unavailable), "{}");
        return;
    }
    if (exchange->head.target.find("/kv-range") != std::string::npos) {
        serve_range(exchange);
        return;
    }
    serve_watch(exchange);
}

auto fake_store::serve_range(const std::shared_ptr<server_exchange>& exchange) -> void
{
    const auto prefix = query_value(exchange->head.target, "prefix");
    const auto after = query_value(exchange->head.target, "after");
    auto answer = json{{"items", json::array()}, {"more_pages", false}, {"current_rev", revision_}};
    for (auto next = items_.upper_bound(after); next != items_.end(); ++next) {
        if (!next->first.starts_with(prefix)) {
            continue;
        }
        if (answer["items"].size() == page_items) {
            answer["more_pages"] = true;
            break;
        }
        const auto& item = next->second;
        answer["items"].push_back({{"key", item.key},
                                   {"value", base64(item.value)},
                                   {"rev", item.revision},
                                   {"created_rev", item.revision},
                                   {"lease", 0}});
    }
    exchange->respond(status_head(ok), answer.dump());
}

auto fake_store::serve_watch(const std::shared_ptr<server_exchange>& exchange) -> void
{
    auto& waiting = watches_.emplace_back();
    waiting.prefix = query_value(exchange->head.target, "prefix");
    waiting.after = number(query_value(exchange->head.target, "after"));
    waiting.exchange = exchange;
    if (waiting.after < oldest_) {
        exchange->respond(status_head(gone), "{}");
        watches_.pop_back();
        return;
    }
    if (answer_watch(waiting)) {
        watches_.pop_back();
        return;
    }
    const auto wait =
        std::chrono::milliseconds{number(query_value(exchange->head.target, "wait_ms"))};
    auto* entry = &waiting;
    waiting.limit = loop_.call_after(wait, [this, entry] {
        if (mode_ != store_mode::normal) {
            return;
        }
        const auto answer = json{{"events", json::array()}, {"current_rev", revision_}};
        entry->exchange->respond(status_head(ok), answer.dump());
        watches_.remove_if([&](const watch& known) { return &known == entry; });
    });
}

auto fake_store::answer_watch(watch& waiting) -> bool
{
    auto events = json::array();
    for (const auto& item : history_) {
        if (item.revision <= waiting.after || !item.key.starts_with(waiting.prefix)) {
            continue;
        }
        auto event = json{{"key", item.key}, {"rev", item.revision}};
        if (item.removed) {
            event["removed"] = true;
        }
        else {
            event["value"] = base64(item.value);
        }
        events.push_back(std::move(event));
    }
    if (events.empty()) {
        return false;
    }
    const auto answer = json{{"events", events}, {"current_rev", revision_}};
    waiting.exchange->respond(status_head(ok), answer.dump());
    return true;
}

auto fake_store::wake_watches() -> void
{
    if (mode_ == store_mode::normal) {
        watches_.remove_if([this](watch& waiting) { return answer_watch(waiting); });
    }
}

} // namespace cyclamenpost::fakes
