#include "relay_fleet_nodes.h"

#include <algorithm>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t callerNet = 0x64400000;
constexpr std::uint32_t callerAddresses = 1U << 16U;

std::string kindOf(byte_view datagram)
{
    if (isRelayPacket(datagram))
        return "segment";
    const auto message = decodeRelayMessage(datagram);
    const auto *value = valueOf(message);
    return value
        ? std::visit([]<class T>(const T &) { return std::string(fields_of<T>::name); }, *value)
        : "malformed";
}

} // namespace

void relay_fleet::entry_node::fetchConfig(const endpoint &from, const config_stamp &)
{
    const auto start = starts;
    fleet.after(fleet_layout::fetchTime, [this, from, start] {
        const auto *entry = fleet.entryAt(from);
        const auto *target = fleet.targetAt(from);
        const auto config = entry && entry->engine ? entry->engine->config()
            : target && target->engine             ? target->copy
                                                   : nullptr;
        if (config && engine && starts == start)
            engine->onConfig(fleet.m_now, config, "peer");
    });
}

relay_fleet::relay_fleet(relay_fleet_options options, const segment_codec &codec)
    : m_options(std::move(options))
    , m_codec(codec)
    , m_random(m_options.seed)
    , m_callers({.codec = codec,
          .firstIp = callerNet,
          .ips = callerAddresses,
          .send = [this](byte_buffer bytes) { sendFromCaller(std::move(bytes)); },
          .schedule = [this](auto delay, auto act) { after(delay, std::move(act)); },
          .onReset = [this](std::size_t flow) { checkReset(flow); },
          .onAnswer = [this](std::size_t flow) { m_answeredAt[flow] = m_now; }})
{
    if (!m_options.logs)
        event_log::silence();
    setRoutes({{mainAddress(), "main"}});
    for (std::size_t i = 0; i < m_options.entries; ++i)
        addEntry();
    for (std::size_t i = 0; i < m_options.targets; ++i)
        addTarget();
}

relay_fleet::~relay_fleet() = default;

// --- Time and network

void relay_fleet::after(std::chrono::microseconds delay, std::function<void()> act)
{
    m_events.at(m_now + delay, std::move(act));
}

void relay_fleet::run(std::chrono::milliseconds time)
{
    m_events.runUntil(m_now + time, m_now);
}

std::chrono::microseconds relay_fleet::delay()
{
    std::uniform_int_distribution<std::int64_t> micros(200, 1500);
    return std::chrono::microseconds(micros(m_random));
}

bool relay_fleet::lost()
{
    return std::bernoulli_distribution(m_options.loss)(m_random);
}

void relay_fleet::deliver(const endpoint &from, const endpoint &to, byte_buffer bytes)
{
    if (lost())
        return;
    // A filtered datagram takes its delay from the generator too, so that the others keep theirs.
    auto time = delay();
    if (m_options.domainDelay.count() > 0 && domainOf(from) != domainOf(to))
        time += m_options.domainDelay;
    if (isFiltered(from, to, bytes))
        return;
    after(time, [this, from, to, data = std::move(bytes)]() mutable {
        auto *fromEntry = entryAt(from);
        auto *toEntry = entryAt(to);
        auto *fromTarget = targetAt(from);
        auto *toTarget = targetAt(to);
        if (fromEntry && toTarget && m_cuts.contains({fromEntry->number, toTarget->number}))
            return;
        if (fromTarget && toEntry && m_cuts.contains({toEntry->number, fromTarget->number}))
            return;
        if (isInCutDomain(from) != isInCutDomain(to))
            return;
        if (toEntry && toEntry->engine && !toEntry->paused)
            toEntry->engine->onPeerBytes(m_now, from, data);
        if (toTarget && toTarget->engine)
            toTarget->engine->onPeerBytes(m_now, from, data);
    });
}

bool relay_fleet::isFiltered(const endpoint &from, const endpoint &to, byte_view bytes)
{
    if (!m_filter)
        return false;
    const auto isOfEntry = [&](const endpoint &peer) {
        const auto *entry = entryAt(peer);
        return entry && entry->number == m_filter->entry;
    };
    if (!isOfEntry(from) && !isOfEntry(to))
        return false;
    m_filtered.push_back(kindOf(bytes));
    return m_filter->lost.contains(m_filtered.size() - 1);
}

