#include "zinniadock/process/links/linkpool.h"

#include <algorithm>

#include "zinniadock/process/admission/pausewatch.h"
#include "zinniadock/process/links/stampedsend.h"
#include "zinniadock/process/observing/log.h"

namespace zinniadock
{

namespace
{

constexpr Log log{ "link" };

constexpr std::chrono::milliseconds maintenanceInterval{ 20 };
constexpr std::chrono::milliseconds minReconnectDelay{ 50 };
constexpr std::chrono::milliseconds maxReconnectDelay{ 2000 };

// Maximum delay while requests are in flight. It is shorter, since these requests wait for the link.
constexpr std::chrono::milliseconds maxReconnectDelayWithRequests{ 200 };

// A link with requests in flight gets a ping after silenceBeforePing without a frame. It is closed if no pong arrives
// within pongTimeout. If other frames arrive, pongTimeoutWhenReceiving applies, since the pong may be queued behind
// them. A new link is closed if no Hello arrives within helloTimeout.
constexpr std::chrono::milliseconds silenceBeforePing{ 400 };
constexpr std::chrono::milliseconds pongTimeout{ 600 };
constexpr std::chrono::milliseconds pongTimeoutWhenReceiving{ 1000 };
constexpr std::chrono::milliseconds helloTimeout{ 1000 };

// A server gets its full share of requests this long after the link to a new incarnation of its sidecar has opened.
constexpr std::chrono::milliseconds slowStartDuration{ 5000 };

} // namespace

LinkPool::LinkPool(std::string instance, std::string dataCentre, VersionHolder &version, Timeline &timeline,
                   std::function<void()> onAdopted)
    : m_instance(std::move(instance))
    , m_dataCentre(std::move(dataCentre))
    , m_incarnation(randomNumber())
    , m_version(version)
    , m_timeline(timeline)
    , m_onAdopted(std::move(onAdopted))
    , m_transport(std::make_unique<LinkTransport>(LinkHandlers{ .opened =
                                                                    [this](LinkId link) {
                                                                        onLinkOpened(link);
                                                                    },
                                                                .closed =
                                                                    [this](LinkId link) {
                                                                        onLinkClosed(link);
                                                                    },
                                                                .received =
                                                                    [this](LinkId link, const std::string &frame) {
                                                                        onFrameReceived(link, frame);
                                                                    } }))
    , m_maintenanceThread([this] {
        runMaintenance();
    })
{
}

LinkPool::~LinkPool()
{
    stop();
}

void LinkPool::setServers(const Version &version)
{
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[name, server] : m_servers) {
            const auto position = version.configuration.servers.find(name);
            server->removed
                = position == version.configuration.servers.end() || position->second.address != server->address;
        }
        for (const auto &[name, object] : version.configuration.servers) {
            auto &server = m_servers[name];
            if (!server || server->removed) {
                server = std::make_shared<ServerLink>();
                server->server = name;
                server->address = object.address;
            }
            server->dataCentre = object.dataCentre;
        }
    }
    m_wake.notify_all();
}

void LinkPool::setPeers(const std::vector<Endpoint> &peers)
{
    const std::lock_guard lock(m_mutex);
    for (const Endpoint &address : peers) {
        auto link = std::make_shared<ServerLink>();
        link->server = "at " + address.text();
        link->address = address;
        link->knownByAddressOnly = true;
        m_servers.try_emplace(link->server, link);
    }
    m_wake.notify_all();
}

void LinkPool::publish()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[link, server] : m_serversByLink) {
        if (server->state == State::Open) {
            sendConfiguration(*server);
        }
    }
}

