#include "cyclamenpost/entry/forwarder.hpp"

#include "cyclamenpost/core/log.hpp"
#include "forward_job.hpp"

namespace cyclamenpost {

namespace {

constexpr auto bad_request = 400;
constexpr auto unauthorized = 401;
constexpr auto not_found = 404;
constexpr auto service_unavailable = 503;

// wait told to callers of an instance that ends; another one serves them at once
constexpr duration closing_wait = std::chrono::milliseconds{20};
// wait told to callers while no configuration has been read; starting takes about this long
constexpr duration starting_wait = std::chrono::milliseconds{500};

auto refuse_at_once(const platform_codec& codec, server_exchange& exchange, int status,
                    duration retry_after, const request_metadata& request, std::string_view cause)
    -> void
{
    log_event(log_level::info, "request_refused",
              {{"request", request.id},
               {"status", std::to_string(status)},
               {"cause", std::string{cause}},
               {"host", request.host},
               {"target", exchange.head.target}});
    exchange.answer(codec.encode_local_reply(status, retry_after), {});
}

/// The last part of a prompt that requests share; the part behind it belongs to one request.
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
    if (!job.rule->prompt_affinity || !last) {
        return;
    }
    job.affinity = job.request.prompt[*last].id | 1U;
    for (std::size_t index = 0; index <= *last; ++index) {
        job.shared_tokens += job.request.prompt[index].tokens;
    }
}

} // namespace

forwarder::forwarder(event_loop& loop, const platform_codec& codec, fleet_view& view,
                     forwarder_settings settings, metric_registry& metrics)
    : parts_(new parts{
          loop,
          codec,
          view,
          settings,
          metrics,
          http1_client{loop, settings.idle_limit},
          {},
          std::mt19937_64{hash64(view.own_id, static_cast<std::uint64_t>(wall_clock_ms()))},
          chat_table{settings.prompt_entries},
          {},
          {},
          {}})
{}

forwarder::~forwarder()
{
    const auto open = std::exchange(parts_->jobs, {});
    for (const auto& job : open) {
        job->on_caller_gone();
    }
}

auto forwarder::running() const -> std::size_t
{
    return parts_->jobs.size();
}

auto forwarder::on_crash_report(std::function<void(const crash_report&)> spread) -> void
{
    parts_->spread_crash_report = std::move(spread);
}

auto forwarder::handle(std::shared_ptr<server_exchange> exchange) -> void
{
    auto& view = parts_->view;
    const auto& codec = parts_->codec;
    auto request = codec.decode_request(exchange->head);
    if (!view.routes) {
        refuse_at_once(codec, *exchange, service_unavailable, starting_wait, request,
                       "no_configuration");
        return;
    }
    if (view.closing) {
        refuse_at_once(codec, *exchange, service_unavailable, closing_wait, request, "stopping");
        return;
    }
    const auto* rule = match_route(*view.routes, request.host, exchange->head.target);
    if (rule == nullptr) {
        refuse_at_once(codec, *exchange, not_found, {}, request, "no_route");
        return;
    }
    if (request.id.empty()) {
        refuse_at_once(codec, *exchange, bad_request, {}, request, "no_request_id");
        return;
    }
    const auto asks_key = !view.routes->organisations.empty() && !rule->allow_anonymous;
    const auto* caller = asks_key ? find_organisation(*view.routes, request.api_key) : nullptr;
    if (asks_key && caller == nullptr) {
        refuse_at_once(codec, *exchange, unauthorized, {}, request, "unknown_key");
        return;
    }
    auto job = std::make_shared<detail::forward_job>(*parts_);
    job->exchange = std::move(exchange);
    job->request = std::move(request);
    job->routes = view.routes;
    job->rule = rule;
    job->service = find_service(*view.routes, choose_service(*rule, hash64(job->request.id)));
    job->organisation_name = caller != nullptr ? caller->name : std::string{};
    job->priority = caller != nullptr && caller->priority ? *caller->priority : rule->priority;
    read_prompt(*job);
    parts_->jobs.insert(job);
    job->start();
}

} // namespace cyclamenpost
