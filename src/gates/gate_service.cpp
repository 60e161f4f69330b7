#include "cyclamenpost/gates/gate_service.hpp"

#include <algorithm>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_period = 100ms;
constexpr duration load_report_period = 500ms;
// a gate in another zone answers within a few milliseconds; a later answer would leave little of
// the permit's lifetime
constexpr duration permit_answer_timeout = 250ms;
// for this time, a target whose gate refused a permit is not a candidate
constexpr duration refusal_retention = 200ms;
// a request that failed longer before its target stopped was not running at that time
constexpr duration failed_request_retention = 2s;

auto serves_model(const fleet_target& target, const std::string& service, const std::string& model)
    -> bool
{
    const auto& models = target.target.models;
    return target.target.service == service &&
           (models.empty() || std::find(models.begin(), models.end(), model) != models.end());
}

auto log_permit_decision(const std::string& target, std::uint64_t request_id,
                         const std::string& holder, double cost, const permit_decision& decision,
                         const gate& gate) -> void
{
    log_event(log_level::debug, "permit",
              {{"request", to_hex(request_id)},
               {"target", target},
               {"holder", holder},
               {"cost", std::to_string(cost)},
               {"granted", decision.granted ? "yes" : "no"},
               {"reason", std::string(name_in(refusal_reason_names, decision.reason))},
               {"load", std::to_string(gate_load(gate))},
               {"state", std::string(name_in(target_state_names, gate.effective_state))}});
}

} // namespace

gate_service::gate_service(event_loop& loop, cluster_node& cluster, const config_service& config)
    : loop_(loop),
      cluster_(cluster),
      config_(config),
      monitor_(loop, {[this](const target_report& report) { on_report(report); },
                      [this](const cache_report& report) { handlers_.on_cache_report(report); },
                      [this](const std::string& target) { on_target_closed(target); }})
{}

auto gate_service::start(gate_handlers handlers) -> void
{
    handlers_ = std::move(handlers);
    tick_timer_ = loop_.call_every(tick_period, [this] { tick(); });
}

auto gate_service::stop() -> void
{
    tick_timer_.reset();
    monitor_.watch({});
}

auto gate_service::limits_of(const fleet_target& target) const -> gate_limits
{
    auto limits = gate_limits{};
    const auto& config = *config_.text().config;
    limits.load_multiple = config.fleet.load_multiple;
    if (const auto* service = service_by_name(config, target.target.service)) {
        limits.cold_limit = service->cold_limit;
    }
    return limits;
}

auto gate_service::apply() -> void
{
    if (!config_.text().config || !config_.list().list) {
        return;
    }
    const auto now = monotonic_now();
    const auto& config = *config_.text().config;
    const auto& list = *config_.list().list;
    auto active = std::map<std::string, fleet_target>{};
    auto parties = std::vector<topology_node>{};
    for (auto& target : targets_in_force(config, list)) {
        if (target.kind == service_kind::model) {
            parties.push_back({target.target.name, target.target.zone, target.region});
        }
        active.emplace(target.target.name, std::move(target));
    }
    auto instances = std::vector<topology_node>{};
    for (const auto& instance : list.instances) {
        if (instance.state == listed_state::live) {
            instances.push_back({instance.id, instance.zone, instance.region});
        }
    }
    targets_ = std::move(active);
    count_serving_engines();
    auto assigned = assign_gates(parties, instances);
    assignments_.clear();
    for (auto& assignment : assigned) {
        const auto name = assignment.target;
        assignments_.emplace(name, std::move(assignment));
    }
    std::erase_if(gates_, [&](const auto& entry) { return !targets_.contains(entry.first); });
    if (list.version != list_version_) {
        list_version_ = list.version;
        apply_roles(now);
    }
    for (auto& [name, gate] : gates_) {
        const auto& target = targets_.at(name);
        gate.limits = limits_of(target);
        on_zone_out(gate, zone_is_out_of_service(config, target.target.zone), now);
        on_target_leaving(gate, target.state == listed_state::leaving);
    }
    update_monitored_targets();
    handlers_.on_capacity_available();
}

