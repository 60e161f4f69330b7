#include "cyclamenpost/configuration/fleet_config.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "fleet_config_detail.hpp"

namespace cyclamenpost {

namespace detail {

auto is_full(const problem_list& problems) -> bool
{
    return problems.size() >= max_text_problems;
}

auto add_problem(problem_list& problems, error_id id, const toml::source_region& where,
                 std::string message, std::string hint) -> void
{
    if (is_full(problems)) {
        return;
    }
    problems.push_back(
        {id, where.begin.line, where.begin.column, std::move(message), std::move(hint)});
}

auto hint_for(std::string_view word, const std::vector<std::string>& known) -> std::string
{
    // a longer list does not help the operator
    constexpr auto max_listed_names = std::size_t{8};
    const auto near = nearest_name(word, known);
    if (!near.empty()) {
        return "did you mean \"" + near + "\"?";
    }
    if (known.empty() || known.size() > max_listed_names) {
        return {};
    }
    auto hint = std::string{"known: "};
    for (const auto& name : known) {
        hint += (&name == known.data() ? "" : ", ") + name;
    }
    return hint;
}

auto position_of(const toml::table& root, std::string_view section, std::size_t section_index,
                 std::string_view key, std::size_t index) -> toml::source_region
{
    const auto list = root[section];
    const auto entry = list.is_array() ? list[section_index] : list;
    const auto field = entry[key];
    const auto element = field[index];
    for (const auto& view : {element, field, entry, list}) {
        if (view) {
            return view.node()->source();
        }
    }
    return root.source();
}

} // namespace detail

namespace {

struct checked_text {
    fleet_config config;
    std::vector<text_problem> problems;
};

auto sort_problems(std::vector<text_problem>& problems) -> void
{
    std::stable_sort(problems.begin(), problems.end(), [](const auto& left, const auto& right) {
        return std::tie(left.line, left.column) < std::tie(right.line, right.column);
    });
}

auto check(std::string_view text) -> checked_text
{
    auto checked = checked_text{};
    if (text.size() > fleet_text_max_bytes) {
        checked.problems.push_back(
            {error_id::text_too_large, 1, 1,
             "the text has " + std::to_string(text.size()) + " bytes",
             "at most " + std::to_string(fleet_text_max_bytes) + " bytes are allowed"});
        return checked;
    }
    const auto parsed = toml::parse(text);
    if (!parsed) {
        detail::add_problem(checked.problems, error_id::text_syntax, parsed.error().source(),
                            std::string(parsed.error().description()),
                            "the text must be valid TOML");
        return checked;
    }
    checked.config = detail::read_sections(parsed.table(), checked.problems);
    detail::check_references(parsed.table(), checked.config, checked.problems);
    sort_problems(checked.problems);
    return checked;
}

} // namespace

auto describe(const text_problem& problem) -> std::string
{
    auto text = "line " + std::to_string(problem.line) + ", column " +
                std::to_string(problem.column) + ": " + problem.message;
    if (!problem.hint.empty()) {
        text += " (" + problem.hint + ")";
    }
    return text;
}

auto parse_fleet_config(std::string_view text) -> result<fleet_config>
{
    auto checked = check(text);
    if (!checked.problems.empty()) {
        const auto& first = checked.problems.front();
        return fail(first.id, step::parse_text, "operator text", describe(first));
    }
    return std::move(checked.config);
}

auto check_fleet_config(std::string_view text) -> std::vector<text_problem>
{
    return check(text).problems;
}

auto edit_distance(std::string_view left, std::string_view right) -> std::size_t
{
    auto row = std::vector<std::size_t>(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const auto substitution = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitution, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

auto nearest_name(std::string_view word, const std::vector<std::string>& known) -> std::string
{
    // no valid name is longer; the computation of the distance takes quadratic time
    constexpr auto max_compared_chars = std::size_t{128};
    auto best = std::string{};
    // a distance above a third of the word's length, rounded up, is not considered a misspelling
    auto best_distance = (word.size() + 2) / 3 + 1;
    if (word.size() > max_compared_chars) {
        return best;
    }
    for (const auto& name : known) {
        const auto distance = edit_distance(word, name);
        if (distance < best_distance && distance < name.size()) {
            best = name;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace cyclamenpost
