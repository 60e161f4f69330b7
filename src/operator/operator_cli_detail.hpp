#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cyclamenpost/operator/operator_cli.hpp"

namespace cyclamenpost::detail {

/// Parsed command line of the program `cyclamenpost`.
struct cli_request {
    std::string command;
    std::vector<std::string> files;
    /// Address "IP:port" of the administration API.
    std::string admin_address;
    std::string token_file;
    std::string chat;
    std::string organisation;
    std::string model;
    /// Whether to print results as JSON.
    bool json = false;
    /// Whether the help or version text was printed, so that no command is run.
    bool help_shown = false;
};

/// Prints the status of an instance in sentences. "?" stands for a missing field.
auto print_status(const nlohmann::json& status, std::ostream& out) -> void;

/// Returns one sentence for each problem that the status of an instance reports.
auto problems_in_status(const nlohmann::json& status) -> std::vector<std::string>;

/// Prints in sentences which target an instance would choose for a chat, and the other candidates.
/// "?" stands for a missing field.
auto print_explanation(const nlohmann::json& explanation, std::ostream& out) -> void;

} // namespace cyclamenpost::detail