/// Instances of the target's zone that may have been primary or backup of its gate before this
/// process received an instance list.
auto gate_service::former_holders(const std::string& target) const -> std::vector<former_holder>
{
    auto former = std::vector<former_holder>{};
    const auto& list = *config_.list().list;
    for (const auto& instance : list.instances) {
        if (instance.zone == targets_.at(target).target.zone &&
            instance.id != cluster_.self().identity.id) {
            former.push_back({instance.id, true, {}});
        }
    }
    return former;
}

auto gate_service::apply_roles(time_point now) -> void
{
    const auto& self = cluster_.self().identity.id;
    for (const auto& [name, assignment] : assignments_) {
        const auto existing = gates_.find(name);
        const auto has_role = assignment.primary == self || assignment.backup == self;
        if (!has_role && existing == gates_.end()) {
            continue;
        }
        auto change = list_change{};
        change.version = list_version_;
        change.primary = assignment.primary;
        change.backup = assignment.backup;
        if (existing == gates_.end()) {
            change.former_holders = former_holders(name);
        }
        else {
            const auto& list = *config_.list().list;
            for (const auto& id : {existing->second.primary, existing->second.backup}) {
                if (!id.empty() && id != self) {
                    change.former_holders.push_back({id, instance_by_id(list, id) != nullptr, {}});
                }
            }
        }
        auto& gate =
            existing != gates_.end()
                ? existing->second
                : gates_.emplace(name, make_gate(name, self, limits_of(targets_.at(name)), now))
                      .first->second;
        on_list_change(gate, change, now);
        log_event(log_level::info, "gate_role",
                  {{"target", name},
                   {"role", std::string(name_in(gate_role_names, gate.role))},
                   {"primary", assignment.primary},
                   {"backup", assignment.backup},
                   {"list_version", std::to_string(list_version_)}});
    }
}

auto gate_service::update_monitored_targets() -> void
{
    auto watched = std::vector<monitored_target>{};
    for (const auto& [name, gate] : gates_) {
        const auto& target = targets_.at(name);
        if (gate.role != gate_role::none && target.kind == service_kind::model) {
            watched.push_back({name, target.target.address});
        }
    }
    monitor_.watch(watched);
}

auto gate_service::confirm_list() -> void
{
    const auto now = monotonic_now();
    for (auto& [name, gate] : gates_) {
        on_list_confirmed(gate, now);
    }
}

auto gate_service::decide(const std::string& target, const permit_request& request,
                          std::uint64_t fingerprint, time_point now) -> permit_decision
{
    const auto found = gates_.find(target);
    if (found == gates_.end()) {
        auto refused = permit_decision{};
        refused.reason = refusal_reason::not_gate;
        return refused;
    }
    on_tick(found->second, now);
    update_mean(found->second, now);
    auto decision = request_permit(found->second, request, now);
    log_permit_decision(target, request.request_id, std::string(request.holder), request.cost,
                        decision, found->second);
    if (decision.granted) {
        running_requests_[target][request.request_id] = {fingerprint, std::nullopt};
    }
    return decision;
}

auto gate_service::acquire(const std::string& target, std::uint64_t request_id, double cost,
                           std::uint64_t fingerprint, std::function<void(permit_answer)> done)
    -> void
{
    const auto now = monotonic_now();
    const auto& self = cluster_.self().identity;
    const auto own_gate = gates_.find(target);
    const auto local = own_gate != gates_.end() && own_gate->second.role != gate_role::none;
    if (local) {
        const auto decision =
            decide(target, {request_id, cost, self.id, self.incarnation}, fingerprint, now);
        const auto ask_remote = decision.reason == refusal_reason::not_gate ||
                                own_gate->second.role == gate_role::backup;
        if (decision.granted || !ask_remote || gate_instance_of(target) == self.id) {
            done({decision.granted,
                  std::string(name_in(refusal_reason_names, decision.reason)),
                  decision.retry_after,
                  {request_id, target, {}, decision.target_incarnation, now}});
            return;
        }
    }
    const auto gate = gate_instance_of(target);
    auto message = wire::envelope{};
    auto* body = message.mutable_permit_request();
    body->set_request_id(request_id);
    body->set_target(target);
    body->set_cost(static_cast<std::uint32_t>(cost));
    body->set_fingerprint(fingerprint);
    auto& pending = pending_requests_[request_id];
    pending.target = target;
    pending.gate_instance = gate;
    pending.requested_at = now;
    pending.done = std::move(done);
    pending.timeout = loop_.call_after(permit_answer_timeout, [this, request_id, target, gate] {
        // the permit may have been granted and only the answer lost
        release({request_id, target, gate, 0, {}}, permit_outcome::unused);
        finish_pending(request_id, {false, "gate_unreachable", 500ms, {}});
    });
    if (gate.empty() || !cluster_.send(gate, message)) {
        loop_.post([this, request_id] {
            finish_pending(request_id, {false, "gate_unreachable", 500ms, {}});
        });
    }
}

