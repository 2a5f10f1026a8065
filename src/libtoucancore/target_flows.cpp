#include <algorithm>
#include <toucan/target_engine.h>

// Part of target_engine: handover of flows, watches, silent flows and the end of all flows.

namespace toucan {
namespace {

using namespace std::chrono_literals;

// An upload counts as in progress until this time after its latest block.
constexpr auto uploadTimeout = 5s;
constexpr auto handoverRetry = 300ms;
// Interval of attempts to register a watch again.
constexpr auto replayInterval = 500ms;
// A watch is stale this time after its latest notification has exceeded its maximum age.
constexpr auto watchGrace = 1s;
// Minimum interval between replacements of a flow's local socket.
constexpr auto reopenInterval = 1s;
constexpr std::uint64_t maxAgeLimitSeconds = 86'400;

} // namespace

void target_engine::handle(const endpoint &from, const flow_handover &message)
{
    const flow_key key{.caller = message.caller, .service = message.service};
    const auto *service = m_context.service();
    const auto *self = m_context.selfMember();
    if (!service || service->record.address != key.service)
        return;
    const bool accepted = self && self->takesFlows() && m_router.flowRoom() > 0;
    m_context.send(from,
        flow_accepted{.member = m_context.self.name,
            .caller = key.caller,
            .service = key.service,
            .accepted = accepted});
    if (!accepted)
        return;
    flow *item = m_flows.find(key);
    if (!item)
        item = &m_flows.open(key, m_context.now);
    m_flows.markOwned(*item);
    item->closing = false;
    item->entry = message.entry;
    m_flows.erasePointer(key);
    m_router.announceOwned(key);
    for (const auto &state : message.watches) {
        const auto parsed = coap::parse(state.request);
        const auto *request = valueOf(parsed);
        if (!request || item->findWatch(request->token))
            continue;
        item->watches.push_back({.token = request->token,
            .request = state.request,
            .replayPending = true,
            .established = true});
    }
}

void target_engine::handle(const endpoint &, const flow_accepted &message)
{
    const flow_key key{.caller = message.caller, .service = message.service};
    flow *item = m_flows.find(key);
    if (!item || item->handoverSent == instant{} || m_requests.isBusy(*item))
        return;
    item->handoverSent = {};
    if (!message.accepted)
        return;
    m_flows.setPointer(key, message.member, m_context.now);
    closeFlow(key);
    m_metrics.numberOf("toucan_flows_handed_over_total").add();
}

// Records a registration. Returns true when it is a copy of one whose watch is established.
bool target_engine::isKnownRegistration(
    flow &item, const coap::message &message, byte_view datagram)
{
    const auto *known = item.findWatch(message.token);
    if (known)
        return known->established && known->isRegisteredBy(message);
    item.watches.push_back({.token = message.token,
        .request = byte_buffer(datagram.begin(), datagram.end()),
        .lastNotified = m_context.now});
    return false;
}

void target_engine::onWatchAnswer(flow &item, const coap::message &message, bool isAnswer)
{
    watch *known = item.findWatch(message.token);
    if (!known)
        return;
    known->lastNotified = m_context.now;
    if (const auto age = message.number(coap::option_number::max_age))
        known->maxAge = std::chrono::seconds(std::min<std::uint64_t>(*age, maxAgeLimitSeconds));
    const bool ends = !message.find(coap::option_number::observe);
    known->established = known->established || !ends;
    if (known->replayPending) {
        // Registration at a target without room is repeated; no error is sent to the caller.
        if (message.messageCode == coap::code::service_unavailable)
            return;
        // The caller registered at another target, so this answer is sent to it as a notification.
        coap::message notification = message;
        notification.messageType = coap::type::non_confirmable;
        notification.id = ++m_lastMessageId;
        known->replayPending = false;
        sendToCaller(item, coap::serialize(notification));
    } else if (!isAnswer) {
        known->lastId = message.id;
        sendToCaller(item, coap::serialize(message));
    }
    if (ends)
        std::erase_if(item.watches,
            [&](const watch &each) { return std::ranges::equal(each.token, message.token); });
}

void target_engine::reopenSilentFlows()
{
    const auto isStale = [&](const watch &each) {
        return !each.replayPending && m_context.now - each.lastNotified > each.maxAge + watchGrace;
    };
    m_flows.forEach([&](flow &item) {
        const bool reopenedRecently
            = item.lastReopened != instant{} && m_context.now - item.lastReopened < reopenInterval;
        const bool silent = m_requests.isSilent(item) || std::ranges::any_of(item.watches, isStale);
        if (reopenedRecently || !silent)
            return;
        // The network path to the target may have lost its state for this socket; a new socket
        // restores traffic.
        m_metrics.numberOf("toucan_flows_reopened_total").add();
        item.lastReopened = m_context.now;
        m_context.actions.emplace_back(close_target_flow{item.key});
        m_requests.resend(item);
        for (auto &each : item.watches)
            each.replayPending = true;
    });
}

void target_engine::replayWatches()
{
    m_flows.forEach([&](flow &item) {
        for (auto &each : item.watches) {
            if (!each.replayPending || m_context.now - each.lastNotified < replayInterval)
                continue;
            each.lastNotified = m_context.now;
            m_requests.replay(item, each.request);
        }
    });
}

void target_engine::handOver(flow &item, const member &to)
{
    item.handoverSent = m_context.now;
    flow_handover message{.from = m_context.self.name,
        .caller = item.key.caller,
        .service = item.key.service,
        .entry = item.entry};
    std::ranges::transform(item.watches, std::back_inserter(message.watches),
        [](const watch &each) { return watch_state{each.request}; });
    m_context.send(to.data, message);
}

void target_engine::drainFlows()
{
    const auto *self = m_context.selfMember();
    std::vector<flow_key> leaving = m_router.takeConflicts();
    if (self && self->stopping) {
        m_flows.forEach([&](const flow &item) {
            if (!item.spilledOnly)
                leaving.push_back(item.key);
        });
    }
    for (const auto &key : leaving) {
        flow *item = m_flows.find(key);
        if (!item || m_requests.isBusy(*item))
            continue;
        if (item->lastUploadBlock != instant{}
            && m_context.now - item->lastUploadBlock < uploadTimeout)
            continue;
        if (item->handoverSent != instant{} && m_context.now - item->handoverSent < handoverRetry)
            continue;
        if (const auto *to = m_router.successor(key))
            handOver(*item, *to);
    }
}

// Spilled requests run on flows that are not owned, so the requests are checked as well.
bool target_engine::isDrained() const
{
    return m_flows.ownedCount() == 0 && m_requests.isIdle() && isStopInForceAtPeers();
}

// Peers may send requests to this member until the configuration with the stop is in force there.
bool target_engine::isStopInForceAtPeers() const
{
    return m_stopVersion && std::ranges::all_of(m_context.peers, [&](const auto &item) {
        return item.second.lastHeartbeat.version >= *m_stopVersion
            || !m_context.isAlive(item.first);
    });
}

void target_engine::giveUpFlows()
{
    m_requests.giveUpAll();
    std::vector<flow_key> keys;
    m_flows.forEach([&](const flow &item) {
        keys.push_back(item.key);
        for (const auto &each : item.watches) {
            const auto &row = errorInfo(error_kind::domain_out);
            coap::message last{.messageType = coap::type::non_confirmable};
            last.messageCode = static_cast<coap::code>(row.coapCode);
            last.id = ++m_lastMessageId;
            last.token = each.token;
            last.addNumber(coap::option_number::max_age, 1);
            last.payload.assign(row.name.begin(), row.name.end());
            sendToCaller(item, coap::serialize(last));
        }
    });
    std::ranges::for_each(keys, [&](const flow_key &key) { closeFlow(key); });
}

} // namespace toucan