void relay_fleet::setFilter(datagram_filter filter)
{
    m_filter = std::move(filter);
    m_filtered.clear();
}

relay_fleet::entry_node *relay_fleet::entryAt(const endpoint &peer)
{
    const auto found
        = std::ranges::find(m_entries, peer, [](const auto &node) { return node->peer; });
    return found == m_entries.end() ? nullptr : found->get();
}

relay_fleet::target_node *relay_fleet::targetAt(const endpoint &peer)
{
    const auto found
        = std::ranges::find(m_targets, peer, [](const auto &node) { return node->peer; });
    return found == m_targets.end() ? nullptr : found->get();
}

bool relay_fleet::isInCutDomain(const endpoint &peer)
{
    const auto *entry = entryAt(peer);
    const auto *target = targetAt(peer);
    return (entry && m_cutDomains.contains(entry->domain))
        || (target && m_cutDomains.contains(target->domain));
}

// --- Callers

std::size_t relay_fleet::openFlowIn(const std::string &domain)
{
    const auto flow = m_callers.open(mainAddress());
    m_callerDomains[flow] = domain;
    m_openedAt[flow] = m_now;
    return flow;
}

std::optional<std::chrono::microseconds> relay_fleet::answeredAfter(std::size_t flow) const
{
    const auto found = m_answeredAt.find(flow);
    const auto opened = m_openedAt.find(flow);
    if (found == m_answeredAt.end() || opened == m_openedAt.end())
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::microseconds>(found->second - opened->second);
}

// Empty for callers that use any entry.
std::string relay_fleet::domainOfCaller(byte_view bytes, bool isSender) const
{
    if (m_callerDomains.empty())
        return {};
    const auto head = m_codec.decode(bytes);
    const auto flow
        = head ? m_callers.flowOf(isSender ? head->source : head->destination) : std::nullopt;
    const auto found = flow ? m_callerDomains.find(*flow) : m_callerDomains.end();
    return found == m_callerDomains.end() ? std::string() : found->second;
}

std::string relay_fleet::domainOf(const endpoint &peer)
{
    if (const auto *entry = entryAt(peer))
        return entry->domain;
    const auto *target = targetAt(peer);
    return target ? target->domain : std::string();
}

relay_fleet::entry_node *relay_fleet::chooseEntry(const std::string &domain)
{
    std::vector<entry_node *> usable;
    for (const auto &node : m_entries) {
        if (node->engine && (m_usedEntries.empty() || m_usedEntries.contains(node->number))
            && (domain.empty() || node->domain == domain))
            usable.push_back(node.get());
    }
    if (usable.empty())
        return nullptr;
    return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(m_random)];
}

void relay_fleet::sendFromCaller(byte_buffer bytes)
{
    auto *entry = chooseEntry(domainOfCaller(bytes, true));
    if (!entry || lost())
        return;
    after(delay(), [this, number = entry->number, data = std::move(bytes)]() mutable {
        auto &node = *m_entries[number];
        if (node.engine && !node.paused)
            node.engine->onCallerBytes(m_now, data);
    });
}

void relay_fleet::toCaller(const std::string &fromDomain, byte_buffer bytes)
{
    auto time = delay();
    const auto domain = domainOfCaller(bytes, false);
    if (!domain.empty() && domain != fromDomain)
        time += m_options.domainDelay;
    after(time, [this, data = std::move(bytes)] { m_callers.onSegment(data); });
}

void relay_fleet::checkReset(std::size_t flow)
{
    const auto &key = m_callers.key(flow);
    const bool held = std::ranges::any_of(
        m_targets, [&](const auto &node) { return node->engine && node->target.holds(key); });
    if (held && wantedConfig()->routeAt(key.service))
        m_violations.push_back(
            "flow " + std::to_string(flow) + " was reset while its target holds it");
}

std::optional<std::size_t> relay_fleet::holder(std::size_t flow) const
{
    const auto found = std::ranges::find_if(
        m_targets, [&](const auto &node) { return node->target.holds(m_callers.key(flow)); });
    return found == m_targets.end() ? std::nullopt : std::optional((*found)->number);
}

// --- Entries

std::vector<endpoint> relay_fleet::seeds() const
{
    std::vector<endpoint> list;
    for (std::size_t i = 0; i < std::min<std::size_t>(m_options.entries, 3); ++i)
        list.push_back({.ip = fleet_layout::entryNet + static_cast<std::uint32_t>(i),
            .port = fleet_layout::peerPort});
    return list;
}

