#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "cyclamenpost/routing/request_steps.hpp"

using namespace cyclamenpost;

namespace {

constexpr std::string_view refused_but_ran = "a request ran whose caller was told that it did not";
constexpr std::string_view ran_twice = "a request that runs once ran twice";
constexpr std::string_view ran_too_often = "a repeatable request ran more often than allowed";
constexpr std::string_view wrong_answer = "a caller got the response to another request";

/// Which idle connections to a target may carry a request.
enum class connection_rule {
    /// Any.
    any_idle,
    /// Those that have not carried the request's id.
    never_same_id,
    /// Those whose previous request had another id.
    not_last_id,
};

/// How the client recognises the response to the request in progress.
enum class reading_rule {
    /// By its id; a response without one counts only on a connection without an earlier request.
    by_id,
    /// By its id; a response without one always counts.
    trust_unidentified,
};

/// What a target does with a request.
enum class reply : std::uint8_t { refusal, misdirected, answer, unidentified, failure, stream };

constexpr std::size_t reply_kinds = 6;
// targets at which a repeatable request may run
constexpr std::uint8_t max_runs = 2;

/// A request as the caller sends it.
struct request_kind {
    bool repeatable = false;
    bool stream = false;
};

struct settings {
    connection_rule connections = connection_rule::never_same_id;
    reading_rule reading = reading_rule::by_id;
    std::vector<request_kind> requests;
    std::uint8_t targets = 1;
    std::size_t max_connections = 2;
    /// Connections are kept by address only, and all targets have the same one.
    bool one_address = false;
    /// A pause also allows a return to a target that answered 421.
    bool returns_after_misdirected = false;
    /// Targets may leave out the id of a response.
    bool omits_ids = false;
    /// Targets may run a request and answer 500.
    bool fails = false;
};

struct request_state {
    request_progress progress;
    bool stream = false;
    bool searching = true;
    std::uint8_t target = 0;
    std::uint8_t tried = 0;
    std::uint8_t rejected_by = 0;
    /// Times that targets have run the request or are going to.
    std::uint8_t runs = 0;
    /// The caller was told that the request has not run and never will.
    bool promised = false;
};

/// An open connection. What the target decided on each request is known when the request is sent:
/// a run that has yet to begin counts like one that has begun, since a target may run a request
/// after the connection was closed.
struct connection_state {
    std::uint8_t peer = 0;
    /// Index of the request in progress plus one.
    std::uint8_t current = 0;
    /// Index plus one of the request whose stream is being received.
    std::uint8_t streaming = 0;
    bool reusable = true;
    /// The connection carried an earlier request; kept only if responses may lack an id.
    bool reused = false;
    /// Ids that the rule remembers, one bit each.
    std::uint8_t known = 0;
    /// Responses written so far, one bit each; each may be written again.
    std::uint32_t written = 0;
    /// Responses that the target has yet to write, in order.
    std::string due;
};

struct world {
    std::vector<request_state> requests;
    std::vector<connection_state> connections;
};

/// A response as one byte: the request's index and the kind.
auto code_of(std::size_t request, reply kind) -> char
{
    return static_cast<char>(request * reply_kinds + static_cast<std::size_t>(kind));
}

auto request_of(char response) -> std::size_t
{
    return static_cast<std::size_t>(response) / reply_kinds;
}

auto kind_of(char response) -> reply
{
    return static_cast<reply>(static_cast<std::size_t>(response) % reply_kinds);
}

auto status_of(reply kind) -> int
{
    switch (kind) {
    case reply::refusal:
        return 503;
    case reply::misdirected:
        return 421;
    case reply::failure:
        return 500;
    default:
        return 200;
    }
}

auto runs_request(reply kind) -> bool
{
    return kind != reply::refusal && kind != reply::misdirected;
}

auto bit(std::size_t index) -> std::uint8_t
{
    return static_cast<std::uint8_t>(1U << index);
}

auto judge(reply kind, bool continues) -> answer_verdict
{
    auto answer = complete_answer{};
    answer.status = status_of(kind);
    answer.not_executed = kind == reply::refusal;
    answer.has_receipt = runs_request(kind);
    answer.continues = continues;
    if (kind == reply::stream) {
        answer.stream = stream_end::whole;
    }
    return judge_answer(answer);
}

auto encode(const request_state& request) -> std::string
{
    const auto& progress = request.progress;
    auto text = std::string{};
    // `unsent` and `disclaimed` are left out: they only name the proof of a refusal
    for (const auto field :
         {progress.attempts, progress.runs, progress.pauses, std::uint32_t{progress.attempting},
          std::uint32_t{progress.answer_started}, std::uint32_t{progress.ended},
          std::uint32_t{request.searching}, std::uint32_t{request.target},
          std::uint32_t{request.tried}, std::uint32_t{request.rejected_by},
          std::uint32_t{request.runs}, std::uint32_t{request.promised}}) {
        text += static_cast<char>(field);
    }
    return text;
}

auto append(std::string& text, const connection_state& connection) -> void
{
    for (const auto field :
         {connection.peer, connection.current, connection.streaming,
          std::uint8_t{connection.reusable}, std::uint8_t{connection.reused}, connection.known}) {
        text += static_cast<char>(field);
    }
    for (auto shift = 0U; shift < 32; shift += 8) {
        text += static_cast<char>(connection.written >> shift);
    }
    text += static_cast<char>(connection.due.size());
    text += connection.due;
}

/// Treats all identified responses to a request that has ended alike: none can be taken for the
/// response to a request in progress.
auto forget_responses(connection_state& connection, std::size_t request) -> void
{
    const auto answer = code_of(request, reply::answer);
    const auto unidentified = 1U << static_cast<unsigned>(code_of(request, reply::unidentified));
    const auto first = request * reply_kinds;
    const auto identified = (((1U << reply_kinds) - 1U) << first) & ~unidentified;
    if ((connection.written & identified) != 0) {
        connection.written =
            (connection.written & ~identified) | (1U << static_cast<unsigned>(answer));
    }
    for (auto& response : connection.due) {
        if (request_of(response) == request && kind_of(response) != reply::unidentified) {
            response = answer;
        }
    }
    connection.known &= static_cast<std::uint8_t>(~bit(request));
}

/// Removes what cannot influence the future, and orders the connections, so that equivalent states
/// are equal. The runs of a request that has ended were checked before and cannot change.
auto normalise(world& state) -> void
{
    for (auto about = std::size_t{0}; about < state.requests.size(); ++about) {
        auto& request = state.requests[about];
        if (!request.progress.ended) {
            continue;
        }
        auto kept = request_state{};
        kept.progress.repeatable = request.progress.repeatable;
        kept.progress.ended = true;
        kept.searching = false;
        request = kept;
        for (auto& connection : state.connections) {
            forget_responses(connection, about);
        }
    }
    std::ranges::sort(state.connections, {}, [](const auto& connection) {
        return std::tie(connection.peer, connection.current, connection.streaming,
                        connection.reusable, connection.reused, connection.known,
                        connection.written, connection.due);
    });
}

auto encode(const world& state) -> std::string
{
    auto text = std::string{};
    text.reserve(64);
    for (const auto& request : state.requests) {
        text += encode(request);
    }
    for (const auto& connection : state.connections) {
        append(text, connection);
    }
    return text;
}

/// All reachable states of a few requests and the connections that carry them. A request has a
/// bounded number of attempts, so the states are finite, although any number of duplicates may be
/// written. A duplicate that is written while the connection is idle and read after the next
/// request was sent is the same as one that is written during that request.
struct model {
    struct node {
        world state;
        std::size_t parent = 0;
        std::string_view event;
        std::size_t request = 0;
    };

