#pragma once

/// The holder's side of claims: answers claim requests from its ledger, and synchronizes the ledger
/// with the other members when the list of members changes or the process restarts.
///
/// A holder grants no claim until it has fetched the claims of every other member under the current
/// list. Members of one failure domain may be missing: two of a key's holders are always outside
/// that domain, so every claim that a majority recorded is still fetched. A restarted process has
/// lost its own grants and counts as missing itself until its synchronization is complete.

#include <map>
#include <set>
#include <toucan/claim_ledger.h>
#include <toucan/target_context.h>

namespace toucan {

/// The claim holder of one target process. Used by the traffic thread alone.
class claim_holder
{
public:
    claim_holder(target_context &context, const ledger_options &options);

    /// Applies a request of any claimer, including this process, and returns the reply. Abstains
    /// until synchronized.
    claim_reply apply(const claim_request &request);

    /// Restarts the synchronization: the list of members changed, or the process was paused.
    void restartSync();
    /// Applies a changed configuration; restarts the synchronization when the list of holders
    /// differs.
    void onConfig();
    /// Sends claims to a member that synchronizes.
    void onPull(const endpoint &from, const ledger_pull &message);
    /// Imports a part of another member's claims.
    void onPart(const endpoint &from, const ledger_part &message);
    /// Repeats requests for claims and removes expired claims. Call about every 50 ms.
    void onTick();

    /// True when this holder may grant claims.
    bool isReady() const { return m_ready; }
    /// Number of claims recorded.
    std::size_t size() const { return m_ledger.size(); }

private:
    struct source
    {
        endpoint address;
        std::string domain;
        std::uint64_t cursor = 0;
        std::size_t parts = 0; ///< Received since the last request.
        std::map<std::uint64_t, std::uint64_t>
            outOfOrderParts; ///< Parts received out of order: cursor to next cursor.
        bool listed = true; ///< Still a holder under the current list.
        bool done = false; ///< All its claims are received.
        bool complete = false; ///< Its ledger covers the whole retention.
    };

    bool isLedgerComplete() const;
    bool areMissingClaimsTolerable() const;
    void pull(source &from);
    void finishIfPossible();

    target_context &m_context;
    ledger_options m_options;
    claim_ledger m_ledger;
    std::map<std::string, source, std::less<>> m_sources; ///< Members to fetch from.
    std::uint64_t m_listHash = 0;
    std::uint64_t m_round = 0;
    instant m_roundStarted{};
    instant m_lastPull{};
    bool m_ready = false;
    bool m_hasSynced = false; ///< Synchronized at least once since the start.
};

} // namespace toucan
