#include "zinniadock/request/eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace zinniadock
{

namespace
{

constexpr std::string_view idPrefix = "id:";

/// Maximum length of an incomplete event terminator at the end of the received bytes: LF and CR.
constexpr std::size_t maxPartialTerminatorBytes = 2;

// Returns the position after the first event, or npos if no event is complete. An event is terminated by an empty line
// with LF or CRLF.
std::size_t findEventEnd(std::string_view bytes)
{
    const std::size_t lf = bytes.find("\n\n");
    const std::size_t crlf = bytes.find("\n\r\n");
    const std::size_t lfEnd = lf == std::string_view::npos ? lf : lf + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? crlf : crlf + 3;
    return std::min(lfEnd, crlfEnd);
}

std::optional<std::uint64_t> parseId(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        if (line.starts_with(idPrefix)) {
            line.remove_prefix(idPrefix.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            std::uint64_t id = 0;
            const auto [position, error] = std::from_chars(line.data(), line.data() + line.size(), id);
            return error == std::errc() ? std::optional(id) : std::nullopt;
        }
        begin = end + 1;
    }
    return std::nullopt;
}

} // namespace

bool isComment(const StreamEvent &event)
{
    return event.bytes.starts_with(':') && !event.id;
}

std::vector<StreamEvent> EventSplitter::push(std::string_view bytes)
{
    m_incompleteEvent += bytes;
    std::vector<StreamEvent> events;
    std::size_t begin = 0;
    std::size_t searchFrom = m_searched;
    while (true) {
        const std::string_view unsearched = std::string_view(m_incompleteEvent).substr(searchFrom);
        const std::size_t length = findEventEnd(unsearched);
        if (length == std::string_view::npos) {
            break;
        }
        const std::size_t end = searchFrom + length;
        const std::string_view event = std::string_view(m_incompleteEvent).substr(begin, end - begin);
        events.push_back({ parseId(event), std::string(event) });
        begin = end;
        searchFrom = end;
    }
    m_incompleteEvent.erase(0, begin);
    m_searched = m_incompleteEvent.size() - std::min(m_incompleteEvent.size(), maxPartialTerminatorBytes);
    return events;
}

bool EventSplitter::isOversized() const
{
    return m_incompleteEvent.size() > maxStreamEventBytes;
}

const std::string &EventSplitter::incompleteEvent() const
{
    return m_incompleteEvent;
}

void EventSplitter::reset()
{
    m_incompleteEvent.clear();
    m_searched = 0;
}

} // namespace zinniadock
