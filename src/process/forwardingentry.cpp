#include "zinniadock/process/forwardingentry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/crashes/crashwatch.h"
#include "zinniadock/process/limits/memorychoice.h"
#include "zinniadock/process/membership/entryexchange.h"
#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/request/engineprobe.h"
#include "zinniadock/request/forwardscope.h"
#include "zinniadock/request/generationforward.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds maintenanceInterval{ 100 };

/// Minimum time for which an unlisted server is kept in the directory, since it may still run requests of this entry.
constexpr std::chrono::milliseconds removedServerRetention{ 20000 };

constexpr std::chrono::milliseconds healthTimeout{ 300 };

/// After the store went back, a server that was seen gone is listed only if its record is still there after this time.
/// The record of a server that does not renew it expires before.
constexpr std::chrono::milliseconds heldBackTime{ 6000 };

/// A starting entry whose seeds do not respond waits this long for the list of entries, and asks some of them.
constexpr std::chrono::milliseconds maxWaitForEntryList{ 1000 };
constexpr std::size_t entriesAskedAtStart = 3;

/// Other entries that a stopping entry gives its evidence to. One of them may be stopping as well.
constexpr std::size_t entriesToldAtStop = 3;

/// Maximum number of departures that an entry sends to another.
constexpr std::size_t maxSentDepartures = 2000;

/// A delay of the event loop that is logged, at most once per delayLogInterval.
constexpr std::chrono::milliseconds loggedLoopDelay{ 100 };
constexpr std::chrono::milliseconds delayLogInterval{ 1000 };

/// Interval between two cleanups of idle connections and removed servers.
constexpr std::chrono::milliseconds cleanupInterval{ 5000 };

std::string serverIdOfKey(const std::string &key)
{
    return key.substr(wire::serverPrefix().size());
}

} // namespace

ForwardingEntry::ForwardingEntry(asio::io_context &context, Settings settings)
    : m_sharedServices(std::make_shared<ForwardingServices>(context, std::move(settings)))
    , m_services(*m_sharedServices)
    , m_storeView(m_services, makeViewCallbacks())
{
}

StoreViewCallbacks ForwardingEntry::makeViewCallbacks()
{
    return { .onConfigurationItem =
                 [this](const wire::StoreItem &item, const std::string &source) {
                     if (item.key == wire::configurationKey() && item.value) {
                         applyConfiguration(*item.value, source);
                     } else if (item.key.starts_with(wire::evacuationPrefix())) {
                         applyStoredEvacuations(source);
                     }
                 },
             .onServerItems =
                 [this](const std::vector<wire::StoreItem> &items, const RemovalGrace &grace) {
                     for (const wire::StoreItem &item : items) {
                         applyServerItem(item, grace);
                     }
                 },
             .onWentBack =
                 [this] {
                     m_knowledge->start();
                 },
             .onAnnouncement =
                 [this](const std::string &bytes) {
                     const auto announcement = decodeServerAnnouncement(bytes);
                     if (announcement && acceptsAnnouncement(*announcement)) {
                         addAnnouncedServer(*announcement);
                     }
                 },
             .announcements =
                 [this] {
                     return m_announcements;
                 } };
}

