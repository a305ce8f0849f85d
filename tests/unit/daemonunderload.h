#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

#include "rawcaller.h"

namespace zinniadock::test
{

/// Returns distinct ports of 127.0.0.1 that are free.
std::vector<std::uint16_t> freePorts(std::size_t count);

/// A `zinniadockd` process with its own settings file. The destructor ends it.
class MeasuredDaemon
{
public:
    /// Starts the process and waits until it accepts connections on \p port.
    MeasuredDaemon(const std::string &settings, std::uint16_t port);
    ~MeasuredDaemon();

    MeasuredDaemon(const MeasuredDaemon &) = delete;
    MeasuredDaemon &operator=(const MeasuredDaemon &) = delete;

    bool isAlive();

    /// Returns the maximum resident memory since the start, in bytes. First waits until it no longer rises, since the
    /// process may not have read yet what was sent to it.
    std::size_t peakMemory() const;

    std::size_t openDescriptors() const;

private:
    std::size_t statusValue(const std::string &name) const;

    std::string m_settingsFile;
    pid_t m_pid = 0;
};

/// A connection to 127.0.0.1 that keeps to no limit.
class UnrulyClient
{
public:
    explicit UnrulyClient(std::uint16_t port);
    ~UnrulyClient();

    UnrulyClient(const UnrulyClient &) = delete;
    UnrulyClient &operator=(const UnrulyClient &) = delete;

    /// Sends bytes. Returns false if the process has closed the connection or reads nothing for two seconds; nothing is
    /// sent from then on.
    bool send(const std::string &bytes);

    /// Returns all bytes that have been received so far, without waiting for more.
    const std::string &received();

private:
    std::string m_received;
    int m_socket = -1;
    bool m_isUsable = true;
};

} // namespace zinniadock::test
