#include "cyclamenpost/configuration/platform_client.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

#include "cyclamenpost/configuration/instance_list.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost {

namespace detail {

/// Reads and watches one of the two values. It has at most one call at a time.
struct value_reader {
    published_kind kind{};
    bool initial_read_done = false;
    /// Highest version seen, also of texts that were refused: watching below it would return the
    /// refused text at once, over and over.
    std::uint64_t highest_seen = 0;
    std::uint64_t requested_after = 0;
    unsigned attempt = 0;
    bool watching = false;
    std::uint64_t call_number = 0;
    std::shared_ptr<http_call> call;
    time_point call_started;
    timer call_limit;
    timer retry;
};

struct platform_state {
    event_loop& loop;
    platform_options options;
    platform_callbacks callbacks;
    platform_counters counters;
    std::array<value_reader, 2> readers;
    std::mt19937_64 random;
    bool started = false;
    bool watch = false;
    bool reachable = false;

    platform_state(event_loop& on, platform_options with, platform_callbacks report)
        : loop(on), options(std::move(with)), callbacks(std::move(report)), random(options.seed)
    {}
};

} // namespace detail

namespace {

using detail::platform_state;
using detail::value_reader;
using shared_state = std::shared_ptr<platform_state>;

auto begin_next(const shared_state& state, value_reader& reader) -> void;

auto version_in_force(const platform_state& state, const value_reader& reader) -> std::uint64_t
{
    const auto& source = reader.kind == published_kind::operator_text
                             ? state.callbacks.config_version
                             : state.callbacks.list_version;
    return source ? source() : 0;
}

auto end_call(value_reader& reader) -> void
{
    // an answer that still arrives belongs to an earlier call number
    ++reader.call_number;
    reader.call_limit.reset();
    if (reader.call) {
        std::exchange(reader.call, nullptr)->cancel();
    }
}

auto retry_later(const shared_state& state, value_reader& reader) -> void
{
    const auto random = std::uniform_real_distribution<double>{}(state->random);
    reader.retry = state->loop.call_after(platform_retry_delay(reader.attempt, random),
                                          [weak = std::weak_ptr(state), &reader] {
                                              if (const auto alive = weak.lock()) {
                                                  begin_next(alive, reader);
                                              }
                                          });
    ++reader.attempt;
}

auto report_failure(const shared_state& state, value_reader& reader, error_id id,
                    std::string message) -> void
{
    ++state->counters.failures;
    state->reachable = false;
    retry_later(state, reader);
    if (state->callbacks.on_failure) {
        state->callbacks.on_failure(
            {id, step::read_platform, state->options.address,
             std::string(name_in(published_kind_names, reader.kind)) + ": " + std::move(message)});
    }
}

struct received_value {
    std::uint64_t version = 0;
    std::string text;
};

auto invalid_answer(std::string message) -> leaf::error_id
{
    return fail(error_id::platform_answer_invalid, step::read_platform, "", std::move(message));
}

auto version_of_config(const client_response& response) -> result<std::uint64_t>
{
    const auto text = header_value(response.headers, "x-version");
    auto version = std::uint64_t{0};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version);
    if (parsed.ec != std::errc{} || parsed.ptr != end || version == 0) {
        return invalid_answer("the answer has no version above 0 in X-Version");
    }
    return version;
}

auto version_of_list(const client_response& response) -> result<std::uint64_t>
{
    BOOST_LEAF_AUTO(list, parse_instance_list(response.body));
    return list.version;
}

auto deliver(const shared_state& state, value_reader& reader, client_response response,
             std::uint64_t version) -> void
{
    reader.initial_read_done = true;
    state->reachable = true;
    const auto stale = version <= reader.requested_after;
    reader.highest_seen = std::max(reader.highest_seen, version);
    if (stale) {
        ++state->counters.stale_answers;
        retry_later(state, reader);
    }
    else {
        reader.attempt = 0;
    }
    if (reader.kind == published_kind::operator_text) {
        const auto digest = text_digest(response.body);
        state->callbacks.on_config({{version, digest}, std::move(response.body)});
    }
    else {
        state->callbacks.on_instances(std::move(response.body));
    }
    if (!stale) {
        begin_next(state, reader);
    }
}

auto read_value(const shared_state& state, value_reader& reader, client_response response) -> void
{
    auto version = std::uint64_t{0};
    const auto read = [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(version, reader.kind == published_kind::operator_text
                                       ? version_of_config(response)
                                       : version_of_list(response));
        return {};
    };
    auto problem = error{};
    if (!try_or(read, [&](const error& failure) { problem = failure; })) {
        report_failure(state, reader, problem.id, problem.message);
        return;
    }
    deliver(state, reader, std::move(response), version);
}

