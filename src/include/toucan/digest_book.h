#pragma once

/// Digests of a failure domain's target processes: how an entry makes them, and what it learns from
/// those of other entries. Pure decisions; the caller sends and receives.
///
/// A digest carries the members that changed in the last three intervals and a hash over all of
/// them. Who finds another hash after taking the changes in asks for a whole digest. So what
/// travels between domains depends on what changes, and lost datagrams heal.

#include <map>
#include <set>
#include <toucan/relay_config.h>
#include <toucan/relay_members.h>

namespace toucan {

/// Time between two digests of a domain whose members do not change.
inline constexpr std::chrono::milliseconds digestInterval{1000};

/// What an entry says of itself in each of its digests.
struct digest_origin
{
    endpoint address;
    std::string domain;
    std::uint64_t boot = 0;
    config_stamp config; ///< Of the configuration in force.
    domains_out domains;
    std::uint64_t settledEra = 0; ///< Newest era of the store that has settled.
};

/// What a digest led to.
struct digest_outcome
{
    bool isNew = false; ///< It was not seen before, and others may be told.
    bool needsWhole = false; ///< The own view differs and a whole digest is needed.
    std::vector<member_change> changes;
};

/// What is known of each failure domain from digests. Not thread-safe.
class digest_book
{
public:
    /// Makes a digest of `domain` on as many pages as it needs: all members when `whole`, otherwise
    /// those that changed lately.
    std::vector<member_digest> make(instant now, const member_table &members,
        std::string_view domain, const digest_origin &origin, bool complete, bool whole);
    /// Takes a page in.
    digest_outcome apply(instant now, member_table &members, const member_digest &page);

    /// Takes no domain for known until it is told of again.
    void forgetCompleteness();
    /// True once somebody who knows the whole domain has told of it.
    bool isComplete(std::string_view domain) const;
    /// Number of its members by the newest digest of somebody who knows all; nullopt before that.
    std::optional<std::uint64_t> countOf(std::string_view domain) const;
    /// When a digest of the domain came last from one of its own entries; nullopt before the first.
    std::optional<instant> lastSeen(std::string_view domain) const;

private:
    struct domain_view
    {
        bool complete = false;
        std::optional<instant> lastSeen;
        std::optional<std::uint64_t> count; ///< Of its members, told by somebody who knows all.
        instant requestedAt{}; ///< When a whole digest was asked for.
    };
    /// The pages of a whole digest that have come so far.
    struct page_collection
    {
        std::uint64_t boot = 0;
        std::uint64_t number = 0;
        std::set<std::string> names;
        bool pruned = false;
    };
    /// What was seen from one origin about one domain.
    struct seen_digests
    {
        std::uint64_t boot = 0;
        std::uint64_t newest = 0; ///< Highest number of a digest.
        std::optional<instant> differsSince; ///< Its hash differs from the own one.
    };

    bool isNew(const member_digest &page);
    void collect(
        instant now, member_table &members, const member_digest &page, digest_outcome &outcome);
    void compare(instant now, member_table &members, const member_digest &page, domain_view &view,
        digest_outcome &outcome);

    std::map<std::string, domain_view, std::less<>> m_views;
    std::map<std::pair<endpoint, std::string>, seen_digests> m_seen;
    std::map<std::pair<endpoint, std::string>, page_collection> m_pages;
    std::uint64_t m_number = 0;
};

} // namespace toucan
