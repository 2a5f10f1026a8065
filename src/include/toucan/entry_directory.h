#pragma once

/// The list of entries in the platform's store: each entry keeps a record of itself there, and
/// processes whose seeds are all down use it to discover the entries.

#include <random>
#include <toucan/directory_census.h>
#include <toucan/generated/relay.h>
#include <toucan/store_follower.h>

namespace toucan {

/// An entry's record of itself.
struct directory_entry
{
    std::string name; ///< Name of the VM.
    endpoint peer; ///< Address for other processes.
    endpoint control; ///< Address of its control link.
    std::string domain; ///< Its failure domain.
};

/// Called on the directory's thread with all entries on the list.
using directory_handler = std::function<void(std::vector<entry_place>)>;

/// Intervals at which an entry compares the list with the entries that answer.
struct directory_timing
{
    /// Time between two rounds. Stale records cost only a few packets in the meantime.
    std::chrono::milliseconds interval{std::chrono::minutes(10)};
    /// Time in which listed entries can answer; they are queried every half second.
    std::chrono::milliseconds answerTime{std::chrono::seconds(20)};
    /// After the store is restored from an older copy, each entry checks its record at a random
    /// time within this time multiplied by the number of listed entries: a hundred calls a second
    /// in total, a quarter of the limit of the smallest deployments.
    std::chrono::milliseconds checkSpread{10};
};

/// Reads all records and skips malformed ones.
result<std::vector<directory_entry>> readDirectory(platform_client &client, std::string_view kind);

/// Maintains an entry's record: reads the list, passes it to the handler, and writes its own record
/// unless the list has it, with retries. Repeats this in rounds and removes the records of entries
/// of its failure domain that are gone. All writes and removals are conditional.
class entry_registration
{
public:
    entry_registration(store_access access, std::string kind, directory_entry self,
        directory_handler onList, directory_timing timing = {});
    ~entry_registration();

    /// True during the part of a round in which answers of other entries count. Thread-safe.
    bool isCollectingAnswers() const { return m_collectingAnswers; }
    /// Records entries, by peer address, as alive in the current round. Thread-safe.
    void recordAlive(std::span<const endpoint> peers);
    /// Takes an era of the store that this process or others have seen. When the era increases, the
    /// own record is checked, and written again if the restored copy lacks it. Thread-safe.
    void observeEra(std::uint64_t era);

private:
    void run(const std::stop_token &stop);
    bool ensureRecord(const std::stop_token &stop, std::span<const listed_entry> records);
    bool writeWithRetries(const std::stop_token &stop, retry_backoff &backoff);
    void runRound(
        const std::stop_token &stop, std::vector<listed_entry> records, std::uint64_t era);
    bool waitFullTime(const std::stop_token &stop, std::chrono::milliseconds time);
    void checkRecord(const std::stop_token &stop);
    void remove(const listed_entry &record, const census_finding &found);

    store_access m_store;
    std::string m_kind;
    directory_entry m_self;
    directory_handler m_handler;
    directory_timing m_timing;
    platform_client m_client;
    std::mutex m_mutex;
    directory_census m_census;
    std::atomic<bool> m_collectingAnswers = false;
    std::condition_variable_any m_wake;
    std::uint64_t m_era = 0; ///< Guarded by the mutex.
    bool m_isCheckDue = false; ///< Guarded by the mutex.
    std::uint64_t m_censusEra = 0; ///< Era of the newest list that was compared.
    std::size_t m_listedEntries = 1; ///< Number of entries on the newest list.
    std::mt19937_64 m_random{std::random_device{}()};
    std::jthread m_thread;
};

/// Reads the list on its own thread until that succeeds once, and passes it to the handler.
class directory_lookup
{
public:
    directory_lookup(store_access access, std::string kind, directory_handler onList);
    ~directory_lookup();

private:
    store_access m_store;
    std::string m_kind;
    directory_handler m_handler;
    platform_client m_client;
    std::jthread m_thread;
};

} // namespace toucan
