#pragma once

/// Settings files in INI, checked against the schema.

#include <functional>
#include <string>
#include <string_view>
#include <toucan/error.h>
#include <toucan/generated/settings.h>
#include <vector>

namespace toucan::settings {

/// Reads and checks INI text. An error lists every fault, one a line, as "file:line: key: text".
/// Instantiated for every struct of schema/settings.json.
template <class T>
result<T> parse(std::string_view text, std::string_view fileName);

/// Reads and checks a file.
template <class T>
result<T> load(const std::string &fileName);

/// An annotated example with every key, its meaning, and its default.
template <class T>
std::string example();

/// Loads a file and calls `serve` with its settings, or only checks them. Faults go to standard
/// error. Returns the exit status of the program.
template <class T>
int runWith(
    const std::string &fileName, bool checkOnly, const std::function<int(const T &)> &serve);

/// What a changed settings file changes, by key.
struct settings_change
{
    std::vector<std::string> applied; ///< In force now.
    std::vector<std::string> atNextStart; ///< Read but kept as they were.
};

/// Copies the settings that may change while the program runs from `loaded` to `running`.
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
