#include "cyclamenpost/configuration/platform_client.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

#include "cyclamenpost/configuration/instance_list.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost {

namespace detail {

/// State of reading and watching one of the two published values. At most one call is in progress.
struct value_reader {
    published_kind kind{};
    bool initial_read_done = false;
    /// Highest version received, even of a refused text: a watch for versions above a lower one
    /// would return the refused text at once, again and again.
    std::uint64_t highest_seen = 0;
    /// Version that the current watch named; 0 for a read.
    std::uint64_t requested_after = 0;
    /// Retries in a row, which set the backoff.
    unsigned attempt = 0;
    /// Whether the current call is a watch.
    bool watching = false;
    /// Identifies the current call; answers to earlier ones are dropped.
    std::uint64_t call_number = 0;
    std::shared_ptr<http_call> call;
    time_point call_started;
    timer call_timer;
    timer retry_timer;
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

    platform_state(event_loop& used_loop, platform_options chosen, platform_callbacks handlers)
        : loop(used_loop),
          options(std::move(chosen)),
          callbacks(std::move(handlers)),
          random(options.seed)
    {}
};

} // namespace detail

namespace {

using detail::platform_state;
using detail::value_reader;
using shared_state = std::shared_ptr<platform_state>;

auto start_next_call(const shared_state& state, value_reader& reader) -> void;

auto version_in_force(const platform_state& state, const value_reader& reader) -> std::uint64_t
{
    const auto& source = reader.kind == published_kind::operator_text
                             ? state.callbacks.config_version
                             : state.callbacks.list_version;
    return source ? source() : 0;
}

auto cancel_call(value_reader& reader) -> void
{
    // an answer that still arrives has an outdated number and is dropped
    ++reader.call_number;
    reader.call_timer.reset();
    if (reader.call) {
        std::exchange(reader.call, nullptr)->cancel();
    }
}

auto retry_later(const shared_state& state, value_reader& reader) -> void
{
    const auto random = std::uniform_real_distribution<double>{}(state->random);
    reader.retry_timer = state->loop.call_after(platform_retry_delay(reader.attempt, random),
                                                [weak = std::weak_ptr(state), &reader] {
                                                    if (const auto locked = weak.lock()) {
                                                        start_next_call(locked, reader);
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
        return invalid_answer("the answer has no version above 0 in the X-Version header");
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
        start_next_call(state, reader);
    }
}

auto handle_value(const shared_state& state, value_reader& reader, client_response response) -> void
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

auto handle_unchanged(const shared_state& state, value_reader& reader) -> void
{
    state->reachable = true;
    const auto waited = monotonic_now() - reader.call_started;
    // a platform that answers watches at once would otherwise be called in a tight loop
    if (waited < state->options.watch_timeout / 2) {
        retry_later(state, reader);
        return;
    }
    reader.attempt = 0;
    start_next_call(state, reader);
}

auto on_answer(const shared_state& state, value_reader& reader, client_response response) -> void
{
    constexpr auto status_ok = 200;
    constexpr auto status_unchanged = 304;
    if (response.end != call_end::complete) {
        report_failure(state, reader, error_id::platform_unreachable,
                       "the call ended with result " +
                           std::string(name_in(call_end_names, response.end)));
    }
    else if (response.status == status_ok) {
        handle_value(state, reader, std::move(response));
    }
    else if (response.status == status_unchanged && reader.watching) {
        handle_unchanged(state, reader);
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

auto start_call_timer(const shared_state& state, value_reader& reader) -> void
{
    auto limit = duration{state->options.call_timeout};
    if (reader.watching) {
        limit += state->options.watch_timeout;
    }
    reader.call_timer = state->loop.call_after(limit, [weak = std::weak_ptr(state), &reader] {
        const auto locked = weak.lock();
        if (!locked) {
            return;
        }
        cancel_call(reader);
        report_failure(locked, reader, error_id::platform_unreachable, "the call timed out");
    });
}

auto start_call(const shared_state& state, value_reader& reader) -> void
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
    start_call_timer(state, reader);
    reader.call = fetch(state->loop, std::move(request), published_text_max_bytes,
                        [weak = std::weak_ptr(state), &reader, number](client_response response) {
                            const auto locked = weak.lock();
                            if (!locked || number != reader.call_number) {
                                return;
                            }
                            reader.call = nullptr;
                            reader.call_timer.reset();
                            on_answer(locked, reader, std::move(response));
                        });
}

auto start_next_call(const shared_state& state, value_reader& reader) -> void
{
    if (!state->started || reader.call || reader.retry_timer.pending()) {
        return;
    }
    if (reader.initial_read_done && !state->watch) {
        return;
    }
    reader.watching = reader.initial_read_done;
    ++(reader.watching ? state->counters.watches : state->counters.reads);
    start_call(state, reader);
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
        start_next_call(state_, reader);
    }
}

auto platform_client::stop() -> void
{
    state_->started = false;
    for (auto& reader : state_->readers) {
        cancel_call(reader);
        reader.retry_timer.reset();
    }
}

auto platform_client::watch(bool enabled) -> void
{
    state_->watch = enabled;
    for (auto& reader : state_->readers) {
        if (enabled) {
            start_next_call(state_, reader);
        }
        else if (reader.initial_read_done) {
            cancel_call(reader);
            reader.retry_timer.reset();
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
