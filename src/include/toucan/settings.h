#pragma once

/// Settings files in INI format, validated against the schema.

#include <functional>
#include <string>
#include <string_view>
#include <toucan/error.h>
#include <toucan/generated/settings.h>
#include <vector>

namespace toucan::settings {

/// Parses and validates INI text. An error lists all faults, one a line, as "file:line: key: text".
/// Instantiated for every struct of schema/settings.json.
template <class T>
result<T> parse(std::string_view text, std::string_view fileName);

/// Reads, parses and validates a file.
template <class T>
result<T> load(const std::string &fileName);

/// An annotated example with every key, its meaning, and its default.
template <class T>
std::string example();

/// Loads a file and calls `serve` with its settings; with `checkOnly`, validates them only. Writes
/// faults to standard error. Returns the exit status of the program.
template <class T>
int runWith(
    const std::string &fileName, bool checkOnly, const std::function<int(const T &)> &serve);

/// Keys of the settings that a new version of the file changes.
struct settings_change
{
    std::vector<std::string> applied; ///< Applied to the running process.
    std::vector<std::string> atNextStart; ///< Changed in the file; applied at the next start.
};

/// Copies the settings that can change while the program runs from `loaded` to `running`.
template <class T>
settings_change takeReloadable(T &running, const T &loaded)
{
    settings_change change;
    forEachField<T>([&](const auto &spec) {
        auto &value = running.*spec.member;
        if (value == loaded.*spec.member)
            return;
        if (spec.reload)
            value = loaded.*spec.member;
        (spec.reload ? change.applied : change.atNextStart).emplace_back(spec.name);
    });
    return change;
}

/// Reads "250ms", "3s", "0.5s" or "2min"; nullopt for anything else.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

} // namespace toucan::settings
