#include <array>
#include <csignal>
#include <fstream>
#include <sys/wait.h>
#include <toucan/lab/child_process.h>
#include <unistd.h>

namespace toucan::lab {
namespace {

constexpr int outputBuffer = 4096;

} // namespace

std::uint32_t newLoopbackNetwork()
{
    static std::uint32_t count = 0;
    constexpr std::uint32_t loopback = 0x7f000000;
    // Room for so many experiments of one process, and for so many processes.
    constexpr std::uint32_t perProcess = 64;
    constexpr std::uint32_t processes = 960;
    const auto own = static_cast<std::uint32_t>(::getpid()) % processes;
    const auto index = 0x0800U + own * perProcess + count++ % perProcess;
    return loopback | (index << 8U);
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
