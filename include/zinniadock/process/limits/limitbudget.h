#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/process/limits/serverlimit.h"
#include "zinniadock/process/membership/entrytree.h"
#include "zinniadock/process/placing/placement.h"

namespace zinniadock
{

/// What an entry passes to its parent for one limited server, and asks for.
struct PermitRequest
{
    double returned = 0; ///< permits that the sender gives away
    std::uint32_t wanted = 0; ///< permits that the sender and its subtree can use
};

/// What an entry grants to a child for one limited server.
struct PermitGrant
{
    std::uint32_t permits = 0;
    std::chrono::milliseconds wait{ 0 }; ///< expected time until a refused request finds a permit
};

/// Place of an entry in the tree of entries.
struct FleetPosition
{
    std::size_t entries = 1; ///< of the whole fleet
    std::size_t subtree = 1; ///< entries of the subtree below this entry, including it
    bool isRoot = true; ///< the entry distributes the permits of its subtree itself
};

/// Permits of one entry to send requests to servers that limit their requests per second.
///
/// Each entry creates its equal part of each limit as permits. Permits are only moved: upwards to the root of the tree,
/// and from there downwards to the entries that have requests. A lost message loses permits and never duplicates them,
/// so the sum over all entries stays within the limit however the fleet is divided. The root keeps the permits of
/// \c bufferTime at most, and other entries pass back upwards what they have not used within \c permitLifetime, so that
/// unused permits don't add up to a burst. Not thread-safe.
class LimitBudget
{
public:
    explicit LimitBudget(RandomSource draw);

    /// Adds a limit or changes it. \param perSecond  requests per second, of all entries together
    void setLimit(const ServerIncarnation &server, double perSecond, SteadyTime now);

    void removeLimit(const ServerIncarnation &server);

    void setPosition(const FleetPosition &position);

    /// Records that a request could use a permit.
    void recordDemand(const ServerIncarnation &server);

    /// Records that a request of this entry is waiting for a permit. The next request to the parent asks for at least
    /// one permit.
    void recordWaiting(const ServerIncarnation &server);

    /// Records that a child asks for permits that this entry does not have.
    void recordWaitingChild(const ServerIncarnation &server);

    /// Returns whether this entry has a permit. Complexity: logarithmic in the limited servers.
    bool hasPermit(const ServerIncarnation &server, SteadyTime now) const;

    /// Uses a permit. Without one, the entry owes it and gets fewer later.
    void takePermit(const ServerIncarnation &server, SteadyTime now);

    /// Gives back a permit that was taken and not used.
    void returnPermit(const ServerIncarnation &server, SteadyTime now);

    /// Returns the request to the parent, and removes the permits that it gives away.
    /// \param givesAway  whether the parent is known to respond; otherwise the permits are kept
    PermitRequest takeRequestForParent(const ServerIncarnation &server, bool givesAway, SteadyTime now);

    /// Adds the permits that the parent granted.
    void applyGrant(const ServerIncarnation &server, const PermitGrant &grant, SteadyTime now);

    /// Grants permits to a child in proportion to what it and the others want.
    PermitGrant grant(const ServerIncarnation &server, const std::string &child, const PermitRequest &request,
                      SteadyTime now);

    /// Grants permits to this entry itself, in the same way as to a child.
    void grantToSelf(const ServerIncarnation &server, SteadyTime now);

    /// Returns whether there are permits to grant.
    bool hasUngranted(const ServerIncarnation &server, SteadyTime now);

    /// Returns the expected time until a request that was refused now finds a permit.
    std::chrono::milliseconds expectedWait(const ServerIncarnation &server, SteadyTime now);

private:
    /// What a child wants.
    struct ChildDemand
    {
        double recent = 0; ///< permits wanted at the last reports, with decreasing weight
        SteadyTime reportedAt;
    };

    /// The permits of one server.
    struct Account
    {
        double perSecond = 0;
        SteadyTime createdUntil; ///< permits were created up to this time
        SteadyTime drawnAt; ///< when a small subtree last decided at random whether it has a permit
        double forParent = 0; ///< permits to give to the parent
        double pool = 0; ///< permits to grant to children and to this entry
        SteadyTime poolFilledAt;
        double held = 0; ///< permits of this entry itself; negative if it owes some
        SteadyTime heldSince;
        double demand = 0; ///< requests since the last grant to this entry
        double recentDemand = 0; ///< requests before, with decreasing weight
        bool isWaiting = false; ///< a request of this entry is waiting for a permit
        bool isChildWaiting = false; ///< a child asks for permits that this entry does not have
        std::map<std::string, ChildDemand> children; ///< by peer
        std::chrono::milliseconds parentWait{ 0 }; ///< expected wait that the parent last stated
    };

    Account *advancedAccount(const ServerIncarnation &server, SteadyTime now);
    void createPermits(Account &account, SteadyTime now) const;
    void fillRootPool(Account &account, SteadyTime now) const;
    double subtreeRate(const Account &account) const;
    static double subtreeDemand(const Account &account, SteadyTime now);
    static std::uint32_t wantedFor(double recentDemand, bool isWaiting);
    static std::uint32_t takeFromPool(Account &account, std::uint32_t wanted, double recentDemand, SteadyTime now);

    RandomSource m_draw;
    FleetPosition m_position;
    std::map<ServerIncarnation, Account> m_accounts;
};

} // namespace zinniadock
