#include <array>
#include <toucan/lab/segment_callers.h>
#include <toucan/lab/segment_target.h>
#include <utility>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t firstPort = 2000;
// Retransmissions double from the first interval up to the longest.
constexpr auto firstRetransmission = 200ms;
constexpr int retransmissions = 4;
constexpr std::array copyTimes{0ms, 200ms, 600ms};

} // namespace

std::size_t segment_callers::open(const endpoint &service)
{
    const auto number = m_flows.size();
    auto flow = std::make_unique<caller_flow>();
    const auto ip = static_cast<std::uint32_t>(number % m_options.ips);
    const auto port = static_cast<std::uint16_t>(firstPort + number / m_options.ips);
    flow->key = {.caller = {.ip = m_options.firstIp + ip, .port = port}, .service = service};
    m_flows.push_back(std::move(flow));
    for (std::uint32_t copy = 0; copy < copyTimes.size(); ++copy)
        m_options.schedule(copyTimes[copy], [this, number, copy] { sendOpening(number, copy); });
    return number;
}

std::optional<std::size_t> segment_callers::flowOf(const endpoint &caller) const
{
    if (caller.ip < m_options.firstIp || caller.ip >= m_options.firstIp + m_options.ips
        || caller.port < firstPort)
        return std::nullopt;
    const auto number = static_cast<std::size_t>(caller.port - firstPort) * m_options.ips
        + (caller.ip - m_options.firstIp);
    return number < m_flows.size() ? std::optional(number) : std::nullopt;
}

void segment_callers::sendOpening(std::size_t flow, std::uint32_t copy)
{
    const auto &item = *m_flows[flow];
    if (item.open || item.reset)
        return;
    m_options.send(m_options.codec.encode({.source = item.key.caller,
                                              .destination = item.key.service,
                                              .synchronize = true,
                                              .copy = copy},
        {}));
}

void segment_callers::request(std::size_t flow)
{
    if (isOpen(flow))
        sendRequest(flow, ++m_flows[flow]->asked, 0);
}

void segment_callers::sendRequest(std::size_t flow, std::uint32_t number, int tries)
{
    const auto &item = *m_flows[flow];
    if (item.reset || item.answered >= number)
        return;
    if (tries > retransmissions) {
        ++m_outcome.unanswered;
        return;
    }
    m_options.send(m_options.codec.encode({.source = item.key.caller,
                                              .destination = item.key.service,
                                              .acknowledge = true,
                                              .sequence = 1 + (number - 1) * standInPayload,
                                              .acknowledged = item.peerNext,
                                              .length = standInPayload},
        byte_buffer(standInPayload, 'q')));
    m_options.schedule(firstRetransmission * (1 << tries),
        [this, flow, number, tries] { sendRequest(flow, number, tries + 1); });
}

void segment_callers::onSegment(byte_view bytes)
{
    const auto head = m_options.codec.decode(bytes);
    const auto number = head ? flowOf(head->destination) : std::nullopt;
    if (!number)
        return;
    auto &flow = *m_flows[*number];
    if (head->reset) {
        onReset(*number);
    } else if (head->synchronize && !flow.open && !flow.reset) {
        flow.open = true;
        flow.peerNext = head->sequence + 1;
        ++m_outcome.opened;
        request(*number);
    } else if (head->length > 0 && head->sequence == flow.peerNext) {
        flow.peerNext += head->length;
        ++flow.answered;
        ++m_outcome.answered;
        if (m_options.onAnswer)
            m_options.onAnswer(*number);
    }
}

void segment_callers::onReset(std::size_t number)
{
    auto &flow = *m_flows[number];
    if (std::exchange(flow.reset, true))
        return;
    ++(flow.open ? m_outcome.resetOpen : m_outcome.resetUnopened);
    m_options.onReset(number);
}

bool segment_callers::wasAnswered(std::size_t flow) const
{
    return m_flows[flow]->asked > 0 && m_flows[flow]->answered >= m_flows[flow]->asked;
}

} // namespace toucan::lab
