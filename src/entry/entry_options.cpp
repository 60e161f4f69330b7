#include "cyclamenpost/entry/entry_options.hpp"

#include <algorithm>
#include <charconv>

#include <tclap/CmdLine.h>

namespace cyclamenpost {

namespace {

constexpr auto highest_port = 65535;

auto value_of(TCLAP::ValueArg<std::string>& flag, const environment& variables) -> std::string
{
    if (flag.isSet()) {
        return flag.getValue();
    }
    const auto name = variable_name(flag.getName());
    const auto found = std::find_if(variables.begin(), variables.end(),
                                    [&](const auto& variable) { return variable.name == name; });
    return found == variables.end() ? flag.getValue() : found->value;
}

auto parse_port(const std::string& text) -> result<int>
{
    auto port = -1;
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, port);
    if (parsed.ec != std::errc{} || parsed.ptr != last || port < 0 || port > highest_port) {
        return fail(error_id::setting_invalid, step::settings, "metrics-port",
                    "the value \"" + text + "\" is not a port number; allowed: 0 to 65535");
    }
    return port;
}

/// Reads a switch, "on" or "off".
auto parse_switch(TCLAP::ValueArg<std::string>& flag, const environment& variables) -> result<bool>
{
    const auto text = value_of(flag, variables);
    if (text != "on" && text != "off") {
        return fail(error_id::setting_invalid, step::settings, flag.getName(),
                    "the value \"" + text + "\" is not a switch; allowed: on, off");
    }
    return text == "on";
}

} // namespace

auto switch_text(bool enabled) -> std::string
{
    return enabled ? "on" : "off";
}

auto parse_entry_options(int argc, const char* const* argv, const environment& variables,
                         entry_options defaults) -> result<entry_options>
{
    using text = TCLAP::ValueArg<std::string>;
    auto line = TCLAP::CmdLine{"Entry instance of a cyclamenpost fleet. Flags may also be set by "
                               "environment variables CYCLAMENPOST_<FLAG>.",
                               ' ', CYCLAMENPOST_VERSION};
    line.setExceptionHandling(false);
    auto file = text{"",    "settings-file",        "path of the platform's settings file",
                     false, defaults.settings_file, "PATH",
                     line};
    auto level = text{"",
                      "log-level",
                      "lowest level that is logged: debug, info, warning or error",
                      false,
                      std::string(name_in(log_level_names, defaults.level)),
                      "LEVEL",
                      line};
    auto port = text{"",
                     "metrics-port",
                     "port of the metrics endpoint; 0 disables it",
                     false,
                     std::to_string(defaults.metrics_port),
                     "PORT",
                     line};
    auto fleet_load =
        text{"",
             "fleet-load",
             "exchange requests in flight, failures and pace of targets with other instances",
             false,
             switch_text(defaults.traffic.fleet_load),
             "on|off",
             line};
    auto even_load =
        text{"",
             "even-load",
             "choose targets so that instances with the same old reports spread their requests",
             false,
             switch_text(defaults.traffic.even_load),
             "on|off",
             line};
    auto admission = text{"",
                          "admission",
                          "order waiting requests and reject those that cannot be served",
                          false,
                          switch_text(defaults.traffic.admission),
                          "on|off",
                          line};
    auto early_retry = text{"",
                            "early-retry",
                            "leave a target that is silent for longer than its service usually is",
                            false,
                            switch_text(defaults.traffic.early_retry),
                            "on|off",
                            line};
    auto check = TCLAP::SwitchArg{"", "check", "check the settings and exit", line};
    try {
        line.parse(argc, argv);
    }
    catch (const TCLAP::ExitException&) {
        defaults.help_shown = true;
        return defaults;
    }
    catch (const TCLAP::ArgException& failure) {
        return fail(error_id::setting_invalid, step::settings, failure.argId(), failure.error());
    }
    defaults.settings_file = value_of(file, variables);
    defaults.check = check.getValue();
    const auto named = value_in(log_level_names, value_of(level, variables));
    if (!named) {
        return fail(error_id::setting_invalid, step::settings, "log-level",
                    "allowed: debug, info, warning, error");
    }
    defaults.level = *named;
    BOOST_LEAF_ASSIGN(defaults.metrics_port, parse_port(value_of(port, variables)));
    BOOST_LEAF_ASSIGN(defaults.traffic.fleet_load, parse_switch(fleet_load, variables));
    BOOST_LEAF_ASSIGN(defaults.traffic.even_load, parse_switch(even_load, variables));
    BOOST_LEAF_ASSIGN(defaults.traffic.admission, parse_switch(admission, variables));
    BOOST_LEAF_ASSIGN(defaults.traffic.early_retry, parse_switch(early_retry, variables));
    return defaults;
}

} // namespace cyclamenpost
