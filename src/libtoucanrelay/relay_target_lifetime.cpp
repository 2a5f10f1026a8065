// What a target process believes of its target: lifetimes, standing, silence.

#include <algorithm>
#include <cmath>
#include <toucan/relay_target.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Targets report about each 1.2 s; three in a row may be lost.
constexpr auto targetSilenceLimit = 4s;
// Targets answer openings within a millisecond, also under load.
constexpr auto openingAnswerTimeout = 80ms;
// Openings that are tried on a target that answers none.
constexpr auto trialInterval = 250ms;
// Between a target's good-bye and its end.
constexpr auto exitDelay = 500ms;

} // namespace

void relay_target::onLiveness(instant now, const target_liveness &report)
{
    const auto before = standing(now);
    const auto serviceBefore = service();
    const bool first = !m_liveness.latest();
    const auto lastSeen = m_liveness.lastSeen();
    const auto outcome = m_liveness.apply(now, report);
    const auto after = standing(now);
    if (first || before != after || outcome != liveness_outcome::applied)
        m_log.write(now,
            liveness_report{.target = report.id,
                .started = report.startedMs,
                .sequence = report.sequence,
                .standing = std::string(toString(after)),
                .coldMs = static_cast<std::uint64_t>(report.coldRemaining.count()),
                .outcome = std::string(toString(outcome))});
    if (outcome == liveness_outcome::late)
        return;
    // No opening reaches a target that has not reported once, so none of its flows is unknown here.
    if (first && report.sequence <= 1)
        m_flowTableComplete = true;
    if (outcome == liveness_outcome::new_lifetime) {
        endLifetime(now, lastSeen, "the target started anew");
        m_failures = {};
        m_flowTableComplete = true;
    }
    if (report.leaving)
        m_resetFlowsAt = now + exitDelay;
    if (before != after || serviceBefore != service() || outcome == liveness_outcome::new_lifetime)
        sendReports(now, true);
}

// Flows opened since the ended lifetime was last heard may already belong to the next one: the
// target itself tells, when their callers send again.
void relay_target::endLifetime(instant now, instant lastSeen, std::string_view reason)
{
    m_resetFlowsAt.reset();
    m_silentSince.reset();
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const auto current = it++;
        if (current->second.openedAt >= lastSeen)
            continue;
        std::erase_if(m_unansweredOpenings,
            [&](const auto &waiting) { return waiting.second == current->first; });
        if (current->second.state == flow_state::open)
            resetFlow(now, current, reason);
        else
            erase(now, current, reason);
    }
}

void relay_target::resetFlow(instant now, flow_map::iterator it, std::string_view reason)
{
    const auto &[key, item] = *it;
    if (!item.callerFinished || !item.targetFinished) {
        m_metrics.numberOf("toucan_resets_total", "reason", reason).add();
        m_log.write(now,
            flow_reset{.caller = key.caller,
                .service = key.service,
                .reason = std::string(reason),
                .revision = m_newestConfig.point.revision,
                .open = true});
        m_port.sendCaller(key.caller, makeReset(m_codec, key, item.callerAcknowledged));
    }
    erase(now, it, reason);
}

target_standing relay_target::standing(instant now) const
{
    // A target that runs has reported by then.
    if (!m_liveness.latest() && now - m_started >= m_options.reportInterval * 5 / 4)
        return target_standing::gone;
    const auto known = m_liveness.standing(now, targetSilenceLimit);
    return m_leaving && (known == target_standing::ready || known == target_standing::cold)
        ? target_standing::unknown
        : known;
}

std::string relay_target::service() const
{
    return m_liveness.latest() ? m_liveness.latest()->service : m_options.service;
}

std::uint64_t relay_target::coldLimit() const
{
    // Without a stated rate a cold target is only slower, which its queue shows.
    constexpr std::uint64_t unlimited = 1'000'000;
    if (m_bounds.coldRate == 0)
        return unlimited;
    constexpr double thousand = 1000;
    const auto rate = static_cast<double>(m_bounds.coldRate) / thousand;
    // One less than what must never be passed: openings are counted here a little later than there.
    const auto hard = std::floor(rate * m_options.coldOvershoot + m_options.coldSlack) - 1;
    return static_cast<std::uint64_t>(std::max(1.0, std::min(rate, hard)));
}

// Until three reports can have come, one that has not reported may run: it is asked.
bool relay_target::isTargetAbsent(instant now) const
{
    return standing(now) == target_standing::gone
        && (m_liveness.latest() || now - m_started >= targetSilenceLimit);
}

bool relay_target::isFlowTableComplete(instant now) const
{
    return m_flowTableComplete || now - m_started > m_options.flowLifetime;
}

bool relay_target::shouldRefuseAsSilent(instant now)
{
    if (!m_silentSince)
        return false;
    if (now - m_lastTrial < trialInterval)
        return true;
    m_lastTrial = now;
    return false;
}

void relay_target::checkUnanswered(instant now)
{
    const auto firstRecent = std::ranges::find_if(m_unansweredOpenings,
        [&](const auto &waiting) { return now - waiting.first < openingAnswerTimeout; });
    if (firstRecent == m_unansweredOpenings.begin())
        return;
    if (!m_silentSince) {
        m_silentSince = now;
        m_lastTrial = now;
        m_log.write(now,
            dependency_changed{.dependency = "target",
                .name = service(),
                .state = "lost",
                .reason = "openings go unanswered"});
    }
    for (auto current = m_unansweredOpenings.begin(); current != firstRecent; ++current) {
        const auto found = m_flows.find(current->second);
        if (found == m_flows.end() || found->second.pendingSegment.empty())
            continue;
        passOnOpening(found->second, found->second.pendingSegment);
        found->second.pendingSegment.clear();
    }
    m_unansweredOpenings.erase(m_unansweredOpenings.begin(), firstRecent);
}

} // namespace toucan
