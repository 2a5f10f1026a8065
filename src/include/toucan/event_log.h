#pragma once

/// Structured log lines: one for each decision, as a part's name followed by a JSON object. Writing
/// never blocks and is rate-limited for each kind of line; suppressed lines are counted.

#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/logger.h>
#include <toucan/endpoint.h>
#include <toucan/fields.h>
#include <toucan/generated/events.h>

namespace toucan {

/// Rate limiter: a number of events a second, with bursts of the same size. Not thread-safe.
class token_bucket
{
public:
    explicit token_bucket(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    { }
    /// Changes the number of events a second.
    void setRate(double perSecond) { m_perSecond = perSecond; }
    /// Takes a token; false when there is none.
    bool take(instant now);

private:
    double m_perSecond;
    double m_tokens;
    instant m_last{};
};

/// Writes the lines of one part of a process. Thread-safe.
class event_log
{
public:
    /// Writes to standard output, at most `linesPerSecond` lines of each kind.
    event_log(std::string part, std::uint64_t linesPerSecond);

    /// Changes the number of lines of each kind a second.
    void setRate(std::uint64_t linesPerSecond);

    /// Writes one line, unless the limit of its kind is reached.
    template <class E>
    void write(instant now, const E &event)
    {
        if (!admit(now, fields_of<E>::name))
            return;
        nlohmann::ordered_json line;
        forEachField<E>(
            [&](const auto &spec) { line[std::string(spec.name)] = value(event.*spec.member); });
        emit(fields_of<E>::name, line);
    }

    /// Turns off all event logs of the process, for tests.
    static void silence();

private:
    struct kind_state
    {
        token_bucket bucket;
        std::uint64_t suppressed = 0;
        instant lastReport{};
    };

    static nlohmann::ordered_json value(const endpoint &item) { return toString(item); }
    template <class T>
    static nlohmann::ordered_json value(const T &item)
    {
        return item;
    }

    bool admit(instant now, std::string_view kind);
    void emit(std::string_view kind, const nlohmann::ordered_json &line);

    std::shared_ptr<spdlog::logger> m_logger;
    double m_linesPerSecond;
    std::mutex m_mutex;
    std::map<std::string_view, kind_state> m_kinds;
};

} // namespace toucan
