#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "cyclamenpost/configuration/published_text.hpp"
#include "cyclamenpost/transport/http.hpp"

namespace cyclamenpost::fakes {

/// How the platform answers reads and watches: with the newest version, with an older version,
/// not at all, after a delay, or with two different texts under one version. Control requests are
/// always answered.
enum class platform_mode { normal, stale, down, slow, split };

inline constexpr std::array platform_mode_names{
    enum_name<platform_mode>{platform_mode::normal, "normal"},
    enum_name<platform_mode>{platform_mode::stale, "stale"},
    enum_name<platform_mode>{platform_mode::down, "down"},
    enum_name<platform_mode>{platform_mode::slow, "slow"},
    enum_name<platform_mode>{platform_mode::split, "split"},
};

/// All versions of one published document.
struct published_values {
    /// Oldest first; never empty after the first publication.
    std::vector<published_text> versions;
    /// Text that every second answer carries in mode `split`, under the newest version.
    std::string alternate;
    /// Index of the version served in mode `stale`.
    std::size_t stale_index = 0;
};

/// Number of reads and watches since the start, and of watches that wait for an answer.
struct platform_call_counts {
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t waiting = 0;
};

/// A watch that waits for a version above `after_version`.
struct pending_watch {
    published_kind kind{};
    std::uint64_t after_version = 0;
    std::shared_ptr<http_exchange> exchange;
    timer timeout;
};

/// A fake of the platform's configuration service and instance list, limited to what the fleet
/// uses.
///
/// Readers: `GET /v1/config`, `GET /v1/instances`, both with `watch=V&timeout_ms=T`.
/// Control: `POST /control/config[?version=N][&alternate=true]` with the text,
/// `POST /control/instances[?alternate=true]` with the JSON, `GET /control/calls`, and
/// `POST /control/mode` with `{"mode":"normal|stale|down|slow|split","delay_ms":N,"back":N}`;
/// `back` is the number of versions by which mode `stale` lags behind the newest.
class fake_platform {
public:
    explicit fake_platform(event_loop& loop);
    fake_platform(const fake_platform&) = delete;
    auto operator=(const fake_platform&) -> fake_platform& = delete;

    /// Listens for reads and control requests; port 0 picks a free one. Fails with
    /// `listen_failed`.
    auto start(const std::string& address, int port) -> result<void>;

    /// The port in use.
    auto port() const -> int;

    /// Publishes a configuration text under a version; 0 stands for the next one.
    auto publish_config(std::string text, std::uint64_t version = 0) -> void;

    /// Publishes an instance list under the version in its JSON. Fails when it cannot be parsed.
    auto publish_instances(std::string json) -> result<void>;

    /// Sets the text that every second answer carries in mode `split`.
    auto set_alternate(published_kind kind, std::string text) -> void;

    /// Changes the behaviour. `delay_ms` applies in mode `slow`, `versions_back` in mode `stale`.
    /// Mode `down` aborts all waiting watches.
    auto set_mode(platform_mode mode, std::uint64_t delay_ms = 0, std::uint64_t versions_back = 0)
        -> void;

    /// Reads and watches since the start, and watches that wait now.
    auto calls() const -> platform_call_counts;

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    auto handle(const http_request& request, const exchange_ptr& exchange) -> void;
    auto handle_control(const http_request& request, const exchange_ptr& exchange) -> void;
    auto change_mode(const http_request& request, const exchange_ptr& exchange) -> void;
    auto handle_read(published_kind kind, const http_request& request, const exchange_ptr& exchange)
        -> void;
    auto add_watch(published_kind kind, std::uint64_t after_version, std::uint64_t timeout_ms,
                   const exchange_ptr& exchange) -> void;
    auto respond(published_kind kind, const exchange_ptr& exchange) -> void;
    auto respond_to_due_watches() -> void;
    auto values_of(published_kind kind) -> published_values&;
    auto served(published_kind kind) -> const published_text*;
    auto call_delayed(std::function<void()> action) -> void;

    event_loop& loop_;
    published_values config_;
    published_values instances_;
    platform_mode mode_ = platform_mode::normal;
    std::uint64_t delay_ms_ = 0;
    std::uint64_t split_answers_ = 0;
    platform_call_counts calls_;
    std::list<pending_watch> watches_;
    std::list<timer> delayed_;
    http_server server_;
    // connections outlive the server until the next iteration of the event loop; their callbacks
    // check this
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cyclamenpost::fakes