    settings given;
    std::vector<node> nodes;
    std::unordered_set<std::string> seen;
    std::size_t expanded = 0;
    /// The shortest sequence of events to each violation.
    std::map<std::string_view, std::string> violations;
    /// Exploration ends when all of these have been found.
    std::set<std::string_view> sought;
    std::size_t max_states = 3'000'000;
    std::size_t resends = 0;
    std::size_t skipped = 0;

    explicit model(settings chosen) : given(std::move(chosen)) {}

    auto sequence_to(std::string_view event, std::size_t request) const -> std::string
    {
        const auto text_of = [](std::string_view what, std::size_t which) {
            return std::string{what} + " " + std::to_string(which);
        };
        auto text = text_of(event, request);
        for (auto at = expanded; at != 0; at = nodes[at].parent) {
            text.insert(0, text_of(nodes[at].event, nodes[at].request) + "; ");
        }
        return text;
    }

    auto check(bool holds, std::string_view what, std::string_view event, std::size_t request)
        -> bool
    {
        if (!holds && !violations.contains(what)) {
            violations.emplace(what, sequence_to(event, request));
        }
        return holds;
    }

    auto add(world state, std::string_view event, std::size_t about) -> void
    {
        auto sound = true;
        for (const auto& request : state.requests) {
            sound =
                check(request.progress.repeatable || request.runs <= 1, ran_twice, event, about) &&
                check(!request.progress.repeatable || request.runs <= max_runs, ran_too_often,
                      event, about) &&
                check(!request.promised || request.runs == 0, refused_but_ran, event, about) &&
                sound;
        }
        normalise(state);
        if (sound && seen.insert(encode(state)).second) {
            nodes.push_back({std::move(state), expanded, event, about});
        }
    }

