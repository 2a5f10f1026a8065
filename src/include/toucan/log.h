#pragma once

/// Logging: one spdlog logger for each part, with the part's name as a prefix. Thread-safe.

#include <memory>
#include <spdlog/spdlog.h>
#include <string_view>

namespace toucan::log {

/// Sets the minimum level and writes to standard error. Call once at start.
void start(std::string_view level);

/// Sets the minimum level of all parts.
void setLevel(std::string_view level);

/// The logger of a part, for example "config". Messages are short sentences followed by
/// key=value fields.
std::shared_ptr<spdlog::logger> part(const std::string &name);

} // namespace toucan::log
