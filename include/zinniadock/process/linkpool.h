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
#include "zinniadock/process/routing.h"
#include "zinniadock/process/serverhealth.h"
#include "zinniadock/process/suspecttable.h"
#include "zinniadock/process/timeline.h"
#include "zinniadock/request/exchange.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// Counts of a link pool, for the status page.
struct LinkPoolStatus
{
    std::size_t open = 0;
    std::size_t down = 0;
    std::size_t exchanges = 0;
    std::uint64_t reconnects = 0;
    std::uint64_t pingTimeouts = 0; ///< links dropped because nothing arrived on them
    std::uint64_t resumes = 0;
    std::uint64_t configurationDeltas = 0; ///< configuration sent as a delta
    std::uint64_t fullConfigurations = 0; ///< configuration sent whole
};

/// The links of an entry to the sidecars: keeps them open, and carries requests over breaks.
class LinkPool
{
public:
    /// \param version  configuration offered to sidecars that have an older one, and taken from those with a newer one
    /// \param adopted  called after a newer version was taken from a sidecar
    LinkPool(std::string instance, std::string dataCentre, VersionHolder &version, Timeline &timeline,
             std::function<void()> adopted);
    ~LinkPool();

    LinkPool(const LinkPool &) = delete;
    LinkPool &operator=(const LinkPool &) = delete;

    /// Follows the backend servers of a version: links to new ones, leaves the removed ones once they are quiet.
    void setServers(const Version &version);

    /// Links to sidecars by their addresses alone, until a version names the servers.
    void setPeers(const std::vector<Endpoint> &peers);

    /// Sends newer configuration to every linked sidecar.
    void publish();

    /// Returns what is known of the servers of a pool, in their order; takes those out that err or have become slow.
    std::vector<ServerView> serverViews(const std::string &poolName, const Configuration &configuration);

    /// Sends a request; false, with nothing sent, if the server is not linked.
    bool offer(const std::string &server, const Offer &offer, const std::shared_ptr<Exchange> &exchange);

    /// Asks for the tokens of a request again, after a gap.
    void resume(const std::string &server, const Exchange &exchange);

    /// Asks a server for a sign of life, for a request that waits long; the link is dropped if none comes, though it
    /// may bring other things, since it may have fallen silent the other way.
    void probe(const std::string &server);

    /// Releases delivered tokens at the sidecar.
    void acknowledge(const std::string &server, const Exchange &exchange, SequenceNumber next);

    /// Forgets an exchange that has ended, and releases its answer at the sidecar.
    void finish(const std::string &server, const Exchange &exchange, SequenceNumber next);

    /// Forgets an exchange and ends its request at the sidecar.
    void cancel(const std::string &server, const Exchange &exchange);

    /// Returns the number of entries that share the fleet's limits, as the sidecars count them; at least 1.
    std::uint32_t entryCount() const;

    LinkPoolStatus status() const;

    /// Returns what requests saw of each server.
    ServerHealth &health()
    {
        return m_health;
    }

    /// Returns the requests that were running when engines crashed.
    SuspectTable &suspects()
    {
        return m_suspects;
    }

    /// Closes every link.
    void stop();

private:
    using Clock = std::chrono::steady_clock;

    enum class State {
        Idle,
        Connecting,
        Greeting, ///< connected, waiting for the sidecar's Hello
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
        std::uint64_t theirRevision = 0;
        LoadReport load;
        std::uint32_t sentSinceReport = 0;
        std::chrono::milliseconds pause{ 0 };
        Clock::time_point connectDue;
        Clock::time_point lastHeard;
        Clock::time_point openedAt;
        std::optional<Clock::time_point> pingedAt; ///< of the ping that has no answer yet
        bool removed = false;
        bool peer = false; ///< known by its address only
        std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges;
    };

    void opened(LinkId link);
    void closed(LinkId link);
    void received(LinkId link, const std::string &frame);
    void greeted(ServerLink &server, const Hello &hello);
    void reviewHealth(const std::string &poolName, const Pool &pool);
    void adopt(LinkId link, const ConfigurationPush &push);
    void ping(ServerLink &server);
    void maintain();
    void maintainLink(ServerLink &server, Clock::time_point now, std::vector<LinkId> &silent);
    const ServerLink *forget(const std::string &server, const Exchange &exchange);
    ServerLink *findByLink(LinkId link);
    ServerLink *findByName(const std::string &server);
    void send(const ServerLink &server, const LinkMessage &message);
    void pushVersion(ServerLink &server);
    template <typename Message>
    void handle(ServerLink &server, Message &message);
    template <typename Message>
    void deliver(ServerLink &server, Message &message);

    const std::string m_instance;
    const std::string m_dataCentre;
    const std::uint64_t m_incarnation;
    VersionHolder &m_version;
    Timeline &m_timeline;
    const std::function<void()> m_adopted;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::map<std::string, std::shared_ptr<ServerLink>> m_servers;
    std::unordered_map<LinkId, std::shared_ptr<ServerLink>> m_byLink;
    SuspectTable m_suspects;
    ServerHealth m_health;
    LinkPoolStatus m_counters;
    std::unique_ptr<LinkTransport> m_transport;
    std::thread m_maintainer;
};

} // namespace zinniadock
