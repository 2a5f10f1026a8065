#include <toucan/lab/soak_rules.h>
#include <toucan/ranking.h>

namespace toucan::lab {
namespace {

std::uint64_t hashBytes(byte_view bytes)
{
    return hashText({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

} // namespace

void disturbance_record::end(instant now, const std::string &name)
{
    auto &state = m_states[name];
    --state.active;
    state.ended = now;
}

bool disturbance_record::isCalm(
    instant now, const std::string &name, std::chrono::milliseconds calm) const
{
    const auto found = m_states.find(name);
    return found == m_states.end()
        || (found->second.active == 0
            && (!found->second.ended || now - *found->second.ended > calm));
}

bool disturbance_record::isFree(const std::string &name) const
{
    const auto found = m_states.find(name);
    return found == m_states.end() || found->second.active == 0;
}

void sent_segments::add(byte_view bytes)
{
    m_hashes.insert(hashBytes(bytes));
}

bool sent_segments::contains(byte_view bytes) const
{
    return m_hashes.contains(hashBytes(bytes));
}

std::size_t cold_openings::add(instant now)
{
    using namespace std::chrono_literals;
    m_times.push_back(now);
    while (now - m_times.front() >= 1s)
        m_times.pop_front();
    return m_times.size();
}

} // namespace toucan::lab
