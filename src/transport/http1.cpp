#include "cyclamenpost/transport/http1.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <http_parser.h>
#include <strings.h>

namespace cyclamenpost {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_fields{
    "Connection", "Keep-Alive",     "Proxy-Connection",   "TE", "Trailer", "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Proxy-Authorization"};

auto is_token_character(char character) -> bool
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || others.find(character) != others.npos;
}

auto is_token(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

auto trim(std::string_view text) -> std::string_view
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

auto append_fields(std::string& text, const header_fields& fields) -> void
{
    for (const auto& field : fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

/// Whether a status line that begins with the given bytes has a version of HTTP/1 and a status
/// code.
auto is_status_line(std::string_view line) -> bool
{
    constexpr std::string_view version = "HTTP/1.";
    const auto digit_at = version.size();
    const auto code_at = digit_at + 2;
    return line.starts_with(version) && line.size() > code_at && line[digit_at] >= '0' &&
           line[digit_at] <= '9' && line[digit_at + 1] == ' ' &&
           parse_status_code(line.substr(code_at)).has_value();
}

/// Memory of header fields whose names and values have `text` bytes together. Strings grow to up to
/// twice their size.
auto held_head_bytes(const header_fields& fields, std::size_t text) -> std::size_t
{
    return fields.capacity() * sizeof(header_field) + 2 * text;
}

template <typename Visit>
auto for_each_token(std::string_view list, Visit&& visit) -> void
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        visit(trim(list.substr(0, comma)));
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
}

} // namespace

auto equals_ignore_case(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

auto find_field(const header_fields& fields, std::string_view name)
    -> std::optional<std::string_view>
{
    for (const auto& field : fields) {
        if (equals_ignore_case(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

auto has_token(const header_fields& fields, std::string_view name, std::string_view token) -> bool
{
    auto found = false;
    for (const auto& field : fields) {
        if (equals_ignore_case(field.name, name)) {
            for_each_token(field.value, [&](std::string_view item) {
                found = found || equals_ignore_case(item, token);
            });
        }
    }
    return found;
}

auto drop_hop_by_hop_fields(header_fields& fields) -> void
{
    auto listed = std::vector<std::string>{};
    for (const auto& field : fields) {
        if (equals_ignore_case(field.name, "Connection")) {
            for_each_token(field.value, [&](std::string_view item) { listed.emplace_back(item); });
        }
    }
    std::erase_if(fields, [&](const header_field& field) {
        const auto is_field = [&](std::string_view name) {
            return equals_ignore_case(field.name, name);
        };
        return std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(), is_field) ||
               std::any_of(listed.begin(), listed.end(), is_field);
    });
}

auto write_request_head(const request_head& head, std::size_t body_bytes) -> std::string
{
    auto text = head.method + " " + head.target + " HTTP/1.1\r\n";
    append_fields(text, head.fields);
    const auto has_body =
        body_bytes > 0 || head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
    if (has_body) {
        text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    if (!head.keep_alive) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

auto write_response_head(const response_head& head, body_framing framing, std::size_t body_bytes)
    -> std::string
{
    const auto* reason = http_status_str(static_cast<http_status>(head.status));
    auto text = "HTTP/1.1 " + std::to_string(head.status) + " " + reason + "\r\n";
    append_fields(text, head.fields);
    if (framing == body_framing::chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    else {
        text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    if (!head.keep_alive) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

auto parse_status_code(std::string_view text) -> std::optional<int>
{
    constexpr auto lowest = 100;
    constexpr auto highest = 599;
    const auto digits = text.substr(0, text.find_first_of(" \r\n"));
    auto code = 0;
    const auto* last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, code);
    const auto valid = digits.size() == 3 && parsed.ec == std::errc{} && parsed.ptr == last &&
                       code >= lowest && code <= highest;
    return valid ? std::optional{code} : std::nullopt;
}

auto write_chunk(std::string_view bytes) -> std::string
{
    auto size = std::array<char, 17>{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    auto text = std::string(size.data(), end);
    text.reserve(text.size() + bytes.size() + 4);
    text.append("\r\n").append(bytes).append("\r\n");
    return text;
}

struct http1_parser::state {
    http_parser parser{};
    http_parser_settings settings{};
    kind message_kind = kind::request;
    http1_handlers handlers;
    std::size_t max_header_bytes = 0;
    /// First bytes of a response's status line. The library's parser takes any number for a status.
    std::string status_line;
    request_head request;
    response_head response;
    bool in_value = false;
    bool in_head = false;
    bool in_message = false;
    bool no_body = false;
    bool complete = false;
    bool has_length = false;
    bool has_encoding = false;
    /// Bytes of the head received so far, then of the fields after the body.
    std::size_t header_bytes = 0;
    /// Bytes of the complete head.
    std::size_t head_bytes = 0;
    parse_failure failure = parse_failure::none;

    auto fields() -> header_fields&
    {
        return message_kind == kind::request ? request.fields : response.fields;
    }
    auto fields() const -> const header_fields&
    {
        return message_kind == kind::request ? request.fields : response.fields;
    }
    auto begin() -> int;
    /// Keeps the bytes that belong to the start of the status line.
    auto keep_status_line(std::string_view bytes) -> void;
    auto add_header_bytes(std::size_t count) -> int;
    auto add_name(std::string_view part) -> int;
    auto add_value(std::string_view part) -> int;
    auto check_fields() -> bool;
    auto end_head() -> int;
    auto end_message() -> int;
};

auto http1_parser::state::begin() -> int
{
    request = {};
    response = {};
    in_value = false;
    in_head = true;
    in_message = true;
    complete = false;
    header_bytes = 0;
    head_bytes = 0;
    return 0;
}

auto http1_parser::state::keep_status_line(std::string_view bytes) -> void
{
    // "HTTP/1.1 200 "
    constexpr auto needed = std::size_t{13};
    if (status_line.size() >= needed || status_line.ends_with('\r') ||
        status_line.ends_with('\n')) {
        return;
    }
    if (status_line.empty()) {
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    }
    const auto end = bytes.find_first_of("\r\n");
    const auto size = std::min(end == std::string_view::npos ? bytes.size() : end + 1,
                               needed - status_line.size());
    status_line.append(bytes.substr(0, size));
}

auto http1_parser::state::add_header_bytes(std::size_t count) -> int
{
    header_bytes += count;
    if (header_bytes > max_header_bytes) {
        failure = parse_failure::header_too_large;
        return 1;
    }
    return 0;
}

auto http1_parser::state::add_name(std::string_view part) -> int
{
    if (!in_head) {
        return add_header_bytes(part.size()); // trailer fields are not forwarded
    }
    if (in_value || fields().empty()) {
        fields().emplace_back();
        in_value = false;
    }
    fields().back().name += part;
    return add_header_bytes(part.size());
}

auto http1_parser::state::add_value(std::string_view part) -> int
{
    if (!in_head) {
        return add_header_bytes(part.size());
    }
    in_value = true;
    fields().back().value += part;
    return add_header_bytes(part.size());
}

auto http1_parser::state::check_fields() -> bool
{
    auto lengths = 0;
    for (auto& field : fields()) {
        field.value = trim(field.value);
        lengths += equals_ignore_case(field.name, "Content-Length") ? 1 : 0;
        has_encoding = has_encoding || equals_ignore_case(field.name, "Transfer-Encoding");
        if (!is_token(field.name) || field.value.find_first_of("\r\n") != std::string::npos) {
            return false;
        }
    }
    has_length = lengths > 0;
    // conflicting body lengths allow request smuggling
    return lengths <= 1 && !(has_length && has_encoding);
}

auto http1_parser::state::end_head() -> int
{
    in_head = false;
    header_bytes = 0;
    head_bytes = 0;
    for (const auto& field : fields()) {
        head_bytes += field.name.size() + field.value.size();
    }
    head_bytes += request.target.size();
    has_length = false;
    has_encoding = false;
    if (!check_fields() || (message_kind == kind::response && !is_status_line(status_line))) {
        failure = parse_failure::malformed;
        return -1;
    }
    const auto keep_alive = http_should_keep_alive(&parser) != 0;
    if (message_kind == kind::request) {
        request.method = http_method_str(static_cast<http_method>(parser.method));
        request.keep_alive = keep_alive;
    }
    else {
        response.status = static_cast<int>(parser.status_code);
        response.keep_alive = keep_alive;
        const auto bodiless = no_body || response.status / 100 == 1 || response.status == 204 ||
                              response.status == 304;
        response.until_close = !bodiless && !has_length && !has_encoding;
    }
    if (handlers.on_head) {
        handlers.on_head();
    }
    return message_kind == kind::response && no_body ? 1 : 0;
}

auto http1_parser::state::end_message() -> int
{
    in_message = false;
    complete = true;
    http_parser_pause(&parser, 1);
    return 0;
}

http1_parser::http1_parser(kind message_kind, http1_handlers handlers, std::size_t max_header_bytes)
    : state_(std::make_unique<state>())
{
    auto& own = *state_;
    own.message_kind = message_kind;
    own.handlers = std::move(handlers);
    own.max_header_bytes = max_header_bytes;
    http_parser_init(&own.parser, message_kind == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    own.parser.data = &own;
    http_parser_settings_init(&own.settings);
    own.settings.on_message_begin = [](http_parser* p) {
        return static_cast<state*>(p->data)->begin();
    };
    own.settings.on_url = [](http_parser* p, const char* at, std::size_t size) {
        auto* current = static_cast<state*>(p->data);
        current->request.target.append(at, size);
        return current->add_header_bytes(size);
    };
    own.settings.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
        return static_cast<state*>(p->data)->add_name({at, size});
    };
    own.settings.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
        return static_cast<state*>(p->data)->add_value({at, size});
    };
    own.settings.on_headers_complete = [](http_parser* p) {
        return static_cast<state*>(p->data)->end_head();
    };
    own.settings.on_body = [](http_parser* p, const char* at, std::size_t size) {
        auto* current = static_cast<state*>(p->data);
        if (current->handlers.on_body) {
            current->handlers.on_body({at, size});
        }
        return 0;
    };
    own.settings.on_message_complete = [](http_parser* p) {
        return static_cast<state*>(p->data)->end_message();
    };
}

http1_parser::~http1_parser() = default;

auto http1_parser::parse(std::string_view bytes) -> std::size_t
{
    auto& own = *state_;
    if (own.failure != parse_failure::none) {
        return 0;
    }
    if (HTTP_PARSER_ERRNO(&own.parser) == HPE_PAUSED) {
        http_parser_pause(&own.parser, 0);
    }
    if (!own.in_message) {
        // a message may follow one with "Connection: close"; the owner decides whether to use it
        http_parser_init(&own.parser,
                         own.message_kind == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        own.parser.data = &own;
        own.status_line.clear();
    }
    own.complete = false;
    if (own.message_kind == kind::response) {
        own.keep_status_line(bytes);
    }
    auto used = http_parser_execute(&own.parser, &own.settings, bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&own.parser);
    if (code == HPE_PAUSED && own.complete) {
        own.complete = false;
        if (own.handlers.on_complete) {
            own.handlers.on_complete();
        }
        return used;
    }
    if (own.parser.upgrade != 0 && own.complete) {
        return used;
    }
    if (code != HPE_OK) {
        if (own.failure == parse_failure::none) {
            own.failure = code == HPE_HEADER_OVERFLOW ? parse_failure::header_too_large
                                                      : parse_failure::malformed;
        }
    }
    return used;
}

auto http1_parser::finish() -> bool
{
    auto& own = *state_;
    if (!own.in_message || own.failure != parse_failure::none) {
        return own.in_message;
    }
    if (HTTP_PARSER_ERRNO(&own.parser) == HPE_PAUSED) {
        http_parser_pause(&own.parser, 0);
    }
    own.complete = false;
    http_parser_execute(&own.parser, &own.settings, nullptr, 0);
    if (own.complete) {
        own.complete = false;
        if (own.handlers.on_complete) {
            own.handlers.on_complete();
        }
        return false;
    }
    return own.in_message;
}

auto http1_parser::expect_no_body(bool expected) -> void
{
    state_->no_body = expected;
}

auto http1_parser::set_max_header_bytes(std::size_t limit) -> void
{
    state_->max_header_bytes = limit;
}

auto http1_parser::request() -> request_head&
{
    return state_->request;
}

auto http1_parser::response() -> response_head&
{
    return state_->response;
}

auto http1_parser::held_bytes() const -> std::size_t
{
    const auto text = state_->in_head ? state_->header_bytes : state_->head_bytes;
    return held_head_bytes(state_->fields(), text);
}

auto http1_parser::drop_head() -> void
{
    state_->request = {};
    state_->response = {};
    state_->header_bytes = 0;
    state_->head_bytes = 0;
}

auto http1_parser::declared_body_bytes() const -> std::optional<std::uint64_t>
{
    const auto value = find_field(state_->fields(), "Content-Length");
    auto size = std::uint64_t{0};
    if (!value) {
        return std::nullopt;
    }
    std::from_chars(value->data(), value->data() + value->size(), size);
    return size;
}

auto http1_parser::in_message() const -> bool
{
    return state_->in_message;
}

auto http1_parser::failure() const -> parse_failure
{
    return state_->failure;
}

} // namespace cyclamenpost
