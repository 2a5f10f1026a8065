#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <toucan/lab/network_stand_ins.h>
#include <toucan/peer_message.h>

namespace toucan::lab {
namespace {

constexpr long pollMicroseconds = 1000;
constexpr int readBatch = 64;

udp_socket bindOrThrow(const endpoint &address)
{
    auto bound = udp_socket::bind(address);
    if (const auto *failure = errorOf(bound))
        throw std::runtime_error(failure->detail);
    return std::get<udp_socket>(std::move(bound));
}

Poco::Net::SocketAddress toPoco(const endpoint &value)
{
    return Poco::Net::SocketAddress(toString(value));
}

} // namespace

fabric::fabric(const options &options)
    : m_entries(options.entries)
    , m_random(options.seed)
    , m_line(options.seed + 1)
    , m_inner(bindOrThrow(options.inner))
{
    for (const auto &service : options.services)
        m_services.emplace(service, bindOrThrow(service));
}

void fabric::setEntries(std::vector<endpoint> entries)
{
    const std::lock_guard lock(m_mutex);
    m_entries = std::move(entries);
}

void fabric::setFaults(const link_faults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

void fabric::fromCaller(const endpoint &service, const udp_socket::datagram &datagram)
{
    const std::lock_guard lock(m_mutex);
    if (m_entries.empty())
        return;
    const packet_header header{.kind = static_cast<std::uint64_t>(packet_kind::from_fabric),
        .caller = datagram.from,
        .service = service};
    const auto bytes = encodePacket(header, datagram.payload);
    // Each copy may go to another entry.
    m_line.offer(monotonicNow(), m_faults, [this, bytes] {
        const auto index
            = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
        m_inner.send(m_entries[index], bytes);
    });
}

void fabric::fromEntry(const udp_socket::datagram &datagram)
{
    const auto packet = decodePacket(datagram.payload);
    const auto found = packet ? m_services.find(packet->header.service) : m_services.end();
    if (found == m_services.end())
        return;
    const std::lock_guard lock(m_mutex);
    const byte_buffer payload(packet->payload.begin(), packet->payload.end());
    m_line.offer(monotonicNow(), m_faults,
        [&socket = found->second, caller = packet->header.caller, payload] {
            socket.send(caller, payload);
        });
}

void fabric::run(const std::function<bool()> &stop)
{
    Poco::Net::PollSet poll;
    poll.add(m_inner.handle(), Poco::Net::PollSet::POLL_READ);
    for (const auto &[address, socket] : m_services)
        poll.add(socket.handle(), Poco::Net::PollSet::POLL_READ);
    while (!stop()) {
        poll.poll(Poco::Timespan(pollMicroseconds));
        for (int i = 0; i < readBatch; ++i) {
            if (const auto datagram = m_inner.receive(m_buffer))
                fromEntry(*datagram);
            for (auto &[address, socket] : m_services) {
                if (const auto datagram = socket.receive(m_buffer))
                    fromCaller(address, *datagram);
            }
        }
        const std::lock_guard lock(m_mutex);
        m_line.run(monotonicNow());
    }
}

packet_switch::packet_switch(std::vector<port> ports, std::uint64_t seed,
    std::function<void(instant, std::chrono::nanoseconds)> onPass)
    : m_ports(std::move(ports))
    , m_line(seed)
    , m_onPass(std::move(onPass))
{
    std::ranges::transform(m_ports, std::back_inserter(m_sockets),
        [](const port &item) { return bindOrThrow(item.publicAddress); });
}

void packet_switch::setRule(
    const std::string &from, const std::string &to, const link_faults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_rules.push_back({from, to, faults});
}

void packet_switch::clearRules()
{
    const std::lock_guard lock(m_mutex);
    m_rules.clear();
}

link_faults packet_switch::faultsBetween(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(m_mutex);
    const auto matches = [](const std::string &pattern, const std::string &name) {
        return pattern == "*" || pattern == name
            || (pattern.ends_with('*') && name.starts_with(pattern.substr(0, pattern.size() - 1)));
    };
    const auto found = std::find_if(m_rules.rbegin(), m_rules.rend(),
        [&](const rule &item) { return matches(item.from, from) && matches(item.to, to); });
    return found == m_rules.rend() ? link_faults{} : found->faults;
}

void packet_switch::run(const std::function<bool()> &stop)
{
    std::map<endpoint, std::size_t> byReal;
    Poco::Net::PollSet poll;
    std::map<Poco::Net::Socket, std::size_t> bySocket;
    for (std::size_t i = 0; i < m_ports.size(); ++i) {
        byReal[m_ports[i].realAddress] = i;
        bySocket[m_sockets[i].handle()] = i;
        poll.add(m_sockets[i].handle(), Poco::Net::PollSet::POLL_READ);
    }
    auto passed = monotonicNow();
    while (!stop()) {
        for (const auto &[socket, mode] : poll.poll(Poco::Timespan(pollMicroseconds))) {
            const auto to = bySocket.at(socket);
            for (int i = 0; i < readBatch; ++i) {
                const auto datagram = m_sockets[to].receive(m_buffer);
                if (!datagram)
                    break;
                const auto from = byReal.find(datagram->from);
                if (from == byReal.end())
                    continue;
                const byte_buffer bytes(datagram->payload.begin(), datagram->payload.end());
                m_line.offer(monotonicNow(),
                    faultsBetween(m_ports[from->second].name, m_ports[to].name),
                    [this, bytes, source = from->second, to] {
                        m_sockets[source].send(m_ports[to].realAddress, bytes);
                    });
            }
        }
        const auto now = monotonicNow();
        m_line.run(now);
        if (m_onPass)
            m_onPass(now, now - passed);
        passed = now;
    }
}

tcp_relay::tcp_relay(const endpoint &listen, const endpoint &target)
    : m_target(target)
{
    m_server.bind(toPoco(listen), true);
    m_server.listen();
    m_thread = std::jthread([this](const std::stop_token &stop) { run(stop); });
}

tcp_relay::~tcp_relay()
{
    m_thread.request_stop();
    m_thread.join();
    for (auto &carrier : m_carriers)
        carrier.request_stop();
}

void tcp_relay::run(const std::stop_token &stop)
{
    constexpr long acceptMicroseconds = 20'000;
    while (!stop.stop_requested()) {
        if (!m_server.poll(Poco::Timespan(acceptMicroseconds), Poco::Net::Socket::SELECT_READ))
            continue;
        auto client = m_server.acceptConnection();
        if (m_cut) {
            client.close();
            continue;
        }
        m_carriers.emplace_back(
            [this, client](const std::stop_token &carrierStop) { carry(client, carrierStop); });
    }
}

void tcp_relay::carry(Poco::Net::StreamSocket client, const std::stop_token &stop)
{
    constexpr long idleMicroseconds = 10'000;
    constexpr std::size_t chunk = 16384;
    try {
        Poco::Net::StreamSocket server(toPoco(m_target));
        std::array<char, chunk> buffer{};
        const auto pass = [&](Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to) {
            const auto size = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (size <= 0)
                return false;
            for (int sent = 0; sent < size;)
                sent += to.sendBytes(buffer.data() + sent, size - sent);
            return true;
        };
        while (!stop.stop_requested() && !m_cut) {
            Poco::Net::Socket::SocketList readable{client, server};
            Poco::Net::Socket::SocketList none;
            if (m_silent) {
                std::this_thread::sleep_for(std::chrono::microseconds(idleMicroseconds));
                continue;
            }
            if (Poco::Net::Socket::select(readable, none, none, Poco::Timespan(idleMicroseconds))
                == 0)
                continue;
            for (const auto &ready : readable) {
                if (!(ready == client ? pass(client, server) : pass(server, client)))
                    return;
            }
        }
    } catch (const Poco::Exception &) {
        return; // The connection ended; so does the relay of it.
    }
}

} // namespace toucan::lab
