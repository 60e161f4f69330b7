#include <algorithm>

#include "operator_cli_detail.hpp"

namespace cyclamenpost::detail {

namespace {

using nlohmann::json;

// text of a field of any simple type, or the replacement when it is absent
auto text_of(const json& object, const char* key, std::string absent = "?") -> std::string
{
    const auto field = object.is_object() ? object.find(key) : object.end();
    if (!object.is_object() || field == object.end() || field->is_null()) {
        return absent;
    }
    return field->is_string() ? field->get<std::string>() : field->dump();
}

auto number_of(const json& object, const char* key) -> double
{
    const auto field = object.is_object() ? object.find(key) : object.end();
    const auto is_number = object.is_object() && field != object.end() && field->is_number();
    return is_number ? field->get<double>() : 0.0;
}

// a field that is a list or an object, otherwise an empty value
auto part_of(const json& object, const char* key) -> json
{
    const auto field = object.is_object() ? object.find(key) : object.end();
    return object.is_object() && field != object.end() ? *field : json{};
}

auto entries_of(const json& object, const char* key) -> json
{
    const auto part = part_of(object, key);
    return part.is_array() ? part : json::array();
}

auto newer_refusals(const json& status) -> json
{
    const auto config = part_of(status, "config");
    auto newer = json::array();
    for (const auto& refused : entries_of(config, "refused")) {
        // some instances list bare version numbers
        const auto version =
            refused.is_number() ? refused.get<double>() : number_of(refused, "version");
        if (version >= number_of(config, "version")) {
            newer.push_back(refused);
        }
    }
    return newer;
}

auto print_members(const json& status, std::ostream& out) -> void
{
    for (const auto& member : entries_of(status, "members")) {
        out << "Member " << text_of(member, "id") << " in zone " << text_of(member, "zone")
            << " is " << text_of(member, "state") << ".\n";
    }
}

auto print_targets(const json& status, std::ostream& out) -> void
{
    for (const auto& target : entries_of(status, "targets")) {
        out << "Target " << text_of(target, "name") << " in zone " << text_of(target, "zone");
        const auto gate = text_of(target, "gate", "");
        if (text_of(target, "state", "").empty()) {
            out << (gate.empty() ? " has no gate here.\n" : " has its gate at " + gate + ".\n");
            continue;
        }
        out << " is " << text_of(target, "state") << " with load " << text_of(target, "load")
            << " of at most " << text_of(target, "bound") << ".\n";
    }
}

} // namespace

auto print_status(const json& status, std::ostream& out) -> void
{
    const auto config = part_of(status, "config");
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
    if (number_of(part_of(status, "config"), "version") == 0) {
        problems.emplace_back("No configuration is in force.");
    }
    for (const auto& refused : newer_refusals(status)) {
        const auto version = refused.is_number() ? refused.dump() : text_of(refused, "version");
        problems.push_back("Configuration version " + version +
                           " was refused: " + text_of(refused, "reason", "no reason was given"));
    }
    if (text_of(status, "platform_reachable", "true") == "false") {
        problems.emplace_back("The platform's service cannot be reached.");
    }
    return problems;
}

auto print_explanation(const json& explanation, std::ostream& out) -> void
{
    const auto choice = text_of(explanation, "choice", "");
    out << "Chat " << text_of(explanation, "chat") << " with model "
        << text_of(explanation, "model");
    if (choice.empty()) {
        out << " would be refused or wait (" << text_of(explanation, "reason") << ").\n";
    }
    else {
        out << " would go to " << choice << " (" << text_of(explanation, "reason") << ").\n";
    }
    const auto last = text_of(explanation, "last_target", "");
    out << (last.empty() ? "No earlier target is remembered.\n" : "It last ran at " + last + ".\n");
    out << "The mean load is " << text_of(explanation, "mean_load") << ".\n";
    auto place = 0;
    for (const auto& candidate : entries_of(explanation, "candidates")) {
        out << "Choice " << ++place << ": " << text_of(candidate, "target") << " in zone "
            << text_of(candidate, "zone") << ", " << text_of(candidate, "state") << ", load "
            << text_of(candidate, "load") << ".\n";
    }
}

} // namespace cyclamenpost::detail
