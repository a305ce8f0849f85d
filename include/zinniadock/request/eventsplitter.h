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

/// Cuts the bytes of an event stream into whole events, however they arrive.
class EventSplitter
{
public:
    /// Takes bytes and returns the events that they complete. Complexity: linear in the bytes held.
    std::vector<StreamEvent> push(std::string_view bytes);

    /// Returns the bytes after the last whole event.
    const std::string &rest() const;

    /// Forgets the bytes after the last whole event, before a stream is taken up on another connection.
    void reset();

private:
    std::string m_rest;
};

} // namespace zinniadock
