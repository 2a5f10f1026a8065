#pragma once

/// The holder's side of claims: answers claim requests from its ledger, and keeps the ledger whole
/// when the list of members changes or the process restarts.
///
/// A holder grants nothing until it has fetched the claims of every other member under the current
/// list, except that members of one failure domain may be missing: two of a key's holders are
/// always outside that domain, so every claim that a majority recorded reaches it. A process that
/// restarted has lost its own grants and counts as one of the missing until it has caught up.

#include <map>
#include <set>
#include <toucan/claim_ledger.h>
#include <toucan/target_context.h>

namespace toucan {

/// One holder. Used by the traffic thread alone.
class claim_holder
{
public:
    claim_holder(target_context &context, const ledger_options &options);

    /// Applies a request of any claimer, the own process included.
    claim_reply apply(const claim_request &request);

    /// Starts over catching up: the list of members changed, or the process was paused.
    void restartSync();
    /// The configuration changed; starts catching up when the list of holders is another one.
    void onConfig();
    /// Answers a member that catches up.
    void onPull(const endpoint &from, const ledger_pull &message);
    /// Takes in a part of another member's claims.
    void onPart(const endpoint &from, const ledger_part &message);
    /// Repeats requests and forgets what is too old. Call every 50 ms or so.
    void onTick();

    /// True when this holder may grant claims.
    bool isReady() const { return m_ready; }
    /// Claims held.
    std::size_t size() const { return m_ledger.size(); }

private:
    struct source
    {
        endpoint address;
        std::string domain;
        std::uint64_t cursor = 0;
        std::size_t parts = 0; ///< Received since the last request.
        std::map<std::uint64_t, std::uint64_t>
            outOfOrderParts; ///< Parts that came before their turn: cursor and next.
        bool listed = true; ///< Still a holder itself.
        bool done = false; ///< All its claims are here.
        bool complete = false; ///< Its memory reaches back far enough.
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
    bool m_hasSynced = false; ///< Caught up at least once since the start.
};

} // namespace toucan
