#include <algorithm>
#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <toucan/event_log.h>
#include <unistd.h>

namespace toucan {
namespace {

// Writes whole lines to standard output and drops those for which the pipe has no room.
class standard_output_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    standard_output_sink()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
            ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
        if (written == static_cast<ssize_t>(line.size())) {
            reportDropped();
            return;
        }
        ++m_dropped;
        // A line that was written in part is ended by the next report of dropped lines.
        m_lineIsOpen = m_lineIsOpen || written > 0;
    }
    void flush_() override { }

private:
    void reportDropped()
    {
        if (m_dropped == 0)
            return;
        const auto text = (m_lineIsOpen ? "\n" : "")
            + nlohmann::ordered_json{{"event", "lines_left_out"}, {"kind", ""},
                {"count", m_dropped}}
                  .dump()
            + '\n';
        if (::write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size())) {
            m_dropped = 0;
            m_lineIsOpen = false;
        }
    }

    std::uint64_t m_dropped = 0;
    bool m_lineIsOpen = false;
};

std::atomic<bool> silenced = false;

// Interval between reports of suppressed lines, for each kind of line.
constexpr std::chrono::seconds suppressionReportInterval{1};

} // namespace

bool token_bucket::take(instant now)
{
    const auto passed = std::chrono::duration<double>(now - m_last).count();
    m_tokens = std::min(m_perSecond, m_tokens + std::max(0.0, passed) * m_perSecond);
    m_last = std::max(m_last, now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

event_log::event_log(std::string part, std::uint64_t linesPerSecond)
    : m_linesPerSecond(static_cast<double>(linesPerSecond))
{
    static const auto sink = std::make_shared<standard_output_sink>();
    m_logger = std::make_shared<spdlog::logger>(std::move(part), sink);
    m_logger->set_pattern("%n %v");
}

void event_log::setRate(std::uint64_t linesPerSecond)
{
    const std::lock_guard lock(m_mutex);
    m_linesPerSecond = static_cast<double>(linesPerSecond);
    for (auto &[kind, state] : m_kinds)
        state.bucket.setRate(m_linesPerSecond);
}

void event_log::silence()
{
    silenced = true;
}

bool event_log::admit(instant now, std::string_view kind)
{
    if (silenced)
        return false;
    const std::lock_guard lock(m_mutex);
    auto &state
        = m_kinds.try_emplace(kind, kind_state{token_bucket(m_linesPerSecond)}).first->second;
    if (!state.bucket.take(now)) {
        ++state.suppressed;
        return false;
    }
    if (state.suppressed > 0 && now - state.lastReport >= suppressionReportInterval) {
        state.lastReport = now;
        emit(fields_of<lines_left_out>::name,
            {{"kind", kind}, {"count", std::exchange(state.suppressed, 0)}});
    }
    return true;
}

void event_log::emit(std::string_view kind, const nlohmann::ordered_json &line)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json whole{{"event", kind},
        {"timeMs", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()}};
    whole.update(line);
    m_logger->info(
        "{}", whole.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace toucan
