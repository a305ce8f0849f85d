#include "zinniadock/process/servers/serverdirectory.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds initialBackoff{ 250 };
constexpr std::chrono::milliseconds maxBackoff{ 8000 };

// A connection failure raises the number of consecutive failures to at least this value before it is counted itself, so
// its backoff is at least 2 s.
constexpr std::uint32_t minFailuresBeforeConnectionFailure = 4;

/// An engine that refused a reservation gets no new generation for this time. A step of its batch takes a tenth of this
/// time.
constexpr std::chrono::milliseconds fullBackoff{ 120 };

// A single failure may be caused by the request, so the backoff begins with the second consecutive failure.
constexpr std::uint32_t failuresBeforeBackoff = 2;

} // namespace

bool ServerDirectory::addOrUpdate(const ServerRecord &record, SteadyTime now)
{
    const auto [position, isNew] = m_servers.try_emplace(record.id);
    TrackedServer &server = position->second;
    const bool wasDraining = server.isDraining();
    // The same record may be applied again, later than the server has written it.
    const bool isSameRecord = !isNew && server.record.startTimeMs == record.startTimeMs && record.sequence > 0
        && server.record.sequence == record.sequence;
    if (!isSameRecord) {
        server.coldUntil = now + record.warmUpDuration;
    }
    if (isNew || server.record.startTimeMs != record.startTimeMs || server.record.address != record.address) {
        server.load = EngineLoad();
        server.loadReceivedAt.reset();
        server.consecutiveFailures = 0;
        server.backoffUntil = SteadyTime();
        server.listedAt = now;
        server.replaced = false;
        server.announcedDraining = false;
        server.pausedUntil = SteadyTime();
        server.isHalfOpen = false;
        server.returnsUntil = SteadyTime();
    }
    server.record = record;
    server.isEvacuated = isEvacuated(record.dataCentre);
    server.unlistedSince.reset();
    markReplacedAt(record.address);
    return isNew || (record.isDraining && !wasDraining);
}

bool ServerDirectory::markUnlisted(const std::string &id, SteadyTime now)
{
    TrackedServer *server = find(id);
    if (!server || server->unlistedSince) {
        return false;
    }
    server->unlistedSince = now;
    return true;
}

std::vector<std::string> ServerDirectory::removeUnlisted(std::chrono::milliseconds age, SteadyTime now)
{
    std::vector<std::string> removed;
    for (auto position = m_servers.begin(); position != m_servers.end();) {
        const TrackedServer &server = position->second;
        const bool isRemovable
            = server.unlistedSince && now - *server.unlistedSince > age && server.assignments.empty();
        if (isRemovable) {
            removed.push_back(position->first);
        }
        position = isRemovable ? m_servers.erase(position) : std::next(position);
    }
    return removed;
}

// Marks a server at an address as replaced if another server at the same address has a later start time. Doesn't mark
// servers without a known start time. The record of a crashed incarnation stays listed until it expires, beside the
// record of its successor.
void ServerDirectory::markReplacedAt(const Endpoint &address)
{
    std::int64_t latest = 0;
    for (const auto &[id, server] : m_servers) {
        if (server.record.address == address) {
            latest = std::max(latest, server.record.startTimeMs);
        }
    }
    for (auto &[id, server] : m_servers) {
        if (server.record.address == address && server.record.startTimeMs > 0 && server.record.startTimeMs < latest) {
            server.replaced = true;
        }
    }
}

void ServerDirectory::markReplaced(const std::string &id)
{
    if (TrackedServer *server = find(id)) {
        server->replaced = true;
    }
}

bool ServerDirectory::markDraining(const std::string &id)
{
    TrackedServer *server = find(id);
    if (!server || server->announcedDraining) {
        return false;
    }
    const bool wasDraining = server->isDraining();
    server->announcedDraining = true;
    return !wasDraining;
}

void ServerDirectory::pause(const std::string &id, SteadyTime until)
{
    if (TrackedServer *server = find(id)) {
        server->pausedUntil = std::max(server->pausedUntil, until);
        server->isHalfOpen = true;
    }
}

