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

/// Which way a relay holds back what arrives.
struct BlockedDirections
{
    bool toServer = false;
    bool toClient = false;
};

struct LinkRelaySettings
{
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    std::string server; ///< IP:port that connections are passed on to
    std::string address = "127.0.0.1"; ///< on the loopback interface
};

/// Passes TCP connections on to a server, and stages what networks do to them.
///
/// While a way is silent its connections stay open and nothing arrives; what was held back arrives late once it ends.
class LinkRelay
{
public:
    explicit LinkRelay(const LinkRelaySettings &settings);
    ~LinkRelay();

    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    std::uint16_t port() const;
    std::uint16_t controlPort() const;

    void setBlockedDirections(BlockedDirections silence);

    /// Holds back each piece for a while before it is passed on.
    void setDelay(std::chrono::milliseconds delay);

    /// Closes all connections.
    void cut();

private:
    struct Connection
    {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        std::vector<std::thread> threads;
        std::atomic<int> running{ 2 };
    };

    void accept();
    void pass(Connection &connection, bool toServer);
    bool held(bool toServer) const;
    void reap(bool all);

    const std::string m_target;
    Poco::Net::ServerSocket m_socket;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    BlockedDirections m_silence;
    std::atomic<std::int64_t> m_delayMilliseconds{ 0 };
    bool m_stopping = false;
    std::list<Connection> m_connections; ///< touched by the accepting thread, and under the lock by cut()
    std::thread m_acceptor;
    std::unique_ptr<FunctionServer> m_control;
};

} // namespace zinniadock::standin
