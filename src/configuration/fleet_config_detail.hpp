#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/detail/toml.hpp"

#include "cyclamenpost/configuration/fleet_config.hpp"

namespace cyclamenpost::detail {

using problem_list = std::vector<text_problem>;

/// Whether further problems are dropped, so that looking for their hints can be left out.
auto is_full(const problem_list& problems) -> bool;

/// Adds a problem at a position of the text unless the list is full.
auto add_problem(problem_list& problems, error_id id, const toml::source_region& where,
                 std::string message, std::string hint = {}) -> void;

/// Hint "did you mean" with the nearest known name, or a list of the known names when none is near.
auto hint_for(std::string_view word, const std::vector<std::string>& known) -> std::string;

/// Position of entry `index` of a section's array `key`, or of the nearest enclosing element.
auto position_of(const toml::table& root, std::string_view section, std::size_t section_index,
                 std::string_view key, std::size_t index = 0) -> toml::source_region;

/// Reads all sections. Every table of an array yields one entry, also when it has problems, so
/// that indexes of the struct and of the text agree.
auto read_sections(const toml::table& root, problem_list& problems) -> fleet_config;

/// Checks what depends on more than one value: duplicate and unknown names, and cycles.
auto check_references(const toml::table& root, const fleet_config& config, problem_list& problems)
    -> void;

} // namespace cyclamenpost::detail
