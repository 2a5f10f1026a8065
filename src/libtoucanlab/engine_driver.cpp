#include <algorithm>
#include <fmt/format.h>
#include <toucan/lab/engine_driver.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t memberNetwork = 0x7f010000;
constexpr std::uint32_t entryNetwork = 0x7f020000;
constexpr std::uint32_t callerIp = 0x7f030001;
constexpr endpoint serviceAddress{.ip = 0x7f040001, .port = 5683};
constexpr std::uint16_t dataPort = 7000;
constexpr auto tickInterval = 20ms;
// One datagram in this many is very late.
constexpr int lateOneIn = 50;
constexpr std::size_t tokenSize = 8;
constexpr std::size_t mostMembers = 200;

} // namespace

engine_driver::engine_driver(const driver_options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::size_t i = 0; i < options.entries; ++i) {
        const endpoint data{
            .ip = entryNetwork | static_cast<std::uint32_t>(i + 1), .port = dataPort};
        m_entries.push_back(std::make_unique<entry_engine>(
            entry_options{.data = data, .control = data, .seed = m_random()}, m_metrics));
    }
    m_members.reserve(mostMembers);
    for (std::size_t i = 0; i < options.members; ++i)
        join();
    publish(0s);
    at(m_now + tickInterval, [this] { tick(); });
    run(2s);
}

void engine_driver::at(instant when, std::function<void()> act)
{
    m_events.push({when, ++m_order, std::move(act)});
}

void engine_driver::run(instant time)
{
    const auto end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        next.act();
    }
    m_now = end;
}

std::string engine_driver::memberName(std::size_t member) const
{
    return m_members[member].name;
}

std::string engine_driver::domainOf(std::size_t member) const
{
    return m_members[member].domain;
}

target_status engine_driver::status(std::size_t member) const
{
    return m_members[member].engine->status();
}

std::size_t engine_driver::notifications(std::uint16_t callerPort) const
{
    const auto found = m_notifications.find(callerPort);
    return found == m_notifications.end() ? 0 : found->second;
}

void engine_driver::join()
{
    const auto index = m_members.size();
    driven_member item;
    item.name = fmt::format("m{}", index);
    item.domain = fmt::format("d{}", index % m_options.domains);
    item.data = {.ip = memberNetwork | static_cast<std::uint32_t>(index + 1), .port = dataPort};
    m_members.push_back(std::move(item));
    boot(index);
}

void engine_driver::boot(std::size_t member)
{
    auto &item = m_members[member];
    item.boot = ++m_lastBoot;
    item.running = true;
    item.frozen = false;
    item.held.clear();
    item.watches.clear();
    item.engine = std::make_unique<target_engine>(target_options{.identity = {.name = item.name,
                                                                     .service = "s",
                                                                     .domain = item.domain,
                                                                     .data = item.data,
                                                                     .control = item.data,
                                                                     .boot = item.boot},
                                                      .policy = m_options.policy,
                                                      .seed = m_random(),
                                                      .ledger = m_options.ledger},
        m_metrics, m_now);
}

void engine_driver::kill(std::size_t member)
{
    m_members[member].running = false;
}

void engine_driver::restart(std::size_t member)
{
    m_members[member].firstBoot = false;
    boot(member);
}

void engine_driver::freeze(std::size_t member)
{
    m_members[member].frozen = true;
}

void engine_driver::thaw(std::size_t member)
{
    auto &item = m_members[member];
    item.frozen = false;
    for (auto &act : std::exchange(item.held, {}))
        act();
}

void engine_driver::leaveEntry(std::size_t entry)
{
    m_entries[entry]->sendLeaveNotices();
    carryOutEntry(entry);
    m_leftEntries.insert(entry);
}

void engine_driver::cutDomains(std::size_t left, std::size_t right)
{
    m_cuts.emplace_back(fmt::format("d{}", left), fmt::format("d{}", right));
}

void engine_driver::heal()
{
    m_cuts.clear();
}

void engine_driver::setDomainOut(std::size_t domain, bool out)
{
    m_domainsOut[fmt::format("d{}", domain)] = out;
}

void engine_driver::setStopping(std::size_t member, bool stopping)
{
    m_stops[m_members[member].name] = stopping;
}

