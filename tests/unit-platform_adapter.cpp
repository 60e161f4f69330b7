#include <limits>

#include <doctest/doctest.h>

#include "platform_requests.hpp"
#include "platform_settings.hpp"
#include "platform_store.hpp"

using namespace cyclamenpost;
using namespace cyclamenpost::platform;

namespace {

constexpr auto settings_text = R"(
node_name = "edge-1"
zone = "z1"
region = "r1"
seed_nodes = ["10.1.0.40:8229","10.2.0.29:8229"]
unknown_field = 3
[listen_addrs]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
control = "10.1.0.40:8229"
directory = "10.1.0.40:8224"
[limits]
max_fds = 4100
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
retry_slack = 58
cold_over = 1.5
cold_slack = 5
[provider]
address = "10.200.1.7:8223"
)";

auto settings_failure(const std::string& text) -> std::string
{
    auto message = std::string{};
    try_or([&] { return decode_settings(text, "file"); },
           [&](const error& failure) { message = describe(failure); });
    return message;
}

} // namespace

TEST_CASE("platform_adapter: settings are decoded and unknown fields are ignored")
{
    auto read = entry_settings{};
    const auto decoded = try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(read, decode_settings(settings_text, "file"));
            return {};
        },
        [](const error& failure) { FAIL(describe(failure)); });
    REQUIRE(decoded);
    CHECK(read.name == "edge-1");
    CHECK(read.peer_address == "10.1.0.40:8229");
    CHECK(read.seeds.size() == 2);
    CHECK(read.shutdown_grace == std::chrono::seconds{8});
    CHECK(read.cold_over == doctest::Approx(1.5));
    CHECK(read.max_connections == 3900);
}

TEST_CASE("platform_adapter: errors in settings name the file or the missing setting")
{
    CHECK(settings_failure("not toml = [").find("file") != std::string::npos);
    CHECK(settings_failure("zone = \"z\"").find("front is missing") != std::string::npos);
}

TEST_CASE("platform_adapter: a caller's headers are decoded")
{
    auto head = request_head{};
    head.fields = {{"Host", "a.example"},    {"X-Attempt-Id", "id"},
                   {"X-Deadline-Ms", "250"}, {"X-Api-Key", "k"},
                   {"Last-Event-Id", "12"},  {"X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410"}};
    const auto request = decode_request(head);
    CHECK(request.deadline == std::chrono::milliseconds{250});
    CHECK(request.last_event_id == 12);
    REQUIRE(request.prompt.size() == 2);
    CHECK(request.prompt[1].id == 0x91bd3f06);
    CHECK(request.prompt[1].tokens == 410);
}

TEST_CASE("platform_adapter: headers reserved for the router are removed from callers' requests")
{
    auto head = request_head{};
    head.fields = {{"X-Tenant", "forged"}, {"X-Kv-Hold", "1"},     {"X-Pin-Ms", "1"},
                   {"X-Kv-Backup", "1"},   {"Kv-From", "1"},       {"Kv-Fetch", "1"},
                   {"X-Api-Key", "k"},     {"X-Other", "kept"},    {"Last-Event-Id", "3"},
                   {"X-Model", "m"},       {"Connection", "close"}};
    auto metadata = forwarding_metadata{};
    metadata.target_id = "t";
    metadata.organisation = "org";
    metadata.deadline = std::chrono::milliseconds{1500};
    metadata.priority = 17;
    const auto sent = encode_request(head, metadata);
    CHECK(*find_field(sent.fields, "X-Tenant") == "org");
    CHECK(*find_field(sent.fields, "X-Deadline-Ms") == "1500");
    CHECK(*find_field(sent.fields, "X-Request-Priority") == "9");
    CHECK(sent.fields.size() == 6);
    CHECK(find_field(sent.fields, "X-Other").has_value());
    CHECK(find_field(sent.fields, "X-Model").has_value());
}

TEST_CASE("platform_adapter: load, receipt and execution are decoded from a target's headers")
{
    auto head = response_head{};
    head.fields = {{"X-Server-Load", "3,2,8"},
                   {"X-Not-Executed", "1"},
                   {"X-Cold-Ms", "40"},
                   {"X-Server-Seal", "s"},
                   {"Content-Type", "text/event-stream; charset=x"}};
    const auto answer = decode_answer(head);
    CHECK(answer.load->running == 3);
    CHECK(answer.load->waiting == 2);
    CHECK(answer.not_executed);
    CHECK(answer.has_receipt);
    CHECK(answer.event_stream);
    CHECK(answer.cold_remaining == std::chrono::milliseconds{40});
    head.fields = {{"X-Server-Load", "x"}};
    CHECK_FALSE(decode_answer(head).load.has_value());
}

