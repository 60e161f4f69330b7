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

/// One header field. Names keep the case in which they were received.
struct header_field {
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// Compares header names or tokens, ignoring ASCII case.
auto equals_ignore_case(std::string_view left, std::string_view right) -> bool;

/// Value of the first header field with the name, or nothing when there is none.
auto find_field(const header_fields& fields, std::string_view name)
    -> std::optional<std::string_view>;

/// Whether the comma-separated list in a header field contains the token, ignoring case.
auto has_token(const header_fields& fields, std::string_view name, std::string_view token) -> bool;

/// Removes the hop-by-hop header fields (RFC 9110, 7.6.1), those that the Connection field lists,
/// and Content-Length, which the writer of the next message sets.
auto drop_hop_by_hop_fields(header_fields& fields) -> void;

/// Request line and header fields of a request.
struct request_head {
    std::string method;
    /// Request target of RFC 9112, section 3.2: path and query.
    std::string target;
    header_fields fields;
    bool keep_alive = true;
};

/// Status and header fields of a response.
struct response_head {
    int status = 0;
    header_fields fields;
    bool keep_alive = true;
    /// The body has no declared length and ends when the connection closes.
    bool until_close = false;
};

/// Serialises the head of a request. Adds Content-Length with `body_bytes` if there is a body or
/// the method is POST, PUT or PATCH.
auto write_request_head(const request_head& head, std::size_t body_bytes) -> std::string;

/// How the body of a response is delimited.
enum class body_framing { length, chunked };

/// Serialises the head of a response. With `length` framing, `body_bytes` is its Content-Length.
auto write_response_head(const response_head& head, body_framing framing, std::size_t body_bytes)
    -> std::string;

/// Status code at the start of the text, as it stands behind the version in a status line: three
/// digits from 100 to 599 before a space or the end of the line. Nothing for anything else (RFC
/// 9110, section 15).
auto parse_status_code(std::string_view text) -> std::optional<int>;

/// Serialises one chunk of a chunked body; an empty one ends the body.
auto write_chunk(std::string_view bytes) -> std::string;

/// Why a parser failed.
enum class parse_failure { none, malformed, header_too_large, body_too_large };

/// Callbacks for each message in turn. They may close the connection but must not destroy the
/// parser.
struct http1_handlers {
    std::function<void()> on_head;
    std::function<void(std::string_view bytes)> on_body;
    std::function<void()> on_complete;
};

/// Incremental and strict parser of HTTP/1.1 messages on top of http_parser. It rejects header
/// names that are not tokens, folded lines and messages with more than one body length.
class http1_parser {
public:
    enum class kind { request, response };

    http1_parser(kind message_kind, http1_handlers handlers, std::size_t max_header_bytes);
    http1_parser(const http1_parser&) = delete;
    auto operator=(const http1_parser&) -> http1_parser& = delete;
    ~http1_parser();

    /// Parses at most up to the end of the current message. Returns the number of bytes consumed;
    /// fewer than given means that a message is complete or that the parser failed.
    auto parse(std::string_view bytes) -> std::size_t;

    /// Signals that the peer closed the connection cleanly. Returns whether a message was left
    /// incomplete.
    auto finish() -> bool;

    /// Sets whether the next response has no body whatever its headers say, as after a HEAD
    /// request.
    auto expect_no_body(bool expected) -> void;

    /// Replaces the limit for the heads of the messages to come, and of the present one. The fields
    /// after a chunked body have the same limit.
    auto set_max_header_bytes(std::size_t limit) -> void;

    /// Head of the message being parsed, for the parser's kind of message.
    auto request() -> request_head&;
    auto response() -> response_head&;

    /// Bytes of memory that the head of the message being parsed takes.
    auto held_bytes() const -> std::size_t;

    /// Drops the head of the message being parsed, which takes no more memory then.
    auto drop_head() -> void;

    /// Length of the body that the head declares, or nothing if it declares none.
    auto declared_body_bytes() const -> std::optional<std::uint64_t>;

    /// Whether a message has been received in part.
    auto in_message() const -> bool;
    auto failure() const -> parse_failure;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cyclamenpost
