#pragma once

/// Engine of the process beside a target whose flows are relayed segment by segment. Holds the
/// authoritative state of the target's flows and makes all decisions on them; does no I/O. Used by
/// one thread.

#include <map>
#include <toucan/domain_outages.h>
#include <toucan/event_log.h>
#include <toucan/flow_table_proof.h>
#include <toucan/metrics.h>
#include <toucan/opening_gate.h>
#include <toucan/opening_queue.h>
#include <toucan/relay_config.h>
#include <toucan/relay_packet.h>
#include <toucan/relay_port.h>
#include <toucan/segment.h>
#include <toucan/work_estimator.h>
#include <unordered_map>

namespace toucan {

/// Settings of a target process.
struct relay_target_options
{
    std::string name; ///< Name of the VM.
    std::string domain;
    std::string service; ///< Service of the target; empty: the one that it reports.
    endpoint peer; ///< Own address for other processes.
    endpoint target; ///< Address of the target; zero: any that it reports.
    std::vector<endpoint> seeds; ///< Peer addresses of the entries that are always reported to.
    std::chrono::milliseconds flowLifetime{60000}; ///< Idle time after which a flow is removed.
    std::chrono::milliseconds reportInterval{1200}; ///< Time between two reports of the target.
    double coldOvershoot = 1; ///< Factor on the cold rate that must never be exceeded.
    double coldSlack = 0; ///< Openings a second allowed on top of that factor.
    double classFloor = 0.2; ///< queue_policy::classFloor.
    bool refusesLate = false; ///< queue_policy::refusesLate.
    work_estimator::parts estimator; ///< Parts of the estimate of work that are used.
    bool firstStart = false; ///< No flow was open before this start.
    std::uint64_t boot = 0; ///< Random number that identifies this start of the process.
};

/// The engine of one target process.
class relay_target
{
public:
    relay_target(relay_target_options options, const segment_codec &codec, relay_port &port,
        metrics::registry &metrics, event_log &log, instant now);

    /// Handles a datagram from another process.
    void onPeerBytes(instant now, const endpoint &from, std::span<std::uint8_t> bytes);
    /// Handles a segment from the target. May change the bytes.
    void onTargetBytes(instant now, std::span<std::uint8_t> bytes);
    /// Call when a segment to the target was refused because its port is closed: no target runs, so
    /// all flows opened there before are gone.
    void onTargetRefused(instant now);
    /// Handles a liveness report of the target.
    void onLiveness(instant now, const target_liveness &report);
    /// Sets the stamp of the configuration copy that this process keeps for entries that start
    /// without a configuration.
    void setConfigCopy(const config_stamp &stamp) { m_configCopy = stamp; }
    /// Adds entries listed by the platform; reports are sent to new ones at once.
    void onEntries(instant now, std::span<const entry_place> entries);
    /// Replaces the options while the engine runs; names, addresses and `boot` must not change.
    void setOptions(relay_target_options options)
    {
        m_options = std::move(options);
        m_queue.setPolicy(m_options.classFloor, m_options.refusesLate);
    }
    /// Runs timers: timeouts, the queue, reports, metrics. Call at least every tickInterval.
    void onTick(instant now);
    /// The process was suspended: refuses the queued openings, whose admission state is outdated.
    void onPause(instant now);
    /// Starts a stop: reports to entries that no more openings may be placed here.
    void startLeaving(instant now);

    /// Longest time between two calls of onTick.
    static constexpr std::chrono::milliseconds tickInterval{50};

    /// True when a notice of some entry was received within the last 5 s.
    bool hasAliveEntry(instant now) const;
    /// Failure domains out of service.
    const domains_out &domains() const { return m_domains.inForce(); }
    /// Number of tracked flows, including those that are only probed.
    std::size_t flowCount() const { return m_flows.size(); }
    /// Standing of the target; unknown instead of ready or cold while this process leaves.
    target_standing standing(instant now) const;
    /// Service of the target: from its newest report, else from the options.
    std::string service() const;

private:
    /// State of a flow at this target.
    enum class flow_state : std::uint8_t {
        offered, ///< The opening was passed to the target.
        probing, ///< Segments are passed to the target to find out whether it holds the flow.
        open, ///< The target holds it.
    };

