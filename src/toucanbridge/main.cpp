#include "bridge_server.h"
#include "commands.h"
#include "entry_relay_server.h"

#include <cxxopts.hpp>
#include <iostream>
#include <platform/adapter.h>
#include <toucan/log.h>
#include <toucan/relay_server.h>
#include <toucan/settings.h>

namespace {

using toucan::command_options;
using toucan::error_kind;

int serve(const toucan::bridge_settings &settings)
{
    toucan::log::start(settings.logLevel);
    toucan::node::handleStopSignals();
    return toucan::bridge_server(settings).run();
}

int runServe(const cxxopts::ParseResult &given)
{
    if (given.count("example") != 0) {
        std::cout << toucan::settings::example<toucan::bridge_settings>();
        return 0;
    }
    if (given.count("config") == 0)
        return toucan::reportError({error_kind::usage, "serve needs --config FILE"}, {});
    const auto file = given["config"].as<std::string>();
    return toucan::settings::runWith<toucan::bridge_settings>(
        file, given.count("check") != 0, serve);
}

int runRelay(const cxxopts::ParseResult &given)
{
    if (given.count("example") != 0) {
        std::cout << toucan::settings::example<toucan::entry_relay_settings>();
        return 0;
    }
    const auto &adapter = toucan::platform::adapter();
    const auto file = given.count("config") != 0 ? given["config"].as<std::string>() : "";
    return toucan::runRelayCommand<toucan::entry_relay_settings>(adapter, file,
        given.count("check") != 0,
        [&](const toucan::entry_relay_settings &settings, const std::string &fileName) {
            toucan::log::start(settings.logLevel);
            toucan::node::handleStopSignals();
            return toucan::entry_relay_server(settings, fileName, adapter).run();
        });
}

toucan::result<command_options> readOptions(const cxxopts::ParseResult &given)
{
    command_options options{.asJson = given["output"].as<std::string>() == "json",
        .schema = given["schema"].as<std::uint64_t>(),
        .expected = given["expect"].as<std::uint64_t>(),
        .isRelay = given.count("relay") != 0,
        .isNew = given.count("new") != 0};
    const auto platform = toucan::parseEndpoint(given["platform"].as<std::string>());
    if (!platform)
        return toucan::error{error_kind::usage, "--platform: expected IP:port"};
    options.platform = *platform;
    for (const auto &text : given["peer"].as<std::vector<std::string>>()) {
        const auto peer = toucan::parseEndpoint(text);
        if (!text.empty() && !peer)
            return toucan::error{error_kind::usage, "--peer: expected IP:port"};
        if (peer)
            options.peers.push_back(*peer);
    }
    const auto wait = toucan::settings::parseDuration(given["wait"].as<std::string>());
    if (!wait)
        return toucan::error{
            error_kind::usage, "--wait: expected a time with its unit, for example 4s"};
    options.wait = *wait;
    return options;
}

int run(cxxopts::Options &parser, const cxxopts::ParseResult &given)
{
    const auto words = given["words"].as<std::vector<std::string>>();
    if (given.count("help") != 0 || words.empty()) {
        std::cout << parser.help()
                  << "\nCommands:\n"
                     "  serve --config FILE [--check]          run an entry\n"
                     "  relay [--config FILE] [--check]        run an entry that relays segments\n"
                     "  record put KIND NAME [FIELD=VALUE ...] write a record; KIND is "
                + toucan::operatorKindsHelp()
                + "\n"
                  "  record withdraw KIND NAME              withdraw a record\n"
                  "  record show [KIND [NAME]]              read records\n"
                  "  record check FILE [FILE_IN_FORCE]      check a configuration of relay before "
                  "it is sent\n"
                  "  status [--relay]                       version in force, lagging processes\n"
                  "  explain CALLER [FILE ...]              a flow's path and end, from the logs "
                  "of\n"
                  "                                         all processes or standard input\n"
                  "\nExit status:\n"
                  << toucan::exitStatusHelp();
        return given.count("help") != 0 ? 0 : toucan::errorInfo(error_kind::usage).exitCode;
    }
    if (words[0] == "serve")
        return runServe(given);
    if (words[0] == "relay")
        return runRelay(given);
    const auto read = readOptions(given);
    const auto *options = toucan::valueOf(read);
    if (!options)
        return toucan::reportError(*toucan::errorOf(read), {});
    if (words[0] == "record")
        return toucan::runRecordCommand(std::span(words).subspan(1), *options);
    if (words[0] == "status")
        return toucan::runStatusCommand(*options);
    if (words[0] == "explain")
        return toucan::runExplainCommand(std::span(words).subspan(1), *options);
    return toucan::reportError(
        {error_kind::usage,
            words[0] + ": unknown command; expected serve, relay, record, status or explain"},
        *options);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options parser(
        "toucanbridge", "Layer-4 load balancer: entry and operators' commands.");
    parser.positional_help("COMMAND [WORDS]");
    parser.add_options()("words", "command and its arguments",
        cxxopts::value<std::vector<std::string>>()->default_value(""))("config",
        "settings file (INI) of serve and relay",
        cxxopts::value<std::string>())("check", "check the settings and exit")(
        "example", "with serve and relay: print annotated settings and exit")("platform",
        "address of the platform", cxxopts::value<std::string>()->default_value("127.0.0.1:8001"))(
        "peer", "control links to read from while the platform is down",
        cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "output", "plain or json", cxxopts::value<std::string>()->default_value("plain"))("wait",
        "time to wait until the change is in force everywhere, for example 4s",
        cxxopts::value<std::string>()->default_value("0s"))("schema",
        "schema version that the script uses", cxxopts::value<std::uint64_t>()->default_value("2"))(
        "expect", "version that the record must have; 0 for any",
        cxxopts::value<std::uint64_t>()->default_value("0"))(
        "new", "allow a name that no target has yet")(
        "relay", "with status: use the platform and the processes of relay")(
        "help", "print this help and exit");
    parser.parse_positional({"words"});
    try {
        const auto given = parser.parse(argc, argv);
        return run(parser, given);
    } catch (const std::exception &failure) {
        return toucan::reportError({error_kind::usage, failure.what()}, {});
    }
}
