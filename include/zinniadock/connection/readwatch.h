#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/Net/StreamSocket.h>

namespace zinniadock
{

/// What a connection is waited for.
enum class ReadPhase {
    FirstRequest, ///< a new connection, on which a request is likely under way
    BetweenRequests, ///< a kept connection, idle after an answer
    WithinRequest, ///< the rest of a request
};

/// Ends connections that take too long to send a whole request, and idle ones when the process drains.
class ReadWatchdog
{
public:
    ReadWatchdog();
    ~ReadWatchdog();

    ReadWatchdog(const ReadWatchdog &) = delete;
    ReadWatchdog &operator=(const ReadWatchdog &) = delete;

    /// Ends the reads of all connections between requests, now and from now on.
    void closeIdle();

    /// Watches one connection for as long as it lives.
    class ScopedWatch
    {
    public:
        /// \param limit  time until the reads of the socket are ended
        ScopedWatch(ReadWatchdog &watch, const Poco::Net::StreamSocket &socket, std::chrono::milliseconds limit,
                    ReadPhase phase);
        ~ScopedWatch();

        ScopedWatch(const ScopedWatch &) = delete;
        ScopedWatch &operator=(const ScopedWatch &) = delete;

        /// Says whether the reads were ended.
        bool ended() const;

    private:
        ReadWatchdog &m_watch;
        std::uint64_t m_number;
    };

private:
    struct Watched
    {
        Poco::Net::StreamSocket socket;
        std::chrono::steady_clock::time_point due;
        ReadPhase phase = ReadPhase::FirstRequest;
        bool ended = false;
    };

    void run();
    static void endReads(Watched &watched);

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::uint64_t, Watched> m_watched;
    std::uint64_t m_last = 0;
    bool m_closeIdle = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace zinniadock
