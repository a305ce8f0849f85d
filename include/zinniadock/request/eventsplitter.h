#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniadock
{

/// One whole event of a stream, as the server wrote it.
struct StreamEvent
{
    std::optional<std::uint64_t> id;
    std::string bytes; ///< with the empty line that ends it
};

/// Length of the longest event that is passed on, in bytes.
constexpr std::size_t maxStreamEventBytes = 256U << 10U;

/// Cuts the bytes of an event stream into whole events, however they arrive.
class EventSplitter
{
public:
    /// Takes bytes and returns the events that they complete. Complexity: linear in the bytes taken.
    std::vector<StreamEvent> push(std::string_view bytes);

    /// Says whether bytes have come that are longer than any event, so that the stream is none.
    bool isOversized() const;

    /// Returns the bytes after the last whole event.
    const std::string &incompleteEvent() const;

    /// Forgets the bytes after the last whole event, before a stream is taken up on another connection.
    void reset();

private:
    std::string m_incompleteEvent;
    std::size_t m_searched = 0; ///< bytes of the rest that hold no end of an event
};

} // namespace zinniadock
