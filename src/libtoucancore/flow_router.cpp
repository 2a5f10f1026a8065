#include <algorithm>
#include <toucan/flow_router.h>
#include <toucan/ranking.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Members that have a pointer to the owner of a flow.
constexpr std::size_t homeCount = 2;
// A packet is dropped after this many forwards between members.
constexpr std::uint64_t maxHops = 4;
constexpr std::size_t maxPointersPerMessage = 40;
// Interval at which a restarted member is sent all pointers until it reports that it is synced.
constexpr auto fullSendInterval = 400ms;
// Time after the start until a member opens flows even if pointers of other members are missing.
constexpr auto syncTimeout = 3s;
// Interval at which owners repeat their pointers.
constexpr auto refreshInterval = 60s;
// Pointers that were not repeated for this time are removed.
constexpr auto pointerLifetime = 180s;
// A new flow is assigned to another member only when the own load exceeds the other's by this
// factor.
constexpr double placementMargin = 1.1;

} // namespace

flow_router::flow_router(target_context &context, flow_table &flows)
    : m_context(context)
    , m_flows(flows)
{ }

std::vector<const member *> flow_router::homes(const flow_key &key) const
{
    const auto *service = m_context.service();
    if (!service)
        return {};
    auto ranked = rankedMembers(hashFlow(key), service->members);
    std::erase_if(ranked, [&](const member *item) { return !m_context.isAlive(item->name); });
    if (ranked.size() > homeCount)
        ranked.resize(homeCount);
    return ranked;
}

std::uint64_t flow_router::flowRoom() const
{
    const auto *service = m_context.service();
    const std::uint64_t bound = service ? service->record.connections : 0;
    return bound - std::min<std::uint64_t>(bound, m_flows.ownedCount());
}

double flow_router::ownLoad(std::uint64_t limit) const
{
    return static_cast<double>(m_flows.ownedCount())
        / static_cast<double>(std::max<std::uint64_t>(limit, 1));
}

const member *flow_router::chooseOwner()
{
    const auto *service = m_context.service();
    const auto *self = m_context.selfMember();
    std::vector<const member *> others;
    for (const auto &item : service->members) {
        if (item.name == m_context.self.name || !item.takesFlows() || !m_context.isAlive(item.name))
            continue;
        const auto &state = m_context.peers.find(item.name)->second;
        if (state.lastHeartbeat.flowRoom > state.sentSinceHeartbeat)
            others.push_back(&item);
    }
    const bool canOwnHere = self && self->takesFlows() && flowRoom() > 0;
    if (others.empty())
        return canOwnHere ? self : nullptr;
    const auto loadOf = [&](const member *item) {
        const auto &state = m_context.peers.find(item->name)->second;
        return static_cast<double>(state.lastHeartbeat.flows + state.sentSinceHeartbeat)
            / static_cast<double>(std::max<std::uint64_t>(state.lastHeartbeat.limit, 1));
    };
    // The less loaded of two random members: balances load without sending all new flows to the
    // one member that reported the least.
    std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
    const auto *first = others[pick(m_context.random)];
    const auto *second = others[pick(m_context.random)];
    const auto *best = loadOf(first) <= loadOf(second) ? first : second;
    if (canOwnHere
        && ownLoad(m_ownLimit)
            <= loadOf(best) * placementMargin + 1.0 / static_cast<double>(m_ownLimit))
        return self;
    return best;
}

flow &flow_router::openOwned(const flow_key &key)
{
    m_flows.erasePointer(key);
    flow &opened = m_flows.open(key, m_context.now);
    announce(key);
    return opened;
}

void flow_router::announce(const flow_key &key)
{
    for (const auto *home : homes(key)) {
        if (home->name != m_context.self.name)
            queuePointer(*home, key);
    }
}

routing_decision flow_router::route(const packet_header &header, const endpoint &from)
{
    using kind = routing_decision::kind;
    const flow_key key{.caller = header.caller, .service = header.service};
    const auto *service = m_context.service();
    flow *known = m_flows.find(key);
    const bool spilled = header.kind == static_cast<std::uint64_t>(packet_kind::spilled);
    if (known && (spilled || !known->spilledOnly) && !known->closing)
        return {.disposition = kind::local, .localFlow = known};
    if (!service)
        return {};
    if (spilled) {
        flow &spilledFlow = known ? *known : m_flows.open(key, m_context.now);
        if (!known)
            m_flows.markSpilledOnly(spilledFlow);
        return {.disposition = kind::local, .localFlow = &spilledFlow};
    }
    if (header.hops >= maxHops)
        return {};
    if (const auto *found = m_flows.findPointer(key)) {
        const auto *owner = service->find(found->owner);
        const bool usable
            = owner && !owner->out && m_context.isAlive(owner->name) && owner->data != from;
        if (usable && owner->name != m_context.self.name)
            return {.disposition = kind::forward, .to = owner->data};
        m_flows.erasePointer(key);
    }
    const auto candidates = homes(key);
    const auto *self = m_context.selfMember();
    const bool isHome = !candidates.empty() && candidates.front()->name == m_context.self.name;
    const bool mayOpen = self && self->takesFlows();
    if (!isHome && !candidates.empty() && (header.hops == 0 || !mayOpen)
        && candidates.front()->data != from)
        return {.disposition = kind::forward, .to = candidates.front()->data};
    // While pointers are missing here, the second home may be the previous home and have them.
    if (isHome && !m_synced && candidates.size() > 1 && candidates[1]->data != from
        && header.hops < 2)
        return {.disposition = kind::forward, .to = candidates[1]->data};
    const auto *owner = header.hops == 0 ? chooseOwner() : (mayOpen ? self : chooseOwner());
    if (!owner)
        return {};
    if (owner->name != m_context.self.name) {
        m_flows.setPointer(key, owner->name, m_context.now);
        ++m_context.peers.find(owner->name)->second.sentSinceHeartbeat;
        return {.disposition = kind::forward, .to = owner->data};
    }
    if (known)
        m_flows.close(key);
    return {.disposition = kind::local, .localFlow = &openOwned(key)};
}

