#pragma once

#include <cstdint>
#include <optional>

namespace zinniadock
{

/// Whether the response to a caller has begun.
enum class CallerResponse {
    NotBegun,
    HeadSent, ///< the head of a stream and events of it may have been sent
};

/// What a server says to an attempt at a stream.
enum class StreamReply {
    Events, ///< a stream that begins, or that continues after the last event that the caller has
    OtherEvents, ///< a stream that does not continue after the last event that the caller has
    WholeResponse, ///< a whole signed response that is no stream, for example with status 500 or 504
    Refusal, ///< the server states that it did not run the request
    Unusable, ///< no response, or one that is broken off, not signed or malformed
};

/// Why a server got the request.
enum class StreamAttempt {
    Placement, ///< it was chosen for the generation, at first or after a refusal by another server
    Move, ///< the generation moves to it
    Resume, ///< the generation has stopped at it for a move that failed
};

/// What happens after a reply.
enum class StreamStep {
    ForwardEvents,
    ForwardResponse, ///< the caller gets the whole response of the server
    TryNext, ///< another server gets the request, or after a failed move the source of the move
    Fail, ///< the caller gets a failure, or its response is broken off if it has begun
};

/// Returns what happens after a reply. Behind a head that was sent only a continuation of its stream may follow, since
/// the caller takes all other bytes for a part of the stream.
StreamStep nextStep(CallerResponse caller, StreamReply reply, StreamAttempt attempt);

/// Returns whether a stream continues after the last event that the caller has.
/// \param lastId  ID of that event; nothing if it had none
/// \param firstId  ID of the first event of the continuation; nothing if it has none
/// \param isConsecutive  whether the IDs of the events so far had no gap, so that a gap means a missing event
bool isContinuation(std::optional<std::uint64_t> lastId, std::optional<std::uint64_t> firstId, bool isConsecutive);

} // namespace zinniadock
