#pragma once

/// A program that an experiment runs and ends by its process id.

#include <Poco/Pipe.h>
#include <Poco/Process.h>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace toucan::lab {

/// Address of a network of 256 loopback addresses that nothing else on the machine uses, for the
/// programs of one experiment; reserved while this program runs. One thread at a time. Throws
/// std::runtime_error when there is none.
std::uint32_t newLoopbackNetwork();

/// A running program whose output is appended to a file. Killed when destroyed. One thread.
class child_process
{
public:
    child_process(const std::string &program, const std::vector<std::string> &arguments,
        const std::string &logFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    int id() const { return m_handle.id(); }
    /// False once the program has ended.
    bool isRunning();
    /// Sends a signal and does not wait; nothing happens when the program has ended.
    void signal(int number);
    /// Sends a signal, lets a stopped program go on and waits for its end; returns its status as
    /// waitpid() gives it.
    int end(int number);

private:
    Poco::Pipe m_output;
    Poco::ProcessHandle m_handle;
    std::optional<int> m_status; ///< Once it has ended.
    std::thread m_reader;
};

} // namespace toucan::lab
