#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <array>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <toucan/settings.h>

namespace toucan::settings {
namespace {

namespace ptree = boost::property_tree;

struct duration_unit
{
    std::string_view suffix;
    std::chrono::milliseconds length;
};

constexpr std::array units{
    duration_unit{"ms", std::chrono::milliseconds(1)},
    duration_unit{"min", std::chrono::minutes(1)},
    duration_unit{"s", std::chrono::seconds(1)},
};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Each overload reads one value and returns what was expected when the text does not fit.
std::optional<std::string> readValue(const std::string &text, std::string &out)
{
    out = text;
    return std::nullopt;
}

std::optional<std::string> readValue(const std::string &text, std::uint64_t &out)
{
    const auto value = parseNumber(text);
    if (!value)
        return "expected a whole number";
    out = *value;
    return std::nullopt;
}

std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = status == std::errc() && end == text.data() + text.size();
    return whole && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::optional<std::string> readValue(const std::string &text, double &out)
{
    const auto value = parseDecimal(text);
    if (!value)
        return "expected a number that is not negative, for example 1.5";
    out = *value;
    return std::nullopt;
}

std::optional<std::string> readValue(const std::string &text, endpoint &out)
{
    const auto value = parseEndpoint(text);
    if (!value)
        return "expected IP:port, for example 127.0.0.1:7000";
    out = *value;
    return std::nullopt;
}

std::optional<std::string> readValue(const std::string &text, std::vector<endpoint> &out)
{
    out.clear();
    const Poco::StringTokenizer words(
        text, ", ", Poco::StringTokenizer::TOK_IGNORE_EMPTY | Poco::StringTokenizer::TOK_TRIM);
    for (const auto &word : words) {
        if (auto problem = readValue(word, out.emplace_back()))
            return "expected a list of IP:port separated by commas";
    }
    return std::nullopt;
}

std::optional<std::string> readValue(const std::string &text, std::vector<std::string> &out)
{
    const Poco::StringTokenizer words(
        text, ", ", Poco::StringTokenizer::TOK_IGNORE_EMPTY | Poco::StringTokenizer::TOK_TRIM);
    out.assign(words.begin(), words.end());
    return std::nullopt;
}

std::optional<std::string> readValue(const std::string &text, std::chrono::milliseconds &out)
{
    const auto value = parseDuration(text);
    if (!value)
        return "expected a time with its unit, for example 250ms, 3s or 2min";
    out = *value;
    return std::nullopt;
}

struct key_line
{
    std::string key;
    int line;
};

// Keys and malformed lines of a file, with line numbers.
struct file_lines
{
    std::vector<key_line> keys;
    std::vector<int> malformed;
    std::string sanitized; ///< The file with malformed lines and comments emptied.
};

// Boost's INI parser keeps no line numbers and stops at the first malformed line; this pass
// collects both for the messages.
file_lines readLines(std::string_view text)
{
    file_lines found;
    std::istringstream lines{std::string(text)};
    std::string line;
    std::string section;
    for (int number = 1; std::getline(lines, line); ++number) {
        const auto trimmed = Poco::trim(line);
        if (trimmed.empty() || trimmed[0] == ';' || trimmed[0] == '#') {
            found.sanitized += '\n';
            continue;
        }
        if (trimmed[0] == '[' && trimmed.back() == ']') {
            found.sanitized += trimmed + '\n';
            section = Poco::trim(trimmed.substr(1, trimmed.size() - 2));
            continue;
        }
        const auto equals = trimmed.find('=');
        if (equals == std::string::npos || equals == 0) {
            found.malformed.push_back(number);
            found.sanitized += '\n';
            continue;
        }
        std::string key = section.empty() ? "" : section + '.';
        key += Poco::trim(trimmed.substr(0, equals));
        found.keys.push_back({std::move(key), number});
        found.sanitized += trimmed + '\n';
    }
    return found;
}

// The value of a key, given in its section or by its full name before the first section.
std::optional<std::string> findValue(const ptree::ptree &file, const std::string &key)
{
    if (const auto value = file.get_optional<std::string>(key))
        return *value;
    const auto whole = file.find(key);
    return whole == file.not_found() ? std::nullopt : std::optional(whole->second.data());
}

// Collects faults as "file:line: key: text".
class fault_list
{
public:
    fault_list(std::string_view fileName, const std::vector<key_line> &keys)
        : m_fileName(fileName)
        , m_keys(keys)
    { }
    void add(int line, std::string_view text)
    {
        m_text += (m_text.empty() ? "" : "\n") + m_fileName + ':' + std::to_string(line) + ": "
            + std::string(text);
    }
    void addKey(std::string_view key, std::string_view text)
    {
        const auto found = std::ranges::find(m_keys, key, &key_line::key);
        add(found == m_keys.end() ? 1 : found->line, std::string(key) + ": " + std::string(text));
    }
    const std::string &text() const { return m_text; }

private:
    std::string m_fileName;
    const std::vector<key_line> &m_keys;
    std::string m_text;
};

template <class T>
void checkKeys(const std::vector<key_line> &keys, fault_list &faults)
{
    std::set<std::string_view> known;
    forEachField<T>([&](const auto &spec) { known.insert(spec.name); });
    std::set<std::string_view> seen;
    for (const auto &[key, line] : keys) {
        if (!known.contains(key))
            faults.add(line, key + ": unknown key");
        else if (!seen.insert(key).second)
            faults.add(line, key + ": given twice");
    }
}

std::string defaultText(const std::string &value)
{
    return value;
}
std::string defaultText(std::uint64_t value)
{
    return std::to_string(value);
}
std::string defaultText(double value)
{
    return std::to_string(value);
}
std::string defaultText(std::chrono::milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}
std::string defaultText(const std::vector<std::string> &)
{
    return {};
}

std::string defaultText(const std::vector<endpoint> &)
{
    return "";
}
std::string defaultText(const endpoint &value)
{
    return value ? toString(value) : std::string();
}

// A value that passes the checks, for required keys without a default.
std::string sampleText(const std::string &)
{
    return "example";
}
std::string sampleText(const endpoint &)
{
    return "127.0.0.1:7000";
}
template <class T>
std::string sampleText(const T &)
{
    return "1";
}

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    const auto unit
        = std::ranges::find_if(units, [&](const auto &row) { return text.ends_with(row.suffix); });
    if (unit == units.end())
        return std::nullopt;
    const auto count = parseDecimal(text.substr(0, text.size() - unit->suffix.size()));
    constexpr double maxCount = 1e9;
    if (!count || *count > maxCount)
        return std::nullopt;
    return std::chrono::milliseconds(
        std::llround(*count * static_cast<double>(unit->length.count())));
}

template <class T>
result<T> parse(std::string_view text, std::string_view fileName)
{
    const auto lines = readLines(text);
    fault_list faults(fileName, lines.keys);
    for (const int line : lines.malformed)
        faults.add(line, "expected [section] or key = value");
    checkKeys<T>(lines.keys, faults);
    std::istringstream stream{lines.sanitized};
    ptree::ptree file;
    try {
        ptree::read_ini(stream, file);
    } catch (const ptree::ini_parser_error &problem) {
        faults.add(static_cast<int>(problem.line()), problem.message());
        return error{error_kind::invalid_settings, faults.text()};
    }
    T out;
    forEachField<T>([&](const auto &spec) {
        const std::string key(spec.name);
        const auto value = findValue(file, key);
        if (!value) {
            if (spec.required)
                faults.addKey(key, "missing; expected " + std::string(spec.doc));
            return;
        }
        auto problem = readValue(*value, out.*spec.member);
        if (!problem)
            problem = checkConstraints(spec, out.*spec.member);
        if (problem)
            faults.addKey(key, *problem + ", found \"" + *value + '"');
    });
    if (!faults.text().empty())
        return error{error_kind::invalid_settings, faults.text()};
    return out;
}

template <class T>
result<T> load(const std::string &fileName)
{
    const std::ifstream stream(fileName);
    if (!stream)
        return error{error_kind::invalid_settings, fileName + ": the file cannot be read"};
    std::ostringstream text;
    text << stream.rdbuf();
    return parse<T>(text.str(), fileName);
}

template <class T>
std::string example()
{
    std::string text;
    std::string section;
    const T defaults;
    forEachField<T>([&](const auto &spec) {
        const auto dot = spec.name.find('.');
        const std::string fieldSection(spec.name.substr(0, dot));
        if (fieldSection != section) {
            section = fieldSection;
            text += (text.empty() ? "[" : "\n[") + section + "]\n";
        }
        text += "; " + std::string(spec.doc) + (spec.required ? " (required)" : "") + '\n';
        if (!spec.choices.empty())
            text += "; one of: " + std::string(spec.choices) + '\n';
        std::string value = defaultText(defaults.*spec.member);
        if (spec.required && value.empty())
            value = sampleText(defaults.*spec.member);
        // Keys without a default are commented out.
        text += (value.empty() ? "; " : "") + std::string(spec.name.substr(dot + 1)) + " = " + value
            + '\n';
    });
    return text;
}

template <class T>
int runWith(const std::string &fileName, bool checkOnly, const std::function<int(const T &)> &serve)
{
    const auto loaded = load<T>(fileName);
    if (const auto *failure = errorOf(loaded)) {
        std::cerr << failure->detail << '\n';
        return errorInfo(failure->kind).exitCode;
    }
    if (checkOnly) {
        std::cout << "settings are valid\n";
        return 0;
    }
    try {
        return serve(*valueOf(loaded));
    } catch (const std::exception &failure) {
        std::cerr << "cannot serve: " << failure.what() << '\n';
        return errorInfo(error_kind::io).exitCode;
    }
}

#define TOUCAN_SETTINGS(type)                                                                      \
    template int runWith(const std::string &, bool, const std::function<int(const type &)> &);     \
    template result<type> parse(std::string_view, std::string_view);                               \
    template result<type> load(const std::string &);                                               \
    template std::string example<type>();

TOUCAN_SETTINGS(bridge_settings)
TOUCAN_SETTINGS(target_settings)
TOUCAN_SETTINGS(entry_relay_settings)
TOUCAN_SETTINGS(target_relay_settings)

} // namespace toucan::settings
