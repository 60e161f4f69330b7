#include "cyclamenpost/operator/admin.hpp"

#include <nlohmann/json.hpp>

#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

namespace {

using nlohmann::json;

auto respond_json(http_exchange& exchange, int status, const json& body) -> void
{
    exchange.respond(status, {{"content-type", "application/json"}}, body.dump(2) + "\n");
}

auto members_json(const membership_state& members) -> json
{
    auto list = json::array();
    const auto add = [&](const member_record& member) {
        list.push_back({{"id", member.identity.id},
                        {"zone", member.zone},
                        {"incarnation", to_hex(member.identity.incarnation)},
                        {"state", name_in(member_state_names, member.state)}});
    };
    add(members.self);
    for (const auto& [id, entry] : members.members) {
        add(entry.record);
    }
    return list;
}

auto targets_json(const gate_service& gates) -> json
{
    auto list = json::array();
    for (const auto& target : gates.status()) {
        auto entry = json{{"name", target.name},
                          {"service", target.service},
                          {"zone", target.zone},
                          {"gate", target.gate},
                          {"local", target.local}};
        if (target.local) {
            entry["state"] = name_in(target_state_names, target.state);
            entry["load"] = target.load;
            entry["bound"] = target.bound;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

auto status_json(const admin_context& context) -> json
{
    const auto& self = context.cluster.self();
    const auto id = in_force(context.config.text());
    auto refused = json::array();
    for (const auto& version : context.config.text().refused) {
        refused.push_back({{"version", version.id.version}, {"reason", version.reason}});
    }
    const auto state =
        context.leaving() ? "leaving" : (context.config.ready() ? "ready" : "starting");
    return {
        {"instance", self.identity.id},
        {"incarnation", to_hex(self.identity.incarnation)},
        {"zone", self.zone},
        {"state", state},
        {"platform_reachable", context.config.platform_reachable()},
        {"requests_in_progress", context.requests.in_progress()},
        {"config", {{"version", id.version}, {"digest", to_hex(id.digest)}, {"refused", refused}}},
        {"list_version", context.config.list().texts.current.id.version},
        {"members", members_json(context.cluster.membership())},
        {"targets", targets_json(context.gates)}};
}

auto explain_json(const admin_context& context, const http_request& request) -> json
{
    const auto chat = query_value(request.query, "chat");
    const auto model = query_value(request.query, "model");
    const auto& config = *context.config.text().config;
    const auto* service = service_of_model(config, model);
    if (service == nullptr) {
        return {{"error", "no service offers model " + model}};
    }
    const auto views = context.gates.engine_views(service->name, model);
    auto candidates = json::array();
    for (const auto index : preference_order(chat, views)) {
        const auto& view = views[index];
        candidates.push_back({{"target", view.id},
                              {"zone", view.zone},
                              {"zone_out", view.zone_out},
                              {"state", name_in(target_state_names, view.state)},
                              {"load", view.load},
                              {"gate", context.gates.gate_instance_of(view.id)}});
    }
    const auto mean = context.gates.model_mean_load(model, views, 1);
    const auto last = context.requests.last_target(chat);
    auto placement = placement_request{};
    placement.chat = chat;
    placement.last_target = last;
    const auto choice = choose_engine(placement, views, mean, {});
    return {{"chat", chat},
            {"model", model},
            {"service", service->name},
            {"last_target", last},
            {"mean_load", mean},
            {"choice", choice.engine ? views[*choice.engine].id : ""},
            {"reason", name_in(placement_reason_names, choice.reason)},
            {"candidates", candidates}};
}

auto update_gauges(const admin_context& context) -> void
{
    auto& metrics = context.metrics;
    const auto traffic = context.cluster.traffic();
    const auto export_kinds = [&](const traffic_by_kind& kinds, const char* direction,
                                  const char* scope) {
        for (const auto& [kind, amount] : kinds) {
            metrics
                .gauge_of("cyclamenpost_bus_bytes", "Bytes on the bus since start.",
                          {{"kind", kind}, {"direction", direction}, {"scope", scope}})
                .set(static_cast<double>(amount.bytes));
        }
    };
    export_kinds(traffic.sent_within_zone, "sent", "zone");
    export_kinds(traffic.sent_across_zones, "sent", "fleet");
    export_kinds(traffic.received_within_zone, "received", "zone");
    export_kinds(traffic.received_across_zones, "received", "fleet");
    metrics.gauge_of("cyclamenpost_config_version", "Operator text in force.")
        .set(static_cast<double>(in_force(context.config.text()).version));
    metrics.gauge_of("cyclamenpost_requests_in_progress", "Requests accepted and not answered.")
        .set(static_cast<double>(context.requests.in_progress()));
    const auto calls = context.config.platform_calls();
    metrics.gauge_of("cyclamenpost_platform_calls", "Calls to the platform since start.")
        .set(static_cast<double>(calls.reads + calls.watches));
}

} // namespace

auto bearer_matches(std::string_view authorization, std::string_view token) -> bool
{
    constexpr std::string_view scheme = "Bearer ";
    if (token.empty() || !authorization.starts_with(scheme)) {
        return false;
    }
    const auto presented = authorization.substr(scheme.size());
    auto difference = presented.size() ^ token.size();
    for (auto i = std::size_t{0}; i < presented.size(); ++i) {
        difference |= static_cast<std::size_t>(static_cast<unsigned char>(presented[i]) ^
                                               static_cast<unsigned char>(token[i % token.size()]));
    }
    return difference == 0;
}

auto handle_admin(admin_context& context, const http_request& request, http_exchange& exchange)
    -> void
{
    if (!bearer_matches(header_value(request.headers, "authorization"), context.token)) {
        log_event(log_level::warning, "admin_refused",
                  {{"peer", request.peer}, {"path", request.path}});
        exchange.respond(401, {{"content-type", "application/problem+json"}},
                         R"({"title":"Unauthorized","status":401,"outcome":"not_run"})");
        return;
    }
    if (request.path == "/admin/v1/status" && request.method == "GET") {
        respond_json(exchange, 200, status_json(context));
    }
    else if (request.path == "/admin/v1/metrics" && request.method == "GET") {
        update_gauges(context);
        exchange.respond(200, {{"content-type", "text/plain; version=0.0.4"}},
                         context.metrics.prometheus_text());
    }
    else if (request.path == "/admin/v1/explain" && request.method == "GET") {
        if (!context.config.text().config) {
            respond_json(exchange, 503, {{"error", "no configuration yet"}});
            return;
        }
        const auto body = explain_json(context, request);
        respond_json(exchange, body.contains("error") ? 404 : 200, body);
    }
    else if (request.path == "/admin/v1/shutdown" && request.method == "POST") {
        log_event(log_level::info, "shutdown_requested", {{"peer", request.peer}});
        respond_json(exchange, 202, {{"state", "leaving"}});
        context.begin_shutdown();
    }
    else {
        respond_json(exchange, 404, {{"error", "no such path"}});
    }
}

} // namespace cyclamenpost
