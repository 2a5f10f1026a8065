#include <toucan/lab/segment_target.h>

namespace toucan::lab {

void segment_target::restart()
{
    m_held.clear();
    m_waiting.clear();
    m_working = 0;
    m_openings = 0;
    ++m_lifetime;
    m_running = true;
}

bool segment_target::holds(const flow_key &flow) const
{
    const auto found = m_held.find(flow);
    return m_running && found != m_held.end() && found->second.established;
}

void segment_target::onSegment(byte_view bytes)
{
    const auto head = m_options.codec.decode(bytes);
    if (!head || !m_running)
        return;
    if (head->isOpening())
        onOpening(*head);
    else
        onEstablished(*head, bytes);
}

void segment_target::onOpening(const segment &head)
{
    const auto key = head.flowFromCaller();
    const auto [place, isNew]
        = m_held.try_emplace(key, held_flow{.sequence = static_cast<std::uint32_t>(m_random())});
    if (isNew) {
        ++m_openings;
        m_options.onOpening(key);
    }
    m_options.send(m_options.codec.encode({.source = key.service,
                                              .destination = key.caller,
                                              .synchronize = true,
                                              .acknowledge = true,
                                              .sequence = place->second.sequence,
                                              .acknowledged = head.sequence + 1},
        {}));
}

void segment_target::onEstablished(const segment &head, byte_view bytes)
{
    const auto key = head.flowFromCaller();
    const auto place = m_held.find(key);
    const bool mine = place != m_held.end()
        && (place->second.established || head.acknowledged == place->second.sequence + 1);
    if (!mine) {
        auto returned = head;
        returned.returned = true;
        m_options.send(m_options.codec.encode(returned, bytes.last(head.length)));
        return;
    }
    auto &flow = place->second;
    flow.established = true;
    if (head.length == 0)
        return;
    const auto end = head.sequence + head.length;
    if (end <= flow.callerNext) {
        // A retransmission: the answer to the newest request may be lost, older ones came.
        if (end == flow.callerNext && flow.answered > 0)
            reply(key, flow, flow.answered - 1);
        return;
    }
    flow.callerNext = end;
    if (m_failing) {
        m_options.send(m_options.codec.encode({.source = key.service,
                                                  .destination = key.caller,
                                                  .reset = true,
                                                  .sequence = flow.sequence + 1,
                                                  .acknowledged = end},
            {}));
        m_held.erase(place);
        return;
    }
    ++m_runs[{key, head.sequence}];
    take(key);
}

void segment_target::take(const flow_key &key)
{
    const auto number = m_held.at(key).taken++;
    m_waiting.emplace_back(key, m_options.workOf ? m_options.workOf(key, number) : m_options.work);
    startNext();
}

void segment_target::startNext()
{
    if (m_waiting.empty() || (m_options.slots > 0 && m_working >= m_options.slots))
        return;
    const auto [key, work] = m_waiting.front();
    m_waiting.pop_front();
    ++m_working;
    m_options.schedule(work, [this, key = key, lifetime = m_lifetime] {
        if (!m_running || m_lifetime != lifetime)
            return;
        --m_working;
        const auto still = m_held.find(key);
        if (still != m_held.end())
            reply(key, still->second, still->second.answered++);
        startNext();
    });
}

void segment_target::reply(const flow_key &key, const held_flow &flow, std::uint32_t number)
{
    const byte_buffer payload(standInPayload, 'r');
    m_options.send(
        m_options.codec.encode({.source = key.service,
                                   .destination = key.caller,
                                   .acknowledge = true,
                                   .sequence = flow.sequence + 1 + number * standInPayload,
                                   .acknowledged = flow.callerNext,
                                   .length = standInPayload},
            payload));
}

} // namespace toucan::lab
