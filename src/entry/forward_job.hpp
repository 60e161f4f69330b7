#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <vector>

#include "cyclamenpost/core/log_buffer.hpp"
#include "cyclamenpost/entry/forwarder.hpp"
#include "cyclamenpost/limits/admission.hpp"
#include "cyclamenpost/limits/byte_budget.hpp"
#include "cyclamenpost/placement/chat_table.hpp"
#include "cyclamenpost/routing/event_filter.hpp"
#include "cyclamenpost/routing/request_steps.hpp"
#include "cyclamenpost/routing/silence.hpp"
#include "cyclamenpost/routing/target_estimate.hpp"

namespace cyclamenpost {

/// State that all requests of a forwarder share.
struct forwarder::state {
    event_loop& loop;
    const platform_codec& codec;
    fleet_view& view;
    forwarder_settings settings;
    metric_registry& metrics;
    http1_client client;
    choice_weights weights;
    std::mt19937_64 random;
    /// Target that last processed each prompt that this instance has forwarded.
    chat_table last_prompt_targets;
    /// Bytes of answers that the requests have buffered.
    byte_budget buffered;
    std::set<std::shared_ptr<detail::forward_job>> jobs;
    /// Requests held while the instance is starting, in the order of their arrival.
    std::vector<std::shared_ptr<server_exchange>> held;
    std::function<void(const target_crash&)> report_crash;
    line_sampler sampler;
    /// Last number of each service's sequence for spreading requests (`next_draw`).
    std::map<std::string, double, std::less<>> spread_draws = {};
    /// Times to the first byte of answered attempts, for early retries.
    answer_time_table answer_times = {};
    /// What was seen of each service's capacity; kept with `traffic_options::admission`.
    std::map<std::string, service_pressure, std::less<>> pressures = {};
    /// Requests that wait for a usable target, and their jobs by the ids of the queue.
    admission_queue waiting = {};
    std::unordered_map<std::uint64_t, detail::forward_job*> waiting_jobs = {};
    std::uint64_t next_waiting_id = 1;
    /// Requests that pause before they are sent to targets that rejected them, and their bytes.
    std::size_t pausing = 0;
    std::size_t pausing_bytes = 0;
    timer waiting_timer = {};
};

namespace detail {

inline constexpr auto bad_gateway = 502;
inline constexpr auto service_unavailable = 503;
inline constexpr auto gateway_timeout = 504;

/// The whole milliseconds of a time span, for log lines.
auto milliseconds_text(duration span) -> std::string;

/// Counts a request that its caller was told has not run.
auto count_refusal(metric_registry& metrics, std::string_view kind, std::string_view proof) -> void;

/// One request, from its arrival to the end of its answer, with all attempts at targets.
struct forward_job : std::enable_shared_from_this<forward_job> {
    forwarder::state& state;
    std::shared_ptr<server_exchange> exchange;
    request_metadata request;
    /// The configuration in force at the arrival, kept alive.
    std::shared_ptr<const route_table> routes;
    const route* matched_route = nullptr;
    const service_settings* service = nullptr;
    std::string organisation_name;
    int priority = 0;
    time_point arrived{};
    /// Deadline of the final answer: the earlier one of the caller's and the route's, minus a
    /// margin.
    time_point deadline{};
    /// Id of the last part of the prompt that other requests share; 0 without affinity.
    std::uint64_t affinity = 0;
    /// Tokens of the shared parts of the prompt.
    std::uint32_t shared_tokens = 0;
    /// What the request has in common with others, for the evidence of crashes.
    content_keys keys;

    // the current attempt
    client_exchange attempt;
    std::string target_id;
    /// Address of the target at the attempt's begin, "ip:port".
    std::string target_address;
    /// Start time of the target at the attempt's begin, in milliseconds.
    std::int64_t target_started_ms = 0;
    time_point attempt_begun{};
    answer_metadata answer;
    response_head answer_head;
    std::string answer_body;
    bool in_flight = false;
    bool streaming_events = false;
    /// The silence of the target counts as a failure already.
    bool silence_noted = false;
    /// Time to the first byte that was expected of the attempt.
    wait_estimate expected;
    /// When the answer last grew by a whole event, or by a minimum of bytes without events.
    time_point last_progress{};
    /// Length of the answer's body, or number of its events, at that time.
    std::uint64_t answer_size = 0;
    /// The target has begun the answer and gone on with it, so the request does not crash it.
    bool answer_underway = false;
    /// The answer was found stalled once; it counts as stalled if the next look finds no progress.
    bool looked_stalled = false;
    /// The attempt was found silent once; it is left if the next look finds nothing received.
    bool looked_silent = false;