std::size_t ServerDirectory::setEvacuated(const std::string &dataCentre, bool isEvacuated)
{
    if (isEvacuated) {
        m_evacuated.insert(dataCentre);
    } else {
        m_evacuated.erase(dataCentre);
    }
    std::size_t listed = 0;
    for (auto &[id, server] : m_servers) {
        if (server.record.dataCentre == dataCentre) {
            server.isEvacuated = isEvacuated;
            listed += server.unlistedSince ? 0 : 1;
        }
    }
    return listed;
}

void ServerDirectory::setCold(const std::string &id, std::chrono::milliseconds left, SteadyTime now)
{
    if (TrackedServer *server = find(id)) {
        server->coldUntil = now + left;
    }
}

void ServerDirectory::startReturn(const std::string &dataCentre, const std::string &pool,
                                  std::chrono::milliseconds duration, SteadyTime now)
{
    for (auto &[id, server] : m_servers) {
        if (server.record.dataCentre == dataCentre && server.record.pool == pool) {
            server.returnsUntil = now + duration;
        }
    }
}

std::size_t ServerDirectory::coldServers(SteadyTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(), [now](const auto &entry) {
        return !entry.second.unlistedSince && entry.second.coldLeft(now).count() > 0;
    }));
}

bool ServerDirectory::isEvacuated(const std::string &dataCentre) const
{
    return m_evacuated.contains(dataCentre);
}

bool ServerDirectory::updateLoad(const std::string &id, EngineLoad load, SteadyTime now)
{
    TrackedServer *server = find(id);
    if (!server) {
        return false;
    }
    if (server->record.startTimeMs > 0 && load.startTimeMs > 0 && load.startTimeMs != server->record.startTimeMs) {
        server->replaced = server->replaced || load.startTimeMs > server->record.startTimeMs;
        return false;
    }
    const bool wasDraining = server->load.isDraining;
    server->load = std::move(load);
    server->loadReceivedAt = now;
    return server->load.isDraining && !wasDraining;
}

void ServerDirectory::updateEstimates(const std::string &id, double committedTokens, double waitingTokens)
{
    if (TrackedServer *server = find(id)) {
        server->load.committedTokens = committedTokens;
        server->load.waitingTokens = waitingTokens;
    }
}

std::uint64_t ServerDirectory::assign(const std::string &id, Assignment assignment)
{
    const std::uint64_t number = m_nextAssignment++;
    if (TrackedServer *server = find(id)) {
        server->assignments.emplace(number, std::move(assignment));
    }
    return number;
}

void ServerDirectory::markStarted(const std::string &id, std::uint64_t assignment)
{
    TrackedServer *server = find(id);
    if (!server) {
        return;
    }
    const auto found = server->assignments.find(assignment);
    if (found != server->assignments.end()) {
        found->second.hasStarted = true;
    }
}

void ServerDirectory::release(const std::string &id, std::uint64_t assignment)
{
    if (TrackedServer *server = find(id)) {
        server->assignments.erase(assignment);
    }
}

void ServerDirectory::recordSuccess(const std::string &id)
{
    if (TrackedServer *server = find(id)) {
        server->consecutiveFailures = 0;
        server->backoffUntil = SteadyTime();
        server->isHalfOpen = false;
    }
}

void ServerDirectory::recordFailure(const std::string &id, SteadyTime now)
{
    TrackedServer *server = find(id);
    if (!server) {
        return;
    }
    ++server->consecutiveFailures;
    if (server->consecutiveFailures >= failuresBeforeBackoff) {
        const std::uint32_t doublings = std::min(server->consecutiveFailures - failuresBeforeBackoff, 6U);
        server->backoffUntil = now + std::min(initialBackoff * (1U << doublings), maxBackoff);
    }
}

void ServerDirectory::markFull(const std::string &id, SteadyTime now)
{
    if (TrackedServer *server = find(id)) {
        server->fullUntil = now + fullBackoff;
    }
}

void ServerDirectory::recordConnectionFailure(const std::string &id, SteadyTime now)
{
    if (TrackedServer *server = find(id)) {
        server->consecutiveFailures = std::max(server->consecutiveFailures, minFailuresBeforeConnectionFailure);
        recordFailure(id, now);
    }
}

TrackedServer *ServerDirectory::find(const std::string &id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

const std::map<std::string, TrackedServer> &ServerDirectory::servers() const
{
    return m_servers;
}

} // namespace zinniadock
