#pragma once

#include <string>
#include <vector>

namespace cyclamenpost::fakes {

/// A configuration as the operator writes it to the store: a route of each kind (`book` runs once,
/// `read` repeats, `quote` streams and resumes), an application and an engine service, and one
/// organisation.
struct sample_configuration {
    int version = 1;
    std::string host = "shop.example";
    std::vector<std::string> api_keys;
    int timeout_ms = 4000;
    int max_connections = 9;
    double cold_start_seconds = 1.0;
    /// Whether it bounds what callers may send; otherwise the instance's defaults hold.
    bool with_limits = true;
};

/// The configuration in the store's format.
auto to_text(const sample_configuration& sample) -> std::string;

} // namespace cyclamenpost::fakes
