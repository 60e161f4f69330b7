#include <fstream>
#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

#include "fake_platform.hpp"

using namespace cyclamenpost;

namespace {

struct options {
    std::string address;
    int port = 0;
    std::string config;
    std::string instances;
};

auto read_options(int argc, char** argv) -> options
{
    auto command = TCLAP::CmdLine("Fake of the platform's configuration service and instance list.",
                                  ' ', CYCLAMENPOST_VERSION);
    auto address = TCLAP::ValueArg<std::string>("", "address", "Address to listen on.", false,
                                                "127.0.0.1", "IP", command);
    auto port = TCLAP::ValueArg<int>("", "port", "Port to listen on; 0 picks a free one.", false, 0,
                                     "port", command);
    auto config = TCLAP::ValueArg<std::string>(
        "", "config", "File with the configuration text to publish.", false, "", "file", command);
    auto instances = TCLAP::ValueArg<std::string>(
        "", "instances", "File with the instance list to publish.", false, "", "file", command);
    command.parse(argc, argv);
    return {address.getValue(), port.getValue(), config.getValue(), instances.getValue()};
}

auto read_file(const std::string& path) -> result<std::string>
{
    auto file = std::ifstream{path};
    if (!file) {
        return fail(error_id::setting_file_unreadable, step::settings, path,
                    "the file cannot be read");
    }
    auto content = std::ostringstream{};
    content << file.rdbuf();
    return content.str();
}

auto serve(const options& chosen) -> result<void>
{
    auto loop = event_loop{};
    auto platform = fakes::fake_platform{loop};
    BOOST_LEAF_CHECK(loop.watch_signals([&](int) { loop.stop(); }));
    if (!chosen.config.empty()) {
        BOOST_LEAF_AUTO(text, read_file(chosen.config));
        platform.publish_config(std::move(text));
    }
    if (!chosen.instances.empty()) {
        BOOST_LEAF_AUTO(json, read_file(chosen.instances));
        BOOST_LEAF_CHECK(platform.publish_instances(std::move(json)));
    }
    BOOST_LEAF_CHECK(platform.start(chosen.address, chosen.port));
    // scripts wait for this line and read the port from it
    std::cout << "listening on " << chosen.address << ":" << platform.port() << std::endl;
    loop.run();
    return {};
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto chosen = read_options(argc, argv);
    const auto served =
        try_or([&] { return serve(chosen); },
               [](const error& failure) { std::cerr << describe(failure) << "\n"; });
    return served ? 0 : 1;
}
