#pragma once

/// A stand-in target of a soak: the far end of its flows on a socket, and its liveness reports to
/// the process beside it.

#include <condition_variable>
#include <thread>
#include <toucan/control_link.h>
#include <toucan/lab/event_queue.h>
#include <toucan/lab/segment_target.h>
#include <toucan/lab/soak_rules.h>
#include <toucan/udp_socket.h>

namespace toucan::lab {

/// How a stand-in target is placed.
struct soak_target_options
{
    const segment_codec &codec;
    std::string name; ///< Identity in its reports.
    std::string vm; ///< VM that it runs on.
    std::string domain;
    std::string service;
    endpoint address; ///< Where it takes segments.
    endpoint outbound; ///< Where it sends segments.
    endpoint reports; ///< Where it reports itself.
    std::uint64_t seed = 1;
    std::function<void(std::chrono::microseconds, std::function<void()>)> schedule;
    std::function<void(const flow_key &)> onOpening;
    std::function<void(byte_view)> onAnswer; ///< It sent a segment.
};

/// One stand-in target. One thread, besides its own that reports.
class soak_target
{
public:
    explicit soak_target(soak_target_options options);
    ~soak_target();

    /// A new lifetime begins, cold for so long.
    void start(instant now, std::chrono::milliseconds coldFor);
    /// Ends: its port is closed and nothing is reported any more.
    void crash();
    /// Says that it leaves; confirmed() tells since when the system knows.
    void drain();
    /// Sends its last report, and serves its flows until it ends.
    void sayGoodbye();
    /// Takes no segments and sends none.
    void setSilent(bool silent) { m_silent = silent; }

    /// When draining was confirmed; nullopt while it was not, or is not asked for.
    std::optional<instant> confirmed() const;
    /// It runs, is warm and does not leave.
    bool takesFlows(instant now) const;
    bool isCold(instant now) const { return now < m_coldUntil; }
    const soak_target_options &options() const { return m_options; }
    segment_target &end() { return m_end; }
    /// Its socket; null while it does not run.
    udp_socket *socket() { return m_socket ? &*m_socket : nullptr; }
    cold_openings &coldOpenings() { return m_coldOpenings; }
    /// A segment came in.
    void onSegment(byte_view bytes);

private:
    struct report_state
    {
        bool running = false;
        bool draining = false;
        bool leaving = false;
        std::uint64_t startedMs = 0;
        std::uint64_t sequence = 0;
        std::optional<instant> confirmed;
    };

    void report(const std::stop_token &stop);
    bool sendReport(const http_request &request) const;
    void openSocket();

    soak_target_options m_options;
    std::optional<udp_socket> m_socket;
    segment_target m_end;
    cold_openings m_coldOpenings;
    bool m_silent = false;
    instant m_coldUntil{};
    std::atomic<std::int64_t> m_coldUntilMs = 0;
    mutable std::mutex m_mutex;
    std::condition_variable_any m_wake;
    bool m_hurry = false; ///< A report is due at once.
    report_state m_state;
    std::jthread m_reporter;
};

} // namespace toucan::lab
