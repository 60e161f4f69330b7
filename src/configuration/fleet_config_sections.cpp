#include <algorithm>
#include <cctype>

#include "cyclamenpost/core/address.hpp"
#include "fleet_config_detail.hpp"

namespace cyclamenpost::detail {

namespace {

constexpr auto max_name_chars = std::size_t{64};
constexpr auto max_model_name_chars = std::size_t{128};
constexpr auto max_timeout_ms = std::int64_t{3600000};

// reads one table and records the requested keys; any other key of the table is unknown
struct table_reader {
    const toml::table& table;
    std::string section;
    problem_list& problems;
    std::vector<std::string> requested_keys;
};

struct integer_range {
    std::int64_t lowest;
    std::int64_t highest;
};

struct decimal_range {
    double lowest;
    double highest;
};

enum class presence { required, optional };

auto report_problem(table_reader& reader, error_id id, const toml::node& node, std::string message,
                    std::string hint) -> void
{
    add_problem(reader.problems, id, node.source(), std::move(message), std::move(hint));
}

auto find_key(table_reader& reader, std::string_view key, presence needed = presence::optional)
    -> const toml::node*
{
    reader.requested_keys.emplace_back(key);
    const auto* node = reader.table.get(key);
    if (node == nullptr && needed == presence::required) {
        report_problem(reader, error_id::text_missing_key, reader.table,
                       reader.section + " has no " + std::string(key),
                       "add a line " + std::string(key) + " = ...");
    }
    return node;
}

auto report_wrong_type(table_reader& reader, const toml::node& node, std::string_view key,
                       std::string_view expected) -> void
{
    report_problem(reader, error_id::text_wrong_type, node,
                   std::string(key) + " of " + reader.section + " has the wrong type",
                   "expected " + std::string(expected));
}

auto is_name(std::string_view text, std::string_view extra, std::size_t max_chars) -> bool
{
    const auto allowed = [&](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
               extra.find(character) != std::string_view::npos;
    };
    return !text.empty() && text.size() <= max_chars &&
           std::all_of(text.begin(), text.end(), allowed);
}

auto check_name(table_reader& reader, const toml::node& node, std::string_view key,
                const std::string& name) -> void
{
    const auto models = key == "models";
    if (!is_name(name, models ? "._-:/" : "._-", models ? max_model_name_chars : max_name_chars)) {
        report_problem(reader, error_id::text_value_out_of_range, node,
                       "\"" + name.substr(0, max_model_name_chars) + "\" is not a valid name in " +
                           std::string(key) + " of " + reader.section,
                       "letters, digits, '.', '_' and '-' are allowed, at most " +
                           std::to_string(max_name_chars) + "; models may also have ':' and '/'");
    }
}

auto read_string(table_reader& reader, std::string_view key, std::string& value,
                 presence needed = presence::required) -> const toml::node*
{
    const auto* node = find_key(reader, key, needed);
    if (node == nullptr) {
        return nullptr;
    }
    if (!node->is_string()) {
        report_wrong_type(reader, *node, key, "a string in quotation marks");
        return nullptr;
    }
    value = node->as_string()->get();
    return node;
}

auto read_name(table_reader& reader, std::string_view key, std::string& value,
               presence needed = presence::required) -> void
{
    const auto* node = read_string(reader, key, value, needed);
    if (node != nullptr) {
        check_name(reader, *node, key, value);
    }
}

auto read_names(table_reader& reader, std::string_view key, std::vector<std::string>& values)
    -> void
{
    const auto* node = find_key(reader, key);
    if (node == nullptr) {
        return;
    }
    if (!node->is_array()) {
        report_wrong_type(reader, *node, key, "a list such as [\"one\", \"two\"]");
        return;
    }
    for (const auto& element : *node->as_array()) {
        // an invalid element yields an empty name, so that indexes are the same as in the text
        auto& value = values.emplace_back();
        if (!element.is_string()) {
            report_wrong_type(reader, element, key, "a list of strings in quotation marks");
            continue;
        }
        value = element.as_string()->get();
        check_name(reader, element, key, value);
    }
}

auto read_boolean(table_reader& reader, std::string_view key, bool& value) -> void
{
    const auto* node = find_key(reader, key);
    if (node == nullptr) {
        return;
    }
    if (!node->is_boolean()) {
        report_wrong_type(reader, *node, key, "true or false");
        return;
    }
    value = node->as_boolean()->get();
}

auto read_integer(table_reader& reader, std::string_view key, integer_range range)
    -> std::optional<std::int64_t>
{
    const auto* node = find_key(reader, key);
    if (node == nullptr) {
        return std::nullopt;
    }
    if (!node->is_integer()) {
        report_wrong_type(reader, *node, key, "a whole number");
        return std::nullopt;
    }
    const auto value = node->as_integer()->get();
    if (value < range.lowest || value > range.highest) {
        report_problem(reader, error_id::text_value_out_of_range, *node,
                       std::string(key) + " = " + std::to_string(value) + " of " + reader.section +
                           " is out of range",
                       "allowed are " + std::to_string(range.lowest) + " to " +
                           std::to_string(range.highest));
        return std::nullopt;
    }
    return value;
}

template <typename Number>
auto read_number(table_reader& reader, std::string_view key, integer_range range, Number& value)
    -> void
{
    value = static_cast<Number>(read_integer(reader, key, range).value_or(value));
}

auto read_timeout(table_reader& reader, std::string_view key, std::chrono::milliseconds& value)
    -> void
{
    const auto whole = read_integer(reader, key, {1, max_timeout_ms});
    value = std::chrono::milliseconds{whole.value_or(value.count())};
}

auto format_number(double value) -> std::string
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

auto read_decimal(table_reader& reader, std::string_view key, decimal_range range, double& value)
    -> void
{
    const auto* node = find_key(reader, key);
    if (node == nullptr) {
        return;
    }
    if (!node->is_number()) {
        report_wrong_type(reader, *node, key, "a number");
        return;
    }
    const auto number = node->value<double>().value_or(0.0);
    // the negation also rejects NaN
    if (!(number >= range.lowest && number <= range.highest)) {
        report_problem(reader, error_id::text_value_out_of_range, *node,
                       std::string(key) + " of " + reader.section + " is out of range",
                       "allowed are " + format_number(range.lowest) + " to " +
                           format_number(range.highest));
        return;
    }
    value = number;
}

auto report_unknown_keys(table_reader& reader) -> void
{
    for (const auto& [key, node] : reader.table) {
        const auto name = std::string(key.str());
        if (is_full(reader.problems)) {
            return;
        }
        if (std::find(reader.requested_keys.begin(), reader.requested_keys.end(), name) !=
            reader.requested_keys.end()) {
            continue;
        }
        add_problem(reader.problems, error_id::text_unknown_key, key.source(),
                    "unknown key \"" + name.substr(0, max_name_chars) + "\" in " + reader.section,
                    hint_for(name, reader.requested_keys));
    }
}

auto read_fleet(table_reader reader) -> fleet_section
{
    auto fleet = fleet_section{};
    read_name(reader, "name", fleet.name);
    read_decimal(reader, "load_multiple", {1.01, 10.0}, fleet.load_multiple);
    read_names(reader, "zones", fleet.zones);
    read_names(reader, "zones_out", fleet.zones_out);
    read_decimal(reader, "weight_store_rate", {0.01, 1000.0}, fleet.weight_store_rate);
    report_unknown_keys(reader);
    return fleet;
}

auto read_kind(table_reader& reader, service_kind& kind) -> void
{
    auto name = std::string{};
    const auto* node = read_string(reader, "kind", name);
    if (node == nullptr) {
        return;
    }
    const auto value = value_in(service_kind_names, name);
    if (!value) {
        report_problem(reader, error_id::text_value_out_of_range, *node,
                       "\"" + name.substr(0, max_name_chars) + "\" is not a kind of service",
                       hint_for(name, {"model", "application"}));
        return;
    }
    kind = *value;
}

auto check_kind(table_reader& reader, const service_config& service) -> void
{
    const auto is_model = service.kind == service_kind::model;
    if (is_model && service.models.empty()) {
        report_problem(reader, error_id::text_missing_key, reader.table,
                       reader.section + " is of kind \"model\" but has no models",
                       "add models = [\"...\"]");
    }
    if (!is_model && !service.models.empty()) {
        report_problem(reader, error_id::text_value_out_of_range, *reader.table.get("models"),
                       reader.section + " has models but is not of kind \"model\"",
                       "remove models or set kind = \"model\"");
    }
}

auto check_repeatable(table_reader& reader, const service_config& service) -> void
{
    const auto known =
        std::vector<std::string>{"GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"};
    if (service.repeatable && !service.repeatable_methods.empty()) {
        // the operator may have meant these methods only, and a repeated call of another method,
        // such as a booking, cannot be undone
        report_problem(reader, error_id::text_value_out_of_range,
                       *reader.table.get("repeatable_methods"),
                       reader.section + " sets repeatable = true as well as repeatable_methods",
                       "keep repeatable = true for all methods, or only the list");
    }
    for (std::size_t i = 0; i < service.repeatable_methods.size(); ++i) {
        const auto& method = service.repeatable_methods[i];
        if (method.empty() || is_full(reader.problems) ||
            std::find(known.begin(), known.end(), method) != known.end()) {
            continue;
        }
        const auto& list = *reader.table.get("repeatable_methods")->as_array();
        report_problem(reader, error_id::text_unknown_name, *list.get(i),
                       "\"" + method.substr(0, max_name_chars) + "\" is not an HTTP method",
                       hint_for(method, known));
    }
}

auto read_service(table_reader reader) -> service_config
{
    constexpr auto max_cold_limit = 10000;
    auto service = service_config{};
    read_name(reader, "name", service.name);
    read_kind(reader, service.kind);
    read_names(reader, "models", service.models);
    read_names(reader, "depends_on", service.depends_on);
    read_number(reader, "cold_limit", {1, max_cold_limit}, service.cold_limit);
    read_boolean(reader, "repeatable", service.repeatable);
    read_names(reader, "repeatable_methods", service.repeatable_methods);
    read_timeout(reader, "connect_timeout_ms", service.connect_timeout);
    read_timeout(reader, "first_byte_timeout_ms", service.first_byte_timeout);
    read_timeout(reader, "request_timeout_ms", service.request_timeout);
    check_kind(reader, service);
    check_repeatable(reader, service);
    report_unknown_keys(reader);
    return service;
}

auto read_target(table_reader reader) -> target_config
{
    auto target = target_config{};
    read_name(reader, "name", target.name);
    read_name(reader, "service", target.service);
    read_name(reader, "zone", target.zone);
    const auto* address = read_string(reader, "address", target.address);
    if (address != nullptr && !is_ip_and_port(target.address)) {
        report_problem(reader, error_id::text_value_out_of_range, *address,
                       "\"" + target.address.substr(0, max_name_chars) +
                           "\" is not a valid address",
                       "expected an IP address and port such as \"10.0.0.7:9001\"");
    }
    read_names(reader, "models", target.models);
    read_boolean(reader, "checks_fencing", target.checks_fencing);
    report_unknown_keys(reader);
    return target;
}

auto read_organisation(table_reader reader) -> organisation_config
{
    constexpr auto max_weight = 1000;
    constexpr auto max_concurrency = 1000000;
    auto organisation = organisation_config{};
    read_name(reader, "name", organisation.name);
    read_number(reader, "weight", {1, max_weight}, organisation.weight);
    read_number(reader, "max_concurrent", {1, max_concurrency}, organisation.max_concurrent);
    report_unknown_keys(reader);
    return organisation;
}

template <typename Entry>
auto read_list(table_reader& root, std::string_view section, Entry (*read)(table_reader))
    -> std::vector<Entry>
{
    auto entries = std::vector<Entry>{};
    const auto* node = find_key(root, section);
    if (node == nullptr) {
        return entries;
    }
    if (!node->is_array_of_tables()) {
        report_wrong_type(root, *node, section,
                          "one or more [[" + std::string(section) + "]] tables");
        return entries;
    }
    for (const auto& element : *node->as_array()) {
        const auto& table = *element.as_table();
        const auto name = table["name"].value_or(std::string{});
        const auto label = std::string(section) +
                           (name.empty() ? "" : " \"" + name.substr(0, max_name_chars) + "\"");
        entries.push_back(read({table, label, root.problems, {}}));
    }
    return entries;
}

} // namespace

auto read_sections(const toml::table& root, problem_list& problems) -> fleet_config
{
    auto config = fleet_config{};
    auto reader = table_reader{root, "the text", problems, {}};
    const auto* fleet = find_key(reader, "fleet", presence::required);
    if (fleet != nullptr && fleet->is_table()) {
        config.fleet = read_fleet({*fleet->as_table(), "[fleet]", problems, {}});
    }
    else if (fleet != nullptr) {
        report_wrong_type(reader, *fleet, "fleet", "a [fleet] table");
    }
    config.services = read_list(reader, "service", read_service);
    config.targets = read_list(reader, "target", read_target);
    config.organisations = read_list(reader, "organisation", read_organisation);
    report_unknown_keys(reader);
    return config;
}

} // namespace cyclamenpost::detail
