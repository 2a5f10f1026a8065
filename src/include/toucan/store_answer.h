#pragma once

/// Parses answers of the platform's store, which list objects of other writers as well.

#include <nlohmann/json.hpp>
#include <string>

namespace toucan {

/// Levels of nesting that an object may have: copies and output of a value recurse.
inline constexpr std::size_t maxObjectDepth = 64;

/// Parses an answer. Elements of its lists that cannot be read (numbers out of range, bytes that
/// are not UTF-8, more than maxObjectDepth levels) become null, so that they do not hide the
/// others. Throws json::exception when the rest cannot be read. Thread-safe.
nlohmann::json parseStoreAnswer(std::string text);

} // namespace toucan
