#pragma once

/// Output interface of the relay engines. Implemented by the programs and by tests.

#include <toucan/endpoint.h>
#include <toucan/store_point.h>

namespace toucan {

/// Side effects of a relay engine; called on its thread.
class relay_port
{
public:
    virtual ~relay_port() = default;
    /// Sends a datagram to another process of the system.
    virtual void sendPeer(const endpoint &to, byte_view head, byte_view payload) = 0;
    /// Sends a segment to a caller, at the port on which callers receive.
    virtual void sendCaller(const endpoint &caller, byte_view bytes) = 0;
    /// Sends a segment to the target beside the process. Entries have none.
    virtual void sendTarget(byte_view bytes) = 0;
    /// Fetches a configuration from the process, given by its peer address, that has one with this
    /// stamp or a newer one.
    virtual void fetchConfig(const endpoint &peer, const config_stamp &stamp) = 0;
};

} // namespace toucan