std::vector<stored_object> engine_driver::objects() const
{
    std::vector<stored_object> all{{.kind = "service",
        .name = "s",
        .version = 1,
        .body = {{"schema", 2}, {"address", toString(serviceAddress)}, {"slots", m_options.slots},
            {"coldSlots", m_options.slots}}}};
    for (const auto &item : m_members) {
        all.push_back({.kind = "member",
            .name = item.name,
            .version = 1,
            .body = {{"schema", 2}, {"service", "s"}, {"domain", item.domain},
                {"data", toString(item.data)}, {"control", toString(item.data)},
                {"boot", item.boot}, {"firstBoot", item.firstBoot}}});
    }
    for (const auto &[domain, out] : m_domainsOut)
        all.push_back({.kind = "domain",
            .name = domain,
            .version = 1,
            .body = {{"schema", 2}, {"state", out ? "out" : "in"}}});
    for (const auto &[name, stopping] : m_stops) {
        if (stopping)
            all.push_back({.kind = "stop", .name = name, .version = 1, .body = {{"schema", 2}}});
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const endpoint data{
            .ip = entryNetwork | static_cast<std::uint32_t>(i + 1), .port = dataPort};
        all.push_back({.kind = "entry",
            .name = fmt::format("e{}", i),
            .version = 1,
            .body = {{"schema", 2}, {"domain", "d0"}, {"data", toString(data)},
                {"control", toString(data)}, {"boot", 1}}});
    }
    return all;
}

void engine_driver::publish(instant spread)
{
    m_config = buildConfig(++m_version, objects());
    const auto after = [&] {
        return m_now
            + instant(std::uniform_int_distribution<std::int64_t>(0, spread.count())(m_random));
    };
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        at(after(), [this, i, config = m_config] {
            toMember(i, [this, i, config] { m_members[i].engine->onConfig(m_now, config); });
        });
    }
    for (auto &entry : m_entries)
        at(after(), [this, &entry, config = m_config] { entry->onConfig(m_now, config); });
}

void engine_driver::tick()
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        auto &item = m_members[i];
        if (!item.running || item.frozen)
            continue;
        item.engine->onTick(m_now);
        carryOut(i);
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_leftEntries.contains(i))
            continue;
        m_entries[i]->onTick(m_now);
        carryOutEntry(i);
    }
    at(m_now + tickInterval, [this] { tick(); });
}

void engine_driver::toMember(std::size_t member, const std::function<void()> &act)
{
    auto &item = m_members[member];
    if (!item.running)
        return;
    if (item.frozen) {
        item.held.push_back([this, member, act] { toMember(member, act); });
        return;
    }
    act();
    carryOut(member);
}

bool engine_driver::isCut(const std::string &left, const std::string &right) const
{
    return std::ranges::any_of(m_cuts, [&](const auto &cut) {
        return (cut.first == left && cut.second == right)
            || (cut.first == right && cut.second == left);
    });
}

void engine_driver::transmit(
    const std::string &from, const endpoint &to, const endpoint &source, const byte_buffer &bytes)
{
    const auto receiver = std::ranges::find(m_members, to, &driven_member::data);
    if (receiver != m_members.end() && !from.empty() && isCut(from, receiver->domain))
        return;
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(m_random) < m_options.drop)
        return;
    const int copies = chance(m_random) < m_options.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        std::uniform_int_distribution<std::int64_t> jitter(0, m_options.jitter.count());
        auto delay = m_options.delay + instant(jitter(m_random));
        if (std::uniform_int_distribution<int>(1, lateOneIn)(m_random) == 1)
            delay += instant(
                std::uniform_int_distribution<std::int64_t>(0, m_options.late.count())(m_random));
        at(m_now + delay, [this, source, to, bytes] { deliver(source, to, bytes); });
    }
}

void engine_driver::deliver(const endpoint &from, const endpoint &to, const byte_buffer &bytes)
{
    const auto member = std::ranges::find(m_members, to, &driven_member::data);
    if (member != m_members.end()) {
        const auto index = static_cast<std::size_t>(member - m_members.begin());
        toMember(index, [this, index, from, bytes] {
            m_members[index].engine->onDatagram(m_now, from, bytes);
        });
        return;
    }
    const auto index = static_cast<std::size_t>((to.ip & 0xffU) - 1);
    if ((to.ip & ~0xffU) != entryNetwork || index >= m_entries.size()
        || m_leftEntries.contains(index))
        return;
    if (const auto packet = decodePacket(bytes)) {
        if (m_entries[index]->onReturnPacket(m_now, from, packet->header))
            callerReceives({packet->header.caller, packet->header.service}, packet->payload);
    } else if (const auto message = decodeMessage(bytes); valueOf(message)) {
        m_entries[index]->onMessage(m_now, from, *valueOf(message));
    }
    carryOutEntry(index);
}

void engine_driver::carryOutEntry(std::size_t entry)
{
    const endpoint self{
        .ip = entryNetwork | static_cast<std::uint32_t>(entry + 1), .port = dataPort};
    for (const auto &item : m_entries[entry]->takeActions()) {
        if (const auto *datagram = std::get_if<send_datagram>(&item))
            transmit({}, datagram->to, self, datagram->bytes);
        else if (std::holds_alternative<pull_config>(item))
            at(m_now + 2ms,
                [this, entry, config = m_config] { m_entries[entry]->onConfig(m_now, config); });
    }
}

