#pragma once

#include <string>
#include <vector>

namespace cyclamenpost::fakes {

/// A configuration as the operator writes it to the store: a route of each type (`book` is not
/// idempotent, `read` is idempotent, `quote` streams and can be resumed), the services `app` and
/// `engine`, and one organisation.
struct sample_configuration {
    int version = 1;
    std::string host = "shop.example";
    /// API keys of the organisation.
    std::vector<std::string> api_keys;
    /// Whether the list of organisations has an entry; it is there in any case.
    bool with_organisation = true;
    int timeout_ms = 4000;
    /// Latency objective of all routes.
    int objective_ms = 400;
    int max_connections = 9;
    double cold_start_seconds = 1.0;
    /// Whether the text has a `limits` member; otherwise the defaults of the instance apply.
    bool with_limits = true;
};

/// The configuration as JSON, the format of the store's `op/config` item.
auto to_text(const sample_configuration& sample) -> std::string;

} // namespace cyclamenpost::fakes
