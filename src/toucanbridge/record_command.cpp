#include "commands.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iostream>
#include <toucan/fleet_status.h>
#include <toucan/record_writer.h>

namespace toucan {
namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds callTimeout{1500};

struct subcommand
{
    std::string_view name;
    std::string_view usage;
    int (*run)(std::span<const std::string> words, const command_options &options);
};

int reportWrite(std::string_view action, std::string_view kind, std::string_view name,
    const write_outcome &outcome, const command_options &options)
{
    if (options.asJson)
        std::cout << json{{"result", "accepted"}, {"action", action}, {"kind", kind},
            {"name", name}, {"version", outcome.version}, {"changed", outcome.changed}}
                  << '\n';
    else
        std::cout << "accepted: " << action << ' ' << kind << ' ' << name
                  << (outcome.changed ? " at version " + std::to_string(outcome.version)
                                      : " (no change needed)")
                  << std::endl;
    if (options.wait.count() == 0 || outcome.version == 0)
        return 0;
    return waitUntilInForce(outcome.version, options);
}

int put(std::span<const std::string> words, const command_options &options)
{
    if (words.size() < 2)
        return reportError(
            {error_kind::usage, "expected: record put KIND NAME [FIELD=VALUE ...]"}, options);
    record_write write{.kind = words[0],
        .name = words[1],
        .schema = options.schema,
        .expected = options.expected,
        .isNew = options.isNew};
    for (const auto &word : words.subspan(2)) {
        const auto equals = word.find('=');
        if (equals == std::string::npos || equals == 0)
            return reportError({error_kind::usage, word + ": expected FIELD=VALUE"}, options);
        write.fields[word.substr(0, equals)] = word.substr(equals + 1);
    }
    platform_client platform(options.platform, callTimeout);
    const auto outcome = putRecord(platform, write);
    if (const auto *done = valueOf(outcome))
        return reportWrite("put", write.kind, write.name, *done, options);
    return reportError(*errorOf(outcome), options);
}

int withdraw(std::span<const std::string> words, const command_options &options)
{
    if (words.size() != 2)
        return reportError({error_kind::usage, "expected: record withdraw KIND NAME"}, options);
    platform_client platform(options.platform, callTimeout);
    const auto outcome = withdrawRecord(platform, words[0], words[1]);
    if (const auto *done = valueOf(outcome))
        return reportWrite("withdraw", words[0], words[1], *done, options);
    return reportError(*errorOf(outcome), options);
}

int show(std::span<const std::string> words, const command_options &options)
{
    platform_client platform(options.platform, callTimeout);
    const auto read = readConfig(platform, options.peers);
    const auto *config = valueOf(read);
    if (!config)
        return reportError(*errorOf(read), options);
    auto shown = json::array();
    for (const auto &object : (*config)->objects) {
        const bool wanted = (words.empty() || object.kind == words[0])
            && (words.size() < 2 || object.name == words[1]);
        if (wanted)
            shown.push_back({{"kind", object.kind}, {"name", object.name},
                {"version", object.version}, {"record", object.body}});
    }
    if (words.size() == 2 && shown.empty())
        return reportError({error_kind::not_found, words[0] + '/' + words[1]}, options);
    if (options.asJson) {
        std::cout << json{{"version", (*config)->version}, {"records", shown}} << '\n';
        return 0;
    }
    std::cout << "version " << (*config)->version << '\n';
    for (const auto &item : shown)
        std::cout << item["kind"].get<std::string>() << ' ' << item["name"].get<std::string>()
                  << " version " << item["version"] << ": " << item["record"].dump() << '\n';
    for (const auto &fault : (*config)->faults)
        std::cout << "ignored: " << fault << '\n';
    return 0;
}

constexpr std::array subcommands{
    subcommand{"put", "record put KIND NAME [FIELD=VALUE ...]", put},
    subcommand{"withdraw", "record withdraw KIND NAME", withdraw},
    subcommand{"show", "record show [KIND [NAME]]", show},
    subcommand{"check", "record check FILE [FILE_IN_FORCE]", checkRecord},
};

} // namespace

int reportError(const error &failure, const command_options &options)
{
    const auto &row = errorInfo(failure.kind);
    if (options.asJson)
        std::cout << json{{"result", "error"}, {"error", row.name}, {"text", row.text},
            {"detail", failure.detail}}
                  << '\n';
    else
        std::cerr << "error: " << row.name << ": " << row.text << '\n' << failure.detail << '\n';
    return row.exitCode;
}

std::string operatorKindsHelp()
{
    return operatorKinds();
}

std::string exitStatusHelp()
{
    std::string text = "   0  done\n";
    for (const auto &row : errorInfos()) {
        if (row.coapCode == 0 || row.kind == error_kind::bad_request)
            text += fmt::format("  {:>2}  {}: {}\n", row.exitCode, row.name, row.text);
    }
    return text;
}

int runRecordCommand(std::span<const std::string> words, const command_options &options)
{
    const auto found = words.empty() ? subcommands.end()
                                     : std::ranges::find(subcommands, words[0], &subcommand::name);
    if (found != subcommands.end())
        return found->run(words.subspan(1), options);
    std::string usage = "expected one of:";
    for (const auto &each : subcommands)
        usage += "\n  " + std::string(each.usage);
    return reportError({error_kind::usage, usage}, options);
}

} // namespace toucan
