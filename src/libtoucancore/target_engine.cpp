#include <algorithm>
#include <toucan/ranking.h>
#include <toucan/target_engine.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

constexpr auto heartbeatInterval = 250ms;
constexpr auto probeInterval = 500ms;
// Number of live entries that a target process probes, so that notifications without a preceding
// packet have an entry to pass through.
constexpr std::size_t probedEntries = 3;
// A longer gap between two events means that the process was paused.
constexpr auto pauseThreshold = 500ms;
// Time without activity after which a flow without watches and requests is closed.
constexpr auto idleTimeout = 120s;
constexpr auto drainInterval = 100ms;
constexpr auto removalInterval = 1s;
// Minimum interval of notices to a sender with an older configuration.
constexpr auto staleNoticeInterval = 100ms;

target_context makeContext(const target_options &options, instant now)
{
    target_context context;
    context.self = options.identity;
    context.policy = options.policy;
    context.random.seed(options.seed);
    context.now = now;
    context.started = now;
    return context;
}

} // namespace

target_engine::target_engine(const target_options &options, metrics::registry &metrics, instant now)
    : m_context(makeContext(options, now))
    , m_metrics(metrics)
    , m_holder(m_context, options.ledger)
    , m_router(m_context, m_flows)
    , m_requests(m_context, m_flows, m_holder, metrics)
    , m_removal(m_context)
{
    m_requests.setSpillHandler(
        [this](const packet_header &header, byte_view payload) { return spill(header, payload); });
}

std::vector<action> target_engine::takeActions()
{
    return std::exchange(m_context.actions, {});
}

void target_engine::advance(instant now)
{
    const auto gap = now - m_context.now;
    m_context.now = now;
    if (gap < pauseThreshold)
        return;
    // Received state is outdated after a pause, and other members may have granted claims
    // meanwhile: they must be fetched again.
    m_metrics.numberOf("toucan_pauses_total").add();
    m_holder.restartSync();
}

void target_engine::onDatagram(instant now, const endpoint &from, byte_view datagram)
{
    advance(now);
    if (const auto packet = decodePacket(datagram)) {
        onPacket(from, *packet);
        return;
    }
    const auto message = decodeMessage(datagram);
    if (const auto *value = valueOf(message))
        onMessage(from, *value);
    else
        m_metrics.numberOf("toucan_malformed_datagrams_total").add();
}

void target_engine::reconcileVersion(const endpoint &from, std::uint64_t version)
{
    if (version > m_context.version()) {
        m_context.send(
            from, probe{.version = m_context.version(), .control = m_context.self.control});
        return;
    }
    if (version == m_context.version())
        return;
    instant &lastNotice = m_lastStaleNotice[from];
    if (lastNotice != instant{} && m_context.now - lastNotice < staleNoticeInterval)
        return;
    lastNotice = m_context.now;
    m_context.send(
        from, probe_reply{.version = m_context.version(), .control = m_context.self.control});
}

void target_engine::onPacket(const endpoint &from, const decoded_packet &packet)
{
    packet_header header = packet.header;
    ++m_packets;
    if (from == header.entry)
        m_context.entries[from].lastSeen = m_context.now;
    if (header.version != m_context.version())
        reconcileVersion(from, header.version);
    const auto *service = m_context.service();
    if (!service || service->record.address != header.service) {
        m_metrics.numberOf("toucan_misrouted_packets_total").add();
        return;
    }
    if (m_context.policy == target_policy::hash) {
        const flow_key key{.caller = header.caller, .service = header.service};
        flow *known = m_flows.find(key);
        deliver(known ? *known : m_flows.open(key, m_context.now), header, packet.payload);
        return;
    }
    const auto decision = m_router.route(header, from);
    switch (decision.disposition) {
    case routing_decision::kind::local:
        deliver(*decision.localFlow, header, packet.payload);
        return;
    case routing_decision::kind::forward:
        ++header.hops;
        header.version = m_context.version();
        m_context.sendPacket(decision.to, header, packet.payload);
        m_context.actions.emplace_back(record_span{header.trace, "forward", m_context.self.name});
        return;
    case routing_decision::kind::drop:
        m_metrics.numberOf("toucan_unroutable_packets_total").add();
        return;
    }
}

