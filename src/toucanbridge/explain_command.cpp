#include "commands.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <toucan/flow_trail.h>

namespace toucan {
namespace {

void print(std::string_view title, std::span<const trail_line> lines, std::uint64_t start)
{
    std::cout << title << '\n';
    for (const auto &line : lines)
        std::cout << "  " << describe(line, start) << '\n';
}

} // namespace

int runExplainCommand(std::span<const std::string> words, const command_options &options)
{
    const auto caller = words.empty() ? std::nullopt : parseEndpoint(words.front());
    if (!caller)
        return reportError({error_kind::usage,
                               "explain needs the caller's IP:port, then log files or nothing "
                               "for standard input"},
            options);
    trail_reader reader(toString(*caller));
    for (const auto &name : words.subspan(1)) {
        std::ifstream file(name);
        if (!file)
            return reportError({error_kind::usage, name + ": cannot be read"}, options);
        reader.read(file, std::filesystem::path(name).stem().string());
    }
    if (words.size() == 1)
        reader.read(std::cin, "?");
    const auto trail = reader.trail();
    if (trail.path.empty())
        return reportError({error_kind::not_found,
                               "none of " + std::to_string(reader.lineCount())
                                   + " log lines names the caller " + toString(*caller)},
            options);
    const auto start = trail.path.front().timeMs;
    print("Path of the flow:", trail.path, start);
    print("Changes on the VMs of the path:", trail.context, start);
    std::cout << "Findings:\n";
    for (const auto &text : trail.findings)
        std::cout << "  " << text << '\n';
    return 0;
}

} // namespace toucan
