#include "chat_content.hpp"

#include <nlohmann/json.hpp>

#include "cyclamenpost/core/types.hpp"

namespace cyclamenpost::fakes {

namespace {

using nlohmann::json;

constexpr auto default_max_tokens = std::size_t{16};
constexpr auto bytes_per_token = std::size_t{4};

auto add_messages(chat_content& chat, const json& messages) -> void
{
    auto prefix = std::uint64_t{0};
    for (const auto& message : messages) {
        const auto role = message.is_object() ? message.value("role", "") : std::string{};
        const auto& content =
            message.is_object() && message.contains("content") ? message["content"] : json{};
        const auto text = content.is_string() ? content.get<std::string>() : content.dump();
        prefix = hash64(text, hash64(role, prefix));
        chat.prompt_tokens += text.size() / bytes_per_token + 1;
        chat.prefix_hashes.push_back(prefix);
        chat.prefix_tokens.push_back(chat.prompt_tokens);
    }
}

} // namespace

auto parse_chat(std::string_view body) -> chat_content
{
    auto chat = chat_content{};
    const auto request = json::parse(body, nullptr, false);
    if (!request.is_object() || !request.contains("messages") || !request["messages"].is_array()) {
        return chat;
    }
    const auto& model = request.contains("model") ? request["model"] : json{};
    const auto& limit = request.contains("max_tokens") ? request["max_tokens"] : json{};
    const auto& stream = request.contains("stream") ? request["stream"] : json{};
    chat.valid = true;
    chat.model = model.is_string() ? model.get<std::string>() : "";
    chat.max_tokens = limit.is_number_unsigned() ? limit.get<std::size_t>() : default_max_tokens;
    chat.stream = stream.is_boolean() && stream.get<bool>();
    add_messages(chat, request["messages"]);
    const auto canonical = json::array({chat.model, chat.max_tokens, request["messages"]});
    chat.hash = hash64(canonical.dump(-1, ' ', false, json::error_handler_t::replace));
    return chat;
}

auto answer_token(std::uint64_t content_hash, std::size_t index) -> std::string
{
    return to_hex(hash64(std::to_string(index), content_hash)).substr(0, 8) + " ";
}

auto body_hash(std::string_view body) -> std::string
{
    return to_hex(hash64(body));
}

} // namespace cyclamenpost::fakes
