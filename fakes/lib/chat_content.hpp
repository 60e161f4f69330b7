#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenpost::fakes {

/// The parts of a chat completion request that decide its answer.
struct chat_content {
    bool valid = false;
    bool stream = false;
    std::string model;
    std::size_t max_tokens = 0;
    /// Hash of model, messages and max_tokens; independent of request ids, key order and spacing.
    std::uint64_t hash = 0;
    std::size_t prompt_tokens = 0;
    /// Chained hash of the first 1, 2, ... messages.
    std::vector<std::uint64_t> prefixes;
    /// Prompt tokens of the first 1, 2, ... messages.
    std::vector<std::size_t> prefix_tokens;
};

/// Parses the JSON body of a chat completion request.
auto parse_chat(std::string_view body) -> chat_content;

/// Token number `index` of the answer to the content with this hash.
auto answer_token(std::uint64_t content, std::size_t index) -> std::string;

/// Hash of a body that is not a chat, as recorded by applications and callers.
auto body_hash(std::string_view body) -> std::string;

} // namespace cyclamenpost::fakes
