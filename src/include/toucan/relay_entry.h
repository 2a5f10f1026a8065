#pragma once

/// Engine of an entry that relays segments: makes all of its decisions and does no I/O. Its cache
/// of flow owners can be rebuilt from packets by any entry. Used by one thread.

#include <map>
#include <optional>
#include <set>
#include <toucan/config_choice.h>
#include <toucan/digest_book.h>
#include <toucan/domain_outages.h>
#include <toucan/entry_roster.h>
#include <toucan/event_log.h>
#include <toucan/flow_table_keeper.h>
#include <toucan/link_scheduler.h>
#include <toucan/message_state.h>
#include <toucan/metrics.h>
#include <toucan/opening_queue.h>
#include <toucan/relay_packet.h>
#include <toucan/relay_placement.h>
#include <toucan/relay_port.h>
#include <toucan/segment.h>
#include <toucan/start_history.h>
#include <toucan/transfer_gate.h>
#include <unordered_map>
#include <unordered_set>

namespace toucan {

/// Options of a relaying entry.
struct relay_entry_options
{
    std::string name;
    std::string domain;
    endpoint peer; ///< Own address for other processes.
    std::vector<endpoint> seeds; ///< Peer addresses of the entries contacted first.
    std::vector<std::string> domains; ///< All failure domains; empty: those of known entries.
    std::chrono::milliseconds flowLifetime{60000}; ///< Idle time after which a flow is removed.
    std::chrono::milliseconds grace{6000}; ///< Time between a stop signal and the kill.
    double linkRate = 0; ///< Rate of the VM's network link, Mbit/s each way; 0: not limited.
    placement_policy place = placeByLoad; ///< How candidates for an opening are chosen.
    std::uint64_t boot = 0; ///< Random number of this start.
};

/// What shows that no member holds a flow: members by observation.
struct search_evidence
{
    std::size_t asked = 0;
    std::size_t returned = 0; ///< A segment came back.
    std::size_t denied = 0; ///< A question was answered.
    std::size_t silent = 0; ///< No answer, silent beyond the limit.
    instant shortestSilence = instant::max();
    std::size_t withoutTarget = 0; ///< No answer; last reported that no target runs there.
    std::string missing; ///< Name of a member without any of these.
    std::set<std::string> unheard; ///< Domains of silent members that others may have heard.
    bool isQuestionDue = false; ///< A silent member has to be asked itself, or once more.
};

/// The engine of one relaying entry.
class relay_entry
{
public:
    relay_entry(relay_entry_options options, const segment_codec &codec, relay_port &port,
        metrics::registry &metrics, event_log &log, instant now);

    /// Handles a segment from a caller. The bytes may be changed.
    void onCallerBytes(instant now, std::span<std::uint8_t> bytes);
    /// Handles a datagram from another process.
    void onPeerBytes(instant now, const endpoint &from, std::span<std::uint8_t> bytes);
    /// Takes a configuration; older ones are ignored. `source` names its origin in the log.
    void onConfig(instant now, const relay_config_ptr &config, std::string_view source);
    /// Takes the failure domains out of service; older lists are ignored.
    void onDomains(instant now, const domains_out &domains, std::string_view source);
    /// Takes entries listed by the platform or named by another process.
    void onEntries(instant now, std::span<const entry_place> entries);
    /// Takes the state of this entry's connection to the platform's store; notices carry it to
    /// other entries.
    void onStoreStanding(instant now, store_standing standing);
    /// True when this entry has to follow the store for its failure domain; nullopt in the first
    /// 300 ms after the start, in which messages of other entries arrive.
    std::optional<bool> shouldFollowStore(instant now) const;
    /// Call after the VM was paused: datagrams of that time are lost, and members may have started
    /// or stopped.
    void onPause(instant now);
    /// Replaces the options while the engine runs; names, addresses and `boot` must stay the same.
    void setOptions(relay_entry_options options);
    /// Runs timed work. Call at least each tickInterval, and when untilLinkDue() has passed.
    void onTick(instant now);
    /// Time until a queued segment or opening is due; nullopt while none is queued.
    std::optional<instant> untilLinkDue(instant now) const;
    /// Drops what is queued for the link; call after the VM was paused.
    void discardQueued();
    /// Sends what is queued for the link; call before the process exits.
    void flushQueued(instant now);

    /// Longest time between two calls of onTick.
    static constexpr std::chrono::milliseconds tickInterval{250};