// The list of entries in the store: all that ever started.
std::vector<entry_place> relay_fleet::listedEntries() const
{
    std::vector<entry_place> list(m_entries.size());
    std::ranges::transform(m_entries, list.begin(), [](const auto &node) {
        return entry_place{.address = node->peer, .domain = node->domain};
    });
    return list;
}

std::size_t relay_fleet::addEntry()
{
    m_entries.push_back(std::make_unique<entry_node>(*this, m_entries.size()));
    startEntry(m_entries.size() - 1);
    return m_entries.size() - 1;
}

relay_entry_options relay_fleet::entryOptions(const entry_node &node)
{
    return {.name = "e" + std::to_string(node.number),
        .domain = node.domain,
        .peer = node.peer,
        .seeds = seeds(),
        .domains = m_options.domains,
        .place = m_options.place,
        .boot = m_random()};
}

void relay_fleet::startEntry(std::size_t entry)
{
    auto &node = *m_entries[entry];
    node.engine = std::make_unique<relay_entry>(
        entryOptions(node), m_codec, node, node.metrics, node.log, m_now);
    node.paused = false;
    const auto start = ++node.starts;
    after(20ms, [this, entry, start] {
        if (m_entries[entry]->starts != start)
            return;
        if (m_storeReachable)
            m_entries[entry]->engine->onEntries(m_now, listedEntries());
        publish(*m_entries[entry]);
    });
    tickEntry(entry, start);
}

void relay_fleet::killEntry(std::size_t entry)
{
    m_entries[entry]->engine.reset();
    ++m_entries[entry]->starts;
}

void relay_fleet::leaveEntry(std::size_t entry)
{
    m_entries[entry]->engine->startLeaving(m_now);
}

void relay_fleet::pauseEntry(std::size_t entry, std::chrono::milliseconds time)
{
    auto &node = *m_entries[entry];
    node.paused = true;
    after(time, [this, entry, start = node.starts] {
        auto &resumed = *m_entries[entry];
        if (!resumed.engine || resumed.starts != start)
            return;
        resumed.paused = false;
        resumed.engine->onPause(m_now);
        publish(resumed);
    });
}

bool relay_fleet::entryIsReady(std::size_t entry) const
{
    return m_entries[entry]->engine && m_entries[entry]->engine->isReady(m_now);
}

void relay_fleet::tickEntry(std::size_t entry, std::uint64_t start)
{
    auto &node = *m_entries[entry];
    if (!node.engine || node.starts != start)
        return;
    after(fleet_layout::tick, [this, entry, start] { tickEntry(entry, start); });
    if (node.paused)
        return;
    node.engine->onTick(m_now);
    // An entry that has to follow the store from now on reads it.
    const auto follows = node.engine->shouldFollowStore(m_now).value_or(true);
    if (follows != std::exchange(node.follows, follows))
        publish(node);
}

void relay_fleet::publish(entry_node &entry)
{
    if (!entry.engine || entry.paused)
        return;
    const bool follows = entry.engine->shouldFollowStore(m_now).value_or(true);
    entry.engine->onStoreStanding(m_now,
        !follows               ? store_standing::not_asked
            : m_storeReachable ? store_standing::followed
                               : store_standing::lost);
    if (!m_storeReachable || !follows)
        return;
    entry.engine->onConfig(m_now, store().config, "store");
    entry.engine->onDomains(m_now, store().domains, "store");
}

// --- Store and links

void relay_fleet::setStore(bool reachable)
{
    m_storeReachable = reachable;
    for (const auto &entry : m_entries)
        after(5ms, [this, number = entry->number] { publish(*m_entries[number]); });
}

void relay_fleet::setRoutes(
    const std::vector<std::pair<endpoint, std::string>> &routes, double coldRate)
{
    boost::intrusive_ptr<relay_config> config(new relay_config);
    // Irregular steps, as operators' tools make them.
    m_version += 1 + m_writes.size() % 3;
    config->stamp.version = m_version;
    config->text = "version " + std::to_string(config->stamp.version);
    std::set<std::string> services;
    for (const auto &[address, service] : routes) {
        config->routeIndex[address] = config->routes.size();
        config->routes.push_back(
            {.name = toString(address), .address = address, .shares = {{.service = service}}});
        if (services.insert(service).second)
            config->services.push_back({.name = service, .flows = 2000, .coldRate = coldRate});
    }
    write({.config = config});
}

