#include "cyclamenpost/transport/http1_client.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "cyclamenpost/core/types.hpp"
#include "cyclamenpost/limits/byte_budget.hpp"

namespace cyclamenpost {

namespace {

// response heads of the peers are small; a larger one is treated as malformed
constexpr std::size_t max_response_header_bytes = 65536;
// an idle connection is closed this long before the peer would close it
constexpr duration keep_alive_margin = std::chrono::milliseconds{700};
constexpr duration sweep_period = std::chrono::seconds{1};
// what an idle connection takes in this process and in libwebsockets
constexpr std::size_t connection_bytes = 2048;
// a connection with an ordinary head goes on while few others hold much
constexpr std::size_t small_connection_bytes = 8192;
// interim responses and late copies of earlier responses are few and small; a peer that sends more
// of them may go on without end
constexpr std::size_t max_skipped_responses = 16;
constexpr std::size_t max_skipped_bytes = std::size_t{1} << 20U;
// idle connections to a peer that one request may pass over; a caller that repeats one id would
// otherwise add a connection with each request
constexpr std::size_t max_passed_over = 4;

auto failure_of(close_reason reason) -> exchange_failure
{
    switch (reason) {
    case close_reason::refused:
        return exchange_failure::refused;
    case close_reason::unreachable:
        return exchange_failure::unreachable;
    case close_reason::reset:
        return exchange_failure::reset;
    case close_reason::finished:
        return exchange_failure::cut_short;
    }
    return exchange_failure::reset;
}

/// Seconds of "timeout=N" in a Keep-Alive header.
auto keep_alive_seconds(const header_fields& fields) -> std::optional<int>
{
    const auto value = find_field(fields, "Keep-Alive");
    if (!value) {
        return std::nullopt;
    }
    const auto at = value->find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value->substr(at + 8);
    auto seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return parsed.ec == std::errc{} ? std::optional{seconds} : std::nullopt;
}

/// Whether the response has no body whatever its length says. Such a request has a connection of
/// its own: a late copy of its response, or of an earlier one before it, would be read with the
/// wrong length.
auto is_head(const request_head& head) -> bool
{
    return head.method == "HEAD";
}

} // namespace

namespace detail {

struct client_pool;

/// The address of a peer, and which peer is expected there.
using peer_key = std::pair<std::string, std::string>;

struct client_connection : std::enable_shared_from_this<client_connection> {
    std::weak_ptr<client_pool> pool;
    peer_key peer;
    std::uint64_t number = 0;
    tcp_connection tcp;
    std::unique_ptr<http1_parser> parser;
    exchange_handlers handlers;
    /// Number of exchanges begun on the connection; identifies the current one.
    std::uint64_t exchange_number = 0;
    /// Id of the current request.
    std::string id;
    /// Hashes of the ids that the connection has carried.
    std::vector<std::uint64_t> carried_ids;
    std::uint64_t sent_bytes_before = 0;
    /// Record of the current or last exchange, shared with its owner. Kept after the connection is
    /// closed, because it decides whether the request may be retried.
    std::shared_ptr<exchange_record> record;
    bool established = false;
    bool busy = false;
    bool reused = false;
    /// The response being received does not belong to the request, or is an interim (1xx) one.
    bool skipping = false;
    /// Responses skipped in the current exchange, and the bytes of their bodies.
    std::size_t skipped_responses = 0;
    std::size_t skipped_bytes = 0;
    /// The response has been received completely, but `on_complete` has not been called yet.
    bool response_complete = false;
    bool reusable = true;
    duration idle_limit{};
    time_point idle_since{};
    /// Memory of the connection as counted in the client.
    std::size_t counted_bytes = 0;

    client_connection() = default;
    client_connection(const client_connection&) = delete;
    auto operator=(const client_connection&) -> client_connection& = delete;
    ~client_connection();

