#pragma once

/// What a soak checks while it runs, from what callers and targets see.

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <toucan/endpoint.h>
#include <unordered_set>
#include <vector>

namespace toucan::lab {

/// Bounds that the users' platform states for its smallest deployments.
struct soak_bounds
{
    std::chrono::milliseconds contact{5000}; ///< Calm after which bounds hold again.
    std::chrono::milliseconds drain{5000}; ///< From a confirmed draining to the last opening.
    std::chrono::milliseconds domainOut{5000}; ///< From a record to the last opening in a domain.
    std::chrono::milliseconds config{5000}; ///< From a record to the last opening by the old one.
    std::chrono::milliseconds storeSkew{15000}; ///< More, while the store is disturbed.
    std::chrono::milliseconds grace{6000}; ///< From a stop signal to the end.
    double coldRate = 4; ///< Openings a second that a cold target bears.
    double coldOvershoot = 1.5; ///< Factor on it that must never be passed.
    double coldSlack = 5; ///< Openings in a second on top of that.
    double recovered = 0.9; ///< Share of requests answered once the faults are over.
};

/// Who is disturbed, and since when they are calm again. Not thread-safe.
class disturbance_record
{
public:
    void begin(const std::string &name) { ++m_states[name].active; }
    void end(instant now, const std::string &name);
    /// True when nothing has disturbed it in the time `calm` before `now`.
    bool isCalm(instant now, const std::string &name, std::chrono::milliseconds calm) const;
    /// True when nothing disturbs it now.
    bool isFree(const std::string &name) const;

private:
    struct state
    {
        int active = 0;
        std::optional<instant> ended;
    };
    std::map<std::string, state> m_states;
};

/// Segments that one side sent, to tell whether the other gets any that nobody wrote. Not
/// thread-safe.
class sent_segments
{
public:
    void add(byte_view bytes);
    bool contains(byte_view bytes) const;

private:
    std::unordered_set<std::uint64_t> m_hashes;
};

/// Counts openings of a cold target in a sliding second. Not thread-safe.
class cold_openings
{
public:
    /// Adds one; returns how many there were in the second that it ends.
    std::size_t add(instant now);

private:
    std::deque<instant> m_times;
};

} // namespace toucan::lab
