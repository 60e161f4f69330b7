#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/history.hpp"
#include "cyclamenpost/core/metrics.hpp"
#include "cyclamenpost/gates/gate_service.hpp"
#include "cyclamenpost/limits/idempotency.hpp"
#include "cyclamenpost/limits/limits.hpp"
#include "cyclamenpost/limits/retries.hpp"
#include "cyclamenpost/placement/cache_index.hpp"
#include "cyclamenpost/placement/chat_table.hpp"
#include "cyclamenpost/relay/problem.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost {

/// Limits of the request path.
struct relay_options {
    /// Number of chats whose last target is stored.
    std::size_t chat_entries = 50000;
    queue_settings queue;
    idempotency_limits idempotency;
    /// Largest answer that is collected in memory before it is sent to the caller, in bytes.
    std::size_t max_answer_bytes = 16U << 20U;
    /// Bytes buffered for a slow caller above which reading from the target pauses.
    std::size_t max_buffered_bytes = 256U << 10U;
};

/// Components of the instance that the request path uses.
struct relay_context {
    event_loop& loop;
    cluster_node& cluster;
    config_service& config;
    gate_service& gates;
    metric_registry& metrics;
    history_writer& history;
};

/// The request path: admits or refuses requests, chooses their targets, forwards the answers to the
/// callers and retries failed attempts.
class relay {
public:
    relay(relay_context context, const relay_options& options);
    ~relay();
    relay(const relay&) = delete;
    auto operator=(const relay&) -> relay& = delete;

    /// Starts the periodic tasks.
    auto start() -> void;

    /// Stops the periodic tasks. No request may be in progress.
    auto stop() -> void;

    /// Handles `POST /v1/chat/completions`.
    auto handle_chat(http_request request, std::shared_ptr<http_exchange> exchange) -> void;

    /// Handles `/services/<name>/<path>`.
    auto handle_service(http_request request, std::shared_ptr<http_exchange> exchange) -> void;

    /// Refuses new requests from now on.
    auto drain() -> void;

    /// Number of requests that were received and are not completely answered yet.
    auto in_progress() const -> std::size_t;

    /// Starts queued requests for which capacity is available.
    auto start_queued() -> void;

    /// Handles the crash of a target that ran the requests with these fingerprints: cancels its
    /// model requests, so that another target answers or resumes them, and sends crash reports to
    /// all peers.
    auto on_target_lost(const std::string& target, incarnation_id incarnation,
                        const std::vector<std::uint64_t>& fingerprints) -> void;

    /// Applies a target's report of the prompt prefixes in its cache.
    auto on_cache_report(const cache_report& report) -> void;

    /// Handles a membership change: the outcome of order numbers in progress at an ended
    /// incarnation becomes unknown.
    auto on_member(const member_change& change) -> void;

    /// Handles crash reports and order number updates from peers. Returns false for any other kind
    /// of message.
    auto on_message(const wire::envelope& message) -> bool;

    /// Prefix of the idempotency keys that this instance accepts, for lookup answers.
    auto key_prefix() const -> std::string;

    /// Target that last served a chat; empty when unknown.
    auto last_target(std::string_view chat) const -> std::string;

    /// Other live instances that a refused caller may ask, at most three.
    auto alternatives() const -> std::vector<instance_address>;

private:
    struct job;
    using job_ptr = std::shared_ptr<job>;

    // admission and queue, relay.cpp
    auto make_job(http_request request, std::shared_ptr<http_exchange> exchange) -> job_ptr;
    auto admission_refusal(const job& work, const service_config& service) const
        -> std::optional<problem>;
    auto admit(const job_ptr& work) -> void;
    auto enqueue(const job_ptr& work) -> void;
    auto place(const job_ptr& work) -> void;
    auto end_job(const job_ptr& work, std::string_view result) -> void;
    auto refuse(const job_ptr& work, const problem& document) -> void;
    auto expire() -> void;
    auto record_event(const job& work, std::string_view event, std::string_view result) -> void;
    auto on_caller_disconnected(const job_ptr& work) -> void;
    auto broadcast(const wire::envelope& message, bool whole_fleet) -> void;

    // model requests, relay_model.cpp
    auto parse_chat_request(job& work) -> std::optional<problem>;
    auto engine_views_for(const job& work) const -> std::vector<engine_view>;
    auto choose_engine_for(const job& work, const std::vector<engine_view>& views) const
        -> placement_decision;
    auto place_chat(const job_ptr& work) -> void;
    auto on_permit_answer(const job_ptr& work, permit_answer answer) -> void;
    auto dispatch_chat(const job_ptr& work) -> void;
    auto on_chat_headers(const job_ptr& work, int status) -> void;
    auto on_chat_data(const job_ptr& work, std::string_view bytes) -> void;
    auto on_chat_event(const job_ptr& work, const stream_event& event) -> void;
    auto on_chat_end(const job_ptr& work, call_end end) -> void;
    auto complete_chat(const job_ptr& work) -> void;
    auto retry_chat(const job_ptr& work, call_end end) -> void;
    auto fail_chat(const job_ptr& work, refusal reason, const std::string& detail) -> void;

    // application calls, relay_application.cpp
    auto call_request_of(const job& work) const -> call_request;
    auto begin_recorded_call(const job_ptr& work) -> bool;
    auto apply_call_decision(const job_ptr& work, const call_decision& decision) -> bool;
    auto place_call(const job_ptr& work) -> void;
    auto dispatch_call(const job_ptr& work, const fleet_target& target) -> void;
    auto on_call_end(const job_ptr& work, const client_response& response, bool sent) -> void;
    auto record_call_answer(const job_ptr& work, const client_response& response) -> void;
    auto close_call_record(const job_ptr& work) -> void;
    auto broadcast_order_number(const std::optional<order_number_update>& update) -> void;
    auto answer_waiters(std::uint64_t key_hash,
                        const std::shared_ptr<const recorded_answer>& answer) -> void;
    auto key_owner_of(std::string_view key) const -> key_owner;

    relay_context context_;
    relay_options options_;
    chat_table chats_;
    cache_index cache_index_;
    fair_queue queue_;
    retry_budget retry_budget_;
    suspect_table suspects_;
    idempotency_table idempotency_;
    std::unordered_map<std::uint64_t, job_ptr> jobs_;
    // repeated calls that wait for the answer of a call in progress, by hash of their key
    std::unordered_map<std::uint64_t, std::vector<job_ptr>> waiters_;
    // application calls of this instance in progress, by target
    std::map<std::string, int> calls_in_progress_;
    std::uint64_t next_job_number_ = 1;
    bool draining_ = false;
    // guards against recursion of start_queued
    bool starting_queued_ = false;
    timer periodic_timer_;
};

} // namespace cyclamenpost