void target_engine::deliver(flow &item, const packet_header &header, byte_view payload)
{
    item.entry = header.entry;
    item.lastFromCaller = m_context.now;
    m_flows.touch(item, m_context.now);
    const auto *service = m_context.service();
    if (service->record.protocol != "coap") {
        m_context.actions.emplace_back(
            send_to_target{item.key, byte_buffer(payload.begin(), payload.end())});
        return;
    }
    const auto parsed = coap::parse(payload);
    const auto *message = valueOf(parsed);
    if (!message) {
        m_metrics.numberOf("toucan_malformed_requests_total").add();
        constexpr std::size_t coapHeader = 4;
        if (payload.size() < coapHeader)
            return;
        coap::message reset{.messageType = coap::type::reset};
        reset.id = static_cast<std::uint16_t>((payload[2] << 8U) | payload[3]);
        sendToCaller(item, coap::serialize(reset));
        return;
    }
    if (!message->isRequest()) {
        onEmptyMessage(item, *message, payload);
        return;
    }
    if (message->number(coap::option_number::observe) == 1U)
        std::erase_if(item.watches,
            [&](const watch &each) { return std::ranges::equal(each.token, message->token); });
    const auto *self = m_context.selfMember();
    const bool leaving
        = self && self->stopping && header.kind != static_cast<std::uint64_t>(packet_kind::spilled);
    const bool uploading = message->find(coap::option_number::block1) != nullptr;
    const bool watching = message->number(coap::option_number::observe) == 0U;
    if (leaving && !uploading && !watching && spill(header, payload))
        return;
    if (watching && isKnownRegistration(item, *message, payload)) {
        // The answer may have been lost; the target sends it again without running the request.
        m_context.actions.emplace_back(
            send_to_target{item.key, byte_buffer(payload.begin(), payload.end())});
        return;
    }
    m_requests.onRequest(item, header, *message, payload);
}

void target_engine::onEmptyMessage(flow &item, const coap::message &message, byte_view payload)
{
    if (message.messageType == coap::type::reset)
        std::erase_if(item.watches, [&](const watch &each) { return each.lastId == message.id; });
    m_context.actions.emplace_back(
        send_to_target{item.key, byte_buffer(payload.begin(), payload.end())});
}

bool target_engine::spill(const packet_header &header, byte_view payload)
{
    const auto *service = m_context.service();
    if (!service)
        return false;
    const auto freeCapacityOf = [&](const member *item) -> std::int64_t {
        const auto &state = m_context.peers.find(item->name)->second;
        return static_cast<std::int64_t>(state.lastHeartbeat.limit)
            - static_cast<std::int64_t>(state.lastHeartbeat.inProgress + state.sentSinceHeartbeat);
    };
    std::vector<const member *> others;
    for (const auto &item : service->members) {
        if (item.name != m_context.self.name && item.takesFlows() && m_context.isAlive(item.name)
            && freeCapacityOf(&item) > 0)
            others.push_back(&item);
    }
    if (others.empty())
        return false;
    std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
    const auto *first = others[pick(m_context.random)];
    const auto *second = others[pick(m_context.random)];
    const auto *best = freeCapacityOf(first) >= freeCapacityOf(second) ? first : second;
    packet_header passed = header;
    passed.kind = static_cast<std::uint64_t>(packet_kind::spilled);
    passed.version = m_context.version();
    ++passed.hops;
    ++m_context.peers.find(best->name)->second.sentSinceHeartbeat;
    m_context.sendPacket(best->data, passed, payload);
    m_context.actions.emplace_back(record_span{header.trace, "spill", m_context.self.name});
    return true;
}

