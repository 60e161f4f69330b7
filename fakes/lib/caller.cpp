#include "caller.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>

#include <nlohmann/json.hpp>

#include "answer_check.hpp"

namespace cyclamenpost::fakes {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto max_lookup_bytes = std::size_t{8U << 20U};
constexpr auto default_retry_delay = duration{200ms};
constexpr auto max_retry_delay = duration{2s};
constexpr auto max_notes = std::size_t{20};
constexpr auto lookup_timeout = duration{3s};

/// Answer of /v1/lookup.
struct lookup_result {
    std::vector<entry_address> addresses;
    std::string key_prefix;
    time_point valid_until;
};

/// One chat with all its turns, or one booking.
struct job {
    bool booking = false;
    std::string id;
    std::string organisation;
    std::string priority_name;
    lookup_result lookup;
    json messages = json::array();
    std::size_t turn = 0;
    std::string body;
    std::string content;
    std::string key;
    /// Whether an attempt with this key may have run.
    bool may_have_run = false;
    std::size_t attempt = 0;
    std::size_t next_address = 0;
    std::int64_t sent_us = 0;
    time_point deadline;
    entry_address entry;
    std::shared_ptr<http_call> call;
    /// Delay before the next attempt or turn.
    timer pause_timer;
    timer attempt_timer;
};

using job_pointer = std::shared_ptr<job>;

/// The answer of one attempt, as far as it has been received.
struct attempt_answer {
    explicit attempt_answer(const chat_content& chat) : stream(chat) {}
    stream_verifier stream;
    int status = 0;
    bool streamed = false;
    std::string body;
    time_point sent_at;
    time_point last_token_at;
};

} // namespace

namespace detail {

struct caller_state {
    caller_options options;
    event_loop* loop = nullptr;
    history_writer history;
    caller_report report;
    std::function<void()> done;
    std::mt19937_64 random;
    /// Instance ids by address.
    std::map<std::string, std::string> instances;
    std::size_t next_job = 0;
    std::size_t active_jobs = 0;
    std::uint64_t nonce = 0;
    /// Highest configuration version that a lookup has returned.
    std::uint64_t config_version = 0;
    std::vector<job_pointer> jobs;
};

} // namespace detail

