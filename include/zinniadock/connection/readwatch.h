#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/Net/StreamSocket.h>

namespace zinniadock
{

/// What a connection is expected to send next.
enum class ReadPhase {
    FirstRequest, ///< the first request of a new connection, which is probably on its way
    BetweenRequests, ///< the next request of a keep-alive connection that is idle after a response
    WithinRequest, ///< the rest of a request
};

/// Shuts down the receiving side of connections that take too long to send a whole request, and of idle connections
/// when the process drains.
class ReadWatchdog
{
public:
    ReadWatchdog();
    ~ReadWatchdog();

    ReadWatchdog(const ReadWatchdog &) = delete;
    ReadWatchdog &operator=(const ReadWatchdog &) = delete;

    /// Shuts down the receiving side of all connections that are between requests, now or later.
    void closeIdle();

    /// Shuts down the receiving side of the connection that has waited longest for a request. Returns whether there was
    /// one.
    bool closeLongestIdle();

    /// Watches one connection during the lifetime of this object.
    class ScopedWatch
    {
    public:
        /// \param limit  time after which the receiving side of the socket is shut down
        ScopedWatch(ReadWatchdog &watchdog, const Poco::Net::StreamSocket &socket, std::chrono::milliseconds limit,
                    ReadPhase phase);
        ~ScopedWatch();

        ScopedWatch(const ScopedWatch &) = delete;
        ScopedWatch &operator=(const ScopedWatch &) = delete;

        /// Returns whether the receiving side was shut down.
        bool isReceiveShutDown() const;

    private:
        ReadWatchdog &m_watchdog;
        std::uint64_t m_id;
    };

private:
    struct WatchedConnection
    {
        Poco::Net::StreamSocket socket;
        std::chrono::steady_clock::time_point deadline;
        ReadPhase phase = ReadPhase::FirstRequest;
        bool isReceiveShutDown = false;
    };

    void run();
    static void shutDownReceive(WatchedConnection &connection);

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::uint64_t, WatchedConnection> m_connections;
    std::uint64_t m_lastId = 0;
    bool m_closeIdle = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace zinniadock