void relay_fleet::setDomainsOut(std::vector<std::string> names)
{
    std::ranges::sort(names);
    write({.domainsOut = std::move(names)});
}

// The operators' tools write in order: what a copy lacks comes first.
void relay_fleet::write(operator_write item)
{
    m_writes.push_back(std::move(item));
    while (repeatWrite()) { }
}

bool relay_fleet::repeatWrite()
{
    if (store().writes == m_writes.size())
        return false;
    apply(m_writes[store().writes], store().writes + 1);
    return true;
}

void relay_fleet::repeatNewest()
{
    const operator_write config{.config = wantedConfig()};
    const operator_write domains{.domainsOut = wantedDomainsOut()};
    for (const auto &item : {config, domains}) {
        m_writes.push_back(item);
        apply(item, m_writes.size());
    }
}

void relay_fleet::dropLostWrites()
{
    m_writes.resize(store().writes);
}

// `writes`: how many of the operators' writes the store has then, or needs no more.
void relay_fleet::apply(const operator_write &item, std::size_t writes)
{
    auto next = store();
    next.since = m_now;
    next.writes = writes;
    const store_point point{.era = m_storeEra, .revision = ++next.revision};
    if (item.config) {
        boost::intrusive_ptr<relay_config> config(new relay_config(*item.config));
        config->stamp.point = point;
        next.config = std::move(config);
    } else {
        next.domains = {.point = point, .names = item.domainsOut};
        std::erase_if(
            m_outSince, [&](const auto &out) { return !next.domains.contains(out.first); });
        for (const auto &name : item.domainsOut)
            m_outSince.try_emplace(name, m_now);
    }
    m_history.push_back(std::move(next));
    setStore(m_storeReachable);
}

void relay_fleet::restoreStore(std::chrono::milliseconds age)
{
    const auto lost = std::ranges::find_if(
        m_history, [&](const store_state &item) { return item.since > m_now - age; });
    // The first configuration is older than any copy.
    const auto kept = std::max<std::ptrdiff_t>(lost - m_history.begin(), 2);
    m_history.resize(static_cast<std::size_t>(kept));
    ++m_storeEra;
    boost::intrusive_ptr<relay_config> config(new relay_config(*store().config));
    config->stamp.point.era = m_storeEra;
    store().config = std::move(config);
    store().domains.point = {.era = m_storeEra, .revision = store().revision};
    setStore(m_storeReachable);
}

relay_config_ptr relay_fleet::wantedConfig() const
{
    const auto newest = std::find_if(m_writes.rbegin(), m_writes.rend(),
        [](const operator_write &item) { return item.config != nullptr; });
    return newest == m_writes.rend() ? nullptr : newest->config;
}

std::vector<std::string> relay_fleet::wantedDomainsOut() const
{
    const auto newest = std::find_if(m_writes.rbegin(), m_writes.rend(),
        [](const operator_write &item) { return item.config == nullptr; });
    return newest == m_writes.rend() ? std::vector<std::string>() : newest->domainsOut;
}

std::uint64_t relay_fleet::wantedVersion() const
{
    return stampOf(wantedConfig()).version;
}

std::optional<std::uint64_t> relay_fleet::entryVersion(std::size_t entry) const
{
    const auto &engine = m_entries[entry]->engine;
    return engine ? std::optional(stampOf(engine->config()).version) : std::nullopt;
}

std::optional<std::vector<std::string>> relay_fleet::entryDomainsOut(std::size_t entry) const
{
    const auto &engine = m_entries[entry]->engine;
    return engine ? std::optional(engine->domains().names) : std::nullopt;
}

std::optional<std::vector<std::string>> relay_fleet::targetDomainsOut(std::size_t target) const
{
    const auto &engine = m_targets[target]->engine;
    return engine ? std::optional(engine->domains().names) : std::nullopt;
}

void relay_fleet::setCut(std::size_t entry, std::size_t target, bool cut)
{
    if (cut)
        m_cuts.insert({entry, target});
    else
        m_cuts.erase({entry, target});
}

void relay_fleet::setDomainCut(const std::string &domain, bool cut)
{
    if (cut)
        m_cutDomains.insert(domain);
    else
        m_cutDomains.erase(domain);
}

} // namespace toucan::lab