    /// True when packets of callers can be served.
    bool isReady(instant now) const;
    /// Call on a stop signal: the process is not ready from then on, but still forwards.
    void startLeaving(instant now);
    /// True once the fabric has stopped sending packets, or the grace has less than a second left.
    bool mayExit(instant now) const;

    const relay_config_ptr &config() const { return m_config; }
    const domains_out &domains() const { return m_domains.inForce(); }
    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t memberCount() const { return m_members.aliveCount(); }
    const member_table &members() const { return m_members; }
    /// Peer addresses of the other entries whose last message is less than
    /// entry_roster::silenceLimit old.
    std::vector<endpoint> aliveEntries(instant now) const { return m_roster.alive(now); }

private:
    /// Members that an opening and its copies were sent to.
    using tried_list = boost::container::static_vector<endpoint, 2 * maxOpeningCandidates>;

    /// State of a member in a search.
    struct searched_member
    {
        endpoint address;
        bool notHeld = false; ///< Its target does not hold the flow.
        bool inconclusive = false; ///< A target of the chain gave no reply.
        bool segmentSent = false; ///< The segment was sent to it, to ask its target.
        bool segmentReturned = false; ///< `notHeld` is the answer to a segment, not to a question.
        std::optional<instant> questionedAt; ///< First question that it left unanswered.
    };

    /// Stage of a search.
    enum class search_stage : std::uint8_t {
        chain, ///< The segment is passed along the most likely owners.
        questions, ///< Questions go to all other members.
        ended,
    };

    /// A search for a flow's owner with one segment.
    struct search_progress
    {
        std::uint64_t number = 0; ///< Distinguishes the searches for one flow.
        instant startedAt{};
        instant flowSeenAt{}; ///< First segment of the flow here for which no owner was known.
        segment head;
        byte_buffer bytes; ///< The segment.
        std::vector<byte_buffer> buffered; ///< Segments received during the search.
        std::vector<searched_member> members; ///< In search order, fixed at the start.
        std::size_t chainLength = 0; ///< The first members, which form the chain.
        search_stage stage = search_stage::chain;
        instant askedAt{};
        std::size_t rounds = 0; ///< Rounds of questions sent.
    };
    /// Questions for each member, collected to share datagrams.
    using question_batch = std::map<endpoint, std::vector<flow_inquiry>>;

    struct cached_flow
    {
        endpoint owner; ///< Process of the flow's target; none during a search.
        instant lastPacket{};
        instant openedAt{}; ///< When the last opening was sent.
        tried_list tried;
        bool established = false; ///< A segment other than an opening was seen.
        bool confirmed = false; ///< The owner reported that it holds the flow.
        bool finishing = false; ///< The caller sent a finish or reset.
        instant startedAt{}; ///< Start of the caller's attempt to open it.
        std::optional<instant> keptAt; ///< Last report that the opening waits at the owner.
        std::uint16_t searches = 0; ///< Searches since the owner was last known.
        std::unique_ptr<search_progress> progress; ///< The last of these searches.
        bool wasParked = false; ///< Its opening was parked at this entry.
        std::uint8_t parkedCopies = 0; ///< Bit n: copy n of its opening was parked.
        std::optional<instant> ownerAskedAt; ///< When the owner was sent what it confirms.
        bool refusedOnce = false; ///< All candidates of an opening have refused it once.
        flow_volume volume; ///< Data from the caller; not counted without a rate of the link.
    };

    /// An opening that waits for a configuration or for the first reports of targets.
    struct parked_opening
    {
        segment head;
        byte_buffer bytes;
        instant startedAt{}; ///< Start of the caller's attempt.
        instant notBefore{}; ///< Earliest time of the next try.
    };

