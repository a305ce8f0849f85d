#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <system_error>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "zinniadock/connection/readwatch.h"
#include "zinniadock/process/entryservices.h"
#include "zinniadock/process/limits/accountlimiter.h"
#include "zinniadock/process/links/linkpool.h"
#include "zinniadock/process/observing/metrics.h"
#include "zinniadock/process/observing/timeline.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/process/store/claims.h"
#include "zinniadock/process/store/configurationfollower.h"
#include "zinniadock/process/store/etcdstore.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// State and counters of an entry for the status page.
struct EntryStatus
{
    std::uint64_t revision = 0;
    std::string digest;
    bool draining = false;
    bool isStoreReachable = true; ///< the last attempt to read and watch the store succeeded
    std::uint64_t storeCalls = 0; ///< calls to the store since the start
    int connections = 0;
    std::uint32_t entryCount = 1; ///< entries that share the limits of the fleet
    LinkPoolStatus links;
};

/// An instance that callers connect to. Follows the configuration in the store, maintains the links to the sidecars and
/// serves callers.
class Entry
{
public:
    explicit Entry(Settings settings);
    ~Entry();

    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Starts listening for callers.
    std::error_code start();

    /// Returns the port that callers connect to.
    std::uint16_t port() const;

    /// Refuses requests that may take longer than \p timeLimit, after which the process ends.
    void beginStop(std::chrono::milliseconds timeLimit);

    /// Refuses all further requests; requests in flight continue.
    void drain();

    /// Waits until no caller is connected; returns false after \p timeout.
    bool waitUntilIdle(std::chrono::milliseconds timeout);

    void stop();

    EntryStatus status() const;
    const EntryMetrics &metrics() const;
    const CallerBudget &callerBudget() const;
    VersionHolder &versions();
    Timeline &timeline();

private:
    int maxConnections() const;
    void makeRoomForConnection();
    void onVersionInstalled();
    void onFollowerIdle();

    const Settings m_settings;
    const std::shared_ptr<CallerBudget> m_callerBudget;
    std::atomic<bool> m_draining{ false };
    StopAdmission m_stop;
    std::atomic<bool> m_stopped{ false };
    VersionHolder m_versions;
    Timeline m_timeline;
    EntryMetrics m_metrics;
    AccountLimiter m_limiter;
    RetryBudget m_retries;
    EtcdStore m_store;
    /// Client for claims. It is separate from m_store, so that interrupting the watches of m_store affects no call for
    /// a claim.
    EtcdStore m_claimStore;
    IdempotencyClaims<EtcdStore> m_claims;
    LinkPool m_links;
    ReadWatchdog m_readWatchdog;
    EntryServices m_services;
    ConfigurationFollower<EtcdStore> m_follower;
    std::unique_ptr<Poco::ThreadPool> m_threadPool;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace zinniadock