void target_engine::sendToCaller(const flow &item, byte_view payload)
{
    const auto entry = m_context.returnEntry(item.entry);
    const packet_header header{.kind = static_cast<std::uint64_t>(packet_kind::to_caller),
        .caller = item.key.caller,
        .service = item.key.service,
        .entry = entry,
        .version = m_context.version()};
    m_context.sendPacket(entry, header, payload);
}

void target_engine::onTargetDatagram(instant now, const flow_key &key, byte_view datagram)
{
    advance(now);
    flow *item = m_flows.find(key);
    if (!item)
        return;
    m_flows.touch(*item, now);
    const auto *service = m_context.service();
    if (!service || service->record.protocol != "coap" || m_context.policy == target_policy::hash) {
        sendToCaller(*item, datagram);
        return;
    }
    const auto parsed = coap::parse(datagram);
    const auto *message = valueOf(parsed);
    if (!message) {
        m_metrics.numberOf("toucan_malformed_answers_total").add();
        return;
    }
    if (!message->isResponse()) {
        sendToCaller(*item, datagram);
        return;
    }
    const bool isAnswer = m_requests.onResponse(*item, *message);
    item = m_flows.find(key);
    if (item && item->findWatch(message->token))
        onWatchAnswer(*item, *message, isAnswer);
    else if (item && !isAnswer && message->messageCode == coap::code::continue_upload)
        sendToCaller(*item, datagram);
}

void target_engine::onMessage(const endpoint &from, const peer_message &message)
{
    std::visit([&](const auto &body) { handle(from, body); }, message);
}

void target_engine::handle(const endpoint &from, const heartbeat &message)
{
    const auto *service = m_context.service();
    const auto *sender = service ? service->find(message.member) : nullptr;
    if (message.version != m_context.version())
        reconcileVersion(from, message.version);
    if (!sender || sender->data != from)
        return;
    m_context.peers[message.member] = {.lastHeartbeat = message, .lastSeen = m_context.now};
    std::uint64_t fastest = 0;
    for (const auto &[name, state] : m_context.peers) {
        const auto latency = state.lastHeartbeat.latencyUs;
        if (latency != 0 && m_context.isAlive(name) && (fastest == 0 || latency < fastest))
            fastest = latency;
    }
    m_requests.targetAdmission().setReferenceLatency(instant(fastest));
}

void target_engine::handle(const endpoint &from, const claim_request &message)
{
    m_context.send(from, m_holder.apply(message));
}

void target_engine::handle(const endpoint &from, const claim_reply &message)
{
    if (message.version > m_context.version())
        reconcileVersion(from, message.version);
    m_requests.onClaimReply(from, message);
}

void target_engine::handle(const endpoint &from, const ledger_pull &message)
{
    if (message.version > m_context.version())
        reconcileVersion(from, message.version);
    m_holder.onPull(from, message);
}

void target_engine::handle(const endpoint &from, const ledger_part &message)
{
    m_holder.onPart(from, message);
}

void target_engine::handle(const endpoint &from, const flow_pointers &message)
{
    m_router.onPointers(from, message);
}

void target_engine::handle(const endpoint &from, const probe &message)
{
    m_context.send(
        from, probe_reply{.version = m_context.version(), .control = m_context.self.control});
    if (message.version > m_context.version())
        m_context.actions.emplace_back(pull_config{message.control, message.version});
}

void target_engine::handle(const endpoint &from, const probe_reply &message)
{
    auto &liveness = m_context.entries[from];
    liveness.lastSeen = m_context.now;
    if (message.leaving)
        liveness.lastLeaveNotice = m_context.now;
    if (message.version > m_context.version())
        m_context.actions.emplace_back(pull_config{message.control, message.version});
}

void target_engine::closeFlow(const flow_key &key)
{
    m_context.actions.emplace_back(close_target_flow{key});
    m_flows.close(key);
}

