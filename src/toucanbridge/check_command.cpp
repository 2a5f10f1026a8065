#include "commands.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <platform/adapter.h>
#include <sstream>
#include <toucan/config_check.h>

namespace toucan {
namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds callTimeout{1500};

result<relay_config_ptr> readFile(const std::string &name)
{
    std::ifstream file(name);
    if (!file)
        return error{error_kind::io, name + ": cannot be read"};
    std::ostringstream text;
    text << file.rdbuf();
    return platform::adapter().readConfig({}, text.str());
}

result<relay_config_ptr> readInForce(const command_options &options)
{
    const auto &adapter = platform::adapter();
    platform_client client(options.platform, callTimeout, adapter.objects);
    const auto read = client.get(adapter.kinds.config, adapter.kinds.configName);
    if (const auto *failure = errorOf(read))
        return *failure;
    const auto &object = *valueOf(read);
    return adapter.readConfig({.revision = object.version}, object.body.dump());
}

bool isFault(const config_finding &finding)
{
    return finding.kind != finding_kind::difference;
}

void print(std::span<const config_finding> findings, const command_options &options)
{
    const auto faults = std::ranges::count_if(findings, isFault);
    if (options.asJson) {
        json output{{"result", faults == 0 ? "accepted" : "error"}, {"faults", faults},
            {"findings", json::array()}};
        for (const auto &item : findings)
            output["findings"].push_back(
                {{"kind", toString(item.kind)}, {"where", item.where}, {"text", item.text}});
        std::cout << output << '\n';
        return;
    }
    for (const auto &item : findings)
        std::cout << fmt::format("{}: {}: {}\n", toString(item.kind), item.where, item.text);
    const auto changes = static_cast<std::ptrdiff_t>(findings.size()) - faults;
    if (faults == 0)
        std::cout << fmt::format("accepted: no faults, {} changes\n", changes);
    else
        std::cout << fmt::format("error: {} faults, {} changes; do not send it\n", faults, changes);
}

} // namespace

// Without the configuration in force the file is still checked by itself.
int checkRecord(std::span<const std::string> words, const command_options &options)
{
    if (words.empty() || words.size() > 2)
        return reportError(
            {error_kind::usage, "expected: record check FILE [FILE_IN_FORCE]"}, options);
    const auto read = readFile(words[0]);
    const auto *config = valueOf(read);
    if (!config)
        return reportError(*errorOf(read), options);
    auto findings = checkConfig(**config);
    const auto known = words.size() == 2 ? readFile(words[1]) : readInForce(options);
    const auto *inForce = valueOf(known);
    if (inForce) {
        const auto changes = compareConfigs(**config, **inForce);
        findings.insert(findings.end(), changes.begin(), changes.end());
    }
    const bool isFaulty = std::ranges::any_of(findings, isFault);
    if (isFaulty || inForce)
        print(findings, options);
    if (isFaulty)
        return errorInfo(error_kind::invalid_record).exitCode;
    if (inForce)
        return 0;
    auto failure = *errorOf(known);
    failure.detail += "; no faults in the file, but its changes are unknown";
    return reportError(failure, options);
}

} // namespace toucan
