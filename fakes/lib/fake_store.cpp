#include "fake_store.hpp"

#include <charconv>

#include <libwebsockets.h>
#include <nlohmann/json.hpp>

namespace cyclamenpost::fakes {

namespace {

using json = nlohmann::json;

// small enough that the few items of a test need several pages
constexpr std::size_t items_per_page = 5;

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

auto parse_number(const std::string& text) -> std::uint64_t
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

constexpr auto status_ok = 200;
constexpr auto status_gone = 410;
constexpr auto status_unavailable = 503;

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
    answer_due_watches();
}

auto fake_store::remove(const std::string& key) -> void
{
    items_.erase(key);
    history_.push_back({key, {}, ++revision_, true});
    answer_due_watches();
}

auto fake_store::set_mode(store_mode mode) -> void
{
    mode_ = mode;
    answer_due_watches();
}

auto fake_store::cut_watches() -> std::size_t
{
    const auto cut = std::exchange(watches_, {});
    for (const auto& pending : cut) {
        pending.exchange->abort();
    }
    return cut.size();
}

auto fake_store::drop_history() -> void
{
    history_.clear();
    compacted_revision_ = revision_;
}

auto fake_store::restore(std::uint64_t to_revision) -> void
{
    items_.clear();
    history_.remove_if([&](const change& item) { return item.revision > to_revision; });
    for (const auto& item : history_) {
        if (item.removed) {
            items_.erase(item.key);
        }
        else {
            items_[item.key] = item;
        }
    }
    revision_ = to_revision;
    era_text_ = std::to_string(++era_);
    cut_watches();
}

auto fake_store::set_era_text(const std::string& text) -> void
{
    era_text_ = text;
}

auto fake_store::head_of(int status) const -> response_head
{
    auto head = status_head(status);
    if (!era_text_.empty()) {
        head.fields.push_back({"Store-Era", era_text_});
    }
    return head;
}

auto fake_store::revision() const -> std::uint64_t
{
    return revision_;
}

auto fake_store::request_count() const -> std::uint64_t
{
    return request_count_;
}

auto fake_store::answer_late() -> void
{
    set_mode(store_mode::normal);
    for (const auto& exchange : std::exchange(unanswered_, {})) {
        serve(exchange);
    }
}

auto fake_store::serve(const std::shared_ptr<server_exchange>& exchange) -> void
{
    ++request_count_;
    if (mode_ == store_mode::silent) {
        unanswered_.push_back(exchange);
        return;
    }
    if (mode_ == store_mode::busy) {
        exchange->respond(head_of(status_unavailable), "{}");
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
        if (answer["items"].size() == items_per_page) {
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
    exchange->respond(head_of(status_ok), answer.dump());
}

auto fake_store::serve_watch(const std::shared_ptr<server_exchange>& exchange) -> void
{
    auto& pending = watches_.emplace_back();
    pending.prefix = query_value(exchange->head.target, "prefix");
    pending.after = parse_number(query_value(exchange->head.target, "after"));
    pending.exchange = exchange;
    if (pending.after < compacted_revision_ || pending.after > revision_) {
        exchange->respond(head_of(status_gone), "{}");
        watches_.pop_back();
        return;
    }
    if (answer_watch(pending)) {
        watches_.pop_back();
        return;
    }
    const auto wait =
        std::chrono::milliseconds{parse_number(query_value(exchange->head.target, "wait_ms"))};
    auto* entry = &pending;
    pending.timeout = loop_.call_after(wait, [this, entry] {
        if (mode_ != store_mode::normal) {
            return;
        }
        const auto answer = json{{"events", json::array()}, {"current_rev", revision_}};
        entry->exchange->respond(head_of(status_ok), answer.dump());
        watches_.remove_if([&](const watch& other) { return &other == entry; });
    });
}

auto fake_store::answer_watch(watch& pending) -> bool
{
    auto events = json::array();
    for (const auto& item : history_) {
        if (item.revision <= pending.after || !item.key.starts_with(pending.prefix)) {
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
    pending.exchange->respond(head_of(status_ok), answer.dump());
    return true;
}

auto fake_store::answer_due_watches() -> void
{
    if (mode_ == store_mode::normal) {
        watches_.remove_if([this](watch& pending) { return answer_watch(pending); });
    }
}

} // namespace cyclamenpost::fakes
