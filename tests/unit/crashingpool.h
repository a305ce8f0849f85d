#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "forwardingfixture.h"

namespace zinniadock::test
{

/// A part of a request that crashes the servers of a CrashingPool.
constexpr const char *crashMarker = "dead0001";

/// How a server of a CrashingPool returns after a crash.
enum class ServerReturn {
    NewServer, ///< with another ID at another address
    SameId, ///< under its ID, at another address
    SameAddress, ///< with another ID at its address
};

/// Servers of one pool that crash on requests with crashMarker, and entries in front of them. A crashed server is
/// listed until it returns.
class CrashingPool
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// \param pool  `shop` or `engines`, see configuration()
    /// \param crashDelay  from the arrival of such a request until the server crashes
    CrashingPool(const std::string &pool, std::size_t servers, std::size_t entryCount,
                 ServerReturn serverReturn = ServerReturn::NewServer,
                 std::chrono::milliseconds crashDelay = std::chrono::milliseconds(0));
    ~CrashingPool();

    CrashingPool(const CrashingPool &) = delete;
    CrashingPool &operator=(const CrashingPool &) = delete;

    std::uint16_t entryPort(std::size_t entry);
    RoleThread<ForwardingEntry> &entry(std::size_t index);

    /// Sets the time after which a crashed server returns.
    void setReturnDelay(std::chrono::milliseconds delay);

    /// Replaces an entry by a new process at another address.
    void restartEntry(std::size_t index);

    /// Stops an entry as its process does after SIGTERM, and replaces it.
    void stopEntry(std::size_t index);

    /// Ends servers, as a kill from outside does. They return like crashed ones.
    void killServers(std::size_t count);

    /// Returns when servers were ended by a request, in order.
    std::vector<Time> crashes();

private:
    void watch();
    void replaceEnded();
    std::unique_ptr<standin::PlatformServer> makeServer(const std::string &id, std::uint16_t port);
    std::unique_ptr<RoleThread<ForwardingEntry>> makeEntry();

    struct Slot
    {
        std::unique_ptr<standin::PlatformServer> server; ///< null while the server has ended
        std::string lastId;
        std::uint16_t lastPort = 0;
        Time returnsAt;
    };

    const std::string m_pool;
    const ServerReturn m_return;
    const std::chrono::milliseconds m_crashDelay;
    std::atomic<std::chrono::milliseconds> m_returnDelay{ std::chrono::milliseconds(700) };
    std::mutex m_mutex;
    int m_nextId = 1;
    int m_nextStart = 1000;
    std::vector<Slot> m_slots;
    std::vector<Time> m_crashes;
    standin::PlatformStore m_store;
    std::vector<Endpoint> m_seeds;
    std::vector<std::unique_ptr<RoleThread<ForwardingEntry>>> m_entries;
    std::atomic<bool> m_isStopping{ false };
    std::thread m_watcher;
};

} // namespace zinniadock::test
