#include "cyclamenpost/relay/router.hpp"

#include <algorithm>
#include <random>

#include <nlohmann/json.hpp>

#include "cyclamenpost/core/log.hpp"
#include "cyclamenpost/core/supervisor.hpp"
#include "cyclamenpost/operator/admin.hpp"
#include "cyclamenpost/placement/lookup.hpp"
#include "cyclamenpost/relay/relay.hpp"

namespace cyclamenpost {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration drain_check_period = 100ms;
constexpr std::int64_t not_ready_retry_after_ms = 1000;
// callers cache lookup answers, and peers need time to learn that this instance is leaving
constexpr duration min_drain_time = 1s;
// largest wall clock skew between instances that idempotency keys tolerate
constexpr std::int64_t max_clock_skew_ms = 2000;

auto random_incarnation() -> incarnation_id
{
    auto device = std::random_device{};
    return (static_cast<incarnation_id>(device()) << 32U) | device();
}

auto self_record(const settings& startup_settings) -> member_record
{
    auto self = member_record{};
    self.identity.id = startup_settings.instance;
    self.identity.incarnation = random_incarnation();
    self.identity.start_ms = static_cast<std::uint64_t>(wall_clock_ms());
    self.zone = startup_settings.zone;
    self.region = startup_settings.region;
    self.http_address =
        startup_settings.listen_address + ":" + std::to_string(startup_settings.listen_port);
    self.bus_address = startup_settings.bus;
    return self;
}

auto bus_options(const settings& startup_settings, const member_record& self) -> bus_settings
{
    auto options = bus_settings{};
    options.instance = startup_settings.instance;
    options.zone = startup_settings.zone;
    options.listen_address = startup_settings.bus;
    options.incarnation = self.identity.incarnation;
    options.start_ms = self.identity.start_ms;
    options.keys.server_public = startup_settings.curve_public_key;
    options.keys.server_secret = startup_settings.curve_secret_key;
    options.keys.client_public = startup_settings.curve_public_key;
    options.keys.client_secret = startup_settings.curve_secret_key;
    return options;
}

auto to_relay_options(const settings& startup_settings) -> relay_options
{
    auto options = relay_options{};
    options.chat_entries = startup_settings.chat_entries;
    options.queue.interactive_wait = startup_settings.interactive_queue_timeout;
    options.queue.summary_wait = startup_settings.summary_queue_timeout;
    options.idempotency.max_records = startup_settings.idempotency_records;
    options.idempotency.retention_ms =
        std::chrono::milliseconds(startup_settings.idempotency_retention).count();
    return options;
}

auto to_lookup_state(const member_record& member) -> lookup_state
{
    switch (member.state) {
    case member_state::alive:
        return lookup_state::live;
    case member_state::leaving:
        return lookup_state::leaving;
    case member_state::suspect:
        return lookup_state::suspect;
    case member_state::dead:
        return lookup_state::gone;
    }
    return lookup_state::gone;
}

} // namespace

struct router::state {
    state(event_loop& used_loop, settings chosen_settings, std::function<void(int)> exit_handler)
        : loop(used_loop),
          startup_settings(std::move(chosen_settings)),
          on_exit(std::move(exit_handler)),
          self(self_record(startup_settings)),
          cluster(loop, self, bus_options(startup_settings, self)),
          config(loop, cluster,
                 {startup_settings.instance, startup_settings.platform, startup_settings.seed_peers,
                  self.identity.incarnation}),
          gates(loop, cluster, config),
          requests({loop, cluster, config, gates, metrics, history},
                   to_relay_options(startup_settings)),
          child_supervisor(loop, {},
                           [this](const std::string& child) { on_repeated_child_failure(child); }),
          random(self.identity.incarnation)
    {}