TEST_CASE("platform_adapter: a malformed load is used in part")
{
    const auto load_of = [](const std::string& text) {
        auto head = response_head{};
        head.fields = {{"X-Server-Load", text}};
        const auto answer = decode_answer(head);
        CHECK(answer.load_unreadable == !answer.load.has_value());
        return answer.load;
    };
    const auto full = load_of("3, 2, 16, 250");
    REQUIRE(full);
    CHECK(full->running == 3);
    CHECK(full->waiting == 2);
    CHECK(full->slots == 16U);
    CHECK(full->pace == doctest::Approx(2.5));
    CHECK_FALSE(load_of("3,2,16")->pace.has_value());
    CHECK_FALSE(load_of("3,2")->slots.has_value());
    for (const auto* text : {"",
                             "3",
                             "3,",
                             "3,2,",
                             "3,2,,100",
                             "3,2,16,100,5",
                             "-3,2",
                             "3,2,-16",
                             "3.5,2",
                             "3,2,16,2.5",
                             "3,2,x",
                             "3,2,16,x",
                             "3,2,0,100",
                             "3,2,16,0",
                             "3,2,16,10001",
                             "1000001,2",
                             "3,2,4294967297",
                             "3,2,16,99999999999999999999",
                             "3;2",
                             "3,2 ,16"}) {
        CAPTURE(text);
        CHECK_FALSE(load_of(text).has_value());
    }
}

TEST_CASE("platform_adapter: a target says in its answers that it is leaving")
{
    auto head = response_head{};
    CHECK_FALSE(decode_answer(head).leaving);
    head.fields = {{"Server-Leaving", "0"}};
    CHECK_FALSE(decode_answer(head).leaving);
    head.fields = {{"Server-Leaving", "1"}};
    CHECK(decode_answer(head).leaving);
}

// Guards against a limit that is missed, and against a malformed one that is taken for a limit or
// for the end of one.
TEST_CASE("platform_adapter: a target names the requests that it takes per second")
{
    const auto answer_with = [](const std::vector<std::string>& values) {
        auto head = response_head{};
        for (const auto& value : values) {
            head.fields.push_back({"Server-Limit", value});
        }
        return decode_answer(head);
    };
    CHECK_FALSE(answer_with({}).limit);
    CHECK_FALSE(answer_with({}).limit_unreadable);
    for (const auto& valid :
         {std::pair{"4.2", 4.2}, {"4", 4.0}, {"0", 0.0}, {"0.25", 0.25}, {"1e3", 1000.0}}) {
        CAPTURE(valid.first);
        CHECK(answer_with({valid.first}).limit == doctest::Approx(valid.second));
        CHECK_FALSE(answer_with({valid.first}).limit_unreadable);
    }
    for (const auto* text : {"", "-1", "-0.1", "inf", "-inf", "nan", "1e400", "four",
                             "4 per second", "4,2", "0x4", "+4"}) {
        CAPTURE(text);
        CHECK_FALSE(answer_with({text}).limit);
        CHECK(answer_with({text}).limit_unreadable);
    }
    CHECK(answer_with({"40", "4"}).limit == doctest::Approx(4));
    CHECK(answer_with({"4", "40"}).limit == doctest::Approx(4));
    CHECK(answer_with({"nan", "4"}).limit == doctest::Approx(4));
    CHECK(answer_with({"nan", "4"}).limit_unreadable);
}

// Guards against an absurd number of a caller or a target that overflows a time.
TEST_CASE("platform_adapter: times in headers are bounded")
{
    constexpr auto day = std::chrono::hours{24};
    auto request = request_head{};
    request.fields = {{"X-Deadline-Ms", "9223372036854775807"}};
    CHECK(decode_request(request).deadline == day);
    request.fields = {{"X-Deadline-Ms", "-9223372036854775808"}};
    CHECK(decode_request(request).deadline == -day);
    request.fields = {{"X-Deadline-Ms", "9223372036854775808"}};
    CHECK_FALSE(decode_request(request).deadline);
    auto answer = response_head{};
    answer.fields = {{"X-Cold-Ms", "9223372036854775807"}};
    CHECK(decode_answer(answer).cold_remaining == day);
}

