#pragma once

#include <set>

#include "cyclamenpost/relay/relay.hpp"

namespace cyclamenpost {

/// A request on its way through the relay.
struct relay::job {
    std::uint64_t id = 0;
    std::string request_id;
    std::shared_ptr<http_exchange> exchange;
    http_request request;
    std::string organisation;
    std::string chat;
    std::string model;
    std::string service;
    service_kind kind = service_kind::model;
    priority level = priority::normal;
    work_class queue_class = work_class::interactive;
    bool stream = false;
    bool repeatable = true;
    double cost = 1;
    /// Hashes of the prompt's prefixes, shortest first.
    std::vector<std::uint64_t> prefixes;
    /// Prompt tokens that the last target is expected to hold.
    std::uint64_t cached_tokens = 0;
    time_point received;
    /// Start of the current wait for a target; a retry begins a new one.
    time_point waiting_since;
    std::optional<time_point> deadline;
    std::uint64_t fingerprint = 0;
    suspicion suspect = suspicion::none;
    std::uint64_t key_hash = 0;
    /// Whether this job owns a record in progress in the idempotency table.
    bool once_open = false;

    /// Whether the fair queue counts the job as running.
    bool running = false;
    bool ended = false;
    bool caller_gone = false;
    std::uint32_t attempts = 0;
    std::uint32_t permit_refusals = 0;
    /// Whether bytes of any attempt were handed to a connected target.
    bool ever_sent = false;
    std::string target;
    std::string placement_reason;
    std::set<std::string> tried;
    std::optional<held_permit> permit;
    std::shared_ptr<http_call> call;
    timer retry_timer;

    int status = 0;
    bool answer_started = false;
    bool done_seen = false;
    std::uint64_t tokens = 0;
    event_stream_parser events;
    std::string answer;
    std::string answer_type;
    std::string target_incarnation;
};

} // namespace cyclamenpost
