#include <Poco/Net/NetException.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <sys/socket.h>
#include <sys/uio.h>
#include <toucan/udp_socket.h>

namespace toucan {
namespace {

// Buffers bursts while the traffic thread is busy.
constexpr int socketBufferBytes = 4 << 20;

sockaddr_in toNative(const endpoint &value)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(value.ip);
    native.sin_port = htons(value.port);
    return native;
}

endpoint fromNative(const sockaddr_in &native)
{
    return {.ip = ntohl(native.sin_addr.s_addr), .port = ntohs(native.sin_port)};
}

Poco::Net::SocketAddress toPoco(const endpoint &value)
{
    const auto native = toNative(value);
    return {reinterpret_cast<const sockaddr *>(&native), sizeof(native)};
}

void enlargeBuffers(Poco::Net::DatagramSocket &socket)
{
    socket.setReceiveBufferSize(socketBufferBytes);
    socket.setSendBufferSize(socketBufferBytes);
}

} // namespace

instant monotonicNow()
{
    return std::chrono::duration_cast<instant>(std::chrono::steady_clock::now().time_since_epoch());
}

void udp_socket::watchRefusals()
{
    // Where the option is not supported, refusals stay unknown.
    const int enabled = 1;
    static_cast<void>(
        ::setsockopt(m_socket.impl()->sockfd(), IPPROTO_IP, IP_RECVERR, &enabled, sizeof(enabled)));
}

// Call after an error; returns whether it was a refusal. The socket's queue of errors is emptied,
// as the socket counts as readable until then.
bool udp_socket::noteRefusal()
{
    if (errno != ECONNREFUSED)
        return false;
    m_wasRefused = true;
    msghdr ignored{};
    while (::recvmsg(m_socket.impl()->sockfd(), &ignored, MSG_ERRQUEUE | MSG_DONTWAIT) >= 0)
        ignored = {};
    return true;
}

udp_socket::udp_socket(const Poco::Net::DatagramSocket &socket)
    : m_socket(socket)
{ }

result<udp_socket> udp_socket::bind(const endpoint &local)
{
    try {
        Poco::Net::DatagramSocket socket;
        socket.bind(toPoco(local), false);
        enlargeBuffers(socket);
        return udp_socket(socket);
    } catch (const Poco::Exception &failure) {
        return error{error_kind::io, toString(local) + ": " + failure.displayText()};
    }
}

result<udp_socket> udp_socket::connect(const endpoint &remote)
{
    try {
        Poco::Net::DatagramSocket socket;
        socket.connect(toPoco(remote));
        return udp_socket(socket);
    } catch (const Poco::Exception &failure) {
        return error{error_kind::io, toString(remote) + ": " + failure.displayText()};
    }
}

endpoint udp_socket::localAddress() const
{
    const auto address = m_socket.address();
    sockaddr_in native{};
    std::copy_n(reinterpret_cast<const std::uint8_t *>(address.addr()), sizeof(native),
        reinterpret_cast<std::uint8_t *>(&native));
    return fromNative(native);
}

std::optional<udp_socket::datagram> udp_socket::receive(std::span<std::uint8_t> buffer)
{
    sockaddr_in from{};
    socklen_t fromSize = sizeof(from);
    const auto size = ::recvfrom(m_socket.impl()->sockfd(), buffer.data(), buffer.size(),
        MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&from), &fromSize);
    if (size < 0) {
        noteRefusal();
        return std::nullopt;
    }
    return datagram{
        .from = fromNative(from), .payload = buffer.first(static_cast<std::size_t>(size))};
}

void udp_socket::send(const endpoint &to, byte_view head, byte_view payload)
{
    auto native = toNative(to);
    std::array<iovec, 2> parts{iovec{const_cast<std::uint8_t *>(head.data()), head.size()},
        iovec{const_cast<std::uint8_t *>(payload.data()), payload.size()}};
    msghdr message{};
    message.msg_name = &native;
    message.msg_namelen = sizeof(native);
    message.msg_iov = parts.data();
    message.msg_iovlen = payload.empty() ? 1 : 2;
    const auto transmit = [&] {
        return ::sendmsg(m_socket.impl()->sockfd(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    };
    // A refusal of an earlier datagram is reported in place of sending this one.
    if (transmit() < 0 && noteRefusal())
        static_cast<void>(transmit());
}

void udp_socket::send(byte_view payload)
{
    static_cast<void>(::send(
        m_socket.impl()->sockfd(), payload.data(), payload.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

} // namespace toucan
