#include <algorithm>

#include "operator_cli_detail.hpp"

namespace cyclamenpost::detail {

namespace {

using nlohmann::json;

// Returns a field of any type as text, or `fallback` if it is absent or null.
auto text_of(const json& object, const char* key, std::string fallback = "?") -> std::string
{
    const auto field = object.is_object() ? object.find(key) : object.end();
    if (!object.is_object() || field == object.end() || field->is_null()) {
        return fallback;
    }
    return field->is_string() ? field->get<std::string>() : field->dump();
}

auto number_of(const json& object, const char* key) -> double
{
    const auto field = object.is_object() ? object.find(key) : object.end();
    const auto is_number = object.is_object() && field != object.end() && field->is_number();
    return is_number ? field->get<double>() : 0.0;
}

// Returns a field, or null if it is absent.
auto field_of(const json& object, const char* key) -> json
{
    const auto field = object.is_object() ? object.find(key) : object.end();
    return object.is_object() && field != object.end() ? *field : json{};
}

// Returns a field that is an array, or an empty array.
auto array_of(const json& object, const char* key) -> json
{
    const auto field = field_of(object, key);
    return field.is_array() ? field : json::array();
}

// Returns the refused configuration versions that are not older than the one in force.
auto current_refusals(const json& status) -> json
{
    const auto config = field_of(status, "config");
    auto current = json::array();
    for (const auto& refused : array_of(config, "refused")) {
        // Some instances list refused versions as plain numbers instead of objects.
        const auto version =
            refused.is_number() ? refused.get<double>() : number_of(refused, "version");
        if (version >= number_of(config, "version")) {
            current.push_back(refused);
        }
    }
    return current;
}

auto print_members(const json& status, std::ostream& out) -> void
{
    for (const auto& member : array_of(status, "members")) {
        out << "Member " << text_of(member, "id") << " in zone " << text_of(member, "zone")
            << " is " << text_of(member, "state") << ".\n";
    }
}

auto print_targets(const json& status, std::ostream& out) -> void
{
    for (const auto& target : array_of(status, "targets")) {
        out << "Target " << text_of(target, "name") << " in zone " << text_of(target, "zone");
        const auto gate = text_of(target, "gate", "");
        if (text_of(target, "state", "").empty()) {
            out << (gate.empty() ? " has no known gate.\n"
                                 : " has its gate at instance " + gate + ".\n");
            continue;
        }
        out << " is " << text_of(target, "state") << " with load " << text_of(target, "load")
            << " of at most " << text_of(target, "bound") << ".\n";
    }
}

} // namespace

auto print_status(const json& status, std::ostream& out) -> void
{
    const auto config = field_of(status, "config");
    out << "Instance " << text_of(status, "instance") << " in zone " << text_of(status, "zone")
        << " is " << text_of(status, "state") << " (incarnation " << text_of(status, "incarnation")
        << ").\n"
        << "Configuration version " << text_of(config, "version") << " with digest "
        << text_of(config, "digest") << " is in force.\n"
        << "The instance list has version " << text_of(status, "list_version") << ".\n";
    print_members(status, out);
    print_targets(status, out);
}

auto problems_in_status(const json& status) -> std::vector<std::string>
{
    auto problems = std::vector<std::string>{};
    if (number_of(field_of(status, "config"), "version") == 0) {
        problems.emplace_back("No configuration is in force.");
    }
    for (const auto& refused : current_refusals(status)) {
        const auto version = refused.is_number() ? refused.dump() : text_of(refused, "version");
        problems.push_back("Configuration version " + version +
                           " was refused: " + text_of(refused, "reason", "no reason given"));
    }
    if (text_of(status, "platform_reachable", "true") == "false") {
        problems.emplace_back("The instance cannot reach the platform.");
    }
    return problems;
}

auto print_explanation(const json& explanation, std::ostream& out) -> void
{
    const auto choice = text_of(explanation, "choice", "");
    out << "Chat " << text_of(explanation, "chat") << " with model "
        << text_of(explanation, "model");
    if (choice.empty()) {
        out << " would be refused or queued (" << text_of(explanation, "reason") << ").\n";
    }
    else {
        out << " would go to " << choice << " (" << text_of(explanation, "reason") << ").\n";
    }
    const auto last = text_of(explanation, "last_target", "");
    out << (last.empty() ? "No previous target of this chat is known.\n"
                         : "The previous target of this chat is " + last + ".\n");
    out << "The mean load of the model's targets is " << text_of(explanation, "mean_load") << ".\n";
    auto rank = 0;
    for (const auto& candidate : array_of(explanation, "candidates")) {
        out << "Candidate " << ++rank << ": target " << text_of(candidate, "target") << " in zone "
            << text_of(candidate, "zone") << ", " << text_of(candidate, "state") << ", load "
            << text_of(candidate, "load") << ".\n";
    }
}

} // namespace cyclamenpost::detail
