#pragma once

/// UDP sockets: created with POCO, read and written without allocation.

#include <Poco/Net/DatagramSocket.h>
#include <optional>
#include <toucan/endpoint.h>
#include <toucan/error.h>
#include <utility>

namespace toucan {

/// Monotonic time now.
instant monotonicNow();

/// One UDP socket. Not thread-safe.
class udp_socket
{
public:
    /// Binds to an address; port 0 takes any. io when that fails.
    static result<udp_socket> bind(const endpoint &local);
    /// Connects an unbound socket to `remote` from the same IP; only its datagrams are received.
    static result<udp_socket> connect(const endpoint &remote);

    /// A received datagram; `payload` views the caller's buffer.
    struct datagram
    {
        endpoint from;
        byte_view payload;
    };
    /// Reads one datagram without blocking; nullopt when there is none.
    std::optional<datagram> receive(std::span<std::uint8_t> buffer);
    /// Sends without blocking. A datagram that cannot be sent is dropped without an error.
    void send(const endpoint &to, byte_view head, byte_view payload = {});
    /// Sends on a connected socket.
    void send(byte_view payload);

    /// From now on the socket learns when the host of a recipient refuses a datagram, because
    /// nothing is bound to the port.
    void watchRefusals();
    /// True when a datagram sent since the last call was refused.
    bool takeRefusal() { return std::exchange(m_wasRefused, false); }

    /// The underlying socket, for poll().
    const Poco::Net::DatagramSocket &handle() const { return m_socket; }
    endpoint localAddress() const;

private:
    explicit udp_socket(const Poco::Net::DatagramSocket &socket);
    bool noteRefusal();

    Poco::Net::DatagramSocket m_socket;
    bool m_wasRefused = false;
};

} // namespace toucan
