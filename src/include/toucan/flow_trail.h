#pragma once

/// Reconstructs the history of one flow from the log lines of many processes. Used by one thread.

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace toucan {

/// One structured log line.
struct trail_line
{
    std::uint64_t timeMs = 0; ///< Unix milliseconds by the writer's clock.
    std::string vm; ///< Name of the VM that wrote it.
    std::string part; ///< Part of the system: entry or target.
    std::string event; ///< Kind of line; see schema/events.json.
    nlohmann::ordered_json fields; ///< The other members.
};

/// The path of one flow through all processes.
struct flow_trail
{
    std::vector<trail_line> path; ///< Lines that name the caller, in order of time.
    std::vector<trail_line> context; ///< State changes on these VMs at about that time.
    std::vector<std::string> findings; ///< Conclusions about the flow's end, one line each.
};

/// Reads logs and finds flows in them. Clocks of VMs may differ by a few milliseconds, so lines of
/// different VMs within that time may be in the wrong order.
class trail_reader
{
public:
    /// Looks for the flow of `caller`, an address as the logs write it.
    explicit trail_reader(std::string caller)
        : m_caller(std::move(caller))
    { }

    /// Reads lines "[TIME VM] PART JSON". Lines without a VM belong to `vm`. Others are skipped.
    void read(std::istream &lines, const std::string &vm);
    /// The trail found in the lines read so far.
    flow_trail trail() const;
    /// Structured lines read so far.
    std::size_t lineCount() const { return m_count; }

private:
    std::string m_caller;
    std::vector<trail_line> m_path;
    std::vector<trail_line> m_states;
    std::size_t m_count = 0;
};

/// Formats a line for operators: time since `start` in seconds, VM, part, event and fields.
std::string describe(const trail_line &line, std::uint64_t start);

} // namespace toucan
