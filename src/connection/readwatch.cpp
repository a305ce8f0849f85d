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
    for (auto &[id, connection] : m_connections) {
        if (connection.phase == ReadPhase::BetweenRequests) {
            shutDownReceive(connection);
        }
    }
}

// The connections are in the order in which their waits began.
bool ReadWatchdog::closeLongestIdle()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, connection] : m_connections) {
        if (connection.phase != ReadPhase::WithinRequest && !connection.isReceiveShutDown) {
            shutDownReceive(connection);
            return true;
        }
    }
    return false;
}

ReadWatchdog::ScopedWatch::ScopedWatch(ReadWatchdog &watchdog, const Poco::Net::StreamSocket &socket,
                                       std::chrono::milliseconds limit, ReadPhase phase)
    : m_watchdog(watchdog)
{
    const std::lock_guard lock(m_watchdog.m_mutex);
    m_id = ++m_watchdog.m_lastId;
    WatchedConnection connection{ .socket = socket,
                                  .deadline = std::chrono::steady_clock::now() + limit,
                                  .phase = phase };
    if (phase == ReadPhase::BetweenRequests && m_watchdog.m_closeIdle) {
        shutDownReceive(connection);
    }
    m_watchdog.m_connections.emplace(m_id, connection);
}

ReadWatchdog::ScopedWatch::~ScopedWatch()
{
    const std::lock_guard lock(m_watchdog.m_mutex);
    m_watchdog.m_connections.erase(m_id);
}

bool ReadWatchdog::ScopedWatch::isReceiveShutDown() const
{
    const std::lock_guard lock(m_watchdog.m_mutex);
    return m_watchdog.m_connections.at(m_id).isReceiveShutDown;
}

void ReadWatchdog::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto now = std::chrono::steady_clock::now();
        for (auto &[id, connection] : m_connections) {
            if (!connection.isReceiveShutDown && now >= connection.deadline) {
                shutDownReceive(connection);
            }
        }
        m_wake.wait_for(lock, checkInterval);
    }
}

// Leaves the sending side open, so that the error response can still be sent.
void ReadWatchdog::shutDownReceive(WatchedConnection &connection)
{
    connection.isReceiveShutDown = true;
    try {
        connection.socket.shutdownReceive();
    } catch (const Poco::Exception &) {
        // The connection is already closed.
        return;
    }
}

} // namespace zinniadock