std::error_code ForwardingEntry::start()
{
    const Settings &settings = m_services.settings;
    const ConnectionLimits connections = chooseConnectionLimits(settings, descriptorLimit());
    std::error_code error;
    m_callerListener = std::make_shared<HttpListener>(
        m_services.context,
        [services = m_sharedServices](std::shared_ptr<HttpConnection> connection, HttpRequest request) {
            return forwardRequest(services, std::move(connection), std::move(request));
        },
        [services = m_sharedServices] {
            return services->routes ? services->routes->limits : CallerLimits();
        },
        m_services.callerBudget, connections.callers);
    error = m_callerListener->start(settings.entry.listen);
    const auto handler = [this](auto method) {
        return [this, method](std::shared_ptr<HttpConnection> connection, HttpRequest request) {
            return (this->*method)(std::move(connection), std::move(request));
        };
    };
    if (!error) {
        m_readinessListener = startListener(
            settings.forwarding.ready, handler(&ForwardingEntry::handleReadinessRequest), connections.pages, error);
    }
    if (!error) {
        m_peerListener = startListener(settings.forwarding.peer, handler(&ForwardingEntry::handlePeerRequest),
                                       connections.peers, error);
        m_services.settings.forwarding.peer.port = m_peerListener->port();
    }
    if (!error) {
        m_metricsListener = startListener(settings.daemon.admin, handler(&ForwardingEntry::handleMetricsRequest),
                                          connections.pages, error);
    }
    if (error) {
        return error;
    }
    m_services.entryExchange = std::make_shared<EntryExchange>(m_services);
    m_services.crashWatch = std::make_shared<CrashWatch>(m_services, [this](const CrashReport &report) {
        m_services.suspects.recordCrash(report, std::chrono::steady_clock::now());
        m_services.entryExchange->sendNotices();
    });
    m_knowledge = std::make_shared<KnowledgeExchange>(m_services, makeKnowledgeCallbacks());
    m_services.confirmConfiguration = [this] {
        return confirmConfiguration();
    };
    m_services.configurationAge = [this] {
        return m_storeView.age(StorePart::Configuration);
    };
    m_storeView.start();
    observePause();
    const auto spawn = [this](Awaitable<void> (ForwardingEntry::*task)()) {
        asio::co_spawn(
            m_services.context,
            [this, task]() {
                return (this->*task)();
            },
            asio::detached);
    };
    spawn(&ForwardingEntry::runMaintenance);
    spawn(&ForwardingEntry::askOtherEntries);
    return error;
}

std::shared_ptr<HttpListener> ForwardingEntry::startListener(const Endpoint &address, HttpHandler handler,
                                                             std::size_t maxConnections, std::error_code &error)
{
    auto listener = std::make_shared<HttpListener>(m_services.context, std::move(handler), internalListenerLimits,
                                                   m_services.callerBudget, maxConnections);
    error = listener->start(address);
    return listener;
}

void ForwardingEntry::applyConfiguration(const std::string &text, const std::string &source)
{
    const auto parsed = wire::parseRoutes(text);
    m_isLastVersionUnreadable = std::holds_alternative<std::string>(parsed);
    if (const auto *problem = std::get_if<std::string>(&parsed)) {
        logEvent("configuration", "unreadable", { { "source", source }, { "reason", *problem } });
        return;
    }
    const RouteTable &table = std::get<RouteTable>(parsed);
    const std::uint64_t current = configurationVersion();
    if (m_services.routes && table.version <= current) {
        return;
    }
    m_services.routes = std::make_shared<RouteTable>(table);
    m_configuration = text;
    for (const auto &[id, server] : m_services.directory.servers()) {
        startLoadFeed(server.record);
    }
    logEvent("configuration", "in force",
             { { "version", table.version },
               { "previous", current },
               { "source", source },
               { "view_age_ms", m_storeView.age(StorePart::Configuration).value_or(std::chrono::milliseconds(-1)) },
               { "routes", table.routes.size() },
               { "keys", table.keys.size() } });
}

// Takes the whole state of the mirror, so that a key which is missing after a full read ends its evacuation. The value
// of a key is not read.
void ForwardingEntry::applyStoredEvacuations(const std::string &source)
{
    const StoreMirror &mirror = m_storeView.mirror(StorePart::Configuration);
    const std::string prefix = wire::evacuationPrefix();
    const StorePosition position = mirror.position();
    std::vector<Evacuation> listed;
    for (const wire::StoreItem &item : mirror.items()) {
        if (item.key.starts_with(prefix) && item.key.size() > prefix.size()) {
            listed.push_back({ .dataCentre = item.key.substr(prefix.size()),
                               .position = { .era = position.era, .revision = item.revision } });
        }
    }
    const auto now = std::chrono::steady_clock::now();
    applyEvacuationChanges(m_services.evacuations.applyStore(listed, position, now), source);
}

void ForwardingEntry::applyEvacuationChanges(const std::vector<EvacuationChange> &changes, const std::string &source)
{
    for (const EvacuationChange &change : changes) {
        const std::size_t servers = m_services.directory.setEvacuated(change.dataCentre, change.isEvacuated);
        if (!change.isEvacuated) {
            startReturn(change.dataCentre);
        }
        logEvent("evacuation", change.isEvacuated ? "started" : "ended",
                 { { "data_centre", change.dataCentre },
                   { "revision", change.revision },
                   { "era", m_storeView.storeEra() },
                   { "servers", servers },
                   { "source", source },
                   { "reason", servers == 0 ? "no listed server is in this data centre" : "" } });
    }
    if (!changes.empty()) {
        notifyEvacuation(m_services);
        m_services.capacityChanged.notify();
    }
}

