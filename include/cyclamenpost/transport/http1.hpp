#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenpost {

/// One header line. Names keep the case in which they arrived.
struct header_field {
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// Compares header names without regard to case.
auto equals_ignore_case(std::string_view left, std::string_view right) -> bool;

/// Value of the first header with the name; nothing when it is absent.
auto find_field(const header_fields& fields, std::string_view name)
    -> std::optional<std::string_view>;

/// Whether a comma-separated header holds the token, without regard to case.
auto has_token(const header_fields& fields, std::string_view name, std::string_view token) -> bool;

/// Removes the headers that concern one connection only (RFC 9110, 7.6.1), those that the
/// Connection header names, and the length of the body.
auto drop_hop_by_hop_fields(header_fields& fields) -> void;

/// Head of a request.
struct request_head {
    std::string method;
    std::string target;
    header_fields fields;
    bool keep_alive = true;
};

/// Head of a response.
struct response_head {
    int status = 0;
    header_fields fields;
    bool keep_alive = true;
    /// The body ends with the connection.
    bool until_close = false;
};

/// Writes the head of a request; `body_bytes` becomes its Content-Length when the method or the
/// body asks for one.
auto write_request_head(const request_head& head, std::size_t body_bytes) -> std::string;

/// How the body of a response is delimited.
enum class body_framing { length, chunked };

/// Writes the head of a response. With `length` framing, `body_bytes` is its Content-Length.
auto write_response_head(const response_head& head, body_framing framing, std::size_t body_bytes)
    -> std::string;

/// One chunk of a chunked body; an empty one ends the body.
auto write_chunk(std::string_view bytes) -> std::string;

/// What stopped a parser.
enum class parse_failure { none, malformed, header_too_large, body_too_large };

/// Receives one message after the other. Handlers may stop the parser, not destroy it.
struct http1_handlers {
    std::function<void()> on_head;
    std::function<void(std::string_view bytes)> on_body;
    std::function<void()> on_complete;
};

/// Incremental parser of HTTP/1.1 messages (http_parser), made strict: header names are tokens,
/// lines are not folded, and a message has one length only.
class http1_parser {
public:
    enum class kind { request, response };

    http1_parser(kind parsed, http1_handlers handlers, std::size_t max_header_bytes);
    http1_parser(const http1_parser&) = delete;
    auto operator=(const http1_parser&) -> http1_parser& = delete;
    ~http1_parser();

    /// Parses bytes up to the end of the current message at most. Returns how many were used;
    /// fewer than given means that a message is complete or that the parser failed.
    auto parse(std::string_view bytes) -> std::size_t;

    /// Tells that the peer finished in order. Returns whether a message was left incomplete.
    auto finish() -> bool;

    /// The next response belongs to a request whose responses have no body.
    auto expect_no_body(bool none) -> void;

    /// Heads of the message being parsed.
    auto request() -> request_head&;
    auto response() -> response_head&;

    /// Whether bytes of a message have arrived and it is not complete.
    auto in_message() const -> bool;
    auto failure() const -> parse_failure;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cyclamenpost
