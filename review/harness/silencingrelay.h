#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace zinniadock::review
{

/// Forwards TCP connections on the loopback interface. Open connections can be made silent for good, while new ones
/// work.
class SilencingRelay
{
public:
    /// \param target  IP address and port that connections are forwarded to
    SilencingRelay(std::string targetAddress, std::uint16_t targetPort);
    ~SilencingRelay();

    SilencingRelay(const SilencingRelay &) = delete;
    SilencingRelay &operator=(const SilencingRelay &) = delete;

    std::uint16_t port() const;

    /// From now on nothing passes on the connections that are open now, in either direction. They stay open.
    void silenceOpenConnections();

    /// Returns the number of connections that were accepted.
    int accepted() const;

private:
    struct Connection
    {
        int client = -1;
        int server = -1;
        std::atomic<bool> isSilent{ false };
        std::thread thread;
    };

    void acceptConnections();
    void forward(Connection &connection) const;

    const std::string m_targetAddress;
    const std::uint16_t m_targetPort;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping{ false };
    std::atomic<int> m_accepted{ 0 };
    std::mutex m_mutex;
    std::list<Connection> m_connections;
    std::thread m_acceptor;
};

} // namespace zinniadock::review