auto end_watch_unchanged(const shared_state& state, value_reader& reader) -> void
{
    state->reachable = true;
    const auto waited = monotonic_now() - reader.call_started;
    // a platform that does not hold watches would otherwise be called without pause
    if (waited < state->options.watch_timeout / 2) {
        retry_later(state, reader);
        return;
    }
    reader.attempt = 0;
    begin_next(state, reader);
}

auto on_answer(const shared_state& state, value_reader& reader, client_response response) -> void
{
    constexpr auto status_ok = 200;
    constexpr auto status_unchanged = 304;
    if (response.end != call_end::complete) {
        report_failure(state, reader, error_id::platform_unreachable,
                       "the call ended as " + std::string(name_in(call_end_names, response.end)));
    }
    else if (response.status == status_ok) {
        read_value(state, reader, std::move(response));
    }
    else if (response.status == status_unchanged && reader.watching) {
        end_watch_unchanged(state, reader);
    }
    else {
        report_failure(state, reader, error_id::platform_answer_invalid,
                       "the answer has status " + std::to_string(response.status));
    }
}

auto request_path(const platform_state& state, const value_reader& reader) -> std::string
{
    auto path =
        std::string(reader.kind == published_kind::operator_text ? "/v1/config" : "/v1/instances");
    if (reader.watching) {
        path += "?watch=" + std::to_string(reader.requested_after) +
                "&timeout_ms=" + std::to_string(state.options.watch_timeout.count());
    }
    return path;
}

auto limit_call(const shared_state& state, value_reader& reader) -> void
{
    auto limit = duration{state->options.call_timeout};
    if (reader.watching) {
        limit += state->options.watch_timeout;
    }
    reader.call_limit = state->loop.call_after(limit, [weak = std::weak_ptr(state), &reader] {
        const auto alive = weak.lock();
        if (!alive) {
            return;
        }
        end_call(reader);
        report_failure(alive, reader, error_id::platform_unreachable,
                       "the call was abandoned after its time limit");
    });
}

auto start_call_of(const shared_state& state, value_reader& reader) -> void
{
    reader.requested_after = 0;
    if (reader.watching) {
        reader.requested_after = std::max(version_in_force(*state, reader), reader.highest_seen);
    }
    auto request = client_request{};
    request.address = state->options.address;
    request.path = request_path(*state, reader);
    reader.call_started = monotonic_now();
    const auto number = ++reader.call_number;
    limit_call(state, reader);
    reader.call = fetch(state->loop, std::move(request), published_text_max_bytes,
                        [weak = std::weak_ptr(state), &reader, number](client_response response) {
                            const auto alive = weak.lock();
                            if (!alive || number != reader.call_number) {
                                return;
                            }
                            reader.call = nullptr;
                            reader.call_limit.reset();
                            on_answer(alive, reader, std::move(response));
                        });
}

auto begin_next(const shared_state& state, value_reader& reader) -> void
{
    if (!state->started || reader.call || reader.retry.pending()) {
        return;
    }
    if (reader.initial_read_done && !state->watch) {
        return;
    }
    reader.watching = reader.initial_read_done;
    ++(reader.watching ? state->counters.watches : state->counters.reads);
    start_call_of(state, reader);
}

} // namespace

platform_client::platform_client(event_loop& loop, platform_options options,
                                 platform_callbacks callbacks)
    : state_(std::make_shared<platform_state>(loop, std::move(options), std::move(callbacks)))
{
    state_->readers[0].kind = published_kind::operator_text;
    state_->readers[1].kind = published_kind::instance_list;
}

platform_client::~platform_client()
{
    stop();
}

auto platform_client::start() -> void
{
    state_->started = true;
    for (auto& reader : state_->readers) {
        begin_next(state_, reader);
    }
}

auto platform_client::stop() -> void
{
    state_->started = false;
    for (auto& reader : state_->readers) {
        end_call(reader);
        reader.retry.reset();
    }
}

auto platform_client::watch(bool enabled) -> void
{
    state_->watch = enabled;
    for (auto& reader : state_->readers) {
        if (enabled) {
            begin_next(state_, reader);
        }
        else if (reader.initial_read_done) {
            end_call(reader);
            reader.retry.reset();
        }
    }
}

auto platform_client::reachable() const -> bool
{
    return state_->reachable;
}

auto platform_client::counters() const -> platform_counters
{
    return state_->counters;
}

} // namespace cyclamenpost
