#include "cyclamenpost/relay/problem.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace cyclamenpost {

namespace {

constexpr auto ran_not = outcome::not_run;
constexpr auto unsure = outcome::unknown;

constexpr std::array meanings{
    refusal_meaning{refusal::request_invalid, "request_invalid", ran_not, 400,
                    "The request is malformed"},
    refusal_meaning{refusal::unknown_service, "unknown_service", ran_not, 404, "No such service"},
    refusal_meaning{refusal::unknown_model, "unknown_model", ran_not, 404,
                    "No engine serves this model"},
    refusal_meaning{refusal::too_large, "too_large", ran_not, 413, "The request is too large"},
    refusal_meaning{refusal::not_ready, "not_ready", ran_not, 503,
                    "The instance has no configuration yet"},
    refusal_meaning{refusal::instance_leaving, "instance_leaving", ran_not, 503,
                    "The instance is shutting down"},
    refusal_meaning{refusal::zone_out, "zone_out", ran_not, 503,
                    "The zone is taken out of service"},
    refusal_meaning{refusal::dependency_down, "dependency_down", ran_not, 503,
                    "A service this one depends on has no live target"},
    refusal_meaning{refusal::no_target, "no_target", ran_not, 503, "No live target"},
    refusal_meaning{refusal::over_bound, "over_bound", ran_not, 503,
                    "The targets are at their load bound"},
    refusal_meaning{refusal::target_cold, "target_cold", ran_not, 503,
                    "The targets are warming up"},
    refusal_meaning{refusal::permit_expired, "permit_expired", ran_not, 503,
                    "The permit expired before it was used"},
    refusal_meaning{refusal::queue_full, "queue_full", ran_not, 429, "The queue is full"},
    refusal_meaning{refusal::queue_timeout, "queue_timeout", ran_not, 429,
                    "The request waited too long for a target"},
    refusal_meaning{refusal::concurrency_limit, "concurrency_limit", ran_not, 429,
                    "The organisation is at its concurrency limit"},
    refusal_meaning{refusal::deadline_passed, "deadline_passed", ran_not, 504,
                    "The deadline passed before the request started"},
    refusal_meaning{refusal::cancelled, "cancelled", ran_not, 499,
                    "The caller cancelled the request before it started"},
    refusal_meaning{refusal::retry_budget_spent, "retry_budget_spent", unsure, 503,
                    "The attempt failed and the retry budget is spent"},
    refusal_meaning{refusal::crash_suspect, "crash_suspect", unsure, 422,
                    "Targets died while they ran this content"},
    refusal_meaning{refusal::target_lost, "target_lost", unsure, 502,
                    "The target was lost while it ran the request"},
    refusal_meaning{refusal::answer_truncated, "answer_truncated", unsure, 502,
                    "The answer broke off"},
    refusal_meaning{refusal::key_missing, "key_missing", ran_not, 428,
                    "An idempotency key is required"},
    refusal_meaning{refusal::key_malformed, "key_malformed", ran_not, 400,
                    "The idempotency key is malformed"},
    refusal_meaning{refusal::key_not_issued, "key_not_issued", ran_not, 400,
                    "This instance never issued the key"},
    refusal_meaning{refusal::key_expired, "key_expired", unsure, 410,
                    "The idempotency key has expired"},
    refusal_meaning{refusal::wrong_owner, "wrong_owner", ran_not, 421,
                    "Another instance owns the idempotency key"},
    refusal_meaning{refusal::owner_ended, "owner_ended", unsure, 410,
                    "The instance that owned the idempotency key has ended"},
    refusal_meaning{refusal::owner_unknown, "owner_unknown", unsure, 503,
                    "The owner of the idempotency key is not known here"},
    refusal_meaning{refusal::body_differs, "body_differs", unsure, 422,
                    "The key was used for another request"},
    refusal_meaning{refusal::outcome_unknown, "outcome_unknown", unsure, 502,
                    "Whether the call took effect is not known"},
    refusal_meaning{refusal::order_known, "order_known", unsure, 409,
                    "The order number was used before"},
    refusal_meaning{refusal::order_in_progress, "order_in_progress", unsure, 409,
                    "A call with this order number is in progress"},
    refusal_meaning{refusal::order_not_remembered, "order_not_remembered", unsure, 409,
                    "Nobody remembers the repeated order number"},
    refusal_meaning{refusal::record_table_full, "record_table_full", ran_not, 503,
                    "No room to record the call"},
};

constexpr auto in_enum_order() -> bool
{
    for (auto i = std::size_t{0}; i < meanings.size(); ++i) {
        if (static_cast<std::size_t>(meanings[i].reason) != i) {
            return false;
        }
    }
    return meanings.back().reason == refusal::record_table_full;
}

// meaning_of indexes the table by the enumerator
static_assert(in_enum_order());

constexpr std::string_view type_prefix = "urn:cyclamenpost:refusal:";

auto to_object(const alternative& other) -> nlohmann::json
{
    return {{"address", other.address}, {"zone", other.zone}, {"instance", other.instance}};
}

auto text_member(const nlohmann::json& object, const char* name) -> std::string
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_string()) {
        return {};
    }
    return member->get<std::string>();
}