std::vector<ServerView> LinkPool::serverViews(const std::string &poolName, const Configuration &configuration)
{
    const Pool &pool = configuration.pools.at(poolName);
    ejectUnhealthyServers(poolName, pool);
    const auto now = Clock::now();
    const std::map<std::string, double> shares = m_health.reducedTrafficShares(now);
    std::vector<ServerView> views;
    views.reserve(pool.servers.size());
    const std::lock_guard lock(m_mutex);
    for (const std::string &name : pool.servers) {
        ServerView view{ .name = name, .isUsable = false };
        const auto object = configuration.servers.find(name);
        view.isSameDataCentre = object != configuration.servers.end() && object->second.dataCentre == m_dataCentre;
        const auto position = m_servers.find(name);
        if (position != m_servers.end()) {
            const ServerLink &server = *position->second;
            const double total = server.load.totalBlocks;
            const auto warmUp = std::chrono::duration<double>(now - server.openedAt) / slowStartDuration;
            const auto reduced = shares.find(name);
            const double share = reduced == shares.end() ? 1 : reduced->second;
            view.isUsable
                = server.state == State::Open && server.load.backendAlive && !server.load.draining && share > 0;
            view.running = server.load.running;
            view.waiting = server.load.waiting;
            view.memoryUse = total > 0 ? server.load.usedBlocks / total : 0;
            view.expectedWait = server.load.expectedWait;
            view.sentSinceReport = server.sentSinceReport;
            view.trafficShare = std::min(share, warmUp);
        }
        views.push_back(std::move(view));
    }
    return views;
}

void LinkPool::ejectUnhealthyServers(const std::string &poolName, const Pool &pool)
{
    for (const Ejection &ejection : m_health.ejectOutliers(poolName, pool.servers, Clock::now())) {
        const std::string detail = "for " + formatMilliseconds(ejection.duration) + ", since " + ejection.reason;
        log.warning("ejected server " + ejection.server + " from routing " + detail);
        m_timeline.record(EventKind::ServerEjected, { .subject = ejection.server, .detail = detail });
    }
}

bool LinkPool::offer(const std::string &server, const Offer &offer, const std::shared_ptr<LinkExchange> &exchange)
{
    const std::lock_guard lock(m_mutex);
    ServerLink *link = findByName(server);
    if (link == nullptr || link->state != State::Open) {
        return false;
    }
    exchange->setOfferedTo(link->incarnation);
    link->exchanges[offer.request] = exchange;
    if (link->exchanges.size() == 1) {
        // No frame is expected on a link without requests in flight, so the silence is measured from the first request.
        link->lastReceivedAt = Clock::now();
    }
    ++link->sentSinceReport;
    send(*link, offer);
    return true;
}

void LinkPool::resume(const std::string &server, const LinkExchange &exchange)
{
    const std::lock_guard lock(m_mutex);
    ServerLink *link = findByName(server);
    if (link != nullptr && link->state == State::Open) {
        ++m_counters.resumes;
        send(*link, exchange.resumeMessage());
    }
}

void LinkPool::probe(const std::string &server)
{
    const std::lock_guard lock(m_mutex);
    ServerLink *link = findByName(server);
    if (link != nullptr && link->state == State::Open) {
        ping(*link);
    }
}

void LinkPool::ping(ServerLink &server)
{
    if (!server.pingSentAt) {
        server.pingSentAt = Clock::now();
        send(server, Ping{ .number = server.link });
    }
}

void LinkPool::acknowledge(const std::string &server, const LinkExchange &exchange, SequenceNumber next)
{
    const std::lock_guard lock(m_mutex);
    ServerLink *link = findByName(server);
    if (link != nullptr && link->state == State::Open) {
        send(*link, Ack{ .request = exchange.key().request, .generation = exchange.key().generation, .next = next });
    }
}

void LinkPool::finish(const std::string &server, const LinkExchange &exchange, SequenceNumber next)
{
    const std::lock_guard lock(m_mutex);
    if (const ServerLink *link = removeExchange(server, exchange)) {
        send(*link,
             Ack{ .request = exchange.key().request,
                  .generation = exchange.key().generation,
                  .next = next,
                  .isFinal = true });
    }
}