namespace {

using state_reference = detail::caller_state&;

auto begin_call(state_reference state, const job_pointer& work) -> void;
auto start_jobs(state_reference state) -> void;

auto add_note(state_reference state, const std::string& text) -> void
{
    if (state.report.notes.size() < max_notes) {
        state.report.notes.push_back(text);
    }
}

auto record_call(state_reference state, const job& work, const std::string& kind,
                 const std::string& outcome, const std::string& detail) -> void
{
    auto event = history_event{};
    event.event = kind;
    event.request = state.options.name + "-" + work.id + "-" + std::to_string(work.turn);
    event.attempt = static_cast<std::int64_t>(work.attempt);
    event.instance = work.entry.instance;
    event.organisation = work.organisation;
    event.chat = work.booking ? "" : work.id;
    event.key = work.key;
    event.content = work.content;
    event.outcome = outcome;
    event.detail = detail;
    state.history.write(std::move(event));
}

auto entry_at(const detail::caller_state& state, const std::string& address) -> entry_address
{
    const auto found = state.instances.find(address);
    return {found != state.instances.end() ? found->second : address, address};
}

/// Records the result of one turn or booking, then starts the next turn of the chat or the next
/// job.
auto finish_call(state_reference state, const job_pointer& work, call_result result,
                 const std::string& detail) -> void
{
    ++state.report.results.at(static_cast<std::size_t>(result));
    record_call(state, *work, "call_final", std::string(name_in(call_result_names, result)),
                detail);
    if (result != call_result::answered) {
        add_note(state, work->id + " turn " + std::to_string(work->turn) + " at " +
                            work->entry.instance + ": " +
                            std::string(name_in(call_result_names, result)) + ", " + detail);
    }
    ++work->turn;
    const auto has_next_turn = !work->booking && work->turn < state.options.turns;
    if (has_next_turn && result == call_result::answered) {
        work->pause_timer = state.loop->call_after(state.options.think_time,
                                                   [&state, work] { begin_call(state, work); });
        return;
    }
    --state.active_jobs;
    state.loop->post([&state, work] {
        std::erase(state.jobs, work);
        start_jobs(state);
    });
}

auto start_attempt(state_reference state, const job_pointer& work) -> void;
auto look_up(state_reference state, const job_pointer& work) -> void;

/// Starts another attempt after a delay, or ends the call with `result` when the delay exceeds its
/// deadline.
auto retry_later(state_reference state, const job_pointer& work, duration delay, call_result result,
                 const std::string& detail) -> void
{
    if (monotonic_now() + delay > work->deadline) {
        finish_call(state, work, result, detail);
        return;
    }
    work->pause_timer = state.loop->call_after(std::max(delay, duration{1ms}), [&state, work] {
        if (monotonic_now() > work->lookup.valid_until) {
            look_up(state, work);
            return;
        }
        start_attempt(state, work);
    });
}

/// The incarnation in a key prefix "<instance>.<incarnation>.<issue ms>". The prefix names the
/// instance that answered the lookup.
auto key_incarnation(const std::string& key) -> std::string
{
    const auto start = key.find('.') + 1;
    return start == 0 ? "" : key.substr(start, key.find('.', start) - start);
}

auto apply_lookup(state_reference state, job& work, const client_response& response) -> bool
{
    const auto answer = json::parse(response.body, nullptr, false);
    if (response.end != call_end::complete || response.status != 200 || !answer.is_object()) {
        return false;
    }
    work.lookup = {};
    for (const auto& entry : answer.value("addresses", json::array())) {
        const auto address = entry.value("address", "");
        const auto instance = entry.value("instance", address);
        state.instances[address] = instance;
        work.lookup.addresses.push_back({instance, address});
    }
    work.lookup.key_prefix = answer.value("key_prefix", "");
    work.lookup.valid_until =
        monotonic_now() + std::chrono::milliseconds{answer.value("valid_ms", 0)};
    const auto version = answer.value("config_version", std::uint64_t{0});
    state.config_version = std::max(state.config_version, version);
    auto event = history_event{};
    event.event = "lookup";
    event.instance = work.entry.instance;
    event.incarnation = key_incarnation(work.lookup.key_prefix);
    event.config_version = version;
    event.detail = state.options.name;
    state.history.write(std::move(event));
    return !work.lookup.addresses.empty();
}

/// The instance that issued a key. Only this instance accepts the key.
auto key_owner(const std::string& key) -> std::string
{
    return key.substr(0, key.find('.'));
}

/// Chooses a new idempotency key unless an attempt with the present one may have run, and moves
/// the instance that issued it to the front of the addresses.
auto choose_key(state_reference state, job& work) -> void
{
    if (!work.booking) {
        return;
    }
    if (!work.may_have_run) {
        auto nonce = std::uint64_t{state.random()};
        work.key = work.lookup.key_prefix + "." + to_hex(nonce ^ ++state.nonce);
    }
    auto& addresses = work.lookup.addresses;
    const auto owner = std::ranges::find(addresses, key_owner(work.key), &entry_address::instance);
    if (owner != addresses.end()) {
        std::rotate(addresses.begin(), owner, owner + 1);
    }
}

auto look_up(state_reference state, const job_pointer& work) -> void
{
    const auto& entries = state.options.entries;
    work->entry = entries[state.random() % entries.size()];
    auto request = client_request{};
    request.address = work->entry.address;
    request.path = "/v1/lookup?chat=" + percent_encode(work->id) +
                   "&organisation=" + percent_encode(work->organisation) +
                   "&model=" + percent_encode(state.options.model);
    request.headers = {{"x-config-version", std::to_string(state.config_version)}};
    const auto call = fetch(
        *state.loop, request, max_lookup_bytes, [&state, work](const client_response& response) {
            work->attempt_timer.reset();
            if (!apply_lookup(state, *work, response)) {
                retry_later(state, work, default_retry_delay,
                            work->may_have_run ? call_result::unknown : call_result::not_run,
                            "lookup failed with status " + std::to_string(response.status));
                return;
            }
            choose_key(state, *work);
            work->next_address = 0;
            start_attempt(state, work);
        });
    work->attempt_timer = state.loop->call_after(lookup_timeout, [call] { call->cancel(); });
}

auto add_alternatives(state_reference state, job& work, const refusal& refused) -> void
{
    auto& addresses = work.lookup.addresses;
    for (const auto& address : refused.alternatives) {
        const auto known = std::ranges::find(addresses, address, &entry_address::address);
        if (known == addresses.end()) {
            addresses.push_back(entry_at(state, address));
        }
    }
}

/// Retries after an attempt that certainly did not run, at the next address.
auto after_not_run(state_reference state, const job_pointer& work, const refusal& refused,
                   const std::string& detail) -> void
{
    add_alternatives(state, *work, refused);
    ++work->next_address;
    const auto tried_all_addresses = work->next_address >= work->lookup.addresses.size();
    if (tried_all_addresses) {
        // every address refused: repeat the lookup, since the fleet may have changed
        work->lookup.valid_until = {};
    }
    auto delay = duration{std::chrono::milliseconds{refused.retry_after_ms}};
    if (delay.count() == 0 && tried_all_addresses) {
        delay = default_retry_delay;
    }
    const auto result = work->may_have_run ? call_result::unknown : call_result::not_run;
    retry_later(state, work, std::min(delay, max_retry_delay), result, detail);
}

/// Handles an attempt that may have run: a booking whose connection broke is retried under the
/// same idempotency key, any other call ends.
auto after_unknown(state_reference state, const job_pointer& work, call_result result,
                   const std::string& detail) -> void
{
    if (!work->booking || result == call_result::unknown) {
        finish_call(state, work, result, detail);
        return;
    }
    work->may_have_run = true;
    retry_later(state, work, default_retry_delay, call_result::unknown, detail);
}

auto find_deviation(const job& work, const attempt_answer& answer) -> std::string
{
    if (work.booking) {
        return verify_booking_answer(work.key, work.body, answer.body);
    }
    if (answer.streamed) {
        return answer.stream.deviation();
    }
    return verify_unstreamed_answer(parse_chat(work.body), answer.body);
}

auto end_attempt(state_reference state, const job_pointer& work, call_result result,
                 const std::string& detail) -> void
{
    record_call(state, *work, "call_end", std::string(name_in(call_result_names, result)), detail);
    if (result == call_result::answered || result == call_result::wrong) {
        finish_call(state, work, result, detail);
    }
    else {
        after_unknown(state, work, result, detail);
    }
}

auto on_refusal(state_reference state, const job_pointer& work, int status,
                const std::string& document) -> void
{
    const auto refused = parse_refusal(document);
    const auto detail = std::to_string(status) + " " + refused.reason;
    if (refused.outcome != "not_run") {
        end_attempt(state, work, call_result::unknown, detail);
        return;
    }
    record_call(state, *work, "call_end", "not_run", detail);
    after_not_run(state, work, refused, detail);
}

auto on_attempt_end(state_reference state, const job_pointer& work, const attempt_answer& answer,
                    call_end end) -> void
{
    work->attempt_timer.reset();
    const auto reason = std::string(name_in(call_end_names, end));
    if (end == call_end::not_connected || end == call_end::not_sent) {
        record_call(state, *work, "call_end", "not_connected", reason);
        after_not_run(state, work, {}, reason);
        return;
    }
    const auto deviation = answer.status == 200 ? find_deviation(*work, answer) : "";
    if (end == call_end::complete && answer.status != 200) {
        on_refusal(state, work, answer.status, answer.body);
    }
    else if (answer.streamed && !deviation.empty()) {
        end_attempt(state, work, call_result::wrong, deviation);
    }
    else if (end != call_end::complete || !answer.stream.problem().empty()) {
        const auto detail = answer.stream.problem().empty() ? reason : answer.stream.problem();
        end_attempt(state, work, call_result::cut, detail);
    }
    else if (answer.streamed && !answer.stream.complete()) {
        const auto tokens = std::to_string(answer.stream.tokens());
        end_attempt(state, work, call_result::wrong, "ended after " + tokens + " tokens");
    }
    else {
        end_attempt(state, work, deviation.empty() ? call_result::answered : call_result::wrong,
                    deviation);
    }
}

auto on_data(state_reference state, attempt_answer& answer, std::string_view bytes) -> void
{
    if (!answer.streamed) {
        answer.body += bytes;
        return;
    }
    if (answer.stream.feed(bytes) == 0) {
        return;
    }
    const auto now = monotonic_now();
    const auto first = answer.last_token_at == time_point{};
    const auto elapsed = now - (first ? answer.sent_at : answer.last_token_at);
    auto& latencies_ms = first ? state.report.first_token_ms : state.report.inter_token_ms;
    latencies_ms.push_back(static_cast<double>(elapsed.count()) / 1000);
    answer.last_token_at = now;
}

auto make_request(const detail::caller_state& state, const job& work) -> client_request
{
    auto request = client_request{};
    request.address = work.entry.address;
    request.method = "POST";
    request.path =
        work.booking ? "/services/" + state.options.service + "/bookings" : "/v1/chat/completions";
    request.body = work.body;
    request.headers = {{"content-type", "application/json"}, {"x-organisation", work.organisation}};
    if (work.booking) {
        request.headers.push_back({"idempotency-key", work.key});
    }
    else {
        request.headers.push_back({"x-chat-id", work.id});
        request.headers.push_back({"x-priority", work.priority_name});
    }
    return request;
}

auto start_attempt(state_reference state, const job_pointer& work) -> void
{
    ++work->attempt;
    ++state.report.attempts;
    const auto& addresses = work->lookup.addresses;
    work->entry = addresses[work->next_address % addresses.size()];
    record_call(state, *work, "call_start", "", work->booking ? "booking" : "chat");
    auto answer = std::make_shared<attempt_answer>(parse_chat(work->body));
    answer->sent_at = monotonic_now();
    auto handlers = call_handlers{};
    handlers.on_headers = [answer](int status, const header_list& headers) {
        answer->status = status;
        answer->streamed =
            status == 200 && header_value(headers, "content-type").starts_with("text/event-stream");
    };
    handlers.on_data = [&state, answer](std::string_view bytes) { on_data(state, *answer, bytes); };
    handlers.on_end = [&state, work, answer](call_end end) {
        on_attempt_end(state, work, *answer, end);
    };
    work->call = start_call(*state.loop, make_request(state, *work), std::move(handlers));
    work->attempt_timer = state.loop->call_after(state.options.attempt_timeout,
                                                 [call = work->call] { call->cancel(); });
}

auto make_body(state_reference state, job& work) -> void
{
    // unique text gives every turn and booking its own content hash in the histories
    const auto unique = state.options.name + " " + to_hex(state.options.seed) + " " + work.id +
                        " " + std::to_string(work.turn);
    if (work.booking) {
        work.body = json{{"booking", unique}, {"reels", 1 + work.turn}}.dump();
        work.content = body_hash(work.body);
        return;
    }
    auto text = unique + " " + state.options.prompt_marker + " ";
    text.append(state.options.prompt_bytes, 'x');
    work.messages.push_back({{"role", "user"}, {"content", text}});
    // about a quarter of the turns ask for an answer that is not streamed
    const auto stream = state.random() % 4 != 0;
    work.body = json{{"model", state.options.model},
                     {"stream", stream},
                     {"max_tokens", state.options.max_tokens},
                     {"messages", work.messages}}
                    .dump();
    work.content = to_hex(parse_chat(work.body).hash);
}

auto begin_call(state_reference state, const job_pointer& work) -> void
{
    make_body(state, *work);
    work->attempt = 0;
    work->deadline = monotonic_now() + state.options.call_timeout;
    if (monotonic_now() < work->lookup.valid_until) {
        work->next_address = 0;
        choose_key(state, *work);
        start_attempt(state, work);
        return;
    }
    look_up(state, work);
}

auto make_job(state_reference state, std::size_t number) -> job_pointer
{
    const auto& options = state.options;
    auto work = std::make_shared<job>();
    // chats and bookings alternate until all of one kind have started
    const auto pairs = std::min(options.chats, options.bookings);
    work->booking = number < 2 * pairs ? number % 2 == 1 : options.bookings > options.chats;
    work->id = options.name + "-" + std::to_string(options.seed) + "-" + std::to_string(number);
    work->organisation = options.organisations[number % options.organisations.size()];
    work->priority_name = name_in(priority_names, static_cast<priority>(number % 3));
    return work;
}

auto start_jobs(state_reference state) -> void
{
    const auto total = state.options.chats + state.options.bookings;
    while (state.active_jobs < state.options.concurrent_jobs && state.next_job < total) {
        const auto work = make_job(state, state.next_job);
        ++state.next_job;
        ++state.active_jobs;
        state.jobs.push_back(work);
        begin_call(state, work);
    }
    if (state.active_jobs == 0 && state.done) {
        const auto done = std::exchange(state.done, nullptr);
        done();
    }
}

} // namespace

