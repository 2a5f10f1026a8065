#pragma once

/// Stand-ins for the network: a fabric that sprays callers' packets over entries, a switch that
/// puts faults on the links between the system's processes, and a TCP relay that can be cut.

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <toucan/lab/fault_rules.h>
#include <toucan/udp_socket.h>

namespace toucan::lab {

/// A fabric that hands each packet to any entry. Adds the packet header.
class fabric
{
public:
    /// Options of a fabric.
    struct options
    {
        endpoint inner; ///< Where entries send packets for callers.
        std::vector<endpoint> services; ///< Service addresses to take packets on.
        std::vector<endpoint> entries; ///< Entries to spray over.
        std::uint64_t seed = 1;
    };
    explicit fabric(const options &options);

    /// Replaces the entries. Any thread.
    void setEntries(std::vector<endpoint> entries);
    /// Replaces the faults on packets in both directions. Any thread.
    void setFaults(const link_faults &faults);
    /// Takes packets until `stop` says so.
    void run(const std::function<bool()> &stop);

private:
    void fromCaller(const endpoint &service, const udp_socket::datagram &datagram);
    void fromEntry(const udp_socket::datagram &datagram);

    std::mutex m_mutex;
    std::vector<endpoint> m_entries;
    link_faults m_faults;
    std::mt19937_64 m_random;
    delay_line m_line;
    udp_socket m_inner;
    std::map<endpoint, udp_socket> m_services;
    std::array<std::uint8_t, 65535> m_buffer{};
};

/// Gives each process a public address and carries datagrams between them, with faults for each
/// directed pair of names. A process sees its peers under their public addresses.
class packet_switch
{
public:
    /// One process.
    struct port
    {
        std::string name;
        endpoint publicAddress; ///< What peers send to.
        endpoint realAddress; ///< Where the process listens.
    };
    /// `onPass` gets the end and the length of each pass over the sockets, the time spent waiting
    /// for datagrams included.
    packet_switch(std::vector<port> ports, std::uint64_t seed,
        std::function<void(instant, std::chrono::nanoseconds)> onPass = {});

    /// Sets the faults of links whose ends match; "*" matches any name. Later rules go first. Any
    /// thread.
    void setRule(const std::string &from, const std::string &to, const link_faults &faults);
    /// Removes all rules. Any thread.
    void clearRules();
    /// Carries datagrams until `stop` says so.
    void run(const std::function<bool()> &stop);

private:
    struct rule
    {
        std::string from;
        std::string to;
        link_faults faults;
    };
    link_faults faultsBetween(const std::string &from, const std::string &to);

    std::mutex m_mutex;
    std::vector<rule> m_rules;
    std::vector<port> m_ports;
    std::vector<udp_socket> m_sockets; ///< One for each port, on its public address.
    delay_line m_line;
    std::function<void(instant, std::chrono::nanoseconds)> m_onPass;
    std::array<std::uint8_t, 65535> m_buffer{};
};

/// Relays TCP connections to one address; can be cut, or go silent while staying open.
class tcp_relay
{
public:
    tcp_relay(const endpoint &listen, const endpoint &target);
    ~tcp_relay();
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    /// Closes open connections and refuses new ones.
    void setCut(bool cut) { m_cut = cut; }
    /// Keeps connections open but passes nothing.
    void setSilent(bool silent) { m_silent = silent; }

private:
    void run(const std::stop_token &stop);
    void carry(Poco::Net::StreamSocket client, const std::stop_token &stop);

    endpoint m_target;
    Poco::Net::ServerSocket m_server;
    std::atomic<bool> m_cut = false;
    std::atomic<bool> m_silent = false;
    std::mutex m_mutex;
    std::vector<std::jthread> m_carriers;
    std::jthread m_thread;
};

} // namespace toucan::lab