    struct flow
    {
        flow_state state = flow_state::offered;
        endpoint entry; ///< Entry that sent the newest segment.
        endpoint notifiedEntry; ///< Entry that was sent a flow_owner message.
        candidate_list candidates; ///< Next recipients if the target returns a segment.
        std::uint64_t serviceTag = 0;
        store_point point; ///< Point of the configuration that the entry decided by.
        std::uint64_t search = 0; ///< relay_header::search of the newest segment.
        bool inconclusive = false; ///< relay_header::inconclusive of the newest segment.
        byte_buffer pendingSegment; ///< The opening or the probe, until the target answers it.
        instant openedAt{};
        instant lastPacketAt{};
        std::optional<std::uint32_t> targetSequence; ///< Of the target's answer to the opening.
        std::uint32_t callerAcknowledged = 0;
        std::optional<std::uint32_t> callerNext; ///< Sequence after the caller's newest data.
        std::optional<instant> waitingSince; ///< Start of the request that has no answer yet.
        std::uint32_t requests = 0;
        std::chrono::milliseconds slowestAnswer{0};
        bool isRequestExpected = false; ///< A slot is reserved for its first request.
        bool beganWithFreeSlot = false; ///< The target had a free slot when the request began.
        std::uint64_t workNumber = 0; ///< Number of the request that has no answer yet.
        bool callerFinished = false;
        bool targetFinished = false;
        /// It was not open when an earlier start sent its table, but may have opened before that
        /// start ended.
        bool mayHaveOpened = false;
    };
    using flow_map = std::unordered_map<flow_key, flow>;

    /// Probes with data, none of which the target has answered.
    struct unanswered_data
    {
        std::size_t segments = 0;
        instant since{}; ///< m_attendedTime when the first answer was overdue.
    };

    struct entry_state
    {
        std::string domain; ///< Empty while it is not known.
        instant lastSeen{};
        instant lastReportSent{};
        std::uint64_t boot = 0;
        std::uint64_t reportsSent = 0;
    };

