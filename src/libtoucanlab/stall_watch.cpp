#include <arpa/inet.h>
#include <fmt/format.h>
#include <sstream>
#include <toucan/lab/stall_watch.h>
#include <toucan/udp_socket.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;

constexpr auto sampleInterval = 50ms;
constexpr int samplesPerTable = 5;
constexpr int hexadecimal = 16;

std::int64_t milliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

// As in the programs' logs: Unix milliseconds.
std::int64_t logTime(instant time)
{
    const auto age = monotonicNow() - time;
    return milliseconds(std::chrono::system_clock::now().time_since_epoch() - age);
}

std::string inBrackets(const std::string &detail)
{
    return detail.empty() ? "" : " (" + detail + ")";
}

} // namespace

stall_record::stall_record(const std::string &logFile, std::chrono::milliseconds logged)
    : m_logged(logged)
    , m_log(logFile)
{ }

void stall_record::add(const std::string &part, instant end, std::chrono::nanoseconds length,
    const std::string &detail)
{
    const std::lock_guard lock(m_mutex);
    auto &item = m_parts[part];
    if (length > item.length) {
        item.length = length;
        item.end = end;
        item.detail = detail;
    }
    if (length >= m_logged)
        m_log << fmt::format("{} {} stood still for {} ms{}", logTime(end), part,
            milliseconds(length), inBrackets(detail))
              << std::endl;
}

void stall_record::addDrops(
    const std::string &part, instant end, std::uint64_t count, const std::string &detail)
{
    const std::lock_guard lock(m_mutex);
    auto &item = m_parts[part];
    item.drops += count;
    item.lastDrop = end;
    item.droppedAt = detail;
    m_log << fmt::format(
        "{} {}: {} datagrams dropped{}", logTime(end), part, count, inBrackets(detail))
          << std::endl;
}

std::vector<std::string> stall_record::lines(instant start, std::chrono::milliseconds least) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    for (const auto &[part, item] : m_parts) {
        if (item.length >= least)
            result.push_back(fmt::format("{} stood still for {} ms until {:.3f} s{}", part,
                milliseconds(item.length), seconds(item.end - start), inBrackets(item.detail)));
        if (item.drops > 0)
            result.push_back(fmt::format("{}: {} datagrams dropped, the last at {:.3f} s{}", part,
                item.drops, seconds(item.lastDrop - start), inBrackets(item.droppedAt)));
    }
    return result;
}

std::vector<udp_socket_state> readUdpTable(std::istream &table, std::uint32_t network)
{
    std::vector<udp_socket_state> sockets;
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string slot;
        std::string local;
        std::string skipped;
        udp_socket_state state;
        words >> slot >> local;
        // Remote address, state, queues, timer, retransmissions, user, timeout.
        for (int i = 0; i < 7; ++i)
            words >> skipped;
        words >> state.inode;
        // References and the kernel's pointer.
        if (!(words >> skipped >> skipped >> state.drops))
            continue;
        state.address
            = {.ip = ntohl(static_cast<std::uint32_t>(std::stoul(local, nullptr, hexadecimal))),
                .port = static_cast<std::uint16_t>(
                    std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal))};
        if ((state.address.ip & ~0xffU) == network)
            sockets.push_back(state);
    }
    return sockets;
}

stall_watch::stall_watch(stall_record &record, std::uint32_t network)
    : m_record(record)
    , m_network(network)
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{ }

void stall_watch::run(const std::stop_token &stop)
{
    for (int sample = 0; !stop.stop_requested(); ++sample) {
        const auto begin = monotonicNow();
        std::this_thread::sleep_for(sampleInterval);
        const auto now = monotonicNow();
        m_record.add("a sleeping thread", now, now - begin - sampleInterval);
        if (sample % samplesPerTable == 0)
            sampleSockets(now);
    }
}

void stall_watch::sampleSockets(instant now)
{
    std::ifstream table("/proc/net/udp");
    for (const auto &socket : readUdpTable(table, m_network)) {
        auto &known = m_drops[socket.inode];
        if (socket.drops > known)
            m_record.addDrops("sockets", now, socket.drops - known, toString(socket.address));
        known = socket.drops;
    }
}

} // namespace toucan::lab