void LinkPool::cancel(const std::string &server, const LinkExchange &exchange)
{
    const std::lock_guard lock(m_mutex);
    if (const ServerLink *link = removeExchange(server, exchange)) {
        send(*link, Cancel{ .request = exchange.key().request, .generation = exchange.key().generation });
    }
}

const LinkPool::ServerLink *LinkPool::removeExchange(const std::string &server, const LinkExchange &exchange)
{
    ServerLink *link = findByName(server);
    if (link == nullptr) {
        return nullptr;
    }
    link->exchanges.erase(exchange.key().request);
    return link->state == State::Open ? link : nullptr;
}

std::uint32_t LinkPool::entryCount() const
{
    const std::lock_guard lock(m_mutex);
    std::uint32_t maxEntries = 1;
    for (const auto &[name, server] : m_servers) {
        if (server->state == State::Open) {
            maxEntries = std::max(maxEntries, server->load.linkedEntries);
        }
    }
    return maxEntries;
}

LinkPoolStatus LinkPool::status() const
{
    const std::lock_guard lock(m_mutex);
    LinkPoolStatus status = m_counters;
    for (const auto &[name, server] : m_servers) {
        (server->state == State::Open ? status.open : status.down) += 1;
        status.exchanges += server->exchanges.size();
    }
    return status;
}

void LinkPool::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_stopping = true;
    }
    m_wake.notify_all();
    m_maintenanceThread.join();
    m_transport->stop();
}

void LinkPool::onLinkOpened(LinkId link)
{
    const std::lock_guard lock(m_mutex);
    ServerLink *server = findByLink(link);
    if (server == nullptr) {
        m_transport->drop(link);
        return;
    }
    server->state = State::AwaitingHello;
    server->lastReceivedAt = Clock::now();
    send(*server,
         Hello{ .instance = m_instance,
                .dataCentre = m_dataCentre,
                .incarnation = m_incarnation,
                .revision = m_version.revision() });
}

void LinkPool::onLinkClosed(LinkId link)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_serversByLink.find(link);
        if (position == m_serversByLink.end()) {
            return;
        }
        ServerLink &server = *position->second;
        if (server.state == State::Open) {
            log.warning("lost the link to server " + server.server + " with " + std::to_string(server.exchanges.size())
                        + " requests outstanding");
            m_timeline.record(EventKind::LinkDown,
                              { .subject = server.server,
                                .detail = std::to_string(server.exchanges.size()) + " requests outstanding" });
            server.reconnectDelay = std::chrono::milliseconds(0);
        }
        server.state = State::Idle;
        server.nextConnectAt = Clock::now() + server.reconnectDelay;
        const auto maxDelay = server.exchanges.empty() ? maxReconnectDelay : maxReconnectDelayWithRequests;
        server.reconnectDelay = std::clamp(server.reconnectDelay * 2, minReconnectDelay, maxDelay);
        for (const auto &[request, exchange] : server.exchanges) {
            exchange->push(LinkBroken());
        }
        m_serversByLink.erase(position);
    }
    m_wake.notify_all();
}

void LinkPool::onFrameReceived(LinkId link, const std::string &frame)
{
    std::optional<std::vector<LinkMessage>> messages = decode(frame);
    if (!messages) {
        log.warning("closed a link: received a malformed frame of " + std::to_string(frame.size()) + " bytes");
        m_transport->drop(link);
        return;
    }
    for (LinkMessage &message : *messages) {
        if (const auto *push = std::get_if<ConfigurationPush>(&message)) {
            adoptConfiguration(link, *push);
        }
    }
    const std::lock_guard lock(m_mutex);
    ServerLink *server = findByLink(link);
    if (server == nullptr) {
        return;
    }
    server->lastReceivedAt = Clock::now();
    for (LinkMessage &message : *messages) {
        std::visit(
            [this, server](auto &content) {
                handle(*server, content);
            },
            message);
    }
}

