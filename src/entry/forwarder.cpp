#include "cyclamenpost/entry/forwarder.hpp"

#include <algorithm>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/limits/connection_memory.hpp"
#include "forward_job.hpp"

namespace cyclamenpost {

namespace {

constexpr auto bad_request = 400;
constexpr auto unauthorized = 401;
constexpr auto not_found = 404;
constexpr auto service_unavailable = 503;

// Retry-After of an instance that is shutting down; another instance can serve the caller at once
constexpr duration shutdown_retry_after = std::chrono::milliseconds{20};
// Retry-After while no configuration has been read; a start takes about this long
constexpr duration startup_retry_after = std::chrono::milliseconds{500};
// parts of the process's memory that buffered answers may take, together and each; the rest is for
// connections, callers' requests and published state
constexpr std::size_t buffered_memory_divisor = 4;
constexpr std::size_t answer_memory_divisor = 16;
// part of the memory for buffered answers that requests waiting for a target may hold as well
constexpr std::size_t waiting_bytes_divisor = 4;
// a body is held up to three times: by the caller's connection, by the request that is sent, and by
// the target's connection until the kernel takes it
constexpr std::size_t request_memory_divisor = 12;
// parts of a prompt that are checked for crashing targets; prompts have a handful
constexpr std::size_t max_prompt_keys = 16;
// a smaller or missing figure for the machine's memory must not make ordinary answers too large
constexpr std::size_t min_memory_bytes = std::size_t{32} << 20U;

/// Index of the last part of the prompt that other requests may share; only the final part is the
/// request's own.
auto shared_part_index(const request_metadata& request) -> std::optional<std::size_t>
{
    if (request.prompt.size() < 2) {
        return std::nullopt;
    }
    return request.prompt.size() - 2;
}

auto read_prompt(detail::forward_job& job) -> void
{
    const auto last = shared_part_index(job.request);
    if (!last) {
        return;
    }
    for (std::size_t index = 0; index <= std::min(*last, max_prompt_keys - 1); ++index) {
        job.keys.push_back({job.request.prompt[index].id, static_cast<std::uint32_t>(index)});
    }
    if (!job.matched_route->prompt_affinity) {
        return;
    }
    job.affinity = job.request.prompt[*last].id | 1U;
    for (std::size_t index = 0; index <= *last; ++index) {
        job.shared_tokens += job.request.prompt[index].tokens;
    }
}

} // namespace

auto forwarder_settings_for(std::size_t memory_bytes) -> forwarder_settings
{
    auto chosen = forwarder_settings{};
    const auto memory = std::max(memory_bytes, min_memory_bytes);
    chosen.max_buffered_bytes = memory / buffered_memory_divisor;
    chosen.max_answer_bytes = std::min(chosen.max_answer_bytes, memory / answer_memory_divisor);
    chosen.max_event_bytes = std::min(chosen.max_event_bytes, chosen.max_answer_bytes);
    chosen.max_target_bytes = memory_shares_for(memory, 0).targets;
    return chosen;
}

auto max_request_body_bytes(std::size_t memory_bytes, std::size_t largest_body) -> std::size_t
{
    return std::max(memory_bytes / request_memory_divisor, largest_body);
}

forwarder::forwarder(event_loop& loop, const platform_codec& codec, fleet_view& view,
                     forwarder_settings settings, metric_registry& metrics)
    : state_(new state{
          loop,
          codec,
          view,
          settings,
          metrics,
          http1_client{loop, settings.idle_timeout},
          {},
          std::mt19937_64{hash64(view.own_id, static_cast<std::uint64_t>(wall_clock_ms()))},
          chat_table{settings.max_prompt_entries},
          {settings.max_buffered_bytes},
          {},
          {},
          {},
          {},
          {}})
{
    state_->waiting.settings.max_bytes = settings.max_buffered_bytes / waiting_bytes_divisor;
    state_->client.set_max_held_bytes(settings.max_target_bytes);
}

forwarder::~forwarder()
{
    const auto unfinished = std::exchange(state_->jobs, {});
    for (const auto& job : unfinished) {
        job->on_caller_gone();
    }
}

auto forwarder::reject(server_exchange& exchange, int status, duration retry_after,
                       const request_metadata& request, std::string_view cause) -> void
{
    log_event(log_level::info, "request_refused",
              {{"request", request.id},
               {"status", std::to_string(status)},
               {"cause", std::string{cause}},
               {"host", request.host},
               {"target", exchange.head.target}});
    if (status == service_unavailable) {
        detail::count_refusal(state_->metrics, "unrouted",
                              name_in(refusal_proof_names, refusal_proof::no_attempt));
    }
    exchange.respond(state_->codec.encode_local_reply(status, retry_after), {});
}

auto forwarder::held_bytes() const -> std::size_t
{
    return state_->buffered.used + state_->client.held_bytes();
}

auto forwarder::running() const -> std::size_t
{
    return state_->jobs.size() + state_->held.size();
}

auto forwarder::limit_to_shutdown() -> void
{
    for (const auto& job : state_->jobs) {
        job->limit_to_shutdown();
    }
}

auto forwarder::end_all() -> void
{
    for (const auto& exchange : std::exchange(state_->held, {})) {
        const auto request = state_->codec.decode_request(exchange->head);
        reject(*exchange, service_unavailable, shutdown_retry_after, request, "stopping");
    }
    const auto unfinished = state_->jobs;
    for (const auto& job : unfinished) {
        job->abandon("stopping");
    }
}

auto forwarder::on_crash(std::function<void(const target_crash&)> report) -> void
{
    state_->report_crash = std::move(report);
}

auto forwarder::stop_blocked() -> void
{
    const auto running = state_->jobs;
    for (const auto& job : running) {
        job->stop_if_blocked();
    }
}

auto forwarder::handle(std::shared_ptr<server_exchange> exchange) -> void
{
    auto& view = state_->view;
    const auto& codec = state_->codec;
    auto request = codec.decode_request(exchange->head);
    if (!view.up_to_date && view.first_listing_expected &&
        state_->held.size() < state_->settings.max_held_requests) {
        log_event(log_level::debug, "request_held", {{"request", request.id}});
        state_->held.push_back(std::move(exchange));
        return;
    }
    if (!view.routes || !view.up_to_date) {
        reject(*exchange, service_unavailable, startup_retry_after, request,
               view.routes ? "not_up_to_date" : "no_configuration");
        return;
    }
    const auto* matched_route = match_route(*view.routes, request.host, exchange->head.target);
    if (matched_route == nullptr) {
        reject(*exchange, not_found, {}, request, "no_route");
        return;
    }
    if (request.id.empty()) {
        reject(*exchange, bad_request, {}, request, "no_request_id");
        return;
    }
    const auto requires_key = view.routes->requires_keys && !matched_route->allow_anonymous;
    const auto* caller = requires_key ? find_organisation(*view.routes, request.api_key) : nullptr;
    if (requires_key && caller == nullptr) {
        reject(*exchange, unauthorized, {}, request, "unknown_key");
        return;
    }
    const auto* service =
        find_service(*view.routes, choose_service(*matched_route, hash64(request.id)));
    if (view.stopping &&
        !can_serve(*view.stopping,
                   service != nullptr ? usual_request_time(view.targets, service->name)
                                      : duration{},
                   monotonic_now())) {
        reject(*exchange, service_unavailable, shutdown_retry_after, request, "stopping");
        return;
    }
    auto job = std::make_shared<detail::forward_job>(*state_);
    job->exchange = std::move(exchange);
    job->request = std::move(request);
    job->routes = view.routes;
    job->matched_route = matched_route;
    job->service = service;
    job->organisation_name = caller != nullptr ? caller->name : std::string{};
    job->priority =
        caller != nullptr && caller->priority ? *caller->priority : matched_route->priority;
    read_prompt(*job);
    job->events.max_event_bytes = state_->settings.max_event_bytes;
    state_->jobs.insert(job);
    job->start();
}

} // namespace cyclamenpost
