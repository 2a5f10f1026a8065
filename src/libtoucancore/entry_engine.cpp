#include <algorithm>
#include <toucan/entry_engine.h>
#include <toucan/ranking.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// A member whose reply is overdue by this time is probed.
constexpr auto probeAfter = 100ms;
constexpr auto probeInterval = 100ms;
// A member whose reply is overdue by this time is skipped in favour of the next.
constexpr auto suspectAfter = 350ms;
constexpr auto peerProbeInterval = 1s;
// Other entries probed in each round, to detect newer configurations.
constexpr std::size_t probedPeers = 2;
// Members probed in each round, so that a member without traffic also receives from an entry.
constexpr std::size_t probedMembers = 2;
constexpr auto staleNoticeInterval = 100ms;

} // namespace

entry_engine::entry_engine(const entry_options &options, metrics::registry &metrics)
    : m_options(options)
    , m_unknownService(metrics.numberOf("toucan_unknown_service_packets_total"))
    , m_random(options.seed)
{ }

std::vector<action> entry_engine::takeActions()
{
    return std::exchange(m_actions, {});
}

void entry_engine::send(const endpoint &to, const peer_message &message)
{
    m_actions.emplace_back(send_datagram{to, encodeMessage(message)});
}

bool entry_engine::isSuspected(const member &item, instant now) const
{
    const auto found = m_unanswered.find(item.data);
    return found != m_unanswered.end() && found->second.waitingSince != instant{}
    && now - found->second.waitingSince > suspectAfter;
}

entry_decision entry_engine::onCallerPacket(
    instant now, const endpoint &caller, const endpoint &service)
{
    const auto *view = m_config ? m_config->serviceAt(service) : nullptr;
    if (!view) {
        m_unknownService.add();
        return {};
    }
    const flow_key key{.caller = caller, .service = service};
    const auto hash = hashFlow(key);
    const auto *chosen = firstMember(hash, view->members, [&](const member &item) {
        return item.isListed() && (m_unanswered.empty() || !isSuspected(item, now));
    });
    if (!chosen)
        chosen
            = firstMember(hash, view->members, [](const member &item) { return item.isListed(); });
    if (!chosen)
        return {};
    auto &health = m_unanswered[chosen->data];
    if (health.waitingSince == instant{})
        health.waitingSince = now;
    const bool traced = m_options.traceEvery != 0 && m_packets++ % m_options.traceEvery == 0;
    return {.to = chosen->data,
        .header = {.kind = static_cast<std::uint64_t>(packet_kind::to_target),
            .caller = caller,
            .service = service,
            .entry = m_options.data,
            .version = m_config->version,
            .trace = traced ? m_random() : 0}};
}

error_kind entry_engine::undeliverableKind(
    const endpoint &service, const coap::message &request) const
{
    if (!m_config || !m_config->serviceAt(service))
        return error_kind::no_such_service;
    return coap::isIdempotent(request.messageCode) ? error_kind::overloaded
                                                   : error_kind::outcome_unknown;
}

bool entry_engine::onReturnPacket(instant now, const endpoint &from, const packet_header &header)
{
    m_unanswered.erase(from);
    if (header.version != version())
        reconcileVersion(now, from, header.version);
    return header.kind == static_cast<std::uint64_t>(packet_kind::to_caller) && m_config
        && m_config->serviceAt(header.service) != nullptr;
}

void entry_engine::reconcileVersion(instant now, const endpoint &from, std::uint64_t other)
{
    instant &lastNotice = m_lastVersionNotice[from];
    if (lastNotice != instant{} && now - lastNotice < staleNoticeInterval)
        return;
    lastNotice = now;
    if (other > version())
        send(from, probe{.version = version(), .control = m_options.control});
    else
        send(from, probe_reply{.version = version(), .control = m_options.control});
}

void entry_engine::onMessage(instant now, const endpoint &from, const peer_message &message)
{
    m_unanswered.erase(from);
    if (const auto *query = std::get_if<probe>(&message)) {
        send(from, probe_reply{.version = version(), .control = m_options.control});
        if (query->version > version())
            m_actions.emplace_back(pull_config{query->control, query->version});
    } else if (const auto *reply = std::get_if<probe_reply>(&message)) {
        if (reply->version > version())
            m_actions.emplace_back(pull_config{reply->control, reply->version});
        else if (reply->version < version())
            reconcileVersion(now, from, reply->version);
    }
}

void entry_engine::onConfig(instant, const config_ptr &config)
{
    if (config->version <= version())
        return;
    m_config = config;
    std::unordered_map<endpoint, member_health> kept;
    for (const auto &service : config->services) {
        for (const auto &item : service.members) {
            if (const auto found = m_unanswered.find(item.data);
                found != m_unanswered.end() && item.isListed())
                kept.insert(*found);
        }
    }
    m_unanswered = std::move(kept);
    m_lastVersionNotice.clear();
}

void entry_engine::probePeers(instant now)
{
    if (!m_config || m_config->entries.empty() || now - m_lastPeerProbe < peerProbeInterval)
        return;
    m_lastPeerProbe = now;
    std::uniform_int_distribution<std::size_t> pick(0, m_config->entries.size() - 1);
    for (std::size_t i = 0; i < probedPeers; ++i) {
        const auto &peer = m_config->entries[pick(m_random)];
        if (peer.data != m_options.data)
            send(peer.data, probe{.version = version(), .control = m_options.control});
    }
    probeMembers();
}

void entry_engine::probeMembers()
{
    if (m_config->services.empty())
        return;
    std::uniform_int_distribution<std::size_t> pickService(0, m_config->services.size() - 1);
    for (std::size_t i = 0; i < probedMembers; ++i) {
        const auto &members = m_config->services[pickService(m_random)].members;
        if (members.empty())
            continue;
        std::uniform_int_distribution<std::size_t> pick(0, members.size() - 1);
        const auto &chosen = members[pick(m_random)];
        if (!chosen.out)
            send(chosen.data, probe{.version = version(), .control = m_options.control});
    }
}

void entry_engine::onTick(instant now)
{
    for (auto &[address, health] : m_unanswered) {
        if (now - health.waitingSince < probeAfter || now - health.lastProbe < probeInterval)
            continue;
        health.lastProbe = now;
        send(address, probe{.version = version(), .control = m_options.control});
    }
    probePeers(now);
}

void entry_engine::sendLeaveNotices()
{
    if (!m_config)
        return;
    for (const auto &service : m_config->services) {
        for (const auto &item : service.members) {
            if (!item.out)
                send(item.data,
                    probe_reply{
                        .version = version(), .control = m_options.control, .leaving = true});
        }
    }
}

std::size_t entry_engine::suspectedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_unanswered, [](const auto &item) { return item.second.lastProbe != instant{}; }));
}

} // namespace toucan
