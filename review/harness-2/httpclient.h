#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace zinniadock::review
{

/// How an attempt of a client ended.
struct Answer
{
    bool isConnected = false;
    bool wasKept = false; ///< the connection has served a request before
    bool hasBegun = false; ///< a byte of the response has arrived
    int status = 0; ///< 0 without the head of a response
    bool isComplete = false; ///< the whole body has arrived
    bool hasTimedOut = false; ///< the client has given up
};

/// Sends a request on a new connection and reads the response, whose body has a length or chunks.
/// \param patience  longest wait for the next bytes
Answer sendRequest(const std::string &address, std::uint16_t port, const std::string &request,
                   std::chrono::milliseconds patience);

/// Connections of clients to one address that are open and idle. Thread-safe.
class KeptConnections
{
public:
    KeptConnections(std::string address, std::uint16_t port);
    ~KeptConnections();

    KeptConnections(const KeptConnections &) = delete;
    KeptConnections &operator=(const KeptConnections &) = delete;

    /// As sendRequest(), on the connection that was used last, or on a new one if there is none.
    Answer send(const std::string &request, std::chrono::milliseconds patience);

private:
    /// Returns an open connection; -1 if there is none.
    int take();

    const std::string m_address;
    const std::uint16_t m_port;
    std::mutex m_mutex;
    std::vector<int> m_sockets;
};

} // namespace zinniadock::review