    auto children() -> supervised_node;
    auto start_cluster() -> result<void>;
    auto start_listener() -> result<void>;
    auto start_admin() -> result<void>;
    auto on_request(http_request request, const std::shared_ptr<http_exchange>& exchange) -> void;
    auto handle_lookup(const http_request& request, http_exchange& exchange) -> void;
    auto put_known_incarnation_first(lookup_answer& answer) const -> void;
    auto key_prefix_for(const std::string& instance) const -> std::string;
    auto preferred_gate_instances(const std::string& chat, const std::string& model) const
        -> std::vector<std::string>;
    auto make_lookup_view() const -> lookup_view;
    auto check_drain() -> void;
    auto on_repeated_child_failure(const std::string& child) -> void;

    event_loop& loop;
    settings startup_settings;
    std::function<void(int)> on_exit;
    member_record self;
    metric_registry metrics;
    history_writer history;
    cluster_node cluster;
    config_service config;
    gate_service gates;
    relay requests;
    http_server listener;
    http_server admin_listener;
    std::unique_ptr<admin_context> admin;
    supervisor child_supervisor;
    std::mt19937_64 random;
    bool leaving = false;
    bool handed_over = false;
    time_point drain_start{};
    timer drain_timer;
};

auto router::state::start_cluster() -> result<void>
{
    auto handlers = cluster_handlers{};
    handlers.on_member_change = [this](const member_change& change) {
        gates.on_member(change);
        requests.on_member(change);
    };
    handlers.on_peer_config_version = [this](const peer_config_version& peer) {
        config.on_peer_config_version(peer);
    };
    handlers.on_message = [this](const wire::envelope& message) {
        const auto handled =
            config.on_message(message) || gates.on_message(message) || requests.on_message(message);
        if (!handled) {
            log_event(log_level::debug, "message_ignored", {{"from", message.from_instance()}});
        }
    };
    return cluster.start(std::move(handlers));
}

auto router::state::start_listener() -> result<void>
{
    auto limits = http_limits{};
    limits.max_body_bytes = startup_settings.max_body_bytes;
    limits.request_timeout_seconds =
        static_cast<unsigned>(startup_settings.request_timeout.count());
    return listener.start(
        loop, startup_settings.listen_address, startup_settings.listen_port, limits,
        [this](http_request request, const std::shared_ptr<http_exchange>& exchange) {
            on_request(std::move(request), exchange);
        });
}

auto router::state::start_admin() -> result<void>
{
    admin = std::make_unique<admin_context>(admin_context{
        cluster, config, gates, requests, metrics, startup_settings.admin_token, {}, [this] {
            return leaving;
        }});
    return admin_listener.start(
        loop, startup_settings.admin_address, startup_settings.admin_port, {},
        [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
            handle_admin(*admin, request, *exchange);
        });
}

auto router::state::children() -> supervised_node
{
    auto stop_listener = [this] { listener.stop(); };
    auto admin_child = supervised_node{
        "admin", [this] { return start_admin(); }, [this] { admin_listener.stop(); }, {}};
    auto listener_child =
        supervised_node{"listener", [this] { return start_listener(); }, stop_listener, {}};
    auto requests_child = supervised_node{"requests",
                                          [this]() -> result<void> {
                                              requests.start();
                                              return {};
                                          },
                                          [this] { requests.stop(); },
                                          {}};
    auto gates_child = supervised_node{
        "gates",
        [this]() -> result<void> {
            gates.start({[this](const std::string& target, incarnation_id incarnation,
                                const std::vector<std::uint64_t>& fingerprints) {
                             requests.on_target_lost(target, incarnation, fingerprints);
                         },
                         [this](const cache_report& report) { requests.on_cache_report(report); },
                         [this] { requests.start_queued(); }});
            return {};
        },
        [this] { gates.stop(); },
        {}};
    auto config_child = supervised_node{
        "configuration",
        [this]() -> result<void> {
            config.start({[this] { gates.apply(); }, [this] { gates.confirm_list(); }});
            return {};
        },
        [this] { config.stop(); },
        {}};
    auto cluster_child = supervised_node{
        "cluster", [this] { return start_cluster(); }, [this] { cluster.stop(); }, {}};
    auto root = supervised_node{
        "root",
        [this]() -> result<void> { return history.open(startup_settings.history_file); },
        [] {},
        {}};
    root.children = {cluster_child, gates_child,    requests_child,
                     config_child,  listener_child, admin_child};
    return root;
}