void engine_driver::carryOut(std::size_t member)
{
    auto &item = m_members[member];
    for (const auto &each : item.engine->takeActions()) {
        if (const auto *datagram = std::get_if<send_datagram>(&each)) {
            ++item.sent.datagrams;
            item.sent.bytes += datagram->bytes.size();
        }
        if (const auto *datagram = std::get_if<send_datagram>(&each))
            transmit(item.domain, datagram->to, item.data, datagram->bytes);
        else if (const auto *passed = std::get_if<send_to_target>(&each))
            targetReceives(member, passed->flow, passed->bytes);
        else if (const auto *closed = std::get_if<close_target_flow>(&each))
            m_silenced.erase(closed->flow.caller.port);
        else if (const auto *removal = std::get_if<remove_member>(&each))
            m_removals.push_back(removal->name);
        else if (std::holds_alternative<pull_config>(each))
            at(m_now + 2ms, [this, member, config = m_config] {
                toMember(member,
                    [this, member, config] { m_members[member].engine->onConfig(m_now, config); });
            });
    }
}

void engine_driver::submit(std::uint16_t callerPort, const byte_buffer &key, std::uint64_t attempt)
{
    coap::message message{.messageCode = coap::code::post};
    message.addText(coap::option_number::uri_path, "submit");
    message.add(coap::option_number::request_tag, key);
    message.addNumber(coap::option_number::attempt, attempt);
    message.id = static_cast<std::uint16_t>(m_random());
    message.token.resize(tokenSize);
    std::ranges::generate(message.token, [&] { return static_cast<std::uint8_t>(m_random()); });
    m_asked[{callerPort, message.token}] = {key, attempt};
    request(callerPort, message);
}

std::size_t engine_driver::chooseEntry()
{
    std::uniform_int_distribution<std::size_t> pick(0, m_entries.size() - 1);
    auto entry = pick(m_random);
    while (m_leftEntries.contains(entry))
        entry = pick(m_random);
    return entry;
}

void engine_driver::request(std::uint16_t callerPort, const coap::message &message)
{
    const endpoint caller{.ip = callerIp, .port = callerPort};
    m_asked.try_emplace({callerPort, message.token});
    const auto bytes = coap::serialize(message);
    std::uniform_real_distribution<double> chance(0, 1);
    const int copies = chance(m_random) < m_options.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto entry = chooseEntry();
        const auto decision = m_entries[entry]->onCallerPacket(m_now, caller, serviceAddress);
        if (!decision.to)
            continue;
        const endpoint self{
            .ip = entryNetwork | static_cast<std::uint32_t>(entry + 1), .port = dataPort};
        transmit({}, decision.to, self, encodePacket(decision.header, bytes));
    }
}

void engine_driver::targetReceives(
    std::size_t member, const flow_key &flow, const byte_buffer &bytes)
{
    auto &item = m_members[member];
    if (m_silenced.contains(flow.caller.port))
        return;
    ++item.passed;
    const auto parsed = coap::parse(bytes);
    const auto *message = valueOf(parsed);
    if (!message || !message->isRequest())
        return;
    if (message->messageCode == coap::code::post)
        m_runs.push_back({message->find(coap::option_number::request_tag)->value,
            message->number(coap::option_number::attempt).value_or(0), item.name, m_now});
    at(m_now + m_options.serviceTime, [this, member, boot = item.boot, flow, request = *message] {
        targetAnswers(member, boot, flow, request);
    });
}

void engine_driver::targetAnswers(
    std::size_t member, std::uint64_t boot, const flow_key &flow, const coap::message &request)
{
    if (m_members[member].boot != boot)
        return;
    auto response = coap::responseTo(request, coap::code::changed, 0);
    if (request.number(coap::option_number::observe) == 0U) {
        response.messageCode = coap::code::content;
        response.addNumber(coap::option_number::observe,
            static_cast<std::uint64_t>(m_now.count() / 1000) & 0xffffffU);
    }
    const auto *tag = request.find(coap::option_number::request_tag);
    response.payload = tag ? tag->value : byte_buffer{1};
    const auto bytes = coap::serialize(response);
    toMember(member, [this, member, flow, bytes] {
        m_members[member].engine->onTargetDatagram(m_now, flow, bytes);
    });
}

void engine_driver::callerReceives(const flow_key &flow, byte_view payload)
{
    const auto parsed = coap::parse(payload);
    const auto *message = valueOf(parsed);
    if (!message)
        return;
    if (message->find(coap::option_number::observe))
        ++m_notifications[flow.caller.port];
    const auto asked = m_asked.find({flow.caller.port, message->token});
    if (asked == m_asked.end())
        return;
    m_answers.push_back({asked->second.first, asked->second.second, message->messageCode,
        std::string(message->payload.begin(), message->payload.end()), m_now});
}

} // namespace toucan::lab
