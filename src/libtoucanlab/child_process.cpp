#include <array>
#include <csignal>
#include <fstream>
#include <netinet/in.h>
#include <sys/wait.h>
#include <toucan/lab/child_process.h>
#include <toucan/udp_socket.h>
#include <unistd.h>

namespace toucan::lab {
namespace {

constexpr int outputBuffer = 4096;

// Networks of 256 addresses from 127.8.0.0 on: room for so many processes with so many experiments.
constexpr std::uint32_t loopback = 0x7f000000;
constexpr std::uint32_t firstNetwork = 0x0800;
constexpr std::uint32_t perProcess = 64;
constexpr std::uint32_t processes = 960;
constexpr std::uint32_t networks = perProcess * processes;
// An address of each network that no program of an experiment uses.
constexpr std::uint32_t reservationHost = 254;
constexpr std::uint16_t reservationPort = 9;

// True when the kernel lists a socket in the network, the reservation itself excepted.
bool isInUse(std::uint32_t network)
{
    for (const auto *table : {"/proc/net/udp", "/proc/net/tcp"}) {
        std::ifstream lines(table);
        std::string line;
        std::getline(lines, line);
        std::string slot;
        std::string local;
        while (lines >> slot >> local && std::getline(lines, line)) {
            // The address in hexadecimal in network order, as a number of this machine.
            constexpr int hexadecimal = 16;
            const auto address
                = ntohl(static_cast<std::uint32_t>(std::stoul(local, nullptr, hexadecimal)));
            if ((address & ~0xffU) == network && (address & 0xffU) != reservationHost)
                return true;
        }
    }
    return false;
}

} // namespace

std::uint32_t newLoopbackNetwork()
{
    static std::vector<udp_socket> reservations;
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) % processes * perProcess;
    for (std::uint32_t tried = 0; tried < networks; ++tried) {
        const auto network = loopback | ((firstNetwork + next++ % networks) << 8U);
        // Only one of two programs that try the same network at once gets the socket.
        auto reserved
            = udp_socket::bind({.ip = network | reservationHost, .port = reservationPort});
        if (!valueOf(reserved) || isInUse(network))
            continue;
        reservations.push_back(std::get<udp_socket>(std::move(reserved)));
        return network;
    }
    throw std::runtime_error("no loopback network is free");
}

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments,
    const std::string &logFile)
    : m_handle(Poco::Process::launch(program, arguments, nullptr, &m_output, &m_output))
    , m_reader([this, logFile] {
        std::ofstream log(logFile, std::ios::app);
        std::array<char, outputBuffer> bytes{};
        // What the program wrote can be read at once.
        while (const auto size = m_output.readBytes(bytes.data(), outputBuffer))
            log.write(bytes.data(), size).flush();
    })
{ }

child_process::~child_process()
{
    end(SIGKILL);
    m_reader.join();
}

// A program that has ended stays visible to signals until it is waited for.
bool child_process::isRunning()
{
    if (m_status)
        return false;
    int status = 0;
    if (::waitpid(id(), &status, WNOHANG) != id())
        return true;
    m_status = status;
    return false;
}

void child_process::signal(int number)
{
    if (isRunning())
        ::kill(id(), number);
}

int child_process::end(int number)
{
    if (isRunning()) {
        ::kill(id(), number);
        ::kill(id(), SIGCONT);
        int status = 0;
        ::waitpid(id(), &status, 0);
        m_status = status;
    }
    return *m_status;
}

} // namespace toucan::lab