auto number_member(const nlohmann::json& object, const char* name) -> std::int64_t
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_number_integer()) {
        return 0;
    }
    return member->get<std::int64_t>();
}

auto parse_alternatives(const nlohmann::json& object) -> std::vector<alternative>
{
    auto parsed = std::vector<alternative>{};
    const auto member = object.find("alternatives");
    if (member == object.end() || !member->is_array()) {
        return parsed;
    }
    for (const auto& item : *member) {
        if (item.is_object()) {
            parsed.push_back({text_member(item, "address"), text_member(item, "zone"),
                              text_member(item, "instance")});
        }
    }
    return parsed;
}

auto parse_earlier(const nlohmann::json& object) -> std::optional<earlier_answer>
{
    const auto member = object.find("earlier");
    if (member == object.end() || !member->is_object()) {
        return std::nullopt;
    }
    return earlier_answer{static_cast<int>(number_member(*member, "status")),
                          text_member(*member, "body")};
}

} // namespace

auto meaning_of(refusal reason) -> const refusal_meaning&
{
    return meanings.at(static_cast<std::size_t>(reason));
}

auto refusal_from_name(std::string_view name) -> std::optional<refusal>
{
    const auto row = std::ranges::find(meanings, name, &refusal_meaning::name);
    if (row == meanings.end()) {
        return std::nullopt;
    }
    return row->reason;
}

auto make_problem(refusal reason, std::string detail, std::int64_t retry_after_ms,
                  std::vector<alternative> alternatives) -> problem
{
    const auto& meaning = meaning_of(reason);
    auto document = problem{};
    document.reason = reason;
    document.request_outcome = meaning.request_outcome;
    document.status = meaning.status;
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
    const auto& meaning = meaning_of(document.reason);
    auto object = nlohmann::json{
        {"type", std::string(type_prefix) + std::string(meaning.name)},
        {"title", meaning.title},
        {"status", document.status},
        {"detail", document.detail},
        {"outcome", name_in(outcome_names, document.request_outcome)},
        {"reason", meaning.name},
    };
    if (document.retry_after_ms > 0) {
        object["retry_after_ms"] = document.retry_after_ms;
    }
    for (const auto& other : document.alternatives) {
        object["alternatives"].push_back(to_object(other));
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
    const auto reason = refusal_from_name(text_member(object, "reason"));
    const auto parsed_outcome = value_in(outcome_names, text_member(object, "outcome"));
    if (!reason || !parsed_outcome) {
        return std::nullopt;
    }
    auto document =
        make_problem(*reason, text_member(object, "detail"),
                     number_member(object, "retry_after_ms"), parse_alternatives(object));
    document.request_outcome = *parsed_outcome;
    document.status = static_cast<int>(number_member(object, "status"));
    document.earlier = parse_earlier(object);
    return document;
}

auto retry_after_seconds(std::int64_t retry_after_ms) -> std::int64_t
{
    return (std::max<std::int64_t>(retry_after_ms, 0) + 999) / 1000;
}

} // namespace cyclamenpost
