#include "zinniadock/process/forwardingentry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "zinniadock/process/eventlog.h"
#include "zinniadock/request/engineprobe.h"
#include "zinniadock/request/forwardscope.h"
#include "zinniadock/request/generationforward.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds houseInterval{ 100 };

/// A removed server may serve what it has for a while.
constexpr std::chrono::milliseconds forgetAfter{ 20000 };

constexpr std::chrono::milliseconds healthTimeout{ 300 };

/// The word of a sidecar counts once the store has not confirmed the list for so long.
constexpr std::chrono::milliseconds quietStore{ 1600 };

/// Idle connections and forgotten servers are cleared so often.
constexpr std::chrono::milliseconds staleInterval{ 5000 };

std::string idOf(const std::string &key)
{
    return key.substr(wire::serverPrefix().size());
}

} // namespace

ForwardingEntry::ForwardingEntry(asio::io_context &context, Settings settings)
    : m_services(context, std::move(settings))
    , m_view(m_services, viewEvents())
{
}

StoreViewEvents ForwardingEntry::viewEvents()
{
    return { .configuration =
                 [this](const wire::StoreItem &item, const std::string &source) {
                     if (item.key == wire::configurationKey() && item.value) {
                         configurationRead(*item.value, source);
                     }
                 },
             .servers =
                 [this](const std::vector<wire::StoreItem> &items) {
                     for (const wire::StoreItem &item : items) {
                         serverChanged(item);
                     }
                 },
             .announced =
                 [this](const std::string &bytes) {
                     const auto announcement = decodeServerAnnouncement(bytes);
                     if (announcement && isNews(*announcement)) {
                         serverAnnounced(*announcement);
                     }
                 },
             .announcements =
                 [this] {
                     return m_announced;
                 } };
}

std::error_code ForwardingEntry::start()
{
    const Settings &settings = m_services.settings;
    std::error_code error;
    m_callers = std::make_shared<HttpListener>(
        m_services.context,
        [this](std::shared_ptr<HttpConnection> connection, HttpRequest request) {
            return forwardRequest(m_services, std::move(connection), std::move(request));
        },
        [this] {
            return m_services.routes ? m_services.routes->limits : CallerLimits();
        });
    error = m_callers->start(settings.entry.listen);
    const auto handler = [this](auto method) {
        return [this, method](std::shared_ptr<HttpConnection> connection, HttpRequest request) {
            return (this->*method)(std::move(connection), std::move(request));
        };
    };
    if (!error) {
        m_readiness = listen(settings.forwarding.ready, handler(&ForwardingEntry::answerReadiness), error);
    }
    if (!error) {
        m_peers = listen(settings.forwarding.peer, handler(&ForwardingEntry::answerPeer), error);
        m_services.settings.forwarding.peer.port = m_peers->port();
    }
    if (!error) {
        m_metrics = listen(settings.daemon.admin, handler(&ForwardingEntry::answerMetrics), error);
    }
    if (error) {
        return error;
    }
    m_view.start();
    const auto spawn = [this](Awaitable<void> (ForwardingEntry::*duty)()) {
        asio::co_spawn(
            m_services.context,
            [this, duty]() {
                return (this->*duty)();
            },
            asio::detached);
    };
    spawn(&ForwardingEntry::keepHouse);
    return error;
}

std::shared_ptr<HttpListener> ForwardingEntry::listen(const Endpoint &address, HttpHandler handler,
                                                      std::error_code &error)
{
    auto listener = std::make_shared<HttpListener>(m_services.context, std::move(handler), limitsBetweenProcesses);
    error = listener->start(address);
    return listener;
}

void ForwardingEntry::configurationRead(const std::string &text, const std::string &source)
{
    const auto parsed = wire::parseRoutes(text);
    if (const auto *problem = std::get_if<std::string>(&parsed)) {
        logEvent("configuration", "unreadable", { { "source", source }, { "reason", *problem } });
        return;
    }
    const RouteTable &table = std::get<RouteTable>(parsed);
    const std::uint64_t current = m_services.routes ? m_services.routes->version : 0;
    if (m_services.routes && table.version <= current) {
        return;
    }
    m_services.routes = std::make_shared<RouteTable>(table);
    for (const auto &[id, server] : m_services.directory.servers()) {
        followLoad(server.record);
    }
    logEvent("configuration", "in force",
             { { "version", table.version },
               { "previous", current },
               { "source", source },
               { "routes", table.routes.size() },
               { "keys", table.keys.size() } });
}

void ForwardingEntry::serverChanged(const wire::StoreItem &item)
{
    const std::string id = idOf(item.key);
    if (!item.value) {
        const auto now = std::chrono::steady_clock::now();
        m_removals[id] = std::max(m_view.settledAt().value_or(now), now);
        settleRemovals();
        return;
    }
    const auto parsed = wire::parseServer(id, *item.value);
    if (const auto *problem = std::get_if<std::string>(&parsed)) {
        logEvent("server", "record passed over", { { "server", id }, { "reason", *problem } });
        return;
    }
    m_announced.erase(id);
    addServer(std::get<ServerRecord>(parsed));
}

bool ForwardingEntry::isNews(const ServerAnnouncement &announcement) const
{
    const auto &servers = m_services.directory.servers();
    const bool known = std::any_of(servers.begin(), servers.end(), [&announcement](const auto &entry) {
        const ServerRecord &record = entry.second.record;
        return record.address == announcement.address && record.born >= announcement.born;
    });
    const bool hasPool = m_services.routes && m_services.routes->pools.contains(announcement.pool);
    return storeIsQuiet() && hasPool && !known;
}

