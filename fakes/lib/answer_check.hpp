#pragma once

#include <string>
#include <string_view>

#include "chat_content.hpp"

namespace cyclamenpost::fakes {

/// Verifies a streamed chat answer token by token. The expected tokens follow from the request
/// (`answer_token`). Bytes may arrive in pieces of any size.
class stream_verifier {
public:
    explicit stream_verifier(chat_content chat);

    /// Verifies the next bytes of the answer. Returns the number of tokens completed by them.
    auto feed(std::string_view bytes) -> std::size_t;

    /// Whether every token and the final "[DONE]" arrived in order, and nothing else.
    auto complete() const -> bool;

    /// Description of the first deviation from the expected answer; empty without one.
    auto deviation() const -> const std::string&;

    /// The problem document of an "error" event; empty without one.
    auto problem() const -> const std::string&;

    /// Tokens received so far.
    auto tokens() const -> std::size_t;

private:
    auto process_line(std::string_view line) -> void;
    auto verify_chunk(std::string_view data) -> void;

    chat_content chat_;
    std::string buffer_;
    std::string deviation_;
    std::string problem_;
    std::string id_;
    std::size_t tokens_ = 0;
    bool error_event_ = false;
    bool done_ = false;
};

/// Verifies a chat answer that was not streamed. Returns a description of the deviation; empty for
/// the expected answer.
auto verify_unstreamed_answer(const chat_content& chat, std::string_view body) -> std::string;

/// Verifies an application's answer to the booking `sent` under an idempotency key. Returns a
/// description of the deviation; empty for the expected answer.
auto verify_booking_answer(std::string_view key, std::string_view sent, std::string_view body)
    -> std::string;

/// Members of a problem document; those that are absent stay empty.
struct refusal {
    std::string outcome;
    std::string reason;
    std::int64_t retry_after_ms = 0;
    /// Addresses of other instances to try.
    std::vector<std::string> alternatives;
};

/// Parses a problem document. A body that is none yields an empty refusal.
auto parse_refusal(std::string_view body) -> refusal;

} // namespace cyclamenpost::fakes
