#include "fault_proxy.hpp"

namespace cyclamenpost::fakes {

namespace {

constexpr duration added_delay = std::chrono::milliseconds{120};

} // namespace

fault_proxy::fault_proxy(event_loop& loop, std::string upstream)
    : loop_(loop), upstream_(std::move(upstream))
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
    for (const auto& open : links_) {
        open->silent_requests = open->silent_requests || mode == link_mode::silent;
        open->silent_answers =
            open->silent_answers || mode == link_mode::silent || mode == link_mode::silent_answers;
    }
}

auto fault_proxy::reset_connections() -> void
{
    const auto open = std::exchange(links_, {});
    for (const auto& each : open) {
        each->ended = true;
        each->near.reset();
        each->far.reset();
    }
}

auto fault_proxy::accept(tcp_connection accepted) -> void
{
    if (mode_ == link_mode::refuse) {
        accepted.reset();
        return;
    }
    auto open = std::make_shared<link>();
    open->silent_requests = mode_ == link_mode::silent;
    open->silent_answers = mode_ == link_mode::silent || mode_ == link_mode::silent_answers;
    open->near = std::move(accepted);
    const auto connected = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(open->far, connect_tcp(loop_, upstream_));
            return {};
        },
        [](const error&) {});
    if (!connected) {
        open->near.reset();
        return;
    }
    links_.push_back(open);
    const auto weak = std::weak_ptr{open};
    const auto handlers = [this, weak](bool to_far) {
        auto events = tcp_handlers{};
        events.on_bytes = [this, weak, to_far](std::string_view bytes) {
            if (const auto alive = weak.lock()) {
                pass(alive, to_far, bytes);
            }
        };
        events.on_closed = [this, weak, to_far](close_reason reason) {
            if (const auto alive = weak.lock()) {
                end(alive, !to_far, reason);
            }
        };
        return events;
    };
    open->near.set_handlers(handlers(true));
    open->far.set_handlers(handlers(false));
}

auto fault_proxy::pass(const std::shared_ptr<link>& open, bool to_far, std::string_view bytes)
    -> void
{
    if (to_far ? open->silent_requests : open->silent_answers) {
        return;
    }
    auto& out = to_far ? open->far : open->near;
    if (mode_ != link_mode::delay && open->delayed.empty()) {
        out.send(bytes);
        return;
    }
    open->delayed.push_back(loop_.call_after(
        added_delay, [weak = std::weak_ptr{open}, to_far, text = std::string{bytes}] {
            if (const auto alive = weak.lock()) {
                (to_far ? alive->far : alive->near).send(text);
                std::erase_if(alive->delayed, [](const timer& each) { return !each.pending(); });
            }
        }));
}

auto fault_proxy::end(const std::shared_ptr<link>& open, bool far_ended, close_reason reason)
    -> void
{
    if (std::exchange(open->ended, true)) {
        return;
    }
    auto& other = far_ended ? open->near : open->far;
    const auto silent = far_ended ? open->silent_answers : open->silent_requests;
    if (reason == close_reason::finished && !silent) {
        // bytes that are still delayed go first
        const auto wait = open->delayed.empty() ? duration{1} : 2 * added_delay;
        open->delayed.push_back(loop_.call_after(wait, [this, open, far_ended] {
            (far_ended ? open->near : open->far).close();
            links_.remove(open);
        }));
        return;
    }
    other.reset();
    links_.remove(open);
}

} // namespace cyclamenpost::fakes
