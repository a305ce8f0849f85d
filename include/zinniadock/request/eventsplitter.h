#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniadock
{

/// One complete server-sent event, as received from the server.
struct StreamEvent
{
    std::optional<std::uint64_t> id;
    std::string bytes; ///< including the empty line that terminates the event
};

/// Returns whether an event is only a comment, which has no ID.
bool isComment(const StreamEvent &event);

/// Maximum size of an incomplete event, in bytes. A stream whose incomplete event is larger is aborted.
constexpr std::size_t maxStreamEventBytes = 256U << 10U;

/// Splits the bytes of an event stream into complete events, whatever the sizes of the received pieces.
class EventSplitter
{
public:
    /// Appends received bytes and returns the events that they complete. Complexity: linear in the number of bytes.
    std::vector<StreamEvent> push(std::string_view bytes);

    /// Returns whether the incomplete event is larger than maxStreamEventBytes, which shows that the stream is not an
    /// event stream.
    bool isOversized() const;

    /// Returns the bytes after the last complete event.
    const std::string &incompleteEvent() const;

    /// Discards the bytes after the last complete event, before the stream is resumed on another connection.
    void reset();

private:
    std::string m_incompleteEvent;
    std::size_t m_searched = 0; ///< leading bytes of m_incompleteEvent in which no event terminator begins
};

} // namespace zinniadock