auto caller_report::count(call_result result) const -> std::size_t
{
    return results.at(static_cast<std::size_t>(result));
}

auto quantile(std::vector<double> values, double share) -> double
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    const auto position = std::max<std::size_t>(static_cast<std::size_t>(rank), 1) - 1;
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(position));
    return values[position];
}

auto format_report(const caller_report& report) -> std::string
{
    auto text = std::string{};
    for (const auto& row : call_result_names) {
        text += std::string(row.name) + " " + std::to_string(report.count(row.value)) + "  ";
    }
    auto line = std::array<char, 200>{};
    std::snprintf(line.data(), line.size(),
                  "attempts %zu\nfirst token ms p50 %.1f p95 %.1f p99 %.1f  gap ms p95 %.1f\n",
                  report.attempts, quantile(report.first_token_ms, 0.5),
                  quantile(report.first_token_ms, 0.95), quantile(report.first_token_ms, 0.99),
                  quantile(report.inter_token_ms, 0.95));
    text += line.data();
    for (const auto& entry : report.notes) {
        text += "  " + entry + "\n";
    }
    return text;
}

caller::caller() = default;
caller::~caller() = default;

auto caller::start(event_loop& loop, caller_options options, std::function<void()> done)
    -> result<void>
{
    state_ = std::make_unique<detail::caller_state>();
    state_->options = std::move(options);
    state_->loop = &loop;
    state_->done = std::move(done);
    state_->random.seed(state_->options.seed);
    for (const auto& entry : state_->options.entries) {
        state_->instances[entry.address] = entry.instance;
    }
    BOOST_LEAF_CHECK(state_->history.open(state_->options.history_file));
    loop.post([this] { start_jobs(*state_); });
    return {};
}

auto caller::report() const -> const caller_report&
{
    return state_->report;
}

} // namespace cyclamenpost::fakes
