#pragma once

/// All decisions of an entry that relays segments. Keeps a cache of owners of flows, which any
/// entry can rebuild from packets; does no I/O. Used by one thread.

#include <map>
#include <set>
#include <toucan/event_log.h>
#include <toucan/metrics.h>
#include <toucan/opening_queue.h>
#include <toucan/relay_packet.h>
#include <toucan/relay_placement.h>
#include <toucan/relay_port.h>
#include <toucan/segment.h>
#include <unordered_map>
#include <unordered_set>

namespace toucan {

/// How a relaying entry starts.
struct relay_entry_options
{
    std::string name;
    std::string domain;
    endpoint peer; ///< Own address for other processes.
    std::vector<endpoint> seeds; ///< Peer addresses of entries to start from.
    std::chrono::milliseconds flowLifetime{60000}; ///< Silence after which a flow is forgotten.
    std::chrono::milliseconds grace{6000}; ///< Time between a stop signal and the kill.
    placement_policy place = placeByLoad; ///< How candidates for an opening are chosen.
    std::uint64_t boot = 0; ///< Random number of this start.
};

/// The engine of one relaying entry.
class relay_entry
{
public:
    relay_entry(relay_entry_options options, const segment_codec &codec, relay_port &port,
        metrics::registry &metrics, event_log &log, instant now);

    /// A segment from a caller. The bytes may be changed.
    void onCallerBytes(instant now, std::span<std::uint8_t> bytes);
    /// A datagram from another process.
    void onPeerBytes(instant now, const endpoint &from, std::span<std::uint8_t> bytes);
    /// A configuration; older ones are ignored. `source` says where it came from, for the log.
    void onConfig(instant now, const relay_config_ptr &config, std::string_view source);
    /// Failure domains out of service; older ones are ignored.
    void onDomains(instant now, const domains_out &domains, std::string_view source);
    /// Peer addresses of entries that the platform knows.
    void onEntries(instant now, std::span<const endpoint> peers);
    /// Options that changed while the engine runs; names, addresses and `boot` must stay.
    void setOptions(relay_entry_options options) { m_options = std::move(options); }
    /// Time passed. Call at least each tickInterval.
    void onTick(instant now);

    /// Longest time between two calls of onTick.
    static constexpr std::chrono::milliseconds tickInterval{250};

    /// True when callers' packets can be served.
    bool isReady(instant now) const;
    /// A stop signal came: the process turns not ready and goes on forwarding.
    void startLeaving(instant now);
    /// True once the fabric sends no more packets, or the grace is nearly over.
    bool mayExit(instant now) const;

    const relay_config_ptr &config() const { return m_config; }
    const domains_out &domains() const { return m_domains; }
    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t memberCount() const { return m_members.aliveCount(); }
    const member_table &members() const { return m_members; }
    /// Peer addresses of the other entries that were heard within the last seconds.
    std::vector<endpoint> heardEntries(instant now) const;

private:
    /// Members that an opening and its copies were sent to.
    using tried_list = boost::container::static_vector<endpoint, 2 * maximumPlaces>;

    /// A member in the order of a search.
    struct search_place
    {
        endpoint address;
        bool denied = false; ///< It said that its target does not hold the flow.
        bool doubtful = false; ///< It, or another one of its batch, had no word of its target.
    };

    /// A search for a flow's owner with one segment.
    struct search_progress
    {
        std::uint64_t number = 0; ///< Tells the flow's searches apart.
        instant begun{};
        segment head;
        byte_buffer bytes; ///< The segment.
        std::vector<byte_buffer> held; ///< Segments that came meanwhile.
        std::vector<search_place> order; ///< Members to ask, fixed when the search began.
        std::size_t first = 0; ///< Begin of the batch that is asked now, in the order.
        std::size_t end = 0; ///< End of that batch.
        bool oneByOne = false; ///< Its members are asked each on their own.
        instant askedAt{};
        bool ended = false;
    };

    struct cached_flow
    {
        endpoint owner; ///< Process beside the flow's target; none while it is searched.
        instant lastPacket{};
        instant openedAt{}; ///< When the newest opening was sent.
        tried_list tried;
        bool established = false; ///< A segment other than an opening was seen.
        bool confirmed = false; ///< The owner said that it is.
        bool finishing = false; ///< The caller closes the flow.
        instant begun{}; ///< When the caller's attempt to open it began.
        std::optional<instant> keptAt; ///< When its owner said that the opening waits there.
        std::uint16_t searches = 0; ///< Searches begun since the owner was last known.
        std::unique_ptr<search_progress> progress; ///< The newest search since then.
        bool wasParked = false; ///< Its opening waited here.
        bool refusedOnce = false; ///< All candidates of an opening turned it away before.
    };

    /// An opening that waits for a configuration or for the first reports of targets.
    struct parked_opening
    {
        segment head;
        byte_buffer bytes;
        instant begun{}; ///< When the caller's attempt began.
        instant notBefore{}; ///< It is not tried again before.
    };