    void onOpening(instant now, const segment &head, const route_rule &route, byte_view bytes,
        instant startedAt);
    void placeOpening(instant now, const segment &head, const route_rule &route,
        cached_flow &cached, byte_view bytes);
    void onEstablished(
        instant now, const segment &head, const route_rule *route, std::span<std::uint8_t> bytes);
    void search(instant now, const segment &head, const route_rule &route, cached_flow &cached,
        byte_view bytes);
    void startSearch(instant now, const segment &head, const route_rule &route, cached_flow &cached,
        byte_view bytes, instant flowSeenAt);
    void sendSegment(instant now, cached_flow &cached, std::span<const searched_member> members);
    bool isOwnerRestarting(instant now, const cached_flow &cached) const;
    bool adoptStoppedOwner(instant now, const flow_key &flow, cached_flow &cached);
    void recordNotHeld(instant now, cached_flow &cached, std::size_t position, bool inconclusive);
    void advanceSearch(instant now, cached_flow &cached);
    void advanceSearchOnTick(instant now, cached_flow &cached, question_batch &batch);
    void queueQuestions(instant now, cached_flow &cached, question_batch &batch);
    void askAgain(instant now, cached_flow &cached);
    void addSilentMembers(instant now, search_progress &progress) const;
    void sendQuestions(const question_batch &batch);
    void adoptOwner(instant now, const flow_key &flow, cached_flow &cached, const endpoint &owner,
        bool hasSegment);
    void concludeSearch(instant now, cached_flow &cached);
    void resetLostFlow(instant now, const segment &head, const search_evidence &evidence);
    void advanceSearches(instant now);
    void forwardBuffered(const search_progress &progress, const endpoint &owner, bool hasSegment);
    void retryInconclusiveSearches(instant now);
    std::vector<relay_member *> fullSearchOrder(
        instant now, const route_rule &route, const flow_key &flow) const;
    bool isStatedGone(const relay_member &item, instant now) const;
    bool isUnheardElsewhere(const relay_member &item, instant now) const;
    std::string inconclusiveReason(instant now, const search_progress &progress) const;
    search_evidence evidenceOf(instant now, const search_progress &progress) const;
    void addEvidence(instant now, const relay_member &item, const searched_member *asked,
        search_evidence &evidence) const;
    void onRefused(instant now, const endpoint &from, const relay_header &header,
        const segment &head, byte_view bytes);
    void endParked(instant now, const parked_opening &item, std::string_view reason);
    void onNotFound(instant now, const endpoint &from, const relay_header &header,
        const segment &head, byte_view bytes);
    void suspectOwner(instant now, const flow_key &flow);
    void park(instant now, const segment &head, byte_view bytes, instant startedAt,
        instant notBefore = {});
    void retryParked(instant now);
    bool isWithoutConfig(instant now) const;
    void rejectParked(instant now);
    void routeOpening(instant now, const segment &head, byte_view bytes, instant startedAt);
    bool isKept(const cached_flow &cached, instant now) const;
    relay_header openingHeader(
        instant now, const route_rule &route, const segment &head, const cached_flow &cached) const;
    bool mayBePlaced(instant now, const parked_opening &item) const;
    bool isLearning(instant now) const;
    bool areMembersKnown(instant now) const;
    std::vector<std::string> domainsWithoutNews(instant since, instant now) const;
    bool isDomainGone(std::string_view domain, instant now) const;
    bool isOwnDomainKnown(instant since, instant now) const;
    bool isHearing(instant now) const;
    bool isOwnDomainComplete(instant now) const;
    bool isDomainComplete(std::string_view domain, instant now) const;
    std::vector<std::string> otherDomains() const;
    std::vector<std::string> describeKnowledge(instant now) const;
    bool mayBecomeReady(std::span<relay_member *const> members) const;
    void resetFlow(instant now, const segment &head, std::string_view reason,
        const search_evidence &evidence = {});
    void logOpening(instant now, const segment &head, std::string_view outcome,
        const relay_member *target, std::size_t eligible, const expected_end &end = {});
    void logSearch(instant now, const cached_flow &cached, std::string_view outcome,
        const endpoint &first, std::size_t asked, std::string_view undecided = {});
    void forward(const endpoint &to, const relay_header &header, byte_view bytes);
    bool admitTransfer(instant now, const segment &head, const route_rule &route, byte_view bytes,
        instant startedAt);
    void forwardInTurn(instant now, const segment &head, const route_rule &route,
        cached_flow &cached, const relay_header &header, byte_view bytes);
    void serveLink(instant now);
    void placeHeldOpenings(instant now);
    void logLink(instant now);
    void publishLinkMetrics();
    relay_header headerFor(relay_kind kind, std::string_view service) const;

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
    void recordStart(instant now, const endpoint &process, std::uint64_t boot, instant seenAt);
    void logFlowTable(
        instant now, const flow_table_keeper::summary &table, std::string_view outcome);
    void handlePacket(instant now, const endpoint &from, const relay_packet &packet);
    void logMember(instant now, const member_change &change);
    entry_notice makeNotice(instant now) const;
    void send(const endpoint &to, const relay_message &message);
    void requestNotice(instant now, const endpoint &to);
    void sendMemberNotice(instant now, const relay_member &member);
    void announceToMembers(instant now);
    void recordEntrySeen(
        instant now, const entry_place &entry, std::uint64_t boot, std::string_view name);
    void sendNotices(instant now);
    void sendStopNotices(instant now, const entry_notice &notice);
    void updatePeers(instant now);
    void sendDigests(instant now);
    void sendWholeDigest(instant now, const endpoint &to, std::string_view domain);
    void replyTo(instant now, const endpoint &to, const digest_request &request);
    std::vector<std::string> witnessesFor(std::string_view domain, instant now) const;
    bool isDomainHeard(std::string_view domain, instant now) const;
    bool isYoung(instant now) const;
    void distrustKnowledge(instant now);
    void requestNews(instant now, const std::string &domain);
    void sendCompleteDomains(instant now, const endpoint &to);
    void updateCompleteness(instant now);
    void askForMembers(instant now);
    void logLearning(instant now);
    std::vector<std::string> domainsToReport(instant now) const;
    digest_origin originOf() const;
    void handleMemberChanges(instant now, std::span<const member_change> changes);
    bool shouldKeepCopy(const relay_member &member) const;
    template <class T>
    void applyReceivedState(
        instant now, const endpoint &from, const T &message, std::string_view source);
    void fetchConfigIfNewer(instant now, const endpoint &from, const config_stamp &stamp);
    void settle(instant now, std::uint64_t era);
    void useConfig(instant now, const relay_config_ptr &config, std::string_view source);
    void logDeferred(instant now);
    void announceDomains(instant now, std::string_view source);
    void updateStoreState(instant now);
    void sweepFlows(instant now);
    void publishGauges(instant now);

