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

/// One environment variable of a process.
struct environment_variable {
    std::string name;
    std::string value;
};

using environment = std::vector<environment_variable>;

/// The environment of this process.
auto process_environment() -> environment;

/// Settings of the router daemon.
struct settings {
    std::string instance;
    std::string zone;
    std::string region = "default";

    std::string listen_address = "127.0.0.1";
    std::uint16_t listen_port = 8080;
    std::string admin_address = "127.0.0.1";
    std::uint16_t admin_port = 8081;
    /// "IP:port" on which peers reach this instance.
    std::string bus = "127.0.0.1:8082";
    /// "IP:port" of the platform's service.
    std::string platform = "127.0.0.1:8090";
    /// Bus addresses of peers, asked while the platform cannot be reached at start.
    std::vector<std::string> seed_peers;

    /// Bearer token of the administration API, read from `admin_token_file`. Never logged.
    std::string admin_token;
    /// CURVE keys in Z85, read from the key files. Empty: the bus is not encrypted.
    std::string curve_secret_key;
    std::string curve_public_key;

    log_level level = log_level::info;
    /// File for JSON lines of invocations and completions. Empty: none is written.
    std::string history_file;

    std::size_t max_body_bytes = 4U << 20U;
    std::chrono::seconds request_timeout{20};
    unsigned max_connections = 4096;
    std::size_t chat_entries = 50000;
    std::size_t idempotency_records = 100000;
    std::chrono::seconds idempotency_retention{3600};
    std::chrono::milliseconds interactive_queue_timeout{2000};
    std::chrono::milliseconds summary_queue_timeout{10000};
    /// Longest time for requests in progress at shutdown. Zero: no limit.
    std::chrono::seconds drain_timeout{0};

    /// Set when the arguments asked for the help or version text, which was then printed.
    bool help_shown = false;
};

/// Reads settings from the arguments, then from `CYCLAMENPOST_<FLAG>` variables for flags that the
/// arguments omit, and checks each one. Fails with `setting_invalid` or `setting_file_unreadable`;
/// the message names the setting, its value and what is allowed. Values of secret files are never
/// named.
auto parse_settings(int argc, const char* const* argv, const environment& variables)
    -> result<settings>;

/// Name of the environment variable of a flag: "listen-port" gives CYCLAMENPOST_LISTEN_PORT.
auto variable_name(std::string_view flag) -> std::string;

} // namespace cyclamenpost
