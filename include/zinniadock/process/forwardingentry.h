#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "zinniadock/connection/httplistener.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/links/sidecarfeed.h"
#include "zinniadock/process/membership/entryknowledge.h"
#include "zinniadock/process/observing/loopdelay.h"
#include "zinniadock/process/servers/departedservers.h"
#include "zinniadock/process/store/storeview.h"

namespace zinniadock
{

/// The entry process behind the platform's own interface: follows the store and the sidecars, and forwards requests.
class ForwardingEntry
{
public:
    ForwardingEntry(asio::io_context &context, Settings settings);

    /// Starts to listen and to follow the store. Returns an error if a listener can't be started.
    std::error_code start();

    /// Returns the port that callers connect to.
    std::uint16_t port() const;

    /// Returns the port of the platform's readiness checks.
    std::uint16_t readyPort() const;

    /// Returns the port for other entries and for announcements of sidecars.
    std::uint16_t peerPort() const;

    /// Returns the port of the metrics page.
    std::uint16_t metricsPort() const;

    /// Becomes unready, disables keep-alive for callers, and revokes the registration of the entry.
    /// \param timeLimit  time until the process ends
    void drain(std::chrono::milliseconds timeLimit);

    /// Closes the caller connections that have no request in progress.
    void closeIdleConnections();

    /// Takes no new connections of callers.
    void stopAccepting();

    /// Returns whether no request is in progress.
    bool isIdle() const;

    /// Ends the requests in progress before the process ends. A request whose response has not begun gets one: status
    /// 503 if it has not run, and 502 otherwise. A response that has begun is broken off. Accepts no more connections.
    void endRequests();

    /// Sends what this entry knows about crashes to other entries. Waits a short time for them.
    Awaitable<void> handOver();

    /// Returns the version of the configuration in force; 0 if there is none. Called on the network thread.
    std::uint64_t configurationVersion() const;

    /// Applies changed settings. Only the forwarding settings take effect.
    void reload(Settings settings);

    void stop();

private:
    Awaitable<void> handleReadinessRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    Awaitable<void> handleMetricsRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    Awaitable<void> handlePeerRequest(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    void observePause();
    void recordLoopDelay(SteadyTime due);
    Awaitable<ConfigurationTrust> confirmConfiguration();
    Awaitable<void> runMaintenance();
    Awaitable<void> resolveAnnouncement(ServerAnnouncement announcement);

    std::shared_ptr<HttpListener> startListener(const Endpoint &address, HttpHandler handler,
                                                std::size_t maxConnections, std::error_code &error);
    StoreViewCallbacks makeViewCallbacks();
    void applyConfiguration(const std::string &text, const std::string &source);
    void applyStoredEvacuations(const std::string &source);
    void applyEvacuationChanges(const std::vector<EvacuationChange> &changes, const std::string &source);
    void startReturn(const std::string &dataCentre);
    void applyServerItem(const wire::StoreItem &item, const RemovalGrace &grace);
    void applyServerRecord(ServerRecord record, const RecordOrigin &origin);
    void holdBackServer(const ServerRecord &record);
    void reviewHeldBackServers();
    KnowledgeCallbacks makeKnowledgeCallbacks();
    EntryKnowledge knowledgeFor(std::uint64_t knownVersion) const;
    void applyKnowledge(const EntryKnowledge &knowledge, const std::string &source);
    void applyDeparture(Departure departure);
    Awaitable<void> askOtherEntries();
    void addServer(const ServerRecord &record);
    void startLoadFeed(const ServerRecord &record);
    bool acceptsAnnouncement(const ServerAnnouncement &announcement) const;
    void addAnnouncedServer(const ServerAnnouncement &announcement);
    void unlistServer(const std::string &id);
    void updateLoadFeeds();
    void applyDueRemovals();
    bool isStoreUnconfirmed() const;
    bool isReady() const;
    std::string metricsText() const;

    const std::shared_ptr<ForwardingServices> m_sharedServices; ///< shared with the requests in progress
    ForwardingServices &m_services;
    StoreView m_storeView;
    PauseDetector m_pauseDetector;
    LoopDelay m_loopDelay;
    SteadyTime m_nextDelayLog; ///< the next long delay of the event loop is not logged before
    DepartedServers m_departed;
    std::shared_ptr<KnowledgeExchange> m_knowledge;
    std::string m_configuration; ///< text of the configuration in force
    bool m_isLastVersionUnreadable = false; ///< the last version that was received could not be parsed
    bool m_hasAskedEntries = false; ///< whether other entries were asked for what the store may have lost
    std::shared_ptr<HttpListener> m_callerListener;
    std::shared_ptr<HttpListener> m_readinessListener;
    std::shared_ptr<HttpListener> m_peerListener;
    std::shared_ptr<HttpListener> m_metricsListener;
    std::map<std::string, std::shared_ptr<SidecarFeed>> m_feeds; ///< by server ID
    std::map<std::string, std::string> m_announcements; ///< encoded, by ID of a server that the store does not list yet
    std::map<std::string, SteadyTime> m_heldBackUntil; ///< servers listed although they were seen gone, by ID
    std::map<std::string, SteadyTime> m_removalTimes; ///< when to unlist a removed server unless it returns, by ID
    bool m_stopped = false;
};

} // namespace zinniadock