    relay_entry_options m_options;
    const segment_codec &m_codec;
    relay_port &m_port;
    metrics::registry &m_metrics;
    event_log &m_log;
    metrics::number &m_openings;
    metrics::number &m_forwarded;
    metrics::number &m_openingsToOthers; ///< Openings sent to other failure domains.
    metrics::number &m_bytesToOthers; ///< Bytes of callers' segments sent there.
    metrics::number &m_searches;
    metrics::number &m_dropped;
    metrics::number &m_malformed;

    relay_config_ptr m_config; ///< In force.
    config_choice m_choice;
    domain_outages m_domains;
    domain_distances m_distances;
    std::uint64_t m_followedEra = 0; ///< Era of the store at the last tick.
    std::optional<instant> m_eraFollowedSince; ///< Followed without a loss in that era since.
    std::unordered_set<endpoint> m_droppedRoutes; ///< Addresses whose route was removed.
    member_table m_members;
    entry_roster m_roster;
    digest_book m_digests;
    flow_table_keeper m_flowTables;
    start_history m_starts;
    link_scheduler m_link;
    transfer_gate m_transfers;
    std::uint64_t m_searchedBytes = 0; ///< Sent to find owners of flows.
    std::optional<instant> m_linkShortAt; ///< Last time at which the link was short.
    bool m_ownDomainComplete = false; ///< All members of the own domain were known.
    store_standing m_store = store_standing::not_asked;
    instant m_storeLostAt{};
    std::uint64_t m_noticeRounds = 0;
    instant m_lastDigests{};
    instant m_lastMembersAsked{};
    instant m_learningLoggedAt{};
    bool m_membersWereKnown = false; ///< The log has reported that all members are known.
    instant m_digestDue = instant::max(); ///< Early digest for changes; max() when none.
    std::unordered_map<flow_key, cached_flow> m_flows;
    std::map<flow_key, parked_opening> m_parked;
    std::set<flow_key> m_watchedSearches; ///< Flows whose search awaits answers.
    std::set<flow_key> m_inconclusiveSearches; ///< Ended before all members were surely known.
    std::map<std::string, instant, std::less<>> m_newsRequestedAt; ///< By failure domain.
    instant m_lastSearchTick{};
    instant m_started;
    instant m_knowledgeSince; ///< Start, or end of a time in which nothing was received.
    instant m_configAt{};
    instant m_memberAddedAt{}; ///< When the newest member was added.
    instant m_lastCaller{};
    std::optional<instant> m_lastHeard; ///< Last datagram of another process.
    instant m_lastNotices{};
    instant m_lastSweep{};
    instant m_lastFetch{};
    instant m_lastRetry{};
    std::optional<instant> m_leavingSince;
};

// Takes the state of the store's contents from a message of another process.
template <class T>
void relay_entry::applyReceivedState(
    instant now, const endpoint &from, const T &message, std::string_view source)
{
    settle(now, message.settledEra);
    fetchConfigIfNewer(now, from, receivedStamp(message));
    onDomains(now, receivedDomains(message), source);
}

} // namespace toucan
