#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamenpost {

/// Exit statuses of the command-line program `cyclamenpost`.
enum class cli_status {
    /// The command succeeded and found no problem.
    ok = 0,
    /// A configuration file has errors, an instance reports a problem or rejects the request, or
    /// `explain` finds no target for the chat.
    problem = 1,
    /// The command line is invalid or names a file that cannot be read.
    usage = 2,
    /// The instance's administration API did not answer.
    unreachable = 3,
};

/// Runs one command of the program `cyclamenpost`. `arguments` do not include the program name.
/// Writes results to `out` and errors to `err`.
auto run_operator_command(const std::vector<std::string>& arguments, std::ostream& out,
                          std::ostream& err) -> cli_status;

} // namespace cyclamenpost
