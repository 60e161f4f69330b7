#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenpost::fakes {

/// The parts of a chat completion request that determine its answer.
struct chat_content {
    /// Whether the body was a chat completion request.
    bool valid = false;
    bool stream = false;
    std::string model;
    std::size_t max_tokens = 0;
    /// Hash of model, messages and max_tokens; independent of request ids, key order and spacing.
    std::uint64_t hash = 0;
    std::size_t prompt_tokens = 0;
    /// Chained hash of the first 1, 2, ... messages.
    std::vector<std::uint64_t> prefix_hashes;
    /// Number of prompt tokens in the first 1, 2, ... messages.
    std::vector<std::size_t> prefix_tokens;
};

/// Parses the JSON body of a chat completion request. Other bodies yield content that is not
/// `valid`.
auto parse_chat(std::string_view body) -> chat_content;

/// Token number `index` of the answer to the request with this content hash.
auto answer_token(std::uint64_t content_hash, std::size_t index) -> std::string;

/// Content hash of a request that is not a chat, as recorded by applications and callers.
auto body_hash(std::string_view body) -> std::string;

} // namespace cyclamenpost::fakes
