#pragma once

/// Tracing: a span for each hop of a sampled packet, linked by a trace identifier. Spans are
/// recorded with OpenTracing's mock tracer and written as JSON, one span a line.

#include <cstdint>
#include <memory>
#include <opentracing/tracer.h>
#include <string>
#include <string_view>

namespace toucan {

/// Writes the spans of one process. Thread-safe.
class tracer
{
public:
    /// Opens `fileName` for appending; an empty name turns tracing off.
    tracer(const std::string &fileName, std::string process);
    ~tracer();
    tracer(const tracer &) = delete;
    tracer &operator=(const tracer &) = delete;

    /// True when spans are recorded.
    bool enabled() const { return m_tracer != nullptr; }

    /// Records a finished span for a hop of the traced packet. `trace` of 0 records nothing.
    void span(std::uint64_t trace, std::string_view hop, std::string_view detail);

private:
    std::string m_process;
    std::shared_ptr<opentracing::Tracer> m_tracer;
};

} // namespace toucan