    auto untried(const request_state& request, std::uint8_t target) const -> bool
    {
        return (request.tried & bit(target)) == 0;
    }

    auto has_untried(const request_state& request) const -> bool
    {
        return request.tried != bit(given.targets) - 1;
    }

    /// Closes the connection that carries the request; what the target has decided stays.
    static auto cancel(world& state, std::size_t request) -> void
    {
        std::erase_if(state.connections, [request](const auto& connection) {
            return connection.current == request + 1;
        });
    }

    /// What the driver does on a decision.
    auto follow(world& state, std::size_t about, const request_step& step,
                std::optional<char> received, std::string_view event) -> bool
    {
        auto& request = state.requests[about];
        if (!request.progress.attempting) {
            cancel(state, about);
        }
        switch (step.action) {
        case request_action::try_target:
            request.searching = true;
            if (step.after_pause) {
                request.tried &= static_cast<std::uint8_t>(~request.rejected_by);
                request.rejected_by = 0;
                ++resends;
            }
            return true;
        case request_action::pass_answer: {
            const auto status = status_of(kind_of(*received));
            request.promised = status == 503 || status == 421;
            return check(request_of(*received) == about, wrong_answer, event,
                         request_of(*received));
        }
        case request_action::refuse:
            request.promised = true;
            return true;
        default:
            return true;
        }
    }

    /// Applies an event with the combinations of the facts that decide on a retry.
    auto apply(const world& state, std::size_t about, request_event event, std::string_view name,
               std::optional<char> received = {}) -> void
    {
        const auto& before = state.requests[about];
        event.connected = event.sent;
        event.time_left = true;
        event.overdue = true;
        auto decisions = std::set<std::tuple<request_action, bool, std::string>>{};
        for (auto facts = 0U; facts < 8; ++facts) {
            event.retry_allowed = (facts & 1U) != 0;
            event.target_available = (facts & 2U) != 0;
            event.room_expected = (facts & 4U) != 0;
            if ((event.target_available && !has_untried(before)) ||
                (event.room_expected && before.rejected_by == 0)) {
                continue;
            }
            auto request = before;
            const auto step = advance(request.progress, event);
            if (!decisions.emplace(step.action, step.after_pause, encode(request)).second) {
                continue;
            }
            auto next = state;
            next.requests[about] = request;
            if (follow(next, about, step, received, name)) {
                add(std::move(next), name, received ? request_of(*received) : about);
            }
        }
    }

    static auto event_of(request_event_kind kind, bool sent) -> request_event
    {
        auto event = request_event{};
        event.kind = kind;
        event.sent = sent;
        return event;
    }

    auto remember(std::uint8_t known, std::size_t request) const -> std::uint8_t
    {
        switch (given.connections) {
        case connection_rule::any_idle:
            return 0;
        case connection_rule::never_same_id:
            return known | bit(request);
        case connection_rule::not_last_id:
            return bit(request);
        }
        return 0;
    }

