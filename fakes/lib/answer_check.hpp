#pragma once

#include <string>
#include <string_view>

#include "chat_content.hpp"

namespace cyclamenpost::fakes {

/// Verifies a streamed chat answer token by token against the deterministic rule of the fake
/// engines. Bytes may arrive in pieces of any size.
class stream_check {
public:
    explicit stream_check(chat_content chat);

    /// Takes the next bytes of the answer. Returns the number of new tokens in them.
    auto take(std::string_view bytes) -> std::size_t;

    /// Whether every token and the final mark arrived, in order and nothing else.
    auto whole() const -> bool;

    /// Description of the first deviation; empty while everything was right.
    auto fault() const -> const std::string&;

    /// The problem document of an "error" event, if one arrived.
    auto problem() const -> const std::string&;

    auto tokens() const -> std::size_t;

private:
    auto take_line(std::string_view line) -> void;
    auto take_chunk(std::string_view data) -> void;

    chat_content chat_;
    std::string buffer_;
    std::string fault_;
    std::string problem_;
    std::string id_;
    std::size_t tokens_ = 0;
    bool error_event_ = false;
    bool done_ = false;
};

/// Checks a chat answer that was not streamed. Returns a description of the deviation or nothing.
auto check_whole_answer(const chat_content& chat, std::string_view body) -> std::string;

/// Checks an application's answer to a call. Returns a description of the deviation or nothing.
auto check_booking_answer(std::string_view key, std::string_view sent, std::string_view body)
    -> std::string;

/// What a problem document says; empty fields where it says nothing.
struct refusal {
    std::string outcome;
    std::string reason;
    std::int64_t retry_after_ms = 0;
    std::vector<std::string> alternatives;
};

/// Reads a problem document.
auto parse_refusal(std::string_view body) -> refusal;

} // namespace cyclamenpost::fakes
