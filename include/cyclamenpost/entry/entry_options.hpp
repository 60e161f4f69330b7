#pragma once

#include <string>

#include "cyclamenpost/configuration/settings.hpp"
#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

/// Options of the entry daemon that do not come from the platform's settings file.
struct entry_options {
    /// Settings file of the platform.
    std::string settings_file;
    log_level level = log_level::info;
    /// Port of the metrics on the instance's own address; 0 serves none. 9464 is the customary port
    /// of Prometheus exporters in applications.
    int metrics_port = 9464;
    /// Only check the settings.
    bool check = false;
    /// The arguments asked for the help or version text, which was then printed.
    bool help_shown = false;
};

/// Reads options from the arguments, then from `CYCLAMENPOST_<FLAG>` variables. Fails with
/// `setting_invalid`, which names the flag and what is allowed.
auto parse_entry_options(int argc, const char* const* argv, const environment& variables,
                         entry_options defaults) -> result<entry_options>;

} // namespace cyclamenpost
