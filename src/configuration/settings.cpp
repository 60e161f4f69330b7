#include "cyclamenpost/configuration/settings.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <sstream>

#include <tclap/CmdLine.h>
#include <unistd.h>

#include "cyclamenpost/configuration/fleet_config.hpp"

namespace cyclamenpost {

namespace {

// parses a value and stores it in the settings; returns whether the value is allowed
using store_function = std::function<bool(settings&, const std::string&)>;

struct setting_rule {
    std::string flag;
    std::string description;
    std::string allowed;
    bool required;
    store_function store;
};

using rule_list = std::vector<setting_rule>;

constexpr std::string_view variable_prefix = "CYCLAMENPOST_";

auto invalid(const std::string& flag, const std::string& value, const std::string& allowed)
    -> leaf::error_id
{
    return fail(error_id::setting_invalid, step::settings, flag,
                "the value \"" + value + "\" is not allowed; allowed: " + allowed);
}

auto is_id(const std::string& text) -> bool
{
    constexpr auto max_chars = std::size_t{64};
    const auto allowed = [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
               character == '_';
    };
    return !text.empty() && text.size() <= max_chars &&
           std::all_of(text.begin(), text.end(), allowed);
}

auto id_rule(std::string flag, std::string description, bool required, std::string settings::*field)
    -> setting_rule
{
    return {std::move(flag), std::move(description), "1 to 64 letters, digits, '-' and '_'",
            required, [field](settings& values, const std::string& text) {
                values.*field = text;
                return is_id(text);
            }};
}

auto string_rule(std::string flag, std::string description, std::string allowed,
                 std::string settings::*field, bool (*is_allowed)(std::string_view)) -> setting_rule
{
    return {std::move(flag), std::move(description), std::move(allowed), false,
            [field, is_allowed](settings& values, const std::string& text) {
                values.*field = text;
                return is_allowed(text);
            }};
}

struct number_range {
    std::uint64_t lowest;
    std::uint64_t highest;
};

auto parse_number(const std::string& text, number_range range) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < range.lowest ||
        value > range.highest) {
        return std::nullopt;
    }
    return value;
}

template <typename Number>
auto number_rule(std::string flag, std::string description, const std::string& unit,
                 number_range range, Number settings::*field) -> setting_rule
{
    auto allowed = "a whole number from " + std::to_string(range.lowest) + " to " +
                   std::to_string(range.highest) + unit;
    return {std::move(flag), std::move(description), std::move(allowed), false,
            [field, range](settings& values, const std::string& text) {
                const auto value = parse_number(text, range);
                if (value) {
                    values.*field = Number(*value);
                }
                return value.has_value();
            }};
}

// stores the path of a file; secrets are read from it after all values were stored
auto file_rule(std::string flag, std::string description, std::string settings::*field)
    -> setting_rule
{
    return {std::move(flag), std::move(description), "the path of a file", false,
            [field](settings& values, const std::string& text) {
                values.*field = text;
                return !text.empty();
            }};
}

auto level_rule() -> setting_rule
{
    return {"log-level", "Lowest level of the log events that are written.",
            "debug, info, warning or error", false, [](settings& values, const std::string& text) {
                const auto level = value_in(log_level_names, text);
                values.level = level.value_or(values.level);
                return level.has_value();
            }};
}

auto seed_peers_rule() -> setting_rule
{
    return {"seed-peers", "Bus addresses of peers to ask for the configuration at start.",
            "IP:port pairs separated by commas", false,
            [](settings& values, const std::string& text) {
                auto rest = std::istringstream{text};
                auto peer = std::string{};
                while (std::getline(rest, peer, ',')) {
                    if (!is_ip_and_port(peer)) {
                        return false;
                    }
                    values.seed_peers.push_back(peer);
                }
                return !values.seed_peers.empty();
            }};
}

auto add_identity_rules(rule_list& rules) -> void
{
    const auto* const address = "an IP address such as 127.0.0.1";
    const auto* const peer = "an IP address and port such as 127.0.0.1:8082";
    constexpr auto ports = number_range{0, 65535};
    rules.push_back(id_rule("instance", "Id of this instance, unique in the fleet.", true,
                            &settings::instance));
    rules.push_back(id_rule("zone", "Availability zone of this instance.", true, &settings::zone));
    rules.push_back(
        id_rule("region", "Region of the availability zone.", false, &settings::region));
    rules.push_back(string_rule("listen-address", "Address of the listener for callers.", address,
                                &settings::listen_address, is_ip));
    rules.push_back(number_rule("listen-port",
                                "Port of the listener for callers; 0 picks a free one.", "", ports,
                                &settings::listen_port));
    rules.push_back(string_rule("admin-address", "Address of the administration API.", address,
                                &settings::admin_address, is_ip));
    rules.push_back(number_rule("admin-port", "Port of the administration API; 0 picks a free one.",
                                "", ports, &settings::admin_port));
    rules.push_back(string_rule("bus", "Address of the message bus between instances.", peer,
                                &settings::bus, is_ip_and_port));
    rules.push_back(string_rule("platform", "Address of the platform's service.", peer,
                                &settings::platform, is_ip_and_port));
    rules.push_back(seed_peers_rule());
}

