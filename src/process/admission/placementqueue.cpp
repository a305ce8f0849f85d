#include "zinniadock/process/admission/placementqueue.h"

#include <algorithm>
#include <cmath>

namespace zinniadock
{

namespace
{

/// Time from a try without success to the next one of the same generation.
constexpr std::chrono::milliseconds retryInterval{ 40 };

/// Number of generations that query engines at the same time. More would query the same few engines with free memory.
constexpr std::size_t maxTries = 8;

/// A try that takes longer than this waits for a sidecar that does not respond, and no longer holds back others.
constexpr std::chrono::milliseconds maxTryTime{ 100 };

/// Time constant of the decay of the memory that an account got.
constexpr std::chrono::duration<double> receivedDecayTime{ 4 };

/// An account exceeds its share if it got more than its share by this factor. Below, the arrivals of accounts differ by
/// chance.
constexpr double shareTolerance = 1.5;

/// An account that got less memory than this recently, in tokens, is removed.
constexpr double minRecentTokens = 1;

/// Maximum age of the shares while no generation is placed.
constexpr std::chrono::milliseconds shareUpdateInterval{ 250 };

} // namespace

// Returns the memory that an account got, decayed to \p now, in tokens.
double PlacementQueue::recentTokens(const ReceivedMemory &received, SteadyTime now)
{
    return received.tokens * std::exp(-((now - received.updatedAt) / receivedDecayTime));
}

PlacementQueue::Ticket PlacementQueue::enter(const WaitingGeneration &generation)
{
    m_areSharesOutdated = true;
    m_entries[m_nextTicket] = { .generation = generation, .state = State::New, .changedAt = {} };
    return m_nextTicket++;
}

void PlacementQueue::leave(Ticket ticket)
{
    m_entries.erase(ticket);
}

// The shares are among the accounts of a priority that got memory recently or wait for it.
void PlacementQueue::updateShares(SteadyTime now)
{
    if (!m_areSharesOutdated && now - m_sharesUpdatedAt < shareUpdateInterval) {
        return;
    }
    m_areSharesOutdated = false;
    m_sharesUpdatedAt = now;
    std::erase_if(m_received, [now](const auto &entry) {
        return recentTokens(entry.second, now) < minRecentTokens;
    });
    std::map<AccountKey, double> weights;
    std::map<std::uint32_t, double> totals;
    for (const auto &[account, received] : m_received) {
        weights[account] = received.weight;
        totals[account.first] += recentTokens(received, now);
    }
    for (const auto &[ticket, entry] : m_entries) {
        weights[{ entry.generation.priority, entry.generation.account }] = entry.generation.weight;
    }
    std::map<std::uint32_t, double> weightSums;
    for (const auto &[account, weight] : weights) {
        weightSums[account.first] += weight;
    }
    m_overservedAccounts.clear();
    for (const auto &[account, received] : m_received) {
        const double fairTokens = totals[account.first] * weights[account] / weightSums[account.first];
        if (recentTokens(received, now) > shareTolerance * fairTokens) {
            m_overservedAccounts.insert(account);
        }
    }
}

bool PlacementQueue::isOverserved(const WaitingGeneration &generation) const
{
    return m_overservedAccounts.contains({ generation.priority, generation.account });
}

bool PlacementQueue::isBefore(const Entry &left, const Entry &right) const
{
    if (left.generation.priority != right.generation.priority) {
        return left.generation.priority < right.generation.priority;
    }
    const bool isLeftOverserved = isOverserved(left.generation);
    return isLeftOverserved == isOverserved(right.generation) ? left.generation.due < right.generation.due
                                                              : !isLeftOverserved;
}

bool PlacementQueue::isReady(const Entry &entry, SteadyTime now) const
{
    return entry.state == State::New || (entry.state == State::Refused && now - entry.changedAt >= retryInterval);
}

bool PlacementQueue::mayTry(Ticket ticket, SteadyTime now)
{
    const auto found = m_entries.find(ticket);
    if (found == m_entries.end() || !isReady(found->second, now)) {
        return false;
    }
    updateShares(now);
    std::size_t ahead = 0;
    for (const auto &[other, entry] : m_entries) {
        const bool tries = entry.state == State::Trying && now - entry.changedAt < maxTryTime;
        const bool isAhead = other != ticket && isReady(entry, now) && isBefore(entry, found->second);
        ahead += tries || isAhead ? 1 : 0;
    }
    return ahead < maxTries;
}

void PlacementQueue::beginTry(Ticket ticket, SteadyTime now)
{
    Entry &entry = m_entries.at(ticket);
    entry.state = State::Trying;
    entry.changedAt = now;
}

void PlacementQueue::endTry(Ticket ticket, SteadyTime now)
{
    Entry &entry = m_entries.at(ticket);
    entry.state = State::Refused;
    entry.wasRefused = true;
    entry.changedAt = now;
}

void PlacementQueue::recordPlaced(Ticket ticket, SteadyTime now)
{
    const WaitingGeneration &generation = m_entries.at(ticket).generation;
    ReceivedMemory &received = m_received[{ generation.priority, generation.account }];
    received.tokens = recentTokens(received, now) + generation.neededTokens;
    received.weight = generation.weight;
    received.updatedAt = now;
    m_areSharesOutdated = true;
}

std::size_t PlacementQueue::waitingAhead(Ticket ticket) const
{
    const Entry &own = m_entries.at(ticket);
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [this, &own](const auto &other) {
        return other.second.wasRefused && isBefore(other.second, own);
    }));
}

double PlacementQueue::moreUrgentTokens(std::uint32_t priority) const
{
    double tokens = 0;
    for (const auto &[ticket, entry] : m_entries) {
        const bool waits = entry.wasRefused && entry.generation.priority < priority;
        tokens = waits ? std::max(tokens, entry.generation.neededTokens) : tokens;
    }
    return tokens;
}

std::map<std::uint32_t, std::size_t> PlacementQueue::waitingByPriority() const
{
    std::map<std::uint32_t, std::size_t> waiting;
    for (const auto &[ticket, entry] : m_entries) {
        waiting[entry.generation.priority] += entry.wasRefused ? 1 : 0;
    }
    return waiting;
}

} // namespace zinniadock
