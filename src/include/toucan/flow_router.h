#pragma once

/// Decides which member handles a packet, and distributes the ownership of flows among members.
///
/// The homes of a flow are the first two live members in the flow's rendezvous order. Each home
/// owns the flow or has a pointer to its owner. Owners send pointers when they open a flow and
/// whenever the homes change. Until members agree on the homes, a member without a pointer forwards
/// a packet to the first home in its own view.

#include <set>
#include <toucan/flow_table.h>
#include <toucan/target_context.h>

namespace toucan {

/// How to handle a packet.
struct routing_decision
{
    enum class kind : std::uint8_t {
        local, ///< Handle it here; the flow is open.
        forward, ///< Forward it to `to`.
        drop, ///< No member can handle it.
    };
    kind disposition = kind::drop;
    flow *localFlow = nullptr;
    endpoint to;
};

/// Routing of one target process. Used by its traffic thread alone.
class flow_router
{
public:
    flow_router(target_context &context, flow_table &flows);

    /// Routes a packet received from `from`, and opens its flow when it is new and assigned to this
    /// process.
    routing_decision route(const packet_header &header, const endpoint &from);

    /// Sends pointers after a change of members or liveness, and all pointers to restarted members
    /// until they are synchronized. Call about every 50 ms.
    void onTick();
    /// Records that another member owns these flows.
    void onPointers(const endpoint &from, const flow_pointers &message);

    /// Sends a pointer to the homes of a flow that this process owns.
    void announceOwned(const flow_key &key) { announce(key); }

    /// True when all live members have sent their pointers to this process, or the time limit for
    /// that has passed.
    bool isSynced() const { return m_synced; }
    /// Load of this process: owned flows per unit of `limit`, comparable between members.
    double ownLoad(std::uint64_t limit) const;
    /// Sets the concurrency limit of the own target, used to assign new flows.
    void setOwnLimit(std::uint64_t limit) { m_ownLimit = limit; }
    /// Number of further flows that the target can hold.
    std::uint64_t flowRoom() const;

    /// Member to hand an owned flow over to: the owner in a pointer if it takes flows, else the
    /// first live member in the flow's order that does; nullptr when there is none.
    const member *successor(const flow_key &key) const;

    /// Returns the flows to hand over because two members opened them and the other one keeps them.
    std::vector<flow_key> takeConflicts();

private:
    struct queued_pointers
    {
        endpoint address;
        std::vector<flow_pointer> flows;
    };

    std::vector<const member *> homes(const flow_key &key) const;
    const member *chooseOwner();
    flow &openOwned(const flow_key &key);
    void announce(const flow_key &key);
    void sendAllPointers(const member &to);
    void sendPart(const endpoint &to, std::vector<flow_pointer> &flows, bool complete);
    std::uint64_t aliveSetHash() const;
    bool ranksBefore(const flow_key &key, std::string_view left, std::string_view right) const;
    void queuePointer(const member &to, const flow_key &key);
    void flush();
    void updateSync();

    target_context &m_context;
    flow_table &m_flows;
    std::uint64_t m_ownLimit = 1;
    std::map<std::string, queued_pointers, std::less<>> m_queuedPointers;
    std::set<std::string, std::less<>>
        m_completeMembers; ///< Members that have sent all their pointers.
    std::map<std::string, instant, std::less<>>
        m_lastFullSend; ///< When all pointers were last sent.
    std::vector<flow_key> m_conflicts;
    std::uint64_t m_aliveSetHash = 0;
    instant m_lastRefresh{};
    bool m_synced = false;
};

} // namespace toucan
