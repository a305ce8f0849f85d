#include "zinniadock/process/entry.h"

#include <functional>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>

#include "zinniadock/connection/callerconnection.h"
#include "zinniadock/process/limits/memorychoice.h"
#include "zinniadock/process/observing/log.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "entry" };
constexpr int acceptBacklog = 1024;
constexpr int maxQueuedConnections = 64;
constexpr int threadStackBytes = 256 * 1024;
constexpr std::chrono::milliseconds idlePollInterval{ 20 };

/// Calls a function before each connection is accepted.
class ConnectionObserver final : public Poco::Net::TCPServerConnectionFilter
{
public:
    explicit ConnectionObserver(std::function<void()> onConnection)
        : m_onConnection(std::move(onConnection))
    {
    }

    bool accept(const Poco::Net::StreamSocket & /*socket*/) override
    {
        m_onConnection();
        return true;
    }

private:
    const std::function<void()> m_onConnection;
};

} // namespace

Entry::Entry(Settings settings)
    : m_settings(std::move(settings))
    , m_callerBudget(std::make_shared<CallerBudget>(
          chooseCallerBudget(m_settings),
          [](RefusalCause cause, std::uint64_t count) {
              log.warning("refused " + std::to_string(count) + " requests, cause: " + std::string(toString(cause)));
          }))
    , m_store(m_settings.store.endpoint, m_settings.store.timeout)
    , m_claimStore(m_settings.store.endpoint, m_settings.store.timeout)
    , m_claims(m_claimStore, m_settings.store.prefix, m_settings.store.claimRetention)
    , m_links(m_settings.daemon.instance, m_settings.daemon.dataCentre, m_versions, m_timeline,
              [this] {
                  onVersionInstalled();
              })
    , m_services{ .settings = m_settings,
                  .versions = m_versions,
                  .links = m_links,
                  .limiter = m_limiter,
                  .retries = m_retries,
                  .claims = m_claims,
                  .metrics = m_metrics,
                  .timeline = m_timeline,
                  .draining = m_draining,
                  .stop = m_stop,
                  .callerBudget = m_callerBudget }
    , m_follower(
          m_store, m_settings.store.prefix, m_versions, m_timeline,
          [this] {
              onVersionInstalled();
          },
          [this] {
              onFollowerIdle();
          })
{
}

Entry::~Entry()
{
    stop();
}

std::error_code Entry::start()
{
    const int maxThreads = maxConnections();
    try {
        const Poco::Net::SocketAddress address(m_settings.entry.listen.address, m_settings.entry.listen.port);
        const Poco::Net::ServerSocket socket(address, acceptBacklog);
        m_threadPool = std::make_unique<Poco::ThreadPool>("caller", 2, maxThreads, 60, threadStackBytes);
        Poco::Net::TCPServerParams::Ptr parameters(new Poco::Net::TCPServerParams);
        parameters->setMaxThreads(maxThreads);
        parameters->setMaxQueued(maxQueuedConnections);
        m_server = std::make_unique<Poco::Net::TCPServer>(new CallerConnectionFactory(m_services, m_readWatchdog),
                                                          *m_threadPool, socket, parameters);
        m_server->setConnectionFilter(new ConnectionObserver([this] {
            makeRoomForConnection();
        }));
        m_server->start();
    } catch (const Poco::Exception &) {
        return std::make_error_code(std::errc::address_in_use);
    }
    if (!m_versions.current()) {
        m_links.setPeers(m_settings.entry.peers);
    }
    log.info("listening for callers on port " + std::to_string(port()));
    m_timeline.record(EventKind::ProcessStarted);
    return {};
}

int Entry::maxConnections() const
{
    return static_cast<int>(chooseConnectionLimits(m_settings, descriptorLimit()).callers);
}

// A connection whose request is complete is never closed.
void Entry::makeRoomForConnection()
{
    const bool isFull = m_server->currentConnections() >= maxConnections();
    if (isFull && !m_readWatchdog.closeLongestIdle()) {
        m_callerBudget->abandonForConnection();
    }
}

std::uint16_t Entry::port() const
{
    return m_server->port();
}

void Entry::beginStop(std::chrono::milliseconds timeLimit)
{
    m_stop.begin(std::chrono::steady_clock::now() + timeLimit);
}

void Entry::drain()
{
    if (!m_draining.exchange(true)) {
        log.info("draining: new requests are refused");
        m_timeline.record(EventKind::Draining);
        m_readWatchdog.closeIdle();
    }
}

bool Entry::waitUntilIdle(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (m_server && m_server->currentConnections() > 0) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(idlePollInterval);
    }
    return true;
}

void Entry::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    drain();
    if (m_server) {
        m_server->stop();
    }
    m_follower.stop();
    m_links.stop();
    if (m_threadPool) {
        m_threadPool->stopAll();
    }
}

EntryStatus Entry::status() const
{
    EntryStatus status;
    const auto version = m_versions.current();
    status.revision = version ? version->revision : 0;
    status.digest = version ? version->digest : "";
    status.draining = m_draining;
    status.isStoreReachable = m_follower.isStoreReachable();
    status.storeCalls = m_store.calls() + m_claimStore.calls();
    status.connections = m_server ? m_server->currentConnections() : 0;
    status.entryCount = m_links.entryCount();
    status.links = m_links.status();
    return status;
}

const CallerBudget &Entry::callerBudget() const
{
    return *m_callerBudget;
}

const EntryMetrics &Entry::metrics() const
{
    return m_metrics;
}

Timeline &Entry::timeline()
{
    return m_timeline;
}

VersionHolder &Entry::versions()
{
    return m_versions;
}

void Entry::onVersionInstalled()
{
    if (const auto version = m_versions.current()) {
        m_timeline.record(EventKind::RevisionInForce, { .subject = std::to_string(version->revision) });
        m_links.setServers(*version);
        m_links.publish();
    }
}

void Entry::onFollowerIdle()
{
    m_limiter.setEntryCount(m_links.entryCount());
    m_claims.retryPendingReleases();
}

} // namespace zinniadock
