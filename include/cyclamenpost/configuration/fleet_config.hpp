#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

/// Largest operator text in bytes. The platform's service holds no larger value.
inline constexpr std::size_t fleet_text_max_bytes = 1U << 20U;

/// Largest number of problems listed for one text. It bounds the time to check a text that is wrong
/// throughout.
inline constexpr std::size_t max_text_problems = 100;

/// What the targets of a service serve: chat completions of a model, or plain HTTP of an
/// application.
enum class service_kind { model, application };

inline constexpr std::array service_kind_names{
    enum_name<service_kind>{service_kind::model, "model"},
    enum_name<service_kind>{service_kind::application, "application"},
};

/// The `[fleet]` table.
struct fleet_section {
    std::string name;
    /// Load bound of an engine as a multiple of the mean load; at least 1.01.
    double load_multiple = 1.25;
    /// All zones of the fleet. When empty, the known zones are those of the text's targets.
    std::vector<std::string> zones;
    /// Zones taken out of service: they receive no new work.
    std::vector<std::string> zones_out;
    /// Model loads per second that the weight store, the storage of the model weights, allows to
    /// the whole fleet.
    double weight_store_rate = 1.0;
};

/// One `[[service]]` table.
struct service_config {
    std::string name;
    service_kind kind = service_kind::application;
    /// Models that the service offers; empty for an application.
    std::vector<std::string> models;
    /// Services that this one needs to answer its calls.
    std::vector<std::string> depends_on;
    /// Concurrency limit of a target right after a cold start.
    std::uint32_t cold_limit = 1;
    /// Whether calls of every method are repeatable, that is, may run more than once.
    bool repeatable = false;
    /// Methods whose calls are repeatable when those of the other methods are not.
    std::vector<std::string> repeatable_methods;
    std::chrono::milliseconds connect_timeout{1000};
    /// Longest wait for the first byte of an answer.
    std::chrono::milliseconds first_byte_timeout{60000};
    /// Longest duration of a whole call.
    std::chrono::milliseconds request_timeout{600000};

    auto operator==(const service_config&) const -> bool = default;
};

/// One `[[target]]` table, or a target found in the platform's list.
struct target_config {
    std::string name;
    std::string service;
    std::string zone;
    /// "IP:port" of the target's HTTP listener.
    std::string address;
    /// Models that this target may serve. Empty: all models of its service.
    std::vector<std::string> models;
    /// Whether the target rejects a command with an outdated fencing token.
    bool checks_fencing = false;

    auto operator==(const target_config&) const -> bool = default;
};

/// One `[[organisation]]` table. The defaults also apply to organisations that the text omits.
struct organisation_config {
    std::string name;
    /// Scheduling weight in the queues relative to other organisations.
    std::uint32_t weight = 1;
    /// Largest number of requests in progress at one target group.
    std::uint32_t max_concurrent = 100;

    auto operator==(const organisation_config&) const -> bool = default;
};

/// The contents of an operator text: the TOML document in which the operator configures the fleet.
struct fleet_config {
    fleet_section fleet;
    std::vector<service_config> services;
    std::vector<target_config> targets;
    std::vector<organisation_config> organisations;
};

/// One problem in an operator text. Line and column count from 1.
struct text_problem {
    error_id id{};
    std::size_t line = 0;
    std::size_t column = 0;
    std::string message;
    /// Suggested correction; may be empty.
    std::string hint;
};

/// Formats a problem as "line L, column C: message (hint)".
auto describe(const text_problem& problem) -> std::string;

/// Parses and validates an operator text. Fails with the first problem's id and a message that
/// names its line, column and hint. The result depends on the text alone.
auto parse_fleet_config(std::string_view text) -> result<fleet_config>;

/// Lists the problems of an operator text, at most `max_text_problems`, in the order of their
/// lines. Empty for a valid text. A text with a syntax error yields this error only.
auto check_fleet_config(std::string_view text) -> std::vector<text_problem>;

/// Describes each change from `before` to `after` in one sentence.
auto diff(const fleet_config& before, const fleet_config& after) -> std::vector<std::string>;

/// The service with the given name, or a null pointer.
auto service_by_name(const fleet_config& config, std::string_view name) -> const service_config*;

/// The service that offers a model, or a null pointer. A model belongs to one service only.
auto service_of_model(const fleet_config& config, std::string_view model) -> const service_config*;

/// The organisation's entry, or an entry of its name with the defaults when the text omits it.
auto organisation_or_default(const fleet_config& config, std::string_view name)
    -> organisation_config;

/// The text's targets of a service, in the order of the text.
auto targets_of(const fleet_config& config, std::string_view service)
    -> std::vector<const target_config*>;

/// Whether a call of this method is repeatable, that is, may run more than once.
auto may_repeat(const service_config& service, std::string_view method) -> bool;

/// Whether the operator text takes a zone out of service.
auto zone_is_out_of_service(const fleet_config& config, std::string_view zone) -> bool;

/// Services that cannot answer when those in `without_target` have no live target: these services
/// and all their direct and indirect dependents, in the order of the text.
auto unusable_services(const fleet_config& config, const std::vector<std::string>& without_target)
    -> std::vector<std::string>;

/// Smallest number of insertions, deletions and replacements that turn one word into the other
/// (Levenshtein 1966).
auto edit_distance(std::string_view left, std::string_view right) -> std::size_t;

/// The known name with the smallest edit distance to `word`, or an empty string when all differ in
/// more than about a third of its letters.
auto nearest_name(std::string_view word, const std::vector<std::string>& known) -> std::string;

} // namespace cyclamenpost
