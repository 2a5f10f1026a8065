#pragma once

/// Records as JSON: validating reader that reports all faults, and writer.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <toucan/error.h>
#include <toucan/fields.h>
#include <vector>

namespace toucan {

using json = nlohmann::json;

/// Newest schema version of records that this build supports.
inline constexpr int newestSchema = 2;

namespace record_json {

/// Reads one value; on a mismatch returns what was expected.
inline std::optional<std::string> readValue(const json &value, std::uint64_t &out)
{
    const bool negative
        = value.is_number_integer() && !value.is_number_unsigned() && value.get<std::int64_t>() < 0;
    if (!value.is_number_integer() || negative)
        return "expected a whole number";
    out = value.get<std::uint64_t>();
    return std::nullopt;
}

inline std::optional<std::string> readValue(const json &value, bool &out)
{
    if (!value.is_boolean())
        return "expected true or false";
    out = value.get<bool>();
    return std::nullopt;
}

inline std::optional<std::string> readValue(const json &value, std::string &out)
{
    if (!value.is_string())
        return "expected text";
    out = value.get<std::string>();
    return std::nullopt;
}

inline std::optional<std::string> readValue(const json &value, endpoint &out)
{
    const auto parsed
        = value.is_string() ? parseEndpoint(value.get_ref<const std::string &>()) : std::nullopt;
    if (!parsed)
        return "expected IP:port, for example 127.0.0.1:5683";
    out = *parsed;
    return std::nullopt;
}

inline json writeValue(const endpoint &value)
{
    return toString(value);
}

template <class T>
json writeValue(const T &value)
{
    return value;
}

/// Reads a record and ignores unknown fields. invalid_record lists all faults, one a line; a newer
/// schema version than this build supports violates the constraint of the field `schema`.
template <class T>
result<T> read(const json &object)
{
    if (!object.is_object())
        return error{error_kind::invalid_record, "expected a JSON object"};
    T out;
    std::string faults;
    const auto fault = [&](std::string_view name, std::string_view text) {
        faults += (faults.empty() ? "" : "\n") + std::string(name) + ": " + std::string(text);
    };
    forEachField<T>([&](const auto &spec) {
        const auto found = object.find(std::string(spec.name));
        if (found == object.end()) {
            if (spec.required)
                fault(spec.name, "missing; expected " + std::string(spec.doc));
            return;
        }
        auto problem = readValue(*found, out.*spec.member);
        if (!problem)
            problem = checkConstraints(spec, out.*spec.member);
        if (problem)
            fault(spec.name, *problem + ", found " + found->dump());
    });
    if (!faults.empty())
        return error{error_kind::invalid_record, faults};
    return out;
}

/// Writes a record with all its fields.
template <class T>
json write(const T &record)
{
    json object = json::object();
    forEachField<T>([&](const auto &spec) {
        object[std::string(spec.name)] = writeValue(record.*spec.member);
    });
    return object;
}

} // namespace record_json
} // namespace toucan
