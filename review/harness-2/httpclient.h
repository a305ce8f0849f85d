#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace zinniadock::review
{

/// How an attempt of a client ended.
struct Answer
{
    bool isConnected = false;
    int status = 0; ///< 0 without the head of a response
    bool isComplete = false; ///< the whole body has arrived
    bool hasTimedOut = false; ///< the client has given up
};

/// Sends a request on a new connection and reads the response, whose body has a length or chunks.
/// \param patience  longest wait for the next bytes
Answer sendRequest(const std::string &address, std::uint16_t port, const std::string &request,
                   std::chrono::milliseconds patience);

} // namespace zinniadock::review
