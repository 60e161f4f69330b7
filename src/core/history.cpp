#include "cyclamenpost/core/history.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace cyclamenpost {

namespace {

/// Calls `visit(name, member)` for each string field of an event.
template <typename Event, typename Visit>
auto visit_texts(Event& event, Visit&& visit) -> void
{
    visit("event", event.event);
    visit("request", event.request);
    visit("instance", event.instance);
    visit("incarnation", event.incarnation);
    visit("target", event.target);
    visit("target_incarnation", event.target_incarnation);
    visit("organisation", event.organisation);
    visit("chat", event.chat);
    visit("key", event.key);
    visit("content", event.content);
    visit("zone", event.zone);
    visit("outcome", event.outcome);
    visit("detail", event.detail);
}

/// Calls `visit(name, member)` for each numeric field of an event.
template <typename Event, typename Visit>
auto visit_numbers(Event& event, Visit&& visit) -> void
{
    visit("at_us", event.at_us);
    visit("attempt", event.attempt);
    visit("config_version", event.config_version);
    visit("cost", event.cost);
    visit("count", event.count);
}

} // namespace

auto format_event(const history_event& event) -> std::string
{
    auto object = nlohmann::ordered_json::object();
    visit_numbers(event, [&](const char* name, const auto& value) {
        if (value != 0) {
            object[name] = value;
        }
    });
    visit_texts(event, [&](const char* name, const std::string& value) {
        if (!value.empty()) {
            object[name] = value;
        }
    });
    return object.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

auto parse_event(std::string_view line) -> result<history_event>
{
    const auto object = nlohmann::json::parse(line, nullptr, false);
    if (!object.is_object() || !object.contains("event")) {
        return fail(error_id::history_unreadable, step::check_history, "",
                    "the line is not a JSON object with the key \"event\"");
    }
    auto event = history_event{};
    visit_texts(event, [&](const char* name, std::string& value) {
        if (object.contains(name) && object[name].is_string()) {
            value = object[name].template get<std::string>();
        }
    });
    visit_numbers(event, [&](const char* name, auto& value) {
        if (object.contains(name) && object[name].is_number_integer()) {
            value = object[name].template get<std::remove_reference_t<decltype(value)>>();
        }
    });
    return event;
}

auto history_writer::open(const std::string& path) -> result<void>
{
    if (path.empty()) {
        return {};
    }
    file_.open(path, std::ios::app);
    if (!file_) {
        return fail(error_id::history_unreadable, step::check_history, path,
                    "the history file cannot be opened for writing");
    }
    return {};
}

auto history_writer::write(history_event event) -> void
{
    if (!file_.is_open()) {
        return;
    }
    if (event.at_us == 0) {
        event.at_us = monotonic_now().time_since_epoch().count();
    }
    file_ << format_event(event) + "\n" << std::flush;
}

} // namespace cyclamenpost
