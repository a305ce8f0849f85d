#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// A generation that waits at an entry for an engine.
struct WaitingGeneration
{
    std::uint32_t priority = 0; ///< lower values are placed first
    std::string account;
    double weight = 1; ///< of the account among the accounts of the priority; positive
    SteadyTime due; ///< when the first event is due
    double neededTokens = 0; ///< memory that the generation takes
};

/// The generations of one pool that wait at an entry for an engine, in the order in which they may query engines.
///
/// The order is by priority. Within a priority, accounts that got more than their share of the memory of engines
/// recently come after the others, and then the generation whose first event is due earlier comes first. A generation
/// that no engine admits does not hold back the ones behind it while it waits for its next try.
class PlacementQueue
{
public:
    using Ticket = std::uint64_t;

    Ticket enter(const WaitingGeneration &generation);
    void leave(Ticket ticket);

    /// Returns whether a generation may query engines now. Complexity: linear in the waiting generations.
    bool mayTry(Ticket ticket, SteadyTime now);

    void beginTry(Ticket ticket, SteadyTime now);
    void endTry(Ticket ticket, SteadyTime now);

    /// Records that an engine has admitted a generation, which counts for the share of its account.
    void recordPlaced(Ticket ticket, SteadyTime now);

    /// Returns the number of generations ahead of one that wait after a try without success.
    std::size_t waitingAhead(Ticket ticket) const;

    /// Returns the memory, in tokens, of the largest generation of a higher priority that waits after a try without
    /// success; 0 if there is none. A generation of \p priority that leaves it free on its engine takes no capacity
    /// that the other one could use.
    double moreUrgentTokens(std::uint32_t priority) const;

    /// Returns the number of generations of each priority that wait after a try without success.
    std::map<std::uint32_t, std::size_t> waitingByPriority() const;

private:
    enum class State {
        New, ///< has not queried engines yet
        Trying,
        Refused, ///< waits for its next try
    };

    struct Entry
    {
        WaitingGeneration generation;
        State state = State::New;
        bool wasRefused = false; ///< at least one try was without success
        SteadyTime changedAt; ///< begin of the try, or its end
    };

    /// Memory that an account got recently.
    struct ReceivedMemory
    {
        double weight = 1;
        double tokens = 0; ///< at updatedAt
        SteadyTime updatedAt;
    };

    using AccountKey = std::pair<std::uint32_t, std::string>; ///< priority and account

    static double recentTokens(const ReceivedMemory &received, SteadyTime now);
    void updateShares(SteadyTime now);
    bool isOverserved(const WaitingGeneration &generation) const;
    bool isBefore(const Entry &left, const Entry &right) const;
    bool isReady(const Entry &entry, SteadyTime now) const;

    std::map<Ticket, Entry> m_entries;
    std::map<AccountKey, ReceivedMemory> m_received;
    std::set<AccountKey> m_overservedAccounts; ///< got more than their share recently
    bool m_areSharesOutdated = true;
    SteadyTime m_sharesUpdatedAt;
    Ticket m_nextTicket = 1;
};

} // namespace zinniadock