// A silent store shows as lost only after the longest wait of a watch; an engine that announces itself meanwhile would
// have shown in the list if the store answered.
bool ForwardingEntry::storeIsQuiet() const
{
    const auto confirmed = m_view.confirmedAt();
    return !confirmed || std::chrono::steady_clock::now() - *confirmed > quietStore;
}

// A sidecar does not know under which id its engine is listed; the engine's health answer says it.
Awaitable<void> ForwardingEntry::learnServer(ServerAnnouncement announcement)
{
    const std::string healthPath = m_services.routes->pools.at(announcement.pool).healthPath;
    const CallResult result = co_await call(m_services.pool, announcement.address, makeGet(healthPath), healthTimeout);
    announcement.id = result.succeeded() ? wire::answerFields(result.head).server : "";
    if (!announcement.id.empty() && isNews(announcement)) {
        serverAnnounced(announcement);
    }
}

void ForwardingEntry::serverAnnounced(const ServerAnnouncement &announcement)
{
    const auto pool = m_services.routes->pools.find(announcement.pool);
    ServerRecord record;
    record.id = announcement.id;
    record.pool = announcement.pool;
    record.address = announcement.address;
    record.dataCentre = announcement.dataCentre;
    record.born = announcement.born;
    record.slots = pool->second.engine ? pool->second.engine->slots : 1;
    m_announced[record.id] = encode(announcement);
    logEvent("server", "announced",
             { { "server", record.id }, { "address", record.address.text() }, { "source", "sidecar" } });
    addServer(record);
}

void ForwardingEntry::addServer(const ServerRecord &record)
{
    m_removals.erase(record.id);
    const bool changed = m_services.directory.list(record, std::chrono::steady_clock::now());
    if (changed) {
        logEvent("server", record.leaving ? "leaves" : "listed",
                 { { "server", record.id },
                   { "address", record.address.text() },
                   { "pool", record.pool },
                   { "data_centre", record.dataCentre },
                   { "source", "store" } });
    }
    followLoad(record);
    if (record.leaving) {
        notifyServerLeaving(m_services, record.id);
    }
    m_services.roomChanged.notify();
}

void ForwardingEntry::followLoad(const ServerRecord &record)
{
    const bool needed = !usesLoadProbing(m_services) || m_services.generations.contains(record.id);
    if (!m_services.routes || !needed || m_feeds.contains(record.id)) {
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

// Where there are too many engines to follow, those are followed that run something for this entry, as only they have
// to tell it that they leave.
void ForwardingEntry::followEnginesInUse()
{
    if (!usesLoadProbing(m_services)) {
        return;
    }
    for (const auto &[id, generations] : m_services.generations) {
        const TrackedServer *server = m_services.directory.find(id);
        if (server && !m_feeds.contains(id)) {
            followLoad(server->record);
        }
    }
    for (auto feed = m_feeds.begin(); feed != m_feeds.end();) {
        const bool unused = !m_services.generations.contains(feed->first);
        if (unused) {
            feed->second->stop();
        }
        feed = unused ? m_feeds.erase(feed) : std::next(feed);
    }
}

void ForwardingEntry::serverGone(const std::string &id)
{
    if (m_services.directory.unlist(id, std::chrono::steady_clock::now())) {
        logEvent("server", "unlisted", { { "server", id }, { "source", "store" } });
        notifyServerLeaving(m_services, id);
    }
}

void ForwardingEntry::settleRemovals()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto position = m_removals.begin(); position != m_removals.end();) {
        const bool due = position->second <= now;
        if (due) {
            serverGone(position->first);
        }
        position = due ? m_removals.erase(position) : std::next(position);
    }
}

Awaitable<void> ForwardingEntry::keepHouse()
{
    SteadyTime nextSweep;
    while (!m_stopped) {
        co_await sleepFor(houseInterval);
        settleRemovals();
        followEnginesInUse();
        const auto now = std::chrono::steady_clock::now();
        if (now < nextSweep) {
            continue;
        }
        nextSweep = now + staleInterval;
        m_services.pool.closeStale();
        for (const std::string &id : m_services.directory.forgetMissing(forgetAfter, now)) {
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
    return m_callers->port();
}

std::uint16_t ForwardingEntry::readyPort() const
{
    return m_readiness->port();
}

std::uint16_t ForwardingEntry::peerPort() const
{
    return m_peers->port();
}

std::uint16_t ForwardingEntry::metricsPort() const
{
    return m_metrics->port();
}

void ForwardingEntry::drain(std::chrono::milliseconds within)
{
    m_services.stopsAt = std::chrono::steady_clock::now() + within;
    m_callers->askToClose();
    m_view.leave();
}

void ForwardingEntry::turnAway()
{
    m_callers->closeIdle();
}

bool ForwardingEntry::idle() const
{
    return m_services.counts.active == 0;
}

void ForwardingEntry::reload(Settings settings)
{
    m_services.settings.forwarding = std::move(settings.forwarding);
}

void ForwardingEntry::stop()
{
    m_stopped = true;
    for (const auto &listener : { m_callers, m_readiness, m_peers, m_metrics }) {
        if (listener) {
            listener->stop();
        }
    }
    m_view.stop();
    for (const auto &[id, feed] : m_feeds) {
        feed->stop();
    }
}

} // namespace zinniadock
