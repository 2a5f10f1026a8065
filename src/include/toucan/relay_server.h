#pragma once

/// Entry point shared by the `relay` commands of both programs.

#include <toucan/platform_adapter.h>
#include <toucan/settings.h>

namespace toucan {

/// Runs a `relay` command: reads and checks the settings, then calls `serve` unless `checkOnly` is
/// set. An empty `fileName` takes the file named by the adapter's environment variable. Returns the
/// exit status.
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