// The servers of a data centre have been idle during its evacuation, so that work returns to them as to cold ones.
void ForwardingEntry::startReturn(const std::string &dataCentre)
{
    if (!m_services.routes) {
        return;
    }
    for (const auto &[name, pool] : m_services.routes->pools) {
        if (pool.coldRate > 0) {
            m_services.directory.startReturn(dataCentre, name, pool.coldDuration, std::chrono::steady_clock::now());
        }
    }
}

void ForwardingEntry::applyServerItem(const wire::StoreItem &item, const RemovalGrace &grace)
{
    const std::string id = serverIdOfKey(item.key);
    if (id.empty()) {
        return; // the bare prefix names no server
    }
    if (!item.value) {
        const auto now = std::chrono::steady_clock::now();
        if (const TrackedServer *server = m_services.directory.find(id)) {
            m_departed.recordGone(server->record, m_storeView.mirror(StorePart::Servers).position().era, now);
        }
        m_removalTimes[id] = grace.removalTime(item.revision, now);
        m_heldBackUntil.erase(id);
        applyDueRemovals();
        return;
    }
    const auto parsed = wire::parseServer(id, *item.value);
    if (const auto *problem = std::get_if<std::string>(&parsed)) {
        logEvent("server", "invalid record ignored", { { "server", id }, { "reason", *problem } });
        return;
    }
    const StoreMirror &mirror = m_storeView.mirror(StorePart::Servers);
    applyServerRecord(std::get<ServerRecord>(parsed),
                      { .era = mirror.position().era, .isWrittenInEra = mirror.isWrittenInEra(item) });
}

// A store that came back from a copy lists servers as they were before, also servers that have left since.
void ForwardingEntry::applyServerRecord(ServerRecord record, const RecordOrigin &origin)
{
    const ListedAs listedAs = m_departed.judge(record, origin);
    if (listedAs == ListedAs::Gone) {
        holdBackServer(record);
        return;
    }
    m_heldBackUntil.erase(record.id);
    m_announcements.erase(record.id);
    m_departed.recordListed(record);
    if (record.isDraining) {
        m_departed.recordDraining(record, origin.era, std::chrono::steady_clock::now());
    }
    record.isDraining = record.isDraining || listedAs == ListedAs::Draining;
    addServer(record);
}

void ForwardingEntry::holdBackServer(const ServerRecord &record)
{
    const auto until = std::chrono::steady_clock::now() + heldBackTime;
    const bool isNew = m_heldBackUntil.insert_or_assign(record.id, until).second;
    if (isNew) {
        logEvent("server", "held back",
                 { { "server", record.id },
                   { "address", record.address.text() },
                   { "era", m_storeView.storeEra() },
                   { "reason", "it was seen gone before the store went back" } });
    }
    unlistServer(record.id);
}

// Lists the servers whose records have not expired.
void ForwardingEntry::reviewHeldBackServers()
{
    const auto now = std::chrono::steady_clock::now();
    const std::map<std::string, SteadyTime> heldBack = m_heldBackUntil;
    for (const auto &[id, until] : heldBack) {
        if (until > now) {
            continue;
        }
        m_heldBackUntil.erase(id);
        const StoreMirror &mirror = m_storeView.mirror(StorePart::Servers);
        const auto item = mirror.find(wire::serverPrefix() + id);
        const auto parsed = wire::parseServer(id, item ? item->value.value_or("") : "");
        if (const auto *record = std::get_if<ServerRecord>(&parsed)) {
            applyServerRecord(*record, { .era = mirror.position().era, .isWrittenInEra = true });
        }
    }
}

KnowledgeCallbacks ForwardingEntry::makeKnowledgeCallbacks()
{
    return { .knowledge =
                 [this](std::uint64_t knownVersion) {
                     return knowledgeFor(knownVersion);
                 },
             .onKnowledge =
                 [this](const EntryKnowledge &knowledge, const std::string &source) {
                     applyKnowledge(knowledge, source);
                 } };
}

