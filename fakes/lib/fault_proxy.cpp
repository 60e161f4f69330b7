#include "fault_proxy.hpp"

namespace cyclamenpost::fakes {

namespace {

constexpr duration added_delay = std::chrono::milliseconds{120};

} // namespace

fault_proxy::fault_proxy(event_loop& loop, std::string upstream_address)
    : loop_(loop), upstream_address_(std::move(upstream_address))
{}

auto fault_proxy::listen() -> result<void>
{
    BOOST_LEAF_ASSIGN(listener_,
                      tcp_listener::open(loop_, "127.0.0.1:0",
                                         [this](tcp_connection accepted, const std::string&) {
                                             accept(std::move(accepted));
                                         }));
    return {};
}

auto fault_proxy::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(listener_.port());
}

auto fault_proxy::set_mode(link_mode mode) -> void
{
    mode_ = mode;
    for (const auto& connection : links_) {
        connection->silent_requests = connection->silent_requests || mode == link_mode::silent;
        connection->silent_answers = connection->silent_answers || mode == link_mode::silent ||
                                     mode == link_mode::silent_answers;
    }
}

auto fault_proxy::reset_connections() -> void
{
    const auto links = std::exchange(links_, {});
    for (const auto& each : links) {
        each->ended = true;
        each->downstream.reset();
        each->upstream.reset();
    }
}

auto fault_proxy::accept(tcp_connection accepted) -> void
{
    if (mode_ == link_mode::refuse) {
        accepted.reset();
        return;
    }
    auto connection = std::make_shared<link>();
    connection->silent_requests = mode_ == link_mode::silent;
    connection->silent_answers = mode_ == link_mode::silent || mode_ == link_mode::silent_answers;
    connection->downstream = std::move(accepted);
    const auto connected = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(connection->upstream, connect_tcp(loop_, upstream_address_));
            return {};
        },
        [](const error&) {});
    if (!connected) {
        connection->downstream.reset();
        return;
    }
    links_.push_back(connection);
    const auto weak = std::weak_ptr{connection};
    const auto handlers = [this, weak](bool to_upstream) {
        auto events = tcp_handlers{};
        events.on_bytes = [this, weak, to_upstream](std::string_view bytes) {
            if (const auto alive = weak.lock()) {
                forward(alive, to_upstream, bytes);
            }
        };
        events.on_closed = [this, weak, to_upstream](close_reason reason) {
            if (const auto alive = weak.lock()) {
                end_link(alive, !to_upstream, reason);
            }
        };
        return events;
    };
    connection->downstream.set_handlers(handlers(true));
    connection->upstream.set_handlers(handlers(false));
}

auto fault_proxy::forward(const std::shared_ptr<link>& connection, bool to_upstream,
                          std::string_view bytes) -> void
{
    if (to_upstream ? connection->silent_requests : connection->silent_answers) {
        return;
    }
    auto& destination = to_upstream ? connection->upstream : connection->downstream;
    if (mode_ != link_mode::delay && connection->delayed.empty()) {
        destination.send(bytes);
        return;
    }
    connection->delayed.push_back(loop_.call_after(
        added_delay, [weak = std::weak_ptr{connection}, to_upstream, text = std::string{bytes}] {
            if (const auto alive = weak.lock()) {
                (to_upstream ? alive->upstream : alive->downstream).send(text);
                std::erase_if(alive->delayed, [](const timer& each) { return !each.pending(); });
            }
        }));
}

auto fault_proxy::end_link(const std::shared_ptr<link>& connection, bool upstream_ended,
                           close_reason reason) -> void
{
    if (std::exchange(connection->ended, true)) {
        return;
    }
    auto& remaining = upstream_ended ? connection->downstream : connection->upstream;
    const auto silent = upstream_ended ? connection->silent_answers : connection->silent_requests;
    if (reason == close_reason::finished && !silent) {
        // delayed bytes are sent before the connection closes
        const auto wait = connection->delayed.empty() ? duration{1} : 2 * added_delay;
        connection->delayed.push_back(
            loop_.call_after(wait, [this, weak = std::weak_ptr{connection}, upstream_ended] {
                if (const auto alive = weak.lock()) {
                    (upstream_ended ? alive->downstream : alive->upstream).close();
                    links_.remove(alive);
                }
            }));
        return;
    }
    remaining.reset();
    links_.remove(connection);
}

} // namespace cyclamenpost::fakes
