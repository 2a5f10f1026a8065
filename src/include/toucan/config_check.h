#pragma once

/// Checks of a configuration before operators send it: what cannot be read, entries that no flow
/// can match, limits that contradict each other, and the differences from the one in force. Pure
/// functions.

#include <string>
#include <string_view>
#include <toucan/relay_config.h>
#include <vector>

namespace toucan {

/// What a finding is about.
enum class finding_kind : std::uint8_t {
    unreadable, ///< A part cannot be read; processes skip it.
    unmatched, ///< An entry that no flow can match.
    contradiction, ///< Two limits or references that cannot both hold.
    difference, ///< A difference from the configuration in force; not a fault.
};

/// One finding.
struct config_finding
{
    finding_kind kind{};
    std::string where; ///< The entry, for example "route reports".
    std::string text;

    bool operator==(const config_finding &) const = default;
};

/// Name of a kind in the output of commands.
std::string_view toString(finding_kind kind);

/// Checks a configuration by itself, in the order of its entries.
std::vector<config_finding> checkConfig(const relay_config &config);

/// Lists what `config` changes compared with `inForce`. A version that is not higher is a
/// contradiction, because processes ignore it.
std::vector<config_finding> compareConfigs(const relay_config &config, const relay_config &inForce);

} // namespace toucan