auto gate_service::finish_pending(std::uint64_t request_id, permit_answer answer) -> void
{
    const auto found = pending_requests_.find(request_id);
    if (found == pending_requests_.end()) {
        return;
    }
    auto pending = std::move(found->second);
    pending_requests_.erase(found);
    answer.permit.request_id = request_id;
    answer.permit.target = pending.target;
    answer.permit.gate_instance = pending.gate_instance;
    answer.permit.requested_at = pending.requested_at;
    if (!answer.granted) {
        recent_refusals_[pending.target].until = monotonic_now() + refusal_retention;
    }
    pending.done(std::move(answer));
}

auto gate_service::release_local(gate& gate, std::uint64_t request_id, permit_outcome outcome)
    -> void
{
    const auto now = monotonic_now();
    release_permit(gate, request_id, outcome, now);
    auto& running = running_requests_[gate.target];
    if (outcome == permit_outcome::failed) {
        const auto found = running.find(request_id);
        if (found != running.end()) {
            found->second.failed_at = now;
        }
    }
    else {
        running.erase(request_id);
    }
    handlers_.on_capacity_available();
}

auto gate_service::valid(const held_permit& permit) const -> bool
{
    const auto now = monotonic_now();
    if (!permit.gate_instance.empty()) {
        return now - permit.requested_at < gate_limits{}.permit_lifetime;
    }
    const auto found = gates_.find(permit.target);
    return found != gates_.end() &&
           permit_valid(found->second, permit.request_id, permit.target_incarnation,
                        permit.requested_at, now);
}

auto gate_service::release(const held_permit& permit, permit_outcome outcome) -> void
{
    if (!permit.gate_instance.empty()) {
        auto message = wire::envelope{};
        auto* body = message.mutable_permit_release();
        body->set_request_id(permit.request_id);
        body->set_target(permit.target);
        body->set_outcome(static_cast<std::uint32_t>(outcome));
        cluster_.send(permit.gate_instance, message);
        return;
    }
    const auto found = gates_.find(permit.target);
    if (found != gates_.end()) {
        release_local(found->second, permit.request_id, outcome);
    }
}

auto gate_service::on_member(const member_change& change) -> void
{
    const auto ended = change.member.state == member_state::dead || change.new_incarnation;
    if (!ended) {
        return;
    }
    const auto now = monotonic_now();
    for (auto& [name, gate] : gates_) {
        on_holder_dead(gate, change.member.identity.id, change.member.identity.incarnation, now);
    }
}

auto gate_service::on_report(const target_report& report) -> void
{
    const auto found = gates_.find(report.target);
    if (found == gates_.end()) {
        return;
    }
    auto& gate = found->second;
    on_load_report(gate,
                   {report.incarnation, report.state, static_cast<double>(report.running),
                    static_cast<double>(report.waiting), report.cost},
                   monotonic_now());
    if (report.state == target_state::leaving) {
        on_target_leaving(gate, true);
    }
    handlers_.on_capacity_available();
}

auto gate_service::on_target_closed(const std::string& target) -> void
{
    const auto found = gates_.find(target);
    if (found == gates_.end()) {
        return;
    }
    const auto incarnation = found->second.target_incarnation.value_or(0);
    auto fingerprints = std::vector<std::uint64_t>{};
    for (const auto& [id, run] : std::exchange(running_requests_[target], {})) {
        fingerprints.push_back(run.fingerprint);
    }
    on_stream_closed(found->second, monotonic_now());
    handlers_.on_target_lost(target, incarnation, fingerprints);
}

