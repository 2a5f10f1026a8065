#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <toucan/flow_trail.h>

namespace toucan {
namespace {

using json = nlohmann::ordered_json;

// State changes this long before the flow's first line may explain its end: targets report within
// 1.2 s, and members count as lost after four missing reports.
constexpr std::uint64_t contextBeforeMs = 5000;
constexpr std::uint64_t contextAfterMs = 1000;
// Events about the state of a VM rather than about a flow.
constexpr std::array<std::string_view, 10> stateEvents{"process_started", "process_stopping",
    "settings_reloaded", "dependency_changed", "configuration_changed", "domains_changed",
    "member_changed", "liveness_report", "clock_jumped", "lines_left_out"};

std::string textOf(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string field(const trail_line &line, const char *name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? "" : textOf(*found);
}

std::uint64_t number(const trail_line &line, const char *name)
{
    const auto found = line.fields.find(name);
    return found != line.fields.end() && found->is_number_unsigned() ? found->get<std::uint64_t>()
                                                                     : 0;
}

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(std::move(word));
    return words;
}

std::optional<trail_line> parse(const std::string &text, const std::string &vm)
{
    const auto begin = text.find('{');
    if (begin == std::string::npos)
        return std::nullopt;
    const auto words = splitWords(text.substr(0, begin));
    auto fields = json::parse(
        text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
    if (words.empty() || !fields.is_object() || !fields.contains("event"))
        return std::nullopt;
    trail_line line{.vm = words.size() > 1 ? words[words.size() - 2] : vm,
        .part = words.back(),
        .event = textOf(fields["event"])};
    if (fields.contains("timeMs") && fields["timeMs"].is_number_unsigned())
        line.timeMs = fields["timeMs"].get<std::uint64_t>();
    fields.erase("event");
    fields.erase("timeMs");
    line.fields = std::move(fields);
    return line;
}

void sortByTime(std::vector<trail_line> &lines)
{
    std::stable_sort(lines.begin(), lines.end(),
        [](const auto &left, const auto &right) { return left.timeMs < right.timeMs; });
}

// VMs that wrote a line of the path or are named in one.
std::set<std::string> vmsOf(const std::vector<trail_line> &path)
{
    std::set<std::string> names;
    for (const auto &line : path) {
        names.insert(line.vm);
        if (const auto target = field(line, "target"); !target.empty())
            names.insert(target);
    }
    return names;
}

// What a refused opening would have waited, and by which figures; empty for other lines.
std::string describeWait(const trail_line &line)
{
    const auto reason = field(line, "reason");
    if (reason.empty())
        return {};
    return fmt::format(" ({}: after {} ms in the queue it would have waited {} ms more and had {} "
                       "ms left, at {} slots with {} ms a request)",
        reason, number(line, "waitedMs"), number(line, "expectedWaitMs"), number(line, "leftMs"),
        number(line, "slots"), number(line, "serviceMs"));
}

std::string describeRefusals(const std::vector<trail_line> &path)
{
    std::string text;
    for (const auto &line : path) {
        const auto outcome = field(line, "outcome");
        if (line.event != "opening_decided" || line.part != "target" || outcome == "accepted")
            continue;
        text += fmt::format("{}{} decided {} with {} requests waiting{}", text.empty() ? "" : "; ",
            line.vm, outcome, number(line, "load"), describeWait(line));
    }
    return text.empty() ? "no verdict of a target is in the logs" : text;
}

// What a reset after a search rests on; empty for lines without it.
std::string describeEvidence(const trail_line &line)
{
    if (number(line, "asked") == 0 || !line.fields.contains("returned"))
        return {};
    auto text = fmt::format(". Of {} members {} returned the segment, {} denied the flow, {} last "
                            "reported to have no target and {} were silent",
        number(line, "known"), number(line, "returned"), number(line, "denied"),
        number(line, "withoutTarget"), number(line, "silent"));
    if (number(line, "silent") > 0)
        text += fmt::format(" for at least {} ms", number(line, "shortestSilenceMs"));
    if (line.fields.contains("knowledge"))
        text += ". Members known by failure domain: " + field(line, "knowledge");
    return text;
}

// Conclusion from one line about the flow's end; empty when there is none.
std::string findingOf(const trail_line &line, const std::vector<trail_line> &path)
{
    const auto reason = field(line, "reason");
    if (line.event == "flow_reset") {
        auto text = fmt::format(
            "{} reset the flow: {} (configuration {})", line.vm, reason, number(line, "revision"));
        if (reason.starts_with("refused"))
            text += ". " + describeRefusals(path);
        return text + describeEvidence(line);
    }
    if (line.event == "flow_searched" && field(line, "outcome") == "not found")
        return fmt::format("{} asked {} members and none held the flow{}", line.vm,
            number(line, "asked"),
            field(line, "undecided").empty() ? "" : "; not reset: " + field(line, "undecided"));
    if (line.event == "flow_ended")
        return fmt::format("{} ended the flow ({}) after {} ms, {} requests, the slowest answer "
                           "after {} ms",
            line.vm, field(line, "outcome"), number(line, "ageMs"), number(line, "requests"),
            number(line, "slowestMs"));
    if (line.event == "opening_decided" && number(line, "copy") > 0)
        return fmt::format("{} received copy {} of the opening: earlier ones were not answered",
            line.vm, number(line, "copy"));
    if (line.event == "opening_decided" && number(line, "endMs") > 0)
        return fmt::format("{} expected the request to end at {} after {} ms: {} ms of work before "
                           "it, {} ms of its own and {} ms for the distance",
            line.vm, field(line, "target"), number(line, "endMs"), number(line, "workMs"),
            number(line, "costMs"), number(line, "distanceMs"));
    if (line.event == "opening_decided" && field(line, "outcome").starts_with("parked"))
        return fmt::format("{} parked the opening ({})", line.vm, field(line, "outcome"));
    return {};
}

// The VM whose target accepted or held the flow according to the line; empty when it has none.
std::string holderOf(const trail_line &line)
{
    const auto outcome = field(line, "outcome");
    if (line.event == "opening_decided" && outcome == "accepted")
        return line.vm;
    return line.event == "flow_searched" && outcome == "found" ? field(line, "target") : "";
}

bool isNewStart(const trail_line &line)
{
    return line.event == "process_started"
        || (line.event == "liveness_report" && number(line, "sequence") == 1);
}

// A restart of the holder's process or target after it held the flow explains why no target holds
// the flow.
void addRestarts(const flow_trail &trail, auto &&add)
{
    for (const auto &line : trail.path) {
        const auto holder = holderOf(line);
        if (holder.empty())
            continue;
        for (const auto &change : trail.context) {
            if (change.vm != holder || change.timeMs <= line.timeMs || !isNewStart(change))
                continue;
            add(fmt::format(
                "{} held the flow, and its {} restarted {} ms after the flow's first line", holder,
                change.event == "process_started" ? "process" : "target",
                change.timeMs - trail.path.front().timeMs));
        }
    }
}

void addGaps(const flow_trail &trail, auto &&add)
{
    std::map<std::pair<std::string, std::string>, std::uint64_t> leftOut;
    for (const auto &line : trail.context) {
        if (line.event == "lines_left_out")
            leftOut[{line.vm, field(line, "kind")}] += number(line, "count");
    }
    for (const auto &[source, count] : leftOut)
        add(fmt::format("{} left out {} lines of kind {} meanwhile: the path may have gaps",
            source.first, count, source.second));
}

std::vector<std::string> findingsOf(const flow_trail &trail)
{
    std::vector<std::string> findings;
    const auto add = [&](std::string text) {
        if (!text.empty() && std::ranges::find(findings, text) == findings.end())
            findings.push_back(std::move(text));
    };
    for (const auto &line : trail.path)
        add(findingOf(line, trail.path));
    addRestarts(trail, add);
    const bool held = std::ranges::any_of(
        trail.path, [](const trail_line &line) { return !holderOf(line).empty(); });
    if (!trail.path.empty() && !held)
        add("no target accepted the flow, or its line was left out");
    addGaps(trail, add);
    return findings;
}

} // namespace

void trail_reader::read(std::istream &lines, const std::string &vm)
{
    const auto quoted = '"' + m_caller + '"';
    for (std::string text; std::getline(lines, text);) {
        const bool namesCaller = text.find(quoted) != std::string::npos;
        const bool isStateChange = std::ranges::any_of(stateEvents,
            [&](std::string_view event) { return text.find(event) != std::string::npos; });
        m_count += text.find("\"event\"") != std::string::npos;
        if (!namesCaller && !isStateChange)
            continue;
        if (auto line = parse(text, vm))
            (namesCaller ? m_path : m_states).push_back(std::move(*line));
    }
}

flow_trail trail_reader::trail() const
{
    flow_trail result{.path = m_path};
    sortByTime(result.path);
    if (result.path.empty())
        return result;
    const auto names = vmsOf(result.path);
    const auto first = result.path.front().timeMs;
    const auto last = result.path.back().timeMs;
    std::ranges::copy_if(m_states, std::back_inserter(result.context), [&](const trail_line &line) {
        const auto member = field(line, "member");
        return names.contains(line.vm) && line.timeMs + contextBeforeMs >= first
            && line.timeMs <= last + contextAfterMs && (member.empty() || names.contains(member));
    });
    sortByTime(result.context);
    result.findings = findingsOf(result);
    return result;
}

std::string describe(const trail_line &line, std::uint64_t start)
{
    constexpr double thousand = 1000;
    const auto since = (static_cast<double>(line.timeMs) - static_cast<double>(start)) / thousand;
    auto text
        = fmt::format("{:>+9.3f} s  {:<20} {:<7} {:<22}", since, line.vm, line.part, line.event);
    for (const auto &[name, value] : line.fields.items()) {
        if (name != "caller")
            text += fmt::format(" {}={}", name, textOf(value));
    }
    return text;
}

} // namespace toucan