    auto open(event_loop& loop) -> result<void>;
    auto begin(const outgoing_request& request, exchange_handlers events) -> void;
    auto on_bytes(std::string_view bytes) -> void;
    auto on_closed(close_reason reason) -> void;
    auto on_head() -> void;
    auto on_body(std::string_view bytes) -> void;
    /// Whether the connection has carried a request with the id.
    auto has_carried(const std::string& request_id) const -> bool;
    /// Whether the response belongs to the current request.
    auto is_own(const response_head& head) -> bool;
    auto check_skipped() -> void;
    /// Ends the exchange after a complete response. The connection is kept for another request
    /// unless the peer sent further bytes.
    auto end_exchange(bool more_bytes) -> void;
    auto fail(exchange_failure reason) -> void;
    auto drop() -> void;
    /// Counts the memory that the connection holds now. Returns whether it may go on growing.
    auto count_bytes() -> bool;
    /// Brings the record's count of sent bytes up to date.
    auto note_sent() -> void;
};

struct client_pool {
    event_loop* loop = nullptr;
    duration idle_limit{};
    client_counters counters;
    /// Memory that the connections hold, with the limit for it.
    byte_budget memory{std::numeric_limits<std::size_t>::max(), 0, small_connection_bytes};
    std::map<peer_key, std::vector<std::shared_ptr<client_connection>>> idle;