    /// Sends a request over a connection; the target decides what it does with it.
    auto send(const world& state, std::size_t about, std::size_t over, std::string_view name)
        -> void
    {
        const auto& request = state.requests[about];
        for (auto index = 0U; index < reply_kinds; ++index) {
            const auto kind = static_cast<reply>(index);
            const auto whole = kind == reply::answer || kind == reply::unidentified;
            if ((request.stream ? whole : kind == reply::stream) ||
                (kind == reply::unidentified && !given.omits_ids) ||
                (kind == reply::failure && !given.fails)) {
                continue;
            }
            auto next = state;
            auto& connection = next.connections[over];
            connection.current = static_cast<std::uint8_t>(about + 1);
            connection.known = remember(connection.known, about);
            connection.due += code_of(about, kind);
            next.requests[about].runs += runs_request(kind) ? 1 : 0;
            add(std::move(next), name, about);
        }
    }

    auto begin_attempts(const world& state, std::size_t about) -> void
    {
        for (auto target = std::uint8_t{0}; target < given.targets; ++target) {
            if (!untried(state.requests[about], target)) {
                continue;
            }
            auto next = state;
            auto& request = next.requests[about];
            request.target = target;
            request.tried |= bit(target);
            request.searching = false;
            advance(request.progress, event_of(request_event_kind::attempt_begun, false));
            apply(next, about, event_of(request_event_kind::connection_ended, false),
                  "cannot connect");
            const auto peer = given.one_address ? std::uint8_t{0} : target;
            for (auto over = std::size_t{0}; over < next.connections.size(); ++over) {
                const auto& connection = next.connections[over];
                if (connection.current == 0 && connection.peer == peer &&
                    (connection.known & bit(about)) == 0) {
                    auto reusing = next;
                    reusing.connections[over].reused = given.omits_ids;
                    send(reusing, about, over, "send over an idle connection");
                }
            }
            if (next.connections.size() < given.max_connections) {
                next.connections.emplace_back();
                next.connections.back().peer = peer;
                send(next, about, next.connections.size() - 1, "send over a new connection");
            }
        }
    }

    /// A complete response ends the exchange, with and without further bytes behind it.
    auto complete(const world& state, std::size_t on, char response, std::string_view name) -> void
    {
        complete(state, on, response, false, name);
        if (state.connections[on].reusable) {
            complete(state, on, response, true, name);
        }
    }

    /// Ends an exchange. Bytes behind the response close the connection.
    auto complete(world state, std::size_t on, char response, bool more_bytes,
                  std::string_view name) -> void
    {
        auto& connection = state.connections[on];
        const auto about = std::size_t{connection.current} - 1;
        auto& request = state.requests[about];
        connection.current = 0;
        connection.streaming = 0;
        if (more_bytes || !connection.reusable) {
            state.connections.erase(state.connections.begin() + static_cast<std::ptrdiff_t>(on));
        }
        const auto kind = kind_of(response);
        const auto verdict = judge(kind, request.progress.answer_started);
        if (verdict.end == attempt_end::not_executed &&
            (verdict.health == target_outcome::rejected || given.returns_after_misdirected)) {
            request.rejected_by |= bit(request.target);
        }
        auto event = event_of(request_event_kind::answer_complete, true);
        event.verdict = verdict.end;
        apply(state, about, event, name, response);
    }

    /// The client reads a response, as `http1_client` does.
    auto read(world state, std::size_t on, char response, std::string_view name) -> void
    {
        auto& connection = state.connections[on];
        const auto writer = request_of(response);
        if (connection.current == 0) {
            state.connections.erase(state.connections.begin() + static_cast<std::ptrdiff_t>(on));
            add(std::move(state), name, writer);
            return;
        }
        const auto about = std::size_t{connection.current} - 1;
        const auto identified = kind_of(response) != reply::unidentified;
        const auto skip = identified ? writer != about
                                     : connection.reused && given.reading == reading_rule::by_id;
        if (skip) {
            connection.reusable = false;
            ++skipped;
            add(std::move(state), name, writer);
            return;
        }
        connection.reusable = connection.reusable &&
                              (identified || given.reading == reading_rule::trust_unidentified);
        if (kind_of(response) != reply::stream) {
            complete(state, on, response, name);
            return;
        }
        connection.streaming = static_cast<std::uint8_t>(writer + 1);
        auto& progress = state.requests[about].progress;
        if (!progress.answer_started) {
            check(writer == about, wrong_answer, name, writer);
            advance(progress, event_of(request_event_kind::answer_started, true));
        }
        add(std::move(state), name, writer);
    }