template <typename Message>
void LinkPool::handle(ServerLink &server, Message &message)
{
    if constexpr (std::is_same_v<Message, Hello>) {
        handleHello(server, message);
    } else if constexpr (std::is_same_v<Message, Pong>) {
        server.pingSentAt.reset();
    } else if constexpr (std::is_same_v<Message, ClockStamp>) {
        m_timeline.clock().observe(HybridTime{ message.time });
    } else if constexpr (std::is_same_v<Message, LoadReport>) {
        if (message.draining && !server.load.draining) {
            m_timeline.record(EventKind::PeerDraining, { .subject = server.server });
        }
        server.load = message;
        server.sentSinceReport = 0;
        server.peerRevision = std::max(server.peerRevision, message.revision);
    } else if constexpr (std::is_same_v<Message, ConfigurationRequest>) {
        server.peerRevision = message.revision;
        sendConfiguration(server);
    } else if constexpr (std::is_same_v<Message, CrashNotice>) {
        recordCrash(message.fingerprint, message.crashId);
    } else if constexpr (std::is_constructible_v<ExchangeEvent, Message>) {
        deliver(server, message);
    }
}

template <typename Message>
void LinkPool::deliver(ServerLink &server, Message &message)
{
    const auto position = server.exchanges.find(message.request);
    if (position != server.exchanges.end() && position->second->key().generation == message.generation) {
        position->second->push(std::move(message));
    }
}

// The sidecars name a crash, not its time or the duration of the run. All runs of a request count as its attempts.
void LinkPool::recordCrash(std::uint64_t fingerprint, std::uint64_t crash)
{
    const auto now = Clock::now();
    CrashReport report{ .id = stableHash(toText(crash) + toText(fingerprint)),
                        .server = toText(crash),
                        .at = now,
                        .runs = { { .requestId = toText(fingerprint), .traits = { fingerprint } } } };
    const std::lock_guard lock(m_suspectMutex);
    m_suspects.recordCrash(report, now);
}

void LinkPool::recordResponse(std::uint64_t fingerprint)
{
    const std::lock_guard lock(m_suspectMutex);
    m_suspects.recordResponse({ fingerprint }, Clock::now());
}

std::size_t LinkPool::crashCount(std::uint64_t fingerprint) const
{
    const std::lock_guard lock(m_suspectMutex);
    return m_suspects.crashCount({ fingerprint });
}

std::optional<Quarantine> LinkPool::findQuarantine(std::uint64_t fingerprint, const std::string &requestId)
{
    const std::lock_guard lock(m_suspectMutex);
    return m_suspects.findQuarantine({ fingerprint }, requestId, Clock::now());
}

void LinkPool::handleHello(ServerLink &server, const Hello &hello)
{
    if (server.state != State::AwaitingHello) {
        return;
    }
    if (!server.knownByAddressOnly && hello.instance != server.server) {
        log.error("the sidecar at " + server.address.text() + " identifies itself as " + hello.instance + ", expected "
                  + server.server);
        m_transport->drop(server.link);
        return;
    }
    server.state = State::Open;
    server.pingSentAt.reset();
    server.reconnectDelay = std::chrono::milliseconds(0);
    if (server.incarnation != hello.incarnation) {
        server.openedAt = Clock::now();
    }
    server.incarnation = hello.incarnation;
    server.peerRevision = hello.revision;
    server.load.backendAlive = true;
    server.load.draining = false;
    log.info("linked to server " + server.server);
    m_timeline.record(EventKind::LinkUp, { .subject = server.server });
    sendConfiguration(server);
    for (const auto &[request, exchange] : server.exchanges) {
        ++m_counters.resumes;
        m_timeline.record(EventKind::Resumed,
                          { .request = request,
                            .generation = exchange->key().generation,
                            .subject = server.server,
                            .detail = "from token " + std::to_string(exchange->resumeMessage().next) });
        send(server, exchange->resumeMessage());
    }
}

