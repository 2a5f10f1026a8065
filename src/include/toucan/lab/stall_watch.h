#pragma once

/// Records what stood still during an experiment, so that a fault of a program can be told from one
/// of its surroundings.

#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <toucan/endpoint.h>
#include <vector>

namespace toucan::lab {

/// The longest stall of each part. Any thread.
class stall_record
{
public:
    /// Stalls from `logged` on are also written to the log, with the time at which they ended.
    explicit stall_record(const std::string &logFile,
        std::chrono::milliseconds logged = std::chrono::milliseconds(100));

    /// A part took this long for what it does all the time.
    void add(const std::string &part, instant end, std::chrono::nanoseconds length,
        const std::string &detail = {});
    /// Datagrams that the kernel dropped because the reader of a socket was behind.
    void addDrops(
        const std::string &part, instant end, std::uint64_t count, const std::string &detail = {});

    /// One line for each part that stalled at least `least`, and one for each whose datagrams were
    /// dropped.
    std::vector<std::string> lines(instant start, std::chrono::milliseconds least) const;

private:
    struct stall
    {
        std::chrono::nanoseconds length{0};
        instant end{};
        std::string detail; ///< Of the longest stall.
        std::uint64_t drops = 0;
        std::string droppedAt; ///< Detail of the last drop.
        instant lastDrop{};
    };

    mutable std::mutex m_mutex;
    std::map<std::string, stall> m_parts;
    std::chrono::milliseconds m_logged;
    std::ofstream m_log;
};

/// A socket of the kernel's table of UDP sockets.
struct udp_socket_state
{
    endpoint address;
    std::uint64_t inode = 0;
    std::uint64_t drops = 0;
};

/// Reads a table in the form of /proc/net/udp; only sockets whose address is in the /24 `network`.
std::vector<udp_socket_state> readUdpTable(std::istream &table, std::uint32_t network);

/// Samples the machine: by how much a sleeping thread woke late, and the datagrams dropped at the
/// sockets of an experiment.
class stall_watch
{
public:
    stall_watch(stall_record &record, std::uint32_t network);

private:
    void run(const std::stop_token &stop);
    void sampleSockets(instant now);

    stall_record &m_record;
    std::uint32_t m_network;
    std::map<std::uint64_t, std::uint64_t> m_drops; ///< By inode.
    std::jthread m_thread;
};

} // namespace toucan::lab
