#include <spdlog/sinks/stdout_sinks.h>
#include <toucan/log.h>

namespace toucan::log {
namespace {

const std::shared_ptr<spdlog::sinks::sink> &sharedSink()
{
    static const std::shared_ptr<spdlog::sinks::sink> sink
        = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    return sink;
}

} // namespace

void start(std::string_view level)
{
    setLevel(level);
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l [%n] %v", spdlog::pattern_time_type::utc);
    spdlog::flush_on(spdlog::level::info);
}

void setLevel(std::string_view level)
{
    spdlog::set_level(spdlog::level::from_str(std::string(level)));
}

std::shared_ptr<spdlog::logger> part(const std::string &name)
{
    if (auto existing = spdlog::get(name))
        return existing;
    auto created = std::make_shared<spdlog::logger>(name, sharedSink());
    spdlog::initialize_logger(created);
    return created;
}

} // namespace toucan::log
