// Decodes damaged documents and headers of the platform, and damaged chunked requests. Built with
// the undefined behaviour sanitizer, which ends the program at a finding.

#include <array>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "cyclamenpost/transport/http1.hpp"
#include "platform_requests.hpp"
#include "platform_settings.hpp"
#include "platform_store.hpp"
#include "sample_configuration.hpp"

using namespace cyclamenpost;

namespace {

constexpr std::array odd_values{
    "0",         "-1",   "1e300", "-1e300",   "9223372036854775807",  "-9223372036854775808",
    "1e400",     "null", "[]",    "{}",       "18446744073709551616", "0.0000000001",
    "\"\"",      "true", "[[[[",  "\xff\xfe", "\"\\ud800\"",          "4294967296",
    "2147483648"};

constexpr auto chunked_rounds_divisor = 20ULL;

struct damage {
    std::mt19937_64 random;

    auto below(std::size_t count) -> std::size_t
    {
        return count == 0 ? 0 : random() % count;
    }

    /// Replaces, drops, repeats or inserts something at a random place.
    auto once(std::string text) -> std::string
    {
        const auto at = below(text.size());
        const auto size = below(std::min<std::size_t>(text.size() - at, 12) + 1);
        switch (random() % 5) {
        case 0:
            text.replace(at, size, odd_values.at(below(odd_values.size())));
            return text;
        case 1:
            return text.erase(at, size);
        case 2:
            return text.insert(at, text.substr(at, size));
        case 3:
            if (!text.empty()) {
                text[at] = static_cast<char>(random());
            }
            return text;
        default:
            return replace_number(text, at);
        }
    }

    /// Replaces the first number behind a place.
    auto replace_number(std::string text, std::size_t at) -> std::string
    {
        constexpr auto digits = "0123456789";
        const auto begin = text.find_first_of(digits, at);
        if (begin == std::string::npos) {
            return text;
        }
        const auto end = text.find_first_not_of(digits, begin);
        text.replace(begin, end == std::string::npos ? end : end - begin,
                     odd_values.at(below(odd_values.size())));
        return text;
    }

