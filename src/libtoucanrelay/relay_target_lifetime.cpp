// relay_target: the target's lifetimes, standing and silence.

#include <algorithm>
#include <cmath>
#include <toucan/relay_target.h>
#include <utility>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Targets report about every 1.2 s; three reports in a row may be lost.
constexpr auto targetSilenceLimit = 4s;
// Reports of a target that may be lost before the process beside it is up when all VMs start: they
// start within 0.3 s, and a report is repeated after 1 s without a reply.
constexpr std::uint64_t maxReportsBeforeStart = 2;
// Number of a target's first report; some targets number from 0.
constexpr std::uint64_t maxFirstReport = 1;
// Targets answer openings within a millisecond, also under load.
constexpr auto openingAnswerTimeout = 80ms;
// Interval at which an opening is tried on a target that answers none.
constexpr auto trialInterval = 250ms;

} // namespace

void relay_target::onLiveness(instant now, const target_liveness &report)
{
    if (const auto reason = foreignReason(report, m_options.service, m_options.target);
        !reason.empty()) {
        m_log.write(now,
            liveness_report{.target = report.id,
                .started = report.startedMs,
                .sequence = report.sequence,
                .standing = std::string(toString(standing(now))),
                .outcome = "ignored: " + reason});
        return;
    }
    const auto before = standing(now);
    const auto serviceBefore = service();
    const bool first = !m_liveness.latest();
    const auto lastSeen = m_liveness.lastSeen();
    const bool isPortClosed = m_targetRefused;
    const auto outcome = m_liveness.apply(now, report);
    const auto after = standing(now);
    const bool isNewLifetime = outcome == liveness_outcome::new_lifetime;
    if (first && outcome != liveness_outcome::late)
        judgeFirstReport(report.sequence, isPortClosed);
    else if (isNewLifetime)
        judgeNewLifetime(now, report.sequence, isPortClosed || wasLifetimeAlive(lastSeen));
    if (first || before != after || outcome != liveness_outcome::applied)
        m_log.write(now,
            liveness_report{.target = report.id,
                .started = report.startedMs,
                .sequence = report.sequence,
                .standing = std::string(toString(after)),
                .coldMs = static_cast<std::uint64_t>(report.coldRemaining.count()),
                .outcome = std::string(toString(outcome)),
                .complete = isFlowTableComplete(now)});
    if (outcome == liveness_outcome::late)
        return;
    // The lifetime may be known from a restored flow table only.
    if (!m_lifetimeSeenSince)
        m_lifetimeSeenSince = now;
    // A good-bye may be read after the target has ended.
    if (!report.leaving)
        recordTargetSeen(now);
    if (isNewLifetime) {
        endLifetime(now, lastSeen, "the target started anew");
        m_failures = {};
    }
    if (before != after || serviceBefore != service() || isNewLifetime)
        sendReports(now, true);
}

// The process sees all openings of its target, so no flow can be missing here that was opened since
// it started. A target of which it gets one of the first reports started shortly before; still, an
// earlier start may have passed openings to it, which only entries can rule out. At the first start
// of all, reports may have been lost before this process was up; more of them show that another
// process was there before. Times of two clocks would not.
void relay_target::judgeFirstReport(std::uint64_t number, bool isPortClosed)
{
    m_flowTableComplete = isPortClosed
        || (m_options.firstStart && number <= maxFirstReport + maxReportsBeforeStart);
    m_isEarlyReport = number <= maxFirstReport;
}

void relay_target::judgeNewLifetime(instant now, std::uint64_t number, bool hasStartedHere)
{
    m_flowTableComplete = m_flowTableComplete || hasStartedHere;
    m_isEarlyReport = number <= maxFirstReport;
    m_lifetimeSeenSince = now;
}

// The only report of a lifetime may be a late one that was sent before this process started.
bool relay_target::wasLifetimeAlive(instant lastSeen) const
{
    return m_lifetimeSeenSince && lastSeen - *m_lifetimeSeenSince >= m_options.reportInterval / 2;
}

void relay_target::recordTargetSeen(instant now)
{
    m_targetLastSeen = now;
    m_targetRefused = false;
    m_unansweredData = {};
}

void relay_target::onTargetRefused(instant now)
{
    if (!std::exchange(m_targetRefused, true))
        m_log.write(now,
            dependency_changed{.dependency = "target",
                .name = service(),
                .state = "lost",
                .reason = "its port is closed"});
    if (!m_silentSince) {
        m_silentSince = now;
        m_lastTrial = now;
    }
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const auto current = it++;
        if (current->second.state == flow_state::open) {
            resetFlow(now, current, "the target's port is closed");
        } else if (current->second.state == flow_state::offered) {
            std::erase_if(m_unansweredOpenings,
                [&](const auto &waiting) { return waiting.second == current->first; });
            if (!current->second.pendingSegment.empty())
                passOnOpening(current->second, current->second.pendingSegment);
            erase(now, current, "turned away");
        }
    }
}

// Flows opened after the last report of the ended lifetime may already belong to the next one. The
// target's answers show that when their callers send again.
void relay_target::endLifetime(instant now, instant lastSeen, std::string_view reason)
{
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
    // Most running targets have reported by then. Until one reports it gets no openings; no flow is
    // denied for it.
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
    // Without a configured rate a cold target is only slower, which its queue length shows.
    constexpr std::uint64_t unlimited = 1'000'000;
    if (m_bounds.coldRate == 0)
        return unlimited;
    constexpr double thousand = 1000;
    const auto rate = static_cast<double>(m_bounds.coldRate) / thousand;
    // One less than the limit that must never be exceeded: openings are counted here slightly later
    // than where that limit is checked.
    const auto hard = std::floor(rate * m_options.coldOvershoot + m_options.coldSlack) - 1;
    return static_cast<std::uint64_t>(std::max(1.0, std::min(rate, hard)));
}

// A target may serve its flows for a while after its last report, and its first report may be late.
// So its silence shows something only if it was sent a segment that it would have answered.
bool relay_target::isTargetAbsent(instant now) const
{
    if (m_targetRefused)
        return true;
    return standing(now) == target_standing::gone && isDataUnanswered(1)
        && now - std::max(m_started, m_targetLastSeen) >= targetSilenceLimit;
}

bool relay_target::isFlowTableComplete(instant now) const
{
    const bool isRestoredComplete = m_isTableConfirmed && m_restoredPage->complete;
    return m_flowTableComplete || isRestoredComplete || (m_isEarlyReport && m_isOnlyStart)
        || now - observedSince() > m_options.flowLifetime;
}

// Every opening since then was seen here or by the starts whose flows are in the restored table.
instant relay_target::observedSince() const
{
    if (!m_isTableConfirmed)
        return m_observedSince;
    return std::min<instant>(
        m_observedSince, m_started - std::chrono::milliseconds(m_restoredPage->observedMs));
}

// True while the target is silent, except for one trial opening in each trialInterval.
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