auto router::state::on_request(http_request request, const std::shared_ptr<http_exchange>& exchange)
    -> void
{
    if (request.path == "/v1/lookup") {
        handle_lookup(request, *exchange);
    }
    else if (request.path == "/v1/chat/completions") {
        requests.handle_chat(std::move(request), exchange);
    }
    else if (request.path.starts_with("/services/")) {
        requests.handle_service(std::move(request), exchange);
    }
    else if (request.path == "/healthz") {
        exchange->respond(200, {{"content-type", "text/plain"}}, "ok\n");
    }
    else if (request.path == "/readyz") {
        const auto ready = config.ready() && !leaving;
        exchange->respond(ready ? 200 : 503, {{"content-type", "text/plain"}},
                          ready ? "ready\n" : "not ready\n");
    }
    else {
        exchange->respond(404, {{"content-type", std::string(problem_content_type)}},
                          to_json(make_problem(refusal::unknown_service, "No such path.")));
    }
}

auto router::state::preferred_gate_instances(const std::string& chat,
                                             const std::string& model) const
    -> std::vector<std::string>
{
    const auto* service = service_of_model(*config.text().config, model);
    if (service == nullptr || chat.empty()) {
        return {};
    }
    const auto views = gates.engine_views(service->name, model);
    auto preferred = std::vector<std::string>{};
    for (const auto index : preference_order(chat, views)) {
        const auto& view = views[index];
        if (!view.zone_out && view.state != target_state::leaving) {
            preferred.push_back(gates.gate_instance_of(view.id));
        }
    }
    return preferred;
}

auto router::state::make_lookup_view() const -> lookup_view
{
    auto view = lookup_view{};
    view.zones_out = config.text().config->fleet.zones_out;
    const auto add = [&](const member_record& member) {
        auto instance_state = to_lookup_state(member);
        const auto* listed = instance_by_id(*config.list().list, member.identity.id);
        if (listed != nullptr && listed->state == listed_state::leaving) {
            instance_state = lookup_state::leaving;
        }
        view.instances.push_back(
            {member.identity.id, member.zone, member.http_address, instance_state});
    };
    add(cluster.membership().self);
    for (const auto& [id, entry] : cluster.membership().members) {
        add(entry.record);
    }
    return view;
}

/// Idempotency key prefix for the first instance of a lookup answer, the only one that accepts keys
/// with this prefix. Prefixes for another instance are backdated by the largest clock skew, so that
/// their issue time is not in the future for that instance.
auto router::state::key_prefix_for(const std::string& instance) const -> std::string
{
    const auto member = find_member(cluster.membership(), instance);
    const auto incarnation_known = member && member->identity.start_ms != 0;
    if (instance == self.identity.id || !incarnation_known) {
        return requests.key_prefix();
    }
    const auto now = wall_clock_ms();
    const auto backdated = now - max_clock_skew_ms;
    const auto earliest = static_cast<std::int64_t>(member->identity.start_ms) + max_clock_skew_ms;
    auto key = idempotency_key{};
    key.instance = instance;
    key.incarnation = member->identity.incarnation;
    key.issued_ms = backdated > earliest ? backdated : now;
    return format_key_prefix(key);
}

/// Moves the first instance with a known incarnation to the front, because a key prefix requires
/// the incarnation. Incarnations can be unknown during the first second after a start.
auto router::state::put_known_incarnation_first(lookup_answer& answer) const -> void
{
    const auto incarnation_known = [&](const instance_address& address) {
        const auto member = find_member(cluster.membership(), address.instance);
        return member && member->identity.start_ms != 0;
    };
    const auto first =
        std::find_if(answer.addresses.begin(), answer.addresses.end(), incarnation_known);
    if (first != answer.addresses.end()) {
        std::rotate(answer.addresses.begin(), first, first + 1);
    }
    else if (!leaving) {
        answer.addresses.insert(answer.addresses.begin(),
                                {self.http_address, self.zone, self.identity.id});
    }
}

