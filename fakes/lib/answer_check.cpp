#include "answer_check.hpp"

#include <nlohmann/json.hpp>

namespace cyclamenpost::fakes {

namespace {

using nlohmann::json;

/// Member of an object as text; empty when it is absent or of another type.
auto text_member(const json& object, const char* name) -> std::string
{
    const auto found = object.is_object() && object.contains(name);
    return found && object[name].is_string() ? object[name].get<std::string>() : std::string{};
}

/// First choice of a chat answer; null when there is none.
auto first_choice(const json& answer) -> json
{
    const auto found = answer.is_object() && answer.contains("choices") &&
                       answer["choices"].is_array() && !answer["choices"].empty();
    return found ? answer["choices"][0] : json{};
}

auto choice_text(const json& answer, const char* part) -> std::string
{
    const auto choice = first_choice(answer);
    return choice.is_object() && choice.contains(part) ? text_member(choice[part], "content") : "";
}

} // namespace

stream_verifier::stream_verifier(chat_content chat) : chat_(std::move(chat)) {}

auto stream_verifier::feed(std::string_view bytes) -> std::size_t
{
    const auto before = tokens_;
    buffer_ += bytes;
    auto start = std::size_t{0};
    for (auto end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n', start)) {
        auto line = std::string_view{buffer_}.substr(start, end - start);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        process_line(line);
        start = end + 1;
    }
    buffer_.erase(0, start);
    return tokens_ - before;
}

auto stream_verifier::process_line(std::string_view line) -> void
{
    constexpr std::string_view data_field = "data:";
    if (line.starts_with("event:")) {
        error_event_ = line.find("error") != std::string_view::npos;
        return;
    }
    if (!line.starts_with(data_field)) {
        return;
    }
    line.remove_prefix(data_field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (error_event_) {
        problem_ = line;
        return;
    }
    if (done_ && deviation_.empty()) {
        deviation_ = "data after the final mark";
    }
    if (line == "[DONE]") {
        done_ = true;
        return;
    }
    verify_chunk(line);
}

auto stream_verifier::verify_chunk(std::string_view data) -> void
{
    if (!deviation_.empty()) {
        return;
    }
    const auto chunk = json::parse(data, nullptr, false);
    const auto id = text_member(chunk, "id");
    const auto index = chunk.is_object() && chunk.contains("index") ? chunk["index"] : json{};
    const auto expected = answer_token(chat_.hash, tokens_);
    if (!index.is_number_unsigned() || index.get<std::size_t>() != tokens_) {
        deviation_ = "expected token " + std::to_string(tokens_) + ", got index " + index.dump();
    }
    else if (choice_text(chunk, "delta") != expected) {
        deviation_ = "token " + std::to_string(tokens_) + " is \"" + choice_text(chunk, "delta") +
                     "\" instead of \"" + expected + "\"";
    }
    else if (!id_.empty() && id != id_) {
        deviation_ = "the id changed from " + id_ + " to " + id;
    }
    id_ = id;
    ++tokens_;
}

auto stream_verifier::complete() const -> bool
{
    return deviation_.empty() && done_ && problem_.empty() && tokens_ == chat_.max_tokens;
}

auto stream_verifier::deviation() const -> const std::string&
{
    return deviation_;
}

auto stream_verifier::problem() const -> const std::string&
{
    return problem_;
}

auto stream_verifier::tokens() const -> std::size_t
{
    return tokens_;
}

auto verify_unstreamed_answer(const chat_content& chat, std::string_view body) -> std::string
{
    const auto answer = json::parse(body, nullptr, false);
    auto expected = std::string{};
    for (auto i = std::size_t{0}; i < chat.max_tokens; ++i) {
        expected += answer_token(chat.hash, i);
    }
    const auto text = choice_text(answer, "message");
    return text == expected ? "" : "the answer is \"" + text.substr(0, 80) + "\"";
}

auto verify_booking_answer(std::string_view key, std::string_view sent, std::string_view body)
    -> std::string
{
    const auto answer = json::parse(body, nullptr, false);
    if (text_member(answer, "key") != key) {
        return "the answer names key \"" + text_member(answer, "key") + "\"";
    }
    if (text_member(answer, "content") != body_hash(sent)) {
        return "the application received other content";
    }
    return {};
}

auto parse_refusal(std::string_view body) -> refusal
{
    const auto document = json::parse(body, nullptr, false);
    auto parsed = refusal{};
    if (!document.is_object()) {
        return parsed;
    }
    parsed.outcome = text_member(document, "outcome");
    parsed.reason = text_member(document, "reason");
    const auto wait = document.contains("retry_after_ms") ? document["retry_after_ms"] : json{};
    parsed.retry_after_ms = wait.is_number_integer() ? wait.get<std::int64_t>() : 0;
    const auto others = document.contains("alternatives") ? document["alternatives"] : json{};
    for (const auto& other : others) {
        // an alternative is an address or an object with an `address` member
        const auto address =
            other.is_string() ? other.get<std::string>() : text_member(other, "address");
        if (!address.empty()) {
            parsed.alternatives.push_back(address);
        }
    }
    return parsed;
}

} // namespace cyclamenpost::fakes
