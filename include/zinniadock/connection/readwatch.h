#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <Poco/Net/StreamSocket.h>

namespace zinniadock
{

/// Ends connections that take too long to send a whole request, and idle ones when the process drains.
class ReadWatch
{
public:
    ReadWatch();
    ~ReadWatch();

    ReadWatch(const ReadWatch &) = delete;
    ReadWatch &operator=(const ReadWatch &) = delete;

    /// Ends the reads of all idle connections, now and from now on.
    void closeIdle();

    /// Watches one connection for as long as it lives.
    class Guard
    {
    public:
        /// \param limit  time until the reads of the socket are ended
        /// \param idle  nothing of a request has arrived yet
        Guard(ReadWatch &watch, const Poco::Net::StreamSocket &socket, std::chrono::milliseconds limit, bool idle);
        ~Guard();

        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;

        /// Says whether the reads were ended.
        bool ended() const;

    private:
        ReadWatch &m_watch;
        std::uint64_t m_number;
    };

private:
    struct Watched
    {
        Poco::Net::StreamSocket socket;
        std::chrono::steady_clock::time_point due;
        bool idle = false;
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