    auto end_connection(world state, std::size_t on) -> void
    {
        const auto current = state.connections[on].current;
        state.connections.erase(state.connections.begin() + static_cast<std::ptrdiff_t>(on));
        if (current == 0) {
            add(std::move(state), "close idle connection", 0);
            return;
        }
        apply(state, current - std::size_t{1}, event_of(request_event_kind::connection_ended, true),
              "reset");
    }

    auto expand_connection(const world& state, std::size_t on) -> void
    {
        end_connection(state, on);
        const auto& connection = state.connections[on];
        if (connection.streaming != 0) {
            const auto response = code_of(connection.streaming - std::size_t{1}, reply::stream);
            complete(state, on, response, "end of stream");
            return;
        }
        if (!connection.due.empty()) {
            auto next = state;
            const auto response = next.connections[on].due.front();
            next.connections[on].due.erase(0, 1);
            next.connections[on].written |= 1U << static_cast<unsigned>(response);
            read(std::move(next), on, response, "response to");
        }
        for (auto code = 0U; code < reply_kinds * state.requests.size(); ++code) {
            if ((connection.written >> code & 1U) != 0) {
                read(state, on, static_cast<char>(code), "duplicate response to");
            }
        }
    }

    static auto is_streaming(const world& state, std::size_t request) -> bool
    {
        return std::ranges::any_of(state.connections, [request](const auto& connection) {
            return connection.current == request + 1 && connection.streaming != 0;
        });
    }

    auto expand(const world& state) -> void
    {
        for (auto about = std::size_t{0}; about < state.requests.size(); ++about) {
            const auto& request = state.requests[about];
            if (request.progress.ended) {
                continue;
            }
            const auto sent = request.progress.attempting;
            if (request.searching) {
                begin_attempts(state, about);
                apply(state, about, event_of(request_event_kind::no_target, false), "no target");
            }
            if (sent) {
                const auto kind = is_streaming(state, about) ? request_event_kind::stalled
                                                             : request_event_kind::silent;
                apply(state, about, event_of(kind, true), "silence");
            }
            apply(state, about, event_of(request_event_kind::time_over, sent), "time over");
            apply(state, about, event_of(request_event_kind::caller_left, sent), "caller left");
        }
        for (auto on = std::size_t{0}; on < state.connections.size(); ++on) {
            expand_connection(state, on);
        }
    }

    auto found_all() const -> bool
    {
        return !sought.empty() && std::ranges::all_of(sought, [this](const auto& what) {
            return violations.contains(what);
        });
    }

    auto run() -> void
    {
        auto first = world{};
        for (const auto& kind : given.requests) {
            auto request = request_state{};
            request.progress.repeatable = kind.repeatable;
            request.progress.max_runs = kind.repeatable ? max_runs : 1;
            request.stream = kind.stream;
            first.requests.push_back(request);
        }
        add(std::move(first), "start", 0);
        for (expanded = 0; expanded < nodes.size() && nodes.size() < max_states && !found_all();
             ++expanded) {
            const auto state = std::exchange(nodes[expanded].state, {});
            expand(state);
        }
    }

