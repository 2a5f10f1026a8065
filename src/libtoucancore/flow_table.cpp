#include <algorithm>
#include <toucan/flow_table.h>

namespace toucan {

bool watch::isRegisteredBy(const coap::message &message) const
{
    const auto registration = coap::parse(request);
    const auto *first = valueOf(registration);
    return first && first->id == message.id;
}

watch *flow::findWatch(byte_view token)
{
    const auto found = std::ranges::find_if(
        watches, [&](const watch &item) { return std::ranges::equal(item.token, token); });
    return found == watches.end() ? nullptr : &*found;
}

flow *flow_table::find(const flow_key &key)
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : found->second.get();
}

flow &flow_table::open(const flow_key &key, instant now)
{
    auto &slot = m_flows[key];
    slot = std::make_unique<flow>();
    slot->key = key;
    m_byActivity.push_back(*slot);
    touch(*slot, now);
    return *slot;
}

void flow_table::touch(flow &item, instant now)
{
    item.lastActive = now;
    item.unlink();
    m_byActivity.push_back(item);
}

void flow_table::close(const flow_key &key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    if (found->second->spilledOnly)
        --m_spilledOnlyCount;
    m_flows.erase(found);
}

std::vector<flow_key> flow_table::idleSince(instant limit) const
{
    std::vector<flow_key> idle;
    for (const auto &item : m_byActivity) {
        if (item.lastActive >= limit)
            break;
        if (item.watches.empty() && item.requests.empty())
            idle.push_back(item.key);
    }
    return idle;
}

void flow_table::markOwned(flow &item)
{
    if (item.spilledOnly)
        --m_spilledOnlyCount;
    item.spilledOnly = false;
}

void flow_table::markSpilledOnly(flow &item)
{
    if (!item.spilledOnly)
        ++m_spilledOnlyCount;
    item.spilledOnly = true;
}

const pointer *flow_table::findPointer(const flow_key &key) const
{
    const auto found = m_pointers.find(key);
    return found == m_pointers.end() ? nullptr : &found->second;
}

void flow_table::setPointer(const flow_key &key, std::string_view owner, instant now)
{
    m_pointers.insert_or_assign(key, pointer{std::string(owner), now});
}

void flow_table::erasePointer(const flow_key &key)
{
    m_pointers.erase(key);
}

void flow_table::expirePointers(instant limit)
{
    std::erase_if(m_pointers, [&](const auto &item) { return item.second.refreshed < limit; });
}

} // namespace toucan
