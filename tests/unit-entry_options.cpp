#include <doctest/doctest.h>

#include "cyclamenpost/entry/entry_options.hpp"

using namespace cyclamenpost;

namespace {

auto parse(std::vector<const char*> arguments, const environment& variables,
           std::string* failed = nullptr) -> entry_options
{
    arguments.insert(arguments.begin(), "cyclamenpost_entry");
    auto options = entry_options{};
    try_or(
        [&]() -> result<void> {
            BOOST_LEAF_ASSIGN(options, parse_entry_options(static_cast<int>(arguments.size()),
                                                           arguments.data(), variables, {}));
            return {};
        },
        [&](const error& failure) {
            if (failed != nullptr) {
                *failed = describe(failure);
            }
        });
    return options;
}

} // namespace

TEST_CASE("entry_options: flags go before variables, variables before defaults")
{
    const auto variables =
        environment{{"CYCLAMENPOST_LOG_LEVEL", "warning"}, {"CYCLAMENPOST_METRICS_PORT", "7000"}};
    const auto options = parse({"--metrics-port", "7001", "--check"}, variables);
    CHECK(options.level == log_level::warning);
    CHECK(options.metrics_port == 7001);
    CHECK(options.check);
    CHECK(parse({}, {}).metrics_port == 9464);
}

TEST_CASE("entry_options: a value out of range names the flag and what is allowed")
{
    auto failed = std::string{};
    parse({"--metrics-port", "70000"}, {}, &failed);
    CHECK(failed.find("metrics-port") != std::string::npos);
    CHECK(failed.find("0 to 65535") != std::string::npos);
    parse({"--log-level", "loud"}, {}, &failed);
    CHECK(failed.find("log-level") != std::string::npos);
    parse({"--odd"}, {}, &failed);
    CHECK(failed.find("odd") != std::string::npos);
}