    void onOpening(instant now, const segment &head, const relay_packet &packet);
    void onEstablished(
        instant now, const endpoint &from, const segment &head, const relay_packet &packet);
    void onReturned(instant now, const segment &head, std::span<std::uint8_t> bytes);
    opening_verdict evaluate(instant now, const relay_header &header);
    void acceptOpening(
        instant now, const segment &head, const relay_header &header, byte_view bytes);
    opening_verdict queueOpening(instant now, const segment &head, const relay_packet &packet);
    void serveQueue(instant now);
    void judgeQueue(instant now);
    void refuseWaiting(instant now, const unserved_opening &item);
    void returnWaiting(const waiting_opening &opening);
    waiting_opening makeWaiting(instant now, const segment &head, const relay_header &header) const;
    void updateQueuePace(instant now);
    void expectRequest(instant now, const flow_key &key, flow &item);
    void cancelExpectedRequest(flow &item);
    void expireExpectedRequests(instant now);
    std::uint64_t occupiedSlots() const { return m_waitingRequests + m_expectedRequests; }
    std::uint64_t slots() const;
    void updateLoad(instant now);
    std::uint64_t expectedWait(instant now, const segment &head, const relay_header &header) const;
    std::chrono::milliseconds workAhead(instant now) const;
    std::chrono::milliseconds expectedCost(instant now) const;
    std::uint64_t excessRequests() const
    {
        return occupiedSlots() - std::min(occupiedSlots(), slots());
    }
    void recordWait(instant now, const segment &head, relay_header &header) const;
    endpoint candidateWithShorterQueue(
        instant now, const segment &head, const relay_header &header) const;
    void passOn(const relay_header &header, relay_kind kindWhenExhausted, byte_view bytes);
    void passOnOpening(flow &item, byte_view opening);
    void trackCallerSegment(instant now, flow &item, const segment &head);
    void trackTargetSegment(instant now, flow_map::iterator it, const segment &head);
    void keepProbe(instant now, flow_map::iterator it, byte_view bytes);
    void passOnProbes(instant now);
    void passOnProbe(flow_map::iterator it);
    static relay_header headerOf(const flow &item);
    bool acknowledgesThisTarget(const flow &item, std::uint32_t acknowledged) const;
    flow_lookup_result lookUpFlow(
        instant now, const flow_key &key, std::uint32_t acknowledged) const;
    void notifyEntry(const flow_key &key, flow &item);
    void beginRequest(instant now, flow &item, const segment &head);
    /// Work as reported to entries; zero while it is unknown.
    struct work_figures
    {
        std::uint64_t remainingUs = 0; ///< For each slot.
        std::uint64_t meanUs = 0;
    };
    work_figures workFigures(instant now, double slotCount) const;
    double remainingWork(instant now) const;
    void recordEstimate(const work_estimator::outcome &outcome);
    void recordWorkMetrics(instant now);
    void endRequest(instant now, flow &item, bool answered);
    void erase(instant now, flow_map::iterator it, std::string_view outcome);
    void judgeFirstReport(std::uint64_t number, bool isPortClosed);
    void judgeNewLifetime(instant now, std::uint64_t number, bool hasStartedHere);
    bool wasLifetimeAlive(instant lastSeen) const;
    void recordTargetSeen(instant now);
    instant observedSince() const;
    void endLifetime(instant now, instant lastSeen, std::string_view reason);
    void resetFlow(instant now, flow_map::iterator it, std::string_view reason);
    bool isFlowTableComplete(instant now) const;
    bool isTargetAbsent(instant now) const;
    void recordUnanswered(const flow &item);
    bool isDataUnanswered(std::size_t segments) const;
    bool isSilenceConclusive(instant now, const flow &item) const;
    std::size_t reportedFlowCount(instant now) const;
    bool shouldRefuseAsSilent(instant now);
    void checkUnanswered(instant now);
    void sweepFlows(instant now);
    std::uint64_t coldLimit() const;
    std::size_t heldFlowCount() const;

    void handle(instant now, const endpoint &from, const target_report &message);
    void handle(instant now, const endpoint &from, const entry_notice &message);
    void handle(instant now, const endpoint &from, const flow_owner &message);
    void handle(instant now, const endpoint &from, const opening_kept &message);
    void handle(instant now, const endpoint &from, const member_digest &message);
    void handle(instant now, const endpoint &from, const digest_request &message);
    void handle(instant now, const endpoint &from, const flow_question &message);
    void handle(instant now, const endpoint &from, const flow_answer &message);
    void handle(instant now, const endpoint &from, const flow_table_page &message);
    void handle(instant now, const endpoint &from, const flow_table_request &message);
    void handle(instant now, const endpoint &from, const flow_table_statement &message);
    void handle(instant now, const endpoint &from, const unused_start &message);
    std::vector<endpoint> entriesByRank(instant now, std::string_view domain, bool alive) const;
    std::vector<flow_table_page> makeFlowTable(instant now) const;
    void sendFlowTable(instant now);
    void prepareFlowTable(instant now);
    bool isUnused(instant now) const;
    std::vector<endpoint> entriesToAsk(instant now) const;
    std::vector<endpoint> heardEntriesToAsk(instant now) const;
    void judgeRestoredTable(instant now);
    void judgeEarlierStarts(instant now);
    void endRecovery(instant now, std::string_view outcome);
    void requestFlowTable(instant now);
    void requestFlowTableAtOnce(instant now);
    void restoreFlowTable(instant now);
    void restoreFlow(instant now, const tracked_flow &record);
    std::vector<endpoint> reportRecipients(instant now) const;
    std::vector<endpoint> substitutesAmong(
        instant now, std::vector<endpoint> entries, std::size_t homeEntries) const;
    void sendReports(instant now, bool atOnce);
    void sendStopNotice(instant now);
    void logOpening(instant now, const segment &head, std::string_view outcome,
        const opening_forecast *forecast = nullptr, instant waited = {});

