#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <doctest/doctest.h>
#include <unistd.h>

#include "cyclamenpost/configuration/settings.hpp"

using namespace cyclamenpost;

namespace {

struct parsed_settings {
    bool accepted = false;
    settings values;
    error failure;
};

auto parse(std::vector<const char*> flags, const environment& variables = {}) -> parsed_settings
{
    flags.insert(flags.begin(), "cyclamenpostd");
    auto parsed = parsed_settings{};
    const auto attempt = [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(parsed.values,
                          parse_settings(static_cast<int>(flags.size()), flags.data(), variables));
        return {};
    };
    parsed.accepted = try_or(attempt, [&](const error& failure) { parsed.failure = failure; });
    return parsed;
}

auto parse_with(std::vector<const char*> flags) -> parsed_settings
{
    flags.insert(flags.end(), {"--instance", "i1", "--zone", "a"});
    return parse(std::move(flags));
}

struct rejected_setting {
    const char* flag;
    const char* value;
    const char* allowed;
};

// a temporary file, removed at the end of the test
struct test_file {
    std::string path;

    explicit test_file(const std::string& content) : path("/tmp/unit-settings-XXXXXX")
    {
        close(mkstemp(path.data()));
        std::ofstream{path} << content;
    }
    test_file(const test_file&) = delete;
    auto operator=(const test_file&) -> test_file& = delete;
    ~test_file()
    {
        std::remove(path.c_str());
    }
};

} // namespace

TEST_CASE("flags take precedence over the environment, and both over the defaults")
{
    const auto parsed = parse({"--instance", "i1", "--listen-port", "8101"},
                              {{"CYCLAMENPOST_ZONE", "a"},
                               {"CYCLAMENPOST_LISTEN_PORT", "1"},
                               {"CYCLAMENPOST_SEED_PEERS", "127.0.0.1:1,127.0.0.1:2"},
                               {"CYCLAMENPOST_QUEUE_SUMMARY_MS", "500"},
                               {"HOME", "/"}});
    REQUIRE_MESSAGE(parsed.accepted, describe(parsed.failure));
    CHECK(parsed.values.zone == "a");
    CHECK(parsed.values.listen_port == 8101);
    CHECK(parsed.values.seed_peers.size() == 2);
    CHECK(parsed.values.summary_queue_timeout == std::chrono::milliseconds{500});
    CHECK(parsed.values.idempotency_records == 100000);
}

TEST_CASE("a wrong setting is rejected with its name, its value and what is allowed")
{
    const auto cases = std::vector<rejected_setting>{
        {"--listen-port", "65536", "0 to 65535"},
        {"--listen-port", "80x", "0 to 65535"},
        {"--admin-port", "-1", "0 to 65535"},
        {"--admin-port", "8080", "other than listen-port"},
        {"--listen-address", "localhost", "IP address"},
        {"--admin-address", "0.0.0.0", "admin-token-file"},
        {"--bus", "127.0.0.1", "IP address and port"},
        {"--platform", "127.0.0.1:0", "IP address and port"},
        {"--seed-peers", "127.0.0.1:1,,127.0.0.1:2", "separated by commas"},
        {"--region", "a b", "letters"},
        {"--log-level", "loud", "debug, info"},
        {"--body-bytes", "10", "from 1024"},
        {"--max-connections", "1e3", "16 to 65535"},
        {"--idempotency-seconds", "", "1 to 86400"},
        {"--drain-seconds", "99999999999999999999", "0 to 86400"},
        {"--admin-token-file", "/none/here", "a readable file"},
    };
    for (const auto& rejected : cases) {
        const auto* const flag = rejected.flag;
        const auto* const value = rejected.value;
        CAPTURE(flag);
        CAPTURE(value);
        const auto parsed = parse_with({flag, value});
        REQUIRE(!parsed.accepted);
        CHECK(parsed.failure.peer == std::string(flag).substr(2));
        CHECK(parsed.failure.message.find(value) != std::string::npos);
        CHECK_MESSAGE(parsed.failure.message.find(rejected.allowed) != std::string::npos,
                      describe(parsed.failure));
    }
}

TEST_CASE("an unknown flag, a misspelt variable and a missing setting are rejected")
{
    CHECK(parse_with({"--listn-port", "1"}).failure.id == error_id::setting_invalid);
    CHECK(parse({"--instance", "i1"}).failure.peer == "zone");
    const auto misspelt = parse({}, {{"CYCLAMENPOST_LISTN_PORT", "1"}});
    CHECK(misspelt.failure.message.find("CYCLAMENPOST_LISTEN_PORT") != std::string::npos);
}

TEST_CASE("secrets are read from files and never appear in messages")
{
    const auto token = test_file{"top-secret\n"};
    const auto parsed = parse_with({"--admin-token-file", token.path.c_str()});
    REQUIRE(parsed.accepted);
    CHECK(parsed.values.admin_token == "top-secret");
    const auto as_key = parse_with({"--curve-secret-file", token.path.c_str()});
    CHECK(!as_key.accepted);
    CHECK(describe(as_key.failure).find("top-secret") == std::string::npos);
    const auto key = test_file{std::string(40, 'k')};
    const auto one_key = parse_with({"--curve-secret-file", key.path.c_str()});
    CHECK(one_key.failure.message.find("both or none") != std::string::npos);
}
