#include "zinniadock/connection/readwatch.h"

#include <Poco/Exception.h>

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds checkInterval{ 100 };

} // namespace

ReadWatchdog::ReadWatchdog()
    : m_thread([this] {
        run();
    })
{
}

ReadWatchdog::~ReadWatchdog()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void ReadWatchdog::closeIdle()
{
    const std::lock_guard lock(m_mutex);
    m_closeIdle = true;
    for (auto &[number, watched] : m_watched) {
        if (watched.phase == ReadPhase::BetweenRequests) {
            endReads(watched);
        }
    }
}

ReadWatchdog::ScopedWatch::ScopedWatch(ReadWatchdog &watch, const Poco::Net::StreamSocket &socket,
                                       std::chrono::milliseconds limit, ReadPhase phase)
    : m_watch(watch)
{
    const std::lock_guard lock(m_watch.m_mutex);
    m_number = ++m_watch.m_last;
    Watched watched{ .socket = socket, .due = std::chrono::steady_clock::now() + limit, .phase = phase };
    if (phase == ReadPhase::BetweenRequests && m_watch.m_closeIdle) {
        endReads(watched);
    }
    m_watch.m_watched.emplace(m_number, watched);
}

ReadWatchdog::ScopedWatch::~ScopedWatch()
{
    const std::lock_guard lock(m_watch.m_mutex);
    m_watch.m_watched.erase(m_number);
}

bool ReadWatchdog::ScopedWatch::ended() const
{
    const std::lock_guard lock(m_watch.m_mutex);
    return m_watch.m_watched.at(m_number).ended;
}

void ReadWatchdog::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto now = std::chrono::steady_clock::now();
        for (auto &[number, watched] : m_watched) {
            if (!watched.ended && now >= watched.due) {
                endReads(watched);
            }
        }
        m_wake.wait_for(lock, checkInterval);
    }
}

// Only the receiving side is shut down, so that the error answer can still be sent.
void ReadWatchdog::endReads(Watched &watched)
{
    watched.ended = true;
    try {
        watched.socket.shutdownReceive();
    } catch (const Poco::Exception &) {
        // The connection is already gone.
        return;
    }
}

} // namespace zinniadock
