#pragma once

#include <list>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "cyclamenpost/core/log_buffer.hpp"
#include "cyclamenpost/entry/forwarder.hpp"
#include "cyclamenpost/placement/chat_table.hpp"
#include "cyclamenpost/routing/attempts.hpp"
#include "cyclamenpost/routing/event_filter.hpp"

namespace cyclamenpost {

struct forwarder::parts {
    event_loop& loop;
    const platform_codec& codec;
    fleet_view& view;
    forwarder_settings settings;
    metric_registry& metrics;
    http1_client client;
    choice_weights weights;
    std::mt19937_64 random;
    /// Target that last read the prompts this instance has seen.
    chat_table prompt_holders;
    std::set<std::shared_ptr<detail::forward_job>> jobs;
    std::function<void(const crash_report&)> spread_crash_report;
    line_sampler sampler;
};

namespace detail {

/// One request from its arrival to its last byte.
struct forward_job : std::enable_shared_from_this<forward_job> {
    forwarder::parts& parts;
    std::shared_ptr<server_exchange> exchange;
    request_metadata request;
    /// Keeps the configuration in force at the arrival alive.
    std::shared_ptr<const route_table> routes;
    const route* rule = nullptr;
    const service_settings* service = nullptr;
    std::string organisation_name;
    int priority = 0;
    time_point arrived{};
    /// When the caller or the operator wants the final answer at the latest.
    time_point final_at{};
    std::uint64_t affinity = 0;
    std::uint32_t shared_tokens = 0;
    std::uint64_t fingerprint = 0;

    // the present attempt
    client_exchange attempt;
    std::string target_id;
    time_point attempt_begun{};
    answer_metadata answer;
    response_head answer_head;
    std::string answer_body;
    bool head_seen = false;
    bool at_target = false;
    bool passing_events = false;

    // all attempts
    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;
    event_filter events;
    bool finished = false;
    bool paused = false;
    timer final_timer;
    timer attempt_timer;
    timer wait_timer;
    time_point first_byte_at{};

    explicit forward_job(forwarder::parts& owner) : parts(owner) {}

    auto start() -> void;
    auto try_next() -> void;
    auto send_to(const target_choice& choice) -> void;
    auto wait_for_target(no_target_reason reason) -> void;
    auto on_answer_head(response_head& head) -> void;
    auto on_answer_body(std::string_view bytes) -> void;
    auto on_answer_complete() -> void;
    auto on_attempt_failed(exchange_failure how) -> void;
    auto on_attempt_late() -> void;
    auto on_final_time() -> void;
    auto on_caller_gone() -> void;
    auto end_attempt(attempt_end end, target_outcome health, std::string_view cause) -> void;
    auto leave_target(target_outcome health) -> void;
    auto pass_answer() -> void;
    auto pass_events(std::string_view bytes) -> void;
    auto refuse(std::string_view cause) -> void;
    auto give_up(int status, std::string_view cause) -> void;
    auto answer_own(int status, duration retry_after, std::string_view cause) -> void;
    auto count_end(std::string_view outcome_name, std::string_view cause) -> void;
    auto log_end(int status, std::string_view outcome_name, std::string_view cause) -> void;
    auto finish(int status, std::string_view outcome_name, std::string_view cause) -> void;
    auto query_targets() const -> choice_query;
    auto silence_limit() const -> duration;
    auto target_left() -> bool;
    auto spend_retry_for_service() -> bool;
    auto time_left() const -> duration;
    auto prompt_source(const target_choice& choice) const -> std::string;
    auto later(duration delay, void (forward_job::*step)()) -> timer;
};

} // namespace detail

} // namespace cyclamenpost
