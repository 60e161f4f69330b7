#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamenpost {

/// Exit statuses of the operator's program.
enum class cli_status {
    /// The command did what it was asked for and found nothing wrong.
    ok = 0,
    /// A text has problems, or an instance reports or refuses something.
    problem = 1,
    /// The command line is wrong or names a file that cannot be read.
    usage = 2,
    /// The instance's administration API did not answer.
    unreachable = 3,
};

/// Runs one command of the operator's program. The arguments start behind the program's name.
/// Results go to `out`, and sentences about what went wrong to `err`.
auto run_operator_command(const std::vector<std::string>& arguments, std::ostream& out,
                          std::ostream& err) -> cli_status;

} // namespace cyclamenpost
