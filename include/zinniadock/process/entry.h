#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <system_error>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "zinniadock/connection/readwatch.h"
#include "zinniadock/process/accountlimiter.h"
#include "zinniadock/process/claims.h"
#include "zinniadock/process/configurationfollower.h"
#include "zinniadock/process/entryservices.h"
#include "zinniadock/process/etcdstore.h"
#include "zinniadock/process/linkpool.h"
#include "zinniadock/process/metrics.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/process/timeline.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// Counts of an entry, for its status page.
struct EntryStatus
{
    std::uint64_t revision = 0;
    std::string digest;
    bool draining = false;
    bool storeAnswers = true;
    std::uint64_t storeCalls = 0;
    int connections = 0;
    std::uint32_t entries = 1;
    LinkPoolStatus links;
};

/// An instance that callers reach: follows the configuration, keeps the links and serves callers.
class Entry
{
public:
    explicit Entry(Settings settings);
    ~Entry();

    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Starts to listen for callers.
    std::error_code start();

    /// Returns the port that callers connect to.
    std::uint16_t port() const;

    /// Refuses new requests from now on.
    void drain();

    /// Waits until every request in flight has its answer; false after \p timeout.
    bool waitIdle(std::chrono::milliseconds timeout);

    void stop();

    EntryStatus status() const;
    const EntryMetrics &metrics() const;
    VersionHolder &versions();
    Timeline &timeline();

private:
    void installed();
    void idle();

    const Settings m_settings;
    std::atomic<bool> m_draining{ false };
    std::atomic<bool> m_stopped{ false };
    VersionHolder m_versions;
    Timeline m_timeline;
    EntryMetrics m_metrics;
    AccountLimiter m_limiter;
    RetryBudget m_retries;
    EtcdStore m_store;
    EtcdStore m_claimStore; ///< its own connections, so that claims outlive the interruption of watches
    IdempotencyClaims<EtcdStore> m_claims;
    LinkPool m_links;
    ReadWatchdog m_readWatch;
    EntryServices m_services;
    ConfigurationFollower<EtcdStore> m_follower;
    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace zinniadock