    auto some(std::string text) -> std::string
    {
        for (auto count = 1 + below(3); count > 0; --count) {
            text = once(std::move(text));
        }
        return text;
    }
};

auto target_document() -> std::string
{
    return R"({"backend":"app","address":"10.1.0.4:80","zone":"a","version":"v1","capacity":8,)"
           R"("state":"ready","seq":1,"cold_remaining_ms":1500,"born":1760000000000})";
}

auto listing_document() -> std::string
{
    return R"({"items":[{"key":"servers/i-1","value":"e30=","rev":7,"created_rev":5,"lease":0},)"
           R"({"key":"op/evacuate/a","rev":8,"removed":true}],"more_pages":false,"current_rev":9})";
}

auto changes_document() -> std::string
{
    return R"({"events":[{"key":"servers/i-1","value":"e30=","rev":7,"created_rev":5}],)"
           R"("current_rev":9})";
}

/// Fields that a caller or a target may send.
auto header_values() -> std::vector<std::pair<std::string, std::string>>
{
    return {{"X-Deadline-Ms", "4000"},
            {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
            {"X-Attempt-Id", "9c41d07be2a35f68"},
            {"Last-Event-Id", "12"},
            {"X-Server-Load", "3,4,12,250"},
            {"X-Cold-Ms", "1500"},
            {"Retry-After", "1.5"},
            {"Server-Limit", "4.2"},
            {"Server-Leaving", "1"},
            {"Content-Type", "text/event-stream"}};
}

auto check(bool holds, const std::string& what, const std::string& input) -> void
{
    if (!holds) {
        std::cerr << what << ": " << input << '\n';
        std::exit(1);
    }
}

auto try_headers(damage& damaged) -> void
{
    constexpr auto longest = std::chrono::hours{24 * 366};
    auto request = request_head{"POST", "/a/b?zone=x", {}, true};
    auto response = response_head{503, {}, true, false};
    for (const auto& [name, value] : header_values()) {
        const auto text = damaged.some(value);
        request.fields.push_back({name, text});
        response.fields.push_back({name, text});
    }
    const auto asked = platform::decode_request(request);
    check(!asked.deadline || (*asked.deadline<longest&& * asked.deadline> - longest),
          "a caller's time limit is out of bounds", "");
    const auto answer = platform::decode_answer(response);
    check(answer.rest >= duration::zero() && answer.rest < longest, "a rest is out of bounds", "");
    check(!answer.cold_remaining || *answer.cold_remaining < longest,
          "a cold time is out of bounds", "");
    constexpr auto most_load = 1'000'000U;
    constexpr auto highest_pace = 100.0;
    const auto& load = answer.load;
    check(!load || (load->running <= most_load && load->waiting <= most_load &&
                    load->slots.value_or(1) > 0 && load->slots.value_or(1) <= most_load &&
                    load->pace.value_or(1) > 0 && load->pace.value_or(1) <= highest_pace),
          "an absurd load is used",
          std::string{find_field(response.fields, "X-Server-Load").value_or("")});
    request.target = damaged.some(request.target);
    platform::decode_directory_query(request);
    platform::is_readiness_probe(request);
}

auto try_documents(damage& damaged) -> void
{
    const auto target = damaged.some(target_document());
    if (const auto entry = platform::decode_target("i-1", target)) {
        constexpr auto most_places = 1'000'000U;
        check(entry->capacity <= most_places, "an absurd capacity is used", target);
        check(entry->cold_remaining >= duration::zero() &&
                  entry->cold_remaining <= std::chrono::hours{24},
              "an absurd cold time is used", target);
    }
    platform::decode_listing(damaged.some(listing_document()));
    platform::decode_changes(damaged.some(changes_document()));
    platform::decode_configuration(damaged.some(to_text(fakes::sample_configuration{})));
    platform::decode_key(damaged.some("servers/i-1"));
}

/// A chunked request with extensions and trailers, and the body it stands for.
auto chunked_request(damage& chosen) -> std::pair<std::string, std::string>
{
    auto text = std::string{"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"};
    auto body = std::string{};
    for (auto count = chosen.below(5); count > 0; --count) {
        const auto piece = std::string(1 + chosen.below(40), static_cast<char>('a' + count));
        auto chunk = write_chunk(piece);
        if (chosen.below(2) == 0) {
            chunk.insert(chunk.find('\r'), ";name=value");
        }
        text += chunk;
        body += piece;
    }
    text += chosen.below(2) == 0 ? "0\r\n\r\n" : "0;last\r\nX-Sum: 12\r\n\r\n";
    return {text, body};
}

struct parsed_request {
    std::string body;
    int complete = 0;
    parse_failure failure = parse_failure::none;
    auto operator==(const parsed_request&) const -> bool = default;
};

/// Parses a request that arrives in pieces which end at the given places.
auto parse_pieces(std::string_view text, const std::vector<std::size_t>& ends) -> parsed_request
{
    constexpr auto max_header_bytes = std::size_t{200};
    auto seen = parsed_request{};
    auto handlers = http1_handlers{};
    handlers.on_body = [&](std::string_view bytes) { seen.body += bytes; };
    handlers.on_complete = [&] { ++seen.complete; };
    auto parser = http1_parser{http1_parser::kind::request, std::move(handlers), max_header_bytes};
    auto begin = std::size_t{0};
    for (const auto end : ends) {
        auto piece = text.substr(begin, end - begin);
        begin = end;
        while (!piece.empty() && parser.failure() == parse_failure::none && seen.complete == 0) {
            piece.remove_prefix(parser.parse(piece));
            // a field costs at most its texts twice and the growth of the list
            check(parser.held_bytes() <= max_header_bytes * 2 * (sizeof(header_field) + 2),
                  "a head takes more memory than its limit allows", std::string{text});
        }
    }
    seen.failure = parser.failure();
    return seen;
}

/// Guards against a request that is read differently depending on where its bytes are split.
auto try_chunked_bodies(damage& damaged) -> void
{
    const auto [sound, body] = chunked_request(damaged);
    const auto whole = parse_pieces(sound, {sound.size()});
    check(whole.complete == 1 && whole.body == body, "a chunked body is misread", sound);
    const auto text = damaged.below(2) == 0 ? sound : damaged.some(sound);
    const auto expected = parse_pieces(text, {text.size()});
    auto single = std::vector<std::size_t>{};
    for (std::size_t at = 1; at <= text.size(); ++at) {
        single.push_back(at);
        check(parse_pieces(text, {at, text.size()}) == expected, "a split changes a request", text);
    }
    check(parse_pieces(text, single) == expected, "single bytes change a request", text);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const auto rounds = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 20'000;
    auto damaged = damage{std::mt19937_64{seed}};
    for (auto round = 0ULL; round < rounds; ++round) {
        try_headers(damaged);
        try_documents(damaged);
        // each of these parses the request once for every byte of it
        if (round % chunked_rounds_divisor == 0) {
            try_chunked_bodies(damaged);
        }
    }
    std::cout << "seed " << seed << ", rounds " << rounds << ": no finding\n";
    return 0;
}
