#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "zinniadock/connection/httplistener.h"
#include "zinniadock/process/forwardingservices.h"
#include "zinniadock/process/sidecarfeed.h"
#include "zinniadock/process/storeview.h"

namespace zinniadock
{

/// An entry behind the platform's own interface: follows the store and the sidecars, and forwards requests.
class ForwardingEntry
{
public:
    ForwardingEntry(asio::io_context &context, Settings settings);

    /// Begins to listen and to follow the store.
    std::error_code start();

    /// Returns the port that callers connect to.
    std::uint16_t port() const;

    /// Returns the port on which the platform asks whether the entry is ready.
    std::uint16_t readyPort() const;

    /// Returns the port that other entries ask.
    std::uint16_t peerPort() const;

    /// Returns the port of the metrics page.
    std::uint16_t metricsPort() const;

    /// Is no longer ready, and asks callers to close their connections, as the process ends soon.
    void drain(std::chrono::milliseconds timeLimit);

    /// Closes the connections on which no request is in progress.
    void closeIdleConnections();

    /// Says whether no request is in progress.
    bool isIdle() const;

    /// Takes settings that have changed.
    void reload(Settings settings);

    void stop();

private:
    Awaitable<void> answerReadiness(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    Awaitable<void> answerMetrics(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    Awaitable<void> answerPeer(std::shared_ptr<HttpConnection> connection, HttpRequest request);
    Awaitable<void> runMaintenance();
    Awaitable<void> resolveAnnouncement(ServerAnnouncement announcement);

    std::shared_ptr<HttpListener> startListener(const Endpoint &address, HttpHandler handler, std::error_code &error);
    StoreViewCallbacks makeViewCallbacks();
    void applyConfiguration(const std::string &text, const std::string &source);
    void applyServerItem(const wire::StoreItem &item);
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

    ForwardingServices m_services;
    StoreView m_storeView;
    std::shared_ptr<HttpListener> m_callerListener;
    std::shared_ptr<HttpListener> m_readinessListener;
    std::shared_ptr<HttpListener> m_peerListener;
    std::shared_ptr<HttpListener> m_metricsListener;
    std::map<std::string, std::shared_ptr<SidecarFeed>> m_feeds; ///< by server
    std::map<std::string, std::string> m_announcements; ///< encoded announcements by server, until the store lists it
    std::map<std::string, SteadyTime> m_removalTimes; ///< servers that are taken as gone at a time, unless they return
    bool m_stopped = false;
};

} // namespace zinniadock
