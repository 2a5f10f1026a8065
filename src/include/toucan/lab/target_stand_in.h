#pragma once

/// Stand-in for a target: runs CoAP requests in a bounded number of slots, starts cold, sheds load,
/// falls over under too much of it, drains, honours deadlines and cancellation, and keeps a log of
/// every request that it ran.
///
/// Resources: POST on any path runs a submission (blocks are assembled) and answers with a receipt;
/// GET status with Observe is a watch, notified once a second; GET file/N gives a document in
/// blocks; GET health gives the state, which may lag or lie.

#include <deque>
#include <fstream>
#include <map>
#include <queue>
#include <random>
#include <toucan/coap.h>
#include <toucan/udp_socket.h>

namespace toucan::lab {

/// Receipt that a target gives for a submission; callers know what to expect.
byte_buffer receiptFor(byte_view submission);
/// Content of a document; the same on every target.
byte_buffer documentContent(std::string_view path);

/// Behaviour of a stand-in target.
struct target_stand_in_options
{
    endpoint address;
    std::size_t slots = 10; ///< Requests at once when warm.
    std::size_t coldSlots = 2; ///< Requests at once when cold.
    std::size_t connections = 2000; ///< Flows at once.
    std::chrono::milliseconds coldTime{3000}; ///< Time from a start until warm.
    std::chrono::milliseconds serviceTime{20}; ///< Mean time for a request when warm.
    int coldFactor = 3; ///< Requests take this many times longer when cold.
    std::chrono::milliseconds healthLag{2000}; ///< Age of what the health endpoint says.
    bool healthLies = false; ///< The health endpoint always says ready.
    std::string logFile; ///< Requests run are appended here; empty for none.
    std::string name;
    std::uint64_t seed = 1;
};

/// One stand-in target; one thread.
class target_stand_in
{
public:
    explicit target_stand_in(const target_stand_in_options &options);

    /// Serves until `stop` says so.
    void run(const std::function<bool()> &stop);
    /// Turns cold now, without a sign. Any thread.
    void turnCold() { m_coldRequested = true; }

    /// Counters, readable by any thread.
    struct counts
    {
        std::atomic<std::uint64_t> ran = 0;
        std::atomic<std::uint64_t> shed = 0;
        std::atomic<std::uint64_t> toppled = 0;
        std::atomic<std::uint64_t> overloadedWhenCold = 0;
        std::atomic<std::uint64_t> inProgress = 0;
        std::atomic<std::uint64_t> busyMicroseconds
            = 0; ///< Sum over requests of their time in a slot.
        std::atomic<std::uint64_t> watches = 0;
        std::atomic<std::uint64_t> cancelled = 0;
        std::atomic<std::uint64_t> requests = 0; ///< Received, health questions left out.
    };
    const counts &counters() const { return m_counts; }

private:
    using request_id = std::pair<endpoint, std::uint16_t>;
    struct job
    {
        endpoint caller;
        coap::message request;
        byte_buffer body;
        bool cancelled = false;
        instant started{};
    };
    struct observer
    {
        endpoint caller;
        byte_buffer token;
        std::uint16_t lastId = 0;
    };
    struct finish
    {
        instant at;
        request_id id;
        bool operator>(const finish &other) const { return at > other.at; }
    };
    struct cached_answer
    {
        instant until;
        request_id id;
    };
    struct state_change
    {
        instant at;
        bool cold;
    };

    void onDatagram(instant now, const endpoint &from, byte_view payload);
    void onRequest(instant now, const endpoint &from, coap::message &&request);
    bool assemble(
        instant now, const endpoint &from, const coap::message &request, byte_buffer &body);
    bool admit(instant now, const endpoint &from, const coap::message &request);
    void start(instant now, const endpoint &from, coap::message &&request, byte_buffer &&body);
    void complete(instant now, const job &item);
    void notify(instant now);
    void answer(
        instant now, const endpoint &to, const coap::message &request, coap::message &&response);
    void becomeCold(instant now);
    void topple(instant now);
    bool isCold(instant now) const { return now < m_coldUntil; }
    std::string reportedState(instant now) const;
    void logRun(const job &item);
    std::uint32_t observeSequence(instant now) const;

    target_stand_in_options m_options;
    udp_socket m_socket;
    std::mt19937_64 m_random;
    std::ofstream m_log;
    counts m_counts;
    std::atomic<bool> m_coldRequested = false;
    instant m_coldUntil{};
    instant m_deadUntil{};
    std::deque<instant> m_sheds;
    std::deque<state_change> m_history;
    std::map<request_id, job> m_jobs;
    std::priority_queue<finish, std::vector<finish>, std::greater<>> m_finishes;
    std::map<request_id, byte_buffer> m_answers;
    std::deque<cached_answer> m_answerOrder;
    std::map<std::pair<endpoint, byte_buffer>, byte_buffer> m_uploads;
    std::map<std::pair<endpoint, byte_buffer>, observer> m_observers;
    instant m_lastNotify{};
    std::uint16_t m_nextId = 1;
    std::array<std::uint8_t, 65535> m_buffer{};
};

} // namespace toucan::lab