TEST_CASE("platform_adapter: the time that a target asks for is a number of seconds")
{
    const auto rest = [](int status, const std::string& text) {
        auto head = response_head{};
        head.status = status;
        head.fields = {{"Retry-After", text}};
        return decode_answer(head).rest;
    };
    CHECK(rest(503, "2") == std::chrono::seconds{2});
    CHECK(rest(503, "0.25") == std::chrono::milliseconds{250});
    CHECK(rest(503, "1000000000000000000") == std::chrono::hours{24});
    for (const auto* odd :
         {"0", "-1", "", "soon", "2 s", "nan", "inf", "1e999", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CHECK(rest(503, odd) == duration::zero());
    }
    CHECK(rest(200, "2") == duration::zero());
    CHECK(rest(429, "2") == duration::zero());
}

TEST_CASE("platform_adapter: target entries with missing fields or wrong types are rejected")
{
    const auto good = std::string{
        R"({"backend":"s","address":"1.2.3.4:5","zone":"z","capacity":8,"state":"draining","cold_remaining_ms":1500,"born":7,"seq":4})"};
    const auto target = decode_target("i-1", good);
    REQUIRE(target.has_value());
    CHECK(target->draining);
    CHECK(target->cold_remaining == std::chrono::milliseconds{1500});
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"backend\":\"s\"", "\"backend\":5"},
             {"\"state\":\"draining\"", "\"state\":\"odd\""},
             {"\"capacity\":8,", ""},
             {"\"zone\"", "\"region\""},
             {"}", ""}}) {
        auto broken = good;
        broken.replace(broken.find(from), from.size(), to);
        CHECK_FALSE(decode_target("i-1", broken).has_value());
    }
}

// Guards against an odd entry of another writer that is used as a target, or that ends the process.
TEST_CASE("platform_adapter: target entries with absurd values name no target")
{
    const auto good = std::string{
        R"({"backend":"s","address":"1.2.3.4:5","zone":"z","capacity":8,"state":"ready","cold_remaining_ms":0,"born":7})"};
    REQUIRE(decode_target("i-1", good).has_value());
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"1.2.3.4:5", "1.2.3.4:65536"},
             {"1.2.3.4:5", "1.2.3.4:0"},
             {"1.2.3.4:5", "1.2.3.4:-1"},
             {"1.2.3.4:5", "1.2.3.4"},
             {"1.2.3.4:5", "host.example:80"},
             {"1.2.3.4:5", "1.2.3.4:5\\r\\nX: y"},
             {"\"capacity\":8", "\"capacity\":4294967304"},
             {"\"capacity\":8", "\"capacity\":-8"},
             {"\"capacity\":8", "\"capacity\":8.5"},
             {"\"capacity\":8", "\"capacity\":1e400"},
             {"_ms\":0", "_ms\":1e300"},
             {"_ms\":0", "_ms\":9223372036854775807"},
             {"\"born\":7", "\"born\":18446744073709551615"},
             {"\"born\":7", "\"born\":1e30"},
             {"\"born\":7", "\"born\":\"7\""}}) {
        auto odd = good;
        odd.replace(odd.find(from), from.size(), to);
        CAPTURE(odd);
        CHECK_FALSE(decode_target("i-1", odd).has_value());
    }
    for (const auto* id : {"", "two words", "line\r\nX-Tenant: other", "\x7f"}) {
        CHECK_FALSE(decode_target(id, good).has_value());
    }
}

TEST_CASE("platform_adapter: a large or deeply nested entry is rejected unread")
{
    const auto depth = std::size_t{400'000};
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    const auto entry =
        R"({"backend":"s","address":"1.2.3.4:5","zone":"z","capacity":8,"state":"ready","cold_remaining_ms":0,"odd":)";
    CHECK_FALSE(decode_target("i-1", entry + nested + "}").has_value());
    CHECK_FALSE(decode_target("i-1", std::string(depth, '[')).has_value());
    CHECK_FALSE(decode_target("i-1", entry + ("\"" + std::string(depth, 'x') + "\"}")).has_value());
}

TEST_CASE("platform_adapter: an item that cannot be read does not hide the others of its page")
{
    const auto page = decode_listing(
        R"({"items":[{"key":"a","value":"a","rev":3},{"key":"b","value":7,"rev":3},{"rev":3},{"key":"d","rev":4},
                     {"key":"c","value":"aGk=","rev":3}],"current_rev":9})");
    REQUIRE(page.has_value());
    REQUIRE(page->items.size() == 4);
    // the entry is there, so what was known under its key holds no more
    CHECK(page->items[0].value.empty());
    CHECK(page->items[1].value.empty());
    CHECK(page->items[2].value.empty());
    CHECK(page->items[3].value == "hi");
}

