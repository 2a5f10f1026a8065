#include "target_relay_server.h"
#include "target_server.h"

#include <cxxopts.hpp>
#include <iostream>
#include <platform/adapter.h>
#include <toucan/log.h>
#include <toucan/relay_server.h>
#include <toucan/settings.h>

namespace {

int serve(const toucan::target_settings &settings)
{
    toucan::log::start(settings.logLevel);
    toucan::node::handleStopSignals();
    return toucan::target_server(settings).run();
}

int relay(const cxxopts::ParseResult &given)
{
    if (given.count("example") != 0) {
        std::cout << toucan::settings::example<toucan::target_relay_settings>();
        return 0;
    }
    const auto &adapter = toucan::platform::adapter();
    const auto file = given.count("config") != 0 ? given["config"].as<std::string>() : "";
    return toucan::runRelayCommand<toucan::target_relay_settings>(adapter, file,
        given.count("check") != 0,
        [&](const toucan::target_relay_settings &settings, const std::string &fileName) {
            toucan::log::start(settings.logLevel);
            toucan::node::handleStopSignals();
            return toucan::target_relay_server(settings, fileName, adapter).run();
        });
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("toucantarget", "Owns the flows and requests of one target.");
    options.positional_help("[relay]");
    options.add_options()("command",
        "relay: relay the segments of a stream transport instead of owning CoAP requests",
        cxxopts::value<std::string>()->default_value(""))("config", "settings file (INI)",
        cxxopts::value<std::string>())("check", "check the settings and exit")(
        "example", "print annotated settings and exit")("help", "print this help and exit");
    options.parse_positional({"command"});
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (given["command"].as<std::string>() == "relay")
            return relay(given);
        if (given.count("example") != 0) {
            std::cout << toucan::settings::example<toucan::target_settings>();
            return 0;
        }
        const auto file = given["config"].as<std::string>();
        return toucan::settings::runWith<toucan::target_settings>(
            file, given.count("check") != 0, serve);
    } catch (const std::exception &failure) {
        std::cerr << "toucantarget: " << failure.what()
                  << "; --config FILE is expected, see --help\n";
        return toucan::errorInfo(toucan::error_kind::usage).exitCode;
    }
}
