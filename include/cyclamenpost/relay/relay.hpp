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
    std::size_t chat_entries = 50000;
    queue_settings queue;
    idempotency_limits idempotency;
    /// Largest whole answer that is collected before it is passed on, in bytes.
    std::size_t answer_bytes = 16U << 20U;
    /// Bytes waiting for a slow caller above which reading from the target pauses.
    std::size_t buffer_bytes = 256U << 10U;
};

/// Parts of the instance that the request path uses.
struct relay_context {
    event_loop& loop;
    cluster_node& cluster;
    config_service& config;
    gate_service& gates;
    metric_registry& metrics;
    history_writer& history;
};

/// The request path: admits requests, places them, passes answers on, retries and refuses.
class relay {
public:
    relay(relay_context context, const relay_options& options);
    ~relay();
    relay(const relay&) = delete;
    auto operator=(const relay&) -> relay& = delete;

    /// Starts the periodic work.
    auto start() -> void;

    /// Stops the periodic work. Requests in progress must have ended.
    auto stop() -> void;

    /// Handles `POST /v1/chat/completions`.
    auto handle_chat(http_request request, std::shared_ptr<http_exchange> exchange) -> void;

    /// Handles `/services/<name>/<path>`.
    auto handle_service(http_request request, std::shared_ptr<http_exchange> exchange) -> void;

    /// Refuses new requests from now on.
    auto drain() -> void;

    /// Requests that have been accepted and not yet answered.
    auto in_progress() const -> std::size_t;

    /// Starts queued work for which capacity has become free.
    auto pump() -> void;

    /// A target died while it ran the requests with these fingerprints.
    auto on_target_lost(const std::string& target, incarnation_id incarnation,
                        const std::vector<std::uint64_t>& fingerprints) -> void;

    /// Takes in a target's cache report.
    auto on_cache(const cache_report& report) -> void;

    /// A member's incarnation ended.
    auto on_member(const member_change& change) -> void;

    /// Handles crash reports and order numbers from peers. Returns false for another kind of
    /// message.
    auto on_message(const wire::envelope& message) -> bool;

    /// Prefix of idempotency keys for lookup.
    auto key_prefix() const -> std::string;

    /// Last target of a chat, for explain; empty when unknown.
    auto last_target(std::string_view chat) const -> std::string;

    /// Addresses of other instances for a refused caller.
    auto alternatives() const -> std::vector<instance_address>;

private:
    struct job;
    using job_ptr = std::shared_ptr<job>;

    // admission, relay.cpp
    auto make_job(http_request request, std::shared_ptr<http_exchange> exchange) -> job_ptr;
    auto refusal_before_start(const job& work, const service_config& service) const
        -> std::optional<problem>;
    auto admit(const job_ptr& work) -> void;
    auto queue(const job_ptr& work) -> void;
    auto place(const job_ptr& work) -> void;
    auto end_job(const job_ptr& work, std::string_view result) -> void;
    auto refuse(const job_ptr& work, const problem& document) -> void;
    auto expire() -> void;
    auto record(const job& work, std::string_view event, std::string_view result) -> void;
    auto on_caller_gone(const job_ptr& work) -> void;
    auto broadcast(const wire::envelope& message, bool whole_fleet) -> void;

    // model requests, relay_model.cpp
    auto read_chat_request(job& work) -> std::optional<problem>;
    auto engines_for(const job& work) const -> std::vector<engine_view>;
    auto choose_for(const job& work, const std::vector<engine_view>& views) const
        -> placement_decision;
    auto place_chat(const job_ptr& work) -> void;
    auto on_permit(const job_ptr& work, permit_answer answer) -> void;
    auto dispatch_chat(const job_ptr& work) -> void;
    auto on_chat_headers(const job_ptr& work, int status) -> void;
    auto on_chat_data(const job_ptr& work, std::string_view bytes) -> void;
    auto on_chat_event(const job_ptr& work, const stream_event& event) -> void;
    auto on_chat_end(const job_ptr& work, call_end end) -> void;
    auto complete_chat(const job_ptr& work) -> void;
    auto retry_chat(const job_ptr& work, call_end end) -> void;
    auto fail_chat(const job_ptr& work, refusal reason, const std::string& detail) -> void;

    // application calls, relay_application.cpp
    auto call_of(const job& work) const -> call_request;
    auto begin_once(const job_ptr& work) -> bool;
    auto proceed_once(const job_ptr& work, const call_decision& decision) -> bool;
    auto place_call(const job_ptr& work) -> void;
    auto dispatch_call(const job_ptr& work, const fleet_target& target) -> void;
    auto on_call_end(const job_ptr& work, const client_response& response, bool sent) -> void;
    auto complete_once(const job_ptr& work, const client_response& response) -> void;
    auto close_once(const job_ptr& work) -> void;
    auto spread_order(const std::optional<order_number_update>& notice) -> void;
    auto answer_waiters(std::uint64_t key_hash,
                        const std::shared_ptr<const recorded_answer>& answer) -> void;
    auto owner_of(std::string_view key) const -> key_owner;

    relay_context context_;
    relay_options options_;
    chat_table chats_;
    cache_index cache_;
    fair_queue queue_;
    retry_budget budget_;
    suspect_table suspects_;
    idempotency_table once_;
    std::unordered_map<std::uint64_t, job_ptr> jobs_;
    // callers that repeat a call which is still in progress, by hash of its key
    std::unordered_map<std::uint64_t, std::vector<job_ptr>> waiters_;
    std::map<std::string, int> calls_at_target_;
    std::uint64_t next_id_ = 1;
    bool draining_ = false;
    bool pumping_ = false;
    timer periodic_;
};

} // namespace cyclamenpost
