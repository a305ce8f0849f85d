#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/connection/linktransport.h"
#include "zinniadock/process/crashes/suspecttable.h"
#include "zinniadock/process/observing/timeline.h"
#include "zinniadock/process/placing/routing.h"
#include "zinniadock/process/servers/serverhealth.h"
#include "zinniadock/request/exchange.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// Counters of a link pool for the status page.
struct LinkPoolStatus
{
    std::size_t open = 0; ///< links that are open now
    std::size_t down = 0; ///< links that are not open now
    std::size_t exchanges = 0; ///< requests in flight
    std::uint64_t reconnects = 0; ///< connection attempts, including the first of each link
    std::uint64_t pingTimeouts = 0; ///< links closed because a ping got no response in time
    std::uint64_t resumes = 0; ///< Resume messages sent
    std::uint64_t configurationDeltas = 0; ///< configurations sent as a delta
    std::uint64_t fullConfigurations = 0; ///< configurations sent as full text
};

/// Maintains the links of an entry to the sidecars: reconnects lost links, and resumes the requests in flight on a new
/// link. Thread-safe.
class LinkPool
{
public:
    /// \param version  configuration that is sent to sidecars with an older one, and replaced by a newer one from a
    /// sidecar
    /// \param onAdopted  called after a newer version from a sidecar was installed
    LinkPool(std::string instance, std::string dataCentre, VersionHolder &version, Timeline &timeline,
             std::function<void()> onAdopted);
    ~LinkPool();

    LinkPool(const LinkPool &) = delete;
    LinkPool &operator=(const LinkPool &) = delete;

    /// Applies the backend servers of a version: connects to new servers, and closes the links to removed servers as
    /// soon as no request is in flight on them.
    void setServers(const Version &version);

    /// Connects to sidecars of which only the address is known, to get a first configuration from them. setServers()
    /// removes these links.
    void setPeers(const std::vector<Endpoint> &peers);

    /// Sends the current configuration to every linked sidecar that has an older one.
    void publish();

    /// Returns the state of each server of a pool, in the order of the pool. Ejects servers that fail or have become
    /// slow.
    std::vector<ServerView> serverViews(const std::string &poolName, const Configuration &configuration);

    /// Sends a request; returns false and sends nothing if the link to the server is not open.
    bool offer(const std::string &server, const Offer &offer, const std::shared_ptr<LinkExchange> &exchange);

    /// Requests retransmission of the tokens of a request after a gap in their sequence.
    void resume(const std::string &server, const LinkExchange &exchange);

    /// Sends a ping on behalf of a request that has waited long. The link is closed if no pong arrives in time, even if
    /// other messages arrive, since the link may have failed in the direction to the server only.
    void probe(const std::string &server);

    /// Acknowledges the tokens before \p next, so that the sidecar releases them.
    void acknowledge(const std::string &server, const LinkExchange &exchange, SequenceNumber next);

    /// Removes an exchange that has ended, and lets the sidecar release its response.
    void finish(const std::string &server, const LinkExchange &exchange, SequenceNumber next);

    /// Removes an exchange and cancels its request at the sidecar.
    void cancel(const std::string &server, const LinkExchange &exchange);

    /// Returns the number of entries that share the limits of the fleet: the maximum that a sidecar reported, at
    /// least 1.
    std::uint32_t entryCount() const;

    LinkPoolStatus status() const;

    /// Returns the health of each server as observed by requests.
    ServerHealth &health()
    {
        return m_health;
    }

    /// Records that a request was running when an engine crashed.
    /// \param fingerprint  identifies the request; the same for every resend
    /// \param crash  identifies the crash, so that a crash that is reported twice counts once
    void recordCrash(std::uint64_t fingerprint, std::uint64_t crash);

    /// Records that an engine responded to a request.
    void recordResponse(std::uint64_t fingerprint);

    /// Returns the number of crashes, one after another, during which a request was running.
    std::size_t crashCount(std::uint64_t fingerprint) const;

    /// Returns the quarantine of a request; nothing if it may be sent to an engine.
    std::optional<Quarantine> findQuarantine(std::uint64_t fingerprint, const std::string &requestId);

    /// Closes all links and joins the threads.
    void stop();

private:
    using Clock = std::chrono::steady_clock;

    enum class State {
        Idle,
        Connecting,
        AwaitingHello, ///< connected, waiting for the sidecar's Hello
        Open,
    };

    struct ServerLink
    {
        std::string server;
        Endpoint address;
        std::string dataCentre;
        State state = State::Idle;
        LinkId link = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t peerRevision = 0;
        LoadReport load;
        std::uint32_t sentSinceReport = 0;
        std::chrono::milliseconds reconnectDelay{ 0 };
        Clock::time_point nextConnectAt;
        Clock::time_point lastReceivedAt;
        Clock::time_point openedAt;
        std::optional<Clock::time_point> pingSentAt; ///< set while a ping waits for its response
        bool removed = false; ///< no longer in the configuration
        bool knownByAddressOnly = false; ///< from setPeers(); any instance name is accepted
        std::unordered_map<RequestId, std::shared_ptr<LinkExchange>> exchanges;
    };

    void onLinkOpened(LinkId link);
    void onLinkClosed(LinkId link);
    void onFrameReceived(LinkId link, const std::string &frame);
    void handleHello(ServerLink &server, const Hello &hello);
    void ejectUnhealthyServers(const std::string &poolName, const Pool &pool);
    void adoptConfiguration(LinkId link, const ConfigurationPush &push);
    void ping(ServerLink &server);
    void runMaintenance();
    void maintainLink(ServerLink &server, Clock::time_point now, std::vector<LinkId> &linksToDrop);
    const ServerLink *removeExchange(const std::string &server, const LinkExchange &exchange);
    ServerLink *findByLink(LinkId link);
    ServerLink *findByName(const std::string &server);
    void send(const ServerLink &server, const LinkMessage &message);
    void sendConfiguration(ServerLink &server);
    template <typename Message>
    void handle(ServerLink &server, Message &message);
    template <typename Message>
    void deliver(ServerLink &server, Message &message);

    const std::string m_instance;
    const std::string m_dataCentre;
    const std::uint64_t m_incarnation;
    VersionHolder &m_version;
    Timeline &m_timeline;
    const std::function<void()> m_onAdopted;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::map<std::string, std::shared_ptr<ServerLink>> m_servers;
    std::unordered_map<LinkId, std::shared_ptr<ServerLink>> m_serversByLink;
    mutable std::mutex m_suspectMutex;
    SuspectTable m_suspects{
        { .minCrashes = 2, .firstTrialDelay = std::chrono::hours(1) }
    }; ///< requests that were running when an engine crashed
    ServerHealth m_health;
    LinkPoolStatus m_counters;
    std::unique_ptr<LinkTransport> m_transport;
    std::thread m_maintenanceThread;
};

} // namespace zinniadock
