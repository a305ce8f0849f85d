#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace zinniadock::test
{

/// What a caller knows of a response after it has read all of it, by the framing of the response alone.
enum class SeenEnd {
    Complete, ///< its length, its last chunk, or a status without a body has arrived
    Unconfirmed, ///< it has neither a length nor chunks, and the connection ended with FIN
    BrokenOff, ///< the connection ended before the stated end, or with a reset
};

std::ostream &operator<<(std::ostream &out, SeenEnd end);

/// A response as a caller receives it.
struct SeenResponse
{
    int status = 0; ///< 0 if no head arrived
    std::string head;
    std::string body; ///< without the framing of chunks
    SeenEnd end = SeenEnd::BrokenOff;
};

/// Sends \p request on a new connection and reads the response until its end.
/// \param method  of the request; a response to HEAD and a response with status 204 have no body
SeenResponse requestRaw(std::uint16_t port, const std::string &request, const std::string &method = "POST");

/// Returns the bytes of a request of the forwarding tests. \p fields are further header fields, each with its CRLF.
std::string rawRequest(const std::string &method, const std::string &target, const std::string &id,
                       const std::string &fields = "");

/// Returns the bytes of a request for a generation that waits at most \p deadlineMs milliseconds.
std::string rawGeneration(const std::string &id, int deadlineMs = 15000);

} // namespace zinniadock::test
