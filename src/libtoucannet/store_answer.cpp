#include <algorithm>
#include <toucan/store_answer.h>
#include <vector>

namespace toucan {
namespace {

using json = nlohmann::json;

// Lists are members of the object that the answer consists of.
constexpr std::size_t listDepth = 2;

// An object or array in one of the answer's lists.
struct list_element
{
    std::size_t begin = 0;
    std::size_t end = 0;
    std::size_t depth = 0; // Levels of nesting.
};

// Finds the elements by brackets alone, without recursion and whatever is between them.
class element_scanner
{
public:
    std::vector<list_element> scan(std::string_view text)
    {
        for (std::size_t i = 0; i < text.size(); ++i)
            read(text[i], i);
        return std::move(m_elements);
    }

private:
    void read(char symbol, std::size_t position)
    {
        if (m_inString) {
            m_inString = m_isEscaped || symbol != '"';
            m_isEscaped = !m_isEscaped && symbol == '\\';
        } else if (symbol == '"') {
            m_inString = true;
        } else if (symbol == '{' || symbol == '[') {
            open(symbol, position);
        } else if (symbol == '}' || symbol == ']') {
            close(position);
        }
    }
    void open(char symbol, std::size_t position)
    {
        ++m_depth;
        if (m_depth == listDepth)
            m_isList = symbol == '[';
        if (m_depth == listDepth + 1)
            m_current = {.begin = position};
        if (m_depth > listDepth)
            m_current.depth = std::max(m_current.depth, m_depth - listDepth);
    }
    void close(std::size_t position)
    {
        if (m_depth == listDepth + 1 && m_isList) {
            m_current.end = position + 1;
            m_elements.push_back(m_current);
        }
        m_depth -= std::min<std::size_t>(m_depth, 1);
    }

    std::vector<list_element> m_elements;
    list_element m_current;
    std::size_t m_depth = 0;
    bool m_isList = false;
    bool m_inString = false;
    bool m_isEscaped = false;
};

// Keeps the positions of the other elements. An element that cannot be read is longer than "null":
// it has at least two brackets and the part that cannot be read.
void replaceByNull(std::string &text, const list_element &element)
{
    constexpr std::string_view null = "null";
    const auto begin = text.begin() + static_cast<std::ptrdiff_t>(element.begin);
    std::fill(begin, text.begin() + static_cast<std::ptrdiff_t>(element.end), ' ');
    std::ranges::copy(null.substr(0, element.end - element.begin), begin);
}

json parse(const std::string &text)
{
    // Refuses to build what is nested too deeply outside of lists.
    const auto isShallow = [](int depth, json::parse_event_t event, json &) {
        const bool opens = event == json::parse_event_t::object_start
            || event == json::parse_event_t::array_start;
        return !opens || static_cast<std::size_t>(depth) <= maxObjectDepth + listDepth;
    };
    return json::parse(text, isShallow);
}

} // namespace

json parseStoreAnswer(std::string text)
{
    const auto elements = element_scanner().scan(text);
    for (const auto &element : elements) {
        if (element.depth > maxObjectDepth)
            replaceByNull(text, element);
    }
    if (json::accept(text))
        return parse(text);
    for (const auto &element : elements) {
        const std::string_view part
            = std::string_view(text).substr(element.begin, element.end - element.begin);
        if (!json::accept(part))
            replaceByNull(text, element);
    }
    return parse(text);
}

} // namespace toucan
