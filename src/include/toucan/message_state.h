#pragma once

/// Fields that all messages between processes share: the configuration in force and the failure
/// domains out of service.

#include <toucan/domain_outages.h>
#include <toucan/generated/events.h>

namespace toucan {

/// The stamp of the configuration that the sender of a message has.
template <class T>
config_stamp receivedStamp(const T &message)
{
    return {
        .point = {.era = message.era, .revision = message.revision}, .version = message.version};
}

/// The failure domains out of service in the view of the sender of a message.
template <class T>
domains_out receivedDomains(const T &message)
{
    return {.point = {.era = message.domainsEra, .revision = message.domainsRevision},
        .names = message.domainsOut};
}

/// Writes both and the newest settled era into a message.
template <class T>
void writeState(
    T &message, const config_stamp &stamp, const domains_out &domains, std::uint64_t settledEra)
{
    message.revision = stamp.point.revision;
    message.era = stamp.point.era;
    message.version = stamp.version;
    message.domainsRevision = domains.point.revision;
    message.domainsEra = domains.point.era;
    message.domainsOut = domains.names;
    message.settledEra = settledEra;
}

/// The log line on a change of the failure domains out of service.
inline domains_changed domainsLine(const domain_outages &domains, std::string_view source)
{
    const auto &inForce = domains.inForce();
    return {.era = inForce.point.era,
        .revision = inForce.point.revision,
        .source = std::string(source),
        .out = inForce.names,
        .held = {domains.held().begin(), domains.held().end()}};
}

} // namespace toucan