TEST_CASE("platform_adapter: the page behind any key can be requested")
{
    CHECK(list_request("", "servers/i-1").target.ends_with("after=servers/i-1"));
    CHECK(list_request("", "servers/a b&c=d#%\n")
              .target.ends_with("after=servers/a%20b%26c%3Dd%23%25%0A"));
}

TEST_CASE("platform_adapter: malformed listings, changes and configurations are rejected")
{
    const auto page = decode_listing(
        R"({"items":[{"key":"a","value":"aGk=","rev":3}],"more_pages":true,"current_rev":9})");
    REQUIRE(page.has_value());
    CHECK(page->items[0].value == "hi");
    CHECK(page->more);
    CHECK_FALSE(decode_listing("[]").has_value());
    const auto changes =
        decode_changes(R"({"events":[{"key":"a","rev":4,"removed":true}],"current_rev":4})");
    REQUIRE(changes.has_value());
    CHECK(changes->items[0].removed);
    CHECK_FALSE(decode_changes("{").has_value());
    CHECK_FALSE(decode_configuration(R"({"version":1})").has_value());
}

TEST_CASE("platform_adapter: a configuration is decoded to a route table")
{
    const auto table = decode_configuration(R"({"version":7,"routes":[
        {"name":"r","hostname":"h","prefix":"/p/","route_type":"streaming","timeout_ms":12000,
         "slo_ms":600,"priority":0,"backends":[{"backend":"a","weight":90},{"backend":"b","weight":10}],
         "max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true}],
        "services":[{"name":"a","cold_start_s":3.0,"cold_per_s":20.0,"engine":{"capacity":128}}],
        "tenants":[{"name":"t","api_keys":["k"],"priority":1}]})");
    REQUIRE(table.has_value());
    const auto* rule = match_route(*table, "h", "/p/x");
    REQUIRE(rule != nullptr);
    CHECK(rule->kind == route_kind::stream);
    CHECK(rule->services.size() == 2);
    CHECK(rule->latency_objective == std::chrono::milliseconds{600});
    CHECK(find_service(*table, "a")->capacity == 128);
    CHECK(find_organisation(*table, "k")->priority == 1);
}

TEST_CASE("platform_adapter: keys are required if the configuration lists organisations, also none")
{
    const auto with = [](std::string_view organisations) {
        return R"({"version":3,"routes":[],"services":[])" + std::string{organisations} + "}";
    };
    CHECK_FALSE(platform::decode_configuration(with(""))->requires_keys);
    CHECK(platform::decode_configuration(with(R"(,"tenants":[])"))->requires_keys);
    CHECK(platform::decode_configuration(with(R"(,"tenants":null)"))->requires_keys);
    CHECK(platform::decode_configuration(with(R"(,"tenants":[{"name":"a"}])"))->requires_keys);
    // a list that cannot be read leaves the configuration before in force
    CHECK_FALSE(platform::decode_configuration(with(R"(,"tenants":"all")")));
}

// Guards against a revision that is newer than all that follow, after which no change is seen.
TEST_CASE("platform_adapter: an answer whose revision is no whole number is not used")
{
    for (const auto* revision : {"-1", "1e300", "18446744073709551616", "7.5", "\"7\"", "null"}) {
        const auto text = std::string{revision};
        CAPTURE(text);
        CHECK_FALSE(decode_listing(R"({"items":[],"current_rev":)" + text + "}"));
        CHECK_FALSE(decode_changes(R"({"events":[],"current_rev":)" + text + "}"));
        CHECK_FALSE(decode_configuration(R"({"routes":[],"services":[],"version":)" + text + "}"));
    }
    CHECK(decode_listing(R"({"items":[],"current_rev":7})")->revision == 7);
}

TEST_CASE("platform_adapter: numbers beyond their type are taken for the nearest that it holds")
{
    const auto table = decode_configuration(
        R"({"version":1,"services":[{"name":"app","cold_start_s":1e300,"max_connections":-4}],)"
        R"("routes":[{"name":"r","route_type":"idempotent","hostname":"h","prefix":"/",)"
        R"("backend":"app","timeout_ms":1e300,"max_attempts":1e300,"priority":-1e300}],)"
        R"("limits":{"max_body_bytes":1e300}})");
    REQUIRE(table);
    const auto& rule = table->routes.front();
    CHECK(rule.timeout == std::chrono::hours{24});
    CHECK(rule.max_attempts == std::numeric_limits<std::uint32_t>::max());
    CHECK(rule.priority == std::numeric_limits<int>::min());
    CHECK(table->services.front().max_connections == 0);
    CHECK(table->services.front().cold_time == std::chrono::hours{24});
    CHECK(table->limits.max_body_bytes == std::numeric_limits<std::size_t>::max());
}
