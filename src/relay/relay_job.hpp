#pragma once

#include <set>

#include "cyclamenpost/relay/relay.hpp"

namespace cyclamenpost {

/// Time after which a refused caller may retry, in milliseconds.
inline constexpr std::int64_t default_retry_after_ms = 1000;

/// The same for a service without a live target, in milliseconds.
inline constexpr std::int64_t outage_retry_after_ms = 2000;

/// Value of the order number message's outcome for a withdrawn call. Smaller values are those of
/// `record_state`.
inline constexpr std::uint32_t withdrawn_order_outcome = 3;

/// A request in progress, from its receipt to the end of its answer.
struct relay::job {
    std::uint64_t id = 0;
    /// `id` in hexadecimal, sent as X-Request-Id.
    std::string request_id;
    std::shared_ptr<http_exchange> exchange;
    http_request request;
    std::string organisation;
    std::string chat;
    std::string model;
    std::string service;
    service_kind kind = service_kind::model;
    priority request_priority = priority::normal;
    work_class queue_class = work_class::interactive;
    /// Whether the caller asked for a stream of server-sent events.
    bool stream = false;
    /// Whether the request may run more than once.
    bool repeatable = true;
    double cost = 1;
    /// Hashes of the prompt's prefixes, shortest first.
    std::vector<std::uint64_t> prefix_hashes;
    /// Prompt tokens that the chat's last target is expected to have in its cache.
    std::uint64_t cached_tokens = 0;
    time_point received;
    /// Start of the current wait for a target; a retry starts a new one.
    time_point waiting_since;
    std::optional<time_point> deadline;
    /// Hash of the content, by which crash suspects are recognised.
    std::uint64_t fingerprint = 0;
    suspicion crash_suspicion = suspicion::none;
    /// Key of the record in the idempotency table.
    std::uint64_t key_hash = 0;
    /// Whether this job owns a record in progress in the idempotency table.
    bool owns_call_record = false;

    /// Whether the fair queue counts the job as running.
    bool running = false;
    bool ended = false;
    bool caller_disconnected = false;
    std::uint32_t attempts = 0;
    /// Permit refusals since the last granted permit.
    std::uint32_t permit_refusals = 0;
    /// Whether bytes of any attempt may have been sent to a connected target.
    bool ever_sent = false;
    std::string target;
    std::string placement_reason;
    /// Targets that refused a permit or failed the request, which are not chosen again until the
    /// request is queued.
    std::set<std::string> tried_targets;
    std::optional<held_permit> permit;
    std::shared_ptr<http_call> call;
    timer retry_timer;

    /// HTTP status of the current attempt.
    int status = 0;
    /// Whether any part of a streamed answer was sent to the caller.
    bool answer_started = false;
    /// Whether the current attempt's stream contained the final `[DONE]` event.
    bool done_received = false;
    /// Events of the answer that were sent to the caller, one for each token. A resumed stream
    /// starts after them.
    std::uint64_t tokens_sent = 0;
    event_stream_parser events;
    /// Body of an answer that is not streamed.
    std::string answer_body;
    std::string answer_content_type;
    std::string target_incarnation;
};

} // namespace cyclamenpost