    /// Whether all reachable states were visited.
    auto finished() const -> bool
    {
        return expanded == nodes.size();
    }
};

constexpr auto once = request_kind{false, false};
constexpr auto repeatable = request_kind{true, false};
constexpr auto resumable_stream = request_kind{true, true};

auto settings_for(connection_rule rule, std::vector<request_kind> requests, std::uint8_t targets)
    -> settings
{
    auto chosen = settings{};
    chosen.connections = rule;
    chosen.requests = std::move(requests);
    chosen.targets = targets;
    return chosen;
}

/// Explores all states and expects no violation, and that there were resends and skipped responses.
auto check_sound(const settings& chosen) -> void
{
    auto checked = model{chosen};
    checked.run();
    for (const auto& violation : checked.violations) {
        FAIL_CHECK(violation.first, ": ", violation.second);
    }
    CHECK(checked.finished());
    CHECK(checked.resends > 0);
    CHECK((checked.skipped > 0 || chosen.requests.size() == 1));
}

auto check_finds(const settings& chosen, std::set<std::string_view> sought) -> void
{
    auto checked = model{chosen};
    checked.sought = std::move(sought);
    checked.run();
    for (const auto& what : checked.sought) {
        CAPTURE(what);
        CHECK(checked.violations.contains(what));
    }
}

} // namespace

// Guards against a kept connection that carries a request a second time: a duplicate of the first
// refusal has the same id as the response to the second send, and no reading rule can tell them
// apart.
TEST_CASE("duplicate_answers: the model finds false refusals and second runs if any idle "
          "connection may carry a request")
{
    check_finds(settings_for(connection_rule::any_idle, {once}, 1), {refused_but_ran});
    check_finds(settings_for(connection_rule::any_idle, {once}, 1), {ran_twice});
    check_finds(settings_for(connection_rule::any_idle, {once, repeatable}, 1),
                {refused_but_ran, ran_twice});
    check_finds(settings_for(connection_rule::any_idle, {repeatable}, 2), {ran_too_often});
    check_finds(settings_for(connection_rule::any_idle, {once, once}, 2),
                {refused_but_ran, ran_twice});
}

// Guards against a bounded memory of ids that forgets the older ones.
TEST_CASE("duplicate_answers: the model finds false refusals and second runs if a connection "
          "remembers only its last id")
{
    check_finds(settings_for(connection_rule::not_last_id, {once, once}, 1),
                {refused_but_ran, ran_twice});
}

// Guards against a reading rule under which a late response without an id speaks for another
// request.
TEST_CASE("duplicate_answers: the model finds another request's response if responses without an "
          "id are trusted")
{
    auto chosen = settings_for(connection_rule::never_same_id, {once, once}, 1);
    chosen.omits_ids = true;
    chosen.reading = reading_rule::trust_unidentified;
    check_finds(chosen, {wrong_answer});
}

TEST_CASE("duplicate_answers: no duplicate does harm if a connection never carries an id twice")
{
    SUBCASE("one target, requests that run once")
    {
        check_sound(settings_for(connection_rule::never_same_id, {once, once}, 1));
    }
    SUBCASE("one target, three requests on one connection")
    {
        auto chosen = settings_for(connection_rule::never_same_id, {once, once, once}, 1);
        chosen.max_connections = 1;
        check_sound(chosen);
    }
    SUBCASE("one target, a repeatable request and failures")
    {
        auto chosen = settings_for(connection_rule::never_same_id, {once, repeatable}, 1);
        chosen.fails = true;
        check_sound(chosen);
    }
    SUBCASE("two targets")
    {
        check_sound(settings_for(connection_rule::never_same_id, {once, once}, 2));
    }
    SUBCASE("two targets, a repeatable request and failures")
    {
        auto chosen = settings_for(connection_rule::never_same_id, {repeatable}, 2);
        chosen.fails = true;
        check_sound(chosen);
    }
    SUBCASE("two targets, a stream that resumes")
    {
        check_sound(settings_for(connection_rule::never_same_id, {once, resumable_stream}, 2));
    }
    SUBCASE("one process listed as two targets, connections kept by address")
    {
        auto chosen = settings_for(connection_rule::never_same_id, {once, once}, 2);
        chosen.one_address = true;
        check_sound(chosen);
    }
    SUBCASE("return to a target that answered 421")
    {
        auto chosen = settings_for(connection_rule::never_same_id, {once, repeatable}, 1);
        chosen.returns_after_misdirected = true;
        check_sound(chosen);
    }
    SUBCASE("responses without an id")
    {
        auto chosen = settings_for(connection_rule::never_same_id, {once, once}, 1);
        chosen.omits_ids = true;
        check_sound(chosen);
    }
}
