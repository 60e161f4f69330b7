#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/detail/toml.hpp"

#include "cyclamenpost/configuration/fleet_config.hpp"

namespace cyclamenpost::detail {

using problem_list = std::vector<text_problem>;

/// Whether the list has `max_text_problems` entries. Further problems are dropped, so callers need
/// not compute their hints.
auto is_full(const problem_list& problems) -> bool;

/// Adds a problem at a position of the text unless the list is full.
auto add_problem(problem_list& problems, error_id id, const toml::source_region& where,
                 std::string message, std::string hint = {}) -> void;

/// Hint "did you mean" with the nearest known name. When none is near, the list of known names, or
/// an empty text if there are too many.
auto hint_for(std::string_view word, const std::vector<std::string>& known) -> std::string;

/// Position of element `index` of the array `key` in a table of a section, or of the nearest
/// enclosing element that the text has. `section_index` counts the section's tables.
auto position_of(const toml::table& root, std::string_view section, std::size_t section_index,
                 std::string_view key, std::size_t index = 0) -> toml::source_region;

/// Reads all sections. Every table of an array yields one entry even if it has problems, so that
/// indexes are the same in the struct and in the text.
auto read_sections(const toml::table& root, problem_list& problems) -> fleet_config;

/// Checks that involve more than one value: duplicate names, unknown names and dependency cycles.
auto check_references(const toml::table& root, const fleet_config& config, problem_list& problems)
    -> void;

} // namespace cyclamenpost::detail