EntryKnowledge ForwardingEntry::knowledgeFor(std::uint64_t knownVersion) const
{
    EntryKnowledge knowledge;
    knowledge.configurationVersion = configurationVersion();
    knowledge.configuration = knownVersion < knowledge.configurationVersion ? m_configuration : "";
    knowledge.departures = m_departed.latest(maxSentDepartures);
    knowledge.evidence = m_services.suspects.openEvidence();
    knowledge.evacuations = m_services.evacuations.list();
    return knowledge;
}

void ForwardingEntry::applyKnowledge(const EntryKnowledge &knowledge, const std::string &source)
{
    const std::uint64_t current = configurationVersion();
    if (knowledge.configurationVersion > current && !knowledge.configuration.empty()) {
        applyConfiguration(knowledge.configuration, source);
    }
    for (const Departure &departure : knowledge.departures) {
        applyDeparture(departure);
    }
    applyEvacuationChanges(m_services.evacuations.learn(knowledge.evacuations, std::chrono::steady_clock::now()),
                           source);
    m_services.suspects.learn(knowledge.evidence, std::chrono::steady_clock::now());
}

// The store is right about which servers it lists in its current era. That a server is draining is true in any era.
void ForwardingEntry::applyDeparture(Departure departure)
{
    const StoreMirror &mirror = m_storeView.mirror(StorePart::Servers);
    const auto item = mirror.find(wire::serverPrefix() + departure.server);
    departure.isGone = departure.isGone && !(item && departure.era >= mirror.position().era);
    const bool isNew = m_departed.merge(departure, std::chrono::steady_clock::now());
    if (isNew && item) {
        applyServerItem(*item, {});
    }
}

// An entry that starts after the store went back reads what the store has lost from the entries that ran before.
// Without any of them, it uses what the store has.
Awaitable<void> ForwardingEntry::askOtherEntries()
{
    std::vector<Endpoint> entries = m_services.settings.forwarding.seeds;
    std::erase(entries, m_services.settings.forwarding.peer);
    std::size_t responses = co_await m_knowledge->ask(std::move(entries));
    const auto startedAt = std::chrono::steady_clock::now();
    while (responses == 0 && !m_storeView.hasEntryList()
           && std::chrono::steady_clock::now() - startedAt < maxWaitForEntryList) {
        co_await sleepFor(maintenanceInterval);
    }
    if (responses == 0) {
        responses = co_await m_knowledge->ask(m_knowledge->chooseEntries(entriesAskedAtStart));
    }
    m_hasAskedEntries = true;
    logEvent("entry", "asked other entries", { { "responses", responses } });
}

bool ForwardingEntry::acceptsAnnouncement(const ServerAnnouncement &announcement) const
{
    const auto &servers = m_services.directory.servers();
    const bool isKnown = std::any_of(servers.begin(), servers.end(), [&announcement](const auto &entry) {
        const ServerRecord &record = entry.second.record;
        return record.address == announcement.address && record.startTimeMs >= announcement.startTimeMs;
    });
    const bool hasPool = m_services.routes && m_services.routes->pools.contains(announcement.pool);
    return isStoreUnconfirmed() && hasPool && !isKnown;
}

// Returns whether the store has not confirmed the server list in time. Announcements are accepted before an outage is
// detected, since an engine that announces itself would already be in the list if the store responded.
bool ForwardingEntry::isStoreUnconfirmed() const
{
    return !m_storeView.isFresh(StorePart::Servers);
}

// Reads the server ID from the engine's response to a health check, since the announcement of a sidecar has no ID.
Awaitable<void> ForwardingEntry::resolveAnnouncement(ServerAnnouncement announcement)
{
    if (m_services.directory.isEvacuated(announcement.dataCentre)) {
        co_return; // The sidecar announces the engine again after the evacuation.
    }
    const std::string healthPath = m_services.routes->pools.at(announcement.pool).healthPath;
    const CallResult result
        = co_await call(m_services.controlPool, announcement.address, makeGet(healthPath), healthTimeout);
    announcement.id = result.succeeded() ? wire::parseResponseFields(result.head).server : "";
    if (!announcement.id.empty() && acceptsAnnouncement(announcement)) {
        addAnnouncedServer(announcement);
        m_services.serverLimiter.observe(m_services.directory.find(announcement.id)->record,
                                         wire::parseResponseFields(result.head).limits, "health check",
                                         std::chrono::steady_clock::now());
    }
}

