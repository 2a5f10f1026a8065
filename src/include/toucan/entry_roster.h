#pragma once

/// An entry's view of the other entries: which are alive, which represent their failure domain
/// towards other domains, and which have to follow the platform's store. Pure decisions.
///
/// Each entry decides alone by the same order, without election or lease: the first alive entries
/// in a failure domain's rendezvous order are its delegates. While views differ there are more
/// delegates than needed, not fewer.

#include <map>
#include <span>
#include <string>
#include <toucan/endpoint.h>
#include <toucan/generated/relay.h>
#include <toucan/store_point.h>
#include <vector>

namespace toucan {

/// Entries that represent a failure domain, and entries that follow the store in it: one may fail,
/// stop or be cut off while the other still runs.
inline constexpr std::size_t delegatesPerDomain = 2;

/// Limit on the entries of a domain that try to follow the store while it answers none of them.
inline constexpr std::size_t maxFollowers = 4;

/// State of an entry's connection to the platform's store.
enum class store_standing : std::uint8_t {
    not_asked, ///< It makes no calls; whether they would succeed is unknown.
    followed, ///< It receives changes.
    lost, ///< Its newest call failed.
};

/// State of one entry.
struct entry_peer
{
    std::string domain; ///< Empty while it is not known.
    std::uint64_t rank = 0; ///< Position in its domain's order; larger comes first.
    std::uint64_t boot = 0; ///< Random number of its start; 0 while it is not known.
    instant lastSeen{}; ///< Time of its newest message.
    bool leaving = false; ///< It reported that it stops; it still forwards packets until it ends.
    config_stamp config; ///< Of the configuration in force there.
    store_standing store = store_standing::not_asked;
    bool isDomainComplete = false; ///< It has all members of its domain.
};

/// The known entries. Not thread-safe.
class entry_roster
{
public:
    /// Silence after which an entry is not alive: eight notices.
    static constexpr std::chrono::milliseconds silenceLimit{4000};
    /// Silence after which it is removed.
    static constexpr std::chrono::milliseconds forgetAfter{60000};

    entry_roster(const endpoint &self, std::string domain);

    /// Adds an entry that was named by another process or in the settings, as not alive. True when
    /// it was not known.
    bool add(instant now, const entry_place &entry);
    /// Records a message from the start `boot` of an entry. True when nothing was received from
    /// that start recently.
    bool recordSeen(instant now, const entry_place &entry, std::uint64_t boot = 0);
    /// Records that an entry stops: it is not alive any more, until another start of it is seen.
    void recordLeaving(const endpoint &address);
    /// Removes entries silent for forgetAfter, except those in `kept`.
    void sweep(instant now, std::span<const endpoint> kept);

    /// The entry at an address, or nullptr.
    entry_peer *at(const endpoint &address);
    bool isAlive(const endpoint &address, instant now) const;
    /// True when another alive entry of the own domain has all of the domain's members.
    bool hasCompletePeer(instant now) const;
    /// Alive entries of a domain, without this one.
    std::vector<endpoint> aliveIn(std::string_view domain, instant now) const;
    /// Entries of a domain that may forward packets, without this one: alive ones, and stopping
    /// ones that have not ended. They need the state of all members.
    std::vector<endpoint> forwardingIn(std::string_view domain, instant now) const;
    /// True when an entry of the domain was heard within `limit`.
    bool isHeardIn(std::string_view domain, instant now, std::chrono::milliseconds limit) const;
    /// All alive entries, without this one.
    std::vector<endpoint> alive(instant now) const;
    /// Entries of a domain, alive or not, and those of unknown domains, without this one.
    std::vector<endpoint> knownIn(std::string_view domain) const;
    /// Domains of known entries other than the own one.
    std::vector<std::string> otherDomains() const;

    /// Entries to contact for another domain: its delegates, and while fewer are alive, stopping
    /// ones, then silent ones in turn.
    std::vector<endpoint> delegatesOf(std::string_view domain, instant now) const;
    /// True when this entry is a delegate of its own domain. One that stops ranks after all alive
    /// entries, so it remains a delegate while there are too few of them.
    bool isDelegate(instant now, bool isStopping = false) const;
    /// True when this entry has to follow the store. The first delegatesPerDomain entries of
    /// the domain's order that have not lost it do. One that has lost it still tries while fewer
    /// than that report that they follow it; no more than maxFollowers try at a time.
    bool shouldFollowStore(instant now, store_standing own) const;

    /// Where to fetch a configuration with `stamp`, or a newer one by `order`: from `reporter`,
    /// whose message carried the stamp, or from an alive entry of the own domain that has it;
    /// `choice` selects among them.
    endpoint sourceOf(const config_order &order, const config_stamp &stamp,
        const endpoint &reporter, std::uint64_t choice, instant now) const;

    /// Entries to announce to a process of a domain: those of the domain, stopping ones included,
    /// and the delegates of others.
    std::vector<entry_place> entriesToAnnounce(std::string_view domain, instant now) const;

private:
    struct ranked_entry
    {
        endpoint address;
        const entry_peer *peer = nullptr;
    };
    std::vector<ranked_entry> orderOf(std::string_view domain) const;
    static bool mayForward(const entry_peer &peer, instant now)
    {
        return now - peer.lastSeen < silenceLimit;
    }
    static bool isAlive(const entry_peer &peer, instant now)
    {
        return mayForward(peer, now) && !peer.leaving;
    }
    template <class Predicate>
    std::vector<endpoint> addressesWhere(Predicate &&accept) const;

    endpoint m_self;
    std::string m_domain;
    std::uint64_t m_ownRank;
    std::map<endpoint, entry_peer> m_peers;
};

} // namespace toucan
