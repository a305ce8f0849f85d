#include "zinniadock/process/serverdirectory.h"

#include <algorithm>

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds firstAvoidance{ 250 };
constexpr std::chrono::milliseconds longestAvoidance{ 8000 };

// A server that breaks off without an answer is kept out for at least this long.
constexpr std::uint32_t failuresWhenUnreachable = 4;

/// An engine without room is asked again after this time; a step of its batch takes a tenth of it.
constexpr std::chrono::milliseconds fullTime{ 120 };

// A single failure may be of the request, so that only the second in a row keeps a server out.
constexpr std::uint32_t failuresBeforeAvoidance = 2;

} // namespace

bool ServerDirectory::addOrUpdate(const ServerRecord &record, SteadyTime now)
{
    const auto [position, isNew] = m_servers.try_emplace(record.id);
    TrackedServer &server = position->second;
    const bool wasLeaving = server.isDraining();
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
    }
    server.record = record;
    server.unlistedSince.reset();
    keepLatestAt(record.address);
    return isNew || (record.isDraining && !wasLeaving);
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
    std::vector<std::string> forgotten;
    for (auto position = m_servers.begin(); position != m_servers.end();) {
        const TrackedServer &server = position->second;
        const bool gone = server.unlistedSince && now - *server.unlistedSince > age && server.assignments.empty();
        if (gone) {
            forgotten.push_back(position->first);
        }
        position = gone ? m_servers.erase(position) : std::next(position);
    }
    return forgotten;
}

// The record of an incarnation that crashed stays listed until it lapses, beside the one of its successor.
void ServerDirectory::keepLatestAt(const Endpoint &address)
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
    const bool wasLeaving = server->isDraining();
    server->announcedDraining = true;
    return !wasLeaving;
}

void ServerDirectory::pause(const std::string &id, SteadyTime until)
{
    if (TrackedServer *server = find(id)) {
        server->pausedUntil = std::max(server->pausedUntil, until);
        server->isHalfOpen = true;
    }
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
    const bool wasLeaving = server->load.isDraining;
    server->load = std::move(load);
    server->loadReceivedAt = now;
    return server->load.isDraining && !wasLeaving;
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
    const auto found = server ? server->assignments.find(assignment) : std::map<std::uint64_t, Assignment>::iterator();
    if (server && found != server->assignments.end()) {
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
    if (server->consecutiveFailures >= failuresBeforeAvoidance) {
        const std::uint32_t doublings = std::min(server->consecutiveFailures - failuresBeforeAvoidance, 6U);
        server->backoffUntil = now + std::min(firstAvoidance * (1U << doublings), longestAvoidance);
    }
}

void ServerDirectory::markFull(const std::string &id, SteadyTime now)
{
    if (TrackedServer *server = find(id)) {
        server->fullUntil = now + fullTime;
    }
}

void ServerDirectory::recordConnectFailure(const std::string &id, SteadyTime now)
{
    if (TrackedServer *server = find(id)) {
        server->consecutiveFailures = std::max(server->consecutiveFailures, failuresWhenUnreachable);
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
