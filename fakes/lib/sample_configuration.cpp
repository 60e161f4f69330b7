#include "sample_configuration.hpp"

#include <nlohmann/json.hpp>

namespace cyclamenpost::fakes {

namespace {

/// How one route of the sample differs from the others.
struct route_shape {
    const char* name;
    const char* kind;
    const char* service;
    int attempts;
    bool prompt;
};

auto route_entry(const sample_configuration& sample, const route_shape& shape) -> nlohmann::json
{
    return {{"name", shape.name},
            {"hostname", sample.host},
            {"prefix", std::string{"/"} + shape.name + "/"},
            {"route_type", shape.kind},
            {"timeout_ms", sample.timeout_ms},
            {"slo_ms", 400},
            {"priority", 1},
            {"backend", shape.service},
            {"max_attempts", shape.attempts},
            {"public", false},
            {"session_affinity", shape.prompt},
            {"stream_resume", shape.prompt}};
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
         {route_entry(sample, {"book", "non_idempotent", "app", 1, false}),
          route_entry(sample, {"read", "idempotent", "app", 2, false}),
          route_entry(sample, {"quote", "streaming", "engine", 2, true})}},
        {"services", {service_entry(sample, "app"), service_entry(sample, "engine")}},
        {"tenants", {{{"name", "buyer"}, {"api_keys", sample.api_keys}}}}};
    if (sample.with_limits) {
        text["limits"] = {{"max_header_bytes", 8192},
                          {"max_body_bytes", 65536},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", 15000}};
    }
    return text.dump();
}

} // namespace cyclamenpost::fakes
