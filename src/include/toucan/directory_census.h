#pragma once

/// Finds records on the list of entries that were left by VMs that are gone. Pure decisions.

#include <map>
#include <set>
#include <span>
#include <string>
#include <toucan/endpoint.h>
#include <vector>

namespace toucan {

/// An entry's record on the list.
struct listed_entry
{
    std::string name; ///< Name of the VM.
    endpoint peer; ///< Address for other processes.
    endpoint control; ///< Address of its control link; none when the record names none.
    std::string domain; ///< Failure domain; empty when the record names none.
    std::uint64_t version = 0; ///< Version of the record.
};

/// True when a list has this record of an entry, so that it need not be written.
bool isListed(std::span<const listed_entry> records, const listed_entry &entry);

/// Result of a round.
struct census_finding
{
    std::vector<listed_entry> gone; ///< Records to remove, each at its version.
    std::size_t listed = 0; ///< Other entries on the list.
    std::size_t alive = 0; ///< Those of them that sent messages.
};

/// Compares the list with the entries that answer. A record counts as left behind when its entry
/// stayed silent in two rounds in a row, while at least half of the other listed entries are alive:
/// an entry that is itself cut off must not remove the others. Not thread-safe.
class directory_census
{
public:
    explicit directory_census(std::string self)
        : m_self(std::move(self))
    { }

    /// Discards earlier rounds. Needed when versions are assigned again, so that an equal version
    /// may belong to another record.
    void forgetRounds() { m_silent.clear(); }
    /// Starts a round with a newly read list.
    void begin(std::vector<listed_entry> records);
    /// Adds peer addresses of entries whose messages arrived since then.
    void recordAlive(std::span<const endpoint> peers)
    {
        m_alive.insert(peers.begin(), peers.end());
    }
    /// Ends the round.
    census_finding conclude();

private:
    std::string m_self;
    std::vector<listed_entry> m_records;
    std::set<endpoint> m_alive;
    std::map<std::string, std::uint64_t> m_silent; ///< Versions of records silent last round.
};

} // namespace toucan