void flow_router::queuePointer(const member &to, const flow_key &key)
{
    auto &due = m_queuedPointers[to.name];
    due.address = to.data;
    due.flows.push_back({.caller = key.caller, .service = key.service});
    if (due.flows.size() >= maxPointersPerMessage)
        sendPart(due.address, due.flows, false);
}

void flow_router::sendPart(const endpoint &to, std::vector<flow_pointer> &flows, bool complete)
{
    m_context.send(to,
        flow_pointers{.owner = m_context.self.name,
            .version = m_context.version(),
            .flows = std::move(flows),
            .complete = complete});
    flows.clear();
}

void flow_router::flush()
{
    for (auto &[name, due] : m_queuedPointers) {
        if (!due.flows.empty())
            sendPart(due.address, due.flows, false);
    }
}

void flow_router::sendAllPointers(const member &to)
{
    std::vector<flow_pointer> flows;
    m_flows.forEach([&](const flow &item) {
        if (item.spilledOnly || item.closing)
            return;
        const auto list = homes(item.key);
        if (std::ranges::find(list, to.name, &member::name) == list.end())
            return;
        flows.push_back({.caller = item.key.caller, .service = item.key.service});
        if (flows.size() >= maxPointersPerMessage)
            sendPart(to.data, flows, false);
    });
    sendPart(to.data, flows, true);
}

std::uint64_t flow_router::aliveSetHash() const
{
    const auto *service = m_context.service();
    std::string text;
    if (service) {
        for (const auto &item : service->members) {
            if (item.isListed() && m_context.isAlive(item.name))
                text += item.name + '\n';
        }
    }
    return hashText(text);
}

void flow_router::updateSync()
{
    const auto *service = m_context.service();
    if (m_synced || !service || !m_context.selfMember())
        return;
    const bool all = std::ranges::all_of(service->members, [&](const member &item) {
        const bool counts = item.name != m_context.self.name && m_context.isAlive(item.name);
        return !counts || m_completeMembers.contains(item.name);
    });
    // Right after the start no peer has sent a heartbeat yet.
    const bool settled = m_context.now - m_context.started > target_context::peerTimeout;
    m_synced = (all && settled) || m_context.now - m_context.started > syncTimeout;
}

void flow_router::onTick()
{
    updateSync();
    const auto *service = m_context.service();
    if (!service)
        return;
    const auto alive = aliveSetHash();
    const bool changed = alive != m_aliveSetHash;
    m_aliveSetHash = alive;
    const bool refresh = m_context.now - m_lastRefresh > refreshInterval;
    if (changed || refresh) {
        m_lastRefresh = m_context.now;
        m_flows.forEach([&](const flow &item) {
            if (!item.spilledOnly && !item.closing)
                announce(item.key);
        });
        m_flows.expirePointers(m_context.now - pointerLifetime);
    }
    for (const auto &item : service->members) {
        const auto peer = m_context.peers.find(item.name);
        if (peer == m_context.peers.end() || peer->second.lastHeartbeat.synced
            || !m_context.isAlive(item.name))
            continue;
        instant &sent = m_lastFullSend[item.name];
        if (sent != instant{} && m_context.now - sent < fullSendInterval)
            continue;
        sent = m_context.now;
        sendAllPointers(item);
    }
    flush();
}

bool flow_router::ranksBefore(
    const flow_key &key, std::string_view left, std::string_view right) const
{
    const auto hash = hashFlow(key);
    return rankWeight(hash, hashText(left)) > rankWeight(hash, hashText(right));
}

void flow_router::onPointers(const endpoint &from, const flow_pointers &message)
{
    const auto *service = m_context.service();
    const auto *owner = service ? service->find(message.owner) : nullptr;
    if (!owner || owner->data != from)
        return;
    if (message.complete)
        m_completeMembers.insert(message.owner);
    for (const auto &item : message.flows) {
        const flow_key key{.caller = item.caller, .service = item.service};
        const flow *own = m_flows.find(key);
        if (!own || own->spilledOnly || own->closing) {
            m_flows.setPointer(key, message.owner, m_context.now);
            continue;
        }
        // Two members opened the flow; the first in the flow's order keeps it.
        if (ranksBefore(key, m_context.self.name, message.owner)) {
            queuePointer(*owner, key);
        } else {
            m_flows.setPointer(key, message.owner, m_context.now);
            m_conflicts.push_back(key);
        }
    }
}

const member *flow_router::successor(const flow_key &key) const
{
    const auto *service = m_context.service();
    if (!service)
        return nullptr;
    if (const auto *found = m_flows.findPointer(key)) {
        const auto *owner = service->find(found->owner);
        if (owner && owner->takesFlows() && m_context.isAlive(owner->name))
            return owner;
    }
    return firstMember(hashFlow(key), service->members, [&](const member &item) {
        return item.takesFlows() && item.name != m_context.self.name
            && m_context.isAlive(item.name);
    });
}

std::vector<flow_key> flow_router::takeConflicts()
{
    return std::exchange(m_conflicts, {});
}

} // namespace toucan
