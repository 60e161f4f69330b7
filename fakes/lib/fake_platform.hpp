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

/// How the stand-in behaves towards readers. Control calls always work.
enum class platform_mode { normal, stale, down, slow, split };

inline constexpr std::array platform_mode_names{
    enum_name<platform_mode>{platform_mode::normal, "normal"},
    enum_name<platform_mode>{platform_mode::stale, "stale"},
    enum_name<platform_mode>{platform_mode::down, "down"},
    enum_name<platform_mode>{platform_mode::slow, "slow"},
    enum_name<platform_mode>{platform_mode::split, "split"},
};

/// One published value with its past.
struct published_value {
    /// Oldest first; never empty after the first publication.
    std::vector<published_text> versions;
    /// Text that every second reader gets in mode `split`, under the newest version.
    std::string alternate;
    /// Index of the version served in mode `stale`.
    std::size_t frozen = 0;
};

/// Calls that readers made.
struct platform_calls {
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t waiting = 0;
};

/// A reader's watch that has not been answered yet.
struct waiting_watch {
    published_kind kind{};
    std::uint64_t above = 0;
    std::shared_ptr<http_exchange> exchange;
    timer limit;
};

/// The platform's configuration service and instance list, as far as the fleet uses them.
///
/// Readers: `GET /v1/config`, `GET /v1/instances`, both with `watch=V&timeout_ms=T`.
/// Control: `POST /control/config[?version=N][&alternate=true]` with the text,
/// `POST /control/instances[?alternate=true]` with the JSON, `GET /control/calls`, and
/// `POST /control/mode` with `{"mode":"normal|stale|down|slow|split","delay_ms":N,"back":N}`;
/// `back` makes a stale service serve the value that many versions before the newest.
class fake_platform {
public:
    explicit fake_platform(event_loop& loop);
    fake_platform(const fake_platform&) = delete;
    auto operator=(const fake_platform&) -> fake_platform& = delete;

    /// Listens for readers and control calls.
    auto start(const std::string& address, int port) -> result<void>;

    /// The port in use.
    auto port() const -> int;

    /// Publishes an operator text under a version, or under the next one when it is 0.
    auto publish_config(std::string text, std::uint64_t version = 0) -> void;

    /// Publishes an instance list under the version in its JSON. Fails when it cannot be parsed.
    auto publish_instances(std::string json) -> result<void>;

    /// Sets the text that every second reader gets in mode `split`.
    auto set_alternate(published_kind kind, std::string text) -> void;

    /// Changes the behaviour. In mode `down` all waiting watches are cut.
    auto set_mode(platform_mode mode, std::uint64_t delay_ms = 0, std::uint64_t back = 0) -> void;

    auto calls() const -> platform_calls;

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    auto handle(const http_request& request, const exchange_ptr& exchange) -> void;
    auto control(const http_request& request, const exchange_ptr& exchange) -> void;
    auto change_mode(const http_request& request, const exchange_ptr& exchange) -> void;
    auto read(published_kind kind, const http_request& request, const exchange_ptr& exchange)
        -> void;
    auto hold(published_kind kind, std::uint64_t above, std::uint64_t timeout_ms,
              const exchange_ptr& exchange) -> void;
    auto answer(published_kind kind, const exchange_ptr& exchange) -> void;
    auto answer_watches() -> void;
    auto value(published_kind kind) -> published_value&;
    auto served(published_kind kind) -> const published_text*;
    auto later(std::function<void()> action) -> void;

    event_loop& loop_;
    published_value config_;
    published_value instances_;
    platform_mode mode_ = platform_mode::normal;
    std::uint64_t delay_ms_ = 0;
    std::uint64_t answers_ = 0;
    platform_calls calls_;
    std::list<waiting_watch> waiting_;
    std::list<timer> delayed_;
    http_server server_;
    // connections outlive the listener until the next turn of the loop; their callbacks check this
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cyclamenpost::fakes
