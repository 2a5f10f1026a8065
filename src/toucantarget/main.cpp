#include "target_server.h"

#include <cxxopts.hpp>
#include <iostream>
#include <toucan/log.h>
#include <toucan/settings.h>

namespace {

int serve(const toucan::target_settings &settings)
{
    toucan::log::start(settings.logLevel);
    toucan::node::handleStopSignals();
    return toucan::target_server(settings).run();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("toucantarget", "Owns the flows and requests of one target.");
    options.add_options()("config", "settings file (INI)", cxxopts::value<std::string>())(
        "check", "check the settings and exit")("example", "print annotated settings and exit")(
        "help", "print this help and exit");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
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
        return toucan::answerFor(toucan::error_kind::usage).exitCode;
    }
}
