#pragma once

/// Runs requests at the own target: admission, priority, deadlines, at-most-once, answers.

#include <array>
#include <deque>
#include <map>
#include <set>
#include <toucan/admission.h>
#include <toucan/claimer.h>
#include <toucan/flow_table.h>
#include <toucan/metrics.h>

namespace toucan {

/// Where an answer goes.
struct answer_address
{
    flow_key flow;
    endpoint entry;
    byte_buffer token;
    std::uint16_t id = 0;
    bool confirmable = true;
    std::uint64_t trace = 0;
};

/// Requests of one target process. Used by its traffic thread alone.
class request_runner
{
public:
    /// Tells how to pass a request to another member; false when none has room.
    using spill_handler = std::function<bool(const packet_header &, byte_view)>;

    request_runner(target_context &context, flow_table &flows, claim_holder &holder,
        metrics::registry &metrics);

    void setSpillHandler(spill_handler handler) { m_spill = std::move(handler); }

    /// A request of a caller on an open flow; `spilled` when another member passed it on.
    void onRequest(
        flow &item, const packet_header &header, const coap::message &request, byte_view datagram);
    /// Registers a watch again on the caller's behalf; nobody waits for the answer.
    void replay(flow &item, byte_view datagram);
    /// True when a request on the flow has been at the target for much longer than is usual, while
    /// the target answers on other flows.
    bool isSilent(const flow &item) const;
    /// True when a request on the flow is still to be answered.
    bool isBusy(const flow &item) const;
    /// True when every request is answered, and the holders of its claim know that.
    bool isIdle() const { return m_active.empty() && m_claimer.size() == 0; }
    /// Passes the idempotent requests in progress on a flow to the target again.
    void resend(const flow &item);
    /// A datagram of the target on a flow. True when it was taken as the answer to a request.
    bool onResponse(flow &item, const coap::message &response);
    /// Holders answered the claimer.
    void onClaimReply(const endpoint &from, const claim_reply &reply)
    {
        m_claimer.onReply(from, reply);
    }
    /// Configuration changed.
    void onConfig();
    /// Ends requests whose time is over and passes on waiting ones. Call every 20 ms or so.
    void onTick();
    /// Gives up everything: the failure domain was taken out.
    void giveUpAll();

    admission &targetAdmission() { return m_admission; }
    const admission &targetAdmission() const { return m_admission; }
    /// Requests waiting for room.
    std::size_t waiting() const;

private:
    // Time between two questions for another member's answer.
    static constexpr std::chrono::milliseconds pollInterval{100};

    /// Steps of a request on its way.
    enum class step : std::uint8_t {
        waiting, ///< For room at the target.
        claiming, ///< For two holders; a slot is reserved.
        running, ///< At the target.
        polling, ///< Another member runs it; waiting for its answer.
        voiding, ///< Given up before it ran; waiting for two holders to void it.
        finished, ///< Answered; kept for repeats.
        unknown, ///< Given up while it may run; a late answer is kept.
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
        error_kind refusal = error_kind::not_run; ///< When voided.
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
    instant m_lastAnswer{}; ///< When the target last answered on any flow.
    double m_spillBudget;
};

} // namespace toucan
