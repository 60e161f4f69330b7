#include "cyclamenpost/transport/event_loop.hpp"

#include <csignal>
#include <deque>
#include <list>
#include <utility>

#include <libwebsockets.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "http_detail.hpp"

namespace cyclamenpost {

namespace detail {

/// One scheduled call. `entry` comes first because libwebsockets passes its address back.
struct timer_state {
    lws_sorted_usec_list_t entry{};
    lws_context* context = nullptr;
    std::function<void()> action;
    duration period{};
    std::shared_ptr<timer_state> self;
};

/// A descriptor of another library that the loop polls.
struct watched_descriptor {
    std::function<void()> on_ready;
};

struct loop_state {
    lws_context* context = nullptr;
    lws_vhost* client_vhost = nullptr;
    bool stopping = false;
    std::size_t max_descriptors = 0;
    std::size_t open_descriptors = 0;
    /// Whether `run_until` has to check its condition after each event.
    bool checking_condition = false;
    /// When the present iteration and the one before it began.
    time_point iteration_begun = monotonic_now();
    time_point last_iteration_begun = iteration_begun;
    std::deque<std::function<void()>> posted;
    timer post_timer;
    std::list<watched_descriptor> descriptors;
    int signal_descriptor = -1;
};

} // namespace detail

namespace {

auto schedule(const std::shared_ptr<detail::timer_state>& state, duration delay) -> void;

// libwebsockets runs timers before it polls within one service call; without a wake-up, a condition
// that a timer made true would be seen only after the next unrelated event
auto wake_condition_check(lws_context* context) -> void
{
    const auto* loop = static_cast<const detail::loop_state*>(lws_context_user(context));
    if (loop != nullptr && loop->checking_condition) {
        lws_cancel_service(context);
    }
}

/// Time until the next multiple of the period. Periodic calls of one process that share a divisor
/// then run in the same iteration of the loop; libwebsockets busy-waits through the last
/// millisecond before every separate timer, which took half of the CPU time of an idle instance.
auto until_next_multiple(duration period) -> duration
{
    const auto remaining = period - monotonic_now().time_since_epoch() % period;
    // a call that ran slightly early must not be followed by another immediately
    return remaining < period / 2 ? remaining + period : remaining;
}

auto on_timer(lws_sorted_usec_list_t* entry) -> void
{
    auto* raw = reinterpret_cast<detail::timer_state*>(entry);
    wake_condition_check(raw->context);
    const auto state = std::exchange(raw->self, nullptr);
    if (state->period.count() > 0) {
        schedule(state, until_next_multiple(state->period));
        const auto action = state->action;
        action();
        return;
    }
    const auto action = std::move(state->action);
    action();
}

auto schedule(const std::shared_ptr<detail::timer_state>& state, duration delay) -> void
{
    state->self = state;
    lws_sul_schedule(state->context, 0, &state->entry, on_timer,
                     std::max<std::int64_t>(delay.count(), 1));
}

auto on_descriptor(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t) -> int
{
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        auto* watched = static_cast<detail::watched_descriptor*>(lws_get_opaque_user_data(wsi));
        if (watched != nullptr) {
            watched->on_ready();
        }
    }
    return 0;
}

const std::array<lws_protocols, 5> client_protocols{{
    {"http-client", detail::on_client_event, 0, 0, 0, nullptr, 0},
    {"descriptor", on_descriptor, 0, 0, 0, nullptr, 0},
    {"tcp", detail::on_tcp_event, 0, 0, 0, nullptr, 0},
    {"tcp-accept", detail::on_tcp_accept, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

// libwebsockets ends a client call whose first byte takes longer than this; its default of 5 s
// would end long polls and long prefills, which have time limits of their own
constexpr unsigned client_timeout_seconds = 3600;

} // namespace

timer::timer() noexcept = default;
timer::timer(timer&& other) noexcept = default;

timer::timer(std::shared_ptr<detail::timer_state> state) : state_(std::move(state)) {}

auto timer::operator=(timer&& other) noexcept -> timer&
{
    if (this != &other) {
        reset();
        state_ = std::move(other.state_);
    }
    return *this;
}

timer::~timer()
{
    reset();
}

auto timer::reset() -> void
{
    if (!state_) {
        return;
    }
    if (state_->self) {
        lws_sul_cancel(&state_->entry);
        state_->self = nullptr;
    }
    state_->period = duration{};
    state_ = nullptr;
}

auto timer::pending() const -> bool
{
    return state_ && state_->self;
}

event_loop::event_loop(unsigned max_connections) : state_(std::make_unique<detail::loop_state>())
{
    lws_set_log_level(LLL_ERR, nullptr);
    state_->max_descriptors = max_connections;
    auto info = lws_context_creation_info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.fd_limit_per_thread = max_connections;
    info.max_http_header_data = 16384;
    info.max_http_header_pool = static_cast<unsigned short>(std::min(max_connections, 65535U));
    info.pt_serv_buf_size = 32768;
    info.timeout_secs = client_timeout_seconds;
    info.user = state_.get();
    state_->context = lws_create_context(&info);

    auto vhost = lws_context_creation_info{};
    vhost.port = CONTEXT_PORT_NO_LISTEN;
    vhost.protocols = client_protocols.data();
    vhost.vhost_name = "client";
    vhost.timeout_secs = client_timeout_seconds;
    state_->client_vhost = lws_create_vhost(state_->context, &vhost);
}

event_loop::~event_loop()
{
    state_->post_timer.reset();
    lws_context_destroy(state_->context);
    if (state_->signal_descriptor >= 0) {
        close(state_->signal_descriptor);
    }
}

auto event_loop::run() -> void
{
    while (!state_->stopping && serve_once()) {
    }
}

auto event_loop::serve_once() -> bool
{
    state_->last_iteration_begun = std::exchange(state_->iteration_begun, monotonic_now());
    return lws_service(state_->context, 0) >= 0;
}

auto event_loop::events_since() const -> time_point
{
    return state_->last_iteration_begun;
}

auto event_loop::run_until(const std::function<bool()>& done, duration limit) -> bool
{
    auto expired = false;
    const auto outer_checking = std::exchange(state_->checking_condition, true);
    const auto deadline = call_after(limit, [&] { expired = true; });
    while (!done() && !expired && serve_once()) {
    }
    state_->checking_condition = outer_checking;
    return done();
}

auto event_loop::stop() -> void
{
    state_->stopping = true;
    lws_cancel_service(state_->context);
}

auto event_loop::call_after(duration delay, std::function<void()> action) -> timer
{
    auto state = std::make_shared<detail::timer_state>();
    state->context = state_->context;
    state->action = std::move(action);
    schedule(state, delay);
    return timer{state};
}

auto event_loop::call_every(duration period, std::function<void()> action) -> timer
{
    auto state = std::make_shared<detail::timer_state>();
    state->context = state_->context;
    state->action = std::move(action);
    state->period = period;
    schedule(state, until_next_multiple(period));
    return timer{state};
}

auto event_loop::post(std::function<void()> action) -> void
{
    state_->posted.push_back(std::move(action));
    if (state_->post_timer.pending()) {
        return;
    }
    state_->post_timer = call_after(duration{1}, [this] {
        auto batch = std::exchange(state_->posted, {});
        for (const auto& posted : batch) {
            posted();
        }
    });
}

auto event_loop::watch_descriptor(int descriptor, std::function<void()> on_ready) -> result<void>
{
    auto& watched = state_->descriptors.emplace_back();
    watched.on_ready = std::move(on_ready);
    auto file = lws_sock_file_fd_type{};
    file.filefd = descriptor;
    auto* wsi = lws_adopt_descriptor_vhost(state_->client_vhost, LWS_ADOPT_RAW_FILE_DESC, file,
                                           "descriptor", nullptr);
    if (wsi == nullptr) {
        return fail(error_id::bus_failed, step::listen, "descriptor " + std::to_string(descriptor),
                    "the event loop cannot adopt the descriptor");
    }
    lws_set_opaque_user_data(wsi, &watched);
    count_descriptor(1);
    return {};
}

auto event_loop::watch_signals(std::function<void(int)> on_signal) -> result<void>
{
    auto set = sigset_t{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    state_->signal_descriptor = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    return watch_descriptor(state_->signal_descriptor, [this, on_signal = std::move(on_signal)] {
        auto event = signalfd_siginfo{};
        while (read(state_->signal_descriptor, &event, sizeof event) == sizeof event) {
            on_signal(static_cast<int>(event.ssi_signo));
        }
    });
}

auto event_loop::free_descriptors() const -> std::size_t
{
    const auto open = state_->open_descriptors;
    return open < state_->max_descriptors ? state_->max_descriptors - open : 0;
}

auto event_loop::max_descriptors() const -> std::size_t
{
    return state_->max_descriptors;
}

auto event_loop::count_descriptor(int change) -> void
{
    state_->open_descriptors += static_cast<std::size_t>(change);
}

auto event_loop::context() const -> lws_context*
{
    return state_->context;
}

auto event_loop::client_vhost() const -> lws_vhost*
{
    return state_->client_vhost;
}

} // namespace cyclamenpost
