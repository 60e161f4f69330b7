#pragma once

#include <array>
#include <string>
#include <string_view>

#include <boost/leaf.hpp>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost {

namespace leaf = boost::leaf;

/// Stable identifiers of errors. Numbers are never reused: 1xx process settings, 2xx operator text
/// (the fleet configuration that operators write), 3xx configuration state, 4xx request path,
/// 5xx bus and membership, 6xx platform, 7xx targets, 8xx administration and command line.
enum class error_id {
    setting_invalid = 101,
    setting_file_unreadable = 102,
    text_syntax = 201,
    text_unknown_key = 202,
    text_unknown_name = 203,
    text_duplicate_name = 204,
    text_dependency_cycle = 205,
    text_value_out_of_range = 206,
    text_missing_key = 207,
    text_wrong_type = 208,
    text_too_large = 209,
    config_version_lower = 301,
    config_part_mismatch = 302,
    config_digest_mismatch = 303,
    listen_failed = 401,
    connect_failed = 402,
    request_invalid = 403,
    response_truncated = 404,
    bus_failed = 501,
    message_invalid = 502,
    platform_unreachable = 601,
    platform_answer_invalid = 602,
    target_unreachable = 701,
    target_answer_invalid = 702,
    admin_refused = 801,
    usage = 802,
    history_unreadable = 803,
    script_failed = 804,
};

/// The operation that failed; written to logs and error messages by its name in `step_names`.
enum class step {
    settings,
    parse_text,
    apply_config,
    listen,
    connect,
    send,
    receive,
    read_platform,
    monitor_target,
    order_target,
    administer,
    check_history,
};

inline constexpr std::array step_names{
    enum_name<step>{step::settings, "settings"},
    enum_name<step>{step::parse_text, "parse_text"},
    enum_name<step>{step::apply_config, "apply_config"},
    enum_name<step>{step::listen, "listen"},
    enum_name<step>{step::connect, "connect"},
    enum_name<step>{step::send, "send"},
    enum_name<step>{step::receive, "receive"},
    enum_name<step>{step::read_platform, "read_platform"},
    enum_name<step>{step::monitor_target, "monitor_target"},
    enum_name<step>{step::order_target, "order_target"},
    enum_name<step>{step::administer, "administer"},
    enum_name<step>{step::check_history, "check_history"},
};

/// An error with its stable id and a message for the operator.
struct error {
    error_id id{};
    step failed_step{};
    /// Address, file or setting that the error concerns; empty if there is none.
    std::string peer;
    std::string message;
};

/// A value or an error. Boost.LEAF transports the `error` object to the handler.
template <typename T>
using result = leaf::result<T>;

/// Creates an error that a function with a `result` return type can return.
inline auto fail(error_id id, step failed_step, std::string peer, std::string message)
    -> leaf::error_id
{
    return leaf::new_error(error{id, failed_step, std::move(peer), std::move(message)});
}

/// Formats an error as "[cyclamenpost.<id>] <step> <peer>: <message>".
auto describe(const error& failure) -> std::string;

/// Calls `attempt`, which returns a `result`, and passes the error to `on_error` if it fails. An
/// error of another type is passed as "unexpected failure". Returns whether the call succeeded.
template <typename Attempt, typename OnError>
auto try_or(Attempt&& attempt, OnError&& on_error) -> bool
{
    return leaf::try_handle_all(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(attempt());
            return true;
        },
        [&](const error& failure) {
            on_error(failure);
            return false;
        },
        [&] {
            on_error(error{error_id::request_invalid, step::receive, "", "unexpected failure"});
            return false;
        });
}

} // namespace cyclamenpost