auto router::state::handle_lookup(const http_request& request, http_exchange& exchange) -> void
{
    if (!config.ready() || !config.text().config) {
        const auto document =
            make_problem(refusal::not_ready, "This instance has no configuration yet.",
                         not_ready_retry_after_ms);
        exchange.respond(document.status, {{"content-type", std::string(problem_content_type)}},
                         to_json(document));
        return;
    }
    const auto chat = query_value(request.query, "chat");
    const auto organisation = query_value(request.query, "organisation");
    const auto model = query_value(request.query, "model");
    auto query = lookup_query{};
    query.chat = chat;
    query.organisation = organisation;
    query.model = model;
    query.preferred = preferred_gate_instances(chat, model);
    auto answer = lookup_addresses(make_lookup_view(), query, random());
    put_known_incarnation_first(answer);
    auto addresses = json::array();
    auto names = std::string{};
    for (const auto& address : answer.addresses) {
        addresses.push_back(
            {{"address", address.address}, {"zone", address.zone}, {"instance", address.instance}});
        names += (names.empty() ? "" : ",") + address.instance;
    }
    log_event(
        log_level::info, "lookup",
        {{"chat", chat}, {"organisation", organisation}, {"model", model}, {"choice", names}});
    const auto body = json{{"addresses", addresses},
                           {"valid_ms", answer.valid / 1ms},
                           {"config_version", in_force(config.text()).version},
                           {"key_prefix", key_prefix_for(answer.addresses.empty()
                                                             ? self.identity.id
                                                             : answer.addresses.front().instance)}};
    exchange.respond(200, {{"content-type", "application/json"}}, body.dump());
}

auto router::state::check_drain() -> void
{
    const auto waited = monotonic_now() - drain_start;
    const auto limit = duration(startup_settings.drain_timeout);
    const auto limit_exceeded = limit.count() > 0 && waited > limit;
    // a request that has ended may have an answer that is not sent completely
    const auto open = std::max(requests.in_progress(), listener.unanswered_requests());
    if (!limit_exceeded && (waited < min_drain_time || open > 0)) {
        return;
    }
    if (!std::exchange(handed_over, true)) {
        gates.hand_over_all();
        // the handover messages are sent in the next iterations of the event loop
        return;
    }
    log_event(log_level::info, "shutdown_complete", {{"cut_off", std::to_string(open)}});
    drain_timer.reset();
    child_supervisor.stop();
    on_exit(0);
}

auto router::state::on_repeated_child_failure(const std::string& child) -> void
{
    log_event(log_level::error, "child_failed_too_often", {{"child", child}});
    on_exit(1);
}

router::router(event_loop& loop, settings startup_settings, std::function<void(int)> on_exit)
    : state_(std::make_unique<state>(loop, std::move(startup_settings), std::move(on_exit)))
{}

router::~router() = default;

auto router::start() -> void
{
    state_->child_supervisor.start(state_->children());
    if (state_->admin) {
        state_->admin->begin_shutdown = [this] { begin_shutdown(); };
    }
}

auto router::begin_shutdown() -> void
{
    auto& members = *state_;
    if (std::exchange(members.leaving, true)) {
        return;
    }
    log_event(log_level::info, "shutdown_begins",
              {{"in_progress", std::to_string(members.requests.in_progress())}});
    members.drain_start = monotonic_now();
    members.cluster.leave();
    members.requests.drain();
    members.drain_timer =
        members.loop.call_every(drain_check_period, [this] { state_->check_drain(); });
}

auto router::port() const -> int
{
    return state_->listener.port();
}

auto router::admin_port() const -> int
{
    return state_->admin_listener.port();
}

} // namespace cyclamenpost
