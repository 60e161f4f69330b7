#pragma once

#include <string>

#include "cyclamenpost/configuration/settings.hpp"
#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/entry/entry_settings.hpp"

namespace cyclamenpost {

/// Command-line options of the entry daemon; all other settings come from the platform's settings
/// file.
struct entry_options {
    /// Path of the platform's settings file.
    std::string settings_file;
    log_level level = log_level::info;
    /// Port of the metrics endpoint on the instance's own address; 0 disables it. 9464 is the
    /// customary port of Prometheus exporters in applications.
    int metrics_port = 9464;
    traffic_options traffic;
    /// Check the settings and exit.
    bool check = false;
    /// The help or version text was requested and has been printed.
    bool help_shown = false;
};

/// The text of a switch, "on" or "off".
auto switch_text(bool enabled) -> std::string;

/// Reads options from the arguments; for absent flags from `CYCLAMENPOST_<FLAG>` variables, then
/// from `defaults`. Fails with `setting_invalid`, which names the flag and the allowed values.
auto parse_entry_options(int argc, const char* const* argv, const environment& variables,
                         entry_options defaults) -> result<entry_options>;

} // namespace cyclamenpost
