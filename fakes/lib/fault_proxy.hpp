#pragma once

#include <array>
#include <list>
#include <memory>
#include <string>

#include "cyclamenpost/transport/tcp.hpp"

namespace cyclamenpost::fakes {

/// What a proxy does with connections and their bytes.
enum class link_mode {
    /// Forwards all bytes.
    pass,
    /// Forwards all bytes after a delay.
    delay,
    /// Discards the bytes of both directions.
    silent,
    /// Discards the bytes from upstream.
    silent_answers,
    /// Resets new connections.
    refuse,
};

inline constexpr std::array link_mode_names{
    enum_name<link_mode>{link_mode::pass, "pass"},
    enum_name<link_mode>{link_mode::delay, "delay"},
    enum_name<link_mode>{link_mode::silent, "silent"},
    enum_name<link_mode>{link_mode::silent_answers, "silent_answers"},
    enum_name<link_mode>{link_mode::refuse, "refuse"},
};

/// TCP proxy on loopback that injects faults into connections to one upstream address. A connection
/// that has become silent stays silent, as after the loss of a network path; new ones follow the
/// present mode.
class fault_proxy {
public:
    fault_proxy(event_loop& loop, std::string upstream_address);

    /// Listens on a free port of loopback. Fails with `listen_failed`.
    auto listen() -> result<void>;

    /// Address on which the proxy listens, "ip:port".
    auto address() const -> std::string;

    /// Changes the mode. `silent` and `silent_answers` also apply to open connections.
    auto set_mode(link_mode mode) -> void;

    /// Resets all open connections at both ends.
    auto reset_connections() -> void;

private:
    struct link {
        tcp_connection downstream;
        tcp_connection upstream;
        std::list<timer> delayed;
        bool silent_requests = false;
        bool silent_answers = false;
        bool ended = false;
    };

    auto accept(tcp_connection accepted) -> void;
    auto forward(const std::shared_ptr<link>& connection, bool to_upstream, std::string_view bytes)
        -> void;
    auto end_link(const std::shared_ptr<link>& connection, bool upstream_ended, close_reason reason)
        -> void;

    event_loop& loop_;
    std::string upstream_address_;
    tcp_listener listener_;
    link_mode mode_ = link_mode::pass;
    std::list<std::shared_ptr<link>> links_;
};

} // namespace cyclamenpost::fakes
