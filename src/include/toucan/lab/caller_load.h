#pragma once

/// Stand-in for callers: submits, watches and pulls over many flows, as CoAP clients do, and checks
/// every answer byte for byte against its own request.

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <toucan/coap.h>
#include <toucan/udp_socket.h>

namespace toucan::lab {

/// What the callers do.
struct caller_options
{
    endpoint service; ///< Service address.
    std::uint32_t callerIp = 0x7f000001; ///< IP that the callers use.
    std::size_t submitters = 20; ///< Callers that submit, one submission at a time.
    std::size_t watchers = 10; ///< Callers that watch all the time.
    std::size_t pullers = 5; ///< Callers that fetch documents in blocks.
    std::size_t uploadEvery = 10; ///< One submission in this many goes in blocks; 0 for none.
    std::chrono::milliseconds submitPause{100}; ///< Mean pause between a caller's submissions.
    std::chrono::milliseconds pullPause{200}; ///< Mean pause between a caller's documents.
    std::chrono::milliseconds retransmit{400}; ///< First retransmission; doubles each time.
    std::chrono::milliseconds attemptTime{2500}; ///< Time for one attempt.
    std::chrono::milliseconds inTime{5000}; ///< A submission delivered by then is in time.
    std::size_t attempts = 5; ///< Attempts under one Request-Tag.
    std::chrono::milliseconds watchSilence{3500}; ///< A watch without news for longer is broken.
    std::uint64_t seed = 1;
};

/// What became of the requests.
struct caller_counts
{
    std::uint64_t submissions = 0; ///< Begun.
    std::uint64_t delivered = 0; ///< Answered with the right receipt.
    std::uint64_t deliveredInTime = 0;
    std::uint64_t refused = 0; ///< Attempts told "not run".
    std::uint64_t unknown = 0; ///< Attempts told "outcome unknown".
    std::uint64_t timeouts = 0; ///< Attempts never answered.
    std::uint64_t abandoned = 0; ///< Submissions without a receipt after all attempts.
    std::vector<std::string> abandonedAfter; ///< How each attempt of those ended.
    std::uint64_t wrongAnswers = 0; ///< Answers that do not belong to the request.
    std::uint64_t pulls = 0; ///< Documents fetched whole.
    std::uint64_t pullFailures = 0;
    std::uint64_t watchesOpened = 0;
    std::uint64_t watchesBroken = 0; ///< Silent for too long.
    std::uint64_t watchesEnded = 0; ///< Ended by the system with an answer that says so.
    std::uint64_t notifications = 0;

    nlohmann::json toJson() const;
};

/// A key and attempt that the caller was told had not run.
struct refused_attempt
{
    byte_buffer key;
    std::uint64_t attempt = 0;
    auto operator<=>(const refused_attempt &) const = default;
};

/// Service in one second of the run.
struct second_counts
{
    std::uint64_t delivered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

/// Runs the callers on a thread of its own from construction until stop().
class caller_load
{
public:
    explicit caller_load(const caller_options &options);
    ~caller_load();
    caller_load(const caller_load &) = delete;
    caller_load &operator=(const caller_load &) = delete;

    /// Begins no more requests, waits for those in progress, and ends. Idempotent.
    void stop();
    caller_counts counts() const;
    std::vector<refused_attempt> refusals() const;
    std::vector<byte_buffer> deliveredKeys() const;
    std::vector<second_counts> seconds() const;
    /// Latencies of delivered submissions, milliseconds.
    std::vector<double> latencies() const;

private:
    enum class role : std::uint8_t { submitter, watcher, puller };
    struct caller;

    void run(const std::stop_token &stop);
    void step(caller &item, instant now);
    void receive(caller &item, instant now);
    void onAnswer(caller &item, instant now, const coap::message &answer);
    void onSubmissionAnswer(caller &item, instant now, const coap::message &answer);
    void onWatchAnswer(caller &item, instant now, const coap::message &answer);
    void onPullAnswer(caller &item, instant now, const coap::message &answer);
    void beginSubmission(caller &item, instant now);
    void sendSubmission(caller &item, instant now);
    void beginWatch(caller &item, instant now, bool newFlow);
    void sendPull(caller &item, instant now);
    void send(caller &item, instant now, coap::message &&request);
    void endAttempt(caller &item, instant now, std::uint64_t caller_counts::*counter,
        std::chrono::milliseconds pause, std::string_view how);
    void openFlow(caller &item);
    second_counts &secondAt(instant now);
    instant pauseAround(std::chrono::milliseconds mean);

    caller_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<caller>> m_callers;
    mutable std::mutex m_mutex;
    caller_counts m_counts;
    std::vector<refused_attempt> m_refusals;
    std::vector<byte_buffer> m_delivered;
    std::vector<second_counts> m_seconds;
    std::vector<double> m_latencies;
    instant m_started{};
    bool m_ending = false;
    std::array<std::uint8_t, 65535> m_buffer{};
    std::jthread m_thread;
};

} // namespace toucan::lab
