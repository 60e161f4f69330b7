#include <doctest/doctest.h>

#include "cyclamenpost/entry/entry_options.hpp"

using namespace cyclamenpost;

namespace {

auto parse(std::vector<const char*> arguments, const environment& variables,
           std::string* message = nullptr) -> entry_options
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
            if (message != nullptr) {
                *message = describe(failure);
            }
        });
    return options;
}

} // namespace

TEST_CASE("entry_options: flags override variables, variables override defaults")
{
    const auto variables =
        environment{{"CYCLAMENPOST_LOG_LEVEL", "warning"}, {"CYCLAMENPOST_METRICS_PORT", "7000"}};
    const auto options = parse({"--metrics-port", "7001", "--check"}, variables);
    CHECK(options.level == log_level::warning);
    CHECK(options.metrics_port == 7001);
    CHECK(options.check);
    CHECK(parse({}, {}).metrics_port == 9464);
}

TEST_CASE("entry_options: an error names the flag and the allowed values")
{
    auto message = std::string{};
    parse({"--metrics-port", "70000"}, {}, &message);
    CHECK(message.find("metrics-port") != std::string::npos);
    CHECK(message.find("0 to 65535") != std::string::npos);
    parse({"--log-level", "loud"}, {}, &message);
    CHECK(message.find("log-level") != std::string::npos);
    parse({"--odd"}, {}, &message);
    CHECK(message.find("odd") != std::string::npos);
}

TEST_CASE("entry_options: optional parts are off unless a flag or a variable switches them on")
{
    const auto plain = parse({}, {}).traffic;
    CHECK_FALSE((plain.fleet_load || plain.even_load || plain.admission || plain.early_retry));
    const auto chosen = parse({"--even-load", "on"}, {{"CYCLAMENPOST_ADMISSION", "on"}}).traffic;
    CHECK(chosen.even_load);
    CHECK(chosen.admission);
    CHECK_FALSE(chosen.fleet_load);
    auto message = std::string{};
    parse({"--early-retry", "yes"}, {}, &message);
    CHECK(message.find("early-retry") != std::string::npos);
    CHECK(message.find("on, off") != std::string::npos);
}
