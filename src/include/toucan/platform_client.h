#pragma once

/// Client of the platform's object service: HTTP with JSON bodies and conditional writes. How the
/// calls are spelled is a dialect's matter. Every call has a time limit. Not thread-safe.

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <toucan/config.h>
#include <toucan/store_era.h>

namespace toucan {

/// All objects, or those that changed, at one version.
struct object_list
{
    std::uint64_t version = 0;
    std::uint64_t era = 0; ///< Of the store that answered; 0 when it states none.
    std::vector<stored_object> objects; ///< A deleted one has a null body.
    bool more = false; ///< The list goes on after its last object.
};

/// One HTTP request to the platform.
struct platform_request
{
    std::string method;
    std::string path;
    std::string body;
    std::string conditionName; ///< Header that carries the condition of a write; empty for none.
    std::string conditionValue;
};

/// What an HTTP status says of a call.
enum class platform_status : std::uint8_t { done, not_found, conflict, gone, unavailable };

/// How a platform spells the calls. An empty kind means all kinds where the platform has such
/// calls. Implementations keep no state and may be shared by threads.
class platform_dialect
{
public:
    virtual ~platform_dialect() = default;
    /// Lists a kind from behind the object named `after`; `mayBeOld` allows an answer that is
    /// seconds old where the platform gives a discount for it.
    virtual platform_request list(
        std::string_view kind, std::string_view after, bool allowStale) const = 0;
    virtual platform_request watch(
        std::string_view kind, std::uint64_t version, std::chrono::milliseconds wait) const = 0;
    virtual platform_request get(std::string_view kind, std::string_view name) const = 0;
    /// `expected` of 0 creates, other values replace under that condition.
    virtual platform_request put(std::string_view kind, std::string_view name,
        const nlohmann::json &body, std::uint64_t expected) const = 0;
    virtual platform_request remove(
        std::string_view kind, std::string_view name, std::uint64_t expected) const = 0;
    virtual platform_status status(int httpStatus) const = 0;
    /// Header in which answers state the store's era; empty when the platform has none.
    virtual std::string_view eraHeader() const { return {}; }
    /// Readers of answers. Throw nlohmann::json::exception when the answer is malformed.
    virtual object_list readList(std::string_view kind, const nlohmann::json &answer) const = 0;
    virtual object_list readChanges(std::string_view kind, const nlohmann::json &answer) const = 0;
    virtual stored_object readObject(std::string_view kind, const nlohmann::json &answer) const = 0;
    /// The version that a write made.
    virtual std::uint64_t readVersion(const nlohmann::json &answer) const = 0;
};

/// The product's own spelling: versions as entity tags and conditional requests (RFC 9110).
const platform_dialect &entityTagDialect();

/// One connection to the platform, kept open between calls and opened again when it fails.
class platform_client
{
public:
    /// `era`, when given, is told of the era of each answer; answers of an earlier one are
    /// failures.
    platform_client(const endpoint &address, std::chrono::milliseconds timeout,
        const platform_dialect &dialect = entityTagDialect(), store_era *era = nullptr);
    ~platform_client();

    /// Every object of a kind, all pages.
    result<object_list> list(std::string_view kind = {}, bool allowStale = false);
    /// One object; not_found when there is none.
    result<stored_object> get(std::string_view kind, std::string_view name);
    /// Creates or replaces. `expected` is the version that must be current, 0 for "must not exist".
    /// conflict when it is not; write_uncertain when the answer was lost. Returns the new version.
    result<std::uint64_t> put(std::string_view kind, std::string_view name,
        const nlohmann::json &body, std::uint64_t expected);
    /// Deletes on the same terms.
    result<std::uint64_t> remove(
        std::string_view kind, std::string_view name, std::uint64_t expected);
    /// Waits up to `wait` for changes after `version`, which was read in `era` of the store when
    /// that is given. Not_found when the platform no longer has the changes since then, or is in
    /// another era: list again.
    result<object_list> changesAfter(std::uint64_t version, std::chrono::milliseconds wait,
        std::string_view kind = {}, std::optional<std::uint64_t> era = {});
    /// Era that the newest answer stated; 0 when it stated none.
    std::uint64_t era() const { return m_answerEra; }
    /// Ends the call under way, and all later ones, with platform_unavailable. Any thread.
    void cancel();
    /// Ends changesAfter(), when it is under way, with platform_unavailable. Any thread.
    void interrupt();

private:
    struct response
    {
        int status = 0;
        std::string body;
    };
    class session;
    bool openSession();
    bool isEnded();
    void allowInterrupt(bool isAllowed);
    bool observeEra(std::optional<std::uint64_t> stated);
    void closeSession();
    result<response> call(const platform_request &request, std::chrono::milliseconds timeout);
    result<response> attempt(const platform_request &request, std::chrono::milliseconds timeout);
    result<nlohmann::json> read(
        const platform_request &request, std::chrono::milliseconds timeout, std::string_view path);
    result<std::uint64_t> write(const platform_request &request, std::string_view path);

    endpoint m_address;
    std::chrono::milliseconds m_timeout;
    const platform_dialect &m_dialect;
    store_era *m_era;
    std::uint64_t m_answerEra = 0; ///< Of the newest answer.
    std::mutex m_mutex; ///< Guards the session's life against cancel().
    std::unique_ptr<session> m_session;
    bool m_cancelled = false;
    bool m_canInterrupt = false;
    bool m_interrupted = false;
};

} // namespace toucan
