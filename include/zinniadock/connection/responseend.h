#pragma once

#include <cstddef>
#include <string_view>

namespace zinniadock
{

/// How the head of a response states where its body ends.
enum class BodyFraming {
    NoBody, ///< there is no body: a response to HEAD, or a status that excludes one
    Length, ///< by the field `Content-Length`
    Chunks, ///< by the last chunk
    Connection, ///< not at all: the body ends when the server closes the connection
};

/// Where a stream of events ended.
enum class StreamPlace {
    BeforeEvents, ///< after the head, before the end of the first event and without a part of it
    BetweenEvents,
    InsideEvent,
};

/// Returns where a stream ended.
/// \param events  number of complete events
/// \param incompleteBytes  number of bytes after the last complete event
StreamPlace placeInStream(std::size_t events, std::size_t incompleteBytes);

std::string_view toString(BodyFraming framing);
std::string_view toString(StreamPlace place);

} // namespace zinniadock
