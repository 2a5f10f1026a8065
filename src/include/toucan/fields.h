#pragma once

/// Field tables that describe the members of generated structs. Each format has one generic reader
/// and writer that iterates over them.

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <toucan/endpoint.h>
#include <tuple>
#include <vector>

namespace toucan {

/// One member of a generated struct, with the constraints of its schema.
template <class C, class T>
struct field
{
    std::string_view name; ///< Name in JSON, or "section.key" in INI.
    T C::*member; ///< The member itself.
    std::string_view doc; ///< Short description, used in error messages and example files.
    bool required = false; ///< Whether input without it is rejected.
    int since = 1; ///< First schema version that has the field.
    std::uint64_t minimum = 0; ///< Minimum of a number.
    std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max(); ///< Maximum of a number.
    std::string_view choices; ///< Allowed words, separated by spaces; empty allows any text.
    bool reload = false; ///< Whether a setting takes effect while the program runs.
};

/// Specialised for each generated struct: its name and its table of fields.
template <class T>
struct fields_of;

/// Calls visit(field) for each field of T in the order of the schema.
template <class T, class F>
constexpr void forEachField(F &&visit)
{
    std::apply([&](const auto &...fields) { (visit(fields), ...); }, fields_of<T>::table);
}

/// True when `choices` allows `word`.
constexpr bool isChoice(std::string_view choices, std::string_view word)
{
    if (choices.empty())
        return true;
    while (!choices.empty()) {
        const auto end = choices.find(' ');
        if (choices.substr(0, end) == word)
            return true;
        choices.remove_prefix(end == std::string_view::npos ? choices.size() : end + 1);
    }
    return false;
}

/// Checks a number or a text against its field's constraints; on a violation, returns what was
/// expected.
template <class C, class T>
std::optional<std::string> checkConstraints(const field<C, T> &spec, const T &value)
{
    if constexpr (std::is_same_v<T, std::uint64_t>) {
        if (value < spec.minimum || value > spec.maximum)
            return "expected a number from " + std::to_string(spec.minimum) + " to "
                + std::to_string(spec.maximum);
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (!isChoice(spec.choices, value))
            return "expected one of: " + std::string(spec.choices);
        if (spec.required && value.empty())
            return "must not be empty";
    }
    return std::nullopt;
}

} // namespace toucan