void LinkPool::adoptConfiguration(LinkId link, const ConfigurationPush &push)
{
    if (push.revision <= m_version.revision()) {
        return;
    }
    const auto version = makeVersion(push.revision, push.digest, push.text);
    if (!version) {
        log.error("configuration revision " + std::to_string(push.revision)
                  + " from a sidecar is not installed: it does not match its digest or violates a rule");
        m_transport->drop(link);
        return;
    }
    if (m_version.install(version)) {
        log.info("configuration revision " + std::to_string(push.revision) + " is in force, received from a sidecar");
        m_onAdopted();
    }
}

void LinkPool::runMaintenance()
{
    std::unique_lock lock(m_mutex);
    PauseDetector pauseDetector;
    while (!m_stopping) {
        pauseDetector.tick(m_timeline);
        const auto now = Clock::now();
        std::vector<LinkId> linksToDrop;
        for (auto position = m_servers.begin(); position != m_servers.end();) {
            ServerLink &server = *position->second;
            if (server.removed && server.exchanges.empty()) {
                if (server.state != State::Idle) {
                    linksToDrop.push_back(server.link);
                }
                position = m_servers.erase(position);
                continue;
            }
            maintainLink(server, now, linksToDrop);
            ++position;
        }
        for (const LinkId link : linksToDrop) {
            m_transport->drop(link);
        }
        m_wake.wait_for(lock, maintenanceInterval);
    }
}

void LinkPool::maintainLink(ServerLink &server, Clock::time_point now, std::vector<LinkId> &linksToDrop)
{
    const auto silence = now - server.lastReceivedAt;
    switch (server.state) {
    case State::Idle:
        if (now >= server.nextConnectAt) {
            server.state = State::Connecting;
            server.link = m_transport->connect(server.address.address, server.address.port);
            m_serversByLink[server.link] = m_servers.at(server.server);
            ++m_counters.reconnects;
        }
        break;
    case State::Connecting:
        break;
    case State::AwaitingHello:
        if (silence > helloTimeout) {
            linksToDrop.push_back(server.link);
        }
        break;
    case State::Open:
        if (!server.exchanges.empty() && silence > silenceBeforePing) {
            ping(server);
        }
        if (server.pingSentAt) {
            const auto timeout = silence > pongTimeout ? pongTimeout : pongTimeoutWhenReceiving;
            if (now - *server.pingSentAt > timeout) {
                log.warning("closed the link to server " + server.server + ": no response to a ping within "
                            + formatMilliseconds(timeout));
                m_timeline.record(EventKind::LinkSilent, { .subject = server.server });
                ++m_counters.pingTimeouts;
                linksToDrop.push_back(server.link);
            }
        }
        break;
    }
}

LinkPool::ServerLink *LinkPool::findByLink(LinkId link)
{
    const auto position = m_serversByLink.find(link);
    return position == m_serversByLink.end() ? nullptr : position->second.get();
}

LinkPool::ServerLink *LinkPool::findByName(const std::string &server)
{
    const auto position = m_servers.find(server);
    return position == m_servers.end() ? nullptr : position->second.get();
}

void LinkPool::send(const ServerLink &server, const LinkMessage &message)
{
    sendWithClockStamp(*m_transport, server.link, message, m_timeline.clock());
}

void LinkPool::sendConfiguration(ServerLink &server)
{
    const auto version = m_version.current();
    if (version && version->revision > server.peerRevision) {
        const bool deltaApplies
            = version->delta.baseRevision != 0 && version->delta.baseRevision == server.peerRevision;
        server.peerRevision = version->revision;
        if (deltaApplies) {
            ++m_counters.configurationDeltas;
            send(server,
                 ConfigurationDelta{ .revision = version->revision,
                                     .base = version->delta.baseRevision,
                                     .digest = version->digest,
                                     .changes = version->delta.changes });
            return;
        }
        ++m_counters.fullConfigurations;
        send(server,
             ConfigurationPush{ .revision = version->revision, .digest = version->digest, .text = version->text });
    }
}

} // namespace zinniadock
