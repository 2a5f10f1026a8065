#pragma once

/// What an entry believes about the other entries: who is heard, who stands for its failure domain
/// towards the others, and who has to follow the platform's store. Pure decisions.
///
/// Everybody decides alone by the same order, without election or lease: the first entries in a
/// failure domain's rendezvous order that are heard are its delegates. Views that differ for a
/// moment have more delegates than needed, not fewer.

#include <map>
#include <span>
#include <string>
#include <toucan/endpoint.h>
#include <toucan/generated/relay.h>
#include <toucan/store_point.h>
#include <vector>

namespace toucan {

/// Entries that stand for a failure domain, and those that follow the store in it: one may die,
/// stop or be cut off while the other goes on.
inline constexpr std::size_t delegatesPerDomain = 2;

/// Entries of a domain that try to follow the store at most, while it answers none of them.
inline constexpr std::size_t maxFollowers = 4;

/// How an entry gets on with the platform's store.
enum class store_standing : std::uint8_t {
    not_asked, ///< It makes no calls, and may be able to.
    followed, ///< It hears of changes.
    lost, ///< Its newest call failed.
};

/// What is known of one entry.
struct entry_peer
{
    std::string domain; ///< Empty while it is not known.
    std::uint64_t rank = 0; ///< Its place in its domain's order; larger comes first.
    instant lastSeen{};
    config_stamp config; ///< Of the configuration in force there.
    store_standing store = store_standing::not_asked;
    bool knowsDomain = false; ///< It knows all members of its domain.
};

/// The entries that a process knows. Not thread-safe.
class entry_roster
{
public:
    /// Silence after which an entry is taken for gone: eight notices.
    static constexpr std::chrono::milliseconds silenceLimit{4000};
    /// Silence after which it is forgotten.
    static constexpr std::chrono::milliseconds forgetAfter{60000};

    entry_roster(const endpoint &self, std::string domain);

    /// Somebody names an entry. True when it was not known.
    bool add(instant now, const entry_place &place);
    /// An entry was heard. Returns true when it had not been heard for long, or never.
    bool noteSeen(instant now, const entry_place &place);
    /// An entry said that it stops.
    void noteLeaving(instant now, const endpoint &address);
    /// Forgets entries that have been silent for long; `kept` ones stay.
    void sweep(instant now, std::span<const endpoint> kept);

    /// The entry at an address, or nullptr.
    entry_peer *at(const endpoint &address);
    bool isAlive(const endpoint &address, instant now) const;
    /// True when an entry of the own domain that is heard knows all of the domain's members.
    bool hasCompletePeer(instant now) const;
    /// Entries of a domain that are heard, without this one.
    std::vector<endpoint> aliveIn(std::string_view domain, instant now) const;
    /// All entries that are heard, without this one.
    std::vector<endpoint> alive(instant now) const;
    /// Entries of a domain whether heard or not, and those of unknown domains, without this one.
    std::vector<endpoint> knownIn(std::string_view domain) const;
    /// Domains of known entries other than the own one.
    std::vector<std::string> otherDomains() const;

    /// Entries to speak to for another domain: its delegates, and while fewer are heard, others of
    /// the domain in turn.
    std::vector<endpoint> delegatesOf(std::string_view domain, instant now) const;
    /// True when this entry stands for its own domain.
    bool isDelegate(instant now) const;
    /// True when this entry has to follow the store. The first delegatesForEachDomain entries of
    /// the domain's order that have not lost it do. One that has lost it goes on trying while fewer
    /// than that say that they follow it, and no more than mostFollowers try at a time.
    bool shouldFollowStore(instant now, store_standing own) const;

    /// Where to fetch a configuration with `stamp`, or a newer one by `order`, that `teller` spoke
    /// of: one of the entries of the own domain that have it, another one for each `choice`; else
    /// the teller.
    endpoint sourceOf(const config_order &order, const config_stamp &stamp,
        const endpoint &reporter, std::uint64_t choice, instant now) const;

    /// Entries to name to a process of a domain: those of the domain and the delegates of others.
    std::vector<entry_place> entriesToAnnounce(std::string_view domain, instant now) const;

private:
    struct ranked_entry
    {
        endpoint address;
        const entry_peer *peer = nullptr;
    };
    std::vector<ranked_entry> orderOf(std::string_view domain) const;
    bool isAlive(const entry_peer &peer, instant now) const
    {
        return now - peer.lastSeen < silenceLimit;
    }

    endpoint m_self;
    std::string m_domain;
    std::uint64_t m_ownRank;
    std::map<endpoint, entry_peer> m_peers;
};

} // namespace toucan
