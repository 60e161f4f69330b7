#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cyclamenpost/operator/operator_cli.hpp"

namespace cyclamenpost::detail {

/// The command line, read and checked.
struct cli_request {
    std::string command;
    std::vector<std::string> files;
    std::string admin;
    std::string token_file;
    std::string chat;
    std::string organisation;
    std::string model;
    bool json = false;
    /// Set when the help or version text was printed.
    bool help_shown = false;
};

/// Prints an instance's status in sentences. Missing fields are left out.
auto print_status(const nlohmann::json& status, std::ostream& out) -> void;

/// What an instance's status says is wrong, one sentence each.
auto problems_in_status(const nlohmann::json& status) -> std::vector<std::string>;

/// Prints an instance's explanation of a placement. Missing fields are left out.
auto print_explanation(const nlohmann::json& explanation, std::ostream& out) -> void;

} // namespace cyclamenpost::detail
