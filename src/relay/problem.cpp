#include "cyclamenpost/relay/problem.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cyclamenpost {

namespace {

constexpr auto not_run = outcome::not_run;
constexpr auto unknown = outcome::unknown;

constexpr std::array refusal_table{
    refusal_properties{refusal::request_invalid, "request_invalid", not_run, 400,
                       "The request is malformed"},
    refusal_properties{refusal::unknown_service, "unknown_service", not_run, 404,
                       "No such service"},
    refusal_properties{refusal::unknown_model, "unknown_model", not_run, 404,
                       "No engine serves this model"},
    refusal_properties{refusal::too_large, "too_large", not_run, 413, "The request is too large"},
    refusal_properties{refusal::not_ready, "not_ready", not_run, 503,
                       "The instance has no configuration yet"},
    refusal_properties{refusal::instance_leaving, "instance_leaving", not_run, 503,
                       "The instance is shutting down"},
    refusal_properties{refusal::zone_out, "zone_out", not_run, 503,
                       "The zone is taken out of service"},
    refusal_properties{refusal::dependency_down, "dependency_down", not_run, 503,
                       "A service this one depends on has no live target"},
    refusal_properties{refusal::no_target, "no_target", not_run, 503, "No live target"},
    refusal_properties{refusal::over_bound, "over_bound", not_run, 503,
                       "The targets are at their load bound"},
    refusal_properties{refusal::target_cold, "target_cold", not_run, 503,
                       "The targets are warming up"},
    refusal_properties{refusal::permit_expired, "permit_expired", not_run, 503,
                       "The permit expired before it was used"},
    refusal_properties{refusal::queue_full, "queue_full", not_run, 429, "The queue is full"},
    refusal_properties{refusal::queue_timeout, "queue_timeout", not_run, 429,
                       "The request waited too long for a target"},
    refusal_properties{refusal::concurrency_limit, "concurrency_limit", not_run, 429,
                       "The organisation is at its concurrency limit"},
    refusal_properties{refusal::deadline_passed, "deadline_passed", not_run, 504,
                       "The deadline passed before the request started"},
    refusal_properties{refusal::cancelled, "cancelled", not_run, 499,
                       "The caller cancelled the request before it started"},
    refusal_properties{refusal::retry_budget_spent, "retry_budget_spent", unknown, 503,
                       "The attempt failed and the retry budget is spent"},
    refusal_properties{refusal::crash_suspect, "crash_suspect", unknown, 422,
                       "Targets died while they ran this content"},
    refusal_properties{refusal::target_lost, "target_lost", unknown, 502,
                       "The target was lost while it ran the request"},
    refusal_properties{refusal::answer_truncated, "answer_truncated", unknown, 502,
                       "The answer broke off"},
    refusal_properties{refusal::key_missing, "key_missing", not_run, 428,
                       "An idempotency key is required"},
    refusal_properties{refusal::key_malformed, "key_malformed", not_run, 400,
                       "The idempotency key is malformed"},
    refusal_properties{refusal::key_not_issued, "key_not_issued", not_run, 400,
                       "This instance never issued the key"},
    refusal_properties{refusal::key_expired, "key_expired", unknown, 410,
                       "The idempotency key has expired"},
    refusal_properties{refusal::wrong_owner, "wrong_owner", not_run, 421,
                       "Another instance owns the idempotency key"},
    refusal_properties{refusal::owner_ended, "owner_ended", unknown, 410,
                       "The instance that owned the idempotency key has ended"},
    refusal_properties{refusal::owner_unknown, "owner_unknown", unknown, 503,
                       "The owner of the idempotency key is not known here"},
    refusal_properties{refusal::body_differs, "body_differs", unknown, 422,
                       "The key was used for another request"},
    refusal_properties{refusal::outcome_unknown, "outcome_unknown", unknown, 502,
                       "Whether the call took effect is not known"},
    refusal_properties{refusal::order_known, "order_known", unknown, 409,
                       "The order number was used before"},
    refusal_properties{refusal::order_in_progress, "order_in_progress", unknown, 409,
                       "A call with this order number is in progress"},
    refusal_properties{refusal::order_not_remembered, "order_not_remembered", unknown, 409,
                       "Nobody remembers the repeated order number"},
    refusal_properties{refusal::record_table_full, "record_table_full", not_run, 503,
                       "No room to record the call"},
};

constexpr auto is_in_enum_order() -> bool
{
    for (auto i = std::size_t{0}; i < refusal_table.size(); ++i) {
        if (static_cast<std::size_t>(refusal_table[i].reason) != i) {
            return false;
        }
    }
    return refusal_table.back().reason == refusal::record_table_full;
}

// properties_of uses the enumerator as index into the table
static_assert(is_in_enum_order());

constexpr std::string_view type_prefix = "urn:cyclamenpost:refusal:";

auto to_json_object(const instance_address& instance) -> nlohmann::json
{
    return {
        {"address", instance.address}, {"zone", instance.zone}, {"instance", instance.instance}};
}

auto string_member(const nlohmann::json& object, const char* name) -> std::string
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_string()) {
        return {};
    }
    return member->get<std::string>();
}

