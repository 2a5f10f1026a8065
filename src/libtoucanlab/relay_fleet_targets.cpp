// The targets of an emulated fleet and the processes beside them.

#include "relay_fleet_nodes.h"

#include <algorithm>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;

constexpr auto reportInterval = 1200ms;
// Bounds that the platform sets for knowledge that has to be everywhere.
constexpr auto drainBound = 3s;
constexpr auto domainBound = 5s;
// Segments at other targets in this time, and none at its own, that break a promise to a flow.
constexpr std::size_t misroutedSegments = 3;
constexpr auto misrouteWindow = 2s;

} // namespace

void relay_fleet::target_node::checkOpening(const flow_key &key)
{
    if (drainConfirmed && fleet.m_now - *drainConfirmed > drainBound)
        fleet.m_violations.push_back("an opening reached a draining target");
    const auto out = fleet.m_outSince.find(domain);
    if (out != fleet.m_outSince.end() && fleet.m_now - out->second > domainBound)
        fleet.m_violations.push_back("an opening reached a failure domain out of service");
    const auto *route = fleet.wantedConfig()->routeAt(key.service);
    if (route && route->shares.front().service != service)
        fleet.m_violations.push_back("an opening reached a target of another service");
}

std::size_t relay_fleet::addTarget(const std::string &service)
{
    const auto number = m_targets.size();
    m_targets.push_back(std::make_unique<target_node>(*this, number, service));
    startProcess(number);
    startTarget(number);
    return number;
}

relay_target_options relay_fleet::targetOptions(const target_node &node, bool first)
{
    return {.name = "t" + std::to_string(node.number),
        .domain = node.domain,
        .service = node.service,
        .peer = node.peer,
        .seeds = seeds(),
        .estimator = m_options.estimator,
        .firstStart = first,
        .boot = m_random()};
}

void relay_fleet::startProcess(std::size_t target)
{
    auto &node = *m_targets[target];
    const bool first = node.starts == 0;
    node.engine = std::make_unique<relay_target>(
        targetOptions(node, first), m_codec, node, node.metrics, node.log, m_now);
    const auto start = ++node.starts;
    node.copy = nullptr;
    after(20ms, [this, target, start] {
        if (m_targets[target]->starts == start && m_storeReachable)
            m_targets[target]->engine->onEntries(m_now, listedEntries());
    });
    tickTarget(target, start);
}

void relay_fleet::killProcess(std::size_t target)
{
    m_targets[target]->engine.reset();
    ++m_targets[target]->starts;
}

void relay_fleet::leaveProcess(std::size_t target)
{
    constexpr auto leaveDuration = 150ms;
    auto &node = *m_targets[target];
    node.engine->startLeaving(m_now);
    after(leaveDuration, [this, target, start = node.starts] {
        if (m_targets[target]->starts == start)
            killProcess(target);
    });
}

void relay_fleet::countStray(byte_view bytes, const target_node &taker)
{
    const auto head = m_codec.decode(bytes);
    if (!head || head->isOpening())
        return;
    const auto key = head->flowFromCaller();
    auto &strayed = m_strayed[key];
    if (taker.target.holds(key)) {
        checkMisrouting(key);
        strayed.sinceOwn = 0;
        return;
    }
    ++strayed.total;
    if (strayed.sinceOwn++ == 0)
        strayed.firstSinceOwn = m_now;
    checkMisrouting(key);
}

void relay_fleet::checkMisrouting(const flow_key &key)
{
    const auto &strayed = m_strayed.at(key);
    const bool isHeld
        = std::ranges::any_of(m_targets, [&](const auto &node) { return node->target.holds(key); });
    if (isHeld && strayed.sinceOwn >= misroutedSegments
        && m_now - strayed.firstSinceOwn >= misrouteWindow)
        m_misrouted.insert(key);
}

void relay_fleet::forgetStrayed()
{
    m_strayed.clear();
    m_misrouted.clear();
}

std::size_t relay_fleet::strayedSegments(std::size_t flow) const
{
    const auto found = m_strayed.find(m_callers.key(flow));
    return found == m_strayed.end() ? 0 : found->second.total;
}

void relay_fleet::tickTarget(std::size_t target, std::uint64_t start)
{
    auto &node = *m_targets[target];
    if (!node.engine || node.starts != start)
        return;
    node.engine->onTick(m_now);
    after(fleet_layout::tick, [this, target, start] { tickTarget(target, start); });
}

void relay_fleet::startTarget(std::size_t target, std::chrono::milliseconds coldFor)
{
    auto &node = *m_targets[target];
    node.target.restart();
    node.silent = false;
    node.draining = false;
    node.drainConfirmed.reset();
    node.nextReport = m_options.firstReport;
    node.coldUntil = m_now + coldFor;
    const auto lifetime = ++node.lifetime;
    after(30ms, [this, target, lifetime] { reportTarget(target, lifetime); });
}

void relay_fleet::reportTarget(std::size_t target, std::uint64_t lifetime)
{
    auto &node = *m_targets[target];
    if (!node.target.isRunning() || node.lifetime != lifetime)
        return;
    if (node.engine) {
        const auto cold = std::max(node.coldUntil - m_now, instant{});
        node.engine->onLiveness(m_now,
            {.id = "i" + std::to_string(target),
                .service = node.service,
                .startedMs = 1'000'000 + lifetime,
                .sequence = node.nextReport++,
                .slots = m_options.slots,
                .draining = node.draining,
                .coldRemaining = std::chrono::duration_cast<std::chrono::milliseconds>(cold)});
        if (node.draining && !node.drainConfirmed)
            node.drainConfirmed = m_now;
    } else {
        ++node.nextReport;
    }
    after(reportInterval, [this, target, lifetime] { reportTarget(target, lifetime); });
}

void relay_fleet::crashTarget(std::size_t target)
{
    m_targets[target]->target.stop();
}

void relay_fleet::drainTarget(std::size_t target)
{
    m_targets[target]->draining = true;
}

void relay_fleet::failTarget(std::size_t target, bool fail)
{
    m_targets[target]->target.failRequests(fail);
}

void relay_fleet::silenceTarget(std::size_t target, bool silent)
{
    m_targets[target]->silent = silent;
}

std::size_t relay_fleet::openingsTaken(std::size_t target) const
{
    return m_targets[target]->target.openings();
}

} // namespace toucan::lab
