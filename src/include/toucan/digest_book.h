#pragma once

/// Digests of a failure domain's target processes: creation of an entry's own digests, and use of
/// those of other entries. Pure decisions; the caller sends and receives.
///
/// A digest carries the members that changed in the last three intervals, a hash over all that are
/// in use and one over all that are kept. An entry whose own hashes differ after applying the
/// changes requests a whole digest. So the traffic between domains depends on the number of
/// changes, and lost datagrams are made up for.
///
/// Only a digest that was requested shows how old it is. One that matches, or a whole one that has
/// arrived in full, is a statement that all members of the domain at the time of the request are
/// known here.

#include <map>
#include <set>
#include <toucan/relay_config.h>
#include <toucan/relay_members.h>

namespace toucan {

/// Time between two digests of a domain whose members do not change.
inline constexpr std::chrono::milliseconds digestInterval{1000};

/// Time from a member's first report until a digest that lists it has arrived in other domains:
/// digests of a new member are sent within 100 ms.
inline constexpr std::chrono::milliseconds digestTransitTime{200};

/// What an entry's digests carry about the entry itself.
struct digest_origin
{
    endpoint address;
    std::string domain;
    std::uint64_t boot = 0;
    config_stamp config; ///< Of the configuration in force.
    domains_out domains;
    std::uint64_t settledEra = 0; ///< Newest era of the store that has settled.
};

/// Result of applying a digest.
struct digest_outcome
{
    bool isNew = false; ///< It was not received before, and may be passed on.
    bool needsWhole = false; ///< The own view differs: request a whole digest.
    std::vector<member_change> changes;
};

/// State of each failure domain from digests. Not thread-safe.
class digest_book
{
public:
    /// Makes a digest of `domain` on as many pages as it needs: all members when `whole`, otherwise
    /// those that changed in the last three intervals. `complete`: the entry has all members.
    std::vector<member_digest> make(instant now, const member_table &members,
        std::string_view domain, const digest_origin &origin, bool complete, bool whole);
    /// Applies a page of a digest to the members.
    digest_outcome apply(instant now, member_table &members, const member_digest &page);

    /// Marks all domains as incomplete until the next matching digest, and discards statements.
    void forgetCompleteness();
    /// True once the own view has matched a digest of an entry that has all of its members.
    /// Requested or not: this is enough for openings, not for the end of a flow.
    bool isComplete(std::string_view domain) const;
    /// Number of its members in the newest digest of an entry that has all; nullopt before the
    /// first.
    std::optional<std::uint64_t> countOf(std::string_view domain) const;
    /// Number of its members that such an entry keeps, lost and stopped ones included.
    std::optional<std::uint64_t> keptCountOf(std::string_view domain) const;
    /// Time of the newest digest of such an entry.
    std::optional<instant> statedAt(std::string_view domain) const;
    /// Time of the last digest of the domain from one of its own entries; nullopt before the first.
    std::optional<instant> lastSeen(std::string_view domain) const;
    /// True when a statement is so recent that the own view includes each member of the domain that
    /// may have held flows at `since`.
    bool hasStatementSince(std::string_view domain, instant since) const;
    /// The same for a statement of an entry of another domain.
    bool hasForeignStatementSince(std::string_view domain, instant since) const;
    /// Time of the newest statement; nullopt when there is none.
    std::optional<instant> statementAt(std::string_view domain) const;
    /// Time of the newest statement of one of the domain's own entries; nullopt when there is none.
    std::optional<instant> ownStatementAt(std::string_view domain) const;
    /// True when an entry of `witness`, asked at `since` or later, had not heard the domain for
    /// member_table::goneAfter.
    bool isUnheardSince(std::string_view domain, const std::string &witness, instant since) const;
    /// Time of the last digest of the domain that was not requested, from any entry; nullopt before
    /// the first.
    std::optional<instant> lastReported(std::string_view domain) const;

private:
    struct domain_view
    {
        bool complete = false;
        std::optional<instant> lastSeen;
        std::optional<instant> lastReported; ///< Last one not requested, whichever entry sent it.
        std::map<std::string, instant> unheardAt; ///< Newest request, by domain of the entry asked.
        std::optional<instant> ownStatementAt; ///< Newest request answered by its own entries.
        std::optional<instant> otherStatementAt; ///< The same for entries of other domains.
        std::optional<std::uint64_t> includedHash; ///< All members kept under this hash are known.
        std::optional<std::uint64_t> count; ///< Of its members, from an entry that has all.
        std::optional<std::uint64_t> keptCount; ///< Lost and stopped ones included.
        std::optional<instant> statedAt; ///< Last digest of an entry that has all members.
        instant requestedAt{}; ///< Last request for a whole digest.
    };
    /// The pages of a whole digest that have arrived so far.
    struct page_collection
    {
        std::uint64_t boot = 0;
        std::uint64_t number = 0;
        std::set<std::string> inUse; ///< Names of members.
        std::set<std::string> kept; ///< These, and lost and stopped ones.
        bool pruned = false;
    };
    /// Digests received from one origin about one domain.
    struct seen_digests
    {
        std::uint64_t boot = 0;
        std::uint64_t newest = 0; ///< Highest number of a digest.
        std::optional<instant> differsSince; ///< Start of the difference to the own hash.
    };

    bool isNew(const member_digest &page);
    static void recordStatement(instant now, const member_digest &page, domain_view &view);
    void collect(instant now, member_table &members, const member_digest &page, domain_view &view,
        digest_outcome &outcome);
    void compare(instant now, member_table &members, const member_digest &page, domain_view &view,
        digest_outcome &outcome);

    std::map<std::string, domain_view, std::less<>> m_views;
    std::map<std::pair<endpoint, std::string>, seen_digests> m_seen;
    std::map<std::pair<endpoint, std::string>, page_collection> m_pages;
    std::uint64_t m_number = 0;
};

} // namespace toucan
