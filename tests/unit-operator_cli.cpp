#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <doctest/doctest.h>
#include <unistd.h>

#include "cyclamenpost/operator/operator_cli.hpp"
#include "cyclamenpost/transport/http.hpp"

using namespace cyclamenpost;

namespace {

struct command_result {
    cli_status status;
    std::string out;
    std::string err;
};

auto run(const std::vector<std::string>& arguments) -> command_result
{
    auto out = std::ostringstream{};
    auto err = std::ostringstream{};
    const auto status = run_operator_command(arguments, out, err);
    return {status, out.str(), err.str()};
}

// A temporary file that is removed at the end of the test.
struct test_file {
    std::string path = "/tmp/unit-operator_cli-XXXXXX";

    explicit test_file(const std::string& content)
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

// A fake of the administration API on its own thread, because a command blocks in its own
// event loop.
class admin_api {
public:
    explicit admin_api(std::string body)
    {
        REQUIRE(try_or(
            [&] {
                return server_.start(
                    loop_, "127.0.0.1", 0, {},
                    [body = std::move(body)](const http_request& request, const auto& exchange) {
                        const auto authorization = header_value(request.headers, "authorization");
                        exchange->respond(authorization == "Bearer t0" ? 200 : 401, {}, body);
                    });
            },
            [](const error&) {}));
        thread_ = std::thread(
            [this] { loop_.run_until([this] { return stopped_.load(); }, time_limit); });
    }
    admin_api(const admin_api&) = delete;
    auto operator=(const admin_api&) -> admin_api& = delete;
    ~admin_api()
    {
        stopped_ = true;
        loop_.stop();
        thread_.join();
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(server_.port());
    }

private:
    static constexpr duration time_limit = std::chrono::seconds{30};
    event_loop loop_;
    http_server server_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

const std::string valid_text = "[fleet]\nname = \"f\"\nzones = [\"a\"]\n";

} // namespace

TEST_CASE("operator_cli: check reports errors by its exit status and with line and column")
{
    const auto valid = test_file{valid_text};
    const auto invalid = test_file{"[fleet]\nname = \"f\"\nzone_out = []\n"};
    CHECK(run({"check", valid.path}).status == cli_status::ok);
    const auto checked = run({"check", invalid.path});
    CHECK(checked.status == cli_status::problem);
    CHECK(checked.out.find("line 3, column 1") != std::string::npos);
    CHECK(checked.out.find("did you mean \"zones_out\"?") != std::string::npos);
    const auto as_json = run({"check", "--json", invalid.path});
    CHECK(as_json.status == cli_status::problem);
    CHECK(as_json.out.find("\"line\": 3") != std::string::npos);
}

TEST_CASE("operator_cli: diff lists changes and does not compare invalid files")
{
    const auto before = test_file{valid_text};
    const auto after = test_file{valid_text + "zones_out = [\"a\"]\n"};
    const auto invalid = test_file{"["};
    const auto changed = run({"diff", before.path, after.path});
    CHECK(changed.status == cli_status::ok);
    CHECK(changed.out == "Zone a is taken out of service: it receives no new work.\n");
    CHECK(run({"diff", before.path, before.path}).out == "Nothing changes.\n");
    CHECK(run({"diff", before.path, invalid.path}).status == cli_status::problem);
}

TEST_CASE("operator_cli: an invalid command line has its own exit status and a suggestion")
{
    const auto token = test_file{"t0\n"};
    for (const auto& arguments : std::vector<std::vector<std::string>>{
             {},
             {"check"},
             {"check", "/none/here"},
             {"diff", "one"},
             {"status"},
             {"status", "--admin", "host:1", "--token-file", token.path},
             {"explain", "--admin", "127.0.0.1:1", "--token-file", token.path},
             {"check", "--odd"}}) {
        CHECK(run(arguments).status == cli_status::usage);
    }
    CHECK(run({"chekc", "x"}).err.find("did you mean check?") != std::string::npos);
}

TEST_CASE(
    "operator_cli: an unreachable instance and a reported problem have different exit statuses")
{
    const auto token = test_file{"t0\n"};
    const auto wrong_token = test_file{"t1\n"};
    const auto status_of = [&](const std::string& body, const std::string& token_file) {
        const auto api = admin_api{body};
        return run({"status", "--admin", api.address(), "--token-file", token_file});
    };
    CHECK(run({"status", "--admin", "127.0.0.1:1", "--token-file", token.path}).status ==
          cli_status::unreachable);
    CHECK(status_of("{}", wrong_token.path).status == cli_status::problem);
    CHECK(status_of("no json", token.path).status == cli_status::problem);
    const auto good = status_of(
        R"({"instance":"i1","zone":"a","state":"ready","config":{"version":7,"refused":[{"version":6}]},
            "members":[{"id":"i2"}],"targets":[{"name":"e1","state":"warm","load":3,"bound":9}]})",
        token.path);
    CHECK(good.status == cli_status::ok);
    CHECK(good.out.find("Instance i1 in zone a is ready") == 0);
    CHECK(good.out.find("Target e1 in zone ? is warm with load 3 of at most 9") !=
          std::string::npos);
    const auto refused = status_of(
        R"({"config":{"version":7,"refused":[{"version":8,"reason":"line 2"}]},"members":3})",
        token.path);
    CHECK(refused.status == cli_status::problem);
    CHECK(refused.err == "Problem: Configuration version 8 was refused: line 2\n");
}

TEST_CASE("operator_cli: explain prints the chosen target and fails if there is none")
{
    const auto token = test_file{"t0"};
    const auto explained = [&](const std::string& body) {
        const auto api = admin_api{body};
        return run({"explain", "--admin", api.address(), "--token-file", token.path, "--chat", "c",
                    "--organisation", "o", "--model", "m"});
    };
    const auto chosen = explained(R"({"chat":"c","model":"m","choice":"e1","reason":"first"})");
    CHECK(chosen.status == cli_status::ok);
    CHECK(chosen.out.find("would go to e1 (first)") != std::string::npos);
    CHECK(explained(R"({"choice":"","reason":"all_full"})").status == cli_status::problem);
}
