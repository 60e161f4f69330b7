#include "sample_configuration.hpp"

#include <nlohmann/json.hpp>

namespace cyclamenpost::fakes {

namespace {

/// The members in which the routes of the sample differ.
struct route_options {
    const char* name;
    const char* route_type;
    const char* service;
    int max_attempts;
    bool takes_prompt;
    bool resumable;
};

auto route_entry(const sample_configuration& sample, const route_options& options) -> nlohmann::json
{
    return {{"name", options.name},
            {"hostname", sample.host},
            {"prefix", std::string{"/"} + options.name + "/"},
            {"route_type", options.route_type},
            {"timeout_ms", sample.timeout_ms},
            {"slo_ms", sample.objective_ms},
            {"priority", 1},
            {"backend", options.service},
            {"max_attempts", options.max_attempts},
            {"public", false},
            {"session_affinity", options.takes_prompt},
            {"stream_resume", options.resumable}};
}

auto service_entry(const sample_configuration& sample, const char* name) -> nlohmann::json
{
    return {{"name", name},
            {"health_path", "/healthz"},
            {"max_connections", sample.max_connections},
            {"cold_start_s", sample.cold_start_seconds},
            {"cold_per_s", 0.0}};
}

} // namespace

auto to_text(const sample_configuration& sample) -> std::string
{
    auto text = nlohmann::json{
        {"version", sample.version},
        {"routes",
         {route_entry(sample, {"book", "non_idempotent", "app", 1, false, false}),
          route_entry(sample, {"read", "idempotent", "app", 2, false, false}),
          route_entry(sample, {"quote", "streaming", "engine", 2, true, true}),
          route_entry(sample, {"tag", "streaming", "engine", 1, true, false})}},
        {"services", {service_entry(sample, "app"), service_entry(sample, "engine")}},
        {"tenants", nlohmann::json::array()}};
    if (sample.with_organisation) {
        text["tenants"].push_back({{"name", "buyer"}, {"api_keys", sample.api_keys}});
    }
    if (sample.with_limits) {
        text["limits"] = {{"max_header_bytes", 8192},
                          {"max_body_bytes", 65536},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", 15000}};
    }
    return text.dump();
}

} // namespace cyclamenpost::fakes
