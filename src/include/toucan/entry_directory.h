#pragma once

/// The list of entries in the platform's store: each entry keeps a record of itself there, and
/// processes whose seeds are all down find the others by it.

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

/// Rhythm in which an entry compares the list with the entries that answer.
struct directory_timing
{
    /// Between two rounds: records that are left behind cost nothing but a few packets meanwhile.
    std::chrono::milliseconds interval{std::chrono::minutes(10)};
    /// Time in which listed entries can answer; they are asked each half second.
    std::chrono::milliseconds answerTime{std::chrono::seconds(20)};
    /// After the store's return from an older copy, entries look for their records within this
    /// time for each listed entry: a hundred calls a second, a quarter of what the smallest
    /// deployments may make.
    std::chrono::milliseconds checkSpread{10};
};

/// Reads all records; those that cannot be read are left out.
result<std::vector<directory_entry>> readDirectory(platform_client &client, std::string_view kind);

/// Keeps an entry's record: reads the list, hands it out, and writes the own record, conditionally,
/// until it stands, unless it does already. From time to time does so again and removes,
/// conditionally too, the records of entries of its failure domain that are gone.
class entry_registration
{
public:
    entry_registration(store_access access, std::string kind, directory_entry self,
        directory_handler onList, directory_timing timing = {});
    ~entry_registration();

    /// True while it matters which entries answer.
    bool isCollectingAnswers() const { return m_collectingAnswers; }
    /// Peer addresses of entries that were heard lately. Thread-safe.
    void noteAlive(std::span<const endpoint> peers);
    /// Era of the store that this process or others have met. After a rise the own record is looked
    /// for, and written again when the older copy lacks it. Thread-safe.
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
    std::uint64_t m_censusEra = 0; ///< Of the newest list that was compared.
    std::size_t m_listedEntries = 1; ///< On the newest list.
    std::mt19937_64 m_random{std::random_device{}()};
    std::jthread m_thread;
};

/// Reads the list once, with retries.
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