void target_engine::onConfig(instant now, const config_ptr &config)
{
    advance(now);
    if (m_context.config && config->version <= m_context.config->version)
        return;
    m_context.config = config;
    // The next tick sends a heartbeat with the new version.
    m_lastHeartbeat = {};
    m_holder.onConfig();
    m_requests.onConfig();
    const auto *self = m_context.selfMember();
    if (!self || !self->stopping)
        m_stopVersion.reset();
    else if (!m_stopVersion)
        m_stopVersion = config->version;
    const bool out = config->isOut(m_context.self.domain);
    if (out && !m_wasOut && self && m_context.policy != target_policy::hash)
        giveUpFlows();
    m_wasOut = out;
}

void target_engine::onHealth(instant now, bool healthy)
{
    advance(now);
    m_requests.targetAdmission().onHealth(now, healthy);
}

void target_engine::sendHeartbeats()
{
    const auto *service = m_context.service();
    const auto *self = m_context.selfMember();
    if (!service || !self)
        return;
    const heartbeat message{.member = m_context.self.name,
        .boot = m_context.self.boot,
        .version = m_context.version(),
        .inProgress = m_requests.targetAdmission().inProgress() + m_requests.waiting(),
        .limit = m_requests.targetAdmission().limit(),
        .flows = m_flows.ownedCount(),
        .flowRoom = m_router.flowRoom(),
        .synced = m_router.isSynced(),
        .latencyUs
        = static_cast<std::uint64_t>(m_requests.targetAdmission().typicalLatency().count())};
    for (const auto &item : service->members) {
        if (item.name != m_context.self.name && (!item.out || self->out))
            m_context.send(item.data, message);
    }
}

void target_engine::probeEntries()
{
    if (!m_context.config)
        return;
    const auto &entries = m_context.config->entries;
    const auto ownHash = hashText(m_context.self.name);
    std::vector<const entry_view *> ranked;
    std::ranges::transform(
        entries, std::back_inserter(ranked), [](const auto &item) { return &item; });
    std::ranges::sort(ranked, std::greater<>(),
        [&](const auto *item) { return rankWeight(ownHash, item->nameHash); });
    // Probes entries in order of preference until enough live ones are probed. Silent entries
    // before them are probed too, so that they are used again once they reply.
    std::size_t live = 0;
    for (const auto *item : ranked) {
        if (live >= probedEntries)
            break;
        live += m_context.isEntryAlive(item->data) ? 1 : 0;
        m_context.send(
            item->data, probe{.version = m_context.version(), .control = m_context.self.control});
    }
}

void target_engine::onTick(instant now)
{
    advance(now);
    if (m_context.policy != target_policy::hash) {
        m_router.setOwnLimit(m_requests.targetAdmission().limit());
        m_holder.onTick();
        m_requests.onTick();
        m_router.onTick();
    }
    if (now - m_lastHeartbeat >= heartbeatInterval) {
        m_lastHeartbeat = now;
        sendHeartbeats();
    }
    if (now - m_lastProbe >= probeInterval) {
        m_lastProbe = now;
        probeEntries();
    }
    if (now - m_lastRemoval >= removalInterval) {
        m_lastRemoval = now;
        m_removal.onTick();
    }
    if (now - m_lastDrain >= drainInterval) {
        m_lastDrain = now;
        drainFlows();
        reopenSilentFlows();
        replayWatches();
        for (const auto &key : m_flows.idleSince(now - idleTimeout))
            closeFlow(key);
    }
}

target_status target_engine::status() const
{
    const auto *self = m_context.selfMember();
    const auto stateOf = [&]() -> std::string {
        if (!self)
            return "starting";
        if (self->out)
            return "out";
        if (self->stopping)
            return isDrained() ? "drained" : "draining";
        const bool ready = m_holder.isReady() || m_context.policy == target_policy::hash;
        return ready ? "serving" : "starting";
    };
    return {.version = m_context.version(),
        .flows = m_flows.ownedCount(),
        .inProgress = m_requests.targetAdmission().inProgress(),
        .limit = m_requests.targetAdmission().limit(),
        .claims = m_holder.size(),
        .packets = m_packets,
        .state = stateOf()};
}

} // namespace toucan
