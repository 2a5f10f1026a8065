#pragma once

/// The flows that a target process owns, and its pointers to flows that other members own.

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
    byte_buffer request; ///< The registering datagram, to register again elsewhere.
    std::uint16_t lastId = 0; ///< Message id of the latest notification, to match a reset.
    instant lastNotified{};
    std::chrono::seconds maxAge{60}; ///< Time for which the latest notification is fresh.
    bool replayPending
        = false; ///< Registered by this process on the caller's behalf; not yet answered.
    bool established = false; ///< The caller was told that it watches.

    /// True when a message is a copy of the registering one.
    bool isRegisteredBy(const coap::message &message) const;
};

/// A flow with a local socket to the target.
struct flow
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    flow_key key;
    endpoint entry; ///< Entry that brought the latest packet.
    bool spilledOnly = false; ///< Only carries requests spilled by the owner.
    bool closing = false; ///< Handed over or given up; packets go to `movedTo`.
    instant lastFromCaller{};
    instant lastActive{};
    instant lastUploadBlock{}; ///< Latest block of an unfinished upload; zero when there is none.
    byte_buffer finishedUpload; ///< Key and attempt of the newest whole one: its late copies.
    instant handoverSent{};
    instant lastReopened{}; ///< When its local socket was last found silent.
    std::vector<watch> watches;
    std::vector<std::uint64_t> requests; ///< Requests in progress.

    /// Watch with the token, or nullptr.
    watch *findWatch(byte_view token);
};

/// Says which member owns a flow.
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
    /// Notes activity.
    void touch(flow &item, instant now);
    /// Closes a flow and forgets it.
    void close(const flow_key &key);
    /// Flows that have been idle since before `limit` and have neither watches nor requests.
    std::vector<flow_key> idleSince(instant limit) const;
    /// Flows owned, guests left out.
    std::size_t ownedCount() const { return m_flows.size() - m_spilledOnlyCount; }
    /// Makes a guest flow an owned one.
    void markOwned(flow &item);
    /// Marks a flow as a guest one.
    void markSpilledOnly(flow &item);

    /// Calls visit(flow) for each flow.
    template <class F>
    void forEach(F &&visit)
    {
        for (auto &[key, item] : m_flows)
            visit(*item);
    }

    /// Owner of a flow that another member has, or nullptr.
    const pointer *findPointer(const flow_key &key) const;
    void setPointer(const flow_key &key, std::string_view owner, instant now);
    void erasePointer(const flow_key &key);
    /// Forgets pointers not refreshed since before `limit`.
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