    relay_target_options m_options;
    const segment_codec &m_codec;
    relay_port &m_port;
    metrics::registry &m_metrics;
    event_log &m_log;
    std::array<metrics::number *, openingVerdictCount> m_verdicts{};
    std::array<metrics::number *, queueRefusalCount> m_refusals{};
    metrics::distribution &m_refusalWait;
    metrics::number &m_returnedOpenings; ///< Openings that the target returned.
    metrics::number &m_passedOn;
    metrics::number &m_malformed;
    metrics::distribution &m_firstAnswer;
    metrics::number &m_unansweredRequests; ///< Requests whose flow ended before the answer.
    metrics::number &m_expectedWorkMs; ///< Sum over measured requests.
    metrics::number &m_seenWorkMs;
    metrics::number &m_estimateErrorMs; ///< Sum of absolute differences.
    metrics::number &m_measuredRequests;

    liveness_record m_liveness;
    domain_outages m_domains;
    config_order m_order;
    config_stamp m_newestConfig; ///< Stamp of the newest configuration that an entry reported.
    instant m_newestConfigSince{}; ///< When that stamp was first received.
    config_stamp m_configCopy; ///< Stamp of the configuration that this process keeps.
    service_bounds m_bounds;
    flow_map m_flows;
    std::map<endpoint, entry_state> m_entries;
    opening_window m_recentOpenings;
    smoothed_level m_load;
    smoothed_level m_work; ///< Time of work still to do at the target, ms.
    work_estimator m_estimator;
    failure_share m_failures;
    opening_queue m_queue;
    instant m_lastJudged{}; ///< When the waiting openings were judged last.
    std::uint64_t m_waitingRequests = 0;
    std::uint64_t m_expectedRequests = 0; ///< Slots reserved for first requests of new flows.
    std::deque<std::pair<instant, flow_key>> m_expectedFlows; ///< Oldest first.
    std::uint64_t m_reportOrder = 0;
    std::vector<std::pair<instant, flow_key>> m_unansweredOpenings; ///< Openings, oldest first.
    std::vector<std::pair<instant, flow_key>> m_probes; ///< Probes without an answer, oldest first.
    std::optional<instant> m_silentSince; ///< Since when the target has answered no opening.
    instant m_lastTrial{};
    instant m_targetLastSeen{}; ///< Newest report or segment of the target.
    unanswered_data m_unansweredData; ///< Since the target was last seen.
    instant m_attendedTime{}; ///< Time in which this process ran and read its sockets.
    instant m_lastTick;
    bool m_targetRefused = false; ///< Its port was closed and no sign of it came since.
    bool m_flowTableComplete = false;
    std::optional<instant> m_lifetimeSeenSince; ///< First report here of the current lifetime.
    /// The first report of the lifetime that was received here is its first or second one.
    bool m_isEarlyReport = false;
    bool m_isOnlyStart = false; ///< Entries know of no start that opened flows before this one.
    instant m_observedSince; ///< Every opening since then was seen here.
    std::map<std::uint64_t, flow_table_page> m_returnedPages; ///< Of an earlier start, by number.
    std::optional<flow_table_page> m_restoredPage; ///< First page of the table that was restored.
    instant m_restoredAt{};
    flow_table_proof m_tableProof; ///< That no start came after the one that sent the table.
    bool m_isTableConfirmed = false; ///< The restored table counts as proof.
    std::size_t m_acceptedOpenings = 0;
    bool m_recoveryEnded; ///< Nothing is expected from entries any more.
    instant m_nextTableRequest{};
    std::vector<byte_buffer> m_flowTable; ///< Pages of the own table while this process leaves.
    std::vector<endpoint> m_flowTableKeepers; ///< Entries that get these pages.
    bool m_statesUnused = false; ///< It stops and has accepted no opening.
    std::size_t m_flowTableSends = 0;
    std::size_t m_stopNotices = 0; ///< Times that all entries were notified of the stop.
    bool m_leaving = false;
    instant m_started;
    instant m_lastSweep{};
    instant m_lastConfigFetch{};
    target_standing m_reportedStanding = target_standing::unknown;
};

} // namespace toucan
