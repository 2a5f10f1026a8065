#pragma once

/// Client of the platform's object service: HTTP with JSON bodies and conditional writes. A dialect
/// defines the encoding of the calls. Every call has a time limit. Not thread-safe.

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <toucan/config.h>
#include <toucan/store_era.h>

namespace toucan {

/// All objects, or those that changed, as of one version.
struct object_list
{
    std::uint64_t version = 0;
    std::uint64_t era = 0; ///< Era of the store; 0 when the answer states none.
    std::vector<stored_object> objects; ///< A deleted one has a null body.
    bool more = false; ///< Another page follows the last object.
    std::size_t unreadable = 0; ///< Objects left out because they are malformed.
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

/// Outcome of a call, from its HTTP status.
enum class platform_status : std::uint8_t { done, not_found, conflict, gone, unavailable };

/// Encoding of a platform's calls and answers. An empty kind means all kinds, where the platform
/// supports that. Implementations are stateless and thread-safe.
class platform_dialect
{
public:
    virtual ~platform_dialect() = default;
    /// Lists the objects of a kind that come after the one named `after`; `acceptsStale` allows an
    /// answer that is seconds old, where the platform makes that cheaper.
    virtual platform_request list(
        std::string_view kind, std::string_view after, bool acceptsStale) const = 0;
    /// Waits up to `wait` for changes of a kind after `version`.
    virtual platform_request watch(
        std::string_view kind, std::uint64_t version, std::chrono::milliseconds wait) const = 0;
    /// Reads one object.
    virtual platform_request get(std::string_view kind, std::string_view name) const = 0;
    /// Creates the object when `expected` is 0, otherwise replaces the one of that version.
    virtual platform_request put(std::string_view kind, std::string_view name,
        const nlohmann::json &body, std::uint64_t expected) const = 0;
    /// Deletes the object if `expected` is its version.
    virtual platform_request remove(
        std::string_view kind, std::string_view name, std::uint64_t expected) const = 0;
    /// Outcome of a call from the HTTP status of its answer.
    virtual platform_status status(int httpStatus) const = 0;
    /// Header in which answers state the store's era; empty when the platform has none.
    virtual std::string_view eraHeader() const { return {}; }
    /// Decode answers. Throw nlohmann::json::exception when the answer is malformed.
    virtual object_list readList(std::string_view kind, const nlohmann::json &answer) const = 0;
    virtual object_list readChanges(std::string_view kind, const nlohmann::json &answer) const = 0;
    virtual stored_object readObject(std::string_view kind, const nlohmann::json &answer) const = 0;
    /// The version that a write created.
    virtual std::uint64_t readVersion(const nlohmann::json &answer) const = 0;
};

/// The project's default dialect: versions as entity tags and conditional requests (RFC 9110).
const platform_dialect &entityTagDialect();

/// One connection to the platform, kept open between calls and reopened after a failure.
class platform_client
{
public:
    /// `era`, if given, receives the era of each answer; answers of an earlier era are treated as
    /// failures.
    platform_client(const endpoint &address, std::chrono::milliseconds timeout,
        const platform_dialect &dialect = entityTagDialect(), store_era *era = nullptr);
    ~platform_client();

    /// All objects of a kind, from all pages.
    result<object_list> list(std::string_view kind = {}, bool acceptsStale = false);
    /// One object; not_found when there is none.
    result<stored_object> get(std::string_view kind, std::string_view name);
    /// Creates or replaces. `expected` is the version that must be current, 0 for "must not exist".
    /// conflict when it is not; write_uncertain when the answer was lost. Returns the new version.
    result<std::uint64_t> put(std::string_view kind, std::string_view name,
        const nlohmann::json &body, std::uint64_t expected);
    /// Deletes an object; `expected` and the errors are those of put().
    result<std::uint64_t> remove(
        std::string_view kind, std::string_view name, std::uint64_t expected);
    /// Waits up to `wait` for changes after `version`, which was read in `era` of the store, if
    /// given. not_found when the platform no longer has these changes or is in another era; the
    /// caller must list again.
    result<object_list> changesAfter(std::uint64_t version, std::chrono::milliseconds wait,
        std::string_view kind = {}, std::optional<std::uint64_t> era = {});
    /// Era that the newest answer stated; if it stated none, the current one of `era`, or 0.
    std::uint64_t era() const { return m_answerEra; }
    /// Ends the call in progress, and all later ones, with platform_unavailable. Thread-safe.
    void cancel();
    /// Ends changesAfter(), if in progress, with platform_unavailable. Thread-safe.
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
    std::uint64_t m_answerEra = 0; ///< Era of the newest answer.
    std::mutex m_mutex; ///< Guards the session's lifetime against cancel(), and the flags.
    std::unique_ptr<session> m_session;
    bool m_cancelled = false;
    bool m_canInterrupt = false;
    bool m_interrupted = false;
};

} // namespace toucan