auto add_file_rules(rule_list& rules) -> void
{
    rules.push_back(file_rule("admin-token-file",
                              "File with the bearer token of the administration API.",
                              &settings::admin_token));
    rules.push_back(file_rule("curve-secret-file",
                              "File with the secret CURVE key of the message bus.",
                              &settings::curve_secret_key));
    rules.push_back(file_rule("curve-public-file",
                              "File with the public CURVE key of the message bus.",
                              &settings::curve_public_key));
    rules.push_back(file_rule("history-file",
                              "File for the history of requests as JSON lines, for tests.",
                              &settings::history_file));
    rules.push_back(level_rule());
}

auto add_limit_rules(rule_list& rules) -> void
{
    rules.push_back(number_rule("body-bytes", "Largest body of a request from a caller.", " bytes",
                                {1024, 256U << 20U}, &settings::max_body_bytes));
    rules.push_back(number_rule("request-seconds",
                                "Longest time in which a caller may send a request.", " seconds",
                                {1, 3600}, &settings::request_timeout));
    rules.push_back(number_rule("max-connections",
                                "Largest number of open connections of this process.", "",
                                {16, 65535}, &settings::max_connections));
    rules.push_back(number_rule("chat-entries",
                                "Largest number of chats whose last target is remembered.", "",
                                {100, 10000000}, &settings::chat_entries));
    rules.push_back(number_rule("idempotency-records",
                                "Largest number of calls whose outcome is remembered.", "",
                                {100, 10000000}, &settings::idempotency_records));
    rules.push_back(number_rule("idempotency-seconds",
                                "Time for which the outcome of a call is remembered.", " seconds",
                                {1, 86400}, &settings::idempotency_retention));
    rules.push_back(number_rule("queue-interactive-ms",
                                "Longest wait of an interactive request in the queue.", " ms",
                                {1, 600000}, &settings::interactive_queue_timeout));
    rules.push_back(number_rule("queue-summary-ms", "Longest wait of a summary in the queue.",
                                " ms", {1, 600000}, &settings::summary_queue_timeout));
    rules.push_back(number_rule("drain-seconds",
                                "Longest wait at shutdown for requests in progress; 0: no limit.",
                                " seconds", {0, 86400}, &settings::drain_timeout));
}

auto all_rules() -> rule_list
{
    auto rules = rule_list{};
    add_identity_rules(rules);
    add_file_rules(rules);
    add_limit_rules(rules);
    return rules;
}

// an unparsed value from the arguments or the environment
struct raw_value {
    const setting_rule* rule;
    std::string value;
};

struct raw_values {
    std::vector<raw_value> values;
    bool help_shown = false;
};

using flag_argument = std::unique_ptr<TCLAP::ValueArg<std::string>>;

auto read_arguments(const std::vector<std::string>& arguments, const rule_list& rules)
    -> result<raw_values>
{
    auto raw = raw_values{};
    try {
        auto command = TCLAP::CmdLine("Router instance of a cyclamenpost fleet. Each flag may also "
                                      "be set as CYCLAMENPOST_<FLAG> in the environment.",
                                      ' ', CYCLAMENPOST_VERSION);
        command.setExceptionHandling(false);
        auto flags = std::vector<flag_argument>{};
        for (const auto& rule : rules) {
            flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
                "", rule.flag, rule.description + " Allowed: " + rule.allowed + ".", false, "",
                "value", command));
        }
        auto copy = arguments;
        command.parse(copy);
        for (std::size_t i = 0; i < rules.size(); ++i) {
            if (flags[i]->isSet()) {
                raw.values.push_back({&rules[i], flags[i]->getValue()});
            }
        }
    }
    catch (const TCLAP::ExitException&) {
        raw.help_shown = true;
    }
    catch (const TCLAP::ArgException& failure) {
        return fail(error_id::setting_invalid, step::settings, failure.argId(),
                    failure.error() + "; --help lists the allowed flags");
    }
    return raw;
}

auto add_variables(const environment& variables, const rule_list& rules, raw_values& raw)
    -> result<void>
{
    auto names = std::vector<std::string>{};
    for (const auto& rule : rules) {
        names.push_back(variable_name(rule.flag));
    }
    for (const auto& variable : variables) {
        if (!variable.name.starts_with(variable_prefix)) {
            continue;
        }
        const auto found = std::find(names.begin(), names.end(), variable.name);
        if (found == names.end()) {
            const auto near = nearest_name(variable.name, names);
            return fail(error_id::setting_invalid, step::settings, variable.name,
                        "unknown setting" + (near.empty() ? "" : "; did you mean " + near + "?"));
        }
        const auto* rule = &rules[static_cast<std::size_t>(found - names.begin())];
        const auto set_by_flag = std::any_of(raw.values.begin(), raw.values.end(),
                                             [&](const auto& each) { return each.rule == rule; });
        if (!set_by_flag) {
            raw.values.push_back({rule, variable.value});
        }
    }
    return {};
}

