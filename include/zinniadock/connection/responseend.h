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

/// What is known of a response once no more of it can arrive.
enum class ResponseEnd {
    Complete, ///< the end that the server has stated has arrived
    Unconfirmed, ///< the server has stated no end, and its connection ended without an error
    BrokenOff, ///< the connection ended before the stated end, or with an error
};

/// Where a stream of events ended.
enum class StreamPlace {
    BeforeEvents, ///< after the head, before the end of the first event and without a part of it
    BetweenEvents,
    InsideEvent,
};

/// Returns what is known of a response that has ended.
/// \param isParsed  whether the whole response was read without an error; without a stated end, whether the connection
/// ended without an error
ResponseEnd judgeResponse(BodyFraming framing, bool isParsed);

/// Returns what is known of a stream of events that has ended.
ResponseEnd judgeStream(ResponseEnd response, StreamPlace place);

/// Returns where a stream ended.
/// \param events  number of complete events
/// \param incompleteBytes  number of bytes after the last complete event
StreamPlace placeInStream(std::size_t events, std::size_t incompleteBytes);

std::string_view toString(BodyFraming framing);
std::string_view toString(ResponseEnd end);
std::string_view toString(StreamPlace place);

} // namespace zinniadock
