#include "history_checker.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "history_checks.hpp"

namespace cyclamenpost::fakes {

namespace {

// keeps the printed extract short enough to read; the last events lead to the violation
constexpr auto max_extract_events = std::size_t{12};

} // namespace

namespace detail {

auto add_violation(check_outcome& outcome, const std::string& description, event_list extract)
    -> void
{
    ++outcome.violations;
    if (outcome.violations > 1) {
        return;
    }
    outcome.first_violation = description;
    if (extract.size() > max_extract_events) {
        extract.erase(extract.begin(),
                      extract.end() - static_cast<std::ptrdiff_t>(max_extract_events));
    }
    outcome.extract = std::move(extract);
}

} // namespace detail

auto check_events(std::vector<history_event> events, const check_bounds& bounds)
    -> std::vector<check_outcome>
{
    auto view = detail::history_view{std::move(events), {}};
    std::ranges::stable_sort(view.events, {}, &history_event::at_us);
    for (const auto& event : view.events) {
        if (!event.content.empty()) {
            view.by_content[event.content].push_back(event);
        }
    }
    return {detail::check_whole_answer(view),
            detail::check_not_run(view),
            detail::check_once_per_key(view),
            detail::check_load_bound(view, bounds),
            detail::check_cold_start(view),
            detail::check_leaving_target(view, bounds),
            detail::check_zone_out(view, bounds),
            detail::check_graceful_shutdown(view),
            detail::check_config_versions(view, bounds)};
}

auto read_history(const std::string& path) -> result<std::vector<history_event>>
{
    auto file = std::ifstream{path};
    if (!file) {
        return fail(error_id::history_unreadable, step::check_history, path,
                    "the file cannot be opened");
    }
    const auto text = std::string(std::istreambuf_iterator<char>{file}, {});
    auto events = std::vector<history_event>{};
    auto start = std::size_t{0};
    for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
        BOOST_LEAF_AUTO(event, parse_event(std::string_view{text}.substr(start, end - start)));
        events.push_back(std::move(event));
        start = end + 1;
    }
    return events;
}

auto check_passed(const check_outcome& outcome, const std::set<std::string>& allow_empty) -> bool
{
    return outcome.violations == 0 && (outcome.judged > 0 || allow_empty.contains(outcome.name));
}

auto format_outcome(const check_outcome& outcome, const std::set<std::string>& allow_empty)
    -> std::string
{
    auto text = std::string{check_passed(outcome, allow_empty) ? "ok   " : "FAIL "};
    text += outcome.name + std::string(20 - std::min<std::size_t>(outcome.name.size(), 19), ' ');
    text += "judged " + std::to_string(outcome.judged) + ", violations " +
            std::to_string(outcome.violations);
    if (outcome.judged == 0) {
        text += allow_empty.contains(outcome.name) ? " (nothing to judge)"
                                                   : " (nothing judged proves nothing)";
    }
    text += "\n";
    if (outcome.violations > 0) {
        text += "     " + outcome.first_violation + "\n";
        for (const auto& event : outcome.extract) {
            text += "     " + format_event(event) + "\n";
        }
    }
    return text;
}

} // namespace cyclamenpost::fakes