    struct entry_peer
    {
        instant heard{};
        std::uint64_t revision = 0;
    };

    void onOpening(
        instant now, const segment &head, const route_rule &route, byte_view bytes, instant begun);
    void place(instant now, const segment &head, const route_rule &route, cached_flow &cached,
        byte_view bytes);
    void onEstablished(
        instant now, const segment &head, const route_rule *route, std::span<std::uint8_t> bytes);
    void search(instant now, const segment &head, const route_rule &route, cached_flow &cached,
        byte_view bytes);
    void askNext(instant now, cached_flow &cached);
    void sendSearch(instant now, cached_flow &cached, std::span<const search_place> places);
    void noteDenial(instant now, cached_flow &cached, std::size_t place, bool doubtful);
    void onMissingAnswer(instant now, cached_flow &cached);
    void concludeSearch(instant now, cached_flow &cached);
    void resetLostFlow(instant now, const segment &head);
    void tendSearches(instant now);
    void forwardHeld(const search_progress &progress, const endpoint &owner);
    void retryWaitingSearches(instant now);
    std::vector<relay_member *> wholeSearchOrder(
        instant now, const route_rule &route, const flow_key &flow) const;
    std::string doubtAbout(instant now, const search_progress &progress) const;
    void onRefused(instant now, const segment &head, byte_view bytes);
    void onNotFound(instant now, const relay_header &header, const segment &head, byte_view bytes);
    void suspectOwner(instant now, const flow_key &flow);
    void park(const segment &head, byte_view bytes, instant begun, instant notBefore = {});
    void retryParked(instant now);
    void takeOpening(instant now, const segment &head, byte_view bytes, instant begun);
    bool isKept(const cached_flow &cached, instant now) const;
    relay_header openingHeader(
        instant now, const route_rule &route, const segment &head, const cached_flow &cached) const;
    bool mayBePlaced(instant now, const parked_opening &item) const;
    bool isLearning(instant now) const;
    bool knowsMembers(instant now) const;
    bool mayBecomeReady(std::span<relay_member *const> members) const;
    void resetFlow(instant now, const segment &head, std::string_view reason);
    void logOpening(instant now, const segment &head, std::string_view outcome,
        const relay_member *target, std::size_t eligible);
    void logSearch(instant now, const cached_flow &cached, std::string_view outcome,
        const endpoint &first, std::size_t asked, std::string_view undecided = {});
    void forward(const endpoint &to, const relay_header &header, byte_view bytes);
    relay_header headerFor(relay_kind kind, std::string_view service) const;

    void handle(instant now, const endpoint &from, const target_report &message);
    void handle(instant now, const endpoint &from, const entry_notice &message);
    void handle(instant now, const endpoint &from, const flow_owner &message);
    void handle(instant now, const endpoint &from, const opening_kept &message);
    void handlePacket(instant now, const relay_packet &packet);
    void logMember(instant now, const member_change &change);
    void meetMembers(instant now, std::span<const endpoint> members);
    entry_notice makeNotice(instant now) const;
    void sendNotice(const endpoint &to, const entry_notice &notice);
    void tellEntry(instant now, const endpoint &to, bool wantsNotice);
    void answerEntry(instant now, const endpoint &to);
    void tellMember(instant now, const relay_member &member);
    void sendNotices(instant now);
    void tendPeers(instant now);
    bool shouldKeepCopy(const relay_member &member) const;
    void noteRevision(instant now, const endpoint &from, std::uint64_t revision);
    void sweepFlows(instant now);
    void publishGauges(instant now);

    relay_entry_options m_options;
    const segment_codec &m_codec;
    relay_port &m_port;
    metrics::registry &m_metrics;
    event_log &m_log;
    metrics::number &m_openings;
    metrics::number &m_forwarded;
    metrics::number &m_searches;
    metrics::number &m_dropped;
    metrics::number &m_malformed;

    relay_config_ptr m_config;
    domains_out m_domains;
    std::unordered_set<endpoint> m_droppedRoutes; ///< Addresses that had a route before.
    member_table m_members;
    std::map<endpoint, entry_peer> m_entries;
    std::map<endpoint, instant>
        m_named; ///< Members that entries named lately and are not heard yet.
    std::optional<instant> m_introducedAt; ///< When an entry first named its members.
    std::unordered_map<flow_key, cached_flow> m_flows;
    std::map<flow_key, parked_opening> m_parked;
    std::set<flow_key> m_searching; ///< Flows whose search is watched for missing answers.
    std::set<flow_key> m_waitingSearches; ///< Flows whose search ended too early to conclude.
    instant m_lastSearchTick{};
    instant m_started;
    instant m_configAt{};
    instant m_memberAddedAt{}; ///< When the newest member was heard for the first time.
    instant m_lastCaller{};
    instant m_lastNotices{};
    instant m_lastSweep{};
    instant m_lastFetch{};
    instant m_lastRetry{};
    std::optional<instant> m_leavingSince;
};

} // namespace toucan
