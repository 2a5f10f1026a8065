#pragma once

/// Runs requests at the own target: admission, priorities, deadlines, at-most-once execution and
/// answers.

#include <array>
#include <deque>
#include <map>
#include <set>
#include <toucan/admission.h>
#include <toucan/claimer.h>
#include <toucan/flow_table.h>
#include <toucan/metrics.h>

namespace toucan {

/// Destination of an answer.
struct answer_address
{
    flow_key flow;
    endpoint entry;
    byte_buffer token;
    std::uint16_t id = 0;
    bool confirmable = true;
    std::uint64_t trace = 0;
};

/// The requests of one target process. Used by its traffic thread alone.
class request_runner
{
public:
    /// Forwards a request to another member; returns false when none has room.
    using spill_handler = std::function<bool(const packet_header &, byte_view)>;

    request_runner(target_context &context, flow_table &flows, claim_holder &holder,
        metrics::registry &metrics);

    void setSpillHandler(spill_handler handler) { m_spill = std::move(handler); }

    /// Processes a caller's request on an open flow; `header.kind` is `spilled` when another member
    /// forwarded it. A copy of a request in progress shares its answer.
    void onRequest(
        flow &item, const packet_header &header, const coap::message &request, byte_view datagram);
    /// Registers a watch again at the target for the caller, without an address to answer to.
    void replay(flow &item, byte_view datagram);
    /// True when a request on the flow has been at the target for much longer than the expected
    /// latency, while the target has answered other requests.
    bool isSilent(const flow &item) const;
    /// True when a request on the flow is unanswered.
    bool isBusy(const flow &item) const;
    /// True when every request is answered and no claim round is in progress.
    bool isIdle() const { return m_active.empty() && m_claimer.size() == 0; }
    /// Sends the idempotent requests in progress on a flow to the target again.
    void resend(const flow &item);
    /// Processes a response of the target on a flow. Returns true when it answers a request.
    bool onResponse(flow &item, const coap::message &response);
    /// Passes a holder's reply to the claimer.
    void onClaimReply(const endpoint &from, const claim_reply &reply)
    {
        m_claimer.onReply(from, reply);
    }
    /// Applies a changed configuration.
    void onConfig();
    /// Ends requests at their deadline and admits waiting ones. Call about every 20 ms.
    void onTick();
    /// Ends all requests with an error: the failure domain was taken out of service.
    void giveUpAll();

    /// Concurrency limit of the own target.
    admission &targetAdmission() { return m_admission; }
    const admission &targetAdmission() const { return m_admission; }
    /// Number of requests waiting for room.
    std::size_t waiting() const;

private:
    // Interval of polls for the answer to a request that another member runs.
    static constexpr std::chrono::milliseconds pollInterval{100};

    /// Processing steps of a request.
    enum class step : std::uint8_t {
        waiting, ///< Waiting for room at the target.
        claiming, ///< Waiting for the claim; a slot is reserved.
        running, ///< Sent to the target.
        polling, ///< Another member runs it; waiting for its answer.
        voiding, ///< Given up before it ran; waiting until two holders record it as void.
        finished, ///< Answered; kept for repeats.
        unknown, ///< Given up while it may run; a late answer is still settled.
    };

    struct request
    {
        std::uint64_t id = 0;
        step currentStep = step::waiting;
        request_class priority = request_class::pull;
        byte_buffer key; ///< Idempotency key; empty for idempotent requests.
        std::uint64_t attempt = 0;
        flow_key flow;
        byte_buffer datagram;
        byte_buffer token;
        std::vector<answer_address> waiters;
        coap::message answer; ///< Without token and id.
        error_kind refusal = error_kind::not_run; ///< Error to report once voided.
        bool hasSlot = false;
        instant arrivedAt{};
        instant passedAt{};
        instant deadline{};
        instant nextPoll{};
    };
    struct retired_request
    {
        instant dropAt;
        std::uint64_t id;
    };

    request *findDuplicate(const flow &item, const coap::message &message, const byte_buffer &key);
    request &create(flow &item, const coap::message &message, byte_view datagram,
        std::chrono::milliseconds allowed);
    void joinExisting(request &known, const answer_address &address, const packet_header &header,
        const coap::message &message);
    void replaceAttempt(request &known, const answer_address &address, const coap::message &message,
        std::uint64_t attempt);
    void restart(request &known, const answer_address &address, const packet_header &header,
        const coap::message &message);
    void admit(request &item, const packet_header *header);
    void beginClaim(request &item);
    void retryClaim(request &item);
    void passToTarget(request &item);
    void onClaimResult(const claim_result &result);
    void onGranted(request &item);
    void onHeldElsewhere(request &item, const claim_result &result);
    void refuse(request &item, error_kind kind);
    void finish(request &item, coap::message &&answer);
    void giveUp(request &item, error_kind kind);
    void sendAnswer(const answer_address &to, const coap::message &answer);
    void sendError(const answer_address &to, error_kind kind);
    void releaseSlot(request &item);
    void admitWaiting();
    void retire(request &item);
    void drop(std::uint64_t id);
    void tickRequest(request &item);
    std::chrono::milliseconds remaining(const request &item) const;
    std::uint64_t retryAfterSeconds();

    target_context &m_context;
    flow_table &m_flows;
    metrics::registry &m_metrics;
    claimer m_claimer;
    admission m_admission;
    spill_handler m_spill;
    std::map<std::uint64_t, request> m_requests;
    std::unordered_map<byte_buffer, std::uint64_t, bytes_hash> m_byKey;
    std::set<std::uint64_t> m_active; ///< Neither finished nor unknown.
    std::deque<retired_request> m_retired; ///< Finished and unknown ones, oldest first.
    std::array<std::deque<std::uint64_t>, requestClassCount> m_waiting;
    std::uint64_t m_lastId = 0;
    std::uint16_t m_lastMessageId = 0;
    instant m_lastAnswer{}; ///< Time of the target's latest answer on any flow.
    double m_spillBudget;
};

} // namespace toucan
