#pragma once

/// Decides which member handles a packet, and keeps members in agreement on who owns which flow.
///
/// The home of a flow, the first live member in the flow's order, owns the flow or has a pointer to
/// its owner; so does the second. Owners send pointers when they open a flow and whenever the first
/// two change. Homes may be wrong for a while: a member without knowledge passes a packet on to the
/// member that it takes for the home.

#include <set>
#include <toucan/flow_table.h>
#include <toucan/target_context.h>

namespace toucan {

/// What to do with a packet.
struct routing_decision
{
    enum class kind : std::uint8_t {
        local, ///< Handle it here; the flow is open.
        forward, ///< Pass it on to `to`.
        drop, ///< Nobody can handle it.
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

    /// Decides for a packet of a flow that came from `from`, and opens the flow when it is new and
    /// to be owned here.
    routing_decision route(const packet_header &header, const endpoint &from);

    /// Sends pointers that are due after a change of members or liveness, and resolves the owner's
    /// part in a restart of other members. Call every 50 ms or so.
    void onTick();
    /// Another member owns these flows.
    void onPointers(const endpoint &from, const flow_pointers &message);

    /// Tells the homes of a flow that it is owned here.
    void announceOwned(const flow_key &key) { announce(key); }

    /// True when all live members have sent the pointers due to this process.
    bool isSynced() const { return m_synced; }
    /// Load that this process and its target are under, comparable between members.
    double ownLoad(std::uint64_t limit) const;
    /// Sets the limit of the own target, used to place new flows.
    void setOwnLimit(std::uint64_t limit) { m_ownLimit = limit; }
    /// Flows that the target can still hold.
    std::uint64_t flowRoom() const;

    /// A member to hand an owned flow to: the first live one in the flow's order that takes flows;
    /// nullptr when there is none.
    const member *successor(const flow_key &key) const;

    /// Flows that this process should hand to another owner because two members opened them.
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
    std::set<std::string, std::less<>> m_completeMembers; ///< Members whose pointers are all here.
    std::map<std::string, instant, std::less<>>
        m_lastFullSend; ///< When all pointers were last sent.
    std::vector<flow_key> m_conflicts;
    std::uint64_t m_aliveSetHash = 0;
    instant m_lastRefresh{};
    bool m_synced = false;
};

} // namespace toucan
