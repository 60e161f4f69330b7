#pragma once

#include <array>
#include <list>
#include <memory>
#include <string>

#include "cyclamenpost/transport/tcp.hpp"

namespace cyclamenpost::fakes {

/// What a proxy does to the bytes that pass it.
enum class link_mode { pass, delay, silent, silent_answers, refuse };

inline constexpr std::array link_mode_names{
    enum_name<link_mode>{link_mode::pass, "pass"},
    enum_name<link_mode>{link_mode::delay, "delay"},
    enum_name<link_mode>{link_mode::silent, "silent"},
    enum_name<link_mode>{link_mode::silent_answers, "silent_answers"},
    enum_name<link_mode>{link_mode::refuse, "refuse"},
};

/// Loopback proxy before one peer that harms its connections as told. Connections that fell silent
/// stay silent, as after a lost path; new ones follow the present mode.
class fault_proxy {
public:
    fault_proxy(event_loop& loop, std::string upstream);

    /// Listens on a free port of loopback. Fails with `listen_failed`.
    auto listen() -> result<void>;

    auto address() const -> std::string;
    auto set_mode(link_mode mode) -> void;

    /// Resets all open connections at both ends.
    auto reset_connections() -> void;

private:
    struct link {
        tcp_connection near;
        tcp_connection far;
        std::list<timer> delayed;
        bool silent_requests = false;
        bool silent_answers = false;
        bool ended = false;
    };

    auto accept(tcp_connection accepted) -> void;
    auto pass(const std::shared_ptr<link>& open, bool to_far, std::string_view bytes) -> void;
    auto end(const std::shared_ptr<link>& open, bool far_ended, close_reason reason) -> void;

    event_loop& loop_;
    std::string upstream_;
    tcp_listener listener_;
    link_mode mode_ = link_mode::pass;
    std::list<std::shared_ptr<link>> links_;
};

} // namespace cyclamenpost::fakes
