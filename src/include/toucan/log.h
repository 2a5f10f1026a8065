#pragma once

/// Logs: one spdlog logger for each part, with the part's name as a fixed prefix. Thread-safe.

#include <memory>
#include <spdlog/spdlog.h>
#include <string_view>

namespace toucan::log {

/// Sets the least severe level and writes to standard error. Call once at start.
void start(std::string_view level);

/// Sets the least severe level of all parts.
void setLevel(std::string_view level);

/// The logger of a part, for example "config". Messages are short sentences followed by
/// key=value fields.
std::shared_ptr<spdlog::logger> part(const std::string &name);

} // namespace toucan::log