    /// Takes an idle connection that has not carried the id. Adds the number of those that have to
    /// `passed_over`.
    auto take_idle(const peer_key& peer, const std::string& id, std::uint64_t& passed_over)
        -> std::shared_ptr<client_connection>;
    auto keep(std::shared_ptr<client_connection> connection) -> void;
    auto remove(const client_connection* connection) -> void;
    auto sweep() -> void;
};

client_connection::~client_connection()
{
    if (const auto owner = pool.lock()) {
        hold_bytes(owner->memory, counted_bytes, 0);
    }
}

auto client_connection::count_bytes() -> bool
{
    const auto owner = pool.lock();
    if (!owner) {
        return true;
    }
    const auto held = connection_bytes + parser->held_bytes() + tcp.held_bytes() + id.capacity() +
                      carried_ids.capacity() * sizeof(std::uint64_t);
    auto& memory = owner->memory;
    memory.used += held - counted_bytes;
    counted_bytes = held;
    return memory.used <= memory.limit ||
           (held <= memory.guaranteed_per_holder && memory.used - memory.limit < memory.limit / 4);
}

auto client_connection::open(event_loop& loop) -> result<void>
{
    BOOST_LEAF_ASSIGN(tcp, connect_tcp(loop, peer.first));
    auto parser_handlers = http1_handlers{};
    parser_handlers.on_head = [this] { on_head(); };
    parser_handlers.on_body = [this](std::string_view bytes) { on_body(bytes); };
    parser_handlers.on_complete = [this] { response_complete = busy && !skipping; };
    parser = std::make_unique<http1_parser>(http1_parser::kind::response,
                                            std::move(parser_handlers), max_response_header_bytes);
    auto events = tcp_handlers{};
    events.on_connected = [this] {
        established = true;
        record->established = true;
    };
    events.on_bytes = [this](std::string_view bytes) {
        const auto self = shared_from_this();
        on_bytes(bytes);
    };
    events.on_sent = [this] { count_bytes(); };
    events.on_closed = [this](close_reason reason) {
        const auto self = shared_from_this();
        on_closed(reason);
    };
    tcp.set_handlers(std::move(events));
    return {};
}

auto client_connection::begin(const outgoing_request& request, exchange_handlers events) -> void
{
    handlers = std::move(events);
    busy = true;
    skipping = false;
    skipped_responses = 0;
    skipped_bytes = 0;
    response_complete = false;
    ++exchange_number;
    id = request.id;
    if (!id.empty()) {
        carried_ids.push_back(hash64(id));
    }
    sent_bytes_before = tcp.sent_bytes();
    record = std::make_shared<exchange_record>();
    record->connection = number;
    record->earlier_exchanges = exchange_number - 1;
    record->established = established;
    parser->expect_no_body(is_head(request.head));
    reusable = !is_head(request.head);
    tcp.send(write_request_head(request.head, request.body.size()), request.body);
    count_bytes();
}

auto client_connection::on_bytes(std::string_view bytes) -> void
{
    while (!bytes.empty()) {
        if (!busy) {
            if (const auto owner = pool.lock()) {
                ++owner->counters.unsolicited_responses;
            }
            drop();
            return;
        }
        bytes.remove_prefix(parser->parse(bytes));
        if (parser->failure() != parse_failure::none) {
            fail(parser->failure() == parse_failure::header_too_large
                     ? exchange_failure::head_too_large
                     : exchange_failure::garbled);
            return;
        }
        if (!tcp) {
            return;
        }
        if (std::exchange(response_complete, false)) {
            end_exchange(!bytes.empty());
            return;
        }
    }
    if (!count_bytes()) {
        fail(exchange_failure::out_of_memory);
    }
}

auto client_connection::on_closed(close_reason reason) -> void
{
    if (!busy) {
        drop();
        return;
    }
    // a body without a declared length is complete only if the peer closed the connection cleanly
    const auto complete = reason == close_reason::finished && parser->in_message() &&
                          parser->response().until_close && !skipping;
    reusable = false;
    if (!complete || parser->finish()) {
        fail(failure_of(reason));
        return;
    }
    if (std::exchange(response_complete, false)) {
        end_exchange(false);
    }
}

auto client_connection::has_carried(const std::string& request_id) const -> bool
{
    return !request_id.empty() &&
           std::ranges::find(carried_ids, hash64(request_id)) != carried_ids.end();
}

auto client_connection::is_own(const response_head& head) -> bool
{
    if (!handlers.id_of) {
        return true;
    }
    const auto found = handlers.id_of(head);
    if (found.empty()) {
        // a late copy of an unidentified response could not be told from the next request's own
        reusable = false;
        // on a reused connection it may be a late copy of an earlier response itself
        return !reused;
    }
    return found == id;
}

auto client_connection::on_head() -> void
{
    auto& head = parser->response();
    const auto interim = head.status / 100 == 1;
    skipping = interim || !busy || !is_own(head);
    if (skipping) {
        reusable = reusable && interim;
        ++skipped_responses;
        check_skipped();
        return;
    }
    reusable = reusable && head.keep_alive && !head.until_close;
    if (const auto seconds = keep_alive_seconds(head.fields)) {
        idle_limit =
            std::min<duration>(idle_limit, std::chrono::seconds{*seconds} - keep_alive_margin);
    }
    if (handlers.on_head) {
        const auto receive = handlers.on_head;
        receive(head);
    }
}

auto client_connection::on_body(std::string_view bytes) -> void
{
    if (skipping) {
        skipped_bytes += bytes.size();
        check_skipped();
        return;
    }
    if (busy && handlers.on_body) {
        const auto receive = handlers.on_body;
        receive(bytes);
    }
}

auto client_connection::check_skipped() -> void
{
    if (skipped_responses > max_skipped_responses || skipped_bytes > max_skipped_bytes) {
        fail(exchange_failure::too_many_skipped);
    }
}

auto client_connection::end_exchange(bool more_bytes) -> void
{
    busy = false;
    id = {};
    const auto events = std::exchange(handlers, {});
    const auto owner = pool.lock();
    if (owner && more_bytes) {
        ++owner->counters.unsolicited_responses;
    }
    const auto keep = owner && reusable && !more_bytes && tcp && tcp.unsent_bytes() == 0 &&
                      idle_limit > duration::zero() && exchange_number < max_connection_requests;
    note_sent();
    parser->drop_head();
    count_bytes();
    if (keep) {
        idle_since = monotonic_now();
        owner->keep(shared_from_this());
    }
    else {
        tcp.close();
    }
    if (events.on_complete) {
        events.on_complete();
    }
}

auto client_connection::fail(exchange_failure reason) -> void
{
    const auto events = std::exchange(handlers, {});
    const auto was_busy = std::exchange(busy, false);
    drop();
    if (was_busy && events.on_failed) {
        events.on_failed(reason);
    }
}

auto client_connection::note_sent() -> void
{
    // a connection that has been given up counts no bytes any more
    if (record && tcp.sent_bytes() > sent_bytes_before) {
        record->sent_bytes = tcp.sent_bytes() - sent_bytes_before;
    }
}

auto client_connection::drop() -> void
{
    note_sent();
    tcp.close();
    if (const auto owner = pool.lock()) {
        owner->remove(this);
    }
}

auto client_pool::take_idle(const peer_key& peer, const std::string& id, std::uint64_t& passed_over)
    -> std::shared_ptr<client_connection>
{
    const auto found = idle.find(peer);
    if (found == idle.end()) {
        return nullptr;
    }
    auto& kept = found->second;
    const auto now = monotonic_now();
    for (auto next = kept.end(); next != kept.begin();) {
        --next;
        auto& candidate = **next;
        // pending input is a close that has not been handled yet, or a late copy of a response
        const auto usable = candidate.tcp && now - candidate.idle_since < candidate.idle_limit &&
                            !candidate.tcp.has_input();
        const auto carried = candidate.has_carried(id);
        if (usable && carried && passed_over < max_passed_over) {
            ++passed_over;
            continue;
        }
        auto connection = std::move(*next);
        next = kept.erase(next);
        if (usable && !carried) {
            return connection;
        }
        connection->tcp.close();
    }
    return nullptr;
}

auto client_pool::keep(std::shared_ptr<client_connection> connection) -> void
{
    idle[connection->peer].push_back(std::move(connection));
}

auto client_pool::remove(const client_connection* connection) -> void
{
    const auto found = idle.find(connection->peer);
    if (found != idle.end()) {
        std::erase_if(found->second, [&](const auto& kept) { return kept.get() == connection; });
    }
}

auto client_pool::sweep() -> void
{
    const auto now = monotonic_now();
    for (auto next = idle.begin(); next != idle.end();) {
        std::erase_if(next->second, [&](const auto& connection) {
            const auto old = now - connection->idle_since >= connection->idle_limit;
            if (old) {
                connection->tcp.close();
            }
            return old;
        });
        next = next->second.empty() ? idle.erase(next) : std::next(next);
    }
}

} // namespace detail

client_exchange::client_exchange() noexcept = default;
client_exchange::client_exchange(client_exchange&&) noexcept = default;

auto client_exchange::operator=(client_exchange&& other) noexcept -> client_exchange&
{
    if (this != &other) {
        cancel();
        connection_ = std::move(other.connection_);
        record_ = std::move(other.record_);
        exchange_number_ = other.exchange_number_;
    }
    return *this;
}

client_exchange::~client_exchange()
{
    cancel();
}

client_exchange::operator bool() const
{
    return connection_ && connection_->busy && connection_->exchange_number == exchange_number_;
}

auto client_exchange::sent() const -> bool
{
    return record().sent_bytes > 0;
}

auto client_exchange::connected() const -> bool
{
    return connection_ && connection_->tcp.connected();
}

auto client_exchange::reused() const -> bool
{
    return connection_ && connection_->reused;
}

auto client_exchange::record() const -> exchange_record
{
    if (*this) {
        connection_->note_sent();
    }
    return record_ ? *record_ : exchange_record{};
}

auto client_exchange::set_reading(bool enabled) -> void
{
    if (*this) {
        connection_->tcp.set_reading(enabled);
    }
}

auto client_exchange::cancel() -> void
{
    if (*this) {
        connection_->handlers = {};
        connection_->busy = false;
        connection_->drop();
    }
    connection_.reset();
}

http1_client::http1_client(event_loop& loop, duration idle_limit)
    : pool_(std::make_shared<detail::client_pool>())
{
    pool_->loop = &loop;
    pool_->idle_limit = idle_limit;
    sweep_ = loop.call_every(sweep_period, [pool = pool_.get()] { pool->sweep(); });
}

http1_client::~http1_client()
{
    pool_->idle.clear();
}

auto http1_client::send(const outgoing_request& request, exchange_handlers handlers)
    -> result<client_exchange>
{
    const auto& memory = pool_->memory;
    if (memory.used > memory.limit / 2 &&
        memory.limit - std::min(memory.used, memory.limit) < request.body.size()) {
        return fail(error_id::connect_failed, step::connect, request.address,
                    "the requests being sent leave no memory for another one");
    }
    const auto peer = detail::peer_key{request.address, request.peer};
    auto connection = std::shared_ptr<detail::client_connection>{};
    auto passed_over = std::uint64_t{0};
    if (!request.fresh_connection && !is_head(request.head)) {
        connection = pool_->take_idle(peer, request.id, passed_over);
    }
    if (connection) {
        ++pool_->counters.reused;
        connection->reused = true;
    }
    else {
        connection = std::make_shared<detail::client_connection>();
        connection->pool = pool_;
        connection->peer = peer;
        connection->idle_limit = pool_->idle_limit;
        BOOST_LEAF_CHECK(connection->open(*pool_->loop));
        connection->number = ++pool_->counters.opened;
    }
    connection->begin(request, std::move(handlers));
    connection->record->passed_over = passed_over;
    auto exchange = client_exchange{};
    exchange.exchange_number_ = connection->exchange_number;
    exchange.record_ = connection->record;
    exchange.connection_ = std::move(connection);
    return exchange;
}

auto http1_client::set_max_held_bytes(std::size_t limit) -> void
{
    pool_->memory.limit = limit;
}

auto http1_client::held_bytes() const -> std::size_t
{
    return pool_->memory.used;
}

auto http1_client::counters() const -> const client_counters&
{
    return pool_->counters;
}

} // namespace cyclamenpost