auto store_values(const rule_list& rules, const raw_values& raw) -> result<settings>
{
    auto values = settings{};
    auto stored = std::set<const setting_rule*>{};
    for (const auto& [rule, value] : raw.values) {
        if (!rule->store(values, value)) {
            return invalid(rule->flag, value, rule->allowed);
        }
        stored.insert(rule);
    }
    for (const auto& rule : rules) {
        if (rule.required && !stored.contains(&rule)) {
            return fail(error_id::setting_invalid, step::settings, rule.flag,
                        "the setting is missing; allowed: " + rule.allowed);
        }
    }
    return values;
}

// replaces the path of a secret file by the first line of the file
auto read_secret(const std::string& flag, std::string& path_and_value) -> result<void>
{
    constexpr auto max_line_bytes = std::size_t{4096};
    if (path_and_value.empty()) {
        return {};
    }
    auto file = std::ifstream{path_and_value};
    auto line = std::string{};
    if (!std::getline(file, line) || line.empty() || line.size() > max_line_bytes) {
        return fail(error_id::setting_file_unreadable, step::settings, flag,
                    "the file \"" + path_and_value +
                        "\" cannot be read; allowed: a readable file with one line of text");
    }
    path_and_value = line;
    return {};
}

auto check_curve_key(const std::string& flag, const std::string& key) -> result<void>
{
    // Z85 encodes 32 bytes as 40 characters (ZeroMQ RFC 32)
    constexpr auto key_chars = std::size_t{40};
    if (!key.empty() && key.size() != key_chars) {
        return fail(error_id::setting_invalid, step::settings, flag,
                    "the key in the file has " + std::to_string(key.size()) +
                        " characters; allowed: 40 characters in Z85");
    }
    return {};
}

auto read_secrets(settings& values) -> result<void>
{
    BOOST_LEAF_CHECK(read_secret("admin-token-file", values.admin_token));
    BOOST_LEAF_CHECK(read_secret("curve-secret-file", values.curve_secret_key));
    BOOST_LEAF_CHECK(read_secret("curve-public-file", values.curve_public_key));
    BOOST_LEAF_CHECK(check_curve_key("curve-secret-file", values.curve_secret_key));
    BOOST_LEAF_CHECK(check_curve_key("curve-public-file", values.curve_public_key));
    return {};
}

auto check_combinations(const settings& values) -> result<void>
{
    if (values.curve_secret_key.empty() != values.curve_public_key.empty()) {
        return fail(error_id::setting_invalid, step::settings, "curve-secret-file",
                    "only one of the two CURVE key files is set; allowed: both or none");
    }
    if (values.admin_token.empty() && !values.admin_address.starts_with("127.")) {
        return fail(error_id::setting_invalid, step::settings, "admin-address",
                    "the value \"" + values.admin_address +
                        "\" is reachable from other machines; allowed: such an address together "
                        "with admin-token-file, otherwise one that starts with 127.");
    }
    const auto same_port = values.listen_port != 0 && values.listen_port == values.admin_port;
    if (same_port && values.listen_address == values.admin_address) {
        return invalid("admin-port", std::to_string(values.admin_port),
                       "a port other than listen-port");
    }
    return {};
}

} // namespace

auto process_environment() -> environment
{
    auto variables = environment{};
    for (auto** entry = environ; *entry != nullptr; ++entry) {
        const auto text = std::string_view(*entry);
        const auto equals = text.find('=');
        if (equals != std::string_view::npos) {
            variables.push_back(
                {std::string(text.substr(0, equals)), std::string(text.substr(equals + 1))});
        }
    }
    return variables;
}

auto variable_name(std::string_view flag) -> std::string
{
    auto name = std::string(variable_prefix);
    for (const auto character : flag) {
        const auto upper = std::toupper(static_cast<unsigned char>(character));
        name += character == '-' ? '_' : static_cast<char>(upper);
    }
    return name;
}

auto parse_settings(int argc, const char* const* argv, const environment& variables)
    -> result<settings>
{
    const auto rules = all_rules();
    const auto arguments = std::vector<std::string>(argv, argv + argc);
    BOOST_LEAF_AUTO(raw, read_arguments(arguments, rules));
    if (raw.help_shown) {
        auto values = settings{};
        values.help_shown = true;
        return values;
    }
    BOOST_LEAF_CHECK(add_variables(variables, rules, raw));
    BOOST_LEAF_AUTO(values, store_values(rules, raw));
    BOOST_LEAF_CHECK(read_secrets(values));
    BOOST_LEAF_CHECK(check_combinations(values));
    return values;
}

} // namespace cyclamenpost