auto integer_member(const nlohmann::json& object, const char* name) -> std::int64_t
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_number_integer()) {
        return 0;
    }
    return member->get<std::int64_t>();
}

auto parse_alternatives(const nlohmann::json& object) -> std::vector<instance_address>
{
    auto parsed = std::vector<instance_address>{};
    const auto member = object.find("alternatives");
    if (member == object.end() || !member->is_array()) {
        return parsed;
    }
    for (const auto& item : *member) {
        if (item.is_object()) {
            parsed.push_back({string_member(item, "address"), string_member(item, "zone"),
                              string_member(item, "instance")});
        }
    }
    return parsed;
}

auto parse_earlier_answer(const nlohmann::json& object) -> std::optional<earlier_answer>
{
    const auto member = object.find("earlier");
    if (member == object.end() || !member->is_object()) {
        return std::nullopt;
    }
    return earlier_answer{static_cast<int>(integer_member(*member, "status")),
                          string_member(*member, "body")};
}

} // namespace

auto properties_of(refusal reason) -> const refusal_properties&
{
    return refusal_table.at(static_cast<std::size_t>(reason));
}

auto refusal_from_name(std::string_view name) -> std::optional<refusal>
{
    const auto row = std::ranges::find(refusal_table, name, &refusal_properties::name);
    if (row == refusal_table.end()) {
        return std::nullopt;
    }
    return row->reason;
}

auto make_problem(refusal reason, std::string detail, std::int64_t retry_after_ms,
                  std::vector<instance_address> alternatives) -> problem
{
    const auto& properties = properties_of(reason);
    auto document = problem{};
    document.reason = reason;
    document.request_outcome = properties.request_outcome;
    document.status = properties.status;
    document.detail = std::move(detail);
    document.retry_after_ms = retry_after_ms;
    document.alternatives = std::move(alternatives);
    return document;
}

auto make_problem_after_send(refusal reason, std::string detail) -> problem
{
    auto document = make_problem(reason, std::move(detail));
    document.request_outcome = outcome::unknown;
    return document;
}

auto to_json(const problem& document) -> std::string
{
    const auto& properties = properties_of(document.reason);
    auto object = nlohmann::json{
        {"type", std::string(type_prefix) + std::string(properties.name)},
        {"title", properties.title},
        {"status", document.status},
        {"detail", document.detail},
        {"outcome", name_in(outcome_names, document.request_outcome)},
        {"reason", properties.name},
    };
    if (document.retry_after_ms > 0) {
        object["retry_after_ms"] = document.retry_after_ms;
    }
    for (const auto& other : document.alternatives) {
        object["alternatives"].push_back(to_json_object(other));
    }
    if (document.earlier) {
        object["earlier"] = {{"status", document.earlier->status},
                             {"body", document.earlier->body}};
    }
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto parse_problem(std::string_view text) -> std::optional<problem>
{
    const auto object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto reason = refusal_from_name(string_member(object, "reason"));
    const auto parsed_outcome = value_in(outcome_names, string_member(object, "outcome"));
    if (!reason || !parsed_outcome) {
        return std::nullopt;
    }
    auto document =
        make_problem(*reason, string_member(object, "detail"),
                     integer_member(object, "retry_after_ms"), parse_alternatives(object));
    document.request_outcome = *parsed_outcome;
    document.status = static_cast<int>(integer_member(object, "status"));
    document.earlier = parse_earlier_answer(object);
    return document;
}

auto retry_after_seconds(std::int64_t retry_after_ms) -> std::int64_t
{
    return (std::max<std::int64_t>(retry_after_ms, 0) + 999) / 1000;
}

} // namespace cyclamenpost
