#include <fmt/format.h>
#include <fstream>
#include <opentracing/mocktracer/json.h>
#include <opentracing/mocktracer/tracer.h>
#include <sstream>
#include <toucan/trace.h>

namespace toucan {
namespace mock = opentracing::mocktracer;

namespace {

// Writes each span when it finishes, so that a killed process loses no finished spans.
class line_recorder : public mock::Recorder
{
public:
    explicit line_recorder(const std::string &fileName)
        : m_file(fileName, std::ios::app)
    { }
    void RecordSpan(mock::SpanData &&span) noexcept override
    {
        try {
            std::ostringstream text;
            mock::ToJson(text, {std::move(span)});
            m_file << text.str() << '\n' << std::flush;
        } catch (...) {
            m_file.setstate(std::ios::failbit);
        }
    }

private:
    std::ofstream m_file;
};

} // namespace

tracer::tracer(const std::string &fileName, std::string process)
    : m_process(std::move(process))
{
    if (fileName.empty())
        return;
    mock::MockTracerOptions options;
    options.recorder = std::make_unique<line_recorder>(fileName);
    m_tracer = std::make_shared<mock::MockTracer>(std::move(options));
}

tracer::~tracer()
{
    if (m_tracer)
        m_tracer->Close();
}

void tracer::span(std::uint64_t trace, std::string_view hop, std::string_view detail)
{
    if (trace == 0 || !m_tracer)
        return;
    const auto started = m_tracer->StartSpan({hop.data(), hop.size()});
    started->SetTag("trace", fmt::format("{:016x}", trace));
    started->SetTag("process", m_process);
    started->SetTag("detail", opentracing::string_view(detail.data(), detail.size()));
    started->Finish();
}

} // namespace toucan
