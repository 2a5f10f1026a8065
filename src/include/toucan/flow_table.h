#pragma once

/// Table of the flows that a target process owns, and of pointers to flows that other members own.

#include <boost/intrusive/list.hpp>
#include <memory>
#include <string>
#include <toucan/coap.h>
#include <unordered_map>
#include <vector>

namespace toucan {

/// A watch (RFC 7641 observation) registered at the target.
struct watch
{
    byte_buffer token;
    byte_buffer request; ///< The registering datagram, to register the watch again.
    std::uint16_t lastId = 0; ///< Message id of the latest notification, to match a reset.
    instant lastNotified{};
    std::chrono::seconds maxAge{60}; ///< Time for which the latest notification is fresh.
    bool replayPending
        = false; ///< To be registered again by this process for the caller; not answered yet.
    bool established = false; ///< The target has answered with an observation.

    /// True when a message is a copy of the registering one.
    bool isRegisteredBy(const coap::message &message) const;
};

/// A flow with a local socket to the target.
struct flow
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    flow_key key;
    endpoint entry; ///< Entry that sent the latest packet.
    bool spilledOnly = false; ///< Carries only requests spilled by the owner.
    bool closing = false; ///< Handed over or given up; no longer routed here.
    instant lastFromCaller{};
    instant lastActive{};
    instant lastUploadBlock{}; ///< Time of the latest block of an unfinished upload; zero when
                               ///< there is none.
    byte_buffer finishedUpload; ///< Key and attempt of the newest complete upload, to detect late
                                ///< copies of its blocks.
    instant handoverSent{};
    instant lastReopened{}; ///< Time of the latest replacement of its silent local socket.
    std::vector<watch> watches;
    std::vector<std::uint64_t> requests; ///< Identifiers of requests in progress.

    /// Watch with the token, or nullptr.
    watch *findWatch(byte_view token);
};

/// Names the member that owns a flow.
struct pointer
{
    std::string owner;
    instant refreshed{};
};

/// Flows by key, with the least recently active ones first. Not thread-safe.
class flow_table
{
public:
    /// Flow by key, or nullptr.
    flow *find(const flow_key &key);
    /// Opens a flow. The key must not be open yet.
    flow &open(const flow_key &key, instant now);
    /// Records activity on a flow.
    void touch(flow &item, instant now);
    /// Closes and removes a flow.
    void close(const flow_key &key);
    /// Flows without activity since `limit` that have neither watches nor requests.
    std::vector<flow_key> idleSince(instant limit) const;
    /// Number of owned flows; flows that only carry spilled requests do not count.
    std::size_t ownedCount() const { return m_flows.size() - m_spilledOnlyCount; }
    /// Marks a flow as owned by this process.
    void markOwned(flow &item);
    /// Marks a flow as carrying only spilled requests.
    void markSpilledOnly(flow &item);

    /// Calls visit(flow) for each flow.
    template <class F>
    void forEach(F &&visit)
    {
        for (auto &[key, item] : m_flows)
            visit(*item);
    }

    /// Pointer to the owner of a flow, or nullptr when there is none.
    const pointer *findPointer(const flow_key &key) const;
    void setPointer(const flow_key &key, std::string_view owner, instant now);
    void erasePointer(const flow_key &key);
    /// Removes pointers last refreshed before `limit`.
    void expirePointers(instant limit);
    std::size_t pointerCount() const { return m_pointers.size(); }

private:
    using activity_list = boost::intrusive::list<flow, boost::intrusive::constant_time_size<false>>;

    std::unordered_map<flow_key, std::unique_ptr<flow>> m_flows;
    activity_list m_byActivity;
    std::unordered_map<flow_key, pointer> m_pointers;
    std::size_t m_spilledOnlyCount = 0;
};

} // namespace toucan
