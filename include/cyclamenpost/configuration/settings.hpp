#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cyclamenpost/core/address.hpp"
#include "cyclamenpost/core/error.hpp"
#include "cyclamenpost/core/log.hpp"

namespace cyclamenpost {

/// An environment variable.
struct environment_variable {
    std::string name;
    std::string value;
};

using environment = std::vector<environment_variable>;

/// The environment of this process.
auto process_environment() -> environment;

/// Settings of the router daemon.
struct settings {
    /// Id of this instance.
    std::string instance;
    std::string zone;
    std::string region = "default";

    /// IP address and port of the listener for callers.
    std::string listen_address = "127.0.0.1";
    std::uint16_t listen_port = 8080;
    /// IP address and port of the administration API.
    std::string admin_address = "127.0.0.1";
    std::uint16_t admin_port = 8081;
    /// "IP:port" of the message bus, at which peers reach this instance.
    std::string bus = "127.0.0.1:8082";
    /// "IP:port" of the platform's service.
    std::string platform = "127.0.0.1:8090";
    /// Bus addresses of peers to ask for their configuration until this instance is ready.
    std::vector<std::string> seed_peers;

    /// Bearer token of the administration API, read from `admin_token_file`. Never logged.
    std::string admin_token;
    /// CURVE keys in Z85, read from the key files. Empty: the bus is not encrypted.
    std::string curve_secret_key;
    std::string curve_public_key;

    log_level level = log_level::info;
    /// File for the history of invocations and completions as JSON lines. Empty: none is written.
    std::string history_file;

    /// Largest request body of a caller.
    std::size_t max_body_bytes = 4U << 20U;
    /// Longest time in which a caller may send a request.
    std::chrono::seconds request_timeout{20};
    /// Largest number of open connections of this process.
    unsigned max_connections = 4096;
    /// Largest number of chats whose last target is remembered.
    std::size_t chat_entries = 50000;
    /// Largest number of calls whose outcome is remembered, and for how long.
    std::size_t idempotency_records = 100000;
    std::chrono::seconds idempotency_retention{3600};
    /// Longest wait of an interactive request, and of a summary, in the queue.
    std::chrono::milliseconds interactive_queue_timeout{2000};
    std::chrono::milliseconds summary_queue_timeout{10000};
    /// Longest wait at shutdown for requests in progress. Zero: no limit.
    std::chrono::seconds drain_timeout{0};

    /// Whether the arguments requested the help or version text, which was then printed.
    bool help_shown = false;
};

/// Reads settings from the arguments, then from `CYCLAMENPOST_<FLAG>` variables for flags that the
/// arguments omit, and checks each one. Fails with `setting_invalid` or `setting_file_unreadable`;
/// the error names the setting, its value and the allowed values, but never the contents of a
/// secret file.
auto parse_settings(int argc, const char* const* argv, const environment& variables)
    -> result<settings>;

/// Name of the environment variable of a flag: "listen-port" gives CYCLAMENPOST_LISTEN_PORT.
auto variable_name(std::string_view flag) -> std::string;

} // namespace cyclamenpost