void ForwardingEntry::addAnnouncedServer(const ServerAnnouncement &announcement)
{
    const auto pool = m_services.routes->pools.find(announcement.pool);
    ServerRecord record;
    record.id = announcement.id;
    record.pool = announcement.pool;
    record.address = announcement.address;
    record.dataCentre = announcement.dataCentre;
    record.startTimeMs = announcement.startTimeMs;
    record.slots = pool->second.engine ? pool->second.engine->slots : 1;
    m_announcements[record.id] = encode(announcement);
    logEvent("server", "announced",
             { { "server", record.id }, { "address", record.address.text() }, { "source", "sidecar" } });
    addServer(record);
}

void ForwardingEntry::addServer(const ServerRecord &record)
{
    m_removalTimes.erase(record.id);
    const auto now = std::chrono::steady_clock::now();
    const TrackedServer *known = m_services.directory.find(record.id);
    const bool wasCold = known && known->coldLeft(now).count() > 0;
    const bool changed = m_services.directory.addOrUpdate(record, now);
    if (changed) {
        logEvent("server", record.isDraining ? "leaves" : "listed",
                 { { "server", record.id },
                   { "address", record.address.text() },
                   { "pool", record.pool },
                   { "data_centre", record.dataCentre },
                   { "source", "store" } });
    }
    const TrackedServer &server = *m_services.directory.find(record.id);
    if (!wasCold && server.coldLeft(now).count() > 0) {
        logEvent("server", "cold",
                 { { "server", record.id },
                   { "pool", record.pool },
                   { "ms", record.warmUpDuration },
                   { "per_second", m_services.coldStateOf(server, now).perSecond },
                   { "source", "store" } });
    }
    startLoadFeed(record);
    if (record.isDraining) {
        notifyServerDraining(m_services, record.id);
    }
    m_services.capacityChanged.notify();
}

void ForwardingEntry::startLoadFeed(const ServerRecord &record)
{
    const bool isNeeded = !usesLoadProbing(m_services) || m_services.activeGenerations.contains(record.id);
    if (!m_services.routes || !isNeeded || m_feeds.contains(record.id)) {
        return;
    }
    const auto pool = m_services.routes->pools.find(record.pool);
    if (pool == m_services.routes->pools.end() || !pool->second.engine) {
        return;
    }
    const Endpoint sidecar{ record.address.address, m_services.settings.forwarding.sidecarPort() };
    auto feed = std::make_shared<SidecarFeed>(m_services, record.id, sidecar,
                                              [this](const std::string &server, const EngineLoadReport &report) {
                                                  applyLoadReport(m_services, server, report);
                                              });
    m_feeds.emplace(record.id, feed);
    feed->start();
}

// If engines are probed for their load (usesLoadProbing()), follows the load reports of only those engines that run
// generations of this entry, since this entry needs drain notices only from these. Other engines are probed when a
// generation is placed.
void ForwardingEntry::updateLoadFeeds()
{
    if (!usesLoadProbing(m_services)) {
        return;
    }
    for (const auto &[id, generations] : m_services.activeGenerations) {
        const TrackedServer *server = m_services.directory.find(id);
        if (server && !m_feeds.contains(id)) {
            startLoadFeed(server->record);
        }
    }
    for (auto feed = m_feeds.begin(); feed != m_feeds.end();) {
        const bool isUnused = !m_services.activeGenerations.contains(feed->first);
        if (isUnused) {
            feed->second->stop();
        }
        feed = isUnused ? m_feeds.erase(feed) : std::next(feed);
    }
}

void ForwardingEntry::unlistServer(const std::string &id)
{
    if (m_services.directory.markUnlisted(id, std::chrono::steady_clock::now())) {
        logEvent("server", "unlisted", { { "server", id }, { "source", "store" } });
        notifyServerDraining(m_services, id);
        m_services.crashWatch->recordGone(id);
    }
}

void ForwardingEntry::applyDueRemovals()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto position = m_removalTimes.begin(); position != m_removalTimes.end();) {
        const bool isDue = position->second <= now;
        if (isDue) {
            unlistServer(position->first);
        }
        position = isDue ? m_removalTimes.erase(position) : std::next(position);
    }
}

// Called wherever the event loop may run first after a pause.
void ForwardingEntry::observePause()
{
    if (const auto pause = m_pauseDetector.observe(currentSystemTime())) {
        m_storeView.handlePause(*pause);
    }
}