    // all attempts
    /// Ids of the targets that have been tried.
    std::set<std::string> tried;
    request_progress progress;
    event_filter events;
    /// Bytes that this request has in `state.buffered`.
    std::size_t held_bytes = 0;
    /// The request has left a target early, so its other attempts have the longest limit.
    bool left_early = false;
    /// Time for which it had waited there.
    duration left_after{};
    /// The request counts among those that have left a target early and have no answer since.
    bool counts_unanswered = false;
    bool finished = false;
    /// Reading from the target is paused until the caller has received what is buffered.
    bool paused = false;
    timer deadline_timer;
    timer attempt_timer;
    timer wait_timer;
    time_point first_byte_at{};

    // with `traffic_options::admission`
    /// Targets that rejected the request since its last pause.
    std::set<std::string> rejected_by;
    /// Id in `state.waiting`, 0 when not waiting there.
    std::uint64_t waiting_id = 0;
    time_point waiting_since{};
    bool pausing = false;
    /// It is the request's turn, so it does not wait behind others.
    bool taken_from_queue = false;

    explicit forward_job(forwarder::state& owner) : state(owner) {}

    /// Starts the deadline and the first attempt.
    auto start() -> void;
    /// Moves the deadline forward to the end of the shutdown that is under way, if any.
    auto limit_to_shutdown() -> void;
    /// Starts an attempt at the best eligible target, or waits for one.
    auto try_next() -> void;
    auto send_to(const target_choice& choice) -> void;
    /// Chooses again after a short time, or refuses the request.
    auto wait_for_target(const target_choice& choice) -> void;
    /// Refuses the request because no target may get it in time.
    auto refuse_without_target(const target_choice& choice) -> void;
    /// Waits in the order of `admission_queue`, or refuses the request if that is of no use.
    auto wait_in_order(const target_choice& choice) -> void;
    /// Joins the requests that wait for the same service, so that a newcomer does not pass them.
    /// Returns false when there are none.
    auto wait_behind_others() -> bool;
    /// Joins the queue. The request is rejected if it has no place there.
    auto enter_waiting(std::string_view reason) -> void;
    /// Ends the wait in the queue or the pause, and records it as ended by `end`.
    auto leave_waiting(std::string_view end) -> void;
    /// Sends the request after it was taken from the queue.
    auto send_from_queue() -> void;
    /// Refuses a request that waits or would have to.
    auto reject_waiting(admission_rule rule) -> void;
    /// Waits until targets that rejected the request are expected to have room.
    auto pause_for_room() -> void;
    auto on_pause_end() -> void;
    auto room_expected() const -> bool;
    /// Last moment at which an attempt may begin to be answered within the objective.
    auto latest_start() const -> time_point;
    auto remaining() const -> remaining_time;
    auto capacity() const -> capacity_facts;
    /// Requests that a target runs at the same time when it gets no more than its limit; infinite
    /// without one.
    auto limited_slots(const target& known, time_point now) const -> double;
    /// Records the time that a successful attempt took.
    auto record_pressure(target_outcome health) -> void;
    /// Records that the target of the attempt rejected the request.
    auto note_rejection() -> void;
    /// Delay after which the caller of this refused request should return.
    auto refusal_delay(std::string_view cause) -> duration;
    /// Refuses the request in place of the last target that rejected it, whose answer does not say
    /// when to return. Returns false when the target's answer is to be passed on.
    auto refuse_for_target(attempt_end end, std::string_view cause) -> bool;
    /// Records that the target says that it is leaving, in any answer on its connection.
    auto note_leaving(int status, const answer_metadata& seen) -> void;
    /// Records the target's Retry-After. Only the answer to the attempt counts: the time would be
    /// counted from the arrival of a late copy.
    auto note_rest() -> void;
    /// Records the requests per second that the target takes from all instances.
    auto note_limit() -> void;
    /// Whether the answer comes from the target of the attempt.
    auto is_from_target(int status, const answer_metadata& seen) const -> bool;
    auto count_notice(std::string_view notice) -> void;
    auto on_answer_head(response_head& head) -> void;
    auto on_answer_body(std::string_view bytes) -> void;
    auto on_answer_complete() -> void;
    auto on_attempt_failed(exchange_failure how) -> void;
    /// Records that the target has begun the answer and gone on with it, once for each attempt.
    auto note_answer_underway() -> void;
    /// Records that the target ended before it had begun the answer.
    auto note_crash() -> void;
    /// Ends the request because its content crashes targets, unless its answer is underway.
    auto stop_if_blocked() -> bool;
    /// The connection was not established in time, or the target has not answered in time.
    auto on_attempt_timeout() -> void;
    auto on_deadline() -> void;
    /// Ends the request without a target's answer: refuses it if it certainly has not run.
    auto abandon(std::string_view cause) -> void;
    /// Looks whether the answer that has begun still makes progress.
    auto watch_progress() -> void;
    auto note_progress() -> void;
    auto on_caller_gone() -> void;
    /// An event with what the attempt in progress and the deadline say.
    auto event_of(request_event_kind kind) const -> request_event;
    /// Adds whether the request may be sent to another target.
    auto add_retry_facts(request_event& event) -> void;
    /// Decides what follows an event, and does it. `health` is what the event says of the target of
    /// the attempt that it ends; `retry_after` the time after which a refused caller should return,
    /// if it does not follow from the caller's deadline.
    auto handle(const request_event& event, std::string_view cause, target_outcome health,
                std::optional<duration> retry_after = {}) -> void;
    auto record_attempt(const request_step& step, std::string_view cause) -> void;
    /// Counts the idle connections that the attempt could not use.
    auto count_passed_over() -> void;
    /// Records the time to the first byte of the attempt for the fleet's record.
    auto note_first_byte(target& answering) -> void;
    /// Records for the fleet's record that the target has not answered in time. A request that must
    /// not be repeated goes on waiting for the answer.
    auto note_silence() -> void;
    /// Records for the fleet's record whether the target answered the attempt that ends.
    auto note_attempt_end(std::string_view cause, target_outcome health) -> void;
    /// The target of the attempt; null if it is no longer known or has restarted since, since the
    /// attempt's outcome says nothing of the new process.
    auto attempted_target() const -> target*;
    /// Records the end of the attempt in the target table, once.
    auto release_target(target_outcome health) -> void;
    /// Sends the buffered answer of the target, which ended its attempt as `end`, to the caller.
    auto pass_answer(attempt_end end) -> void;
    /// Sends the complete events of a stream to the caller.
    auto pass_events(std::string_view bytes) -> void;
    /// Answers that the outcome is unknown, or aborts an answer that has begun.
    auto give_up(int status, std::string_view cause) -> void;
    /// Sends an answer of the instance's own; finishes the job.
    auto send_local_reply(int status, duration retry_after, std::string_view cause) -> void;
    /// Name of what a refusal of this request rests on.
    auto refusal_proof_name() const -> std::string_view;
    auto record_metrics(std::string_view outcome_name, std::string_view cause) -> void;
    auto log_outcome(int status, std::string_view outcome_name, std::string_view cause) -> void;
    /// Records the outcome and ends the job.
    auto finish(int status, std::string_view outcome_name, std::string_view cause) -> void;
    auto query_targets() const -> choice_query;
    /// Time after which a target that has not answered counts as silent.
    auto silence_timeout() const -> duration;
    /// The same without early retries.
    auto longest_silence() const -> duration;
    /// Time limit for establishing a connection.
    auto connect_timeout() const -> duration;
    /// Whether an attempt that would be left is looked at once more after a short time.
    auto looks_again(const request_event& event) -> bool;
    /// Records that the request leaves its target early. Returns whether it does.
    auto note_early_leave(const request_event& event) -> bool;
    /// Records the time to the first byte of a successful answer.
    auto note_first_byte() -> void;
    /// Takes the request out of the count of those that wait after they have left a target early.
    auto settle_early_leave() -> void;
    /// Delay until the next look at an attempt that has been silent for `waited`.
    auto next_look(duration silence, duration waited) const -> duration;
    auto prompt_tokens() const -> std::uint64_t;
    auto stall_timeout() const -> duration;
    /// Cancels the attempt because its answer cannot be used, and takes the next step.
    auto break_off(std::string_view cause) -> void;
    auto has_untried_target() -> bool;
    auto time_left() const -> duration;
    /// A random number in [0, 1).
    auto draw() const -> double;
    /// The number by which the next request of the service is spread.
    auto draw_spread() const -> double;
    auto record_spread(const target_choice& choice) const -> void;
    auto find_prompt_cache_source(const target_choice& choice) const -> std::string;
    auto call_later(duration delay, void (forward_job::*step)()) -> timer;
};

/// State that all requests of a forwarder share, for functions outside it.
using shared_state = std::remove_reference_t<decltype(forward_job::state)>;

/// Sends waiting requests for which a target has become usable, in order, and rejects those that
/// have become too late.
auto serve_waiting(shared_state& state) -> void;

} // namespace detail

} // namespace cyclamenpost