auto gate_service::tick() -> void
{
    if (gates_.empty()) {
        return;
    }
    const auto now = monotonic_now();
    for (auto& [name, gate] : gates_) {
        on_tick(gate, now);
        std::erase_if(running_requests_[name], [&](const auto& entry) {
            return entry.second.failed_at &&
                   now - *entry.second.failed_at > failed_request_retention;
        });
    }
    exchange_leases(now);
    if (now - last_load_publish_ >= load_report_period) {
        last_load_publish_ = now;
        publish_loads();
        handlers_.on_capacity_available();
    }
}

auto gate_service::gate_instance_of(const std::string& target) const -> std::string
{
    const auto found = assignments_.find(target);
    if (found == assignments_.end()) {
        return {};
    }
    const auto& assignment = found->second;
    const auto primary = find_member(cluster_.membership(), assignment.primary);
    const auto primary_gone = primary && (primary->state == member_state::dead ||
                                          primary->state == member_state::leaving);
    return primary_gone && !assignment.backup.empty() ? assignment.backup : assignment.primary;
}

auto gate_service::engine_views(const std::string& service, const std::string& model) const
    -> std::vector<engine_view>
{
    const auto now = monotonic_now();
    auto views = std::vector<engine_view>{};
    const auto& config = *config_.text().config;
    for (const auto& [name, target] : targets_) {
        if (!serves_model(target, service, model)) {
            continue;
        }
        auto view = engine_view{};
        view.id = name;
        view.zone = target.target.zone;
        view.zone_out = zone_is_out_of_service(config, target.target.zone);
        const auto own_gate = gates_.find(name);
        if (own_gate != gates_.end() && own_gate->second.role == gate_role::primary) {
            view.state = own_gate->second.effective_state;
            view.load = gate_load(own_gate->second);
            view.requests = static_cast<double>(own_gate->second.permits.size());
            view.allowance = own_gate->second.allowance;
            view.large_load = own_gate->second.outstanding_large_cost;
        }
        else if (const auto refused = recent_refusals_.find(name);
                 refused != recent_refusals_.end() && refused->second.until > now) {
            view.state = target_state::gone;
        }
        if (target.state == listed_state::leaving) {
            view.state = target_state::leaving;
        }
        views.push_back(std::move(view));
    }
    return views;
}

auto gate_service::model_mean_load(const std::string& model, const std::vector<engine_view>& views,
                                   double cost) const -> double
{
    const auto fleet = current_mean(model);
    if (!fleet) {
        return mean_load(views, cost);
    }
    return fleet->mean_cost + cost / fleet->engines;
}

auto gate_service::status() const -> std::vector<target_status>
{
    const auto now = monotonic_now();
    auto all = std::vector<target_status>{};
    for (const auto& [name, target] : targets_) {
        auto status = target_status{};
        status.name = name;
        status.service = target.target.service;
        status.zone = target.target.zone;
        status.gate = gate_instance_of(name);
        const auto own_gate = gates_.find(name);
        status.local = own_gate != gates_.end() && own_gate->second.role == gate_role::primary;
        if (status.local) {
            status.state = own_gate->second.effective_state;
            status.load = gate_load(own_gate->second);
            status.bound = gate_bound(own_gate->second, 1, now);
        }
        all.push_back(std::move(status));
    }
    return all;
}

auto gate_service::serving_targets(const std::string& service) const -> std::vector<fleet_target>
{
    auto serving = std::vector<fleet_target>{};
    const auto& config = *config_.text().config;
    for (const auto& [name, target] : targets_) {
        const auto usable = target.state == listed_state::live &&
                            !zone_is_out_of_service(config, target.target.zone);
        if (target.target.service == service && usable) {
            serving.push_back(target);
        }
    }
    return serving;
}

auto gate_service::find_target(const std::string& name) const -> const fleet_target*
{
    const auto found = targets_.find(name);
    return found == targets_.end() ? nullptr : &found->second;
}

} // namespace cyclamenpost
