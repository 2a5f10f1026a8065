#pragma once

/// Options and helpers of the programs' `relay` commands.

#include <toucan/platform_adapter.h>
#include <toucan/settings.h>

namespace toucan {

/// Runs a `relay` command: reads the settings from `--config`, or from the file that the adapter's
/// environment variable names, checks them, and serves. Returns the exit status.
template <class T>
int runRelayCommand(const platform_adapter &adapter, std::string fileName, bool checkOnly,
    const std::function<int(const T &, const std::string &fileName)> &serve)
{
    if (fileName.empty()) {
        const char *named = std::getenv(std::string(adapter.settingsVariable).c_str());
        fileName = named ? named : "";
    }
    return settings::runWith<T>(
        fileName, checkOnly, [&](const T &values) { return serve(values, fileName); });
}

} // namespace toucan