Awaitable<ConfigurationTrust> ForwardingEntry::confirmConfiguration()
{
    observePause();
    const ConfigurationTrust trust = co_await m_storeView.confirmConfiguration();
    const bool isReplaced = trust == ConfigurationTrust::Current && m_isLastVersionUnreadable;
    co_return isReplaced ? ConfigurationTrust::Unconfirmed : trust;
}

// Logs a long delay at most once per delayLogInterval.
void ForwardingEntry::recordLoopDelay(SteadyTime due)
{
    const auto now = std::chrono::steady_clock::now();
    m_loopDelay.record(due, now);
    if (now - due >= loggedLoopDelay && now >= m_nextDelayLog) {
        m_nextDelayLog = now + delayLogInterval;
        logEvent("daemon", "event loop delayed",
                 { { "delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - due) },
                   { "active_requests", m_services.counters.activeRequests } });
    }
}

Awaitable<void> ForwardingEntry::runMaintenance()
{
    SteadyTime nextCleanup;
    while (!m_stopped) {
        const SteadyTime due = std::chrono::steady_clock::now() + maintenanceInterval;
        co_await sleepFor(maintenanceInterval);
        recordLoopDelay(due);
        observePause();
        applyDueRemovals();
        reviewHeldBackServers();
        if (m_services.evacuations.hasUnconfirmed()) {
            applyStoredEvacuations("store");
        }
        updateLoadFeeds();
        m_services.crashWatch->maintain();
        m_services.entryExchange->maintain();
        if (m_storeView.hasEntryList()) {
            m_services.maxKnownEntries = std::max(m_services.maxKnownEntries, m_services.entryCount());
        }
        const auto now = std::chrono::steady_clock::now();
        if (now < nextCleanup) {
            continue;
        }
        nextCleanup = now + cleanupInterval;
        m_services.pool.closeStale();
        m_services.controlPool.closeStale();
        m_services.suspects.prune(now);
        m_services.coldShare.prune(now);
        m_departed.prune(now);
        for (const std::string &id : m_services.directory.removeUnlisted(removedServerRetention, now)) {
            m_services.serverLimiter.forget(id);
            const auto feed = m_feeds.find(id);
            if (feed != m_feeds.end()) {
                feed->second->stop();
                m_feeds.erase(feed);
            }
        }
    }
}

std::uint16_t ForwardingEntry::port() const
{
    return m_callerListener->port();
}

std::uint16_t ForwardingEntry::readyPort() const
{
    return m_readinessListener->port();
}

std::uint16_t ForwardingEntry::peerPort() const
{
    return m_peerListener->port();
}

std::uint16_t ForwardingEntry::metricsPort() const
{
    return m_metricsListener->port();
}

void ForwardingEntry::drain(std::chrono::milliseconds timeLimit)
{
    m_services.stop.begin(std::chrono::steady_clock::now() + timeLimit);
    m_callerListener->disableKeepAlive();
    m_storeView.unregister();
}

void ForwardingEntry::closeIdleConnections()
{
    m_callerListener->closeIdle();
}

void ForwardingEntry::stopAccepting()
{
    m_callerListener->stop();
}

void ForwardingEntry::endRequests()
{
    m_callerListener->stop();
    const std::set<ForwardContext *> contexts = m_services.activeContexts;
    m_services.counters.endedRequests += contexts.size();
    m_services.crashWatch->hasten();
    for (ForwardContext *context : contexts) {
        context->endEarly();
    }
}

Awaitable<void> ForwardingEntry::handOver()
{
    if (!m_services.suspects.isEmpty()) {
        co_await m_knowledge->ask(m_knowledge->chooseEntries(entriesToldAtStop));
    }
}

bool ForwardingEntry::isIdle() const
{
    return m_services.counters.activeRequests == 0 && !m_services.crashWatch->isChecking()
        && !m_services.suspects.isSending();
}

std::uint64_t ForwardingEntry::configurationVersion() const
{
    return m_services.routes ? m_services.routes->version : 0;
}

void ForwardingEntry::reload(Settings settings)
{
    m_services.settings.forwarding = std::move(settings.forwarding);
}

void ForwardingEntry::stop()
{
    m_stopped = true;
    for (const auto &listener : { m_callerListener, m_readinessListener, m_peerListener, m_metricsListener }) {
        if (listener) {
            listener->stop();
        }
    }
    m_storeView.stop();
    for (const auto &[id, feed] : m_feeds) {
        feed->stop();
    }
}

} // namespace zinniadock
