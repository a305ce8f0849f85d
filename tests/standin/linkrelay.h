#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "functionserver.h"

namespace zinniadock::standin
{

/// Directions in which a relay holds back data.
struct BlockedDirections
{
    bool toServer = false;
    bool toClient = false;
};

struct LinkRelaySettings
{
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    std::string server; ///< IP:port that connections are forwarded to
    std::string address = "127.0.0.1"; ///< listening address on the loopback interface
};

/// Forwards TCP connections to a server and injects network faults: blocked directions, delay and closed connections.
///
/// While a direction is blocked, its connections stay open and no data arrives. The held data is delivered once
/// the direction is unblocked.
class LinkRelay
{
public:
    explicit LinkRelay(const LinkRelaySettings &settings);
    ~LinkRelay();

    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    std::uint16_t port() const;
    std::uint16_t controlPort() const;

    void setBlockedDirections(BlockedDirections directions);

    /// Sets the delay before each received chunk is forwarded.
    void setDelay(std::chrono::milliseconds delay);

    /// Sets the rate at which each connection carries bytes to the client; 0 for no limit.
    void setRate(std::size_t bytesPerSecond);

    /// Closes all connections.
    void cut();

    /// From now on nothing passes on the connections that are open now, in either direction. They stay open, and new
    /// ones work.
    void silenceOpenConnections();

private:
    struct Connection
    {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        std::vector<std::thread> threads;
        std::atomic<int> running{ 2 }; ///< number of threads that still forward, one for each direction
        std::atomic<bool> isSilent{ false };
    };

    void acceptConnections();
    void forward(Connection &connection, bool toServer);
    bool isBlocked(bool toServer) const;

    /// Joins the threads of ended connections, or of all connections, and removes the connections.
    void joinEndedConnections(bool all);

    const std::string m_target;
    Poco::Net::ServerSocket m_socket;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    BlockedDirections m_blockedDirections;
    std::atomic<std::int64_t> m_delayMilliseconds{ 0 };
    std::atomic<std::size_t> m_bytesPerSecond{ 0 };
    bool m_stopping = false;
    std::atomic<bool> m_isEnding{ false }; ///< as m_stopping, for threads that don't hold m_mutex
    std::list<Connection> m_connections; ///< changed only by the accepting thread and the destructor, under m_mutex;
                                         ///< read by cut() under m_mutex
    std::thread m_acceptor;
    std::unique_ptr<LoopbackHttpServer> m_control;
};

} // namespace zinniadock::standin
