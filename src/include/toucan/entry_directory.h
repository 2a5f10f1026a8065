#pragma once

/// The list of entries in the platform's store: each entry keeps a record of itself there, and
/// processes whose seeds are all down find the others by it.

#include <toucan/store_follower.h>

namespace toucan {

/// An entry's record.
struct directory_entry
{
    std::string name; ///< Name of the VM.
    endpoint peer; ///< Address for other processes.
};

/// Called on the directory's thread with all entries on the list.
using directory_handler = std::function<void(std::vector<endpoint>)>;

/// Writes an entry's record, conditionally, until it stands, and then reads the list once.
class entry_registration
{
public:
    entry_registration(
        store_access access, std::string kind, directory_entry self, directory_handler onList);
    ~entry_registration();

private:
    void run(const std::stop_token &stop);

    store_access m_store;
    std::string m_kind;
    directory_entry m_self;
    directory_handler m_handler;
    platform_client m_client;
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
